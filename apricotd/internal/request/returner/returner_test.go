package returner

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/process/policer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
)

const (
	orgRate  = 600.0 // of the organisation, requests per second
	jitter   = 0.5   // fraction by which a retry delay may be longer
	usually  = 0.7   // demand outside the surge, relative to the rate
	duration = 14 * time.Second
	from     = 2 * time.Second
)

type (
	// A class is a kind of request in the model.
	class struct {
		name                  string
		fraction              float64 // of the organisation's requests
		target, usual, budget time.Duration
		worth, late           float64
	}

	// An attempt is a request, or its return after a refusal.
	attempt struct {
		class  int
		sentAt time.Duration // of the first attempt
		isBack bool
	}

	// A surge is the time from `from` in which an organisation sends a multiple of its rate.
	surge struct {
		demand float64 // relative to the rate
		length time.Duration
	}

	// A policy returns after what time a refused caller should come back, without jitter.
	policy func(c class, untilToken time.Duration) time.Duration

	result struct {
		worth       float64   // relative to what the rate would earn in the surge with the usual mix of requests
		worstSecond float64   // of the surge
		onTime      []float64 // fraction of the requests in the surge by class
		served      float64   // fraction of the requests in the surge that are let in, also late
		late        float64   // fraction of these
	}
)

var classes = []class{
	{"payment", 0.126, 500 * time.Millisecond, 150 * time.Millisecond, 2 * time.Second, 4.9, 0.2},
	{"hold", 0.223, 2 * time.Second, 450 * time.Millisecond, 5 * time.Second, 2.6, 0.17},
	{"search", 0.535, 1500 * time.Millisecond, 330 * time.Millisecond, 5 * time.Second, 0.86, 0.086},
	{"view", 0.116, 5 * time.Second, 900 * time.Millisecond, 10 * time.Second, 0.43, 0.064},
}

// latest returns when a caller has to be back, as package postponer estimates it.
func (c class) latest() time.Duration { return c.target - c.usual*3/2 }

// play sends the requests of one organisation to the bucket of its owner. A refused
// caller returns once, after at most a third of the time that it has left.
func play(t *testing.T, su surge, p policy) (r result) {
	to := from + su.length
	synctest.Test(t, func(*testing.T) {
		o := &resolver.Organisation{Name: "gold", Rate: orgRate, Burst: orgRate / 2}
		owner := &policer.Policer{
			Self: netip.MustParseAddr("10.0.0.1"), Region: "north",
			List:         func() *lister.List { return nil },
			Organisation: func(string) (*resolver.Organisation, bool) { return o, true },
			Overshoot:    0.25, Slack: 20, Window: 5 * time.Second,
		}
		random := rand.New(rand.NewPCG(5, 6))
		start := time.Now()
		due := make([][]attempt, int((duration+4*time.Second)/time.Millisecond))
		sent := make([]float64, len(classes))
		r.onTime = make([]float64, len(classes))
		served, late := 0.0, 0.0
		var earned [int(duration / time.Second)]float64
		for ms := range due {
			now := time.Duration(ms) * time.Millisecond
			demand := usually
			if now >= from && now < to {
				demand = su.demand
			}
			for expected := demand * orgRate / 1000; now < duration && random.Float64() < expected; expected-- {
				draw, i := random.Float64(), 0
				for ; i < len(classes)-1 && draw >= classes[i].fraction; i++ {
					draw -= classes[i].fraction
				}
				due[ms] = append(due[ms], attempt{class: i, sentAt: now})
			}
			random.Shuffle(len(due[ms]), func(i, j int) { due[ms][i], due[ms][j] = due[ms][j], due[ms][i] })
			for _, a := range due[ms] {
				c := classes[a.class]
				counts := 0.0 // 1 in the surge
				if a.sentAt >= from && a.sentAt < to {
					counts = 1
				}
				if !a.isBack {
					sent[a.class] += counts
				}
				grant := owner.GrantTokens(o.Name, 1)
				if grant.Granted > 0 {
					served += counts
					worth := c.late
					if now+c.usual <= a.sentAt+c.target {
						worth = c.worth
						r.onTime[a.class] += counts
					} else {
						late += counts
					}
					earned[int(a.sentAt/time.Second)] += worth
					continue
				}
				if a.isBack {
					continue
				}
				delay := p(c, time.Duration(grant.RetryAfterMs)*time.Millisecond)
				delay = min(time.Duration(float64(delay)*(1+jitter*random.Float64())), (c.budget-(now-a.sentAt))/3)
				back := max(ms+1, ms+int(delay/time.Millisecond))
				due[back] = append(due[back], attempt{class: a.class, sentAt: a.sentAt, isBack: true})
			}
			time.Sleep(time.Until(start.Add(now + time.Millisecond)))
		}
		mean, total := 0.0, 0.0
		for i, c := range classes {
			total += sent[i]
			mean += c.fraction * c.worth
			r.onTime[i] /= sent[i]
		}
		r.late, r.served = late/served, served/total
		r.worstSecond = math.Inf(1)
		for s := from / time.Second; s < to/time.Second; s++ {
			fraction := earned[s] / (orgRate * mean)
			r.worth += fraction / (to - from).Seconds()
			r.worstSecond = min(r.worstSecond, fraction)
		}
	})
	return r
}

// The loads: an organisation sends 5.8 times its rate for 8 s, or 3 times for 2 s, requests
// of four ranks mixed as usual. The baseline tells all refused callers to return when the
// bucket owner expects a token, at most 2 s to 3 s, naive at once. With the optimum nobody
// who is let in is late.
func TestRefusedForRateReturnOnTime(t *testing.T) {
	for _, su := range []surge{{5.8, 8 * time.Second}, {3, 2 * time.Second}} {
		baseline := play(t, su, func(_ class, untilToken time.Duration) time.Duration { return untilToken })
		naive := play(t, su, func(class, time.Duration) time.Duration { return 0 })
		r := &Returner{}
		now := play(t, su, func(c class, untilToken time.Duration) time.Duration {
			delay, _ := r.Delay(untilToken, c.latest()*2/3)
			return delay
		})
		for name, got := range map[string]result{"baseline": baseline, "naive": naive, "now": now} {
			t.Logf("%+v: %-8s worth %.3f, worst second %.3f, served %.3f, late %.3f, on time by class %.3f",
				su, name, got.worth, got.worstSecond, got.served, got.late, got.onTime)
		}
		if now.worth <= baseline.worth || now.worstSecond <= baseline.worstSecond {
			t.Errorf("worth, worst second: got %.3f, %.3f, want more than the baseline's %.3f, %.3f", now.worth, now.worstSecond, baseline.worth, baseline.worstSecond)
		}
		if now.late > 0.02 {
			t.Errorf("fraction of those let in who are late: got %.3f, want at most 0.02", now.late)
		}
		for i, c := range classes {
			if now.onTime[i] <= baseline.onTime[i] {
				t.Errorf("%s on time: got %.3f, want more than the baseline's %.3f", c.name, now.onTime[i], baseline.onTime[i])
			}
		}
	}
}

// Guards against a caller that is told to return later than a token is likely, or so
// early that nothing can have changed.
func TestDelay(t *testing.T) {
	for _, c := range []struct {
		disabled                 bool
		untilToken, latest, want time.Duration
		advanced                 bool
	}{
		{false, 2 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond, true},
		{false, 200 * time.Millisecond, 300 * time.Millisecond, 200 * time.Millisecond, false},
		{false, 2 * time.Second, 50 * time.Millisecond, minDelay, true},
		{false, 80 * time.Millisecond, 50 * time.Millisecond, 80 * time.Millisecond, false},
		{false, 2 * time.Second, -time.Second, 2 * time.Second, false},
		{true, 2 * time.Second, 300 * time.Millisecond, 2 * time.Second, false},
	} {
		got, advanced := (&Returner{Disabled: c.disabled}).Delay(c.untilToken, c.latest)
		if got != c.want || advanced != c.advanced {
			t.Errorf("delay of %+v: got %v, %v", c, got, advanced)
		}
	}
}
