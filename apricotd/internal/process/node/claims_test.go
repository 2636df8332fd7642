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

// TestOnceUnderFaults resends requests at many nodes at once while faults are
// caused, and checks that each ran once at most, that an answered request ran,
// and that a request of which every attempt was told "not run" did not run.
func TestOnceUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*faultSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkOnce(t, seed)
			})
		})
	}
}

// A history is what callers were told of one request id.
type history struct {
	mu       sync.Mutex
	answered int
	notRun   int
	unknown  int
}

func (h *history) note(a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case a.reason == "answered":
		h.answered++
	case a.ran == "notRun":
		h.notRun++
	default:
		h.unknown++
	}
}

func checkOnce(t *testing.T, seed uint64) {
	f := newFleet(t)
	defer f.close()
	f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
	core := f.ids()
	spares := f.spares(4)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	runs := newRunLog()
	r := rand.New(rand.NewPCG(seed, 3))
	histories := make([]*history, 120)
	var wg sync.WaitGroup
	wg.Go(func() {
		x := &faults{f: f, r: rand.New(rand.NewPCG(seed, 4)), core: core, spares: spares, before: runs.collect}
		x.run(ctx)
	})
	for i := range histories {
		h := &history{}
		histories[i] = h
		for range 1 + r.IntN(3) {
			via := core[r.IntN(len(core))]
			wait := time.Duration(r.IntN(1500)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(wait)
				h.note(f.send(via, "POST", "/licensing/grants", "agency-key", fmt.Sprintf("id-%d", i), nil))
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	for id := range f.machine {
		runs.collect(f, id)
	}
	answered := 0
	for i, h := range histories {
		n := runs.of(fmt.Sprintf("agency/id-%d", i))
		answered += min(h.answered, 1)
		switch {
		case n > 1:
			t.Errorf("id-%d: got %d runs, want one at most", i, n)
		case h.answered > 0 && n == 0:
			t.Errorf("id-%d: got an answer, but no run", i)
		case h.answered == 0 && h.unknown == 0 && n > 0:
			t.Errorf("id-%d: got %d runs, but every caller was told that it has not run", i, n)
		}
	}
	t.Logf("%d of %d requests answered", answered, len(histories))
}

// A runLog counts the runs of each id over all backend servers, also of those
// that have been killed since.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunLog() *runLog { return &runLog{runs: make(map[string]int)} }

// collect takes over the runs of a VM's backend server, which is about to be
// replaced by a new one.
func (l *runLog) collect(f *fleet, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := f.machine[id]
	if m.backend == nil {
		return
	}
	for key, n := range m.backend.Runs() {
		l.runs[strings.TrimSpace(key)] += n
	}
	m.backend = nil
}

func (l *runLog) of(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// claimOwner returns the VM that owns the shard of a claim.
func (f *fleet) claimOwner(id string) string {
	for _, vm := range f.ids() {
		if f.machine[vm].cancel == nil {
			continue
		}
		if owner := f.machine[vm].node.leaser.Owner(claimer.ShardOf(id)); owner != "" {
			return owner
		}
	}
	f.t.Fatalf("got no owner of the claim of %s", id)
	return ""
}
