package mesher

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/observer"
)

// where asks the node of a VM what it would do with a request.
func (f *fleet) where(name, query string) observer.Where {
	f.t.Helper()
	body := f.operatorPage(name, "/v1/where?"+query)
	var w observer.Where
	if err := json.Unmarshal([]byte(body), &w); err != nil {
		f.t.Fatalf("decode %q: %v", body, err)
	}
	return w
}

func (f *fleet) runsByServer(pool string) map[string]int {
	n := make(map[string]int)
	for _, run := range f.runsInPool(pool) {
		n[run.server]++
	}
	return n
}

// Guards against an explanation that names another server than the one that a request is
// sent to, or that sends or counts something itself.
func TestWhereTellsWhatARequestWouldMeet(t *testing.T) {
	runFleet(t, twoSearchServers, func(f *fleet) {
		const query = "host=shop.example&target=/search/x&organisation=gold"
		for range 20 {
			w := f.where("a", query)
			sum, expected := 0.0, ""
			for _, s := range w.Pools[0].Servers {
				if sum += s.Share; s.Share == 1 {
					expected = s.Server
				}
			}
			if w.Route != "search" || w.Refusal != "" || math.Abs(sum-1) > 1e-9 {
				t.Fatalf("where: got %+v, want route search, no refusal and shares that add up to 1", w)
			}
			before := f.runsByServer("search")
			f.send("a", f.getRequest("shop.example", "/search/x"))
			before[expected]++
			if got := f.runsByServer("search"); !maps.Equal(got, before) {
				t.Errorf("runs by server: got %v, want %v", got, before)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against an explanation that hides why no server is selected, or that fails while
// the fleet is in trouble.
func TestWhereTellsRefusals(t *testing.T) {
	runFleet(t, twoSearchServers, func(f *fleet) {
		f.evacuate("north-1")
		time.Sleep(time.Second)
		w := f.where("a", "host=shop.example&target=/search/x")
		for _, s := range w.Pools[0].Servers {
			want := ""
			if s.DataCentre == "north-1" {
				want = "in an evacuated data centre"
			}
			if s.Reason != want {
				t.Errorf("server %s: got reason %q, want %q", s.Server, s.Reason, want)
			}
		}
		f.evacuate("north-2")
		time.Sleep(time.Second)
		if w = f.where("a", "host=shop.example&target=/search/x"); w.Refusal != "evacuated" {
			t.Errorf("all data centres evacuated: got refusal %q, want evacuated", w.Refusal)
		}
		if got := f.operatorPage("a", "/v1/where?host=shop.example&target=/nowhere/"); !strings.Contains(got, "not found") {
			t.Errorf("unknown route: got %q, want an error that says so", got)
		}
		if got := f.operatorPage("a", "/v1/where?host=shop.example&target=/search/x&organisation=none"); !strings.Contains(got, "not found") {
			t.Errorf("unknown organisation: got %q, want an error that says so", got)
		}
	})
}

// Guards against an explanation that differs from what a request meets: organisations
// don't count on routes without keys, and calls on others are refused.
func TestWhereOnRoutesWithAndWithoutKeys(t *testing.T) {
	runHomes(t, homeTables(2, "order", []string{"north"}, []string{"south"}), "e", func(f *fleet, b *bodyTracker) {
		for _, c := range []struct {
			query, refusal string
			homes          []string
		}{
			{"host=inner.example&target=/stock/1&organisation=gold", "", nil},
			{"host=inner.example&target=/stock/1&call=true", "", nil},
			{"host=shop.example&target=/search/1&organisation=gold", "", []string{"south"}},
			{"host=shop.example&target=/search/1&call=true", "keyUnknown", nil},
			{"host=shop.example&target=/order/1&organisation=gold", "noHome", nil},
		} {
			if w := f.where("e", c.query); w.Refusal != c.refusal || !slices.Equal(w.Homes, c.homes) {
				t.Errorf("%s: got refusal %q and homes %v, want %q and %v", c.query, w.Refusal, w.Homes, c.refusal, c.homes)
			}
		}
		if got := f.order(); got.body != "noHome\n" {
			t.Errorf("order: got %d %q, want the refusal noHome", got.status, got.body)
		}
		if got := f.operatorPage("e", "/metrics"); !strings.Contains(got, `apricot_home_refusals_total{reason="noHome"} 1`) {
			t.Error("refusals for homes: got another count than 1, want only that of the order")
		}
	})
}
