package mesher

import (
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
)

// eight VMs in two regions: two readers each, and two more that learn.
var eight = map[string]place{
	"a": {"north", "north-1", "stock"}, "b": {"north", "north-1", "search"},
	"c": {"north", "north-2", "search"}, "d": {"north", "north-2", "orders"},
	"e": {"south", "south-1", "stock"}, "f": {"south", "south-1", "search"},
	"g": {"south", "south-2", "search"}, "h": {"south", "south-2", "orders"},
}

// readers returns the VMs that read the store.
func (f *fleet) readers() []string {
	var out []string
	for name, m := range f.vms {
		if m.node.readers.isReader() {
			out = append(out, name)
		}
	}
	return out
}

func (f *fleet) wantVersion(version uint64, except ...string) {
	f.t.Helper()
	skip := make(map[string]bool)
	for _, name := range except {
		skip[name] = true
	}
	for name, m := range f.vms {
		if got, _ := m.node.syncer.Versions(); got != version && !skip[name] {
			f.t.Errorf("version in force on VM %s: got %d, want %d", name, got, version)
		}
	}
}

func TestFewNodesReadTheStore(t *testing.T) {
	runFleet(t, eight, func(f *fleet) {
		if got := len(f.readers()); got != 2*readersPerRegion {
			t.Errorf("readers: got %d, want %d", got, 2*readersPerRegion)
		}
		before := f.store.callsSoFar()
		time.Sleep(20 * time.Second)
		// Each watch counts once when it begins and once when its wait is over.
		if got, want := f.store.callsSoFar()-before, 2*2*readersPerRegion*25; got > want {
			t.Errorf("calls in 20 s without change: got %d, want at most %d", got, want)
		}
		f.store.publish(baseTables(2))
		time.Sleep(500 * time.Millisecond)
		f.wantVersion(2)
	})
}

// Changes reach all nodes also when the store refuses some of the readers, or
// all of one region's.
func TestChangesReachNodesThatTheStoreRefuses(t *testing.T) {
	runFleet(t, eight, func(f *fleet) {
		for name, m := range f.vms {
			if m.place.region == "north" || name == "e" {
				f.store.refuse(m.address, true)
			}
		}
		f.store.publish(baseTables(2))
		time.Sleep(1500 * time.Millisecond)
		f.wantVersion(2)
		f.store.publish(baseTables(3))
		time.Sleep(500 * time.Millisecond)
		f.wantVersion(3)
	})
}

// Readers that are killed at the moment of a change do not keep it from the
// others, who may have asked just them.
func TestReadersKilledDuringChange(t *testing.T) {
	runFleet(t, eight, func(f *fleet) {
		killed := f.readers()
		f.store.publish(baseTables(2))
		time.Sleep(2 * time.Millisecond)
		for _, name := range killed {
			f.kill(name)
		}
		f.store.publish(baseTables(3))
		time.Sleep(1900 * time.Millisecond)
		f.wantVersion(3, killed...)
	})
}

func TestVersionNeverFalls(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		f.store.publish(baseTables(9))
		time.Sleep(500 * time.Millisecond)
		f.store.publish(baseTables(4))
		time.Sleep(2 * time.Second)
		f.wantVersion(9)
	})
}

func TestUnreadableTablesReplaceNothing(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		f.store.change(func() { f.store.tables = &resolver.Tables{Raw: []byte(`{"Version": 5, "Routes": [`)} })
		time.Sleep(2 * time.Second)
		f.wantVersion(1)
		if r := f.send("a", f.get("shop.example", "/search/x")); r.status != 200 {
			t.Errorf("send request: got %d, want 200", r.status)
		}
	})
}

// A VM that is cut off from the store only: its server's entry expires, but
// the server is well and all nodes reach it.
func TestServerOfVMWithoutStoreStaysInUse(t *testing.T) {
	runFleet(t, oneOrder, func(f *fleet) {
		f.store.refuse(f.vms["b"].address, true)
		time.Sleep(3 * time.Second)
		f.store.drop("i-b")
		time.Sleep(time.Second)
		for range 10 {
			if r := f.send("a", f.message("POST", "shop.example", "/order/1", "x")); r.status != 200 {
				t.Errorf("send request: got %d, want 200 from the only server", r.status)
			}
			time.Sleep(time.Second)
		}
	})
}

// A server that leaves without saying so before: its entry goes, although its
// health check still passes.
func TestRemovedServerGetsNothing(t *testing.T) {
	for name, refused := range map[string]bool{"served": false, "not served before": true} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, oneOrder, func(f *fleet) {
				if refused {
					f.store.refuse(f.vms["a"].address, true)
					time.Sleep(3 * time.Second)
				}
				f.store.drop("i-b")
				f.store.refuse(f.vms["a"].address, false)
				time.Sleep(1900 * time.Millisecond)
				before := len(f.vms["b"].worker.runs())
				f.store.publish(baseTables(2))
				for range 5 {
					if r := f.send("a", f.message("POST", "shop.example", "/order/1", "x")); r.status != 503 {
						t.Errorf("send request: got %d, want 503", r.status)
					}
					time.Sleep(200 * time.Millisecond)
				}
				if got := len(f.vms["b"].worker.runs()) - before; got != 0 {
					t.Errorf("runs at the removed server: got %d, want 0", got)
				}
			})
		})
	}
}

// A node that has vouched takes its word back at once when the store shows it
// that the entry has gone.
func TestWordIsTakenBack(t *testing.T) {
	runFleet(t, oneOrder, func(f *fleet) {
		f.store.refuse(f.vms["b"].address, true)
		time.Sleep(3 * time.Second)
		f.store.drop("i-b")
		time.Sleep(2 * time.Second)
		f.store.refuse(f.vms["b"].address, false)
		time.Sleep(900 * time.Millisecond)
		if r := f.send("a", f.message("POST", "shop.example", "/order/1", "x")); r.status != 503 {
			t.Errorf("send request: got %d, want 503", r.status)
		}
	})
}

// Entries that expire while the store is down for all come back after it.
func TestEntriesThatExpireDuringOutage(t *testing.T) {
	runFleet(t, oneOrder, func(f *fleet) {
		for _, m := range f.vms {
			f.store.refuse(m.address, true)
		}
		time.Sleep(5 * time.Second)
		f.store.drop("i-b")
		for _, m := range f.vms {
			f.store.refuse(m.address, false)
		}
		for range 8 {
			if r := f.send("a", f.message("POST", "shop.example", "/order/1", "x")); r.status != 200 {
				t.Errorf("request just after the outage: got %d, want 200", r.status)
			}
			time.Sleep(200 * time.Millisecond)
		}
		f.list("b", lister.Ready)
		time.Sleep(5 * time.Second)
		if r := f.send("a", f.message("POST", "shop.example", "/order/1", "x")); r.status != 200 {
			t.Errorf("request after the entry is back: got %d, want 200", r.status)
		}
	})
}

// Rates hold over all nodes, also while one of them is cut off.
func TestRateHoldsOverAllNodes(t *testing.T) {
	runFleet(t, eight, func(f *fleet) {
		for _, m := range f.vms {
			m.worker.slots, m.worker.service = 64, time.Millisecond
		}
		f.isolate("a")
		var wg sync.WaitGroup
		for range 1000 {
			for name := range f.vms {
				request := f.get("shop.example", "/search/x")
				wg.Go(func() { f.send(name, request) })
			}
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		limit := int((goldRate*5+goldRate)*1.25) + 20
		runs := f.runsOf("search")
		for _, first := range runs {
			n := 0
			for _, r := range runs {
				if !r.at.Before(first.at) && r.at.Sub(first.at) < 5*time.Second {
					n++
				}
			}
			if n > limit {
				t.Fatalf("runs in 5 s: got %d, want at most %d", n, limit)
			}
		}
		if least := goldRate * 20 * 8 / 10; len(runs) < least {
			t.Errorf("runs in 20 s: got %d, want at least %d", len(runs), least)
		}
	})
}

func TestServedAgainAfterAllNodesWereKilled(t *testing.T) {
	runFleet(t, eight, func(f *fleet) {
		for name := range f.vms {
			f.kill(name)
		}
		for _, m := range f.vms {
			<-m.done
		}
		time.Sleep(time.Second)
		for name, m := range f.vms {
			m.worker.id += "-again"
			m.worker.run(t, f.network, m.node.Settings.Backend.Address)
			f.start(name)
		}
		time.Sleep(2 * time.Second)
		for name := range f.vms {
			if r := f.send(name, f.get("shop.example", "/search/x")); r.status != 200 {
				t.Errorf("request at VM %s: got %d %q, want 200", name, r.status, r.body)
			}
		}
	})
}
