// Package forecaster estimates which fraction of the requests that the own backend
// server runs are lost because calls made for them are rejected by servers that
// have room.
//
// Such a rejection says nothing about load, so the estimate of a call tree's
// overload (packages estimator and throttler) does not include it: the pool has
// free slots and yet a tree that needs several calls rarely comes through. The
// estimate is made from the runs themselves and not from the fraction of rejected
// calls, because a run that fails makes fewer calls than it would need.
//
// A call does not tell for which run it is made. A run counts as lost if it failed
// and a call of the backend server was rejected while it ran. Failures of other
// causes are counted too if they coincide with a rejected call; they are few
// unless many calls are rejected.
//
// # Usage
//
//	f := &forecaster.Forecaster{}
//	end := f.Begin("search")
//	f.RecordRejectedCall()
//	isLost := end(failed)
//	fraction := f.LostFraction("search")
//
// Each method takes constant time. Memory use is one record for each route that the
// backend server has run.
package forecaster

import (
	"maps"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// runHalfLife is the half-life of the weight of a run. It is a time and not a
	// number of runs, so that all servers of a pool notice a change equally soon.
	runHalfLife = 400 * time.Millisecond
	// minFraction is the least fraction that is reported.
	minFraction = 0.05
	// evictionThreshold is the number of stored routes at which idle ones, such as
	// those of past versions of the tables, are evicted.
	evictionThreshold = 1024
	idleTime          = 10 * time.Second
)

type (
	// A Forecaster observes one backend server. The zero value is ready to use.
	Forecaster struct {
		mu       sync.Mutex
		rejected uint64 // calls since the start
		routes   map[string]*route
	}

	// A route holds decaying counts of runs.
	route struct {
		runs, lost float64
		updatedAt  time.Time
	}
)

// RecordRejectedCall records that a call of the backend server has failed because
// a server with room rejected it, or a call further down in the tree.
func (f *Forecaster) RecordRejectedCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected++
}

// Begin records that a request of a route runs until the returned function is
// called with whether it failed. That function returns whether the run was lost.
func (f *Forecaster) Begin(name string) (end func(failed bool) (isLost bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.rejected
	return func(failed bool) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		isLost := failed && f.rejected != before
		f.observe(name, isLost)
		return isLost
	}
}

func (f *Forecaster) observe(name string, isLost bool) {
	now := time.Now()
	r := f.routes[name]
	if r == nil {
		if f.routes == nil {
			f.routes = make(map[string]*route)
		}
		if len(f.routes) >= evictionThreshold {
			maps.DeleteFunc(f.routes, func(_ string, r *route) bool { return now.Sub(r.updatedAt) > idleTime })
		}
		r = &route{updatedAt: now}
		f.routes[name] = r
	}
	factor := decayer.Factor(now.Sub(r.updatedAt), runHalfLife)
	r.runs, r.lost, r.updatedAt = r.runs*factor+1, r.lost*factor, now
	if isLost {
		r.lost++
	}
}

// LostFraction returns the fraction of the recent runs of a route that were lost
// to rejected calls; 0 if there were hardly any.
func (f *Forecaster) LostFraction(name string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routes[name].fraction()
}

// LostFractions returns the fraction of each route that loses runs and has run
// recently.
func (f *Forecaster) LostFractions() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64)
	for name, r := range f.routes {
		if fraction := r.fraction(); fraction > 0 && time.Since(r.updatedAt) < idleTime {
			out[name] = fraction
		}
	}
	return out
}

func (r *route) fraction() float64 {
	if r == nil || r.lost < minFraction*r.runs {
		return 0
	}
	return r.lost / r.runs
}
