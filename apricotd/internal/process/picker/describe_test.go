package picker

import (
	"net/netip"
	"testing"

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
