package budgeter

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Whatever nodes are asked, in any window the repeats of all of them together
// stay within the ratio of the requests of that window and the one before, and
// the allowance.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(rt, "nodes")
		steps := rapid.SliceOfN(rapid.IntRange(0, 30), 60, 60).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			fleet := make([]*Budgeter, nodes)
			for i := range fleet {
				fleet[i] = &Budgeter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50, Nodes: func() int { return nodes }}
			}
			var requests, repeats []int // in each half second
			for step, n := range steps {
				granted := 0
				for i := range n {
					fleet[(i*7+step)%nodes].Count("p")
				}
				for i := range 4 * n {
					if fleet[(i+step)%nodes].Spend("p", i%2 == 0) {
						granted++
					}
				}
				requests, repeats = append(requests, n), append(repeats, granted)
				time.Sleep(500 * time.Millisecond)
			}
			for end := range repeats {
				got := sum(repeats, end-20, end)
				limit := 0.2*float64(sum(requests, end-40, end)) + 50
				if float64(got) > limit {
					rt.Fatalf("repeats in the window that ends at step %d: got %d, want at most %.1f", end, got, limit)
				}
			}
		})
	})
}

func sum(counts []int, after, to int) int {
	n := 0
	for i := max(0, after+1); i <= to; i++ {
		n += counts[i]
	}
	return n
}
