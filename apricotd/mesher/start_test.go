package mesher

import (
	"testing"
	"time"
)

// Guards against callers of a node that starts being sent away for longer than the
// start takes.
func TestRequestsWaitForTheStart(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		f.restartNode("a")
		start := time.Now()
		for {
			r := f.trySend("a", f.getRequest("shop.example", "/search/x"))
			if r.err != nil && time.Since(start) < time.Second {
				time.Sleep(time.Millisecond) // the node does not listen yet
				continue
			}
			if r.status != 200 {
				t.Errorf("first request after the start: got %d %q %v, want 200", r.status, r.body, r.err)
			}
			return
		}
	})
}

// Guards against requests that wait for a start which does not succeed.
func TestRequestsDoNotWaitForAFailingStart(t *testing.T) {
	runFleet(t, eightVMs, func(f *fleet) {
		f.isolate("a")
		f.store.SetRejected(f.vms["a"].address, true)
		f.restartNode("a")
		time.Sleep(50 * time.Millisecond) // until the node listens
		for i := range 3 {
			start := time.Now()
			r := f.trySend("a", f.getRequest("shop.example", "/search/x"))
			if r.err != nil {
				t.Fatalf("request %d: got %v, want a response", i, r.err)
			}
			limit := startHold + 100*time.Millisecond
			if i > 0 {
				limit = 100 * time.Millisecond
			}
			if took := time.Since(start); r.status != 503 || took > limit {
				t.Errorf("request %d: got %d after %v, want 503 within %v", i, r.status, took, limit)
			}
		}
	})
}
