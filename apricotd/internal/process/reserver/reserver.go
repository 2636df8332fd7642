// Package reserver keeps the account of the memory that requests occupy in a
// process, over all connections.
//
// It guarantees that no more than the limit is reserved at any time, and that all
// that is reserved for a request is returned when its tab is closed. Requests leave
// a part of the limit to responses, and those that may be repeated leave a part to
// the others, so that what has run is delivered and what must not be lost is refused
// last.
//
// # Usage
//
//	r := &reserver.Reserver{Limit: 32 << 20}
//	tab := r.Open(nil)
//	defer tab.Close()
//	if !tab.Reserve(n, reserver.Repeatable) { ... }
//
// A nil Reserver opens nil tabs, which limit nothing. An operation costs an
// uncontended lock.
package reserver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Classes of what memory is reserved for. Each may use the account up to a part of
// its limit, whatever the rest is used for.
const (
	Repeatable   Class = iota // requests that a caller may repeat
	Unrepeatable              // requests that must not be repeated, and calls of backend servers
	Response                  // large responses
	Small                     // small responses and the messages between nodes
	classCount
)

const (
	// ExchangeBytes is what a request occupies besides its messages.
	ExchangeBytes = 4 << 10
	// FieldBytes is what one header field occupies besides its text: parsed, to be
	// forwarded and in the message to a peer.
	FieldBytes = 200
)

// maxWaiters is the number of reservations that wait for memory at a time. Each release
// wakes all of them.
const maxWaiters = 64

// classNames are the names of the classes in metrics.
var classNames = [classCount]string{"repeatable", "unrepeatable", "response", "small"}

// limitSixteenths is the part of the limit that each class may use.
var limitSixteenths = [classCount]int{Repeatable: 8, Unrepeatable: 12, Response: 15, Small: 16}

type (
	// A Class is what memory is reserved for.
	Class int

	// A Reserver counts reserved memory. Its exported field must be set before use.
	Reserver struct {
		// Limit is the greatest number of bytes reserved at a time.
		Limit int

		reserved atomic.Int64
		peak     atomic.Int64 // greatest value of reserved
		byClass  [classCount]atomic.Int64
		refused  [classCount]atomic.Uint64
		waiting  atomic.Bool // freed is set
		waiters  atomic.Int32

		mu    sync.Mutex
		freed chan struct{} // closed when memory is released; nil if nobody waits
	}

	// A Tab counts what is reserved for one request.
	Tab struct {
		account *Reserver
		owner   *atomic.Int64

		mu     sync.Mutex
		held   amounts
		closed bool
		keeps  int  // until they have ended, the tab is not closed
		ending bool // Close has been called
	}

	// A Keep keeps a tab open that others may close.
	Keep struct {
		tab   *Tab
		ended atomic.Bool
	}

	// amounts are numbers of bytes by class.
	amounts [classCount]int

	contextKey struct{}
)

// Open opens a tab. What it holds is also added to owner, unless that is nil.
func (r *Reserver) Open(owner *atomic.Int64) *Tab {
	if r == nil {
		return nil
	}
	return &Tab{account: r, owner: owner}
}

// Reserved returns the number of reserved bytes, and how often a reservation has been
// refused.
func (r *Reserver) Reserved() (bytes int, refusals uint64) {
	for c := range r.refused {
		refusals += r.refused[c].Load()
	}
	return int(r.reserved.Load()), refusals
}

// Classes calls do with the name of each class, the bytes that are reserved for it, and
// how often a reservation for it has been refused.
func (r *Reserver) Classes(do func(name string, bytes int, refusals uint64)) {
	for c, name := range classNames {
		do(name, int(r.byClass[c].Load()), r.refused[c].Load())
	}
}

// Peak returns the greatest number of bytes that have been reserved at a time.
func (r *Reserver) Peak() int { return int(r.peak.Load()) }

// Free returns the number of bytes that are not reserved.
func (r *Reserver) Free() int { return r.Limit - int(r.reserved.Load()) }

// tryReserve reserves n bytes, unless they are not available.
func (r *Reserver) tryReserve(n int, c Class) bool {
	limit := int64(r.Limit / 16 * limitSixteenths[c])
	for {
		reserved := r.reserved.Load()
		if int64(n) > limit-reserved {
			return false
		}
		if r.reserved.CompareAndSwap(reserved, reserved+int64(n)) {
			r.byClass[c].Add(int64(n))
			r.raisePeak(reserved + int64(n))
			return true
		}
	}
}

func (r *Reserver) raisePeak(reserved int64) {
	for peak := r.peak.Load(); reserved > peak; peak = r.peak.Load() {
		if r.peak.CompareAndSwap(peak, reserved) {
			return
		}
	}
}

func (r *Reserver) release(n amounts) {
	sum := 0
	for c := range n {
		if n[c] != 0 {
			r.byClass[c].Add(int64(-n[c]))
			sum += n[c]
		}
	}
	if sum == 0 {
		return
	}
	r.reserved.Add(int64(-sum))
	if !r.waiting.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freed != nil {
		close(r.freed)
		r.freed = nil
	}
	r.waiting.Store(false)
}

// awaitRelease returns a channel that is closed when memory is released next.
func (r *Reserver) awaitRelease() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freed == nil {
		r.freed = make(chan struct{})
	}
	r.waiting.Store(true)
	return r.freed
}

// Reserve reserves n bytes for a response that belongs to no request. It returns false
// if they are not available.
func (r *Reserver) Reserve(n int) bool {
	if !r.tryReserve(n, Response) {
		r.refused[Response].Add(1)
		return false
	}
	return true
}

// Release returns n bytes that Reserve has reserved.
func (r *Reserver) Release(n int) { r.release(amounts{Response: n}) }

// Reserve reserves n bytes. It returns false if they are not available or the tab is
// closed.
func (t *Tab) Reserve(n int, c Class) bool {
	return t.ReserveWithin(context.Background(), n, c, 0)
}

// TryReserve is Reserve, but a failure is not counted as a refusal.
func (t *Tab) TryReserve(n int, c Class) bool {
	return t == nil || t.account.tryReserve(n, c) && t.add(amountOf(n, c))
}

// ReserveWithin is Reserve, but waits for memory to be released for the time given,
// unless ctx ends before or too many wait.
func (t *Tab) ReserveWithin(ctx context.Context, n int, c Class, wait time.Duration) bool {
	if t == nil {
		return true
	}
	if t.account.tryReserve(n, c) || wait > 0 && t.account.waitReserve(ctx, n, c, wait) {
		return t.add(amountOf(n, c))
	}
	t.account.refused[c].Add(1)
	return false
}

// waitReserve is tryReserve, but waits for memory to be released, unless maxWaiters do
// already.
func (r *Reserver) waitReserve(ctx context.Context, n int, c Class, wait time.Duration) bool {
	defer r.waiters.Add(-1)
	if r.waiters.Add(1) > maxWaiters {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		freed := r.awaitRelease()
		if r.tryReserve(n, c) {
			return true
		}
		select {
		case <-freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// add adds reserved bytes to the tab. It returns false, and releases them, if the tab
// is closed.
func (t *Tab) add(n amounts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		t.account.release(n)
		return false
	}
	t.change(n, 1)
	return true
}

// Release returns n bytes that were reserved with a class, unless the tab is closed.
func (t *Tab) Release(n int, c Class) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	released := amountOf(n, c)
	t.change(released, -1)
	t.account.release(released)
}

// Take moves to this tab what another one of the same account holds, and closes that
// one.
func (t *Tab) Take(from *Tab) {
	if from == nil {
		return
	}
	if t == nil {
		from.Close()
		return
	}
	t.add(from.empty())
}

// Keep keeps the tab open until the end of the Keep.
func (t *Tab) Keep() *Keep {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeps++
	return &Keep{tab: t}
}

// End ends the Keep. Further calls have no effect.
func (k *Keep) End() {
	if k == nil || k.ended.Swap(true) {
		return
	}
	t := k.tab
	t.mu.Lock()
	t.keeps--
	last := t.keeps == 0 && t.ending
	t.mu.Unlock()
	if last {
		t.close()
	}
}

// Close releases all that the tab holds, as soon as nothing keeps it open. Nothing more
// can be reserved on it then.
func (t *Tab) Close() {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.ending = true
	kept := t.keeps > 0
	t.mu.Unlock()
	if !kept {
		t.close()
	}
}

func (t *Tab) close() {
	t.account.release(t.empty())
}

func amountOf(n int, c Class) amounts {
	var a amounts
	a[c] = n
	return a
}

// empty closes the tab and returns what it held, which remains reserved.
func (t *Tab) empty() amounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.held
	t.change(n, -1)
	t.closed = true
	return n
}

// change adds sign times n to what the tab holds. t.mu must be held.
func (t *Tab) change(n amounts, sign int) {
	sum := 0
	for c := range n {
		t.held[c] += sign * n[c]
		sum += sign * n[c]
	}
	if t.owner != nil && sum != 0 {
		t.owner.Add(int64(sum))
	}
}

// NewContext returns a context that carries the tab of a request.
func NewContext(ctx context.Context, t *Tab) context.Context {
	if t == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, t)
}

// FromContext returns the tab of the request that a context belongs to, or nil.
func FromContext(ctx context.Context) *Tab {
	t, _ := ctx.Value(contextKey{}).(*Tab)
	return t
}
