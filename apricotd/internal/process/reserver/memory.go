package reserver

import (
	"context"
	"time"
)

// A Memory reserves memory on a tab for one message that is being received. What it
// has reserved remains on the tab when the message is complete.
type Memory struct {
	Tab *Tab
	// First is the class of the first part of the message, Rest of what exceeds it.
	First, Rest Class
	// Wait is how long the rest may wait for memory, unless Context ends before.
	Wait    time.Duration
	Context context.Context //nolint:containedctx // of the message

	first int // reserved for the first part
}

// ReserveFirst reserves n bytes for the first part of the message.
func (m *Memory) ReserveFirst(n int) bool {
	if !m.Tab.Reserve(n, m.First) {
		return false
	}
	m.first = n
	return true
}

// Reserve reserves n bytes for the rest of the message.
func (m *Memory) Reserve(n int) bool {
	return m.Tab.ReserveWithin(m.Context, n, m.Rest, m.Wait)
}

// Release returns n reserved bytes, those for the first part before others.
func (m *Memory) Release(n int) {
	first := min(n, m.first)
	m.first -= first
	m.Tab.Release(first, m.First)
	m.Tab.Release(n-first, m.Rest)
}
