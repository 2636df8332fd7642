package mesher

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

var stopSeeds = flag.Int("stopSeeds", 12, "number of drawn stops")

// Guards against orders of events in a stop that no script has: requests of all kinds
// at drawn times, of callers of the stopping node and of a peer.
func TestStopUnderDrawnRequests(t *testing.T) {
	for seed := range *stopSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			startStopFleet(t, func(f *fleet) {
				draw := rand.New(rand.NewPCG(uint64(seed), 33))
				requests := drawStopRequests(draw, 150)
				ofPeer := drawStopRequests(draw, 30)
				stop := time.Now().Add(time.Second)
				time.AfterFunc(time.Until(stop), f.vms["a"].cancel)
				var wg sync.WaitGroup
				wg.Go(func() { f.sendAround("b", stop, ofPeer) })
				f.sendAround("a", stop, requests)
				wg.Wait()
				f.checkStops(stop, requests)
				for _, r := range ofPeer {
					if r.response.err != nil {
						t.Errorf("%s sent to a peer of the stopping node at %v: got error %v, want a response", r.kind, r.at, r.response.err)
					}
				}
			})
		})
	}
}

// drawStopRequests draws requests for the time around a stop.
func drawStopRequests(draw *rand.Rand, n int) []*stopRequest {
	kinds := []string{"search", "order", "call"}
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(draw.Int64N(int64(high-low)))
	}
	var out []*stopRequest
	for len(out) < n {
		r := &stopRequest{
			kind:   kinds[draw.IntN(len(kinds))],
			at:     between(-time.Second, stopGrace),
			stated: between(200*time.Millisecond, 7*time.Second).Truncate(time.Millisecond),
			work:   between(5*time.Millisecond, 300*time.Millisecond),
		}
		if draw.IntN(3) == 0 {
			r.work = between(300*time.Millisecond, 5*time.Second)
		}
		out = append(out, r)
		for draw.IntN(3) == 0 {
			next := *r
			next.behind = true
			next.kind = kinds[draw.IntN(len(kinds))]
			next.at += between(0, time.Second)
			next.work = between(5*time.Millisecond, 3*time.Second)
			out = append(out, &next)
			r = &next
		}
	}
	return out
}

// Guards against requests that are lost where the stops of several nodes overlap, as in
// a rolling restart.
func TestOverlappingStops(t *testing.T) {
	for seed := range *stopSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			startStopFleet(t, func(f *fleet) {
				for name, pool := range map[string]string{"e": "orders", "f": "stock", "g": "search"} {
					f.addVM(name, placement{"north", "north-1", pool})
					f.vms[name].worker.slots = 200
					f.publishServer(name, lister.Ready)
					f.startNode(name)
				}
				time.Sleep(3 * time.Second)
				draw := rand.New(rand.NewPCG(uint64(seed), 34))
				requests := drawStopRequests(draw, 150)
				stop := time.Now().Add(4 * time.Second)
				time.AfterFunc(time.Until(stop), f.vms["a"].cancel)
				for _, name := range []string{"b", "c", "d"} {
					offset := time.Duration(draw.Int64N(int64(8*time.Second))) - 4*time.Second
					time.AfterFunc(time.Until(stop.Add(offset)), f.vms[name].cancel)
				}
				f.sendAround("a", stop, requests)
				f.checkStops(stop, requests)
			})
		})
	}
}
