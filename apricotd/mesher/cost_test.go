package mesher

import (
	"testing"
	"time"
)

// Load: two servers of a pool in one data centre, one five times as slow as the other.
// Guards against requests being shared as if both were alike where the servers state how
// long work takes, and against nodes that tell what they measure where the servers don't.
func TestSlowServerGetsLess(t *testing.T) {
	placements := map[string]placement{
		"a": {"north", "north-1", "stock"},
		"b": {"north", "north-1", "search"},
		"c": {"north", "north-1", "search"},
	}
	for _, c := range []struct {
		name, statement string
		known           bool // whether the nodes tell what they measure
	}{
		{"stated", "Load: 1,0,4,100", true},
		{"notStated", "Load: 1,0,4", false},
		{"malformed", "Load: 1,0,4,fast", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, placements, func(f *fleet) {
				f.raiseRateLimit()
				f.vms["c"].worker.serviceTime = 100 * time.Millisecond
				for _, name := range []string{"b", "c"} {
					f.vms[name].worker.state(c.statement)
				}
				f.sendAtRate(30, 5*time.Second, f.newSearch)
				before := map[string]int{"b": len(f.vms["b"].worker.runs()), "c": len(f.vms["c"].worker.runs())}
				// Each node tries the slow server after at most 10 s and 50 of its requests.
				f.sendAtRate(30, 20*time.Second, f.newSearch)
				fast, slow := len(f.vms["b"].worker.runs())-before["b"], len(f.vms["c"].worker.runs())-before["c"]
				t.Logf("runs at the fast server %d, at the slow one %d", fast, slow)
				if c.known && (slow == 0 || slow > fast/10) {
					t.Errorf("runs at the slow server: got %d, want some, since it may become fast, and at most a tenth of the %d at the fast one", slow, fast)
				}
				load := f.vms["c"].node.invoker.Load()
				if got := load.Slowdown > 0 || load.ServiceRatio > 0 || load.BacklogMs > 0; got != c.known {
					t.Errorf("load of the slow server: got %v, want what was measured: %v", load, c.known)
				}
			})
		})
	}
}

// Guards against a node that starts with a setting that it does not know.
func TestBalancingSetting(t *testing.T) {
	for text, want := range map[string]string{
		"": whereStated, "[balancing]\nbyExpectedWork = \"always\"\n": always, "[balancing]\nbyExpectedWork = \"never\"\n": never,
		"[balancing]\nbyExpectedWork = \"sometimes\"\n": "",
	} {
		s, err := Parse("settings.toml", []byte(validSettings+text))
		switch {
		case want == "" && err == nil:
			t.Errorf("parse %q: got no error, want one", text)
		case want != "" && (err != nil || s.Balancing.ByExpectedWork != want):
			t.Errorf("parse %q: got %+v %v, want %s", text, s, err, want)
		}
	}
}
