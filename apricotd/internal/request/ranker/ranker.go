// Package ranker determines the priority of the calls that the own backend server
// makes: the rank of the caller's request at the root of their call tree.
//
// A call does not tell for which run it is made, so its rank is that of the runs in
// progress which, by the estimate of package correlator, make such calls. If these
// have several ranks, the call gets the most urgent one, since work has been done
// for it; ranks of only a few runs do not count.
//
// # Usage
//
//	r := &ranker.Ranker{PerRun: c.PerRun}
//	end := r.Begin("order", 1) // a run of this rank
//	rank, ok := r.Rank("stock") // of a call
//	end()
//
// Rank iterates over the routes that run at this moment.
package ranker

import (
	"sync"

	"apricotrudder.dev/apricotd/internal/process/correlator"
)

const (
	// maxRank bounds the ranks that are told apart. Higher ones count as this one.
	maxRank = 15
	// minFraction is the fraction of the runs from which a rank counts.
	minFraction = 0.1
)

// A Ranker observes one backend server. Its exported field must be set before use.
type Ranker struct {
	// PerRun returns the estimated number of calls of one kind for each run of a route.
	PerRun func(route, call string) float64

	mu     sync.Mutex
	routes map[string]*[maxRank + 1]int // runs in progress by rank; only routes that run
}

// Begin records that a request runs until the returned function is called.
func (r *Ranker) Begin(route string, rank int) (end func()) {
	rank = max(0, min(maxRank, rank))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = make(map[string]*[maxRank + 1]int)
	}
	runs := r.routes[route]
	if runs == nil {
		runs = new([maxRank + 1]int)
		r.routes[route] = runs
	}
	runs[rank]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if runs[rank]--; *runs == [maxRank + 1]int{} {
			delete(r.routes, route)
		}
	}
}

// Rank returns the rank of a call. It returns false if no run in progress is known to
// make such calls.
func (r *Ranker) Rank(call string) (rank int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs [maxRank + 1]int
	total := 0
	for route, byRank := range r.routes {
		if r.PerRun(route, call) < correlator.MinPerRun {
			continue
		}
		for i, n := range byRank {
			runs[i] += n
			total += n
		}
	}
	for i, n := range runs {
		if n > 0 && float64(n) >= minFraction*float64(total) {
			return i, true
		}
	}
	return 0, false
}
