// Package sharder places shards on VMs.
//
// Every node computes the same group of VMs for a shard from the same version
// of the VM list; nobody decides it and it is stored nowhere. A group has up
// to five members: three in one region, in at least two of its data centres
// where there are two, so that a majority is reached without crossing regions,
// and two elsewhere. A data centre holds at most two members, so that its loss
// leaves a majority.
//
// # Usage
//
//	s := sharder.New(list)
//	group := s.Group(sharder.ShardOf("organisation/studio-vah/0"))
//
// New costs O(n log n) in the number of VMs, With a copy of the ring, and Group
// O(log n) on average. The
// VMs stand on a ring by the hash of their ids, so one VM more or less changes
// only the groups whose stretch of the ring it is on.
package sharder

import (
	"cmp"
	"slices"
	"sort"
	"strconv"

	"apricotrudder.dev/apricotd/version/locator"
)

const (
	// Shards is the number of shards. It is part of the protocol between nodes.
	Shards = 256
	// groupSize is the number of members of a group.
	groupSize = 5
	// homeMembers is the number of members in the shard's first region.
	homeMembers      = 3
	maxPerDataCentre = 2
	ringKey          = "ring"
)

type (
	// A Shard is a part of what is decided in one place.
	Shard uint32

	// A Group is the set of VMs that decide together who owns a shard.
	Group struct {
		Version uint64   // of the VM list from which it was computed
		Members []string // VM ids in the order in which they should own the shard
	}

	// A Sharder computes the groups of one version of the VM list.
	Sharder struct {
		version uint64
		ring    []point
	}

	point struct {
		hash uint64
		vm   *locator.VM
	}
)

// New prepares the ring of a VM list.
func New(list *locator.List) *Sharder {
	s := &Sharder{version: list.Version}
	for _, vm := range list.VMs() {
		if vm.State == locator.Live {
			s.ring = append(s.ring, pointOf(vm))
		}
	}
	slices.SortFunc(s.ring, comparePoints)
	return s
}

// With returns the Sharder of a later version of the list, given the ids of
// the VMs that changed, were added or were removed.
func (s *Sharder) With(list *locator.List, changed []string) *Sharder {
	next := &Sharder{version: list.Version, ring: slices.Clone(s.ring)}
	for _, id := range changed {
		at := point{hash: locator.Hash(ringKey, id), vm: &locator.VM{ID: id}}
		i, ok := slices.BinarySearchFunc(next.ring, at, comparePoints)
		if ok {
			next.ring = slices.Delete(next.ring, i, i+1)
		}
		if vm, listed := list.VM(id); listed && vm.State == locator.Live {
			next.ring = slices.Insert(next.ring, i, pointOf(&vm))
		}
	}
	return next
}

func pointOf(vm *locator.VM) point {
	return point{locator.Hash(ringKey, vm.ID), vm}
}

func comparePoints(a, b point) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm.ID, b.vm.ID))
}

// ShardOf returns the shard of a key.
func ShardOf(key string) Shard {
	return Shard(locator.Hash("shard", key) % Shards)
}

// Group returns the group of a shard. It has no members if the list has no
// live VMs.
func (s *Sharder) Group(shard Shard) Group {
	g := Group{Version: s.version}
	if len(s.ring) == 0 {
		return g
	}
	start := s.start(shard)
	home := s.ring[start].vm.Region
	perDataCentre := make(map[string]int)
	s.walk(start, func(vm *locator.VM) bool {
		if vm.Region == home && perDataCentre[vm.DataCentre] < maxPerDataCentre {
			perDataCentre[vm.DataCentre]++
			g.Members = append(g.Members, vm.ID)
		}
		return len(g.Members) < homeMembers
	})
	s.walk(start, func(vm *locator.VM) bool {
		if vm.Region != home && perDataCentre[vm.DataCentre] < maxPerDataCentre {
			perDataCentre[vm.DataCentre]++
			g.Members = append(g.Members, vm.ID)
		}
		return len(g.Members) < groupSize
	})
	s.fillUp(&g, start, perDataCentre)
	return g
}

// fillUp completes the group of a fleet in few places: first within the bound
// for a data centre, then beyond it.
func (s *Sharder) fillUp(g *Group, start int, perDataCentre map[string]int) {
	for _, bound := range []int{maxPerDataCentre, groupSize} {
		s.walk(start, func(vm *locator.VM) bool {
			if len(g.Members) < groupSize && perDataCentre[vm.DataCentre] < bound && !slices.Contains(g.Members, vm.ID) {
				perDataCentre[vm.DataCentre]++
				g.Members = append(g.Members, vm.ID)
			}
			return len(g.Members) < groupSize
		})
	}
}

func (s *Sharder) start(shard Shard) int {
	hash := locator.Hash("place", strconv.FormatUint(uint64(shard), 10))
	i := sort.Search(len(s.ring), func(i int) bool { return s.ring[i].hash >= hash })
	return i % len(s.ring)
}

// walk visits the ring once from a place while visit returns true.
func (s *Sharder) walk(start int, visit func(*locator.VM) bool) {
	for i := range s.ring {
		if !visit(s.ring[(start+i)%len(s.ring)].vm) {
			return
		}
	}
}

// Has tells whether the VM is a member.
func (g Group) Has(vm string) bool {
	return slices.Contains(g.Members, vm)
}

// IsSame tells whether two groups have the same members.
func (g Group) IsSame(other Group) bool {
	return slices.Equal(g.Members, other.Members)
}

// Majority is the number of members that decide.
func (g Group) Majority() int {
	return len(g.Members)/2 + 1
}
