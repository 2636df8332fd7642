package throttler

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// simulate sends requests to the routes in turn and returns the mean fraction
// of each route's requests that is rejected.
func simulate(t *Throttler, ranks map[string]int, rounds int, report func()) map[string]float64 {
	rejected := make(map[string]float64)
	for range rounds {
		for name, rank := range ranks {
			report()
			fraction, _ := t.ThrottleFraction(name, rank)
			rejected[name] += fraction / float64(rounds)
			time.Sleep(2 * time.Millisecond)
		}
	}
	return rejected
}

// Two routes lead to an overloaded pool: only the less urgent one is throttled
// until all of its requests are rejected, and a route with another bottleneck
// is not throttled at all.
func TestLeastUrgentIsThrottledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		excess := 0.25
		report := func() {
			th.Observe("search", "s1", Overload{Excess: excess, Bottleneck: "stock"})
			th.Observe("order", "o1", Overload{Excess: excess, Bottleneck: "stock"})
			th.Observe("page", "p1", Overload{Excess: 0, Bottleneck: "pages"})
		}
		ranks := map[string]int{"search": 2, "order": 0, "page": 2}
		simulate(th, ranks, 500, report)
		got := simulate(th, ranks, 2000, report)
		if got["search"] < 0.45 || got["search"] > 0.55 || got["order"] > 0 || got["page"] > 0 {
			t.Errorf("rejected at an excess of 0.25: got %v, want half of the searches and nothing else", got)
		}
		excess = 0.75
		got = simulate(th, ranks, 2000, report)
		if got["search"] < 0.999 || got["order"] < 0.45 || got["order"] > 0.55 || got["page"] > 0 {
			t.Errorf("rejected at an excess of 0.75: got %v, want all searches and half of the orders", got)
		}
	})
}

// While all searches are rejected, only orders return reports on the
// bottleneck. The estimate for searches must follow those, and expire without
// any report.
func TestThrottledRouteUsesReportsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		th.Observe("search", "s1", Overload{Excess: 0.9, Bottleneck: "stock"})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			th.Observe("order", "o1", Overload{Excess: 0.6, Bottleneck: "stock"})
		}
		if got := th.Estimate("search").Excess; got != 0.6 {
			t.Errorf("estimated excess of searches: got %.2f, want 0.60 as reported for orders", got)
		}
		time.Sleep(expireAfter)
		if got := th.Estimate("search").Excess; got != 0 {
			t.Errorf("excess without any report: got %.2f, want 0", got)
		}
	})
}

// A slow server of a pool is overloaded while a quick one has spare capacity.
// Nothing is rejected as long as the pool as a whole has spare capacity.
func TestOneOverloadedServerInPoolWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		// Requests per second: the slow server has a capacity of 100 and gets
		// 150, the quick one has a capacity of 300 and gets 150.
		th.Observe("read", "slow", Overload{Excess: 1 - 100.0/150, Bottleneck: "reads", Demand: 150})
		th.Observe("read", "quick", Overload{Excess: 1 - 300.0/150, Bottleneck: "reads", Demand: 150})
		if fraction, o := th.ThrottleFraction("read", 1); fraction > 0 {
			t.Errorf("fraction rejected of 300 requests/s at a capacity of 400 requests/s: got %.2f (excess %.2f), want 0", fraction, o.Excess)
		}
		// Of 900 requests per second, 300 go to the slow server.
		th.Observe("read", "slow", Overload{Excess: 1 - 100.0/300, Bottleneck: "reads", Demand: 300})
		th.Observe("read", "quick", Overload{Excess: 1 - 300.0/600, Bottleneck: "reads", Demand: 600})
		if fraction, _ := th.ThrottleFraction("read", 1); fraction < 0.55 || fraction > 0.56 {
			t.Errorf("fraction rejected of 900 requests/s at a capacity of 400 requests/s: got %.3f, want 0.556", fraction)
		}
	})
}

// Memory must not grow with the routes of past versions of the tables.
func TestEvictsIdleRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		for i := range 5 * evictionThreshold {
			th.Observe(fmt.Sprint("route-", i), "s", Overload{Excess: 0.1, Bottleneck: "p"})
			time.Sleep(10 * time.Millisecond)
		}
		if got, most := len(th.routes), evictionThreshold+1; got > most {
			t.Errorf("routes stored after %d: got %d, want at most %d", 5*evictionThreshold, got, most)
		}
	})
}

// Guards against refusals that outlast the shortage: the servers of a pool were cold and
// have warmed up, and few requests pass that could bring newer reports.
func TestShortageOfColdPoolIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		for _, server := range []string{"i1", "i2"} {
			th.Observe("search", server, Overload{Excess: 0.9, Bottleneck: "stock", Demand: 100, Cold: true})
		}
		th.Observe("order", "i3", Overload{Excess: 0.5, Bottleneck: "stock", Demand: 100})
		th.Observe("list", "i4", Overload{Excess: 0.5, Bottleneck: "orders", Demand: 100, Cold: true})
		th.ForgetCold("stock")
		for route, want := range map[string]float64{"search": 0, "order": 0.5, "list": 0.5} {
			if got := th.Estimate(route).Excess; got != want {
				t.Errorf("excess of route %s: got %v, want %v", route, got, want)
			}
		}
	})
}

// The load: searches lead to payments by their calls and to records behind them, and
// both pools are overloaded. Reports on searches name whichever is worse at the
// moment. Payments go to the first pool directly and are the most urgent; they used
// to be throttled as if they were its only load. The baseline counts the routes with
// the same newest bottleneck, naive rejects the same fraction of all, and the optimum
// rejects no payment while there are searches.
func TestUrgentRequestsYieldLastOnSharedPool(t *testing.T) {
	const (
		payments, searches = 200.0, 600.0 // per second; a search makes two calls to payments
		paymentWorth       = 4.9
		searchWorth        = 0.86
		excess             = 0.4 // of the demand on the pool payments
		worse              = 0.5 // of the demand on records, at times
	)
	type result struct{ worth, worstClass, worstSecond float64 }
	// serve returns what is served if fractions of both routes are rejected at the root:
	// what is admitted beyond the capacity of the pool payments is lost evenly.
	serve := func(payment, search float64) result {
		capacity := (1 - excess) * (payments + 2*searches)
		load := (1-payment)*payments + 2*(1-search)*searches
		through := min(1, capacity/load)
		p, s := (1-payment)*through, (1-search)*through*through
		worth := (paymentWorth*payments*p + searchWorth*searches*s) / (paymentWorth*payments + searchWorth*searches)
		return result{worth: worth, worstClass: min(p, s), worstSecond: worth}
	}
	// play runs the throttler for some seconds and returns the means and the worst second.
	play := func(th *Throttler, decide func(th *Throttler) (payment, search float64)) result {
		mean := result{worstSecond: 1}
		synctest.Test(t, func(*testing.T) {
			const steps, perSecond = 1000, 100
			second := 0.0
			for i := range steps {
				o := Overload{Excess: excess, Bottleneck: "payments", Demand: 100}
				th.Observe("payment", "p1", o)
				if i/30%2 == 0 { // the worse pool changes every 300 ms
					o = Overload{Excess: worse, Bottleneck: "records", Demand: 100}
				}
				th.Observe("search", "s"+fmt.Sprint(i%4), o)
				r := serve(decide(th))
				mean.worth += r.worth / steps
				mean.worstClass += r.worstClass / steps
				if second += r.worth / perSecond; i%perSecond == perSecond-1 {
					mean.worstSecond, second = min(mean.worstSecond, second), 0
				}
				time.Sleep(time.Second / perSecond)
			}
		})
		return mean
	}
	throttle := func(th *Throttler) (payment, search float64) {
		for range 2 {
			payment, _ = th.ThrottleFraction("payment", 0)
		}
		for range 6 {
			search, _ = th.ThrottleFraction("search", 1)
		}
		return payment, search
	}
	now := play(&Throttler{}, throttle)
	baseline := play(&Throttler{NewestPoolOnly: true}, throttle)
	naive := play(&Throttler{}, func(*Throttler) (payment, search float64) { return excess, excess })
	optimum := serve(0, excess*(payments+2*searches)/(2*searches))
	for name, r := range map[string]result{"baseline": baseline, "now": now, "naive": naive, "optimum": optimum} {
		t.Logf("%-8s worth %.3f, worst second %.3f, worst class %.3f", name, r.worth, r.worstSecond, r.worstClass)
	}
	if now.worth <= baseline.worth || now.worth <= naive.worth {
		t.Errorf("worth: got %.3f, want more than the baseline's %.3f and the %.3f of rejecting evenly", now.worth, baseline.worth, naive.worth)
	}
	if got, want := now.worth, 0.95*optimum.worth; got < want {
		t.Errorf("worth: got %.3f, want at least 95 %% of the optimum, %.3f", got, want)
	}
}

// Guards against a route that is said to lead to no other pool, or to one that its
// reports no longer name, or to one towards which its requests do not count.
func TestOtherPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, newestOnly := range []bool{false, true} {
			th := &Throttler{NewestPoolOnly: newestOnly}
			check := func(moment, want string) {
				t.Helper()
				if got := strings.Join(th.OtherPools("search"), " "); got != want {
					t.Errorf("other pools %s (newest only: %v): got %q, want %q", moment, newestOnly, got, want)
				}
			}
			check("before any report", "")
			for _, pool := range []string{"records", "payments", "stock"} {
				th.Observe("search", "s1", Overload{Excess: 0.2, Bottleneck: pool})
			}
			if newestOnly {
				check("after three reports", "")
				continue
			}
			check("after three reports", "payments records")
			time.Sleep(expireAfter / 2)
			th.Observe("search", "s1", Overload{Excess: 0.2, Bottleneck: "payments"})
			time.Sleep(expireAfter * 3 / 4)
			check("after the others have expired", "")
		}
	})
}

// Guards against a report that states an impossible number of requests: NaN or an infinite
// demand would refuse all.
func TestImpossibleRequestsPerRunAreBounded(t *testing.T) {
	for _, stated := range []float64{math.Inf(1), 1e38, math.NaN(), -1} {
		synctest.Test(t, func(t *testing.T) {
			th := &Throttler{}
			for range 200 {
				th.Observe("order", "s", Overload{Excess: 0.05, Bottleneck: "stock", RequestsPerRun: stated})
			}
			_, o := th.ThrottleFraction("order", 0)
			fraction, _ := th.ThrottleFraction("check", 1)
			if w := o.Weight(); !(w >= 1 && w <= maxRequestsPerRun) || !(fraction >= 0 && fraction <= 1) {
				t.Errorf("stated %v: got a weight of %v and a fraction of %v", stated, w, fraction)
			}
		})
	}
}

// Guards against refusing too little while requests of several routes take different parts
// of the bottleneck: the least urgent ones were counted like trees of four requests.
// Load: 50 trees of four requests each beside 200 direct requests, half of which is too much.
func TestDemandIsCountedInRequestsToTheBottleneck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		routes := []struct {
			name             string
			rank             int
			requests, perRun float64
			fraction         float64
		}{{"order", 0, 50, 4, 0}, {"check", 1, 200, 0, 0}}
		for _, r := range routes {
			th.Observe(r.name, "s", Overload{Excess: 0.5, Bottleneck: "stock", Demand: 400, RequestsPerRun: r.perRun})
			for range int(r.requests) {
				th.ThrottleFraction(r.name, r.rank)
			}
		}
		refused := 0.0
		for _, r := range routes {
			fraction, o := th.Fraction(r.name, r.rank)
			weight := max(1, r.perRun)
			if o.Weight() != weight {
				t.Errorf("requests to the bottleneck for each %s: got %.2f, want %.2f", r.name, o.Weight(), weight)
			}
			refused += fraction * r.requests * weight
		}
		if refused < 199 || refused > 201 {
			t.Errorf("refused of 400 requests to the bottleneck: got %.0f, want half", refused)
		}
	})
}
