package tracer

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// A server that runs two kinds of requests at once, of which one makes four
// calls and the other none, must be understood within seconds.
func TestTellsRoutesApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		tr := &Tracer{}
		run := func(route string, calls int, length time.Duration) {
			end := tr.Begin(route)
			for range calls {
				time.Sleep(length / time.Duration(calls+1))
				tr.Call("split")
			}
			time.Sleep(length / time.Duration(calls+1))
			end()
		}
		keep := func(perSecond float64, f func()) {
			for range int(10 * perSecond) {
				time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				go f()
			}
		}
		go keep(16, func() { run("stem", 4, 100*time.Millisecond) })
		keep(6, func() { run("preview", 0, 550*time.Millisecond) })
		time.Sleep(time.Second)
		if got := callsPerRun(tr, "stem", "split"); math.Abs(got-4) > 1 {
			t.Errorf("calls of stem: got %.2f, want 4 within 1", got)
		}
		if got := callsPerRun(tr, "preview", "split"); got > 0.5 {
			t.Errorf("calls of preview: got %.2f, want none", got)
		}
	})
}

func callsPerRun(t *Tracer, route, call string) float64 {
	for _, c := range t.Calls(route) {
		if c.Name == call {
			return c.PerRun
		}
	}
	return 0
}
