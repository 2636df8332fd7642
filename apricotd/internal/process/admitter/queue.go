package admitter

import (
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

// enqueue adds a waiter. When the queue is full, the least important waiter
// makes room, or the newcomer is shed if that is itself.
func (a *Admitter) enqueue(w *waiter, now time.Time) error {
	if len(a.waiters) == 0 {
		a.standingSince = now
	}
	if len(a.waiters) < max(a.limit, 1) {
		a.waiters = append(a.waiters, w)
		return nil
	}
	last := a.worst(now)
	if a.waiters[last].Class >= w.Class && len(a.waiters) < queueTimes(w.Class)*max(a.limit, 1) {
		a.waiters = append(a.waiters, w)
		return nil
	}
	if !a.isBefore(w, a.waiters[last], now) {
		return &ShedError{Cause: QueueFull, RetryAfter: a.retryAfter()}
	}
	a.waiters[last].ready <- &ShedError{Cause: Displaced, RetryAfter: a.retryAfter()}
	a.waiters[last] = w
	return nil
}

// queueTimes returns how many times the limit may wait in a class.
func queueTimes(c checker.Class) int {
	switch {
	case c > checker.ClassCritical:
		return aboveQueue
	case c == checker.ClassCritical:
		return criticalQueue
	}
	return 1
}

// fill gives free slots to waiters in order of importance.
func (a *Admitter) fill() {
	now := time.Now()
	for len(a.waiters) > 0 {
		best := a.best(now)
		w := a.waiters[best]
		if a.isTooLate(w.Request, now) {
			a.drop(best)
			w.ready <- &ShedError{Cause: Deadline}
			continue
		}
		if !a.hasRoom(w.Class, now) {
			return
		}
		a.drop(best)
		a.admit(w.Request, now)
		w.ready <- nil
	}
}

func (a *Admitter) best(now time.Time) int {
	best := 0
	for i, w := range a.waiters {
		if a.isBefore(w, a.waiters[best], now) {
			best = i
		}
	}
	return best
}

func (a *Admitter) worst(now time.Time) int {
	worst := 0
	for i, w := range a.waiters {
		if a.isBefore(a.waiters[worst], w, now) {
			worst = i
		}
	}
	return worst
}

// isBefore orders waiters: class, preference, then the organisation with the least
// service, then arrival. Once the queue has been standing for longer than a
// waiter may wait, the newest goes first, because the oldest are about to time
// out anyway.
func (a *Admitter) isBefore(x, y *waiter, now time.Time) bool {
	if x.Class != y.Class {
		return x.Class > y.Class
	}
	if x.Preference != y.Preference {
		return x.Preference < y.Preference
	}
	fx, fy := a.finish(x.Request), a.finish(y.Request)
	if fx != fy {
		return fx < fy
	}
	if now.Sub(a.standingSince) > a.queueWait {
		return x.since.After(y.since)
	}
	return x.since.Before(y.since)
}

func (a *Admitter) finish(r Request) float64 {
	start := a.virtualTime
	if o, ok := a.organisations[r.Organisation]; ok {
		start = max(start, o.finish)
	}
	return start + 1/weight(r)
}

func (a *Admitter) remove(w *waiter) bool {
	for i, other := range a.waiters {
		if other == w {
			a.drop(i)
			return true
		}
	}
	return false
}

func (a *Admitter) drop(i int) {
	last := len(a.waiters) - 1
	a.waiters[i] = a.waiters[last]
	a.waiters[last] = nil
	a.waiters = a.waiters[:last]
}
