package gauger

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// learn makes the gauger see service times that are lognormal around mean.
func learn(g *Gauger, expected, mean time.Duration, n int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		w := g.Add(expected)
		w.Start()
		time.Sleep(time.Duration(float64(mean) * math.Exp(0.5*rng.NormFloat64()-0.125)))
		w.End(true)
	}
}

// Guards against a request that has run for longer than expected being taken to end at
// once: the remaining time is conditional on the elapsed time.
func TestRemainingTimeIsConditional(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gauger{}
		g.Observe("i", "1,0,4,100", time.Now())
		learn(g, 100*time.Millisecond, 100*time.Millisecond, 500)
		w := g.Add(100 * time.Millisecond)
		w.Start()
		for _, c := range []struct{ elapsed, least, most time.Duration }{
			{0, 80 * time.Millisecond, 125 * time.Millisecond},
			{100 * time.Millisecond, 30 * time.Millisecond, 70 * time.Millisecond},
			{300 * time.Millisecond, 30 * time.Millisecond, 400 * time.Millisecond},
		} {
			time.Sleep(c.elapsed - time.Since(w.startedAt))
			g.Observe("i", "1,0,4,100", time.Now())
			if got := g.Read().Backlog; got < c.least || got > c.most {
				t.Errorf("backlog of one request after %v: got %v, want %v to %v", c.elapsed, got, c.least, c.most)
			}
		}
		waiting := g.Add(100 * time.Millisecond)
		before := g.Read().Backlog
		time.Sleep(readInterval)
		if got := g.Read().Backlog; got < before+80*time.Millisecond {
			t.Errorf("backlog with one more that waits: got %v, want at least 80 ms more than %v", got, before)
		}
		w.End(true)
		waiting.End(false)
		time.Sleep(readInterval)
		if got := g.Read().Backlog; got != 0 {
			t.Errorf("backlog of an idle server: got %v, want 0", got)
		}
	})
}

// Guards against a slow server that looks like its pool, or like a fast one because it
// says so.
func TestRatioIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gauger{}
		for range 20 {
			g.Observe("i", "1,0,4,1", time.Now())
			learn(g, 50*time.Millisecond, 100*time.Millisecond, 20)
		}
		if got := g.Read(); got.Ratio < 1.6 || got.Ratio > 2.4 || math.Abs(got.Slowdown-1) > 0.3 {
			t.Errorf("server that takes twice as long and always states 1 per cent: got %+v, want a ratio of about 2 and a slowdown of about 1", got)
		}
	})
}

// Guards against statements of a faulty server that draw all work to it or starve it.
func TestStatementsAreBounded(t *testing.T) {
	for _, c := range []struct {
		field       string
		least, most float64
		invalid     bool
	}{
		{"1,0,4,250", 2.4, 2.5, false},
		{"1,0,4,10000", maxSlowdown, maxSlowdown, false},
		{"1,0,4,1", minSlowdown, minSlowdown, false},
		{"1,0,4,0", 1, 1, true},
		{"1,0,4,1e9", 1, 1, true},
		{"1,0,4,NaN", 1, 1, true},
		{"1,0,4,-3", 1, 1, true},
		{"1,0,4,", 1, 1, true},
		{"1,0,4", 1, 1, false},
		{"", 1, 1, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := &Gauger{}
			for range 1000 {
				g.Observe("i", "1,0,4,100", time.Now())
			}
			g.Observe("i", c.field, time.Now())
			if got := g.Read().Slowdown; got < c.least || got > c.most {
				t.Errorf("slowdown after %q: got %v, want %v to %v", c.field, got, c.least, c.most)
			}
			if got := g.Invalid() == 1; got != c.invalid {
				t.Errorf("invalid after %q: got %v, want %v", c.field, got, c.invalid)
			}
			time.Sleep(time.Second)
			if got := g.Read().Slowdown; math.Abs(got-1) > 0.25 {
				t.Errorf("slowdown 1 s after %q: got %v, want about 1", c.field, got)
			}
			time.Sleep(maxStatedAge)
			if got := g.Read(); got != (Reading{}) {
				t.Errorf("reading of a server that states nothing any more: got %+v, want none", got)
			}
		})
	}
}

// Guards against what was learned of one server being applied to the next one at its
// address.
func TestNewServerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gauger{}
		g.Observe("i-1", "1,0,4,100", time.Now())
		learn(g, 50*time.Millisecond, 200*time.Millisecond, 100)
		g.Observe("i-2", "1,0,4,100", time.Now())
		if got := g.Read().Ratio; got != 0 {
			t.Errorf("ratio of a new server: got %v, want 0", got)
		}
	})
}
