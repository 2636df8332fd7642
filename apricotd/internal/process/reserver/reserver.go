// Package reserver bounds the memory that messages occupy while they are being
// received, over all connections of a process.
//
// It guarantees that no more than the limit is reserved at any time. A reader that
// is refused memory must drop its message.
//
// # Usage
//
//	r := &reserver.Reserver{Limit: 32 << 20}
//	if !r.Reserve(n) { ... }
//	defer r.Release(n)
package reserver

import "sync"

// A Reserver counts reserved memory. Its exported field must be set before use.
type Reserver struct {
	// Limit is the greatest number of bytes reserved at a time.
	Limit int

	mu       sync.Mutex
	reserved int
	refused  uint64
}

// Reserve reserves n bytes. It returns false if they are not available.
func (r *Reserver) Reserve(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > r.Limit-r.reserved {
		r.refused++
		return false
	}
	r.reserved += n
	return true
}

// Release returns n reserved bytes.
func (r *Reserver) Release(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved -= n
}

// Reserved returns the number of reserved bytes, and how often Reserve has returned
// false.
func (r *Reserver) Reserved() (bytes int, refusals uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved, r.refused
}
