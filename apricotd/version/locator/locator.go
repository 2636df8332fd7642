// Package locator knows which VMs exist and where they are.
//
// A List is one version of the platform's list of live and leaving VMs. The
// list lags behind the truth, so a List only says where to try: whoever acts
// on it must cope with VMs that are gone or have not started yet. A List never
// changes, so it may be shared between goroutines.
//
// # Usage
//
//	list, err := locator.New(version, vms)
//	for _, vm := range list.Pool("licensing") { ... }
//	holders := list.Rank("shard/12")[:5]
//
// Building a List costs O(n log n) in the number of VMs, a later version of it
// a copy of the pointers. Rank is O(n log n); callers keep its result for as
// long as the version lasts.
package locator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
)

// The states in which the platform lists a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

type (
	// A State is the platform's view of a VM.
	State string

	// A VM is one row of the platform's list: a backend server and its node.
	VM struct {
		ID         string         `json:"id"`
		Region     string         `json:"region"`
		DataCentre string         `json:"dataCentre"`
		Pool       string         `json:"pool"`
		Address    netip.AddrPort `json:"address"` // where the node serves its peers
		State      State          `json:"state"`
	}

	// A List is one version of the platform's list.
	List struct {
		Version uint64
		vms     []*VM // ordered by ID
		byPool  map[string][]*VM
		byDC    map[string][]*VM
	}
)

// Check tells what is wrong with the row, if anything.
func (v VM) Check() error {
	switch {
	case v.ID == "":
		return fmt.Errorf("vm without id: got \"\", want a name")
	case !v.Address.IsValid():
		return fmt.Errorf("vm %q: got no address, want an IP address and port", v.ID)
	case v.State != Live && v.State != Leaving:
		return fmt.Errorf("vm %q: got state %q, want live or leaving", v.ID, v.State)
	}
	return nil
}

// New builds a List. It fails on a row without id, address or known state, and
// on an id that stands twice.
func New(version uint64, vms []VM) (*List, error) {
	ids := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if ids[vm.ID] {
			return nil, fmt.Errorf("check VM list: got vm %q twice, want it once", vm.ID)
		}
		ids[vm.ID] = true
	}
	return (&List{}).With(version, vms, nil)
}

// With returns the List of a later version, in which some rows are changed or
// added and others removed. Its cost is that of copying the pointers to the
// VMs, and O(pool + data centre) for each row.
func (l *List) With(version uint64, changed []VM, removed []string) (*List, error) {
	next := &List{
		Version: version,
		vms:     slices.Clone(l.vms),
		byPool:  cloneIndex(l.byPool),
		byDC:    cloneIndex(l.byDC),
	}
	if len(l.vms) == 0 {
		return next, next.fill(changed)
	}
	for _, id := range removed {
		next.remove(id)
	}
	for i := range changed {
		vm := &changed[i]
		if err := vm.Check(); err != nil {
			return nil, fmt.Errorf("check VM list: %w", err)
		}
		next.remove(vm.ID)
		next.vms = insert(next.vms, vm)
		next.byPool[vm.Pool] = insert(slices.Clone(next.byPool[vm.Pool]), vm)
		next.byDC[vm.DataCentre] = insert(slices.Clone(next.byDC[vm.DataCentre]), vm)
	}
	return next, nil
}

// fill puts all rows into an empty list.
func (l *List) fill(vms []VM) error {
	for i := range vms {
		if err := vms[i].Check(); err != nil {
			return fmt.Errorf("check VM list: %w", err)
		}
		l.vms = append(l.vms, &vms[i])
	}
	slices.SortFunc(l.vms, compareID)
	for _, vm := range l.vms {
		l.byPool[vm.Pool] = append(l.byPool[vm.Pool], vm)
		l.byDC[vm.DataCentre] = append(l.byDC[vm.DataCentre], vm)
	}
	return nil
}

func (l *List) remove(id string) {
	vm, ok := l.find(id)
	if !ok {
		return
	}
	l.vms = without(l.vms, id)
	drop(l.byPool, vm.Pool, id)
	drop(l.byDC, vm.DataCentre, id)
}

func drop(index map[string][]*VM, name, id string) {
	rest := without(slices.Clone(index[name]), id)
	if len(rest) == 0 {
		delete(index, name)
		return
	}
	index[name] = rest
}

func cloneIndex(index map[string][]*VM) map[string][]*VM {
	if index == nil {
		return make(map[string][]*VM)
	}
	return maps.Clone(index)
}

func compareID(a, b *VM) int { return cmp.Compare(a.ID, b.ID) }

func search(vms []*VM, id string) (int, bool) {
	return slices.BinarySearchFunc(vms, id, func(vm *VM, id string) int { return cmp.Compare(vm.ID, id) })
}

func insert(vms []*VM, vm *VM) []*VM {
	i, _ := search(vms, vm.ID)
	return slices.Insert(vms, i, vm)
}

func without(vms []*VM, id string) []*VM {
	i, ok := search(vms, id)
	if !ok {
		return vms
	}
	return slices.Delete(vms, i, i+1)
}

func (l *List) find(id string) (*VM, bool) {
	i, ok := search(l.vms, id)
	if !ok {
		return nil, false
	}
	return l.vms[i], true
}

// VM returns the row of one VM.
func (l *List) VM(id string) (VM, bool) {
	vm, ok := l.find(id)
	if !ok {
		return VM{}, false
	}
	return *vm, true
}

// VMs returns all rows ordered by id, which must not be changed.
func (l *List) VMs() []*VM { return l.vms }

// Pool returns the VMs of a pool ordered by id, which must not be changed.
func (l *List) Pool(name string) []*VM { return l.byPool[name] }

// DataCentre returns the VMs of a data centre ordered by id, which must not be
// changed.
func (l *List) DataCentre(name string) []*VM { return l.byDC[name] }

// DataCentres returns the names of the data centres in order.
func (l *List) DataCentres() []string {
	return slices.Sorted(maps.Keys(l.byDC))
}

// Rank orders the live VMs by rendezvous hashing on key: every node computes
// the same order, and one VM more or less moves no other.
func Rank(key string, vms []*VM) []*VM {
	type scored struct {
		score uint64
		vm    *VM
	}
	ranked := make([]scored, 0, len(vms))
	for _, vm := range vms {
		if vm.State == Live {
			ranked = append(ranked, scored{Hash(key, vm.ID), vm})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	out := make([]*VM, len(ranked))
	for i, s := range ranked {
		out[i] = s.vm
	}
	return out
}

// Hash returns a number that is spread evenly over all values and is the same
// on every node.
func Hash(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV sum, whose high bits depend little on the
// last bytes hashed.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
