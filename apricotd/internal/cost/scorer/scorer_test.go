package scorer

import (
	"bufio"
	"cmp"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A scenario is one case of testdata/scores.txt.
type scenario struct {
	name    string
	request Request
	names   []string
	views   []View
	order   []string
}

// TestOrder compares the order of servers by their scores with that of testdata/scores.txt.
func TestOrder(t *testing.T) {
	for _, sc := range readScenarios(t) {
		t.Run(sc.name, func(t *testing.T) {
			scores := sc.scores()
			indexes := make([]int, len(scores))
			for i := range indexes {
				indexes[i] = i
			}
			slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(scores[a].Total(), scores[b].Total()) })
			var got []string
			for _, i := range indexes {
				got = append(got, sc.names[i])
				if total := scores[i].Total(); math.IsNaN(total) || math.IsInf(total, 0) {
					t.Errorf("score of %s: got %v", sc.names[i], total)
				}
			}
			if !slices.Equal(got, sc.order) {
				t.Errorf("order: got %v, want %v (scores %+v)", got, sc.order, scores)
			}
		})
	}
}

func (sc *scenario) scores() []Score {
	pool := &Pool{}
	for i := range sc.views {
		pool.Add(&sc.views[i])
	}
	var out []Score
	for i := range sc.views {
		out = append(out, Evaluate(&sc.views[i], sc.request, pool))
	}
	return out
}

func readScenarios(t *testing.T) []*scenario {
	f, err := os.Open("testdata/scores.txt")
	if err != nil {
		t.Fatalf("open the cases: %v", err)
	}
	defer f.Close()
	var out []*scenario
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		verb, rest, _ := strings.Cut(scanner.Text(), " ")
		if verb == "case" {
			out = append(out, &scenario{name: rest})
			continue
		}
		if verb == "" || verb == "#" {
			continue
		}
		sc, fields := out[len(out)-1], strings.Fields(rest)
		switch verb {
		case "request":
			v := values(t, fields)
			sc.request = Request{Expected: ms(v["expected"]), Target: ms(v["target"]), MaxWait: ms(v["maxWait"])}
		case "server":
			v := values(t, fields[1:])
			sc.names = append(sc.names, fields[0])
			sc.views = append(sc.views, View{
				Occupied: v["occupied"], Slots: v["slots"], SentLate: v["sentLate"], Age: ms(v["age"]), Backlog: ms(v["backlog"]),
				Ratio: v["ratio"], Slowdown: v["slowdown"], FailureRate: v["failureRate"], Distance: int(v["distance"]), Travel: ms(v["travel"]),
			})
		case "order":
			sc.order = fields
		default:
			t.Fatalf("unknown line %q", scanner.Text())
		}
	}
	return out
}

func values(t *testing.T, fields []string) map[string]float64 {
	out := make(map[string]float64)
	for _, f := range fields {
		key, text, _ := strings.Cut(f, "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatalf("read %q: %v", f, err)
		}
		out[key] = v
	}
	return out
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Guards against all nodes sending to the same server on the same old figure, and against a
// server that is never tried again.
func TestDrawSpreads(t *testing.T) {
	scores := []Score{{Service: 0.100, Free: 10}, {Service: 0.101, Free: 5}, {Service: 0.400, Free: 10}}
	counts := make([]int, len(scores))
	const n = 1000
	for i := range n {
		for j := range ExploreEvery {
			counts[Draw(scores, (float64(i)+0.5)/n, j == 0)]++
		}
	}
	if 2*counts[0] > 5*counts[1] || counts[1] > counts[0] {
		t.Errorf("draws of two equal servers with 10 and 5 free slots: got %v, want about in that proportion", counts)
	}
	if counts[2] == 0 || counts[2] > n {
		t.Errorf("draws of a server that takes four times as long: got %d, want some, at most one in 50", counts[2])
	}
	if got := Draw(nil, 0.5, true); got != -1 {
		t.Errorf("draw from nothing: got %d, want -1", got)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	v := View{Occupied: 18, Slots: 20, Age: 50 * time.Millisecond, Ratio: 0.7, Slowdown: 1.2, Backlog: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		_ = Evaluate(&v, Request{Expected: 100 * time.Millisecond, Target: time.Second, MaxWait: 100 * time.Millisecond}, &Pool{})
	}
}
