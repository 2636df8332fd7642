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

// An exactBucket is a single token bucket that sees every request. It defines
// the result that the distributed limiter is checked against.
type exactBucket struct {
	rate, burst, tokens float64
	lastTake            time.Time
}

func (b *exactBucket) take(at time.Time) bool {
	if b.lastTake.IsZero() {
		b.tokens, b.lastTake = b.burst, at
	}
	b.tokens = min(b.burst, b.tokens+b.rate*at.Sub(b.lastTake).Seconds())
	b.lastTake = at
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// countExcess returns the number of admissions that a single bucket would have
// rejected. It is 0 if and only if no interval has more admissions than burst
// plus rate times the length of the interval.
func countExcess(admitted []time.Time, rate, burst float64) int {
	b := &exactBucket{rate: rate, burst: burst}
	n := 0
	for _, at := range admitted {
		if !b.take(at) {
			n++
		}
	}
	return n
}

// A tokenLoad takes tokens of one organisation at a set of nodes and records when
// each was granted or rejected.
type tokenLoad struct {
	f            *fleet
	organisation string

	mu       sync.Mutex
	admitted []time.Time
	attempts int
	rejected []time.Time
}

// run takes tokens at a steady rate, cycling through the nodes. The turn of a node
// that is stopping or has no tables is skipped.
func (l *tokenLoad) run(ctx context.Context, rate float64, via []string) {
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
		node := l.f.machines[via[i%len(via)]].node
		wg.Go(func() { l.takeToken(ctx, node) })
	}
}

func (l *tokenLoad) takeToken(ctx context.Context, n *Node) {
	cfg := n.config()
	if cfg == nil || cfg.Organisations[l.organisation] == nil || n.stopping.Load() {
		return
	}
	err := n.limiter.Take(ctx, cfg.Organisations[l.organisation])
	at := time.Now()
	if ctx.Err() != nil && err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	if err == nil {
		l.admitted = append(l.admitted, at)
	} else {
		l.rejected = append(l.rejected, at)
	}
}

func (l *tokenLoad) checkAdmissions(t interface{ Errorf(string, ...any) }, o *checker.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.admitted, func(a, b time.Time) int { return a.Compare(b) })
	if n := countExcess(l.admitted, o.Rate, o.Burst); n > 0 {
		t.Errorf("got %d of %d admissions beyond rate %g and burst %g, want 0", n, len(l.admitted), o.Rate, o.Burst)
	}
}

// TestRateWithoutFaults checks that at most 0.1% of the requests are rejected
// when an organisation sends evenly at 95% of its rate, through all nodes or
// through one.
func TestRateWithoutFaults(t *testing.T) {
	for _, distribution := range []string{"all", "one"} {
		t.Run(distribution, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
				via := f.ids()
				if distribution == "one" {
					via = via[:1]
				}
				load := &tokenLoad{f: f, organisation: "agency"}
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
				defer cancel()
				load.run(ctx, 0.95*50, via)
				load.checkAdmissions(t, &checker.Organisation{Rate: 50, Burst: 50})
				if share := float64(len(load.rejected)) / float64(load.attempts); share > 0.001 {
					t.Errorf("got %d of %d requests rejected, want at most 0.1%%", len(load.rejected), load.attempts)
				}
			})
		})
	}
}

// TestRateOverload checks that an organisation that sends at five times its rate
// is limited to its rate and gets at least 95% of it.
func TestRateOverload(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		load := &tokenLoad{f: f, organisation: "studio"}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		load.run(ctx, 100, f.ids())
		load.checkAdmissions(t, &checker.Organisation{Rate: 20, Burst: 20})
		if want := 0.95 * 20 * 30; float64(len(load.admitted)) < want {
			t.Errorf("got %d admissions, want at least %g", len(load.admitted), want)
		}
	})
}

// TestRateOwnerLost checks that, from 5 s after the loss of the bucket's owner,
// at most 0.1% of the requests within the rate are rejected.
func TestRateOwnerLost(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		owner := f.bucketOwner("agency")
		via := slices.DeleteFunc(f.ids(), func(id string) bool { return id == owner })
		load := &tokenLoad{f: f, organisation: "agency"}
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
		defer cancel()
		var killed time.Time
		time.AfterFunc(10*time.Second, func() {
			killed = time.Now()
			f.killVM(owner)
		})
		load.run(ctx, 0.95*50, via)
		load.checkAdmissions(t, &checker.Organisation{Rate: 50, Burst: 50})
		lateRejections := 0
		for _, at := range load.rejected {
			if at.After(killed.Add(5 * time.Second)) {
				lateRejections++
			}
		}
		if share := float64(lateRejections) / (25 * 0.95 * 50); share > 0.001 {
			t.Errorf("got %d rejections later than 5 s after the loss of the owner, want at most 0.1%%", lateRejections)
		}
	})
}

// bucketOwner returns the VM that owns an organisation's token bucket.
func (f *fleet) bucketOwner(organisation string) string {
	shard := sharder.ShardOf("organisation/" + organisation + "/0")
	for _, id := range f.ids() {
		if owner := f.machines[id].node.leaser.Owner(shard); owner != "" {
			return owner
		}
	}
	f.t.Fatalf("no node owns the token bucket of %s", organisation)
	return ""
}

// TestRateUnderFaults injects random faults, up to two at a time, and checks that
// an organisation never gets more than its rate and burst.
func TestRateUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*faultSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
				initial := f.ids()
				spareVMs := f.addSpares(4)
				load := &tokenLoad{f: f, organisation: "agency"}
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
				defer cancel()
				var wg sync.WaitGroup
				wg.Go(func() { load.run(ctx, 200, initial) })
				(&faultInjector{f: f, r: rand.New(rand.NewPCG(seed, 1)), initial: initial, spareVMs: spareVMs}).run(ctx)
				wg.Wait()
				load.checkAdmissions(t, &checker.Organisation{Rate: 50, Burst: 50})
			})
		})
	}
}

// TestExactBucket checks countExcess against the definition of the limit, applied
// to every interval between two admissions.
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
		exceeded := false
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				allowed := burst + rate*admitted[j].Sub(admitted[i]).Seconds()
				exceeded = exceeded || float64(j-i+1) > allowed+1e-6
			}
		}
		if got := countExcess(admitted, rate, burst) > 0; got != exceeded {
			t.Fatalf("got excess %t, want %t", got, exceeded)
		}
	})
}
