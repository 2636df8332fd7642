// Package sizer finds how many requests a backend server should run at once.
//
// Some servers take longer for each request when all of their slots are in
// use, so that they finish more in all when a few slots stay free. The sizer
// compares how long requests take that begin on a nearly full server with
// those that begin on a less full one, route by route, and leaves slots free
// where the comparison says that it pays.
//
// # Usage
//
//	s := &sizer.Sizer{}
//	s.SetSlots(40)
//	s.Saw("search", running, took) // after each answer
//	limit := s.Limit()
//
// While slots stay free there is nothing to compare with, so the belief fades
// and is tested again about twice a minute, which costs some twenty requests.
// Memory is one mean for each route.
package sizer

import (
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// freeShare of the slots is left free on a server that slows down when it
	// is nearly full: enough to stay below nearly full as servers count it,
	// and little of what one that does not slow down could do.
	freeShare = 0.06
	// gain is the weight of one answer in the means. It is small, since what
	// is looked for is a tenth and times of service differ by half.
	gain = 0.002
	// fadeHalfLife is how fast a slowdown that cannot be seen is forgotten.
	fadeHalfLife = 10 * time.Second
	// fillAgainBelow is the slowdown at which all slots are tried again.
	fillAgainBelow = 1.03
	// maxRatio bounds what one answer counts, maxSlowdown what is believed, so
	// that it fades in time, and maxRoutes the memory.
	maxRatio    = 4.0
	maxSlowdown = 0.5
	maxRoutes   = 1024
)

type (
	// A Sizer observes one backend server. Its zero value is ready.
	Sizer struct {
		mu       sync.Mutex
		slots    int
		free     bool             // slots are left free
		routes   map[string]*mean // times on a server that is not nearly full
		slowdown float64          // mean ratio on one that is, less one
		seen     time.Time        // when it was last nearly full
	}

	// A mean gives all answers the same weight until there are 1/gain of them.
	mean struct {
		seconds float64
		count   float64
	}
)

// SetSlots follows the number of requests that the server can run at once.
func (s *Sizer) SetSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = n
}

// Limit returns how many requests to run at once.
func (s *Sizer) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := 1 + s.slowdown*decayer.Left(time.Since(s.seen), fadeHalfLife)
	lower := s.lower()
	switch {
	case lower < 1:
		return s.slots
	case s.free:
		s.free = slowdown > fillAgainBelow
	default:
		s.free = slowdown > float64(s.slots)/float64(lower)
	}
	if s.free {
		return lower
	}
	return s.slots
}

// Saw takes the time of service of a request that was answered; running is how
// many ran when it began, itself among them.
func (s *Sizer) Saw(route string, running int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.route(route)
	if running <= s.lower() {
		m.add(took.Seconds())
		return
	}
	if m.seconds <= 0 {
		return
	}
	now := time.Now()
	ratio := min(maxRatio, took.Seconds()/m.seconds)
	old := s.slowdown * decayer.Left(now.Sub(s.seen), fadeHalfLife)
	s.slowdown = min(maxSlowdown, old+(ratio-1-old)*gain)
	s.seen = now
}

func (s *Sizer) route(name string) *mean {
	if s.routes == nil || len(s.routes) > maxRoutes {
		s.routes = make(map[string]*mean)
	}
	m := s.routes[name]
	if m == nil {
		m = &mean{}
		s.routes[name] = m
	}
	return m
}

func (m *mean) add(seconds float64) {
	m.count++
	m.seconds += (seconds - m.seconds) * max(gain, 1/m.count)
}

// lower is the limit that leaves slots free.
func (s *Sizer) lower() int { return int(float64(s.slots) * (1 - freeShare)) }
