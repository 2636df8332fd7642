package throttler

import (
	"fmt"
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
