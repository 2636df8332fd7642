// Package tuner tunes the concurrency limit of a backend server.
//
// Some servers take longer for each request when all of their slots are in use,
// so that their throughput is higher when a few slots stay free. For each
// route, the tuner compares the service times of requests that start on a
// nearly full server with those of requests that start on a less full one. It
// lowers the limit where the slowdown costs more throughput than the free
// slots.
//
// # Usage
//
//	t := &tuner.Tuner{}
//	t.SetSlots(40)
//	t.Observe("search", running, took) // after each answer
//	limit := t.Limit()
//
// While the limit is reduced, no request starts on a nearly full server, so the
// slowdown cannot be observed. Its estimate decays, and all slots are tried again
// about twice a minute, which slows down some twenty requests. The tuner stores one
// mean for each route.
package tuner

import (
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// freeFraction is the fraction of the slots that a reduced limit leaves free.
	// It is large enough that the server no longer treats itself as nearly full,
	// and costs little throughput on a server that does not slow down.
	freeFraction = 0.06
	// smoothing is the weight of one answer in the means. It is small, since
	// the slowdown to detect is about 10 % and service times vary by 50 %.
	smoothing = 0.002
	// slowdownHalfLife is the half-life of the estimated slowdown while it
	// cannot be observed.
	slowdownHalfLife = 10 * time.Second
	// restoreLimitBelow is the slowdown factor below which a reduced limit is
	// set back to all slots.
	restoreLimitBelow = 1.03
	// maxRatio bounds the effect of one answer.
	maxRatio = 4.0
	// maxSlowdown bounds the estimate, and thereby the time until it has
	// decayed.
	maxSlowdown = 0.5
	// maxRoutes bounds the stored baselines.
	maxRoutes = 1024
)

type (
	// A Tuner observes one backend server. The zero value is ready to use.
	Tuner struct {
		mu                sync.Mutex
		slots             int
		reduced           bool             // whether Limit leaves slots free
		baselines         map[string]*mean // service times up to reducedLimit, by route
		slowdown          float64          // mean ratio of the service times above reducedLimit to the baseline, minus 1
		slowdownUpdatedAt time.Time        // last answer of a request that started above reducedLimit
	}

	// A mean is an arithmetic mean of up to 1/smoothing values, then an
	// exponential moving average.
	mean struct {
		seconds float64
		count   float64
	}
)

// SetSlots sets how many requests the server can run at once.
func (t *Tuner) SetSlots(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slots = n
}

// Limit returns how many requests should run at once.
func (t *Tuner) Limit() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	slowdown := 1 + t.slowdown*decayer.Factor(time.Since(t.slowdownUpdatedAt), slowdownHalfLife)
	reducedLimit := t.reducedLimit()
	switch {
	case reducedLimit < 1:
		return t.slots
	case t.reduced:
		t.reduced = slowdown > restoreLimitBelow
	default:
		t.reduced = slowdown > float64(t.slots)/float64(reducedLimit)
	}
	if t.reduced {
		return reducedLimit
	}
	return t.slots
}

// Observe records the service time of an answered request. running is the
// number of requests that ran when it started, including itself.
func (t *Tuner) Observe(route string, running int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.getOrAdd(route)
	if running <= t.reducedLimit() {
		m.add(took.Seconds())
		return
	}
	if m.seconds <= 0 {
		return
	}
	now := time.Now()
	ratio := min(maxRatio, took.Seconds()/m.seconds)
	old := t.slowdown * decayer.Factor(now.Sub(t.slowdownUpdatedAt), slowdownHalfLife)
	t.slowdown = min(maxSlowdown, old+(ratio-1-old)*smoothing)
	t.slowdownUpdatedAt = now
}

func (t *Tuner) getOrAdd(name string) *mean {
	if t.baselines == nil || len(t.baselines) > maxRoutes {
		t.baselines = make(map[string]*mean)
	}
	m := t.baselines[name]
	if m == nil {
		m = &mean{}
		t.baselines[name] = m
	}
	return m
}

func (m *mean) add(seconds float64) {
	m.count++
	m.seconds += (seconds - m.seconds) * max(smoothing, 1/m.count)
}

// reducedLimit returns the limit that leaves freeFraction of the slots free.
func (t *Tuner) reducedLimit() int { return int(float64(t.slots) * (1 - freeFraction)) }
