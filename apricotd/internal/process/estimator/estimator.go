// Package estimator estimates the overload of the local backend server: how far the
// demand on it exceeds its capacity.
//
// The result is the excess: the fraction of the demand that must be throttled
// at the roots of the call trees so that the server is just fully used. It is
// negative for a server with spare capacity. Senders state which fraction of
// similar requests was throttled when they sent a request, so the demand is the
// arrival rate divided by the remaining fraction, and the fraction to admit now
// is the capacity divided by the demand. The queue length corrects that
// fraction: a queue longer than its target lowers it, free slots raise it.
//
// # Usage
//
//	e := &estimator.Estimator{Load: load}
//	go e.Run(ctx)
//	e.RecordAdmitted(throttledFraction)
//	e.RecordRefused()
//	excess, demand := e.Excess(), e.Demand()
package estimator

import (
	"context"
	"math"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/repeater"
)

const (
	sampleInterval = 100 * time.Millisecond
	// rateSmoothing is the weight of one interval in the moving averages of the
	// arrival rate and of the throttled fraction. The demand is computed from
	// both, so both must lag equally: each arrival is then compared with the
	// fraction that applied up to half a second before it.
	rateSmoothing = 0.35
	// occupancySmoothing is the weight of one sample in the moving average of
	// the occupancy.
	occupancySmoothing = 0.7
	// queueCorrectionTime is the time in which the queue is to reach its target
	// length. It must exceed the delay until a correction takes effect, or the
	// same error would be corrected twice.
	queueCorrectionTime = time.Second
	// targetUtilisation is the fraction of the capacity to use.
	targetUtilisation = 0.98
	// minRatio and maxRatio bound each of the two ratios whose product is the
	// fraction to admit. maxRatio is large so that an almost idle server reports
	// nearly all of its spare capacity.
	minRatio = 0.25
	maxRatio = 20.0
	// maxExcess bounds the throttled fraction. The requests that still pass
	// show when the overload ends.
	maxExcess = 0.95
	// minUsableSlots bounds the slots that a limited rate leaves usable, so that
	// the capacity of a server which accepts nothing is not 0.
	minUsableSlots = 0.01
	// minExcess is the excess of an idle server.
	minExcess = 1 - maxRatio
)

type (
	// A Load is a snapshot of a server's slots and queue.
	Load struct {
		Running int
		Waiting int
		Slots   int // requests that may run at once
		// MeanServiceTime is the mean time for which a request occupies a slot.
		MeanServiceTime time.Duration
		// MaxRate is the number of requests per second that the server accepts, if
		// RateLimited is true.
		MaxRate     float64
		RateLimited bool
	}

	// An Estimator estimates the excess of one backend server. Its exported field
	// must be set before Run.
	Estimator struct {
		// Load returns the current load.
		Load func() Load

		mu                sync.Mutex
		admitted          int     // since the last step
		refused           int     // since the last step
		throttledSum      float64 // sum of the throttled fractions of the admitted requests
		occupancy         float64 // mean of running and waiting requests
		arrivalRate       float64 // mean, requests per second
		throttledFraction float64 // mean
		excess            float64
		demand            float64 // requests per second
	}
)

// RecordAdmitted records a request that got a slot, and which fraction of
// similar requests is throttled at the root, as its sender stated.
func (e *Estimator) RecordAdmitted(throttledFraction float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitted++
	e.throttledSum += max(0, min(maxExcess, throttledFraction))
}

// RecordRefused records a request that was refused for lack of a slot.
func (e *Estimator) RecordRefused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused++
}

// Reset forgets the demand and the excess, after a change of the capacity that makes them
// worthless.
func (e *Estimator) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitted, e.refused, e.throttledSum = 0, 0, 0
	e.occupancy, e.arrivalRate, e.throttledFraction, e.excess, e.demand = 0, 0, 0, 0, 0
}

// Excess returns the fraction of the demand that exceeds the capacity.
func (e *Estimator) Excess() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.excess
}

// Demand returns the demand in requests per second, throttled requests
// included.
func (e *Estimator) Demand() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.demand
}

// Run updates the estimate until the context ends.
func (e *Estimator) Run(ctx context.Context) {
	repeater.Run(ctx, sampleInterval, func(time.Time) { e.Step(sampleInterval) })
}

// Step updates the estimate, given the time since the last step.
func (e *Estimator) Step(elapsed time.Duration) {
	load := e.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	admitted, refused, throttledSum := float64(e.admitted), float64(e.refused), e.throttledSum
	e.admitted, e.refused, e.throttledSum = 0, 0, 0
	if load.Slots <= 0 || load.MeanServiceTime <= 0 {
		return
	}
	slots := usableSlots(load)
	seconds := elapsed.Seconds()
	// Each refused request would have occupied a slot for the mean service
	// time.
	offeredLoad := float64(load.Running+load.Waiting) + refused*load.MeanServiceTime.Seconds()/seconds
	e.occupancy += (offeredLoad - e.occupancy) * occupancySmoothing
	e.arrivalRate += ((admitted+refused)/seconds - e.arrivalRate) * rateSmoothing
	if admitted > 0 {
		e.throttledFraction += (throttledSum/admitted - e.throttledFraction) * rateSmoothing
	}
	e.demand = e.arrivalRate / (1 - e.throttledFraction)
	capacity := slots / load.MeanServiceTime.Seconds()
	correction := 1 + (targetOccupancy(slots)-e.occupancy)/(capacity*queueCorrectionTime.Seconds())
	admitFraction := clampRatio(targetUtilisation*capacity/e.demand) * clampRatio(correction)
	e.excess = max(minExcess, min(maxExcess, 1-admitFraction))
}

// clampRatio bounds a ratio by minRatio and maxRatio. The ratio of an idle server
// is infinite.
func clampRatio(ratio float64) float64 {
	return max(minRatio, min(maxRatio, ratio))
}

// targetOccupancy returns how many requests should run or wait so that hardly
// any slot is ever free. By square-root staffing of queueing theory, a queue of
// the square root of the number of slots absorbs the variance of arrivals.
func targetOccupancy(slots float64) float64 {
	return slots + math.Sqrt(slots)
}

// usableSlots returns how many slots the requests can occupy that the server
// accepts. By Little's law it is the product of rate and service time.
func usableSlots(load Load) float64 {
	slots := float64(load.Slots)
	if !load.RateLimited {
		return slots
	}
	return min(slots, max(minUsableSlots, load.MaxRate*load.MeanServiceTime.Seconds()))
}
