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

// TestMeasureControl measures what control costs a node in fleets of several
// sizes, with a change of the tables every 2 s and a change of the VM list
// every 4 s: bytes on the wire (without TLS), processor time, and how long a
// change takes to be in force on the last node. It sends no requests.
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
	bytes, cpu := f.network.Bytes(), processorTime()
	calls := f.tables.Calls()
	var worst time.Duration
	for i := range int(duration / (2 * time.Second)) {
		tables["organisations"] += fmt.Sprintf("\n[[organisation]]\nname = \"o%d\"\nrate = 10\nburst = 10\nkeys = [%q]\n", i, digestOf(fmt.Sprint(i)))
		f.publish(map[string]string{"organisations": tables["organisations"]})
		if i%2 == 0 {
			ids := f.ids()
			f.list(ids[r.IntN(len(ids))], []string{"leaving", "live"}[i/2%2])
		}
		worst = max(worst, f.untilInForce(uint64(2+i)))
		time.Sleep(2*time.Second - f.sinceTick())
	}
	nodes, seconds := float64(len(f.machine)), duration.Seconds()
	used := processorTime() - cpu
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	t.Logf("%3.0f nodes: %6.0f B/s a node, %5.2f ms of processor time a second and node, last node after %v, platform %.1f calls/s, heap %.1f MB a node",
		nodes, float64(f.network.Bytes()-bytes)/nodes/seconds, used.Seconds()*1000/nodes/seconds, worst,
		float64(f.tables.Calls()-calls)/seconds, float64(m.HeapAlloc)/nodes/(1<<20))
}

// untilInForce waits until every node has the version.
func (f *fleet) untilInForce(version uint64) time.Duration {
	begun := time.Now()
	f.tick = begun
	for {
		behind := 0
		for _, m := range f.machine {
			if got, _ := m.node.spreader.Versions(); got < version {
				behind++
			}
		}
		if behind == 0 || time.Since(begun) > 10*time.Second {
			return time.Since(begun)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) sinceTick() time.Duration { return time.Since(f.tick) }

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestMeasureRegionCut reports the share of requests within an organisation's
// rate that are refused while the regions are cut from each other, on the side
// of the bucket's owner and on the other.
func TestMeasureRegionCut(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		owner := f.ownerOf("agency")
		f.cut("r1", "r2", false)
		defer f.cut("r1", "r2", true)
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
				d := &demand{f: f, organisation: "agency"}
				d.run(ctx, 0.95*50/2, via)
				t.Logf("region %s, owner %s: %d of %d refused", region, owner, len(d.refused), d.asked)
			})
		}
	})
}
