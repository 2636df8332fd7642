package postponer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/request/forecaster"
)

const (
	patience    = 5 * time.Second
	target      = 1500 * time.Millisecond
	treeTime    = 350 * time.Millisecond // a run that comes through
	slotTime    = 180 * time.Millisecond // occupied at the root by any run
	rejectFrom  = 3 * time.Second
	rejectUntil = 11500 * time.Millisecond
	acceptance  = 0.45 // of each call while the pool rejects
	rate        = 200  // requests of each class and second
	duration    = 16

	organisations = 4 // their requests arrive in turn
)

type (
	// A class is a kind of request in the model.
	class struct {
		name       string
		idempotent bool
		calls      int
		worth      float64
	}

	// A policy returns after what time the caller should come back, or 0.
	policy func(c class, fingerprint uint64, left, now time.Duration) time.Duration

	// A chain is a model of call trees that end at one pool. Every server of the pool
	// rejects the same fraction of calls for some seconds, whatever its load.
	chain struct {
		random     *rand.Rand
		forecaster map[string]*forecaster.Forecaster
		postponer  *Postponer
		start      time.Time
	}

	result struct {
		worth, worstSecond, worstClass, worstOrganisation, wasted float64
	}
)

var classes = []class{{"order", false, 4, 3}, {"search", true, 4, 1}, {"group", false, 8, 2.6}}

// run runs one attempt and reports whether it came through.
func (m *chain) run(c class) bool {
	f := m.forecaster[c.name]
	end := f.Begin(c.name)
	ok := true
	for range c.calls {
		if now := time.Since(m.start); ok && now >= rejectFrom && now < rejectUntil && m.random.Float64() > acceptance {
			f.RecordRejectedCall()
			ok = false
		}
	}
	end(!ok)
	m.postponer.Observe(c.name, "s", f.LostFraction(c.name))
	if ok {
		m.postponer.ObserveAnswer(c.name, treeTime)
	}
	return ok
}

// play sends every class at the rate and returns what callers got under a policy.
// Callers return once: after a refusal when told to, after a failure at once if the
// request is idempotent.
func (m *chain) play(decide policy) result {
	type attempt struct {
		class
		sentAt, due time.Duration
		second      bool
		by          int // organisation
		fingerprint uint64
	}
	const step = time.Second / rate
	var earned, owed [duration]float64
	var byOrganisation [organisations]float64
	byClass := make(map[string]float64)
	wasted := 0.0
	var returning []attempt
	try := func(a attempt) {
		now := time.Since(m.start)
		var due time.Duration
		if delay := decide(a.class, a.fingerprint, patience-(now-a.sentAt), now); delay > 0 {
			due = now + delay
		} else if m.run(a.class) {
			if now-a.sentAt+treeTime <= target {
				earned[a.sentAt/time.Second] += a.worth
				byClass[a.name]++
				byOrganisation[a.by] += a.worth
			}
			return
		} else {
			wasted += slotTime.Seconds()
			if !a.idempotent {
				return
			}
			due = now
		}
		if !a.second {
			returning = append(returning, attempt{a.class, a.sentAt, due, true, a.by, a.fingerprint})
		}
	}
	for i, now := 0, time.Duration(0); now < (duration+3)*time.Second; i, now = i+1, now+step {
		waiting := returning
		returning = nil
		for _, a := range waiting {
			if a.due > now {
				returning = append(returning, a)
				continue
			}
			try(a)
		}
		if now < duration*time.Second {
			for _, c := range classes {
				owed[now/time.Second] += c.worth
				try(attempt{class: c, sentAt: now, by: i % organisations, fingerprint: m.random.Uint64()})
			}
		}
		time.Sleep(step)
	}
	r := result{worstSecond: 1, worstClass: 1, worstOrganisation: 1, wasted: wasted}
	total := 0.0
	for s := range owed {
		r.worth += earned[s]
		total += owed[s]
		r.worstSecond = min(r.worstSecond, earned[s]/owed[s])
	}
	r.worth /= total
	for _, worth := range byOrganisation {
		r.worstOrganisation = min(r.worstOrganisation, worth*organisations/total)
	}
	for _, c := range classes {
		r.worstClass = min(r.worstClass, byClass[c.name]/(rate*duration))
	}
	return r
}

// The load: all servers of the deepest pool reject 55 % of their calls for 8.5 s in
// spite of free slots, and trees need four or eight of these calls one after the
// other. The baseline runs every request. Naive refuses all while trees are lost and
// tells callers to return soon. The optimum knows when the pool recovers and refuses
// exactly those that can return after that and still be on time.
func TestChainWhilePoolRejects(t *testing.T) {
	play := func(make func(m *chain) policy) (r result) {
		synctest.Test(t, func(*testing.T) {
			m := &chain{random: rand.New(rand.NewPCG(1, 2)), forecaster: map[string]*forecaster.Forecaster{}, postponer: &Postponer{}, start: time.Now()}
			for _, c := range classes {
				m.forecaster[c.name] = &forecaster.Forecaster{}
			}
			r = m.play(make(m))
		})
		return r
	}
	const longest = target - treeTime
	baseline := play(func(*chain) policy {
		return func(class, uint64, time.Duration, time.Duration) time.Duration { return 0 }
	})
	naive := play(func(m *chain) policy {
		return func(c class, _ uint64, _, _ time.Duration) time.Duration {
			if m.postponer.LostFraction(c.name) > maxLost {
				return 200 * time.Millisecond
			}
			return 0
		}
	})
	postponed := play(func(m *chain) policy {
		return func(c class, fingerprint uint64, left, _ time.Duration) time.Duration {
			m.postponer.ObserveExcess(c.name, -1)
			delay, ok := m.postponer.Delay(Request{Route: c.name, Idempotent: c.idempotent, Left: left, Target: target, Fingerprint: func() uint64 { return fingerprint }})
			if !ok {
				return 0
			}
			return delay - time.Duration(m.random.Float64()*float64(delay)/3)
		}
	})
	optimum := play(func(*chain) policy {
		return func(_ class, _ uint64, left, now time.Duration) time.Duration {
			if now >= rejectFrom && now < rejectUntil && left == patience && now+longest >= rejectUntil {
				return longest
			}
			return 0
		}
	})
	for name, r := range map[string]result{"baseline": baseline, "naive": naive, "postponed": postponed, "optimum": optimum} {
		t.Logf("%-9s worth %.3f, worst second %.3f, worst class %.3f, worst organisation %.3f, slot time wasted %.0f s", name, r.worth, r.worstSecond, r.worstClass, r.worstOrganisation, r.wasted)
	}
	if gain, possible := postponed.worth-baseline.worth, optimum.worth-baseline.worth; gain < 0.5*possible {
		t.Errorf("gain over the baseline: got %.3f of worth, want at least half of the %.3f that an optimal policy gains", gain, possible)
	}
	if postponed.worstClass <= baseline.worstClass {
		t.Errorf("worst class: got %.3f, want more than the baseline's %.3f", postponed.worstClass, baseline.worstClass)
	}
	if postponed.worth <= naive.worth {
		t.Errorf("worth: got %.3f, want more than the %.3f of refusing all", postponed.worth, naive.worth)
	}
	if postponed.worstOrganisation <= baseline.worstOrganisation {
		t.Errorf("worst organisation: got %.3f, want more than the baseline's %.3f", postponed.worstOrganisation, baseline.worstOrganisation)
	}
	// Searches run once instead of twice; each of the other two classes runs once.
	if got, want := postponed.wasted, 0.75*baseline.wasted; got > want {
		t.Errorf("slot time wasted: got %.0f s, want at most %.0f s", got, want)
	}
}

// Guards against postponing hardly anyone for seconds after a node has started: its first
// request may be observed before the pool has been measured, when the excess is 0.
func TestFirstObservedExcessDoesNotLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Postponer{}
		p.ObserveAnswer("order", treeTime)
		p.ObserveExcess("order", 0)
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			p.ObserveExcess("order", -2)
		}
		p.Observe("order", "s", 1)
		postponed, n := 0, 1000
		for i := range n {
			if _, ok := p.Delay(Request{Route: "order", Left: patience, Target: target, Fingerprint: func() uint64 { return uint64(i) }}); ok {
				postponed++
			}
		}
		if postponed < n*9/10 {
			t.Errorf("postponed with twice the demand spare for a second: got %d of %d, want at least nine tenths", postponed, n)
		}
	})
}

// Only callers who have not been here may be postponed, and only if they can be back
// on time.
func TestPostponesOnceAndOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Postponer{}
		of := func(fingerprint uint64) func() uint64 { return func() uint64 { return fingerprint } }
		first := Request{Route: "order", Left: patience, Target: target, Fingerprint: of(1)}
		p.ObserveAnswer("order", 300*time.Millisecond)
		p.ObserveExcess("order", -2)
		if _, ok := p.Delay(first); ok {
			t.Error("postponed although nothing is lost")
		}
		p.Observe("order", "s", 0.9)
		delay, ok := p.Delay(first)
		if !ok || (delay-(target-450*time.Millisecond)).Abs() > time.Millisecond {
			t.Errorf("delay of a first attempt: got %v, %v, want the target less the usual time", delay, ok)
		}
		for _, c := range []struct {
			name string
			rq   Request
		}{
			{"a caller that has returned", first},
			{"a target that leaves no time", Request{Route: "order", Left: patience, Target: 500 * time.Millisecond, Fingerprint: of(2)}},
			{"a caller with little time", Request{Route: "order", Left: 500 * time.Millisecond, Target: target, Fingerprint: of(3)}},
			{"an idempotent request that may be repeated at once", Request{Route: "order", Idempotent: true, Left: patience, Target: target, Fingerprint: of(4)}},
			{"a route without a target", Request{Route: "order", Left: patience, Fingerprint: of(5)}},
		} {
			p.Observe("order", "s", 0.8)
			if _, ok := p.Delay(c.rq); ok {
				t.Errorf("%s was postponed", c.name)
			}
		}
		if got, want := p.Counts(), (Counts{Postponed: 1, Returned: 1, LetIn: 2}); got != want {
			t.Errorf("counts: got %+v, want %+v", got, want)
		}
		if got := p.PostponedFraction("order", false, target); got != 1 {
			t.Errorf("fraction postponed with ample spare capacity: got %.2f, want 1", got)
		}
		p.Disabled = true
		if _, ok := p.Delay(Request{Route: "order", Left: patience, Target: target, Fingerprint: of(7)}); ok || p.PostponedFraction("order", false, target) > 0 {
			t.Error("postponed although disabled")
		}
		p.Disabled = false
		// One failing server of several must not count for all.
		for i := range 5 {
			p.Observe("order", fmt.Sprint(i), 0)
		}
		first.Fingerprint = of(6)
		if _, ok := p.Delay(first); ok {
			t.Error("postponed although most servers lose nothing")
		}
		p.Observe("order", "s", 1)
		time.Sleep(expireAfter + time.Second)
		if _, ok := p.Delay(first); ok {
			t.Error("postponed by expired reports")
		}
		// Callers who never return must not use up memory.
		for i := range uint64(3 * maxReturning) {
			if i%100 == 0 {
				p.Observe("order", "s", 1)
				time.Sleep(20 * time.Millisecond)
			}
			first.Fingerprint = of(100 + i)
			p.Delay(first)
		}
		if got := len(p.returning); got > maxReturning {
			t.Errorf("expected requests: got %d, want at most %d", got, maxReturning)
		}
	})
}

// The load: payments with a latency target of 0.5 s and a time of 2 s are throttled by
// 0.6 for some seconds. Callers return once, within a third of their time. The baseline
// tells all to return after 0.6 s to 0.9 s, naive at once, when the same fraction is still
// rejected because nothing has changed. The optimum would have room for as many on
// time as come through on either try.
func TestThrottledCallersReturnOnTime(t *testing.T) {
	const (
		budget   = 2 * time.Second
		target   = 500 * time.Millisecond
		usual    = 130 * time.Millisecond
		throttle = 0.6
		change   = 100 * time.Millisecond // until the fraction is drawn anew
		n        = 20000
	)
	synctest.Test(t, func(t *testing.T) {
		p := &Postponer{}
		if _, ok := p.LatestReturn("payment", target); ok {
			t.Error("return of an unknown route is known")
		}
		p.ObserveAnswer("payment", usual)
		latest, ok := p.LatestReturn("payment", target)
		if !ok || latest > target-usual || latest < change {
			t.Fatalf("latest return: got %v, %v, want a time that leaves %v before %v", latest, ok, usual, target)
		}
		random := rand.New(rand.NewPCG(3, 4))
		play := func(longest time.Duration) (onTime, late float64) {
			for range n {
				if random.Float64() >= throttle {
					onTime++
					continue
				}
				delay := min(longest*2/3+time.Duration(random.Float64()*float64(longest/3)), budget/3)
				switch {
				case delay < change || random.Float64() < throttle:
				case delay+usual <= target:
					onTime++
				default:
					late++
				}
			}
			return onTime / n, late / n
		}
		baseline, baselineLate := play(900 * time.Millisecond)
		naive, naiveLate := play(0)
		now, nowLate := play(latest)
		optimum := 1 - throttle*throttle
		t.Logf("on time, late: baseline %.3f, %.3f; naive %.3f, %.3f; now %.3f, %.3f; optimum %.3f", baseline, baselineLate, naive, naiveLate, now, nowLate, optimum)
		if now < 0.95*optimum || now <= baseline || now <= naive {
			t.Errorf("served on time: got %.3f, want more than %.3f and %.3f, and 95 %% of %.3f", now, baseline, naive, optimum)
		}
	})
}

// The load: as in TestChainWhilePoolRejects, but the pool has room for only a fifth more
// than its usual demand. If more comes on top of that when the pool accepts calls again,
// a tree of four calls is lost if one of them finds no room. Naive postpones all callers.
func TestReturnsFitIntoSpareCapacity(t *testing.T) {
	const (
		perSecond = 1000 // one arrival a millisecond
		spare     = 0.2
		from, to  = 5, 13.0 // seconds in which all runs are lost
		steps     = 20000
		window    = 200 // milliseconds over which the pool averages its load
		plays     = 8
	)
	play := func(excess float64, postpone bool) (served float64) {
		synctest.Test(t, func(*testing.T) {
			p := &Postponer{}
			p.ObserveAnswer("order", treeTime)
			var due, runs [steps + 2000]int // by millisecond
			recent := 0
			for i := range steps {
				lost := 0.0
				if second := float64(i) / perSecond; second >= from && second < to {
					lost = 1
				}
				p.Observe("order", "s", lost)
				p.ObserveExcess("order", excess)
				delay, ok := p.Delay(Request{Route: "order", Left: patience, Target: target, Fingerprint: func() uint64 { return uint64(i) }})
				if ok && postpone {
					delay -= time.Duration(rand.Float64() * float64(delay) / 3)
					due[i+int(delay.Milliseconds())]++
				} else {
					due[i]++
				}
				runs[i] = due[i]
				if recent += runs[i]; i >= window {
					recent -= runs[i-window]
				}
				accepted := min(1, (1+spare)*window/float64(max(1, recent)))
				served += float64(runs[i]) * (1 - lost) * math.Pow(accepted, 4)
				time.Sleep(time.Millisecond)
			}
		})
		return served
	}
	// The gain is a hundred of 12,000 requests, so it is the mean of several plays.
	mean := func(excess float64, postpone bool) (served float64) {
		for range plays {
			served += play(excess, postpone) / plays
		}
		return served
	}
	baseline, naive, now := mean(-spare, false), mean(-1, true), mean(-spare, true)
	// A fifth of the demand fits in for at most the latest return of a first attempt.
	latest := target - time.Duration(latencyFactor*float64(treeTime))
	optimum := baseline + spare*perSecond*latest.Seconds()
	t.Logf("served: baseline %.0f, naive %.0f, now %.0f, optimum %.0f", baseline, naive, now, optimum)
	if now <= naive {
		t.Errorf("served: got %.0f, want more than the %.0f of postponing all", now, naive)
	}
	if got, want := now-baseline, (optimum-baseline)/2; got < want {
		t.Errorf("gain: got %.0f, want at least half of the optimum's %.0f", got, optimum-baseline)
	}
}
