package picker

import (
	"net/netip"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/internal/cost/scorer"
	"apricotrudder.dev/apricotd/version/lister"
)

// Guards against a refusal for lack of a server whose log line does not tell why none
// of the listed ones was used.
func TestDescribe(t *testing.T) {
	p := &Picker{DataCentre: "d", Region: "r"}
	server := func(id string, state lister.State) *lister.Server {
		return &lister.Server{ID: id, DataCentre: "d", Region: "r", State: state, Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 1}
	}
	servers := []*lister.Server{server("a", lister.Ready), server("b", lister.Leaving), server("c", lister.Ready), server("d", lister.Ready)}
	for _, result := range []Result{Unreachable, Full} {
		choice, ok := p.Choose(servers, map[string]bool{"d": true}, Request{})
		if !ok {
			t.Fatal("choose a server: got none")
		}
		choice.Done(Report{Result: result})
	}
	want := "4 listed: 1 could not be reached, 1 leaving, 1 tried, 1 without room"
	if got := p.Describe(servers, map[string]bool{"d": true}, Request{}); got != want {
		t.Errorf("describe: got %q, want %q", got, want)
	}
	want = "4 listed: 4 outside the home regions"
	if got := p.Describe(servers, nil, Request{Regions: []string{"q"}}); got != want {
		t.Errorf("describe for a request with another home region: got %q, want %q", got, want)
	}
	if got := p.Describe(nil, nil, Request{}); got != "none listed" {
		t.Errorf("describe an empty pool: got %q", got)
	}
}

// Guards against an explanation that selects a server, or leaves out why one can't be.
func TestExplain(t *testing.T) {
	p := &Picker{DataCentre: "n1", Region: "n", ByCompletion: true}
	list := servers("n1", "n2", "s1")
	list[1].State = lister.Leaving
	choice, _ := p.Choose(list[:1], nil, Request{})
	choice.Done(Report{Result: Served, Running: 2, Slots: 10, Ratio: 0.5, Slowdown: 1})
	rq := Request{Cost: scorer.Request{Expected: 100 * time.Millisecond, Target: time.Second}}
	got, byCompletion := p.Explain(list, nil, rq)
	if !byCompletion || len(got) != 3 || got[0].Reason != "" || got[1].Reason != "leaving" || got[2].Reason != "" {
		t.Fatalf("explain: got %+v %v, want three servers, one leaving, by completion", got, byCompletion)
	}
	if near, far := got[0].Score.Total(), got[2].Score.Total(); near < 0.04 || near > 0.06 || far < near+0.4 || got[2].Age >= 0 {
		t.Errorf("scores: got %.3f of a server of half the mean time and %.3f of an unknown one in another region, want about 0.05 and 0.4 more", near, far)
	}
	if n := p.records["0"].inFlight; n != 0 {
		t.Errorf("requests in progress after the explanation: got %d, want 0", n)
	}
}
