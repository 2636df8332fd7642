package mesher

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

// twoSearch is a caller's VM beside a stock server and two search servers.
var twoSearch = map[string]place{
	"a": {"north", "north-1", "stock"},
	"b": {"north", "north-1", "search"},
	"c": {"north", "north-2", "search"},
}

var oneOrder = map[string]place{
	"a": {"north", "north-1", "stock"},
	"b": {"north", "north-1", "orders"},
}

func (f *fleet) runsOf(pool string) []ranRequest {
	var out []ranRequest
	for _, m := range f.vms {
		if m.place.pool == pool {
			out = append(out, m.worker.runs()...)
		}
	}
	return out
}

func TestFieldsOfNodesAreReplaced(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		r := f.send("a", f.get("shop.example", "/search/x?q=1", "Caller: forged", "Org: forged", "Want: forged", "Other: kept"))
		if r.status != 200 || r.body != "ran /search/x?q=1 " {
			t.Fatalf("send request: got %d %q %v, want 200 and the whole answer", r.status, r.body, r.err)
		}
		runs := f.runsOf("search")
		if len(runs) != 1 {
			t.Fatalf("runs: got %d, want 1", len(runs))
		}
		got := runs[0]
		if got.caller != "stock" || got.organisation != "gold" || got.key != "" {
			t.Errorf("request at the server: got caller %q, organisation %q, key %q, want stock, gold and no key", got.caller, got.organisation, got.key)
		}
	})
}

func TestRefusedWithoutRoute(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		for _, c := range []struct {
			request string
			want    int
		}{
			{f.get("shop.example", "/nowhere/x"), 404},
			{f.get("other.example", "/search/x"), 404},
			{"GET /search/x HTTP/1.1\r\nHost: shop.example\r\nId: x1\r\nLeft: 900\r\n\r\n", 401},
			{"GET /search/x HTTP/1.1\r\nHost: shop.example\r\nId: x2\r\nKey: withdrawn\r\nLeft: 900\r\n\r\n", 401},
			{f.message("POST", "shop.example", "/search/x", "", "Content-Length: 3", "Transfer-Encoding: chunked"), 400},
			{f.message("POST", "shop.example", "/search/x", "", "Content-Length: 3", "Content-Length: 4"), 400},
		} {
			if r := f.send("a", c.request); r.status != c.want {
				t.Errorf("send %q: got %d, want %d", strings.SplitN(c.request, "\r\n", 2)[0], r.status, c.want)
			}
		}
		if n := len(f.runsOf("search")); n != 0 {
			t.Errorf("runs: got %d, want 0", n)
		}
	})
}

func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		nc := f.dial("a")
		defer nc.Close()
		var all string
		for i := range 6 {
			all += f.get("shop.example", fmt.Sprintf("/search/%d", i))
		}
		_, _ = io.WriteString(nc, all)
		br := bufio.NewReader(nc)
		for i := range 6 {
			if r := readReply(br, "GET"); r.body != fmt.Sprintf("ran /search/%d ", i) {
				t.Errorf("answer %d: got %d %q %v, want its own", i, r.status, r.body, r.err)
			}
		}
	})
}

func TestCallerThatLeavesCancels(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		for _, m := range f.vms {
			m.worker.service = 1500 * time.Millisecond
		}
		nc := f.dial("a")
		_, _ = io.WriteString(nc, f.get("shop.example", "/search/1")+f.get("shop.example", "/search/2")+"GET /half")
		time.Sleep(200 * time.Millisecond)
		_ = nc.Close()
		time.Sleep(500 * time.Millisecond)
		runs := f.runsOf("search")
		if len(runs) != 2 || !runs[0].cancelled || !runs[1].cancelled {
			t.Errorf("runs half a second after the caller left: got %+v, want two that were cancelled", runs)
		}
	})
}

// A server that faults must never make another request's answer, or a part of
// one, look like a whole answer.
func TestFaultyAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		manner manner
		want   int
	}{
		{"twice", twice, 200},
		{"cut", cutting, 502},
		{"vanished", vanishing, 502},
		{"unframed", unframed, 200},
		{"late", late, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, oneOrder, func(f *fleet) {
				f.vms["b"].worker.set(c.manner)
				for i := range 5 {
					body := fmt.Sprintf("order %d", i)
					r := f.send("a", f.message("POST", "shop.example", "/order/x", body))
					if r.status != c.want || c.want == 200 && r.body != "ran /order/x "+body {
						t.Errorf("request %d: got %d %q, want %d", i, r.status, r.body, c.want)
					}
				}
				if n := len(f.runsOf("orders")); n != 5 {
					t.Errorf("runs: got %d, want one for each request", n)
				}
			})
		})
	}
}

func TestOnceUnlessStatedNotRun(t *testing.T) {
	places := map[string]place{"a": {"north", "north-1", "stock"}, "b": {"north", "north-1", "orders"}, "c": {"north", "north-2", "orders"}}
	runFleet(t, places, func(f *fleet) {
		f.vms["b"].worker.set(shedding)
		if r := f.send("a", f.message("POST", "shop.example", "/order/1", "x")); r.status != 200 {
			t.Errorf("request that one server sheds: got %d, want 200 from the other", r.status)
		}
		f.vms["b"].worker.set(vanishing)
		f.vms["c"].worker.set(vanishing)
		if r := f.send("a", f.message("POST", "shop.example", "/order/2", "x")); r.status != 502 {
			t.Errorf("request that was lost: got %d, want 502", r.status)
		}
		count := make(map[string]int)
		for _, run := range f.runsOf("orders") {
			count[run.target]++
		}
		if count["/order/1"] != 1 || count["/order/2"] != 1 {
			t.Errorf("runs: got %v, want one each", count)
		}
	})
}

func TestIdempotentRequestIsSentAgain(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		f.vms["b"].worker.set(vanishing)
		for range 5 {
			if r := f.send("a", f.get("shop.example", "/search/1")); r.status != 200 {
				t.Errorf("send request: got %d, want 200 from the sound server", r.status)
			}
		}
	})
}

// The list may name ids that are no longer there, for all servers at once.
func TestServersUnderNewIDs(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		for _, name := range []string{"b", "c"} {
			w := f.vms[name].worker
			w.mu.Lock()
			w.id += "-again"
			w.arrived = 0
			w.mu.Unlock()
		}
		for range 20 {
			if r := f.send("a", f.get("shop.example", "/search/1")); r.status != 200 {
				t.Errorf("send request: got %d, want 200", r.status)
			}
		}
		arrived := 0
		for _, name := range []string{"b", "c"} {
			arrived += f.vms[name].worker.arrived
		}
		if arrived > 22 {
			t.Errorf("arrivals for 20 requests: got %d, want at most one more for each server", arrived)
		}
	})
}

func TestLeavingServerGetsNothing(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		f.list("b", lister.Leaving)
		time.Sleep(time.Second)
		for range 10 {
			if r := f.send("b", f.get("shop.example", "/search/1")); r.status != 200 {
				t.Errorf("send request: got %d, want 200", r.status)
			}
		}
		if n := len(f.vms["b"].worker.runs()); n != 0 {
			t.Errorf("runs at the leaving server: got %d, want 0", n)
		}
	})
}

// A stop cuts no request: neither one that runs nor one that comes on a
// connection that is open.
func TestStopCutsNothing(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		f.vms["c"].worker.service = 900 * time.Millisecond
		f.vms["b"].worker.service = 900 * time.Millisecond
		var wg sync.WaitGroup
		stop := time.Now().Add(300 * time.Millisecond)
		end := stop.Add(8 * time.Second)
		for i := range 8 {
			wg.Go(func() { f.keepSending(i, end) })
		}
		time.Sleep(time.Until(stop))
		f.vms["a"].cancel()
		wg.Wait()
	})
}

// keepSending sends on connections of VM a until a time or until the node has
// gone, and reports requests that end without an answer.
func (f *fleet) keepSending(i int, end time.Time) {
	a := f.vms["a"].address
	for time.Now().Before(end) {
		nc, err := f.network.Dial(f.t.Context(), a, netip.AddrPortFrom(a, callersPort))
		if err != nil {
			return
		}
		br := bufio.NewReader(nc)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(10+7*i) * time.Millisecond)
			request := f.get("shop.example", "/search/1")
			if _, err := io.WriteString(nc, request); err != nil {
				break
			}
			r := readReply(br, "GET")
			if r.err != nil {
				select {
				case <-f.vms["a"].done:
					_ = nc.Close()
					return // the request crossed the end
				default:
				}
				f.t.Errorf("request on an open connection: got %v, want an answer", r.err)
			}
			if r.err != nil || r.closes {
				break
			}
		}
		_ = nc.Close()
	}
}

// A request that crashes every server that runs it comes again and again,
// under new ids and at any node.
func TestCrashingRequestIsStopped(t *testing.T) {
	runFleet(t, twoSearch, func(f *fleet) {
		for i := range 20 {
			name := string(rune('a' + i%3))
			f.send(name, f.get("shop.example", "/search/crash"))
			time.Sleep(1500 * time.Millisecond)
		}
		if n := len(f.runsOf("search")); n > 4 {
			t.Errorf("runs of a request that crashes servers: got %d, want at most 4", n)
		}
		if r := f.send("a", f.get("shop.example", "/search/other")); r.status != 200 {
			t.Errorf("another request: got %d, want 200", r.status)
		}
	})
}

func TestMetricsTellWhatANodeBelieves(t *testing.T) {
	runFleet(t, oneOrder, func(f *fleet) {
		for range 20 {
			f.send("a", f.message("POST", "shop.example", "/order/1", "x"))
		}
		a := f.vms["a"].address
		nc, err := f.network.Dial(f.t.Context(), a, netip.AddrPortFrom(a, operatorsPort))
		if err != nil {
			t.Fatalf("dial metrics: %v", err)
		}
		defer nc.Close()
		if _, err := io.WriteString(nc, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatalf("ask for metrics: %v", err)
		}
		body := readReply(bufio.NewReader(nc), "GET").body
		for _, want := range []string{
			`apricot_requests_total{route="order",outcome="answered"} 20`,
			`apricot_retry_budget_left{pool="orders"}`,
			"apricot_excess_ratio ",
			"apricot_demand_requests_per_second ",
			"apricot_config_version 1",
			"apricot_config_age_seconds ",
			"apricot_store_silence_seconds 0",
			"process_resident_memory_bytes ",
		} {
			if !strings.Contains(body, want) {
				t.Errorf("metrics: got no line with %q, want one", want)
			}
		}
	})
}
