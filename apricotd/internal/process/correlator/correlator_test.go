package correlator

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Two routes run on one server at the same time, of which one makes four calls
// for each request and the other none. Calls must be attributed to the right
// route after ten seconds of requests.
func TestAttributesCallsToRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		correlator := &Correlator{}
		run := func(route string, calls int, length time.Duration) {
			end := correlator.Begin(route)
			for range calls {
				time.Sleep(length / time.Duration(calls+1))
				correlator.RecordCall("split")
			}
			time.Sleep(length / time.Duration(calls+1))
			end()
		}
		sendPoisson := func(rate float64, f func()) {
			for range int(10 * rate) {
				time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				go f()
			}
		}
		go sendPoisson(16, func() { run("stem", 4, 100*time.Millisecond) })
		sendPoisson(6, func() { run("preview", 0, 550*time.Millisecond) })
		time.Sleep(time.Second)
		if got := callsPerRun(correlator, "stem", "split"); math.Abs(got-4) > 1 {
			t.Errorf("calls of stem: got %.2f, want 4 within 1", got)
		}
		if got := callsPerRun(correlator, "preview", "split"); got > 0.5 {
			t.Errorf("calls of preview: got %.2f, want none", got)
		}
	})
}

func callsPerRun(correlator *Correlator, route, call string) float64 {
	for _, c := range correlator.Calls(route) {
		if c.Name == call {
			return c.PerRun
		}
	}
	return 0
}
