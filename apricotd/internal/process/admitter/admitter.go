// Package admitter implements admission control in front of the node's own
// backend server: it decides which requests may start, and when.
//
// It guarantees that no more requests run at once than the limit, that a
// request which cannot finish before its deadline is refused instead of
// started, and that within a pool a higher class is never refused while a lower
// one is admitted. Within a class a free slot goes to the organisation that has
// received the least service in proportion to its rate (start-time fair
// queueing). If the backend server accepts only a limited rate, requests start at
// that rate, and a request that would have to wait too long for its turn is
// refused at once.
//
// # Usage
//
//	release, err := a.Enter(ctx, admitter.Request{Class: c, Organisation: o, Weight: rate, Deadline: d})
//	if err != nil { ... } // *admitter.ShedError
//	defer release(true)
//
// The queue is short: it absorbs jitter in arrival times, not overload. A
// release with a non-empty queue takes time proportional to the queue length.
package admitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

const (
	// serviceTimeSmoothing is the weight of one sample in the exponential
	// moving average of the service time.
	serviceTimeSmoothing = 0.05
	// idleTimeout is the time after the last request until an organisation's
	// finish tag is dropped, and until the critical class loses its reserve.
	idleTimeout = 10 * time.Second
	// criticalReserve is the fraction of the limit that is reserved for the
	// critical class.
	criticalReserve = 0.1
	// The capacity of the queue is a multiple of the limit that depends on the
	// class of the new request: criticalQueueFactor for the critical class,
	// aboveCriticalQueueFactor for a class above it, whose requests must end
	// soon, and 1 for all others.
	criticalQueueFactor      = 8
	aboveCriticalQueueFactor = 2
	minRetryAfter            = 200 * time.Millisecond
	// maxPacedRetryAfter bounds the retry delay while the rate is limited. The
	// limit may end at any time.
	maxPacedRetryAfter = 2 * time.Second
	// criticalPacedWaitFactor lengthens MaxWait for the critical class while the
	// rate is limited: other servers probably have no room either, and the next
	// tokens go to this class.
	criticalPacedWaitFactor = 4
)

// Causes of shedding.
const (
	QueueFull        Cause = "queueFull"
	WaitedTooLong    Cause = "waitedTooLong"
	DeadlineExceeded Cause = "deadline"
	Displaced        Cause = "displaced"
	Closed           Cause = "closed"
	Cancelled        Cause = "cancelled"
)

type (
	// A Cause is the reason for which a request was shed.
	Cause string

	// A ShedError reports a request that was not admitted.
	ShedError struct {
		Cause Cause
		// RetryAfter is the time after which a slot is likely to be free.
		RetryAfter time.Duration
	}

	// A Request holds the properties that determine the order of admission.
	Request struct {
		Class        checker.Class
		Call         bool // precedes callers' requests of the same class
		TreeRanked   bool // whether the class of a call is that of its call tree
		Organisation string
		Weight       float64 // the organisation's rate; 0 counts as 1
		Deadline     time.Time
		// Preference orders requests of one class; 0 goes first.
		Preference uint32
		// MaxWait bounds the time in the queue; 0 uses the default of the
		// class.
		MaxWait time.Duration
	}

	// A Gate limits the rate of admissions in addition to the rate that SetRate sets. Its
	// methods are called with the Admitter's lock held.
	Gate interface {
		// IsLimited reports whether the rate is limited now.
		IsLimited() bool
		// Wait returns the time until n more requests may have been admitted.
		Wait(now time.Time, n int) time.Duration
		// Take records an admission.
		Take(now time.Time)
		// Utilisation returns the utilisation of the rate with a number of requests
		// that wait; 0 if it is not limited.
		Utilisation(now time.Time, waiting int) float64
		// Left returns after what time the limit is likely to end; 0 if there is none.
		Left() time.Duration
	}

	// An Admitter limits the concurrency of one backend server. The zero value
	// admits nothing until SetLimit is called.
	Admitter struct {
		// Gate may be nil.
		Gate Gate
		// OnYield is called, with the Admitter's lock held, once for each call that goes
		// after a request because its call tree is less urgent. It may be nil.
		OnYield func()

		mu              sync.Mutex
		queueWait       time.Duration
		limit           int
		inFlight        int
		lastCritical    time.Time // last arrival of the critical class
		waiters         []*waiter // the queue, unordered
		nonEmptySince   time.Time // when the queue became non-empty
		meanServiceTime float64   // seconds
		virtualTime     float64
		organisations   map[string]*organisation
		nextCleanup     time.Time
		closed          bool
		pacer           pacer
		nextToken       *time.Timer // admits waiters when the next token is due
	}

	waiter struct {
		Request
		arrivedAt time.Time
		yielded   bool
		result    chan error // receives nil or a *ShedError, once
	}

	organisation struct {
		finishTag float64 // virtual finish time of its last admitted request
		lastSeen  time.Time
	}
)

func (e *ShedError) Error() string {
	return fmt.Sprintf("request shed: %s", e.Cause)
}

// SetLimit sets how many requests may run at once.
func (a *Admitter) SetLimit(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = max(n, 0)
	a.admitWaiting()
}

// SetQueueWait sets the longest time that a request may wait for a slot. It
// does not apply to the critical class or to requests with a MaxWait.
func (a *Admitter) SetQueueWait(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queueWait = d
}

// SetRate limits the number of requests that start per second. If limited is
// false, there is no such limit.
func (a *Admitter) SetRate(limited bool, rate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pacer.set(limited, rate, time.Now())
	a.admitWaiting()
}

// RateUtilisation returns 1 if the limited rate allows no further request to
// start now, more if requests wait, and 0 if the rate is not limited.
func (a *Admitter) RateUtilisation() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, utilisation := time.Now(), 0.0
	if a.pacer.limited {
		utilisation = a.pacer.utilisation(now, len(a.waiters))
	}
	if a.Gate != nil {
		utilisation = max(utilisation, a.Gate.Utilisation(now, len(a.waiters)))
	}
	return utilisation
}

// GateChanged admits waiting requests after the rate of the Gate has changed.
func (a *Admitter) GateChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitWaiting()
}

// isPaced reports whether the rate of admissions is limited.
func (a *Admitter) isPaced() bool {
	return a.pacer.limited || a.Gate != nil && a.Gate.IsLimited()
}

// untilToken returns the time until n more requests may have been admitted.
func (a *Admitter) untilToken(now time.Time, n int) time.Duration {
	wait := a.pacer.untilToken(now, n)
	if a.Gate != nil {
		wait = max(wait, a.Gate.Wait(now, n))
	}
	return wait
}

// Close refuses all new and waiting requests; running ones continue.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, w := range a.waiters {
		w.result <- &ShedError{Cause: Closed}
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
// backend server answered the request, so that its duration counts as a service
// time. The error is always a *ShedError.
func (a *Admitter) Enter(ctx context.Context, r Request) (release func(ok bool), err error) {
	w, err := a.admitOrEnqueue(r)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := a.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	return a.releaseFunc(), nil
}

// admitOrEnqueue admits the request at once and returns nil, or returns its
// waiter in the queue.
func (a *Admitter) admitOrEnqueue(r Request) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.closed {
		return nil, &ShedError{Cause: Closed}
	}
	if a.willMissDeadline(r, now) {
		return nil, &ShedError{Cause: DeadlineExceeded}
	}
	if r.Class == checker.ClassCritical && !r.Call {
		a.lastCritical = now
	}
	a.removeIdle(now)
	if len(a.waiters) == 0 && a.hasFreeSlot(r, now) && a.untilToken(now, 1) == 0 {
		a.admit(r, now)
		return nil, nil
	}
	w := &waiter{Request: r, arrivedAt: now, result: make(chan error, 1)}
	if a.isPaced() && a.untilToken(now, 1+a.countPreceding(w, now)) > a.maxWait(r) {
		return nil, &ShedError{Cause: QueueFull, RetryAfter: a.retryAfter()}
	}
	if err := a.enqueue(w, now); err != nil {
		return nil, err
	}
	a.admitWaiting()
	return w, nil
}

func (a *Admitter) wait(ctx context.Context, w *waiter) error {
	a.mu.Lock()
	maxWait := a.maxWait(w.Request)
	a.mu.Unlock()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
		return a.cancelWait(w, WaitedTooLong)
	case <-ctx.Done():
		return a.cancelWait(w, Cancelled)
	}
}

// maxWait returns how long a request may wait. The critical class may wait as
// long as it can still finish: it is served first, so it waits long only if its
// own requests overload the backend server. a.mu must be held.
func (a *Admitter) maxWait(r Request) time.Duration {
	left := time.Until(r.Deadline)
	if r.MaxWait > 0 {
		if a.isPaced() && r.Class == checker.ClassCritical && !r.Call {
			return min(criticalPacedWaitFactor*r.MaxWait, left)
		}
		return min(r.MaxWait, left)
	}
	if r.Class == checker.ClassCritical {
		return left - time.Duration(a.meanServiceTime*float64(time.Second))
	}
	return min(a.queueWait, left)
}

// cancelWait removes a waiter from the queue. If it has been admitted in the
// meantime, its slot is released, except on a timeout, when the request
// proceeds.
func (a *Admitter) cancelWait(w *waiter, cause Cause) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.remove(w) {
		return &ShedError{Cause: cause, RetryAfter: a.retryAfter()}
	}
	if err := <-w.result; err != nil {
		return err
	}
	if cause == WaitedTooLong {
		return nil
	}
	a.inFlight--
	a.admitWaiting()
	return &ShedError{Cause: cause}
}

func (a *Admitter) releaseFunc() func(ok bool) {
	start := time.Now()
	var once sync.Once
	return func(ok bool) {
		once.Do(func() { a.release(start, ok) })
	}
}

func (a *Admitter) release(start time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	if ok {
		sample := time.Since(start).Seconds()
		a.meanServiceTime += (sample - a.meanServiceTime) * serviceTimeSmoothing
	}
	a.admitWaiting()
}

// hasFreeSlot reports whether a request may start. Part of the limit is reserved for
// calls and the critical class for idleTimeout after each arrival of that class.
func (a *Admitter) hasFreeSlot(r Request, now time.Time) bool {
	limit := a.limit
	if r.Class < checker.ClassCritical && !r.Call && !a.lastCritical.IsZero() && now.Sub(a.lastCritical) < idleTimeout {
		limit -= int(float64(a.limit) * criticalReserve)
	}
	return a.inFlight < limit
}

func (a *Admitter) admit(r Request, now time.Time) {
	a.inFlight++
	a.pacer.take(now)
	if a.Gate != nil {
		a.Gate.Take(now)
	}
	o := a.organisation(r.Organisation, now)
	start := max(a.virtualTime, o.finishTag)
	a.virtualTime = start
	o.finishTag = start + 1/weight(r)
}

// willMissDeadline reports whether less than half of the mean service time is
// left before the deadline.
func (a *Admitter) willMissDeadline(r Request, now time.Time) bool {
	minDuration := time.Duration(a.meanServiceTime * float64(time.Second) / 2)
	return !now.Add(minDuration).Before(r.Deadline)
}

// retryAfter returns the estimated time in which the queue drains, over which
// retries are to be spread.
func (a *Admitter) retryAfter() time.Duration {
	if a.Gate != nil {
		if left := a.Gate.Left(); left > 0 {
			return max(minRetryAfter, left)
		}
	}
	if a.pacer.limited {
		return max(minRetryAfter, min(maxPacedRetryAfter, a.pacer.untilToken(time.Now(), 1+len(a.waiters))))
	}
	if a.limit == 0 {
		return time.Second
	}
	drainTime := a.meanServiceTime * float64(len(a.waiters)+a.inFlight) / float64(a.limit)
	return max(minRetryAfter, time.Duration(drainTime*float64(time.Second)))
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

// removeIdle drops the organisations that have been idle for idleTimeout.
func (a *Admitter) removeIdle(now time.Time) {
	if now.Before(a.nextCleanup) {
		return
	}
	a.nextCleanup = now.Add(idleTimeout)
	for name, o := range a.organisations {
		if now.Sub(o.lastSeen) > idleTimeout {
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
