// Package inheritor determines which part of the demand was refused at the root of the
// call trees to which the own backend server's calls belong.
//
// The server that gets a call derives the whole demand from the calls that arrive and
// from the part that was refused before them. The part has to be the one that applied
// when the roots admitted these call trees. The present estimate of the node that sends
// the call is seconds ahead of the roots: while the excess rises, the demand seems greater
// than it is, while it falls, smaller, and the pool is overloaded and idle by turns.
//
// A call does not tell for which run it is made, so it inherits the mean of the runs in
// progress, weighted by the calls that they make by the estimate of package correlator.
//
// # Usage
//
//	i := &inheritor.Inheritor{Calls: c.Calls}
//	end := i.Begin("order", 0.4) // a run; 0.4 of the demand was refused at its root
//	fraction, ok := i.RefusedFraction("stock") // of a call
//	end()
//
// RefusedFraction iterates over the routes that run at this moment.
package inheritor

import (
	"sync"

	"apricotrudder.dev/apricotd/internal/process/correlator"
)

type (
	// An Inheritor observes one backend server. Its exported field must be set before
	// use.
	Inheritor struct {
		// Calls returns the estimated calls of a route.
		Calls func(route string) []correlator.Call

		mu     sync.Mutex
		routes map[string]*runs // only routes that run
	}

	// runs are the runs in progress of one route.
	runs struct {
		n       int
		refused float64 // sum of the refused fractions
	}
)

// Begin records that a request runs until the returned function is called, and the
// fraction of the demand, 0 to 1, that was refused when the root of its call tree
// admitted it.
func (i *Inheritor) Begin(route string, refused float64) (end func()) {
	refused = max(0, min(1, refused)) // as peers state it
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.routes == nil {
		i.routes = make(map[string]*runs)
	}
	r := i.routes[route]
	if r == nil {
		r = &runs{}
		i.routes[route] = r
	}
	r.n++
	r.refused += refused
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		r.n--
		r.refused -= refused
		if r.n == 0 {
			delete(i.routes, route)
		}
	}
}

// RefusedFraction returns the fraction of the demand that was refused at the roots of
// the call trees to which a call belongs. It returns false if no run in progress is known
// to make such calls.
func (i *Inheritor) RefusedFraction(call string) (fraction float64, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	calls, refused := 0.0, 0.0
	for name, r := range i.routes {
		for _, c := range i.Calls(name) {
			if c.Name == call {
				calls += c.PerRun * float64(r.n)
				refused += c.PerRun * r.refused
			}
		}
	}
	if calls == 0 {
		return 0, false
	}
	return max(0, refused/calls), true
}
