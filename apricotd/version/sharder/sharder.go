// Package sharder assigns shards to groups of VMs by consistent hashing.
//
// Every node computes the same group for a shard from the same version of the VM
// list, without coordination or stored state. A group has up to five members:
// three in the shard's home region, spread over at least two of its data centres
// if it has two, so that they form a majority without crossing regions, and two
// in other regions. A data centre has at most two members, so that a majority
// survives its loss. Both rules are relaxed if the fleet is too small for them.
//
// # Usage
//
//	s := sharder.New(list)
//	group := s.Group(sharder.ShardOf("organisation/studio-vah/0"))
//
// VMs are placed on a hash ring by the hash of their ids, so adding or removing a
// VM affects only the groups whose section of the ring contains it. New costs
// O(n log n) in the number of VMs, WithChanges a copy of the ring, and Group
// O(log n) on average.
package sharder

import (
	"cmp"
	"slices"
	"sort"
	"strconv"

	"apricotrudder.dev/apricotd/version/locator"
)

const (
	// Shards is the number of shards. It must be the same on all nodes, as part
	// of the peer protocol.
	Shards = 256
	// groupSize is the maximum number of members of a group.
	groupSize = 5
	// homeRegionMembers is the number of members in the shard's home region, the
	// region of the first VM on the ring at or after the shard's position.
	homeRegionMembers = 3
	maxPerDataCentre  = 2
	ringKey           = "ring"
)

type (
	// A Shard is a partition of the key space with a single owner at a time.
	Shard uint32

	// A Group is the set of VMs that vote on the owner of a shard.
	Group struct {
		Version uint64   // of the VM list from which it was computed
		Members []string // VM ids in order of preference as owner
	}

	// A Sharder computes the groups for one version of the VM list. It is
	// immutable and safe for concurrent use.
	Sharder struct {
		version uint64
		ring    []point
	}

	point struct {
		hash uint64
		vm   *locator.VM
	}
)

// New returns a Sharder for the live VMs of a list.
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

// WithChanges returns the Sharder for a later version of the list, given the ids
// of the VMs that were changed, added or removed.
func (s *Sharder) WithChanges(list *locator.List, changed []string) *Sharder {
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

// ShardOf returns the shard that a key belongs to.
func ShardOf(key string) Shard {
	return Shard(locator.Hash("shard", key) % Shards)
}

// Group returns the group of a shard, which has no members if the list has no
// live VMs.
func (s *Sharder) Group(shard Shard) Group {
	g := Group{Version: s.version}
	if len(s.ring) == 0 {
		return g
	}
	start := s.startIndex(shard)
	home := s.ring[start].vm.Region
	perDataCentre := make(map[string]int)
	s.walk(start, func(vm *locator.VM) bool {
		if vm.Region == home && perDataCentre[vm.DataCentre] < maxPerDataCentre {
			perDataCentre[vm.DataCentre]++
			g.Members = append(g.Members, vm.ID)
		}
		return len(g.Members) < homeRegionMembers
	})
	s.walk(start, func(vm *locator.VM) bool {
		if vm.Region != home && perDataCentre[vm.DataCentre] < maxPerDataCentre {
			perDataCentre[vm.DataCentre]++
			g.Members = append(g.Members, vm.ID)
		}
		return len(g.Members) < groupSize
	})
	s.fillRemaining(&g, start, perDataCentre)
	return g
}

// fillRemaining completes the group if the fleet has too few regions or data
// centres: first within maxPerDataCentre, then without that limit.
func (s *Sharder) fillRemaining(g *Group, start int, perDataCentre map[string]int) {
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

// startIndex returns the index of the first VM at or after the shard's position
// on the ring.
func (s *Sharder) startIndex(shard Shard) int {
	hash := locator.Hash("place", strconv.FormatUint(uint64(shard), 10))
	i := sort.Search(len(s.ring), func(i int) bool { return s.ring[i].hash >= hash })
	return i % len(s.ring)
}

// walk calls visit for the VMs of the ring in order, starting at an index, until
// visit returns false or all VMs have been visited.
func (s *Sharder) walk(start int, visit func(*locator.VM) bool) {
	for i := range s.ring {
		if !visit(s.ring[(start+i)%len(s.ring)].vm) {
			return
		}
	}
}

// Has reports whether the VM is a member.
func (g Group) Has(vm string) bool {
	return slices.Contains(g.Members, vm)
}

// Equal reports whether two groups have the same members in the same order.
func (g Group) Equal(other Group) bool {
	return slices.Equal(g.Members, other.Members)
}

// Majority returns the number of members that form a majority.
func (g Group) Majority() int {
	return len(g.Members)/2 + 1
}
