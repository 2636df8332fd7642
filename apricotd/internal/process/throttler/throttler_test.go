package throttler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// ask lets requests come by turns and returns the part of each that is held.
func ask(t *Throttler, ranks map[string]int, rounds int, hear func()) map[string]float64 {
	held := make(map[string]float64)
	for range rounds {
		for name, rank := range ranks {
			hear()
			part, _ := t.Holds(name, rank)
			held[name] += part / float64(rounds)
			time.Sleep(2 * time.Millisecond)
		}
	}
	return held
}

// Pattern: a pool below two routes is asked for twice what it can do. The
// excess comes out of the less urgent route, and a route that leads elsewhere
// pays nothing.
func TestLeastUrgentIsHeldBackFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		excess := 0.25
		hear := func() {
			th.Hear("search", "s1", Overload{Excess: excess, Bottleneck: "stock"})
			th.Hear("order", "o1", Overload{Excess: excess, Bottleneck: "stock"})
			th.Hear("page", "p1", Overload{Excess: 0, Bottleneck: "pages"})
		}
		ranks := map[string]int{"search": 2, "order": 0, "page": 2}
		ask(th, ranks, 500, hear)
		got := ask(th, ranks, 2000, hear)
		if got["search"] < 0.45 || got["search"] > 0.55 || got["order"] > 0 || got["page"] > 0 {
			t.Errorf("held back at an excess of 0.25: got %v, want half of the searches and nothing else", got)
		}
		excess = 0.75
		got = ask(th, ranks, 2000, hear)
		if got["search"] < 0.999 || got["order"] < 0.45 || got["order"] > 0.55 || got["page"] > 0 {
			t.Errorf("held back at an excess of 0.75: got %v, want all searches and half of the orders", got)
		}
	})
}

// While all searches are held back, only orders bring news of the bottleneck.
func TestHeldRouteLearnsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		th.Hear("search", "s1", Overload{Excess: 0.9, Bottleneck: "stock"})
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			th.Hear("order", "o1", Overload{Excess: 0.6, Bottleneck: "stock"})
		}
		if got := th.Believed("search").Excess; got != 0.6 {
			t.Errorf("excess believed of searches: got %.2f, want 0.60 as orders say", got)
		}
		time.Sleep(forgetAfter)
		if got := th.Believed("search").Excess; got != 0 {
			t.Errorf("excess without any news: got %.2f, want 0", got)
		}
	})
}

// Pattern: a slow server of a pool is overloaded while a quick one has room.
// Nothing is held back as long as the pool as a whole has room.
func TestPoolHasRoomWhileOneServerHasNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		// The slow one can do 100 a second of 150, the quick one 300 of 150.
		th.Hear("read", "slow", Overload{Excess: 1 - 100.0/150, Bottleneck: "reads", Weight: 150})
		th.Hear("read", "quick", Overload{Excess: 1 - 300.0/150, Bottleneck: "reads", Weight: 150})
		if part, w := th.Holds("read", 1); part > 0 {
			t.Errorf("held back of 300 a second where 400 can be done: got %.2f (excess %.2f), want 0", part, w.Excess)
		}
		// 300 of 900 go to the slow one, which can do 100.
		th.Hear("read", "slow", Overload{Excess: 1 - 100.0/300, Bottleneck: "reads", Weight: 300})
		th.Hear("read", "quick", Overload{Excess: 1 - 300.0/600, Bottleneck: "reads", Weight: 600})
		if part, _ := th.Holds("read", 1); part < 0.55 || part > 0.56 {
			t.Errorf("held back of 900 a second where 400 can be done: got %.3f, want 0.556", part)
		}
	})
}

// Routes of past versions of the tables do not add up.
func TestForgetsRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := &Throttler{}
		for i := range 5 * manyRoutes {
			th.Hear(fmt.Sprint("route-", i), "s", Overload{Excess: 0.1, Bottleneck: "p"})
			time.Sleep(10 * time.Millisecond)
		}
		if got, most := len(th.routes), manyRoutes+1; got > most {
			t.Errorf("routes remembered after %d: got %d, want at most %d", 5*manyRoutes, got, most)
		}
	})
}
