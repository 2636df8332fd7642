package forecaster

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against postponing the callers of a route whose own backend server fails,
// and against an estimate that outlasts the rejections.
func TestLostFraction(t *testing.T) { synctest.Test(t, testLostFraction) }

func testLostFraction(t *testing.T) {
	f := &Forecaster{}
	run := func(n int, rejected, failed bool) {
		for range n {
			end := f.Begin("order")
			if rejected {
				f.RecordRejectedCall()
			}
			if got, want := end(failed), rejected && failed; got != want {
				t.Errorf("lost, with a rejected call %v and failed %v: got %v", rejected, failed, got)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, c := range []struct {
		name             string
		n                int
		rejected, failed bool
		least, most      float64
	}{
		{"failures without a rejected call", 100, false, true, 0, 0},
		{"rejected calls that were repeated with success", 100, true, false, 0, 0},
		{"0.8 s of runs lost to rejected calls", 16, true, true, 0.7, 1},
		{"0.2 s of runs that come through", 4, false, false, 0.4, 0.65},
		{"2 s of runs that come through", 40, false, false, 0, 0},
	} {
		run(c.n, c.rejected, c.failed)
		if got := f.LostFraction("order"); got < c.least || got > c.most {
			t.Errorf("lost fraction after %s: got %.2f, want %.2f to %.2f", c.name, got, c.least, c.most)
		}
	}
	if got := f.LostFraction("search"); got != 0 {
		t.Errorf("lost fraction of a route that has not run: got %.2f, want 0", got)
	}
}
