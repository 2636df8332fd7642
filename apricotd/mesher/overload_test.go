package mesher

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

// outcomeCounts counts the requests of one route by outcome.
type outcomeCounts struct {
	mu     sync.Mutex
	sent   int
	served int
	failed int // ran and ended with status 500
}

func (c *outcomeCounts) add(r response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case r.status == 200:
		c.served++
	case r.status == 500:
		c.failed++
	}
}

// callChainVMs has two VMs for each of the pools search, orders and stock. In
// runCallChains, search and orders both call stock, which is the bottleneck.
var callChainVMs = map[string]placement{
	"a": {"north", "north-1", "search"}, "b": {"north", "north-2", "search"},
	"c": {"north", "north-1", "orders"}, "d": {"north", "north-2", "orders"},
	"e": {"north", "north-1", "stock"}, "f": {"north", "north-2", "stock"},
}

// runCallChains sends searches and orders for the duration, each at a rate per
// second. Requests of the first two seconds are not counted.
func runCallChains(f *fleet, searches, orders int, duration time.Duration) (search, order *outcomeCounts) {
	for name, m := range f.vms {
		if m.placement.pool == "stock" {
			m.worker.serviceTime = 40 * time.Millisecond
			continue
		}
		m.worker.slots, m.worker.serviceTime = 32, 60*time.Millisecond
		f.publishServer(name, lister.Ready)
		a := m.address
		m.worker.dialNode = func() net.Conn {
			nc, err := f.network.Dial(f.t.Context(), a, netip.AddrPortFrom(a, callersPort))
			if err != nil {
				return nil
			}
			return nc
		}
		m.worker.newCall = func() string {
			return strings.Replace(f.getRequest("inner.example", "/stock/1"), "Left: 5000", "Left: 700", 1)
		}
	}
	search, order = &outcomeCounts{}, &outcomeCounts{}
	var wg sync.WaitGroup
	start := time.Now()
	sendAtRate := func(rate int, make func() string, c *outcomeCounts) {
		for i := 0; time.Since(start) < duration; i++ {
			name := string(rune('a' + i%len(f.vms)))
			request := make()
			warmedUp := time.Since(start) > 2*time.Second
			wg.Go(func() {
				if r := f.send(name, request); warmedUp {
					c.add(r)
				}
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
	}
	wg.Go(func() {
		sendAtRate(searches, func() string { return f.getRequest("shop.example", "/search/1") }, search)
	})
	wg.Go(func() {
		sendAtRate(orders, func() string { return f.requestText("POST", "shop.example", "/order/1", "x") }, order)
	})
	wg.Wait()
	return search, order
}

// A burst requests 1.7 times the capacity of stock, the bottleneck: stock serves
// 200 requests per second (2 servers with 4 slots, 40 ms each) and 340 are sent.
// Orders must still be served, and few requests may fail after they have run.
func TestBurstBeyondBottleneckCapacity(t *testing.T) {
	runFleet(t, callChainVMs, func(f *fleet) {
		f.raiseRateLimit()
		search, order := runCallChains(f, 280, 60, 12*time.Second)
		t.Logf("orders: %d of %d served, %d failed; searches: %d of %d served, %d failed",
			order.served, order.sent, order.failed, search.served, search.sent, search.failed)
		if got, want := order.served, order.sent*95/100; got < want {
			t.Errorf("orders served: got %d, want at least %d", got, want)
		}
		// Orders leave 140 requests per second of stock's capacity for searches.
		if got, want := search.served, search.sent*140/280*80/100; got < want {
			t.Errorf("searches served: got %d, want at least %d", got, want)
		}
		if got, want := search.failed+order.failed, (search.sent+order.sent)*5/100; got > want {
			t.Errorf("requests that ran and failed: got %d, want at most %d", got, want)
		}
	})
}

// Nodes must stop rejecting requests within 5 s of the end of a burst.
func TestRecoveryAfterBurst(t *testing.T) {
	runFleet(t, callChainVMs, func(f *fleet) {
		f.raiseRateLimit()
		runCallChains(f, 280, 60, 8*time.Second)
		time.Sleep(3 * time.Second)
		search, order := runCallChains(f, 80, 30, 5*time.Second)
		if got, want := search.served+order.served, (search.sent+order.sent)*98/100; got < want {
			t.Errorf("served 5 s after the burst: got %d of %d, want at least %d", got, search.sent+order.sent, want)
		}
	})
}

// raiseRateLimit raises the organisation's rate limit so that it rejects nothing.
func (f *fleet) raiseRateLimit() {
	t := baseTables(2)
	t.Organisations[0].Rate, t.Organisations[0].Burst = 10_000, 10_000
	f.store.publishTables(t)
	time.Sleep(time.Second)
}
