package retrylimiter

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// In any window, the retries of all nodes together must not exceed the ratio of
// the requests in that window and the one before, plus the allowance, even if all
// nodes restart twice.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(rt, "nodes")
		steps := rapid.SliceOfN(rapid.IntRange(0, 30), 60, 60).Draw(rt, "steps")
		firstRestart := rapid.IntRange(0, 59).Draw(rt, "restart")
		secondRestart := rapid.IntRange(0, 59).Draw(rt, "second restart")
		synctest.Test(t, func(*testing.T) {
			fleet := make([]*Limiter, nodes)
			start := func() {
				for i := range fleet {
					fleet[i] = &Limiter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50, Nodes: func() int { return nodes }}
				}
			}
			start()
			var requests, retries []int // per step of 500 ms
			for step, n := range steps {
				granted := 0
				if step == firstRestart || step == secondRestart {
					start()
				}
				for i := range n {
					fleet[(i*7+step)%nodes].CountRequest("p")
				}
				for i := range 4 * n {
					if _, ok := fleet[(i+step)%nodes].TryRetry("p", i%2 == 0); ok {
						granted++
					}
				}
				requests, retries = append(requests, n), append(retries, granted)
				time.Sleep(500 * time.Millisecond)
			}
			for end := range retries {
				got := sum(retries, end-20, end)
				limit := 0.2*float64(sum(requests, end-40, end)) + 50
				if float64(got) > limit {
					rt.Fatalf("retries in the window that ends at step %d: got %d, want at most %.1f", end, got, limit)
				}
			}
		})
	})
}

// sum adds up the counts of the steps after, exclusive, to to, inclusive.
func sum(counts []int, after, to int) int {
	n := 0
	for i := max(0, after+1); i <= to; i++ {
		n += counts[i]
	}
	return n
}

// Guards against calls of backend servers being refused retries while the budget
// is unused, as in a pool that receives only such calls and rejects some of them.
// Calls must get the part of the budget that callers' requests leave.
func TestCallsUseWhatCallersLeave(t *testing.T) {
	tryRetries := func(l *Limiter, n int, isCall bool) int {
		granted := 0
		for range n {
			if _, ok := l.TryRetry("p", isCall); ok {
				granted++
			}
		}
		return granted
	}
	synctest.Test(t, func(*testing.T) {
		for _, wanted := range []int{0, 30, 1000} {
			l := &Limiter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 0, Nodes: func() int { return 1 }}
			for range 500 {
				l.CountRequest("p")
			}
			budget := int(ratioFraction * 0.2 * 500)
			callers := tryRetries(l, min(wanted, budget/2), false)
			for range wanted - callers {
				l.pool("p").callerRetries.add(l.slot(), 1) // requested, but not granted
			}
			want := max(budget/2, budget-wanted) - callers
			if got := tryRetries(l, 1000, true); got != want {
				t.Errorf("retries of calls when callers' requests want %d: got %d, want %d", wanted, got, want)
			}
		}
	})
}

// Calls that are made on behalf of a retried request must count as retries in the
// budget of the called pool.
func TestCallsOfRetriesAreCounted(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		l := &Limiter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 0, Nodes: func() int { return 1 }}
		for range 500 {
			l.CountRequest("p")
			l.ChargeCall("p", 0.125)
		}
		granted := 0
		for range 1000 {
			if _, ok := l.TryRetry("p", false); ok {
				granted++
			}
		}
		limit, charged := ratioFraction*0.2*500, 0.125*500
		if want := int(limit - charged); granted != want {
			t.Errorf("retries when an eighth of 500 calls already are retries: got %d, want %d", granted, want)
		}
	})
}

// Guards against a budget that is spent on retries which reach no backend server, as when
// a node has no room, and against a window that gets back more than was counted in it.
func TestReturnedRetriesAreNotCharged(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		l := &Limiter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 0, Nodes: func() int { return 1 }}
		for range 500 {
			l.CountRequest("p")
		}
		budget := int(ratioFraction * 0.2 * 500)
		var sent []Retry
		for {
			r, ok := l.TryRetry("p", false)
			if !ok {
				break
			}
			sent = append(sent, r)
		}
		if len(sent) != budget {
			t.Fatalf("retries: got %d, want %d", len(sent), budget)
		}
		time.Sleep(3 * time.Second)
		for _, r := range sent[:30] {
			l.Return(r)
		}
		if got := math.Round(l.Remaining()["p"]); got != 30 {
			t.Errorf("remaining after 30 returns: got %g, want 30", got)
		}
		time.Sleep(7 * time.Second)
		l.Return(sent[30])
		if got := l.Remaining()["p"]; got != 0 {
			t.Errorf("remaining without requests: got %g, want 0", got)
		}
		for range 500 {
			l.CountRequest("p")
		}
		if got := math.Round(l.Remaining()["p"]); got != float64(budget) {
			t.Errorf("remaining in the next window: got %g, want %d", got, budget)
		}
	})
}
