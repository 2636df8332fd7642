package budgeter

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Whatever nodes are asked, in any window the repeats of all of them together
// stay within the ratio of the requests of that window and the one before, and
// the allowance, also if all nodes are started again twice.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(rt, "nodes")
		steps := rapid.SliceOfN(rapid.IntRange(0, 30), 60, 60).Draw(rt, "steps")
		restart := rapid.IntRange(0, 59).Draw(rt, "restart")
		second := rapid.IntRange(0, 59).Draw(rt, "second restart")
		synctest.Test(t, func(*testing.T) {
			fleet := make([]*Budgeter, nodes)
			start := func() {
				for i := range fleet {
					fleet[i] = &Budgeter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50, Nodes: func() int { return nodes }}
				}
			}
			start()
			var requests, repeats []int // in each half second
			for step, n := range steps {
				granted := 0
				if step == restart || step == second {
					start()
				}
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

// Pattern: a pool that only other services call turns some calls away. What no
// caller's request needs of the budget is theirs.
func TestCallsUseWhatCallersLeave(t *testing.T) {
	spend := func(b *Budgeter, n int, isCall bool) int {
		granted := 0
		for range n {
			if b.Spend("p", isCall) {
				granted++
			}
		}
		return granted
	}
	synctest.Test(t, func(*testing.T) {
		for _, wanted := range []int{0, 30, 1000} {
			b := &Budgeter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 0, Nodes: func() int { return 1 }}
			for range 500 {
				b.Count("p")
			}
			whole := int(ratioPart * 0.2 * 500)
			callers := spend(b, min(wanted, whole/2), false)
			for range wanted - callers {
				b.pool("p").wanted.add(b.slot(), 1) // asked for, but not granted
			}
			want := max(whole/2, whole-wanted) - callers
			if got := spend(b, 1000, true); got != want {
				t.Errorf("repeats of calls where callers' requests want %d: got %d, want %d", wanted, got, want)
			}
		}
	})
}

// Calls of runs that are repeats count as repeats at the called pool.
func TestCallsOfRepeatsAreCounted(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		b := &Budgeter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 0, Nodes: func() int { return 1 }}
		for range 500 {
			b.Count("p")
			b.Owe("p", 0.125)
		}
		granted := 0
		for range 1000 {
			if b.Spend("p", false) {
				granted++
			}
		}
		limit, owed := ratioPart*0.2*500, 0.125*500
		if want := int(limit - owed); granted != want {
			t.Errorf("repeats where an eighth of 500 calls are repeats already: got %d, want %d", granted, want)
		}
	})
}
