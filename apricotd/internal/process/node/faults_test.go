package node

import (
	"context"
	"flag"
	"math/rand/v2"
	"time"
)

// faultSeeds and firstSeed select the seeds of the fault injection tests.
var (
	faultSeeds = flag.Uint64("faultSeeds", 12, "number of seeds of the fault injection tests")
	firstSeed  = flag.Uint64("firstSeed", 0, "first seed of the fault injection tests")
)

// A faultInjector injects random faults into a fleet, up to two at a time.
type faultInjector struct {
	f *fleet
	r *rand.Rand
	// initial holds the VMs that run from the start, spareVMs those that may
	// be added later.
	initial  []string
	spareVMs []string
	undo     []func()
	killed   string
	// keepPlatform excludes stopping and freezing the platform.
	keepPlatform bool
	// beforeRestart is called for a killed VM before it is restarted.
	beforeRestart func(f *fleet, id string)
	trace         func(format string, args ...any)
}

// run injects faults until the context is done and then undoes all of them.
func (i *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		if len(i.undo) >= 2 || len(i.undo) > 0 && i.r.IntN(3) == 0 {
			i.undoOldest()
		} else {
			i.inject()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(200+i.r.IntN(4000)) * time.Millisecond):
		}
	}
	for len(i.undo) > 0 {
		i.undoOldest()
	}
}

func (i *faultInjector) undoOldest() {
	undo := i.undo[0]
	i.undo = i.undo[1:]
	undo()
}

func (i *faultInjector) tracef(format string, args ...any) {
	if i.trace != nil {
		i.trace(format, args...)
	}
}

func (i *faultInjector) inject() {
	switch i.r.IntN(11) {
	case 0:
		i.killVM(i.randomVM())
	case 1:
		i.cutNetwork(i.randomVM(), "all")
	case 2:
		i.cutNetwork("r1", "r2")
	case 3:
		i.cutNetwork("r1-d1", "all")
	case 4:
		i.cutNetwork(i.randomVM(), i.randomVM())
	case 5:
		if i.keepPlatform {
			return
		}
		i.tracef("stop platform")
		i.f.platform.Stop()
		i.undo = append(i.undo, func() { i.tracef("restart stopped platform"); i.f.platform.Restart() })
	case 6:
		if i.keepPlatform {
			return
		}
		i.tracef("freeze platform")
		i.f.platform.Freeze()
		i.undo = append(i.undo, func() { i.tracef("unfreeze platform"); i.f.platform.Restart() })
	case 7:
		i.delistVM()
	case 8:
		i.addVM()
	case 9:
		i.isolate([]string{"r1", "r2", i.randomVM()}[i.r.IntN(3)])
	case 10:
		i.cutNetwork(i.randomVM(), "platform")
	}
}

func (i *faultInjector) randomVM() string {
	return i.initial[i.r.IntN(len(i.initial))]
}

// killVM kills a VM. Undoing it restarts the VM without its earlier state. Only
// one VM is down at a time.
func (i *faultInjector) killVM(id string) {
	if i.killed != "" {
		return
	}
	i.killed = id
	i.tracef("kill %s", id)
	i.f.killVM(id)
	i.undo = append(i.undo, func() {
		i.tracef("restart %s", id)
		if i.beforeRestart != nil {
			i.beforeRestart(i.f, id)
		}
		i.f.restartVM(id)
		i.killed = ""
	})
}

func (i *faultInjector) cutNetwork(a, b string) {
	if a == b || i.killed != "" {
		return
	}
	i.tracef("cut %s %s", a, b)
	i.f.setReachable(a, b, false)
	i.undo = append(i.undo, func() {
		i.tracef("heal %s %s", a, b)
		i.f.setReachable(a, b, true)
	})
}

// isolate cuts a region or a VM off from all other VMs and from the platform.
func (i *faultInjector) isolate(group string) {
	if i.killed != "" {
		return
	}
	i.tracef("isolate %s", group)
	inside := make(map[string]bool)
	for _, a := range i.f.addressesOf(group) {
		inside[a.String()] = true
	}
	var outside []string
	for _, id := range i.f.ids() {
		if !inside[i.f.machines[id].address.String()] {
			outside = append(outside, id)
		}
	}
	for _, id := range append(outside, "platform") {
		i.f.setReachable(group, id, false)
	}
	i.undo = append(i.undo, func() {
		i.tracef("reconnect %s", group)
		for _, id := range append(outside, "platform") {
			i.f.setReachable(group, id, true)
		}
	})
}

// delistVM removes a running VM from the VM list. Undoing it lists the VM again.
func (i *faultInjector) delistVM() {
	id := i.randomVM()
	i.tracef("remove %s from VM list", id)
	i.f.setVMState(id, "gone")
	i.undo = append(i.undo, func() {
		i.tracef("add %s to VM list", id)
		i.f.setVMState(id, "gone")
		i.f.setVMState(id, "live")
	})
}

// addSpares creates VMs that are neither listed nor running yet.
func (f *fleet) addSpares(n int) []string {
	listed := len(f.listed)
	var ids []string
	for i := range n {
		ids = append(ids, f.addVM(1+i%2, 1+i/2%2, "spare", i))
	}
	f.listed = f.listed[:listed]
	return ids
}

// addVM lists and starts one of the spare VMs.
func (i *faultInjector) addVM() {
	if len(i.spareVMs) == 0 {
		return
	}
	id := i.spareVMs[0]
	i.spareVMs = i.spareVMs[1:]
	i.tracef("list and start %s", id)
	i.f.setVMState(id, "live")
	i.f.startVM(id)
}
