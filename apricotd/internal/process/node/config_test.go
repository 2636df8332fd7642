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
)

// activationLimit is the time within which a published change must be active on
// every node that can receive it.
const activationLimit = 4 * time.Second

// TestConfigUnderFaults withdraws API keys one after the other while faults other
// than platform failures are injected. It checks that no node accepts a key
// later than 4 s after its withdrawal, that no process reverts to an older
// version, and that all nodes have the newest version soon after the last fault.
func TestConfigUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*faultSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkConfigPropagation(t, seed) })
		})
	}
}

func checkConfigPropagation(t *testing.T, seed uint64) {
	f := newFleet(t)
	defer f.close()
	tables := defaultTables()
	f.start([]string{"catalogue", "licensing"}, 1, tables)
	initial := f.ids()
	spareVMs := f.addSpares(2)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		(&faultInjector{f: f, r: rand.New(rand.NewPCG(seed, 5)), initial: initial, spareVMs: spareVMs, keepPlatform: true}).run(ctx)
	})
	wg.Go(func() { checkVersionsNeverDecrease(ctx, t, f, initial) })
	key := "studio-key"
	version := uint64(1)
	for ctx.Err() == nil {
		next := fmt.Sprintf("studio-key-%d", version)
		f.publish(map[string]string{"organisations": replaceKey(tables, key, next)})
		version++
		time.Sleep(activationLimit)
		for _, via := range initial {
			start := time.Now()
			got := f.send(via, "GET", "/catalogue/1", key, "", nil)
			if got.reason == "answered" {
				t.Errorf("%v after the withdrawal: %s still accepted key %s", time.Since(start)+activationLimit, via, key)
			}
		}
		key = next
	}
	wg.Wait()
	time.Sleep(3 * activationLimit)
	for _, id := range initial {
		if got := f.activeVersion(id); got != version {
			t.Errorf("%s after the last fault: got version %d, want %d", id, got, version)
		}
	}
}

// checkVersionsNeverDecrease checks that no process reverts to an older version.
func checkVersionsNeverDecrease(ctx context.Context, t *testing.T, f *fleet, ids []string) {
	last := make(map[*Node]uint64)
	for ctx.Err() == nil {
		for _, id := range ids {
			n := f.machines[id].node
			got := f.activeVersion(id)
			if got < last[n] {
				t.Errorf("%s: got version %d after version %d", id, got, last[n])
			}
			last[n] = got
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// activeVersion returns the version of the tables that a VM's node uses, or 0 if
// it has none.
func (f *fleet) activeVersion(id string) uint64 {
	cfg := f.machines[id].node.config()
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

// replaceKey replaces a key's digest by another's in the organisations table and
// returns the table.
func replaceKey(tables map[string]string, old, next string) string {
	tables["organisations"] = strings.Replace(tables["organisations"], digestOf(old), digestOf(next), 1)
	return tables["organisations"]
}
