package estimator

import (
	"testing"
	"time"
)

type (
	// A pool simulates a server that requests reach after a delay, with an
	// unbounded queue.
	pool struct {
		slots            float64
		service          time.Duration
		delaySteps       int     // steps between sending and arrival
		pending          []sent  // in transit
		arrivalRemainder float64 // fraction of a request not recorded yet
		occupancy        float64 // running and waiting
		served           float64
	}

	// sent holds the requests sent in one step and the fraction throttled then.
	sent struct{ requests, throttledFraction float64 }
)

// step sends the demand (requests per second) that is not throttled for one
// step.
func (p *pool) step(e *Estimator, demand float64, length time.Duration) {
	throttled := max(0, e.Excess())
	p.pending = append(p.pending, sent{requests: demand * (1 - throttled) * length.Seconds(), throttledFraction: throttled})
	if len(p.pending) > p.delaySteps {
		first := p.pending[0]
		p.occupancy += first.requests
		for p.arrivalRemainder += first.requests; p.arrivalRemainder >= 1; p.arrivalRemainder-- {
			e.RecordAdmitted(first.throttledFraction)
		}
		p.pending = p.pending[1:]
	}
	completed := min(p.occupancy, min(p.occupancy, p.slots)*length.Seconds()/p.service.Seconds())
	p.occupancy -= completed
	p.served += completed
}

func (p *pool) load() Load {
	running := min(p.occupancy, p.slots)
	return Load{Running: int(running), Waiting: int(p.occupancy - running), Slots: int(p.slots), MeanServiceTime: p.service}
}

// run simulates a period and returns how many requests the pool served in it.
func (p *pool) run(e *Estimator, demand float64, length time.Duration) float64 {
	const step = 10 * time.Millisecond
	before := p.served
	for t := time.Duration(0); t < length; t += step {
		p.step(e, demand, step)
		if t%sampleInterval == 0 {
			e.Step(sampleInterval)
		}
	}
	return p.served - before
}

// Demand jumps to a multiple of the capacity, and requests arrive with a delay.
// The pool must stay almost fully used without a long queue.
func TestUsesCapacityUnderOverload(t *testing.T) {
	for _, c := range []struct {
		overloadFactor float64
		delay          time.Duration
	}{{1.2, 100 * time.Millisecond}, {1.7, 300 * time.Millisecond}, {2.5, 300 * time.Millisecond}, {4, 500 * time.Millisecond}} {
		p := &pool{slots: 14, service: 22 * time.Millisecond, delaySteps: int(c.delay / (10 * time.Millisecond))}
		e := &Estimator{Load: p.load}
		capacity := p.slots / p.service.Seconds()
		p.run(e, 0.5*capacity, 5*time.Second)
		p.run(e, c.overloadFactor*capacity, 3*time.Second)
		got := p.run(e, c.overloadFactor*capacity, 10*time.Second) / (10 * capacity)
		if got < 0.95 {
			t.Errorf("utilisation at %.1f times the capacity and a delay of %v: got %.2f, want at least 0.95", c.overloadFactor, c.delay, got)
		}
		if wait := (p.occupancy - p.slots) / capacity; wait > 0.3 {
			t.Errorf("queue wait at %.1f times the capacity: got %.2f s, want at most 0.3 s", c.overloadFactor, wait)
		}
	}
}

// Nothing may be throttled any more three seconds after an overload ends.
func TestRecoversAfterOverload(t *testing.T) {
	p := &pool{slots: 14, service: 22 * time.Millisecond, delaySteps: 30}
	e := &Estimator{Load: p.load}
	capacity := p.slots / p.service.Seconds()
	p.run(e, 4*capacity, 10*time.Second)
	p.run(e, 0.5*capacity, 3*time.Second)
	if got := e.Excess(); got > 0.01 {
		t.Errorf("excess 3 s after the overload: got %.2f, want 0", got)
	}
}

// Short bursts below the capacity must not cause throttling.
func TestBurstsBelowCapacityAreNotThrottled(t *testing.T) {
	p := &pool{slots: 36, service: 220 * time.Millisecond}
	e := &Estimator{Load: p.load}
	capacity := p.slots / p.service.Seconds()
	for range 20 {
		p.run(e, 0.9*capacity, 400*time.Millisecond)
		if got := e.Excess(); got > 0 {
			t.Fatalf("excess below capacity: got %.2f, want 0", got)
		}
		p.run(e, 0.4*capacity, 600*time.Millisecond)
	}
}

// Guards against demand that is admitted at the root for slots that a limited rate
// leaves unused.
func TestLimitedRateIsTheCapacity(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 20} {
		limited := func() Load {
			return Load{Running: 2, Slots: 86, MeanServiceTime: 100 * time.Millisecond, RateLimited: true, MaxRate: rate}
		}
		e := &Estimator{Load: limited}
		for range 40 {
			for range 4 {
				e.RecordRefused()
			}
			e.RecordAdmitted(0)
			e.Step(sampleInterval)
		}
		if got := e.Excess(); got < 0.5 || got > maxExcess {
			t.Errorf("excess at rate %v and a demand of 50 requests per second: got %v, want 0.5 to %v", rate, got, maxExcess)
		}
	}
}
