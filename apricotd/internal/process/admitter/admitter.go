// Package admitter decides which requests the node's own backend server may
// begin, and when.
//
// It guarantees that no more requests run at once than the limit, that a
// request which cannot finish before its deadline is refused instead of begun,
// and that within a pool a higher class is never refused while a lower one is
// admitted. Within a class the free slot goes to the organisation that has had
// the least service in proportion to its rate (start-time fair queueing).
//
// # Usage
//
//	release, err := a.Enter(ctx, admitter.Request{Class: c, Organisation: o, Weight: rate, Deadline: d})
//	if err != nil { ... } // *admitter.ShedError
//	defer release(true)
//
// The queue is short: it absorbs the jitter of arrivals, not overload. Cost is
// O(queue) for each release that finds somebody waiting.
package admitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

const (
	// serviceTimeWeight is the weight of one sample in the moving mean of
	// service time.
	serviceTimeWeight = 0.05
	// idleOrganisation is how long an organisation's service is remembered.
	idleOrganisation = 10 * time.Second
	// reserveFraction of the limit is kept for the critical class.
	reserveFraction = 0.1
	// criticalQueue times the limit may wait in the critical class, and
	// aboveQueue times in classes above it, whose work must end soon; of the
	// others, as many as the limit.
	criticalQueue = 8
	aboveQueue    = 2
	minRetryAfter = 200 * time.Millisecond
)

// Causes of shedding.
const (
	QueueFull     Cause = "queueFull"
	WaitedTooLong Cause = "waitedTooLong"
	Deadline      Cause = "deadline"
	Displaced     Cause = "displaced"
	Closed        Cause = "closed"
	Cancelled     Cause = "cancelled"
)

type (
	// A Cause tells why a request was shed.
	Cause string

	// A ShedError reports a request that was not admitted.
	ShedError struct {
		Cause Cause
		// RetryAfter is when room is likely.
		RetryAfter time.Duration
	}

	// A Request is what decides its own turn.
	Request struct {
		Class        checker.Class
		Organisation string
		Weight       float64 // the organisation's rate; 0 counts as 1
		Deadline     time.Time
		// Preference orders requests of one class; 0 goes first.
		Preference uint32
		// Patience is how long this request may wait; 0 leaves it to the class.
		Patience time.Duration
	}

	// An Admitter guards one backend server. Its zero value admits nothing
	// until SetLimit.
	Admitter struct {
		mu            sync.Mutex
		queueWait     time.Duration
		limit         int
		inFlight      int
		critical      time.Time // when the critical class was last seen
		waiters       []*waiter
		standingSince time.Time
		serviceTime   float64 // moving mean, seconds
		virtualTime   float64
		organisations map[string]*organisation
		nextSweep     time.Time
		closed        bool
	}

	waiter struct {
		Request
		since time.Time
		ready chan error // receives nil or a *ShedError, once
	}

	organisation struct {
		finish   float64 // virtual time up to which it has been served
		lastSeen time.Time
	}
)

// Error returns the cause in one line.
func (e *ShedError) Error() string {
	return fmt.Sprintf("request shed: %s", e.Cause)
}

// SetLimit changes the number of requests that may run at once.
func (a *Admitter) SetLimit(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = max(n, 0)
	a.fill()
}

// SetQueueWait changes the longest time that a request waits for a slot.
func (a *Admitter) SetQueueWait(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queueWait = d
}

// Close refuses all new and waiting requests; running ones go on.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, w := range a.waiters {
		w.ready <- &ShedError{Cause: Closed}
	}
	a.waiters = nil
}

// Load returns the number of running requests and the limit.
func (a *Admitter) Load() (inFlight, limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight, a.limit
}

// Enter waits for a slot. The caller must call release once, with true if the
// request ended in an answer. The error is always a *ShedError.
func (a *Admitter) Enter(ctx context.Context, r Request) (release func(ok bool), err error) {
	w, err := a.arrive(r)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := a.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	return a.releaser(), nil
}

// arrive admits the request at once, or returns the waiter that stands for it.
func (a *Admitter) arrive(r Request) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.closed {
		return nil, &ShedError{Cause: Closed}
	}
	if a.isTooLate(r, now) {
		return nil, &ShedError{Cause: Deadline}
	}
	if r.Class == checker.ClassCritical {
		a.critical = now
	}
	a.sweep(now)
	if len(a.waiters) == 0 && a.hasRoom(r.Class, now) {
		a.admit(r, now)
		return nil, nil
	}
	w := &waiter{Request: r, since: now, ready: make(chan error, 1)}
	if err := a.enqueue(w, now); err != nil {
		return nil, err
	}
	a.fill()
	return w, nil
}

func (a *Admitter) wait(ctx context.Context, w *waiter) error {
	timer := time.NewTimer(a.patience(w.Request))
	defer timer.Stop()
	select {
	case err := <-w.ready:
		return err
	case <-timer.C:
		return a.abandon(w, WaitedTooLong)
	case <-ctx.Done():
		return a.abandon(w, Cancelled)
	}
}

// patience is how long a request may wait. The critical class waits as long as
// it can still finish: it is served first, so its wait is short unless it alone
// overloads the backend server.
func (a *Admitter) patience(r Request) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := time.Until(r.Deadline)
	if r.Patience > 0 {
		return min(r.Patience, left)
	}
	if r.Class == checker.ClassCritical {
		return left - time.Duration(a.serviceTime*float64(time.Second))
	}
	return min(a.queueWait, left)
}

// abandon takes a waiter out of the queue. If it was admitted in the meantime,
// its slot is given back.
func (a *Admitter) abandon(w *waiter, cause Cause) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.remove(w) {
		return &ShedError{Cause: cause, RetryAfter: a.retryAfter()}
	}
	if err := <-w.ready; err != nil {
		return err
	}
	if cause == WaitedTooLong {
		return nil
	}
	a.inFlight--
	a.fill()
	return &ShedError{Cause: cause}
}

func (a *Admitter) releaser() func(ok bool) {
	begun := time.Now()
	var once sync.Once
	return func(ok bool) {
		once.Do(func() { a.release(begun, ok) })
	}
}

func (a *Admitter) release(begun time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	if ok {
		sample := time.Since(begun).Seconds()
		a.serviceTime += (sample - a.serviceTime) * serviceTimeWeight
	}
	a.fill()
}

// hasRoom tells whether a request of the class may start. Part of the limit is
// kept for the critical class for as long as that class has been seen lately.
func (a *Admitter) hasRoom(class checker.Class, now time.Time) bool {
	limit := a.limit
	if class < checker.ClassCritical && !a.critical.IsZero() && now.Sub(a.critical) < idleOrganisation {
		limit -= int(float64(a.limit) * reserveFraction)
	}
	return a.inFlight < limit
}

func (a *Admitter) admit(r Request, now time.Time) {
	a.inFlight++
	o := a.organisation(r.Organisation, now)
	start := max(a.virtualTime, o.finish)
	a.virtualTime = start
	o.finish = start + 1/weight(r)
}

func (a *Admitter) isTooLate(r Request, now time.Time) bool {
	need := time.Duration(a.serviceTime * float64(time.Second) / 2)
	return !now.Add(need).Before(r.Deadline)
}

// retryAfter spreads returns over the time that the queue needs to drain.
func (a *Admitter) retryAfter() time.Duration {
	if a.limit == 0 {
		return time.Second
	}
	drain := a.serviceTime * float64(len(a.waiters)+a.inFlight) / float64(a.limit)
	return max(minRetryAfter, time.Duration(drain*float64(time.Second)))
}

func (a *Admitter) organisation(name string, now time.Time) *organisation {
	if a.organisations == nil {
		a.organisations = make(map[string]*organisation)
	}
	o := a.organisations[name]
	if o == nil {
		o = &organisation{}
		a.organisations[name] = o
	}
	o.lastSeen = now
	return o
}

// sweep forgets organisations that have not been seen for a while.
func (a *Admitter) sweep(now time.Time) {
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(idleOrganisation)
	for name, o := range a.organisations {
		if now.Sub(o.lastSeen) > idleOrganisation {
			delete(a.organisations, name)
		}
	}
}

func weight(r Request) float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}
