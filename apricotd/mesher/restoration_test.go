package mesher

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

var (
	restoreSeeds     = flag.Uint64("restoreSeeds", 10, "number of seeds of TestRestorationsUnderChanges")
	firstRestoreSeed = flag.Uint64("firstRestoreSeed", 0, "first seed of TestRestorationsUnderChanges")
	// failedRestoreSeeds have failed before: 46, when an override ended in an outage; 39,
	// when a starting node took the copy before the current one for newer; 243, when
	// nodes that were cut off as they started never learned what had been removed; 787,
	// when a restored store was noticed only at its next change.
	failedRestoreSeeds = []uint64{46, 39, 243, 787}
)

// A restoration is one random run of changes, restorations and restarts.
type restoration struct {
	*fleet
	rng         *rand.Rand
	evacuateRNG *rand.Rand // of its own, so that the seeds that have failed draw what they drew

	isAway   bool      // the store is unavailable to all
	unstable time.Time // end of the last outage of the store

	mu          sync.Mutex
	version     uint64               // of the newest tables
	versionAt   time.Time            // when they were last written
	leftAt      map[string]time.Time // by VM, when the store has acknowledged that its server leaves
	isGone      map[string]bool      // by VM; the server has ended
	isReported  map[string]bool      // by VM; its node or its server has failed a check
	disturbedAt map[string]time.Time // by VM, when its node was last restarted, rejected by the store or isolated
	versions    map[*Node]uint64     // highest version seen on a node
	evacuatedAt map[string]time.Time // by data centre, when the operator has evacuated it; zero once taken back
	orderedAt   map[string]time.Time // by data centre, the operator's last write
}

// Guards against versions that fall, servers in use that have left, evacuations that are
// not in force or do not end, and nodes that disagree, under drawn schedules of changes, restorations, lost histories,
// rejected or isolated nodes and restarts.
func TestRestorationsUnderChanges(t *testing.T) {
	seeds := slices.Clone(failedRestoreSeeds)
	for n := range *restoreSeeds {
		seeds = append(seeds, *firstRestoreSeed+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runFleet(t, eightVMs, func(f *fleet) {
				r := &restoration{
					fleet: f, rng: rand.New(rand.NewPCG(seed, 22)), version: 1,
					leftAt: make(map[string]time.Time), isGone: make(map[string]bool), isReported: make(map[string]bool),
					disturbedAt: make(map[string]time.Time), versions: make(map[*Node]uint64),
					evacuateRNG: rand.New(rand.NewPCG(seed, 40)), evacuatedAt: make(map[string]time.Time), orderedAt: make(map[string]time.Time),
				}
				r.run()
			})
		})
	}
}

func (r *restoration) run() {
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
		r.act()
		if r.evacuateRNG.IntN(4) == 0 {
			r.changeEvacuation([]string{"north-2", "south-1"}[r.evacuateRNG.IntN(2)])
		}
		r.checkFor(time.Duration(50+r.rng.IntN(1500)) * time.Millisecond)
	}
	for _, m := range r.vms {
		r.store.SetRejected(m.address, false)
	}
	r.checkFor(7 * time.Second) // until all nodes are reached again
	r.checkFor(storeSettleTime + entryLifetime + inForceWithin)
	r.checkVersion(r.version)
	for name := range r.vms {
		for node, m := range r.vms {
			s, ok := m.node.syncer.List().Server(r.vms[name].worker.id)
			isUsed := ok && s.State == lister.Ready
			if want := r.leftAt[name].IsZero(); isUsed != want {
				r.t.Errorf("server of VM %s used by the node of VM %s at the end: got %t, want %t", name, node, isUsed, want)
			}
		}
	}
}

// vm returns the name of a random VM. Two VMs are left alone, so that each region
// keeps servers.
func (r *restoration) vm() string {
	names := []string{"a", "b", "c", "f", "g", "h"}
	return names[r.rng.IntN(len(names))]
}

// act makes one random change or causes one fault.
func (r *restoration) act() {
	name := r.vm()
	switch n := r.rng.IntN(20); {
	case n < 6:
		r.publishTables()
	case n < 10:
		r.changeServer(name)
	case n < 13:
		r.restoreStore()
	case n < 14:
		r.store.Compact()
	case n < 16:
		r.rejectNode(name)
	case n < 17:
		r.isolateNode(name)
	case n < 19:
		r.mark(name)
		r.restartNode(name)
		time.Sleep(20 * time.Millisecond)
	}
}

func (r *restoration) mark(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.After(r.disturbedAt[name]) {
		r.disturbedAt[name] = now
	}
}

func (r *restoration) publishTables() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version += 1 + r.rng.Uint64N(4)
	r.versionAt = time.Now()
	r.store.publishTables(baseTables(r.version))
}

// changeServer makes a server leave or start again under its id, or write what it
// has written before.
func (r *restoration) changeServer(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.leftAt[name].IsZero():
		if !r.isGone[name] {
			return
		}
		delete(r.leftAt, name)
		delete(r.isGone, name)
		r.vms[name].startedAt, r.vms[name].sequence = time.Now(), 0
		r.publishServer(name, lister.Ready)
	case r.rng.IntN(3) > 0:
		r.publishServer(name, lister.Ready)
	default:
		r.leftAt[name] = time.Now()
		r.publishServer(name, lister.Leaving)
		time.AfterFunc(3*time.Second, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.isGone[name] = true
			r.store.Delete(r.vms[name].worker.id)
		})
	}
}

// restoreStore restores the store. The operator and the servers write again what
// they have written since the copy was made, in random order; entries of servers
// that have ended expire.
func (r *restoration) restoreStore() {
	age := time.Duration(1+r.rng.IntN(9)) * time.Second
	unavailable := time.Duration(100+r.rng.IntN(2500)) * time.Millisecond
	r.isAway = true
	r.store.SetAway(true)
	r.checkFor(unavailable)
	r.mu.Lock()
	lost := r.store.Restore(age + unavailable)
	for _, item := range lost {
		if strings.HasPrefix(item.Key, evacuationPrefix) {
			continue
		}
		r.rewrite(item.Key, time.Duration(r.rng.Int64N(int64(rewriteTime))))
	}
	for name := range r.isGone {
		time.AfterFunc(entryLifetime, func() { r.expire(name) })
	}
	r.mu.Unlock()
	// Some write again before the nodes reach the store.
	r.checkFor(time.Duration(r.rng.IntN(300)) * time.Millisecond)
	r.store.SetAway(false)
	r.unstable, r.isAway = time.Now(), false
	// The nodes cannot tell an evacuation that the copy lacks from one that has ended
	// before they reached the restored store (docs/design/evacuation.md), so the operator
	// orders all again when they have reached it.
	for _, dataCentre := range slices.Sorted(maps.Keys(r.orderedAt)) {
		delay := rewriteTime/2 + time.Duration(r.evacuateRNG.Int64N(int64(rewriteTime/2)))
		time.AfterFunc(delay, func() { r.orderAgain(dataCentre) })
	}
}

// rewrite writes a lost key again after a delay, as its writer states it then.
func (r *restoration) rewrite(key string, delay time.Duration) {
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if key == tablesKey {
			r.versionAt = time.Now()
			r.store.publishTables(baseTables(r.version))
			return
		}
		for name, m := range r.vms {
			if m.worker.id == key && !r.isGone[name] {
				r.publishServer(name, m.state)
			}
		}
	})
}

// changeEvacuation evacuates a data centre or takes it back.
func (r *restoration) changeEvacuation(dataCentre string) {
	r.mu.Lock()
	if r.evacuatedAt[dataCentre].IsZero() {
		r.evacuatedAt[dataCentre] = time.Now()
	} else {
		r.evacuatedAt[dataCentre] = time.Time{}
	}
	r.mu.Unlock()
	r.orderAgain(dataCentre)
}

// orderAgain writes whether a data centre is evacuated.
func (r *restoration) orderAgain(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderedAt[dataCentre] = time.Now()
	if r.evacuatedAt[dataCentre].IsZero() {
		r.takeBack(dataCentre)
	} else {
		r.evacuate(dataCentre)
	}
}

// expire removes the entry of a server that has ended.
func (r *restoration) expire(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isGone[name] {
		r.store.Delete(r.vms[name].worker.id)
	}
}

// rejectNode makes the store reject the calls of a node for some time.
func (r *restoration) rejectNode(name string) {
	address := r.vms[name].address
	r.mark(name)
	r.store.SetRejected(address, true)
	time.AfterFunc(time.Duration(500+r.rng.IntN(4000))*time.Millisecond, func() {
		r.mark(name)
		r.store.SetRejected(address, false)
	})
}

// isolateNode cuts a node off from its peers for some time.
func (r *restoration) isolateNode(name string) {
	length := time.Duration(500+r.rng.IntN(6000)) * time.Millisecond
	r.mu.Lock()
	r.disturbedAt[name] = time.Now().Add(length)
	r.mu.Unlock()
	r.isolate(name)
	time.AfterFunc(length, func() {
		for _, m := range r.vms {
			r.network.Heal(r.vms[name].address, m.address)
		}
	})
}

// checkFor checks what must hold at any time, for the given time.
func (r *restoration) checkFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.check()
	}
}

func (r *restoration) check() {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	isStable := !r.isAway && now.Sub(r.unstable) > storeSettleTime
	for node, m := range r.vms {
		n := m.node
		if n.syncer == nil || !n.isReady() {
			continue
		}
		version := n.syncer.Versions().Tables
		if version < r.versions[n] {
			r.t.Errorf("version of the tables on VM %s: got %d after %d", node, version, r.versions[n])
		}
		r.versions[n] = version
		if !isStable || now.Sub(r.disturbedAt[node]) < storeSettleTime {
			continue
		}
		if version < r.version && now.Sub(r.versionAt) > inForceWithin && !r.isReported[node] {
			r.isReported[node] = true
			r.t.Errorf("version of the tables on VM %s: got %d, want %d, written %v ago", node, version, r.version, now.Sub(r.versionAt))
		}
		for dataCentre, at := range r.orderedAt {
			got, want := n.syncer.List().IsEvacuated(dataCentre), !r.evacuatedAt[dataCentre].IsZero()
			if got != want && now.Sub(at) > inForceWithin && !r.isReported[dataCentre] {
				r.isReported[dataCentre] = true
				r.t.Errorf("data centre %s on VM %s %v after the operator's last write: got evacuated %t, want %t", dataCentre, node, now.Sub(at), got, want)
			}
		}
		for name, at := range r.leftAt {
			s, ok := n.syncer.List().Server(r.vms[name].worker.id)
			if ok && s.State == lister.Ready && now.Sub(at) > inForceWithin && !r.isReported[name] {
				r.isReported[name] = true
				r.t.Errorf("server of VM %s on the list of VM %s %v after it has left: got state Ready", name, node, now.Sub(at))
			}
		}
	}
}
