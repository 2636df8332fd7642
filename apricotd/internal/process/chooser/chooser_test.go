package chooser

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

func servers(places ...string) []*lister.Server {
	var out []*lister.Server
	for i, p := range places {
		out = append(out, &lister.Server{ID: fmt.Sprint(i), DataCentre: p, Region: p[:1], Slots: 10})
	}
	return out
}

func counts(c *Chooser, list []*lister.Server, n int, hold bool, report func(id string) Report) map[string]int {
	out := make(map[string]int)
	for range n {
		choice, ok := c.Choose(list, nil, false)
		if !ok {
			continue
		}
		out[choice.Server.DataCentre]++
		if !hold {
			choice.Done(report(choice.Server.ID))
		}
		time.Sleep(5 * time.Millisecond)
	}
	return out
}

func TestNearFirstThenSpill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Chooser{DataCentre: "n1", Region: "n"}
		list := servers("n1", "n2", "s1")
		got := counts(c, list, 18, true, nil)
		// 10 slots each: the own data centre up to 0.8, then the region in
		// step with it, and the other region once both are full, before a
		// queue forms here.
		if got["n1"] < 9 || got["n2"] < 7 || got["s1"] != 0 {
			t.Errorf("18 requests under way: got %v, want most in n1, the rest in n2, none in s1", got)
		}
		got = counts(c, list, 8, true, nil)
		if got["s1"] < 5 || got["n1"]+got["n2"] > 3 {
			t.Errorf("8 more: got %v, want nearly all in the other region, where there is room", got)
		}
	})
}

// Pattern: a grey failure. A server turns away half of its requests at once,
// and looks the least loaded for it.
func TestGreyServerGetsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Chooser{DataCentre: "n0", Region: "n"}
		list := servers("n1", "n2")
		n := 0
		report := func(id string) Report {
			if id == "0" {
				n++
			}
			if id == "0" && n%2 == 0 {
				return Report{Result: Shed, Running: 0, Slots: 10}
			}
			return Report{Result: Served, Running: 5, Slots: 10}
		}
		got := counts(c, list, 400, false, report)
		if got["n1"] > 100 {
			t.Errorf("requests at the server that turns half away: got %d of 400, want at most a quarter", got["n1"])
		}
		healthy := func(string) Report { return Report{Result: Served, Running: 5, Slots: 10} }
		time.Sleep(5 * failureHalfLife)
		if got := counts(c, list, 200, false, healthy); got["n1"] < 60 {
			t.Errorf("requests after it has recovered: got %d of 200, want its part again", got["n1"])
		}
	})
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Chooser{DataCentre: "n1", Region: "n"}
		list := servers("n1", "n2")
		list[0].State = lister.Leaving
		if got := counts(c, list, 10, true, nil); got["n1"] != 0 {
			t.Errorf("requests at the leaving server: got %d, want 0", got["n1"])
		}
		if _, ok := c.Choose(list, map[string]bool{"1": true}, false); ok {
			t.Error("choice among servers that leave or were tried: got one, want none")
		}
	})
}
