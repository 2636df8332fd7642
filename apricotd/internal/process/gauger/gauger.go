// Package gauger measures how far a backend server is asked for more than it
// can do.
//
// The result is the excess: the part of the requests, 0 to 1, that is to be held
// back at the roots of their call trees so that the server is just full. What
// comes was let through under the excess of a moment ago, so the rate of arrivals
// divided by the part let through then is what is asked for, and the rate at
// which the server works divided by that is what to let through now. The fill
// corrects this: a queue that is longer than wanted lets less through, free
// slots more.
//
// # Usage
//
//	g := &gauger.Gauger{Load: load}
//	go g.Run(ctx)
//	g.Arrived()
//	g.Refused()
//	e := g.Excess()
package gauger

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	interval = 100 * time.Millisecond
	// smoothing is the weight of one interval in the means of arrivals and of
	// the part let through. Both means are as slow, so that each arrival is
	// compared with what was let through up to half a second before it.
	smoothing = 0.35
	// presentSmoothing is the weight of one look at the queue in its mean.
	presentSmoothing = 0.7
	// correctWithin is the time within which a queue that is too long or too
	// short is to have the wanted length. It is longer than it takes until a
	// correction shows its effect; a shorter time would correct twice.
	correctWithin = time.Second
	// utilisation is the part of what the server can do that is aimed at.
	utilisation = 0.98
	// maxRatio bounds the ratios in one step.
	maxRatio = 4.0
	// minThrough is always let through, to see when the overload ends.
	minThrough = 0.05
)

type (
	// A Load is what a server is asked for at a moment.
	Load struct {
		Running int
		Waiting int
		Slots   int // requests that may run at once
		// Service is the mean time for which a request holds a slot.
		Service time.Duration
	}

	// A Gauger measures one backend server. Its exported field must be set
	// before Run.
	Gauger struct {
		// Load returns the load of the moment.
		Load func() Load

		arrived atomic.Int64
		refused atomic.Int64
		excess  atomic.Uint64 // bits of a float64

		mu       sync.Mutex
		present  float64 // mean, running and waiting
		arrivals float64 // mean, a second
		held     float64 // mean excess
	}
)

// Arrived records a request that found room.
func (g *Gauger) Arrived() { g.arrived.Add(1) }

// Refused records a request that found no room.
func (g *Gauger) Refused() { g.refused.Add(1) }

// Excess returns the part of the requests that is to be held back.
func (g *Gauger) Excess() float64 { return math.Float64frombits(g.excess.Load()) }

// Run measures until the context ends.
func (g *Gauger) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Step(interval)
		}
	}
}

// Step takes one measurement, a time after the last.
func (g *Gauger) Step(passed time.Duration) {
	load := g.Load()
	refused, arrived := float64(g.refused.Swap(0)), float64(g.arrived.Swap(0))
	if load.Slots <= 0 || load.Service <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	seconds := passed.Seconds()
	// What was refused would have filled slots for its time of service.
	offered := float64(load.Running+load.Waiting) + refused*load.Service.Seconds()/seconds
	g.present += (offered - g.present) * presentSmoothing
	g.arrivals += ((arrived+refused)/seconds - g.arrivals) * smoothing
	capacity := float64(load.Slots) / load.Service.Seconds()
	correction := 1 + (wanted(load.Slots)-g.present)/(capacity*correctWithin.Seconds())
	through := (1 - g.held) * bound(utilisation*capacity/g.arrivals) * bound(correction)
	excess := 1 - max(minThrough, min(1, through))
	g.held += (excess - g.held) * smoothing
	g.excess.Store(math.Float64bits(excess))
}

// bound also stands for the ratios by zero.
func bound(ratio float64) float64 {
	return max(1/maxRatio, min(maxRatio, ratio))
}

// wanted is how many requests are to be present so that hardly any slot is ever
// free: a queue as long as the square root of the slots evens out how requests
// come (square-root staffing of queueing theory).
func wanted(slots int) float64 {
	return float64(slots) + math.Sqrt(float64(slots))
}
