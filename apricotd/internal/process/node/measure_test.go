package node

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/CAPACITY.md")

// TestMeasureControl measures the cost of the control plane per node in fleets
// of several sizes, with a change of the tables every 2 s and of the VM list
// every 4 s: bytes on the wire (without TLS), CPU time, and the time until a
// change is active on the last node. It sends no requests.
func TestMeasureControl(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, perDataCentre := range []int{1, 4, 16, 32} {
		t.Run(fmt.Sprintf("nodes=%d", 8*perDataCentre), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureControl(t, perDataCentre) })
		})
	}
}

func measureControl(t *testing.T, perDataCentre int) {
	f := newFleet(t)
	defer f.close()
	tables := defaultTables()
	f.start([]string{"catalogue", "licensing"}, perDataCentre, tables)
	time.Sleep(10 * time.Second)
	const duration = 60 * time.Second
	r := rand.New(rand.NewPCG(1, 1))
	bytesBefore, cpuBefore := f.network.Bytes(), cpuTime()
	callsBefore := f.platform.Calls()
	var slowest time.Duration
	for i := range int(duration / (2 * time.Second)) {
		tables["organisations"] += fmt.Sprintf("\n[[organisation]]\nname = \"o%d\"\nrate = 10\nburst = 10\nkeys = [%q]\n", i, digestOf(fmt.Sprint(i)))
		f.publish(map[string]string{"organisations": tables["organisations"]})
		if i%2 == 0 {
			ids := f.ids()
			f.setVMState(ids[r.IntN(len(ids))], []string{"leaving", "live"}[i/2%2])
		}
		slowest = max(slowest, f.waitForVersion(uint64(2+i)))
		time.Sleep(2*time.Second - f.sinceChange())
	}
	nodes, seconds := float64(len(f.machines)), duration.Seconds()
	cpuUsed := cpuTime() - cpuBefore
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	t.Logf("%3.0f nodes: %6.0f B/s per node, %5.2f ms of CPU time per second and node, last node after %v, platform %.1f calls/s, heap %.1f MB per node",
		nodes, float64(f.network.Bytes()-bytesBefore)/nodes/seconds, cpuUsed.Seconds()*1000/nodes/seconds, slowest,
		float64(f.platform.Calls()-callsBefore)/seconds, float64(m.HeapAlloc)/nodes/(1<<20))
}

// waitForVersion waits until every node has the version, for at most 10 s, and
// returns how long that took.
func (f *fleet) waitForVersion(version uint64) time.Duration {
	start := time.Now()
	f.changedAt = start
	for {
		outdated := 0
		for _, m := range f.machines {
			if got, _ := m.node.spreader.Versions(); got < version {
				outdated++
			}
		}
		if outdated == 0 || time.Since(start) > 10*time.Second {
			return time.Since(start)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) sinceChange() time.Duration { return time.Since(f.changedAt) }

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestMeasureRegionCut reports how many requests within an organisation's rate
// are rejected while the two regions are cut off from each other, in the region
// of the bucket's owner and in the other one.
func TestMeasureRegionCut(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		owner := f.bucketOwner("agency")
		f.setReachable("r1", "r2", false)
		defer f.setReachable("r1", "r2", true)
		var wg sync.WaitGroup
		defer wg.Wait()
		for _, region := range []string{"r1", "r2"} {
			var via []string
			for _, id := range f.ids() {
				if strings.HasPrefix(id, region) {
					via = append(via, id)
				}
			}
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				load := &tokenLoad{f: f, organisation: "agency"}
				load.run(ctx, 0.95*50/2, via)
				t.Logf("region %s, owner %s: %d of %d rejected", region, owner, len(load.rejected), load.attempts)
			})
		}
	})
}
