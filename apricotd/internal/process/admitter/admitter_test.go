package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

// TestLimit checks that no more requests run at once than the limit, that none
// starts after its deadline, and that all slots are released, under random
// arrivals, cancellations and changes of the limit.
func TestLimit(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { checkLimit(t, seed) })
	}
}

func checkLimit(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	a := &Admitter{}
	a.SetLimit(4)
	a.SetQueueWait(50 * time.Millisecond)
	var wg sync.WaitGroup
	for range 2000 {
		if r.IntN(100) == 0 {
			a.SetLimit(1 + r.IntN(4))
		}
		class := checker.Class(r.IntN(4))
		deadline := time.Now().Add(time.Duration(r.IntN(200)) * time.Millisecond)
		work := time.Duration(r.IntN(40)) * time.Millisecond
		cancelAfter := time.Duration(r.IntN(300)) * time.Millisecond
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
			defer cancel()
			release, err := a.Enter(ctx, Request{Class: class, Organisation: "o", Deadline: deadline})
			if err != nil {
				return
			}
			if inFlight, _ := a.Load(); inFlight > 4 {
				t.Errorf("got %d running, want at most 4", inFlight)
			}
			if time.Now().After(deadline) {
				t.Error("got a request started after its deadline")
			}
			time.Sleep(work)
			release(true)
		})
		time.Sleep(time.Duration(r.IntN(8)) * time.Millisecond)
	}
	wg.Wait()
	if inFlight, _ := a.Load(); inFlight != 0 {
		t.Errorf("got %d running at the end, want 0", inFlight)
	}
}

// TestClassOrder checks that a waiting request of a higher class gets the slot,
// and that it displaces one of a lower class from a full queue.
func TestClassOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter{}
		a.SetLimit(1)
		a.SetQueueWait(time.Second)
		enter := func(class checker.Class) <-chan error {
			result := make(chan error, 1)
			go func() {
				release, err := a.Enter(t.Context(), Request{Class: class, Deadline: time.Now().Add(time.Minute)})
				result <- err
				if err == nil {
					time.Sleep(10 * time.Millisecond)
					release(true)
				}
			}()
			synctest.Wait()
			return result
		}
		first := enter(checker.ClassLow)
		low := enter(checker.ClassLow)
		critical := enter(checker.ClassCritical)
		if err := <-first; err != nil {
			t.Errorf("got %v for the first, want a slot", err)
		}
		if err := <-critical; err != nil {
			t.Errorf("got %v for the critical request, want the slot", err)
		}
		if err := <-low; err == nil {
			t.Error("got a slot for the low request, want it displaced")
		}
		time.Sleep(time.Second) // until the slots are released
	})
}
