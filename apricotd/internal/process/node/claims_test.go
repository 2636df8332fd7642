package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/process/claimer"
)

// TestOnceUnderFaults sends the same non-idempotent requests through several
// nodes concurrently while faults are injected. It checks that each request ran
// at most once, that every answered request ran, and that a request did not run
// if all its attempts were reported as not run.
func TestOnceUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*faultSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkAtMostOnce(t, seed)
			})
		})
	}
}

// outcomeCounts counts the outcomes that callers received for one request ID.
type outcomeCounts struct {
	mu       sync.Mutex
	answered int
	notRun   int
	unknown  int
}

func (c *outcomeCounts) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case o.reason == "answered":
		c.answered++
	case o.ran == "notRun":
		c.notRun++
	default:
		c.unknown++
	}
}

func checkAtMostOnce(t *testing.T, seed uint64) {
	f := newFleet(t)
	defer f.close()
	f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
	initial := f.ids()
	spareVMs := f.addSpares(4)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	counter := newRunCounter()
	r := rand.New(rand.NewPCG(seed, 3))
	outcomes := make([]*outcomeCounts, 120)
	var wg sync.WaitGroup
	wg.Go(func() {
		injector := &faultInjector{f: f, r: rand.New(rand.NewPCG(seed, 4)), initial: initial, spareVMs: spareVMs, beforeRestart: counter.collect}
		injector.run(ctx)
	})
	for i := range outcomes {
		counts := &outcomeCounts{}
		outcomes[i] = counts
		for range 1 + r.IntN(3) {
			via := initial[r.IntN(len(initial))]
			delay := time.Duration(r.IntN(1500)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(delay)
				counts.record(f.send(via, "POST", "/licensing/grants", "agency-key", fmt.Sprintf("id-%d", i), nil))
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	for id := range f.machines {
		counter.collect(f, id)
	}
	answered := 0
	for i, counts := range outcomes {
		n := counter.count(fmt.Sprintf("agency/id-%d", i))
		answered += min(counts.answered, 1)
		switch {
		case n > 1:
			t.Errorf("id-%d: got %d runs, want at most 1", i, n)
		case counts.answered > 0 && n == 0:
			t.Errorf("id-%d: request was answered but never ran", i)
		case counts.answered == 0 && counts.unknown == 0 && n > 0:
			t.Errorf("id-%d: got %d runs, want 0 because all attempts were reported as not run", i, n)
		}
	}
	t.Logf("%d of %d requests answered", answered, len(outcomes))
}

// A runCounter counts the executions of each request ID on all backend servers,
// including those that have been killed.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: make(map[string]int)} }

// collect adds the executions counted by a VM's backend server. It is called
// before the backend server is replaced and at the end of the test.
func (c *runCounter) collect(f *fleet, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := f.machines[id]
	if m.backend == nil {
		return
	}
	for key, n := range m.backend.Runs() {
		c.runs[strings.TrimSpace(key)] += n
	}
	m.backend = nil
}

func (c *runCounter) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// claimOwner returns the VM that owns the shard of a request ID's claim.
func (f *fleet) claimOwner(id string) string {
	for _, vm := range f.ids() {
		if f.machines[vm].cancel == nil {
			continue
		}
		if owner := f.machines[vm].node.leaser.Owner(claimer.ShardOf(id)); owner != "" {
			return owner
		}
	}
	f.t.Fatalf("no node owns the claim shard of %s", id)
	return ""
}
