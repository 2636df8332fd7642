package throttler

import (
	"sync"
	"time"
)

const (
	// returnGrace is how much too early a caller may return and how long it is
	// expected.
	returnGrace  = 50 * time.Millisecond
	returnWithin = 2 * time.Second
	// maxReturns bounds the callers that are remembered.
	maxReturns = 4096
)

// Returns remembers callers that were asked to come back, so that those who
// waited as asked go before those who come for the first time, and those who
// did not wait gain nothing. Its zero value is ready.
type Returns struct {
	mu  sync.Mutex
	due map[uint64]time.Time
}

// Expect notes that a request was refused and may come back after a time.
func (r *Returns) Expect(fingerprint uint64, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.due == nil {
		r.due = make(map[uint64]time.Time)
	}
	if len(r.due) >= maxReturns {
		r.sweep(now)
	}
	if len(r.due) < maxReturns {
		r.due[fingerprint] = now.Add(wait)
	}
}

// IsBack tells whether a request has come back as it was asked to.
func (r *Returns) IsBack(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due, ok := r.due[fingerprint]
	if !ok {
		return false
	}
	late := time.Since(due)
	if late < -returnGrace {
		return false
	}
	delete(r.due, fingerprint)
	return late < returnWithin
}

func (r *Returns) sweep(now time.Time) {
	for f, due := range r.due {
		if now.Sub(due) > returnWithin {
			delete(r.due, f)
		}
	}
}
