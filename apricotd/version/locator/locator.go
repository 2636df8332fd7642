// Package locator holds the platform's list of VMs, indexed by id, pool and
// data centre, and ranks VMs by rendezvous hashing.
//
// A List is one version of the platform's list of live and leaving VMs. The
// platform's list is eventually consistent, so callers must tolerate VMs that
// are gone or have not started yet. A List is immutable and safe for concurrent
// use.
//
// # Usage
//
//	list, err := locator.New(version, vms)
//	for _, vm := range list.Pool("licensing") { ... }
//	parents := locator.Rank("parent/vm-1", list.Pool("licensing"))
//
// New costs O(n log n) in the number of VMs, and WithChanges a copy of the
// pointers. Rank costs O(n log n); callers should cache its result for each
// version.
package locator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
)

// States of a VM in the platform's list.
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
		Address    netip.AddrPort `json:"address"` // where the node accepts connections from peers
		State      State          `json:"state"`
	}

	// A List is one version of the platform's list.
	List struct {
		Version      uint64
		vms          []*VM // sorted by id
		byPool       map[string][]*VM
		byDataCentre map[string][]*VM
	}
)

// Validate returns an error if the row has no id, no address or an unknown
// state.
func (v VM) Validate() error {
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

// New returns the List of the given rows. It fails if a row is invalid or an id
// occurs more than once.
func New(version uint64, vms []VM) (*List, error) {
	ids := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if ids[vm.ID] {
			return nil, fmt.Errorf("check VM list: got vm %q twice, want it once", vm.ID)
		}
		ids[vm.ID] = true
	}
	return (&List{}).WithChanges(version, vms, nil)
}

// WithChanges returns the List of a later version, with the changed rows added or
// replaced and the removed ids deleted. It copies the pointers to all VMs, and
// costs O(pool + data centre) for each row.
func (l *List) WithChanges(version uint64, changed []VM, removed []string) (*List, error) {
	next := &List{
		Version:      version,
		vms:          slices.Clone(l.vms),
		byPool:       cloneIndex(l.byPool),
		byDataCentre: cloneIndex(l.byDataCentre),
	}
	if len(l.vms) == 0 {
		return next, next.addAll(changed)
	}
	for _, id := range removed {
		next.remove(id)
	}
	for i := range changed {
		vm := &changed[i]
		if err := vm.Validate(); err != nil {
			return nil, fmt.Errorf("check VM list: %w", err)
		}
		next.remove(vm.ID)
		next.vms = insert(next.vms, vm)
		next.byPool[vm.Pool] = insert(slices.Clone(next.byPool[vm.Pool]), vm)
		next.byDataCentre[vm.DataCentre] = insert(slices.Clone(next.byDataCentre[vm.DataCentre]), vm)
	}
	return next, nil
}

// addAll validates all rows and adds them to an empty list.
func (l *List) addAll(vms []VM) error {
	for i := range vms {
		if err := vms[i].Validate(); err != nil {
			return fmt.Errorf("check VM list: %w", err)
		}
		l.vms = append(l.vms, &vms[i])
	}
	slices.SortFunc(l.vms, compareID)
	for _, vm := range l.vms {
		l.byPool[vm.Pool] = append(l.byPool[vm.Pool], vm)
		l.byDataCentre[vm.DataCentre] = append(l.byDataCentre[vm.DataCentre], vm)
	}
	return nil
}

func (l *List) remove(id string) {
	vm, ok := l.find(id)
	if !ok {
		return
	}
	l.vms = deleteByID(l.vms, id)
	removeFromIndex(l.byPool, vm.Pool, id)
	removeFromIndex(l.byDataCentre, vm.DataCentre, id)
}

func removeFromIndex(index map[string][]*VM, name, id string) {
	rest := deleteByID(slices.Clone(index[name]), id)
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

func deleteByID(vms []*VM, id string) []*VM {
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

// VM returns the row of the VM with the id.
func (l *List) VM(id string) (VM, bool) {
	vm, ok := l.find(id)
	if !ok {
		return VM{}, false
	}
	return *vm, true
}

// VMs returns all rows sorted by id. The caller must not modify the result.
func (l *List) VMs() []*VM { return l.vms }

// Pool returns the VMs of a pool sorted by id. The caller must not modify the
// result.
func (l *List) Pool(name string) []*VM { return l.byPool[name] }

// DataCentre returns the VMs of a data centre sorted by id. The caller must not
// modify the result.
func (l *List) DataCentre(name string) []*VM { return l.byDataCentre[name] }

// DataCentres returns the sorted names of the data centres.
func (l *List) DataCentres() []string {
	return slices.Sorted(maps.Keys(l.byDataCentre))
}

// Rank returns the live VMs in the order given by rendezvous hashing on key.
// Every node computes the same order, and adding or removing a VM does not
// change the relative order of the others.
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

// Hash returns a uniformly distributed hash of key and id that is the same on
// every node.
func Hash(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return fmix64(h.Sum64())
}

// fmix64 is the MurmurHash3 finaliser. It is applied because the high bits of an
// FNV sum depend little on the last bytes hashed.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
