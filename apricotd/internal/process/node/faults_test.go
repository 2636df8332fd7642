package node

import (
	"context"
	"flag"
	"math/rand/v2"
	"time"
)

// faultSeeds and firstSeed choose the seeds that the tests under faults run.
var (
	faultSeeds = flag.Uint64("faultSeeds", 12, "number of seeds of the tests under faults")
	firstSeed  = flag.Uint64("firstSeed", 0, "first seed of the tests under faults")
)

// faults causes random faults in a fleet, up to two at a time.
type faults struct {
	f *fleet
	r *rand.Rand
	// core are the VMs that run at the start, spares may join.
	core   []string
	spares []string
	undo   []func()
	down   string
	// spared leaves the platform alone.
	spared bool
	// before is called for a killed VM before it is started anew.
	before func(f *fleet, id string)
	trace  func(format string, args ...any)
}

// run causes faults until the context ends and then mends them all.
func (x *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		if len(x.undo) >= 2 || len(x.undo) > 0 && x.r.IntN(3) == 0 {
			x.mend()
		} else {
			x.cause()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+x.r.IntN(4000)) * time.Millisecond):
		}
	}
	for len(x.undo) > 0 {
		x.mend()
	}
}

func (x *faults) mend() {
	undo := x.undo[0]
	x.undo = x.undo[1:]
	undo()
}

func (x *faults) log(format string, args ...any) {
	if x.trace != nil {
		x.trace(format, args...)
	}
}

func (x *faults) cause() {
	switch x.r.IntN(11) {
	case 0:
		x.vanish(x.victim())
	case 1:
		x.cut(x.victim(), "all")
	case 2:
		x.cut("r1", "r2")
	case 3:
		x.cut("r1-d1", "all")
	case 4:
		x.cut(x.victim(), x.victim())
	case 5:
		if x.spared {
			return
		}
		x.log("platform stops")
		x.f.tables.Stop()
		x.undo = append(x.undo, func() { x.log("platform back"); x.f.tables.Restart() })
	case 6:
		if x.spared {
			return
		}
		x.log("platform freezes")
		x.f.tables.Freeze()
		x.undo = append(x.undo, func() { x.log("platform current"); x.f.tables.Restart() })
	case 7:
		x.relist()
	case 8:
		x.join()
	case 9:
		x.isolate([]string{"r1", "r2", x.victim()}[x.r.IntN(3)])
	case 10:
		x.cut(x.victim(), "platform")
	}
}

func (x *faults) victim() string {
	return x.core[x.r.IntN(len(x.core))]
}

// vanish kills a VM and restarts it with nothing remembered.
func (x *faults) vanish(id string) {
	if x.down != "" {
		return
	}
	x.down = id
	x.log("kill %s", id)
	x.f.kill(id)
	x.undo = append(x.undo, func() {
		x.log("restart %s", id)
		if x.before != nil {
			x.before(x.f, id)
		}
		x.f.restart(id)
		x.down = ""
	})
}

func (x *faults) cut(a, b string) {
	if a == b || x.down != "" {
		return
	}
	x.log("cut %s %s", a, b)
	x.f.cut(a, b, false)
	x.undo = append(x.undo, func() {
		x.log("heal %s %s", a, b)
		x.f.cut(a, b, true)
	})
}

// isolate cuts a region or a VM from all others and from the platform.
func (x *faults) isolate(part string) {
	if x.down != "" {
		return
	}
	x.log("isolate %s", part)
	inside := make(map[string]bool)
	for _, a := range x.f.addresses(part) {
		inside[a.String()] = true
	}
	var outside []string
	for _, id := range x.f.ids() {
		if !inside[x.f.machine[id].address.String()] {
			outside = append(outside, id)
		}
	}
	for _, id := range append(outside, "platform") {
		x.f.cut(part, id, false)
	}
	x.undo = append(x.undo, func() {
		x.log("join %s again", part)
		for _, id := range append(outside, "platform") {
			x.f.cut(part, id, true)
		}
	})
}

// relist takes a VM out of the list for a while, although it runs.
func (x *faults) relist() {
	id := x.victim()
	x.log("delist %s", id)
	x.f.list(id, "gone")
	x.undo = append(x.undo, func() {
		x.log("list %s", id)
		x.f.list(id, "gone")
		x.f.list(id, "live")
	})
}

// spares prepares VMs that are not listed yet.
func (f *fleet) spares(n int) []string {
	listed := len(f.listed)
	var ids []string
	for i := range n {
		ids = append(ids, f.add(1+i%2, 1+i/2%2, "spare", i))
	}
	f.listed = f.listed[:listed]
	return ids
}

// join adds a VM that was not there before.
func (x *faults) join() {
	if len(x.spares) == 0 {
		return
	}
	id := x.spares[0]
	x.spares = x.spares[1:]
	x.log("join %s", id)
	x.f.list(id, "live")
	x.f.boot(id)
}
