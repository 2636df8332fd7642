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
//	i := &inheritor.Inheritor{PerRun: c.PerRun}
//	end := i.Begin("order", inheritor.Tree{Refused: 0.1, Excess: 0.4, Bottleneck: "stock"}) // a run
//	tree, ok := i.Inherit("read", "stock") // of a call to a pool
//	end()
//
// Inherit iterates over the routes that run at this moment.
package inheritor

import "sync"

type (
	// A Tree is what applied at the root of a call tree when it was admitted.
	Tree struct {
		// Refused is the fraction, 0 to 1, of the demand on the pool of the request that
		// was refused.
		Refused float64
		// Excess is that of the Bottleneck, 0 to 1, or 0 without one.
		Excess     float64
		Bottleneck string
	}

	// An Inheritor observes one backend server. Its exported field must be set before
	// use.
	Inheritor struct {
		// PerRun returns the estimated number of calls of one kind for each run of a
		// route.
		PerRun func(route, call string) float64

		mu     sync.Mutex
		routes map[string]map[string]*runs // by route and bottleneck; only those that run
	}

	// runs are the runs in progress of one route whose trees have the same bottleneck.
	runs struct {
		n       int
		refused float64 // sum
		excess  float64 // sum
	}
)

// Begin records that a request runs until the returned function is called.
func (i *Inheritor) Begin(route string, t Tree) (end func()) {
	// Peers may state any number.
	refused, excess := max(0, min(1, t.Refused)), max(0, min(1, t.Excess))
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.routes == nil {
		i.routes = make(map[string]map[string]*runs)
	}
	byBottleneck := i.routes[route]
	if byBottleneck == nil {
		byBottleneck = make(map[string]*runs)
		i.routes[route] = byBottleneck
	}
	r := byBottleneck[t.Bottleneck]
	if r == nil {
		r = &runs{}
		byBottleneck[t.Bottleneck] = r
	}
	r.n++
	r.refused += refused
	r.excess += excess
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		r.n--
		r.refused -= refused
		r.excess -= excess
		if r.n > 0 {
			return
		}
		if delete(byBottleneck, t.Bottleneck); len(byBottleneck) == 0 {
			delete(i.routes, route)
		}
	}
}

// Inherit returns what applied at the roots of the call trees to which a call to a pool
// belongs, with the bottleneck that most of them have. It returns false if no run in
// progress is known to make such calls.
func (i *Inheritor) Inherit(call, pool string) (t Tree, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	calls, most := 0.0, 0.0
	for name, byBottleneck := range i.routes {
		perRun := i.PerRun(name, call)
		if perRun == 0 {
			continue
		}
		for bottleneck, r := range byBottleneck {
			n := perRun * float64(r.n)
			calls += n
			if bottleneck == pool {
				t.Refused += perRun * r.excess
			} else {
				t.Refused += perRun * r.refused
			}
			if n > most {
				most, t.Bottleneck, t.Excess = n, bottleneck, max(0, r.excess/float64(r.n))
			}
		}
	}
	if calls == 0 {
		return Tree{}, false
	}
	t.Refused = max(0, t.Refused/calls)
	return t, true
}
