package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"apricotrudder.dev/standin/responder"
)

// TestRetriesBounded guards against retry amplification. It sends requests
// through a chain of services whose last one aborts every request, and checks
// that the attempts of a call tree do not exceed its calls plus the retry tokens
// set at its first node. With three independent retries in each of d layers, the
// last service would receive 4^d attempts.
func TestRetriesBounded(t *testing.T) {
	for _, c := range []struct{ depth, perDataCentre int }{{2, 3}, {4, 3}, {17, 1}} {
		t.Run(fmt.Sprintf("depth=%d", c.depth), func(t *testing.T) {
			runFleet(t, func(f *fleet) { checkRetries(t, f, c.depth, c.perDataCentre) })
		})
	}
}

func checkRetries(t *testing.T, f *fleet, depth, perDataCentre int) {
	const requests, retries = 20, 3
	// suspicionWait exceeds the balancer's maximum suspicion period, so that no
	// backend server is excluded because of earlier failures.
	const suspicionWait = 6 * time.Second
	tables := defaultTables()
	tables["routes"], tables["pools"] = "", ""
	var pools []string
	for i := range depth {
		pools = append(pools, fmt.Sprintf("s%02d", i))
		access := "internal"
		if i == 0 {
			access = "key"
		}
		tables["pools"] += fmt.Sprintf("[[pool]]\nname = %q\nslots = 10\nconnections = 100\n", pools[i])
		tables["routes"] += fmt.Sprintf("[[route]]\nname = %q\nmethod = \"GET\"\npath = \"/%s\"\npool = %q\naccess = %q\nidempotent = true\ntimeout = \"5s\"\nretries = %d\n",
			pools[i], pools[i], pools[i], access, retries)
	}
	f.setUpBackend = func(id string, m *machine) {
		var i int
		if _, err := fmt.Sscanf(id[strings.LastIndex(id, "s"):], "s%d", &i); err != nil {
			t.Fatal(err)
		}
		m.backend = &responder.Responder{Slots: 10, Connections: 100, ServiceTime: 1e6, Broken: i == depth-1}
		if i < depth-1 {
			m.backend.Handles = []responder.Handle{{Path: "/", Calls: []responder.Call{{Method: "GET", Path: "/" + pools[i+1]}}}}
		}
	}
	f.start(pools, perDataCentre, tables)
	for _, m := range f.machines {
		// Effectively unlimited retry budgets leave only the tokens as a bound.
		m.node.router.Budget.Ratio, m.node.router.Budget.Max = 1e9, 1e9
	}
	via := "r1-d1-s00-1"
	for range requests {
		time.Sleep(suspicionWait)
		if got := f.send(via, "GET", "/s00", "agency-key", "", nil); got.status == 200 {
			t.Fatal("request was answered, want a failure")
		}
	}
	attempts := 0
	for _, m := range f.machines {
		attempts += m.backend.Served()
	}
	if maxAttempts := requests * (depth + retries); attempts > maxAttempts {
		t.Errorf("got %d attempts for %d requests, want at most %d", attempts, requests, maxAttempts)
	}
	t.Logf("depth %d: %.2f attempts per request, %d without failures", depth, float64(attempts)/requests, depth)
}
