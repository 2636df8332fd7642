package picker

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/cost/scorer"
	"apricotrudder.dev/apricotd/version/lister"
)

// exploreRate is the number of requests per second in the tests of exploration.
const exploreRate = 30

// chooseFor sends requests to servers of the own data centre and returns when each got
// them. Server 0 takes a tenth of the time of the others; result is theirs.
func chooseFor(t *testing.T, p *Picker, list []*lister.Server, duration time.Duration, result Result) map[string][]time.Duration {
	out := make(map[string][]time.Duration)
	synctest.Test(t, func(*testing.T) {
		for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Second / exploreRate) {
			choice, ok := p.Choose(list, nil, Request{Cost: scorer.Request{Expected: 100 * time.Millisecond, Target: time.Second}})
			if !ok {
				continue
			}
			id := choice.Server.ID
			out[id] = append(out[id], time.Since(start))
			switch {
			case id == "0":
				choice.Done(Report{Result: Served, Running: 1, Slots: 10, Ratio: 0.3, Slowdown: 1})
			case result == Served:
				choice.Done(Report{Result: Served, Running: 1, Slots: 10, Ratio: 3, Slowdown: 1})
			default:
				choice.Done(Report{Result: result})
			}
		}
	})
	return out
}

// Guards against a slow server, which may have become fast, that is tried again only by
// chance, and against more attempts at slow servers than one request in 50.
func TestSlowServersAreTriedInTime(t *testing.T) {
	const duration = 10 * time.Minute
	list := servers("n0", "n0", "n0")
	got := chooseFor(t, &Picker{DataCentre: "n0", Region: "n", ByCompletion: true}, list, duration, Served)
	// Each slow server waits for its time and then for one request in 50, or for two if
	// the other one waits too.
	longest := exploreAfter + 2*scorer.ExploreEvery*time.Second/exploreRate + time.Second/exploreRate
	attempts := 0
	for _, id := range []string{"1", "2"} {
		at := slices.Concat([]time.Duration{0}, got[id], []time.Duration{duration})
		for i := range at[1:] {
			if gap := at[i+1] - at[i]; gap > longest {
				t.Errorf("time without an attempt at slow server %s: got %v from %v on, want at most %v", id, gap, at[i], longest)
			}
		}
		attempts += len(got[id])
	}
	t.Logf("attempts: %d, %d and %d", len(got["0"]), len(got["1"]), len(got["2"]))
	if most := exploreRate*int(duration.Seconds())/scorer.ExploreEvery + 2*3; attempts > most {
		t.Errorf("attempts at slow servers: got %d, want at most %d", attempts, most)
	}
}

// Guards against more attempts than one request in 50 at servers that fail or are cold, and
// against attempts at servers far away.
func TestExplorationIsBounded(t *testing.T) {
	const duration = 10 * time.Minute
	for _, c := range []struct {
		name   string
		place  string
		cold   bool
		result Result
		most   int
	}{
		{"failing", "n0", false, Failed, 360},
		{"cold", "n0", true, Served, 360},
		{"otherRegion", "s0", false, Served, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := servers("n0", c.place)
			p := &Picker{DataCentre: "n0", Region: "n", ByCompletion: true, ColdRate: func(s *lister.Server) float64 {
				if c.cold && s.ID == "1" {
					return 1
				}
				return 0
			}}
			got := chooseFor(t, p, list, duration, c.result)
			t.Logf("attempts at the second server: %d of %d", len(got["1"]), len(got["0"])+len(got["1"]))
			if len(got["1"]) > c.most {
				t.Errorf("attempts at the second server: got %d, want at most %d", len(got["1"]), c.most)
			}
		})
	}
}
