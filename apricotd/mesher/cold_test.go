package mesher

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
)

const (
	coldStart     = 3 * time.Second
	coldPerSecond = 13
	coldOvershoot = 1.5
	coldSlack     = 8
	coldBound     = 27 // coldPerSecond * coldOvershoot + coldSlack, rounded down
)

// limitColdServers publishes tables in which cold servers of all pools tolerate
// coldPerSecond, and an organisation without a rate to speak of.
func (f *fleet) limitColdServers() { f.limitCold(baseTables(2)) }

func (f *fleet) limitCold(tables *resolver.Tables) {
	for _, pool := range tables.Pools {
		pool.ColdStart, pool.ColdRate = coldStart, coldPerSecond
	}
	tables.Organisations[0].Rate, tables.Organisations[0].Burst = 100000, 100000
	f.store.publishTables(tables)
	time.Sleep(2 * time.Second)
}

func (w *worker) chill(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(d)
}

// restartCold ends the backend servers of VMs and starts them again cold after a time,
// with new ids and entries.
func (f *fleet) restartCold(downtime time.Duration, names ...string) {
	for _, name := range names {
		f.vms[name].worker.end()
	}
	time.Sleep(downtime)
	for _, name := range names {
		f.startCold(name)
	}
}

// startCold starts the backend server of a VM cold, with a new id and entry.
func (f *fleet) startCold(name string) {
	m := f.vms[name]
	m.worker.mu.Lock()
	m.worker.id += "x"
	m.worker.coldUntil = time.Now().Add(coldStart)
	m.worker.mu.Unlock()
	m.startedAt, m.sequence = time.Now(), 0
	m.worker.start(f.t, f.network, m.worker.address)
	f.publishServer(name, lister.Ready)
}

// checkCold fails the test if a server got more in a second while it was cold than its
// bound, or nothing at all.
func (f *fleet) checkCold(names ...string) {
	f.t.Helper()
	for _, name := range names {
		w := f.vms[name].worker
		w.mu.Lock()
		arrivals := w.coldArrivals
		w.mu.Unlock()
		if got := mostWithin(arrivals, time.Second); got > coldBound {
			f.t.Errorf("requests at cold server %s in one second: got %d, want at most %d", name, got, coldBound)
		}
		if len(arrivals) == 0 {
			f.t.Errorf("requests at cold server %s: got none, want some", name)
		}
	}
}

// mostWithin returns the greatest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a fleet that crashes its servers again and again: all servers start cold
// at once under full load. When the cold time is over everything is served again.
func TestAllServersStartCold(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		f.limitColdServers()
		var wg sync.WaitGroup
		wg.Go(func() { f.sendAtRate(200, 1500*time.Millisecond+coldStart, f.newSearch) })
		f.restartCold(time.Second, "b", "c", "d")
		cold := time.Now()
		wg.Wait()
		f.checkCold("b", "c", "d")
		served := 0
		for _, name := range []string{"b", "c", "d"} {
			for _, r := range f.vms[name].worker.runs() {
				if r.at.After(cold) && r.at.Before(cold.Add(coldStart)) {
					served++
				}
			}
		}
		if got, want := served, 3*coldPerSecond*int(coldStart.Seconds()); got < want {
			t.Errorf("requests served while cold: got %d, want at least what the servers tolerate, %d", got, want)
		}
		time.Sleep(500 * time.Millisecond)
		after := f.sendAtRate(200, 2*time.Second, f.newSearch)
		if got, want := countStatus(after, 200), len(after)*95/100; got < want {
			t.Errorf("answered after the cold time: got %d of %d, want at least %d", got, len(after), want)
		}
	})
}

// Guards against losing requests that warm servers have room for: a data centre returns
// cold amid a burst.
func TestDataCentreReturnsColdAmidBurst(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		f.limitColdServers()
		f.sendAtRate(60, time.Second, f.newSearch)
		var responses []response
		var wg sync.WaitGroup
		wg.Go(func() { responses = f.sendAtRate(150, 6*time.Second, f.newSearch) })
		f.restartCold(time.Second, "b")
		wg.Wait()
		f.checkCold("b")
		if got, want := countStatus(responses, 200), len(responses)*98/100; got < want {
			t.Errorf("answered: got %d of %d, want at least %d", got, len(responses), want)
		}
	})
}

// Guards against a cold server behind nodes that believe it warm: it becomes cold without
// a restart while all nodes send to it.
func TestServerBecomesColdAgain(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		f.limitColdServers()
		var wg sync.WaitGroup
		wg.Go(func() { f.sendAtRate(150, 8*time.Second, f.newSearch) })
		for range 2 {
			time.Sleep(700 * time.Millisecond)
			f.vms["b"].worker.chill(2 * time.Second)
			time.Sleep(2 * time.Second)
		}
		wg.Wait()
		f.checkCold("b")
	})
}

// Guards against refusing all requests of a pool with one server, and against crashing
// it, while it is cold.
func TestOnlyServerIsCold(t *testing.T) {
	runFleet(t, oneLimitedServer, func(f *fleet) {
		f.limitColdServers()
		var wg sync.WaitGroup
		wg.Go(func() { f.sendAtRate(120, 6*time.Second, f.newSearch) })
		f.restartCold(time.Second, "b")
		wg.Wait()
		f.checkCold("b")
		if got, want := len(f.vms["b"].worker.coldArrivals), coldPerSecond*int(coldStart.Seconds()); got < want {
			t.Errorf("requests at the cold server: got %d, want at least %d", got, want)
		}
	})
}

// Guards against a bound that starts anew with the node: the node beside a cold server is
// killed and starts again within the second.
func TestNodeOfColdServerRestarts(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		f.limitColdServers()
		var wg sync.WaitGroup
		wg.Go(func() { f.sendAtRate(200, 5*time.Second, f.newSearch) })
		f.restartCold(time.Second, "b")
		for range 3 {
			time.Sleep(600 * time.Millisecond)
			f.killNode("b", 50*time.Millisecond)
		}
		wg.Wait()
		f.checkCold("b")
	})
}

// Guards against health checks and frames in deployments whose tables have no cold rates.
func TestColdRateOfZeroLimitsNothing(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		f.raiseRateLimit()
		f.vms["b"].worker.chill(time.Minute)
		responses := f.sendAtRate(150, 3*time.Second, f.newSearch)
		if got := countStatus(responses, 200); got != len(responses) {
			t.Errorf("answered: got %d of %d, want all", got, len(responses))
		}
		n := f.vms["b"].node
		if m := n.invoker.Load().Notice; m.GetColdMs() != 0 {
			t.Errorf("notice: got a cold time of %d ms, want none", m.GetColdMs())
		}
		if _, ok := n.warmer.UntilProbe(); ok {
			t.Error("health check: got one that is due, want none")
		}
	})
}

// losePower ends all nodes and backend servers, and starts them again after a time, the
// servers cold.
func (f *fleet) losePower(downtime time.Duration) {
	for _, m := range f.vms {
		m.killed.Store(true)
		m.node.Settings.Limits.StopWithin = 0
		m.worker.end()
		f.network.Kill(m.address)
		m.cancel()
	}
	for _, m := range f.vms {
		<-m.done
	}
	time.Sleep(downtime)
	for name := range f.vms {
		f.startCold(name)
		f.startNode(name)
	}
}

// Guards against trees that are begun in vain, at the cost of requests that can be served
// as a whole, after all VMs have lost power. The load: 60 urgent searches a second, each of
// which makes a call to the pool of the orders, which makes four to the stock server, and
// 25 orders without calls. Cold, the two servers of the orders take 40 requests a second
// together, and the stock server 20, a twelfth of what the searches need.
func TestWholeRequestsAfterLossOfPower(t *testing.T) {
	placements := map[string]placement{
		"a": {"north", "north-1", "search"}, "b": {"north", "north-2", "search"},
		"c": {"north", "north-1", "orders"}, "d": {"north", "north-2", "orders"},
		"e": {"north", "north-1", "stock"}, "f": {"north", "north-2", "search"},
	}
	runFleet(t, placements, func(f *fleet) {
		for name, m := range f.vms {
			target := map[string]string{"search": "/plan/1", "orders": "/stock/1"}[m.placement.pool]
			if target == "" {
				continue
			}
			m.worker.newCall = func() string { return f.getRequest("inner.example", target) }
			m.worker.dialNode = func() net.Conn { return f.dial(name) }
			if m.placement.pool == "orders" {
				m.worker.callsPerRun, m.worker.leaf = 4, "/order/"
			}
		}
		tables := baseTables(2)
		tables.Routes[0].Rank, tables.Routes[0].Timeout, tables.Routes[1].Rank = 0, 800*time.Millisecond, 2
		tables.Routes = append(tables.Routes, &resolver.Route{Name: "plan", Host: "inner.example", Prefix: "/plan/", Idempotent: true, Public: true,
			Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Rank: 1, MaxAttempts: 2, WeightedPools: []resolver.WeightedPool{{Pool: "orders", Weight: 1}}})
		f.limitCold(tables)
		f.losePower(time.Second)
		time.Sleep(200 * time.Millisecond)
		var searches, orders []response
		var wg sync.WaitGroup
		wg.Go(func() { searches = f.sendAtRate(60, 2*time.Second, f.newSearch) })
		wg.Go(func() {
			orders = f.sendAtRate(25, 2*time.Second, func() string { return f.requestText("POST", "shop.example", "/order/1", "x") })
		})
		wg.Wait()
		f.checkCold("c", "d", "e")
		if got, want := countStatus(orders, 200), len(orders)/2; got < want {
			t.Errorf("orders answered: got %d of %d, want at least %d", got, len(orders), want)
		}
		if got, want := len(searches)-countStatus(searches, 200)-countStatus(searches, 503), len(searches)/6; got > want {
			t.Errorf("searches that failed after they had begun: got %d of %d, want at most %d", got, len(searches), want)
		}
	})
}

// Guards against limits on a pool without a cold rate, whose servers are merely slower
// after their start, while another pool has one and its server is cold.
func TestPoolWithoutColdRateIsLeftAlone(t *testing.T) {
	runFleet(t, oneLimitedServer, func(f *fleet) {
		tables := baseTables(2)
		tables.Pools["stock"].ColdStart, tables.Pools["stock"].ColdRate = coldStart, coldPerSecond
		f.store.publishTables(tables)
		m := f.vms["b"]
		f.store.put(m.worker.id, serverEntry{StartedAt: m.startedAt, Sequence: 9, Server: lister.Server{
			ID: m.worker.id, Pool: "search", DataCentre: m.placement.dataCentre, Region: m.placement.region,
			Address: netip.AddrPortFrom(m.address, serverPort), Slots: 16, ColdUntil: time.Now().Add(time.Minute),
		}})
		f.vms["a"].worker.chill(30 * time.Second)
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				if r := f.send("b", f.newSearch()); r.status != 200 {
					t.Errorf("one of four requests at once: got %d %q, want 200", r.status, r.body)
				}
			})
		}
		wg.Wait()
	})
}
