package trier

import (
	"testing"
	"testing/synctest"
	"time"
)

const coldTime = 3 * time.Second

// attempt sends requests at a rate for a time, each of which takes a time and has a result.
// It returns how many began and how many were refused.
func attempt(t *Trier, rate int, d, took time.Duration, result Result) (began, refused int) {
	start := time.Now()
	for time.Since(start) < d {
		left := coldTime - time.Since(start)
		if end, wait := t.Begin("r", left); wait > 0 {
			refused++
		} else {
			began++
			time.AfterFunc(took, func() { end(result) })
		}
		time.Sleep(time.Second / time.Duration(rate))
	}
	time.Sleep(took + time.Millisecond)
	return began, refused
}

// Guards against refusing requests that a cold pool has room for. The load: all servers
// start cold, 100 requests a second that need no calls arrive at one node.
func TestRequestsThatAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, refused := attempt(&Trier{}, 100, coldTime, 50*time.Millisecond, Served)
		if refused > 15 {
			t.Errorf("refused: got %d of %d, want at most 15, until it is known that they are served", refused, began+refused)
		}
	})
}

// Guards against trees that are begun in vain. The load: the same with requests whose
// calls a later cold pool refuses, which take their whole time.
func TestTreesThatBreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &Trier{}
		began, refused := attempt(tr, 100, coldTime, 300*time.Millisecond, Broken)
		// After each, half of the cold time left passes.
		if began < 3 || began > 6 || refused == 0 {
			t.Errorf("begun: got %d of %d, want 3 to 6", began, began+refused)
		}
		if wait := tr.Wait("r", 0); wait != 0 {
			t.Errorf("after the cold time: got a wait of %v, want none", wait)
		}
	})
}

// Guards against a delay by which callers return while the pool is still cold although it
// is known that they can't be served, and against results that say nothing.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &Trier{}
		end, _ := tr.Begin("r", coldTime)
		if got := tr.Wait("r", coldTime); got != retryAfter {
			t.Errorf("while the first request runs: got %v, want %v", got, retryAfter)
		}
		if got := tr.Wait("other", coldTime); got != 0 {
			t.Errorf("another route: got %v, want none", got)
		}
		end(NotRun)
		if got := tr.Wait("r", coldTime); got != 0 {
			t.Errorf("after a request that was refused: got %v, want none", got)
		}
		end, _ = tr.Begin("r", coldTime)
		end(Broken)
		time.Sleep(time.Second)
		if got, want := tr.Wait("r", coldTime-time.Second), coldTime-time.Second; got != want {
			t.Errorf("after a tree that broke: got %v, want the cold time left, %v", got, want)
		}
		time.Sleep(coldTime - time.Second + forgetAfter + time.Millisecond)
		if got := tr.Wait("r", coldTime); got != 0 {
			t.Errorf("cold again later: got %v, want none", got)
		}
	})
}
