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

// A tally counts what became of the requests of one route.
type tally struct {
	mu     sync.Mutex
	asked  int
	served int
	failed int // ran and failed
}

func (c *tally) count(r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	switch {
	case r.status == 200:
		c.served++
	case r.status == 500:
		c.failed++
	}
}

// chains is a fleet whose searches and orders both call stock, which is the
// narrowest.
var chains = map[string]place{
	"a": {"north", "north-1", "search"}, "b": {"north", "north-2", "search"},
	"c": {"north", "north-1", "orders"}, "d": {"north", "north-2", "orders"},
	"e": {"north", "north-1", "stock"}, "f": {"north", "north-2", "stock"},
}

// runChains lets searches and orders come at a rate a second each for a time,
// after a second of warm-up that is not counted.
func runChains(f *fleet, searches, orders int, length time.Duration) (search, order *tally) {
	for name, m := range f.vms {
		if m.place.pool == "stock" {
			m.worker.service = 40 * time.Millisecond
			continue
		}
		m.worker.slots, m.worker.service = 32, 60*time.Millisecond
		f.list(name, lister.Ready)
		a := m.address
		m.worker.node = func() net.Conn {
			nc, err := f.network.Dial(f.t.Context(), a, netip.AddrPortFrom(a, callersPort))
			if err != nil {
				return nil
			}
			return nc
		}
		m.worker.call = func() string {
			return strings.Replace(f.get("inner.example", "/stock/1"), "Left: 5000", "Left: 700", 1)
		}
	}
	search, order = &tally{}, &tally{}
	var wg sync.WaitGroup
	begun := time.Now()
	keep := func(rate int, make func() string, c *tally) {
		for i := 0; time.Since(begun) < length; i++ {
			name := string(rune('a' + i%len(f.vms)))
			request := make()
			counted := time.Since(begun) > 2*time.Second
			wg.Go(func() {
				if r := f.send(name, request); counted {
					c.count(r)
				}
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
	}
	wg.Go(func() { keep(searches, func() string { return f.get("shop.example", "/search/1") }, search) })
	wg.Go(func() {
		keep(orders, func() string { return f.message("POST", "shop.example", "/order/1", "x") }, order)
	})
	wg.Wait()
	return search, order
}

// Pattern: a burst of 1.7 times what the deepest pool can do. Stock serves 200
// requests a second (2 servers, 4 slots, 40 ms); 340 are asked for.
func TestBurstOnTheDeepestPool(t *testing.T) {
	runFleet(t, chains, func(f *fleet) {
		f.raiseRate()
		search, order := runChains(f, 280, 60, 12*time.Second)
		t.Logf("orders: %d of %d served, %d failed; searches: %d of %d served, %d failed",
			order.served, order.asked, order.failed, search.served, search.asked, search.failed)
		if got, want := order.served, order.asked*95/100; got < want {
			t.Errorf("orders served: got %d, want at least %d", got, want)
		}
		// What orders leave of stock's capacity is 140 a second.
		if got, want := search.served, search.asked*140/280*80/100; got < want {
			t.Errorf("searches served: got %d, want at least %d", got, want)
		}
		if got, want := search.failed+order.failed, (search.asked+order.asked)*5/100; got > want {
			t.Errorf("requests that ran for nothing: got %d, want at most %d", got, want)
		}
	})
}

// Pattern: the burst ends. Requests are held back no longer than a few seconds.
func TestRecoveryAfterBurst(t *testing.T) {
	runFleet(t, chains, func(f *fleet) {
		f.raiseRate()
		runChains(f, 280, 60, 8*time.Second)
		time.Sleep(3 * time.Second)
		search, order := runChains(f, 80, 30, 5*time.Second)
		if got, want := search.served+order.served, (search.asked+order.asked)*98/100; got < want {
			t.Errorf("served 5 s after the burst: got %d of %d, want at least %d", got, search.asked+order.asked, want)
		}
	})
}

// raiseRate keeps the organisation's rate from deciding the test.
func (f *fleet) raiseRate() {
	t := baseTables(2)
	t.Organisations[0].Rate, t.Organisations[0].Burst = 10_000, 10_000
	f.store.publish(t)
	time.Sleep(time.Second)
}
