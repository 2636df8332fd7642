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

// Guards against more starts than a limited rate allows, whatever the arrivals,
// also while the rate changes.
func TestRateLimitsStarts(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			a := &Admitter{}
			a.SetLimit(50)
			rate := []float64{0.3, 2, 17.2, 200}[seed%4]
			a.SetRate(true, 2*rate)
			a.SetRate(true, rate)
			var mu sync.Mutex
			var starts []time.Time
			var wg sync.WaitGroup
			for range 4000 {
				class := checker.Class(r.IntN(4))
				wg.Go(func() {
					release, err := a.Enter(t.Context(), Request{Class: class, Deadline: time.Now().Add(time.Second), MaxWait: 200 * time.Millisecond})
					if err != nil {
						return
					}
					mu.Lock()
					starts = append(starts, time.Now())
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					release(true)
				})
				time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
			}
			wg.Wait()
			const window = 4 * time.Second
			allowed := int(rate*window.Seconds() + minTokens + rate*burstTime.Seconds() + 1)
			for i := range starts {
				n := 0
				for _, at := range starts[i:] {
					if at.Sub(starts[i]) < window {
						n++
					}
				}
				if n > allowed {
					t.Fatalf("starts in %v at rate %v: got %d, want at most %d", window, rate, n, allowed)
				}
			}
			if got, want := float64(len(starts)), min(200, rate)*15*0.9; got < want {
				t.Errorf("starts at rate %v: got %v, want at least %v", rate, got, want)
			}
		})
	}
}

// Guards against requests that wait in vain: one that cannot get a token in time is
// refused at once, and the next token goes to the most urgent waiter.
func TestRateLimitRefusesEarlyAndServesUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter{}
		a.SetLimit(50)
		a.SetRate(true, 5)
		start := time.Now()
		enter := func(class checker.Class, maxWait time.Duration) <-chan time.Duration {
			waited := make(chan time.Duration, 1)
			go func() {
				_, err := a.Enter(t.Context(), Request{Class: class, Deadline: time.Now().Add(time.Minute), MaxWait: maxWait})
				if err != nil {
					waited <- -time.Since(start)
					return
				}
				waited <- time.Since(start)
			}()
			synctest.Wait()
			return waited
		}
		if got := <-enter(checker.ClassLow, 100*time.Millisecond); got != 0 {
			t.Errorf("request whose token comes after 200 ms but that may wait 100 ms: got %v, want a refusal at once", got)
		}
		low := enter(checker.ClassLow, 300*time.Millisecond)
		critical := enter(checker.ClassCritical, 300*time.Millisecond)
		if got := <-critical; got < 190*time.Millisecond || got > 210*time.Millisecond {
			t.Errorf("critical request: got %v, want the token at 200 ms", got)
		}
		if got := <-low; got > 0 {
			t.Errorf("request overtaken by a critical one: got a token after %v, want a refusal", got)
		}
		a.SetRate(false, 0)
		if got := <-enter(checker.ClassLow, time.Millisecond); got < 0 {
			t.Error("request after the end of the limit: got a refusal, want a slot")
		}
	})
}
