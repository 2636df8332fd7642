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
		for value, want := range map[string]string{"": whereConfigured, `"configured"`: whereConfigured, `"never"`: never, `"always"`: "", `""`: ""} {
			text := ""
			if value != "" {
				text = "[overload]\n" + key + " = " + value + "\n"
			}
			s, err := Parse("settings.toml", []byte(validSettings+text))
			if want == "" {
				if err == nil || !strings.Contains(err.Error(), "overload."+key) {
					t.Errorf("parse %q: got error %v, want one that names the key", text, err)
				}
				continue
			}
			if err != nil {
				t.Fatalf("parse %q: %v", text, err)
			}
			got := map[string]string{"callRanks": s.Overload.CallRanks, "sharedPools": s.Overload.SharedPools, "postponement": s.Overload.Postponement, "rateReturns": s.Overload.RateReturns}[key]
			if got != want {
				t.Errorf("parse %q: got %q, want %q", text, got, want)
			}
		}
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

// The load: 1.7 times the capacity of a pool that two routes of different ranks share.
// Guards against a part that can't be switched off, or that acts where the tables do not
// call for it.
func TestRanksCanBeSwitchedOff(t *testing.T) {
	oneRank := baseTables(1)
	for _, r := range oneRank.Routes {
		r.Rank = 1
	}
	for _, c := range []struct {
		name     string
		overload Overload
		isOn     bool
	}{
		{"configured", defaultOverload, true},
		{"never", Overload{CallRanks: never, SharedPools: never}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleetWith(t, c.overload, baseTables(1), callChainVMs, func(f *fleet) {
				f.raiseRateLimit()
				runCallChains(f, 280, 60, 4*time.Second)
				for _, name := range []string{"apricot_calls_ranked_total", "apricot_calls_yielded_total", "apricot_shared_pool_requests_total"} {
					if got := f.sumMetric(name); got > 0 != c.isOn {
						t.Errorf("%s: got %.0f, want some: %v", name, got, c.isOn)
					}
				}
			})
		})
	}
	t.Run("one rank", func(t *testing.T) {
		runFleetWith(t, defaultOverload, oneRank, callChainVMs, func(f *fleet) {
			runCallChains(f, 80, 20, 3*time.Second)
			for _, name := range []string{"apricot_calls_ranked_total", "apricot_shared_pool_requests_total"} {
				if got := f.sumMetric(name); got > 0 {
					t.Errorf("%s with routes of one rank: got %.0f, want 0", name, got)
				}
			}
		})
	})
}

// The load: all servers of a pool reject nearly all calls. Guards against a postponer that
// can't be switched off, or that acts on routes without a latency target.
func TestPostponementCanBeSwitchedOff(t *testing.T) {
	noTarget := baseTables(1)
	for _, r := range noTarget.Routes {
		r.TargetLatency = 0
	}
	for _, c := range []struct {
		name     string
		overload Overload
		tables   *resolver.Tables
		isOn     bool
	}{
		{"configured", defaultOverload, baseTables(1), true},
		{"never", Overload{Postponement: never}, baseTables(1), false},
		{"no target", defaultOverload, noTarget, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleetWith(t, c.overload, c.tables, callChainVMs, func(f *fleet) {
				runCallChains(f, 40, 40, 3*time.Second)
				for _, name := range []string{"e", "f"} {
					f.vms[name].worker.queueLimit = 100
				}
				f.setShedRatio(0.95, "e", "f")
				order := func(i int) string {
					return f.requestText("POST", "shop.example", fmt.Sprintf("/order/%d", i), "x")
				}
				for i := range 200 {
					if r := f.send("a", order(i)); strings.HasPrefix(r.body, "postponed") {
						f.send("a", order(i))
					}
					time.Sleep(10 * time.Millisecond)
				}
				for _, outcome := range []string{"postponed", "returned"} {
					name := fmt.Sprintf("apricot_probably_lost_requests{outcome=%q}", outcome)
					if got := f.sumMetric(name); got > 0 != c.isOn {
						t.Errorf("%s: got %.0f, want some: %v", name, got, c.isOn)
					}
				}
				where := f.where("a", "host=shop.example&target=/order/1")
				if got := where.PostponedRatio; got > 0 != c.isOn {
					t.Errorf("where: got a postponed ratio of %.2f, want more than 0: %v", got, c.isOn)
				}
			})
		})
	}
}

// The load: an organisation sends several times its rate. Guards against callers who are
// told to return after their latency target, and against a part that can't be switched off
// or that acts on routes without a target.
func TestRateReturnsCanBeSwitchedOff(t *testing.T) {
	noTarget := baseTables(1)
	for _, r := range noTarget.Routes {
		r.TargetLatency = 0
	}
	for _, c := range []struct {
		name     string
		overload Overload
		tables   *resolver.Tables
		isOn     bool
	}{
		{"configured", defaultOverload, baseTables(1), true},
		{"never", Overload{RateReturns: never}, baseTables(1), false},
		{"no target", defaultOverload, noTarget, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.tables.Organisations[0].Rate, c.tables.Organisations[0].Burst = 10, 10
			runFleetWith(t, c.overload, c.tables, callChainVMs, func(f *fleet) {
				refused, late := 0, 0
				for range 400 {
					r := f.send("a", f.getRequest("shop.example", "/search/1"))
					if r.status == 429 {
						refused++
						if seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err != nil || seconds > 0.8 {
							late++
						}
					}
				}
				if refused == 0 || late > 0 == c.isOn {
					t.Errorf("refused callers who are told to return after 0.8 s: got %d of %d, want some only if switched off", late, refused)
				}
				if got := f.sumMetric(`apricot_rate_refusals_total{route="search",advanced="true"}`); got > 0 != c.isOn {
					t.Errorf("returns advanced: got %.0f, want some: %v", got, c.isOn)
				}
			})
		})
	}
}
