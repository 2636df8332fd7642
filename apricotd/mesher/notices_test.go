package mesher

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/version/resolver"
)

const (
	// A server that states a rate limit may receive limitFactor times that rate
	// and limitSlack requests more in any limitWindow that begins limitDelay after
	// its first statement or later.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitDelay  = 3 * time.Second
)

// limitedServers has three search servers in two regions. The tests send requests
// to all VMs.
var limitedServers = map[string]placement{
	"a": {"north", "north-1", "stock"},
	"b": {"north", "north-1", "search"},
	"c": {"north", "north-2", "search"},
	"d": {"south", "south-1", "search"},
}

// oneLimitedServer has two VMs without a search server and one with the only one.
var oneLimitedServer = map[string]placement{
	"a": {"north", "north-1", "stock"},
	"b": {"north", "north-1", "search"},
	"c": {"north", "north-2", "orders"},
}

// sendAtRate sends requests to all VMs in turn, at a rate per second, and returns
// the responses once all have arrived.
func (f *fleet) sendAtRate(rate int, duration time.Duration, newRequest func() string) []response {
	names := make([]string, 0, len(f.vms))
	for i := range len(f.vms) {
		names = append(names, string(rune('a'+i)))
	}
	var mu sync.Mutex
	var all []response
	var wg sync.WaitGroup
	for start, i := time.Now(), 0; time.Since(start) < duration; i++ {
		request := newRequest()
		wg.Go(func() {
			r := f.trySend(names[i%len(names)], request)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	return all
}

func (f *fleet) newSearch() string { return f.getRequest("shop.example", "/search/1") }

func countStatus(responses []response, status int) int {
	n := 0
	for _, r := range responses {
		if r.err == nil && r.status == status {
			n++
		}
	}
	return n
}

// checkRate fails the test if a server received more than its stated rate allows
// in any window between two times.
func (f *fleet) checkRate(name string, rate float64, from, to time.Time) {
	f.t.Helper()
	w := f.vms[name].worker
	w.mu.Lock()
	arrivals := w.arrivalTimes
	w.mu.Unlock()
	allowed := int(math.Floor(limitFactor*rate*limitWindow.Seconds() + limitSlack))
	worst := 0
	for i, first := range arrivals {
		if first.Before(from) || first.After(to) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow && !at.After(to) {
				n++
			}
		}
		worst = max(worst, n)
	}
	if worst > allowed {
		f.t.Errorf("requests at server %s in %v: got %d, want at most %d", name, limitWindow, worst, allowed)
	}
}

// killNode kills a VM's node, but not its backend server, and starts it again
// after downtime.
func (f *fleet) killNode(name string, downtime time.Duration) {
	m := f.vms[name]
	m.killed.Store(true)
	m.node.Settings.Limits.StopWithin = 0
	f.network.Kill(m.address)
	m.cancel()
	<-m.done
	time.Sleep(downtime)
	m.worker.start(f.t, f.network, m.worker.address)
	f.startNode(name)
	synctest.Wait() // until the node is assembled
}

// Guards against a server receiving more requests than the rate that it states,
// summed over all nodes, and against losing requests that other servers have room
// for.
func TestStatedRateHoldsForFleet(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 6, 17.2} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			runFleet(t, limitedServers, func(f *fleet) {
				f.raiseRateLimit()
				f.sendAtRate(120, 2*time.Second, f.newSearch)
				f.vms["b"].worker.state(fmt.Sprintf("Limit: %v", rate))
				start := time.Now()
				responses := f.sendAtRate(120, 15*time.Second, f.newSearch)
				f.checkRate("b", rate, start.Add(limitDelay), time.Now())
				if got, want := countStatus(responses, 200), len(responses)*98/100; got < want {
					t.Errorf("answered: got %d of %d, want at least %d", got, len(responses), want)
				}
			})
		})
	}
}

// Guards against a limit that is forgotten when the node beside the server
// restarts, while other nodes know it.
func TestStatedRateSurvivesNodeRestart(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		f.raiseRateLimit()
		f.vms["b"].worker.state("Limit: 6")
		f.sendAtRate(120, 2*time.Second, f.newSearch)
		start := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() { f.sendAtRate(120, 15*time.Second, f.newSearch) })
		wg.Go(func() {
			for range 3 {
				time.Sleep(4 * time.Second)
				f.killNode("b", 200*time.Millisecond)
			}
		})
		wg.Wait()
		f.checkRate("b", 6, start.Add(limitDelay), time.Now())
	})
}

// Guards against a limit that never ends because no response reports its end, and
// against requests that are held while a server accepts none.
func TestServerIsUsedAgainAfterLimitOfZero(t *testing.T) {
	runFleet(t, oneLimitedServer, func(f *fleet) {
		f.raiseRateLimit()
		f.sendAtRate(40, time.Second, f.newSearch)
		w := f.vms["b"].worker
		w.state("Limit: 0")
		start := time.Now()
		limited := f.sendAtRate(40, 10*time.Second, f.newSearch)
		f.checkRate("b", 0, start.Add(limitDelay), time.Now())
		if got, want := countStatus(limited, 503), len(limited)*95/100; got < want {
			t.Errorf("refused while the limit is 0: got %d of %d, want at least %d", got, len(limited), want)
		}
		w.state()
		time.Sleep(3 * time.Second)
		after := f.sendAtRate(40, 3*time.Second, f.newSearch)
		if got, want := countStatus(after, 200), len(after)*98/100; got < want {
			t.Errorf("answered after the limit: got %d of %d, want at least %d", got, len(after), want)
		}
	})
}

// Guards against losing more than the limits take when all servers of a pool state
// one: what they accept is used, the most urgent requests go first, and all others
// are refused before they run.
func TestAllServersLimited(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		tables := baseTables(2)
		for _, r := range tables.Routes {
			r.WeightedPools = []resolver.WeightedPool{{Pool: "search", Weight: 1}}
		}
		tables.Organisations[0].Rate, tables.Organisations[0].Burst = 100000, 100000
		f.store.publishTables(tables)
		time.Sleep(2 * time.Second)
		for _, name := range []string{"b", "c", "d"} {
			f.vms[name].worker.state("Limit: 10")
		}
		f.sendAtRate(100, 4*time.Second, f.newSearch)
		start := time.Now()
		var searches, orders []response
		var wg sync.WaitGroup
		wg.Go(func() { searches = f.sendAtRate(100, 12*time.Second, f.newSearch) })
		wg.Go(func() {
			orders = f.sendAtRate(10, 12*time.Second, func() string { return f.requestText("POST", "shop.example", "/order/1", "x") })
		})
		wg.Wait()
		for _, name := range []string{"b", "c", "d"} {
			f.checkRate(name, 10, start, time.Now())
		}
		if got, want := countStatus(orders, 200), len(orders)*95/100; got < want {
			t.Errorf("orders answered: got %d of %d, want at least %d", got, len(orders), want)
		}
		if got, want := countStatus(searches, 200)+countStatus(orders, 200), 3*10*12*80/100; got < want {
			t.Errorf("answered: got %d, want at least %d", got, want)
		}
		if got := countStatus(searches, 200) + countStatus(searches, 503); got != len(searches) {
			t.Errorf("searches answered or refused: got %d, want all %d", got, len(searches))
		}
	})
}

// Guards against use of a server after it has stated that it is leaving, as long
// as the list names it and through a restart of its node, and against a server
// that stays unused after it has started again under its id.
func TestLeavingServerReceivesNothing(t *testing.T) {
	runFleet(t, limitedServers, func(f *fleet) {
		f.raiseRateLimit()
		f.sendAtRate(60, 2*time.Second, f.newSearch)
		w := f.vms["b"].worker
		w.state("Leaving: 1")
		f.sendAtRate(60, time.Second, f.newSearch)
		time.Sleep(time.Second)
		arrivals := func() int {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.arrivalCount
		}
		before := arrivals()
		var wg sync.WaitGroup
		wg.Go(func() {
			responses := f.sendAtRate(60, 30*time.Second, f.newSearch)
			if got, want := countStatus(responses, 200), len(responses)*98/100; got < want {
				t.Errorf("answered: got %d of %d, want at least %d", got, len(responses), want)
			}
		})
		wg.Go(func() {
			time.Sleep(10 * time.Second)
			f.killNode("b", 200*time.Millisecond)
		})
		wg.Wait()
		if got := arrivals() - before; got != 0 {
			t.Errorf("requests at the leaving server: got %d, want 0", got)
		}
		w.state()
		time.Sleep(4 * time.Second)
		before = arrivals()
		f.sendAtRate(60, 3*time.Second, f.newSearch)
		if arrivals() == before {
			t.Error("requests at the server after it started again: got 0, want some")
		}
	})
}
