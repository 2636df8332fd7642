package mesher

import (
	"strings"
	"testing"
	"time"
)

// Guards against giving up a request that must not be repeated because the node of
// its backend server was silent for a while. A request that may be repeated is sent
// to another server instead.
func TestSilentNodeKeepsItsRunningRequests(t *testing.T) {
	runFleet(t, oneOrderServer, func(f *fleet) {
		f.raiseRateLimit()
		f.vms["b"].worker.serviceTime = 300 * time.Millisecond
		a, b := f.vms["a"].address, f.vms["b"].address
		responses := make(chan response, 1)
		request := strings.Replace(f.requestText("POST", "shop.example", "/order/1", "x"), "Left: 5000", "Left: 6000", 1)
		tables := baseTables(3)
		tables.Routes[1].Timeout = 6 * time.Second
		f.store.publishTables(tables)
		time.Sleep(time.Second)
		go func() { responses <- f.send("a", request) }()
		time.Sleep(100 * time.Millisecond)
		f.network.Cut(a, b)
		time.Sleep(2500 * time.Millisecond)
		f.network.Heal(a, b)
		if r := <-responses; r.status != 200 {
			t.Errorf("request that ran on a VM that was silent for 2.5 s: got %d %q, want 200", r.status, r.body)
		}
		if n := len(f.runsInPool("orders")); n != 1 {
			t.Errorf("runs: got %d, want 1", n)
		}
		if r := f.send("a", f.requestText("POST", "shop.example", "/order/2", "x")); r.status != 200 {
			t.Errorf("request afterwards: got %d %q, want 200", r.status, r.body)
		}
	})
}
