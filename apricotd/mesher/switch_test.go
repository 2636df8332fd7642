package mesher

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/resolver"
)

// validSettings are the settings that have no default.
const validSettings = `vm = "a"
region = "r"
dataCentre = "d"
pool = "p"
[listen]
callers = "10.0.0.1:1"
health = "10.0.0.1:2"
links = "10.0.0.1:3"
operators = "10.0.0.1:4"
[backend]
address = "10.0.0.1:5"
[store]
address = "10.0.0.2:1"
[limits]
stopWithin = "6s"
[rates]
window = "5s"
[retries]
window = "10s"
`

// Guards against a node that starts with a setting which it does not know, or with a
// decision switched off that the settings do not mention.
func TestOverloadSettings(t *testing.T) {
	for _, key := range []string{"callRanks", "sharedPools", "postponement", "rateReturns"} {
		for value, want := range map[string]string{"configured": whereConfigured, "never": never, "always": "", "": ""} {
			s, err := Parse("settings.toml", []byte(validSettings+"[overload]\n"+key+" = "+strconv.Quote(value)))
			if want == "" {
				if err == nil || !strings.Contains(err.Error(), "overload."+key) {
					t.Errorf("parse %s %q: got error %v, want one that names the key", key, value, err)
				}
				continue
			}
			if err != nil {
				t.Fatalf("parse %s %q: %v", key, value, err)
			}
			o := s.Overload
			if got := map[string]string{"callRanks": o.CallRanks, "sharedPools": o.SharedPools, "postponement": o.Postponement, "rateReturns": o.RateReturns}[key]; got != want {
				t.Errorf("parse %s: got %q, want %q", key, got, want)
			}
		}
	}
	if s, err := Parse("settings.toml", []byte(validSettings)); err != nil || s.Overload != defaultOverload {
		t.Errorf("parse settings without overload: got %+v, %v, want the default", s, err)
	}
}

// sumMetric returns the sum of a metric over all nodes and labels.
func (f *fleet) sumMetric(name string) (sum float64) {
	f.t.Helper()
	for vm := range f.vms {
		for line := range strings.Lines(f.operatorPage(vm, "/metrics")) {
			if text, ok := strings.CutPrefix(line, name); ok && (text[0] == ' ' || text[0] == '{') {
				n, err := strconv.ParseFloat(strings.TrimSpace(text[strings.LastIndexByte(text, ' '):]), 64)
				if err != nil {
					f.t.Fatalf("metric %q: %v", line, err)
				}
				sum += n
			}
		}
	}
	return sum
}

// The loads, one after the other: all servers of a pool reject nearly all calls, 1.7 times
// the capacity of a pool that two routes of different ranks share, and an organisation that
// sends several times its rate. Guards against a part that can't be switched off, or that
// acts where the tables do not call for it, and against callers who are told to return
// after their latency target.
func TestOverloadDecisionsCanBeSwitchedOff(t *testing.T) {
	ranked, plain := baseTables(1), baseTables(1)
	for _, r := range plain.Routes {
		r.Rank, r.TargetLatency = 1, 0
	}
	off := Overload{CallRanks: never, SharedPools: never, Postponement: never, RateReturns: never}
	for _, c := range []struct {
		name     string
		overload Overload
		tables   *resolver.Tables
		isOn     bool
	}{
		{"configured", defaultOverload, ranked, true},
		{"never", off, ranked, false},
		{"not configured", defaultOverload, plain, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			unlimited := *c.tables
			unlimited.Organisations = []*resolver.Organisation{{Name: "gold", Keys: []string{goldKey}, Rate: 10_000, Burst: 10_000}}
			runFleetWith(t, c.overload, &unlimited, callChainVMs, func(f *fleet) {
				runCallChains(f, 40, 40, 3*time.Second)
				for _, name := range []string{"e", "f"} {
					f.vms[name].worker.queueLimit = 100
				}
				f.setShedRatio(0.95, "e", "f")
				for i := range 400 { // each order twice
					f.send("a", f.requestText("POST", "shop.example", fmt.Sprintf("/order/%d", i/2), "x"))
					time.Sleep(5 * time.Millisecond)
				}
				if got := f.where("a", "host=shop.example&target=/order/1").PostponedRatio; got > 0 != c.isOn {
					t.Errorf("where: got a postponed ratio of %.2f, want more than 0: %v", got, c.isOn)
				}
				f.setShedRatio(0, "e", "f")
				runCallChains(f, 280, 60, 4*time.Second)
				limited := *c.tables
				limited.Version = 2
				limited.Organisations[0].Rate, limited.Organisations[0].Burst = 1, 1
				f.store.publishTables(&limited)
				time.Sleep(2 * time.Second)
				late := 0
				for range 100 {
					r := f.send("a", f.getRequest("shop.example", "/search/1"))
					if seconds, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64); r.status == 429 && seconds > 0.8 {
						late++
					}
				}
				if late > 0 == c.isOn {
					t.Errorf("callers over the rate who are told to return after their target: got %d, want some: %v", late, !c.isOn)
				}
				for _, name := range []string{
					"apricot_calls_ranked_total", "apricot_calls_yielded_total", "apricot_shared_pool_requests_total",
					`apricot_probably_lost_requests{outcome="postponed"}`, `apricot_probably_lost_requests{outcome="returned"}`,
					`apricot_rate_refusals_total{route="search",advanced="true"}`,
				} {
					if got := f.sumMetric(name); got > 0 != c.isOn {
						t.Errorf("%s: got %.0f, want some: %v", name, got, c.isOn)
					}
				}
			})
		})
	}
}
