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

// inForceWithin is the time within which a change must be in force on every
// node that can learn of it.
const inForceWithin = 4 * time.Second

// TestConfigUnderFaults withdraws key after key while faults are caused, the
// platform apart, and checks that no node answers for a key later than 4 s
// after its withdrawal, that no process ever goes back to an older version, and
// that all nodes have the newest version soon after the last fault.
func TestConfigUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*faultSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkConfig(t, seed) })
		})
	}
}

func checkConfig(t *testing.T, seed uint64) {
	f := newFleet(t)
	defer f.close()
	tables := defaultTables()
	f.start([]string{"catalogue", "licensing"}, 1, tables)
	core := f.ids()
	spares := f.spares(2)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		(&faults{f: f, r: rand.New(rand.NewPCG(seed, 5)), core: core, spares: spares, spared: true}).run(ctx)
	})
	wg.Go(func() { watchVersions(ctx, t, f, core) })
	key := "studio-key"
	version := uint64(1)
	for ctx.Err() == nil {
		next := fmt.Sprintf("studio-key-%d", version)
		f.publish(map[string]string{"organisations": replaceKey(tables, key, next)})
		version++
		time.Sleep(inForceWithin)
		for _, via := range core {
			begun := time.Now()
			got := f.send(via, "GET", "/catalogue/1", key, "", nil)
			if got.reason == "answered" {
				t.Errorf("%v after the withdrawal: got an answer from %s for key %s", time.Since(begun)+inForceWithin, via, key)
			}
		}
		key = next
	}
	wg.Wait()
	time.Sleep(3 * inForceWithin)
	for _, id := range core {
		if got := f.inForce(id); got != version {
			t.Errorf("%s after the faults: got version %d, want %d", id, got, version)
		}
	}
}

// watchVersions checks that the version in force only rises in each process.
func watchVersions(ctx context.Context, t *testing.T, f *fleet, core []string) {
	highest := make(map[*Node]uint64)
	for ctx.Err() == nil {
		for _, id := range core {
			n := f.machine[id].node
			got := f.inForce(id)
			if got < highest[n] {
				t.Errorf("%s: got version %d after %d", id, got, highest[n])
			}
			highest[n] = got
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// inForce returns the version in force on a VM's node, 0 while there is none.
func (f *fleet) inForce(id string) uint64 {
	cfg := f.machine[id].node.config()
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

// replaceKey puts a key's digest in the place of another's and returns the
// table.
func replaceKey(tables map[string]string, old, next string) string {
	tables["organisations"] = strings.Replace(tables["organisations"], digestOf(old), digestOf(next), 1)
	return tables["organisations"]
}
