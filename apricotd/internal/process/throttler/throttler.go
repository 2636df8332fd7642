// Package throttler holds requests back at the root of their call trees.
//
// Nodes say on every answer which pool of the route's whole tree is asked for
// the most beyond what it can do, the bottleneck, and by which part of what is
// asked of it, the excess. A request that would fail three calls further down is
// so refused before any work is done for it. Of all requests at this node whose
// trees lead to one bottleneck, the excess is held back, the least urgent rank
// first.
//
// # Usage
//
//	t := &throttler.Throttler{}
//	t.Hear("search", serverID, throttler.Overload{Excess: 0.3, Bottleneck: "stock"})
//	if part, overload := t.Holds("search", rank); rand.Float64() < part { ... }
//
// A belief that is not renewed fades within seconds, so that some requests
// are let through to learn whether it still holds. Memory is one report for each
// route and server heard lately; a decision takes a step for each route.
package throttler

import (
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// reportHalfLife is how fast one server's report loses weight among others.
	reportHalfLife = time.Second
	// fadeAfter is the age from which the newest report itself loses force, by
	// half in each fadeHalfLife.
	fadeAfter    = 500 * time.Millisecond
	fadeHalfLife = time.Second
	// forgetAfter is when a server's report is dropped.
	forgetAfter = 5 * time.Second
	// minWeight is the weight of a server of which hardly anything is asked, in
	// requests per second.
	minWeight = 1.0
	// demandHalfLife is how fast requests of the past lose weight in the mix of
	// ranks.
	demandHalfLife = 2 * time.Second
	// manyRoutes is the number of routes from which those of past versions of
	// the tables are looked for and forgotten.
	manyRoutes = 1024
)

type (
	// An Overload is what a node reports of a call tree, or what is believed of
	// one.
	Overload struct {
		// Excess is negative if the pool could do more than it is asked for.
		Excess     float64
		Bottleneck string // pool
		// Weight is how much is asked of the server that says so.
		Weight float64
	}

	// A Throttler holds what this node has heard and what its callers ask for.
	// Its zero value is ready.
	Throttler struct {
		mu     sync.Mutex
		routes map[string]*route
	}

	route struct {
		reports    map[string]report // by server
		bottleneck string            // as last heard
		heard      time.Time
		rank       int
		demand     float64 // callers' requests, decaying
		asked      time.Time
	}

	report struct {
		Overload
		at time.Time
	}
)

// Hear takes a server's report on a route.
func (t *Throttler) Hear(name, server string, w Overload) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.route(name)
	r.reports[server] = report{Overload: w, at: time.Now()}
	r.bottleneck, r.heard = w.Bottleneck, time.Now()
}

// Believed returns what is believed of a route's trees.
func (t *Throttler) Believed(name string) Overload {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.believed(name, time.Now())
}

// Holds returns the part of the callers' requests like this one that is to be
// held back, and why.
func (t *Throttler) Holds(name string, rank int) (part float64, w Overload) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	r := t.route(name)
	r.rank = rank
	r.demand = r.left(now) + 1
	r.asked = now
	w = t.believed(name, now)
	if w.Excess <= 0 {
		return 0, w
	}
	below, same, above := t.mix(w.Bottleneck, rank, now)
	return max(0, min(1, (w.Excess*(below+same+above)-below)/same)), w
}

// mix returns the demand of all routes with a bottleneck, by ranks less urgent
// than, the same as and more urgent than one.
func (t *Throttler) mix(bottleneck string, rank int, now time.Time) (below, same, above float64) {
	for _, r := range t.routes {
		if r.bottleneck != bottleneck || r.demand == 0 {
			continue
		}
		switch d := r.left(now); {
		case r.rank > rank:
			below += d
		case r.rank == rank:
			same += d
		default:
			above += d
		}
	}
	return below, same, above
}

// believed returns the mean of what was heard on the route or, if that is old,
// on the route with the same bottleneck that was heard last: requests of an
// urgent rank still bring news while all others are held back.
func (t *Throttler) believed(name string, now time.Time) Overload {
	r := t.routes[name]
	if r == nil || now.Sub(r.heard) > forgetAfter {
		return Overload{}
	}
	if now.Sub(r.heard) > fadeAfter {
		r = t.latest(r)
	}
	w := r.mean(now)
	w.Excess *= decayer.Left(max(0, now.Sub(r.heard)-fadeAfter), fadeHalfLife)
	return w
}

func (t *Throttler) latest(r *route) *route {
	for _, other := range t.routes {
		if other.bottleneck == r.bottleneck && other.heard.After(r.heard) {
			r = other
		}
	}
	return r
}

func (t *Throttler) route(name string) *route {
	if t.routes == nil {
		t.routes = make(map[string]*route)
	}
	r := t.routes[name]
	if r == nil {
		if len(t.routes) >= manyRoutes {
			t.forget(time.Now())
		}
		r = &route{reports: make(map[string]report)}
		t.routes[name] = r
	}
	return r
}

// forget drops the routes of which nothing was heard or asked lately.
func (t *Throttler) forget(now time.Time) {
	for name, r := range t.routes {
		if now.Sub(r.heard) > forgetAfter && now.Sub(r.asked) > forgetAfter {
			delete(t.routes, name)
		}
	}
}

// mean weighs the servers' reports by age and by what is asked of each, so that a
// pool is not short of room while one of its servers is and the others have it.
func (r *route) mean(now time.Time) Overload {
	sum, weights := 0.0, 0.0
	for server, rep := range r.reports {
		age := now.Sub(rep.at)
		if age > forgetAfter {
			delete(r.reports, server)
			continue
		}
		w := decayer.Left(age, reportHalfLife) * max(minWeight, rep.Weight)
		sum += w * rep.Excess
		weights += w
	}
	if weights == 0 {
		return Overload{}
	}
	return Overload{Excess: sum / weights, Bottleneck: r.bottleneck}
}

func (r *route) left(now time.Time) float64 {
	return r.demand * decayer.Left(now.Sub(r.asked), demandHalfLife)
}
