package picker

import (
	"net/netip"
	"testing"
	"testing/synctest"

	"apricotrudder.dev/apricotd/version/lister"
)

// Guards against requests that are lost at a server known to fail many, because the retry
// budget is used up, although servers elsewhere have room.
func TestFailingServerIsAvoidedWhileRepeatsLack(t *testing.T) {
	servers := []*lister.Server{
		{ID: "near", Pool: "p", DataCentre: "n1", Region: "n", Slots: 10, State: lister.Ready, Address: netip.MustParseAddrPort("10.0.0.1:1")},
		{ID: "far", Pool: "p", DataCentre: "f1", Region: "f", Slots: 10, State: lister.Ready, Address: netip.MustParseAddrPort("10.0.0.2:1")},
	}
	for _, c := range []struct {
		left             float64 // repeats
		failures         int
		nearBusy, farRun int
		call             bool
		want             string
	}{
		{left: 0, failures: 2, want: "far"},
		{left: 0, failures: 0, want: "near"},
		{left: 100, failures: 2, want: "near"},
		{left: repeatMargin, failures: 2, want: "near"},
		{left: repeatMargin, failures: 2, nearBusy: 3, want: "far"}, // these may fail too
		{left: 0, failures: 2, farRun: 9, want: "far"},
		{left: 0, failures: 2, farRun: 10, want: "near"},
		{left: 0, failures: 2, farRun: 29, call: true, want: "far"},
		{left: 0, failures: 2, farRun: 30, call: true, want: "near"},
		{left: 100, failures: 2, call: true, want: "near"},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &Picker{DataCentre: "n1", Region: "n", CoversRepeats: func(pool string, _ bool, n float64) bool { return pool == "p" && n <= c.left }}
			try := func(server int) *Choice {
				ch, ok := p.Choose(servers[server:server+1], nil, Request{Call: c.call})
				if !ok {
					t.Fatalf("server %s can't be selected", servers[server].ID)
				}
				return ch
			}
			for range c.nearBusy {
				try(0)
			}
			for range c.failures {
				try(0).Done(Report{Result: Shed})
			}
			if c.farRun > 0 {
				try(1).Done(Report{Result: Served, Running: c.farRun, Slots: 10})
			}
			ch, ok := p.Choose(servers, nil, Request{Call: c.call})
			if !ok || ch.Server.ID != c.want {
				t.Errorf("server with %+v: got %v, want %s", c, ch, c.want)
			}
		})
	}
}

// Guards against the few sound servers of a pool that rejects most requests getting those
// of all nodes.
func TestFewSoundServersAreNotPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Picker{DataCentre: "n1", Region: "n", CoversRepeats: func(string, bool, float64) bool { return false }}
		var servers []*lister.Server
		for _, id := range []string{"a", "b", "c"} {
			s := &lister.Server{ID: id, Pool: "p", DataCentre: "n1", Region: "n", Slots: 10, State: lister.Ready, Address: netip.MustParseAddrPort("10.0.0.1:1")}
			servers = append(servers, s)
			if id == "c" {
				continue
			}
			for range 2 {
				ch, _ := p.Choose([]*lister.Server{s}, nil, Request{})
				ch.Done(Report{Result: Shed})
			}
		}
		for range 10 {
			if _, ok := p.Choose(servers, nil, Request{Call: true}); !ok {
				t.Fatal("no server was selected")
			}
		}
		if got := p.records["c"].inFlight; got == 10 {
			t.Errorf("requests at the only sound server of three: got all %d", got)
		}
	})
}
