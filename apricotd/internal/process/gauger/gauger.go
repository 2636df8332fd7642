// Package gauger measures how far a backend server is asked for more than it
// can do.
//
// The result is the excess: the part of what is asked for that is to be held
// back at the roots of the call trees so that the server is just full. It is
// negative for a server that could do more. Senders say which part was held back
// when a request was let through, so the rate of arrivals divided by the rest is
// what is asked for, and the rate at which the server works divided by that is
// the part to let through now. The queue corrects this: one that is longer than
// wanted lets less through, free slots more.
//
// # Usage
//
//	g := &gauger.Gauger{Load: load}
//	go g.Run(ctx)
//	g.Arrived(held)
//	g.Refused()
//	e, d := g.Excess(), g.Demand()
package gauger

import (
	"context"
	"math"
	"sync"
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
	// leastRatio and mostRatio bound the ratios in one step. A server that is
	// hardly used tells nearly all of its room, for which the second is large.
	leastRatio = 0.25
	mostRatio  = 20.0
	// MaxHeld is the largest part that is held back; the rest shows when the
	// overload ends.
	MaxHeld = 0.95
	// minExcess is the least excess, of a server that has hardly anything to do.
	minExcess = 1 - mostRatio
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

		mu       sync.Mutex
		arrived  int     // since the last step
		refused  int     // since the last step
		heldSum  float64 // parts held back, of those that arrived
		present  float64 // mean, running and waiting
		arrivals float64 // mean, a second
		held     float64 // mean
		excess   float64
		demand   float64
	}
)

// Arrived records a request that found room, and the part of those like it that
// is held back.
func (g *Gauger) Arrived(held float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived++
	g.heldSum += max(0, min(MaxHeld, held))
}

// Refused records a request that found no room.
func (g *Gauger) Refused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused++
}

// Excess returns the part of what is asked for that the server cannot do.
func (g *Gauger) Excess() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.excess
}

// Demand returns what is asked for, in requests per second.
func (g *Gauger) Demand() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demand
}

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
	g.mu.Lock()
	defer g.mu.Unlock()
	arrived, refused, heldSum := float64(g.arrived), float64(g.refused), g.heldSum
	g.arrived, g.refused, g.heldSum = 0, 0, 0
	if load.Slots <= 0 || load.Service <= 0 {
		return
	}
	seconds := passed.Seconds()
	// What was refused would have filled slots for its time of service.
	offered := float64(load.Running+load.Waiting) + refused*load.Service.Seconds()/seconds
	g.present += (offered - g.present) * presentSmoothing
	g.arrivals += ((arrived+refused)/seconds - g.arrivals) * smoothing
	if arrived > 0 {
		g.held += (heldSum/arrived - g.held) * smoothing
	}
	g.demand = g.arrivals / (1 - g.held)
	capacity := float64(load.Slots) / load.Service.Seconds()
	correction := 1 + (wanted(load.Slots)-g.present)/(capacity*correctWithin.Seconds())
	through := bound(utilisation*capacity/g.demand) * bound(correction)
	g.excess = max(minExcess, min(MaxHeld, 1-through))
}

// bound keeps a ratio within the limits of one step; it may be infinite, of an
// idle server.
func bound(ratio float64) float64 {
	return max(leastRatio, min(mostRatio, ratio))
}

// wanted is how many requests are to be present so that hardly any slot is ever
// free: a queue as long as the square root of the slots evens out how requests
// come (square-root staffing of queueing theory).
func wanted(slots int) float64 {
	return float64(slots) + math.Sqrt(float64(slots))
}
