package admitter

import (
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

// enqueue adds a waiter. If the queue is full, the new waiter displaces the one
// of the lowest priority, or is shed unless its own is higher. Beyond the limit, the queue grows only while no waiter is of a lower class than the new
// one, up to the capacity for its class.
func (a *Admitter) enqueue(w *waiter, now time.Time) error {
	if len(a.waiters) == 0 {
		a.nonEmptySince = now
	}
	if len(a.waiters) < max(a.limit, 1) {
		a.waiters = append(a.waiters, w)
		return nil
	}
	least := a.lowestPriority(now)
	if a.waiters[least].Class >= w.Class && len(a.waiters) < queueFactor(w.Request)*max(a.limit, 1) {
		a.waiters = append(a.waiters, w)
		return nil
	}
	if !a.precedes(w, a.waiters[least], now) {
		a.recordYield(w, a.waiters[least])
		return &ShedError{Cause: QueueFull, RetryAfter: a.retryAfter()}
	}
	a.recordYield(a.waiters[least], w)
	a.waiters[least].result <- &ShedError{Cause: Displaced, RetryAfter: a.retryAfter()}
	a.waiters[least] = w
	return nil
}

// queueFactor returns the queue capacity for a request as a multiple of the limit.
func queueFactor(r Request) int {
	switch {
	case r.Class > checker.ClassCritical || r.Call:
		return aboveCriticalQueueFactor
	case r.Class == checker.ClassCritical:
		return criticalQueueFactor
	}
	return 1
}

// admitWaiting gives free slots to waiters in order of priority.
func (a *Admitter) admitWaiting() {
	now := time.Now()
	for len(a.waiters) > 0 {
		i := a.highestPriority(now)
		w := a.waiters[i]
		if a.willMissDeadline(w.Request, now) {
			a.removeAt(i)
			w.result <- &ShedError{Cause: DeadlineExceeded}
			continue
		}
		if !a.hasFreeSlot(w.Request, now) {
			return
		}
		if wait := a.untilToken(now, 1); wait > 0 {
			a.admitAfter(wait)
			return
		}
		a.removeAt(i)
		for _, other := range a.waiters {
			a.recordYield(other, w)
		}
		a.admit(w.Request, now)
		w.result <- nil
	}
}

// recordYield records that w goes after other, if it is a call that does so only because
// its call tree is less urgent. An earlier call would have gone first in any case.
func (a *Admitter) recordYield(w, other *waiter) {
	isEarlierCall := other.Call && other.arrivedAt.Before(w.arrivedAt)
	if !w.TreeRanked || w.Class >= other.Class || isEarlierCall || w.yielded || a.OnYield == nil {
		return
	}
	w.yielded = true
	a.OnYield()
}

// admitAfter calls admitWaiting after a time, instead of at an earlier request's
// time.
func (a *Admitter) admitAfter(wait time.Duration) {
	if a.nextToken != nil {
		a.nextToken.Reset(wait)
		return
	}
	a.nextToken = time.AfterFunc(wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.admitWaiting()
	})
}

// countPreceding returns the number of waiters with a higher priority than w.
func (a *Admitter) countPreceding(w *waiter, now time.Time) int {
	n := 0
	for _, other := range a.waiters {
		if a.precedes(other, w, now) {
			n++
		}
	}
	return n
}

func (a *Admitter) highestPriority(now time.Time) int {
	best := 0
	for i, w := range a.waiters {
		if a.precedes(w, a.waiters[best], now) {
			best = i
		}
	}
	return best
}

func (a *Admitter) lowestPriority(now time.Time) int {
	worst := 0
	for i, w := range a.waiters {
		if a.precedes(a.waiters[worst], w, now) {
			worst = i
		}
	}
	return worst
}

// precedes reports whether x has a higher priority than y: by class, calls first, preference,
// finish tag of the organisation and arrival, the oldest first. Once the queue
// has been non-empty for longer than the queue wait, the newest goes first
// (LIFO), because the oldest are about to time out anyway.
func (a *Admitter) precedes(x, y *waiter, now time.Time) bool {
	if x.Class != y.Class {
		return x.Class > y.Class
	}
	if x.Call != y.Call {
		return x.Call
	}
	if x.Preference != y.Preference {
		return x.Preference < y.Preference
	}
	fx, fy := a.finishTag(x.Request), a.finishTag(y.Request)
	if fx != fy {
		return fx < fy
	}
	if now.Sub(a.nonEmptySince) > a.queueWait {
		return x.arrivedAt.After(y.arrivedAt)
	}
	return x.arrivedAt.Before(y.arrivedAt)
}

// finishTag returns the virtual finish time that the request would get if it
// were admitted now.
func (a *Admitter) finishTag(r Request) float64 {
	start := a.virtualTime
	if o, ok := a.organisations[r.Organisation]; ok {
		start = max(start, o.finishTag)
	}
	return start + 1/weight(r)
}

func (a *Admitter) remove(w *waiter) bool {
	for i, other := range a.waiters {
		if other == w {
			a.removeAt(i)
			return true
		}
	}
	return false
}

func (a *Admitter) removeAt(i int) {
	last := len(a.waiters) - 1
	a.waiters[i] = a.waiters[last]
	a.waiters[last] = nil
	a.waiters = a.waiters[:last]
}
