package admitter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

// The load: payments, the most urgent requests, go to a server directly. Most of its
// slots are held by calls of searches, which wait for calls of their own and hold
// their slots three times as long; 1.3 times its capacity arrives. The baseline gives
// all calls the highest class, naive admits in order of arrival, now calls have the
// class of their tree. The optimum admits all payments and fills the other slots.
func TestCallsYieldToMoreUrgentCallers(t *testing.T) {
	const (
		slots        = 40
		payments     = 60 // per second
		paymentTime  = 150 * time.Millisecond
		calls        = 95 // per second
		callTime     = 450 * time.Millisecond
		paymentWorth = 4.9
		searchWorth  = 0.86
		duration     = 6 // seconds
	)
	type result struct {
		worth, worstSecond, payments, calls, wasted float64
		yields                                      int
	}
	play := func(payment, call Request) (r result) {
		synctest.Test(t, func(t *testing.T) {
			a := &Admitter{OnYield: func() { r.yields++ }}
			a.SetLimit(slots)
			var (
				wg           sync.WaitGroup
				mu           sync.Mutex
				earned, owed [duration]float64
				served       = make(map[time.Duration]float64)
			)
			send := func(rq Request, took, maxWait time.Duration, second int, worth float64) {
				owed[second] += worth
				wg.Go(func() {
					rq.Deadline, rq.MaxWait = time.Now().Add(2*time.Second), maxWait
					release, err := a.Enter(context.Background(), rq)
					if err != nil {
						return
					}
					time.Sleep(took)
					release(true)
					mu.Lock()
					defer mu.Unlock()
					earned[second] += worth
					served[took]++
				})
			}
			for i := range duration * 1000 {
				if i%(1000/payments) == 0 {
					send(payment, paymentTime, 62*time.Millisecond, i/1000, paymentWorth)
				}
				if i%(1000/calls) == 0 {
					send(call, callTime, 500*time.Millisecond, i/1000, searchWorth)
				}
				time.Sleep(time.Millisecond)
			}
			wg.Wait()
			total := 0.0
			r.worstSecond = 1
			for s := range owed {
				r.worth += earned[s]
				total += owed[s]
				r.worstSecond = min(r.worstSecond, earned[s]/owed[s])
			}
			sent := func(perSecond int) float64 { return float64(duration * 1000 / (1000 / perSecond)) }
			r.worth /= total
			r.payments, r.calls = served[paymentTime]/sent(payments), served[callTime]/sent(calls)
			// A refused call wastes what was done for its tree before.
			r.wasted = (1 - r.calls) * sent(calls) * paymentTime.Seconds()
		})
		return r
	}
	classOfSearch := checker.ClassCritical - 1
	baseline := play(Request{Class: checker.ClassCritical}, Request{Class: checker.ClassCritical + 1, Call: true})
	naive := play(Request{Class: classOfSearch}, Request{Class: classOfSearch})
	now := play(Request{Class: checker.ClassCritical}, Request{Class: classOfSearch, Call: true, TreeRanked: true})
	share := (slots - payments*paymentTime.Seconds()) / (calls * callTime.Seconds())
	optimum := (paymentWorth*payments + searchWorth*calls*share) / (paymentWorth*payments + searchWorth*calls)
	for name, r := range map[string]result{"baseline": baseline, "naive": naive, "now": now} {
		t.Logf("%-8s worth %.3f (optimum %.3f), worst second %.3f, payments %.3f, calls %.3f, slot time wasted upstream %.0f s",
			name, r.worth, optimum, r.worstSecond, r.payments, r.calls, r.wasted)
	}
	if now.worth <= baseline.worth || now.worth <= naive.worth {
		t.Errorf("worth: got %.3f, want more than the baseline's %.3f and naive's %.3f", now.worth, baseline.worth, naive.worth)
	}
	if got, want := now.worth, 0.95*optimum; got < want {
		t.Errorf("worth: got %.3f, want at least 95 %% of the optimum, %.3f", got, want)
	}
	if now.yields == 0 || naive.yields > 0 || baseline.yields > 0 {
		t.Errorf("calls that yielded: got %d, with all calls first %d, in order of arrival %d; want some, none and none", now.yields, baseline.yields, naive.yields)
	}
	if got := now.payments; got < 0.99 {
		t.Errorf("payments served: got %.3f, want at least 0.99", got)
	}
}
