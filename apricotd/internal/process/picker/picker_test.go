package picker

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

// countChoices makes n choices and returns their number by data centre. With
// hold, the requests stay in progress.
func countChoices(p *Picker, list []*lister.Server, n int, hold bool, report func(id string) Report) map[string]int {
	out := make(map[string]int)
	for range n {
		choice, ok := p.Choose(list, nil, Request{})
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

func TestPrefersLocalUntilSpillover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n1", Region: "n"}
		list := servers("n1", "n2", "s1")
		got := countChoices(p, list, 18, true, nil)
		// 10 slots each: the local data centre up to a utilisation of 0.8, then
		// the region at an equal level, then the other region once both are nearly
		// full, before a queue builds up.
		if got["n1"] < 9 || got["n2"] < 7 || got["s1"] != 0 {
			t.Errorf("18 requests in progress: got %v, want at least 9 in n1, at least 7 in n2, none in s1", got)
		}
		got = countChoices(p, list, 8, true, nil)
		if got["s1"] < 5 || got["n1"]+got["n2"] > 3 {
			t.Errorf("8 more: got %v, want at least 5 in s1, at most 3 in n1 and n2", got)
		}
	})
}

// Guards against requests at a cold server, which has room for few, while warm ones of the
// region have room, and against leaving the region while the cold one has some.
func TestWarmServersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n1", Region: "n", ColdRate: func(s *lister.Server) float64 {
			if s.DataCentre == "n1" {
				return 13
			}
			return 0
		}}
		list := servers("n1", "n2", "s1")
		if got := countChoices(p, list, 7, true, nil); got["n2"] != 7 {
			t.Errorf("7 requests in progress: got %v, want all in n2", got)
		}
		if got := countChoices(p, list, 2, true, nil); got["s1"] != 0 || got["n1"] == 0 {
			t.Errorf("2 more: got %v, want some at the cold server and none in s1", got)
		}
	})
}

// Guards against a grey failure: a server that immediately rejects half of its
// requests appears the least loaded and attracts more.
func TestGreyServerGetsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n0", Region: "n"}
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
		got := countChoices(p, list, 400, false, report)
		if got["n1"] > 100 {
			t.Errorf("requests at the server that rejects half: got %d of 400, want at most 100", got["n1"])
		}
		healthy := func(string) Report { return Report{Result: Served, Running: 5, Slots: 10} }
		time.Sleep(5 * failureHalfLife)
		if got := countChoices(p, list, 200, false, healthy); got["n1"] < 60 {
			t.Errorf("requests after its recovery: got %d of 200, want at least 60", got["n1"])
		}
	})
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n1", Region: "n"}
		list := servers("n1", "n2")
		list[0].State = lister.Leaving
		if got := countChoices(p, list, 10, true, nil); got["n1"] != 0 {
			t.Errorf("requests at a leaving server: got %d, want 0", got["n1"])
		}
		if _, ok := p.Choose(list, map[string]bool{"1": true}, Request{}); ok {
			t.Error("choice among leaving and tried servers: got one, want none")
		}
	})
}

// Guards against a server with a limited rate looking as large as its slots.
func TestLimitedServerGetsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n0", Region: "n"}
		list := servers("n0", "n1")
		got := countChoices(p, list, 200, false, func(id string) Report {
			if id == "0" {
				return Report{Result: Full, Running: 1, Slots: 10, RateUtilisation: 1, RetryAfter: time.Second}
			}
			return Report{Result: Served, Running: 3, Slots: 10}
		})
		if got["n0"] > 10 {
			t.Errorf("choices in 1 s of a local server without room in its rate: got %v, want at most 10", got)
		}
	})
}

// Guards against urgent requests being kept from a server because it had no room
// for less urgent ones.
func TestUrgentRequestsMayTryAFullServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n0", Region: "n"}
		list := servers("n0")
		choose := func(rank int, result Result) bool {
			choice, ok := p.Choose(list, nil, Request{Rank: rank})
			if ok {
				choice.Done(Report{Result: result})
			}
			return ok
		}
		choose(2, Full)
		if choose(2, Served) || choose(3, Served) {
			t.Error("requests of the same or a less urgent rank: got the full server, want none")
		}
		if !choose(1, Full) {
			t.Error("more urgent request: got no server, want the full one")
		}
		if choose(1, Served) || !choose(0, Served) {
			t.Error("after a refusal at rank 1: want no server for rank 1 and the full one for rank 0")
		}
	})
}

// Guards against an evacuated data centre that gets requests when the others are full, and
// against other regions left idle while the own one, less its evacuated data centre, is.
func TestEvacuatedDataCentreIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		evacuated := map[string]bool{"n1": true}
		p := &Picker{DataCentre: "n1", Region: "n", IsEvacuated: func(dataCentre string) bool { return evacuated[dataCentre] }}
		list := servers("n1", "n2", "s1")
		got := countChoices(p, list, 18, true, nil)
		if got["n1"] != 0 || got["n2"] < 9 || got["s1"] < 7 {
			t.Errorf("18 requests in progress: got %v, want none in n1, at least 9 in n2 and 7 in s1", got)
		}
		got = countChoices(p, list, 20, true, nil)
		if got["n1"] != 0 || got["n2"]+got["s1"] != 20 {
			t.Errorf("20 more: got %v, want none in n1", got)
		}
		evacuated["n2"], evacuated["s1"] = true, true
		if _, ok := p.Choose(list, nil, Request{}); ok || !p.IsEachEvacuated(list, Request{}) {
			t.Error("all data centres evacuated: got a server, want none and that reason")
		}
		delete(evacuated, "n2")
		if p.IsEachEvacuated(list, Request{}) || !p.IsEachEvacuated(list, Request{Regions: []string{"s"}}) {
			t.Error("home region evacuated: got another reason for the refusal, want this one for requests with a home only")
		}
	})
}

// Guards against one refusal for each server of a data centre, at a node that has not
// heard of the evacuation yet.
func TestRefusalAsEvacuatedHoldsForDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n1", Region: "n"}
		list := servers("n1", "n1", "n1", "n2")
		choice, _ := p.Choose(list, nil, Request{})
		choice.Done(Report{Result: Evacuated})
		if got := countChoices(p, list, 10, false, func(string) Report { return Report{Result: Served} }); got["n2"] != 10 {
			t.Errorf("choices after the refusal: got %v, want 10 in n2", got)
		}
		time.Sleep(2 * evacuatedBackoff)
		if got := countChoices(p, list, 10, false, func(string) Report { return Report{Result: Served} }); got["n1"] != 10 {
			t.Errorf("choices after the backoff: got %v, want 10 in n1", got)
		}
	})
}
