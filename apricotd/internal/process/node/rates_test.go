package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/sharder"
)

// An exactBucket is the naive version: one bucket that sees every request.
type exactBucket struct {
	rate, burst, level float64
	at                 time.Time
}

func (b *exactBucket) take(at time.Time) bool {
	if b.at.IsZero() {
		b.level, b.at = b.burst, at
	}
	b.level = min(b.burst, b.level+b.rate*at.Sub(b.at).Seconds())
	b.at = at
	if b.level < 1-1e-9 {
		return false
	}
	b.level--
	return true
}

// excess returns the number of admissions that one exact bucket would not have
// admitted. It is 0 exactly if in every interval there are no more admissions
// than burst plus rate times the interval.
func excess(admitted []time.Time, rate, burst float64) int {
	b := &exactBucket{rate: rate, burst: burst}
	n := 0
	for _, at := range admitted {
		if !b.take(at) {
			n++
		}
	}
	return n
}

// A demand takes tokens of one organisation at some nodes and records when
// they were given.
type demand struct {
	f            *fleet
	organisation string

	mu       sync.Mutex
	admitted []time.Time
	asked    int
	refused  []time.Time
}

// run takes tokens at a steady rate, each at the next node that is up.
func (d *demand) run(ctx context.Context, rate float64, via []string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := time.Duration(float64(time.Second) / rate)
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		node := d.f.machine[via[i%len(via)]].node
		wg.Go(func() { d.take(ctx, node) })
	}
}

func (d *demand) take(ctx context.Context, n *Node) {
	cfg := n.config()
	if cfg == nil || cfg.Organisations[d.organisation] == nil || n.stopping.Load() {
		return
	}
	err := n.limiter.Take(ctx, cfg.Organisations[d.organisation])
	at := time.Now()
	if ctx.Err() != nil && err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	if err == nil {
		d.admitted = append(d.admitted, at)
	} else {
		d.refused = append(d.refused, at)
	}
}

func (d *demand) check(t interface{ Errorf(string, ...any) }, o *checker.Organisation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortFunc(d.admitted, func(a, b time.Time) int { return a.Compare(b) })
	if n := excess(d.admitted, o.Rate, o.Burst); n > 0 {
		t.Errorf("got %d of %d admissions beyond rate %g and burst %g, want 0", n, len(d.admitted), o.Rate, o.Burst)
	}
}

// TestRateWithoutFaults holds wrongful refusals to 0.1% for an organisation
// that sends evenly at 95% of its rate, over all nodes or at one.
func TestRateWithoutFaults(t *testing.T) {
	for _, spread := range []string{"all", "one"} {
		t.Run(spread, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
				via := f.ids()
				if spread == "one" {
					via = via[:1]
				}
				d := &demand{f: f, organisation: "agency"}
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
				defer cancel()
				d.run(ctx, 0.95*50, via)
				d.check(t, &checker.Organisation{Rate: 50, Burst: 50})
				if share := float64(len(d.refused)) / float64(d.asked); share > 0.001 {
					t.Errorf("got %d of %d requests refused, want at most 0.1%%", len(d.refused), d.asked)
				}
			})
		})
	}
}

// TestRateOverload holds an organisation that sends five times its rate to its
// rate, and gives it nearly all of that.
func TestRateOverload(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		d := &demand{f: f, organisation: "studio"}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		d.run(ctx, 100, f.ids())
		d.check(t, &checker.Organisation{Rate: 20, Burst: 20})
		if want := 0.95 * 20 * 30; float64(len(d.admitted)) < want {
			t.Errorf("got %d admissions, want at least %g", len(d.admitted), want)
		}
	})
}

// TestRateOwnerLost holds that wrongful refusals are back under 0.1% within
// 5 s after the owner of the bucket has vanished.
func TestRateOwnerLost(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		owner := f.ownerOf("agency")
		via := slices.DeleteFunc(f.ids(), func(id string) bool { return id == owner })
		d := &demand{f: f, organisation: "agency"}
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
		defer cancel()
		var killed time.Time
		time.AfterFunc(10*time.Second, func() {
			killed = time.Now()
			f.kill(owner)
		})
		d.run(ctx, 0.95*50, via)
		d.check(t, &checker.Organisation{Rate: 50, Burst: 50})
		late := 0
		for _, at := range d.refused {
			if at.After(killed.Add(5 * time.Second)) {
				late++
			}
		}
		if share := float64(late) / (25 * 0.95 * 50); share > 0.001 {
			t.Errorf("got %d refusals later than 5 s after the loss of the owner, want at most 0.1%%", late)
		}
	})
}

// ownerOf returns the VM that lends an organisation's tokens.
func (f *fleet) ownerOf(organisation string) string {
	shard := sharder.ShardOf("organisation/" + organisation + "/0")
	for _, id := range f.ids() {
		if owner := f.machine[id].node.leaser.Owner(shard); owner != "" {
			return owner
		}
	}
	f.t.Fatalf("got no owner of the tokens of %s", organisation)
	return ""
}

// TestRateUnderFaults draws faults, two of them together at a time, and checks
// that no organisation ever gets more than its rate and burst.
func TestRateUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*faultSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
				core := f.ids()
				spares := f.spares(4)
				d := &demand{f: f, organisation: "agency"}
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
				defer cancel()
				var wg sync.WaitGroup
				wg.Go(func() { d.run(ctx, 200, core) })
				(&faults{f: f, r: rand.New(rand.NewPCG(seed, 1)), core: core, spares: spares}).run(ctx)
				wg.Wait()
				d.check(t, &checker.Organisation{Rate: 50, Burst: 50})
			})
		})
	}
}

// TestExactBucket holds the check itself against the definition: every
// interval between two admissions.
func TestExactBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 10).Draw(t, "burst"))
		at := time.Unix(0, 0)
		var admitted []time.Time
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 30).Draw(t, "gaps") {
			at = at.Add(time.Duration(gap) * time.Millisecond)
			admitted = append(admitted, at)
		}
		isBeyond := false
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				allowed := burst + rate*admitted[j].Sub(admitted[i]).Seconds()
				isBeyond = isBeyond || float64(j-i+1) > allowed+1e-6
			}
		}
		if got := excess(admitted, rate, burst) > 0; got != isBeyond {
			t.Fatalf("got excess %t, want %t", got, isBeyond)
		}
	})
}
