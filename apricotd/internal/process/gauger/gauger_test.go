package gauger

import (
	"testing"
	"time"
)

type (
	// A pool serves what reaches it after a delay; what finds no slot waits.
	pool struct {
		slots   float64
		service time.Duration
		delay   int     // steps until what is let through arrives
		pipe    []sent  // on the way
		rest    float64 // arrivals that are not told yet
		present float64 // running and waiting
		served  float64
	}

	// What was sent in one step, and the part that was held back then.
	sent struct{ requests, held float64 }
)

// pass lets demand (requests a second) through for one step.
func (p *pool) pass(g *Gauger, demand float64, step time.Duration) {
	held := max(0, g.Excess())
	p.pipe = append(p.pipe, sent{requests: demand * (1 - held) * step.Seconds(), held: held})
	if len(p.pipe) > p.delay {
		first := p.pipe[0]
		p.present += first.requests
		for p.rest += first.requests; p.rest >= 1; p.rest-- {
			g.Arrived(first.held)
		}
		p.pipe = p.pipe[1:]
	}
	done := min(p.present, min(p.present, p.slots)*step.Seconds()/p.service.Seconds())
	p.present -= done
	p.served += done
}

func (p *pool) load() Load {
	running := min(p.present, p.slots)
	return Load{Running: int(running), Waiting: int(p.present - running), Slots: int(p.slots), Service: p.service}
}

// play returns what the pool served in a time.
func (p *pool) play(g *Gauger, demand float64, length time.Duration) float64 {
	const step = 10 * time.Millisecond
	before := p.served
	for t := time.Duration(0); t < length; t += step {
		p.pass(g, demand, step)
		if t%interval == 0 {
			g.Step(interval)
		}
	}
	return p.served - before
}

// Pattern: demand rises at once to a multiple of what the pool can do, and what
// is let through arrives late.
func TestServesNearlyAllItCan(t *testing.T) {
	for _, c := range []struct {
		times float64
		delay time.Duration
	}{{1.2, 100 * time.Millisecond}, {1.7, 300 * time.Millisecond}, {2.5, 300 * time.Millisecond}, {4, 500 * time.Millisecond}} {
		p := &pool{slots: 14, service: 22 * time.Millisecond, delay: int(c.delay / (10 * time.Millisecond))}
		g := &Gauger{Load: p.load}
		capacity := p.slots / p.service.Seconds()
		p.play(g, 0.5*capacity, 5*time.Second)
		p.play(g, c.times*capacity, 3*time.Second)
		got := p.play(g, c.times*capacity, 10*time.Second) / (10 * capacity)
		if got < 0.95 {
			t.Errorf("served at %.1f times the capacity and a delay of %v: got %.2f of it, want at least 0.95", c.times, c.delay, got)
		}
		if wait := (p.present - p.slots) / capacity; wait > 0.3 {
			t.Errorf("wait at %.1f times the capacity: got %.2f s, want at most 0.3 s", c.times, wait)
		}
	}
}

// Pattern: the overload ends. Nothing is held back three seconds later.
func TestOpensAgain(t *testing.T) {
	p := &pool{slots: 14, service: 22 * time.Millisecond, delay: 30}
	g := &Gauger{Load: p.load}
	capacity := p.slots / p.service.Seconds()
	p.play(g, 4*capacity, 10*time.Second)
	p.play(g, 0.5*capacity, 3*time.Second)
	if got := g.Excess(); got > 0.01 {
		t.Errorf("excess 3 s after the overload: got %.2f, want 0", got)
	}
}

// Pattern: calm with clumps. A fill that is high for a moment holds nothing back.
func TestCalmHoldsNothingBack(t *testing.T) {
	p := &pool{slots: 36, service: 220 * time.Millisecond}
	g := &Gauger{Load: p.load}
	capacity := p.slots / p.service.Seconds()
	for range 20 {
		p.play(g, 0.9*capacity, 400*time.Millisecond)
		if got := g.Excess(); got > 0 {
			t.Fatalf("excess in calm: got %.2f, want 0", got)
		}
		p.play(g, 0.4*capacity, 600*time.Millisecond)
	}
}
