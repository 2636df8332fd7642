// Package gauger measures how far a backend server is asked for more than it
// can do.
//
// The pressure is the output of a controller that holds the server just full:
// it rises while requests wait or are refused, and falls while slots are free.
// Its unit is one rank: at a pressure of 0.4 two fifths of the least urgent
// rank are to be held back at the root of their call trees, at 1.4 all of it
// and two fifths of the next.
//
// # Usage
//
//	g := &gauger.Gauger{Load: load}
//	go g.Run(ctx)
//	g.Refused()
//	p := g.Pressure()
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
	// targetFill is the fill at which the pressure stays as it is.
	targetFill = 1.05
	// riseGain and fallGain are ranks per second for a fill that is off the
	// target by one. Falling is faster, since free slots help nobody.
	riseGain = 0.6
	fallGain = 1.0
	// directGain is ranks for a fill that is above the target by one.
	directGain = 0.3
	// maxError bounds what one measurement counts.
	maxError = 1.0
	// smoothing is the weight of one measurement in the mean fill.
	smoothing = 0.3
	// MaxPressure is the largest pressure.
	MaxPressure = 2.5
)

// A Gauger measures one backend server. Its exported field must be set before
// Run.
type Gauger struct {
	// Load returns the requests that run and wait, and how many may run.
	Load func() (running, waiting, slots int)

	refused  atomic.Int64
	pressure atomic.Uint64 // bits of a float64

	mu    sync.Mutex
	fill  float64
	level float64
}

// Refused records a request that found no room.
func (g *Gauger) Refused() { g.refused.Add(1) }

// Pressure returns the latest pressure.
func (g *Gauger) Pressure() float64 { return math.Float64frombits(g.pressure.Load()) }

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
	running, waiting, slots := g.Load()
	if slots <= 0 {
		return
	}
	refused := float64(g.refused.Swap(0))
	g.mu.Lock()
	defer g.mu.Unlock()
	fill := (float64(running+waiting) + refused) / float64(slots)
	g.fill += (fill - g.fill) * smoothing
	off := max(-maxError, min(maxError, g.fill-targetFill))
	gain := riseGain
	if off < 0 {
		gain = fallGain
	}
	g.level = max(0, min(MaxPressure, g.level+gain*off*passed.Seconds()))
	p := min(MaxPressure, g.level+directGain*max(0, off))
	g.pressure.Store(math.Float64bits(p))
}
