// Package trier lets callers' requests try out, while the servers of their pool are cold,
// whether their call trees can be served as a whole.
//
// A cold pool takes few requests, and the pools that a request's calls lead to may be cold
// as well. Which these are, a node that has just started does not know. Without a limit it
// begins many trees at once, most of which break at a later call: they use up the room of
// requests that need no calls, and callers of requests that must not be repeated can't
// return. So for each route few requests run at once at first. Each one that is served
// allows one more, and one that breaks off stops the route for half of the cold time left.
//
// # Usage
//
//	end, wait := t.Begin(route, coldLeft)
//	if wait > 0 { ... } // refused; the caller may return after wait
//	defer end(trier.Served)
//
// A Trier holds one record for each route that was requested while its pool was cold.
package trier

import (
	"sync"
	"time"
)

// Results of a request.
const (
	Served Result = iota // its whole tree was served
	Broken               // it ran, and failed or got no answer in time
	NotRun               // refused, or its caller has left
)

const (
	// retryAfter is the longest retry delay while nothing shows that the trees of a route
	// break.
	retryAfter = 600 * time.Millisecond
	// forgetAfter is how long after the cold time what was tried still counts, since
	// statements on the cold time differ.
	forgetAfter = time.Second
)

type (
	// A Result is the result of a request.
	Result int

	// A Trier limits the requests of routes whose pool is cold. The zero value is ready to
	// use.
	Trier struct {
		mu     sync.Mutex
		routes map[string]*route
	}

	route struct {
		running   int
		window    int // how many may run at once
		coldUntil time.Time
		stoppedTo time.Time // after a tree has broken
	}
)

// Wait returns what Begin would return as wait, and begins nothing.
func (t *Trier) Wait(name string, coldLeft time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wait(name, coldLeft, time.Now())
}

func (t *Trier) wait(name string, coldLeft time.Duration, now time.Time) time.Duration {
	r := t.routes[name]
	switch {
	case r == nil || r.isPast(now):
		return 0
	case now.Before(r.stoppedTo):
		return coldLeft
	case r.running >= r.window:
		return min(coldLeft, retryAfter)
	}
	return 0
}

// Begin lets a request begin, whose result end must be called with once, or returns after
// what time its caller may return. coldLeft is the time until the servers of its pool are
// warm.
func (t *Trier) Begin(name string, coldLeft time.Duration) (end func(Result), wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if wait := t.wait(name, coldLeft, now); wait > 0 {
		return nil, wait
	}
	r := t.routes[name]
	if r == nil || r.isPast(now) {
		t.forget(now)
		r = &route{window: 1}
		t.routes[name] = r
	}
	r.running++
	r.coldUntil = now.Add(coldLeft)
	return func(result Result) {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.end(result, time.Now())
	}, 0
}

func (r *route) end(result Result, now time.Time) {
	r.running--
	switch result {
	case Served:
		r.window++
	case Broken:
		r.window = 1
		r.stoppedTo = now.Add(r.coldUntil.Sub(now) / 2)
	}
}

func (r *route) isPast(now time.Time) bool { return now.After(r.coldUntil.Add(forgetAfter)) }

// forget drops the routes of an earlier cold time.
func (t *Trier) forget(now time.Time) {
	if t.routes == nil {
		t.routes = make(map[string]*route)
	}
	for name, r := range t.routes {
		if r.isPast(now) {
			delete(t.routes, name)
		}
	}
}
