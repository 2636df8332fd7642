package mesher

import (
	"bytes"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/syncer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
)

// marked is the body of requests whose way is observed.
const marked = "body-with-a-home"

// A bodyTracker records which VMs get the marked body from another VM. Responses contain
// it too, so those of the callers must be left out.
type bodyTracker struct {
	callers []netip.Addr

	mu sync.Mutex
	to map[netip.Addr]int
}

func (b *bodyTracker) observe(from, to netip.Addr, data []byte) {
	if from != to && !slices.Contains(b.callers, to) && bytes.Contains(data, []byte(marked)) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.to[to]++
	}
}

// regions returns the regions of the VMs that got the body.
func (b *bodyTracker) regions(f *fleet) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, m := range f.vms {
		if b.to[m.address] > 0 && !slices.Contains(out, m.placement.region) {
			out = append(out, m.placement.region)
		}
	}
	slices.Sort(out)
	return out
}

// homeTables returns tables in which a route and the organisation have home regions.
func homeTables(version uint64, route string, routeHomes, organisationHomes []string) *resolver.Tables {
	t := baseTables(version)
	for _, r := range t.Routes {
		if r.Name == route {
			r.Homes = routeHomes
		}
	}
	t.Organisations[0].Homes = organisationHomes
	return t
}

// runHomes runs a test on eightVMs with home regions, and with a tracker of the marked
// body that the named VMs send.
func runHomes(t *testing.T, tables *resolver.Tables, callers string, test func(f *fleet, b *bodyTracker)) {
	t.Helper()
	runFleet(t, eightVMs, func(f *fleet) {
		b := &bodyTracker{to: make(map[netip.Addr]int)}
		for _, name := range strings.Fields(callers) {
			b.callers = append(b.callers, f.vms[name].address)
		}
		f.network.Observe = b.observe
		f.store.publishTables(tables)
		time.Sleep(2 * time.Second)
		test(f, b)
	})
}

func (f *fleet) order() response {
	return f.send("e", f.requestText("POST", "shop.example", "/order/1", marked))
}

// Guards against a request that is served outside its home regions, or whose body is
// sent there, on the first try.
func TestHomesOnFirstTry(t *testing.T) {
	for name, c := range map[string]struct {
		route, organisation []string
		want                []string
	}{
		"route":          {[]string{"north"}, nil, []string{"north"}},
		"organisation":   {nil, []string{"north"}, []string{"north"}},
		"both":           {[]string{"south", "north"}, []string{"north"}, []string{"north"}},
		"own region":     {[]string{"south"}, nil, []string{"south"}},
		"none, as empty": {[]string{}, []string{}, []string{"south"}},
	} {
		t.Run(name, func(t *testing.T) {
			runHomes(t, homeTables(2, "order", c.route, c.organisation), "e", func(f *fleet, b *bodyTracker) {
				for range 10 {
					if r := f.order(); r.status != 200 {
						t.Errorf("send request: got %d %q, want 200", r.status, r.body)
					}
				}
				if got := b.regions(f); !slices.Equal(got, c.want) {
					t.Errorf("regions that got the body: got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against a request that leaves its home regions because its servers there refuse
// it, and against a retry delay that does not say when they have room.
func TestHomesWithoutRoom(t *testing.T) {
	runHomes(t, homeTables(2, "order", []string{"north"}, nil), "e", func(f *fleet, b *bodyTracker) {
		w := f.vms["d"].worker
		w.setScripted("503", []string{"Notrun: 1", "Retry-After: 0.4"}, false)
		r := f.order()
		if after, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64); r.status != 503 || after < 0.4 || after > 0.6 {
			t.Errorf("request that the home server rejects: got %d, Retry-After %v s, want 503 and 0.4 to 0.6 s", r.status, after)
		}
		w.setFault(noFault)
		f.publishServer("d", lister.Leaving)
		time.Sleep(time.Second)
		if r := f.order(); r.status != 503 || r.body != "noHomeServer\n" {
			t.Errorf("request without a home server: got %d %q, want 503 and noHomeServer", r.status, r.body)
		}
		if got := b.regions(f); !slices.Equal(got, []string{"north"}) || len(f.vms["h"].worker.runs()) > 0 {
			t.Errorf("regions that got the body: got %v, want only north", got)
		}
	})
}

// Guards against home regions that take effect for the first try only: the tables change
// while a server runs a request whose answer is then lost.
func TestHomesOnRetry(t *testing.T) {
	runHomes(t, baseTables(2), "e", func(f *fleet, b *bodyTracker) {
		for _, name := range []string{"f", "g"} {
			f.vms[name].worker.serviceTime = time.Second
			f.vms[name].worker.setFault(droppedResponse)
		}
		time.AfterFunc(200*time.Millisecond, func() { f.store.publishTables(homeTables(3, "search", []string{"north"}, nil)) })
		if r := f.send("e", f.requestText("POST", "shop.example", "/search/1", marked)); r.status != 200 {
			t.Errorf("request whose first answer was lost: got %d %q, want 200", r.status, r.body)
		}
		north, south := len(f.vms["b"].worker.runs())+len(f.vms["c"].worker.runs()), len(f.vms["f"].worker.runs())+len(f.vms["g"].worker.runs())
		if north != 1 || south != 1 {
			t.Errorf("runs: got %d in north and %d in south, want the first in south and the second in north", north, south)
		}
		if len(b.to) != 2 {
			t.Errorf("VMs that got the body: got %d, want 2, one for each attempt", len(b.to))
		}
	})
}

// Guards against calls of backend servers, which have no key, that leave the home regions
// of their own route.
func TestHomesOfCalls(t *testing.T) {
	runHomes(t, homeTables(2, "stock", []string{"north"}, []string{"south"}), "f g", func(f *fleet, b *bodyTracker) {
		for _, name := range []string{"f", "g"} {
			w := f.vms[name].worker
			w.newCall = func() string { return f.requestText("POST", "inner.example", "/stock/1", marked) }
			w.dialNode = func() net.Conn { return f.dial(name) }
		}
		for range 10 {
			if r := f.send("e", f.getRequest("shop.example", "/search/1")); r.status != 200 {
				t.Errorf("request with a call: got %d %q, want 200", r.status, r.body)
			}
		}
		if got := b.regions(f); !slices.Equal(got, []string{"north"}) || len(f.vms["e"].worker.runs()) > 0 {
			t.Errorf("regions that got the body of a call: got %v, want only north", got)
		}
	})
}

// Guards against an unclear refusal of requests that have no home region left, and
// against operators that are not told of such tables.
func TestHomesWithoutIntersection(t *testing.T) {
	runHomes(t, homeTables(2, "order", []string{"north"}, []string{"south"}), "e", func(f *fleet, b *bodyTracker) {
		r := f.order()
		if after, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64); r.status != 503 || r.body != "noHome\n" || after < 5 {
			t.Errorf("request without a home region: got %d %q, Retry-After %v s, want 503, noHome and at least 5 s", r.status, r.body, after)
		}
		if got := b.regions(f); len(got) > 0 {
			t.Errorf("regions that got the body: got %v, want none", got)
		}
		log := f.vms["e"].log.String()
		for _, want := range []string{"without a common home region", "the home regions of the route are [north], those of organisation gold are [south]"} {
			if !strings.Contains(log, want) {
				t.Errorf("log of the node: got no line with %q, want one", want)
			}
		}
	})
}

// Guards against a sender with older tables by whose request a server outside the homes
// runs it, and whose body then goes to the other VMs of that region.
func TestHomesAtReceiverWithNewerTables(t *testing.T) {
	placements := map[string]placement{
		"a": {"north", "north-1", "stock"}, "f": {"south", "south-1", "orders"}, "g": {"south", "south-2", "orders"},
	}
	runFleet(t, placements, func(f *fleet) {
		b := &bodyTracker{to: make(map[netip.Addr]int), callers: []netip.Addr{f.vms["a"].address}}
		f.network.Observe = b.observe
		newer := &fakeStore{}
		tables := homeTables(2, "order", []string{"north"}, nil)
		newer.publishTables(tables)
		for _, name := range []string{"f", "g"} {
			f.vms[name].node.syncer.Apply(&syncer.Snapshot{Tables: tables.Raw}, "test")
		}
		r := f.send("a", f.requestText("POST", "shop.example", "/order/1", marked))
		if r.status != 503 || r.body != "outsideHome\n" {
			t.Errorf("request by older tables: got %d %q, want 503 and outsideHome", r.status, r.body)
		}
		if n := len(f.runsInPool("orders")); n != 0 {
			t.Errorf("runs outside the homes: got %d, want 0", n)
		}
		if len(b.to) != 1 {
			t.Errorf("VMs that got the body: got %d, want 1", len(b.to))
		}
		log := f.vms["f"].log.String() + f.vms["g"].log.String()
		if !strings.Contains(log, "this region is none of its home regions") {
			t.Error("logs of the receivers: got no line on the refusal, want one")
		}
	})
}

// Guards against requests that leave their home regions because these cannot be reached,
// and against a node that keeps refusing when they can be again.
func TestHomesThatAreCutOff(t *testing.T) {
	runHomes(t, homeTables(2, "order", []string{"north"}, nil), "e", func(f *fleet, b *bodyTracker) {
		forPairs := func(do func(a, b netip.Addr)) {
			for _, m := range f.vms {
				for _, other := range f.vms {
					if m.placement.region == "north" && other.placement.region == "south" {
						do(m.address, other.address)
					}
				}
			}
		}
		forPairs(f.network.Cut)
		for range 5 {
			if r := f.order(); r.status == 200 || r.status < 500 {
				t.Errorf("request while the home region is cut off: got %d %q, want a status of at least 500", r.status, r.body)
			}
			time.Sleep(time.Second)
		}
		forPairs(f.network.Heal)
		time.Sleep(3 * time.Second)
		if r := f.order(); r.status != 200 {
			t.Errorf("request after the cut: got %d %q, want 200", r.status, r.body)
		}
		if n := len(f.vms["h"].worker.runs()); n > 0 {
			t.Errorf("runs outside the homes: got %d, want 0", n)
		}
	})
}
