// Package tracer learns which calls the own backend server makes for which
// routes, although nothing on a call says for which request it is made.
//
// Calls are taken for a Poisson process whose rate is the number of running
// requests of each route times that route's own rate. The rates are estimated
// by expectation maximisation as events come in: each call is divided among
// the running routes by their present estimates. Routes that seldom run
// together are told apart within seconds.
//
// # Usage
//
//	t := &tracer.Tracer{}
//	end := t.Begin("search")
//	t.Call("lookup") // the backend server calls
//	end()
//	n := t.CallsPerRun("search", "lookup")
//
// An event costs one step for each route that has run lately.
package tracer

import (
	"math"
	"sync"
	"time"
)

const (
	// firstHalfLife is how fast the first events are forgotten, which were
	// divided by estimates that knew nothing. It grows by the age of the
	// tracer up to lastHalfLife.
	firstHalfLife = 2 * time.Second
	lastHalfLife  = time.Minute
	// priorExposure and priorCalls stand for what is not known yet: about one
	// call in a second.
	priorExposure = 0.5 // seconds
	priorCalls    = 0.5
)

type (
	// A Tracer holds the estimates of one backend server.
	Tracer struct {
		mu      sync.Mutex
		started time.Time
		last    time.Time // up to which exposure is counted
		routes  map[string]*route
	}

	// A Call is what is known of one kind of call.
	Call struct {
		Name   string  `json:"name"`
		PerRun float64 `json:"perRun"` // calls that one request makes
	}

	route struct {
		running  int
		runs     float64
		exposure float64 // seconds that requests of the route have run
		calls    map[string]float64
	}
)

// Begin records that a request of a route runs, until the function returned is
// called.
func (t *Tracer) Begin(name string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(time.Now())
	r := t.routes[name]
	if r == nil {
		r = &route{calls: make(map[string]float64)}
		t.routes[name] = r
	}
	r.running++
	r.runs++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.advance(time.Now())
		r.running--
	}
}

// Call records a call of the backend server.
func (t *Tracer) Call(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(time.Now())
	total := 0.0
	for _, r := range t.routes {
		total += float64(r.running) * r.rate(name)
	}
	if total <= 0 {
		return
	}
	for _, r := range t.routes {
		if r.running > 0 {
			r.calls[name] += float64(r.running) * r.rate(name) / total
		}
	}
}

// CallsPerRun estimates how many calls of a name one request of a route makes.
func (t *Tracer) CallsPerRun(routeName, call string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[routeName]
	if r == nil || r.runs < 1 {
		return 0
	}
	return r.calls[call] / r.runs
}

// Calls returns the estimates for all calls of a route.
func (t *Tracer) Calls(routeName string) []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[routeName]
	if r == nil || r.runs < 1 {
		return nil
	}
	out := make([]Call, 0, len(r.calls))
	for name, calls := range r.calls {
		out = append(out, Call{Name: name, PerRun: calls / r.runs})
	}
	return out
}

// rate returns the calls per second of one running request.
func (r *route) rate(call string) float64 {
	return (r.calls[call] + priorCalls) / (r.exposure + priorExposure)
}

// advance counts the time since the last event and forgets old ones.
func (t *Tracer) advance(now time.Time) {
	if t.routes == nil {
		t.routes = make(map[string]*route)
		t.started, t.last = now, now
	}
	passed := now.Sub(t.last).Seconds()
	halfLife := min(lastHalfLife, max(firstHalfLife, now.Sub(t.started)/2))
	keep := math.Exp2(-passed / halfLife.Seconds())
	t.last = now
	for _, r := range t.routes {
		r.exposure = r.exposure*keep + float64(r.running)*passed
		r.runs *= keep
		for name := range r.calls {
			r.calls[name] *= keep
		}
	}
}
