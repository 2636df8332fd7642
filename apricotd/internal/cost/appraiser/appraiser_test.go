package appraiser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// lognormal returns a service time whose logarithm has the standard deviation sigma.
func lognormal(rng *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// Load: requests of one route and one look that cost 140 ms for most organisations and
// 1,400 ms for one, and differ by chance beside that. The estimates must tell the
// organisations apart, and Errors how much of the variance that explains.
func TestLookalikesOfTwoOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sigma = 0.5
		a, rng := &Appraiser{}, rand.New(rand.NewPCG(1, 2))
		request := func(i int) (Request, time.Duration) {
			rq := Request{Route: "lookup", Organisation: fmt.Sprint("o", i%8), Target: fmt.Sprintf("/lookup/%d?lang=en", i)}
			if i%8 == 0 {
				return rq, 1400 * time.Millisecond
			}
			return rq, 140 * time.Millisecond
		}
		for i := range 4000 {
			rq, mean := request(i)
			a.Learn(rq, lognormal(rng, mean, sigma))
		}
		for i := range 8 {
			rq, mean := request(i)
			if e, ok := a.Estimate(rq); !ok || e.Level != ByOrganisation || e.Mean < mean*3/4 || e.Mean > mean*4/3 {
				t.Errorf("estimate for organisation %s: got %+v, want about %v", rq.Organisation, e, mean)
			}
		}
		errors := a.Errors()
		if chance := sigma * sigma; errors[ByOrganisation] > 1.5*chance || errors[ByRoute] < 2*chance {
			t.Errorf("mean squared errors: got %v, want about the variance by chance, %v, by organisation, and more than twice that by route", errors, chance)
		}
	})
}

// Guards against memory that grows, or knowledge that is lost, with targets that never
// repeat.
func TestTargetsThatNeverRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Appraiser{}
		known := Request{Route: "search", Organisation: "acme", Target: "/search/list"}
		for i := range 100_000 {
			if i%50 == 0 {
				a.Learn(known, 400*time.Millisecond)
			}
			a.Learn(Request{Route: "search", Organisation: fmt.Sprint("x", i), Target: fmt.Sprintf("/%c%c%c%c", 'a'+i%26, 'a'+i/26%26, 'a'+i/676%26, 'a'+i/17576%26)}, 100*time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		if got := len(a.cells) * ways; got != sets*ways {
			t.Errorf("cells: got %d, want %d", got, sets*ways)
		}
		if e, ok := a.Estimate(known); !ok || e.Mean < 300*time.Millisecond {
			t.Errorf("estimate of a request that repeats: got %+v, want about 400 ms", e)
		}
		if e, ok := a.Estimate(Request{Route: "search", Target: "/zzzzz"}); !ok || e.Mean < 80*time.Millisecond || e.Mean > 130*time.Millisecond {
			t.Errorf("estimate of an unknown target: got %+v, want that of its route, about 106 ms", e)
		}
	})
}

// Guards against an estimate for a route of which nothing is known, and against one that
// doesn't follow a change.
func TestUnknownAndChangedRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Appraiser{}
		if e, ok := a.Estimate(Request{Route: "pay"}); ok || e.Mean != 0 {
			t.Errorf("estimate of an unknown route: got %+v, want none", e)
		}
		learn := func(took time.Duration, n int) {
			for range n {
				a.Learn(Request{Route: "pay", Target: "/pay/1"}, took)
				time.Sleep(20 * time.Millisecond)
			}
		}
		learn(100*time.Millisecond, 1000)
		learn(300*time.Millisecond, 600)
		if e, _ := a.Estimate(Request{Route: "pay", Target: "/pay/2"}); e.Mean < 270*time.Millisecond {
			t.Errorf("estimate after the route has become slower: got %v, want about 300 ms", e.Mean)
		}
	})
}

func BenchmarkEstimate(b *testing.B) {
	a := &Appraiser{}
	rq := Request{Route: "lookup", Organisation: "acme", Target: "/lookup/17/items?lang=en"}
	for range 10 {
		a.Learn(rq, time.Second)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = a.Estimate(rq)
	}
}
