package rationer

import (
	"hash/fnv"
	"net/netip"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

// A Notice is what the keeper of another region is to hear.
type Notice struct {
	Keeper netip.Addr
	Usage  *linkwire.Usage
}

// keeper returns who keeps an organisation's bucket in the own region. A node
// that reaches less than half of its region keeps none.
func (r *Rationer) keeper(organisation string) (netip.Addr, bool) {
	a, ok := r.keeperIn(r.Region, organisation)
	if !ok || a != r.Self {
		return a, ok
	}
	linked, _, others := r.count()
	return a, 2*linked >= others
}

// answering returns the part of the region's nodes that this node need not
// take for cut off. The others admit their own equal parts.
func (r *Rationer) answering() float64 {
	_, silent, others := r.count()
	return 1 - float64(silent)/float64(others+1)
}

// count counts the other nodes of the region.
func (r *Rationer) count() (linked, silent, others int) {
	list := r.List()
	if list == nil {
		return 0, 0, 0
	}
	for a := range list.Addresses {
		if a == r.Self || list.Region(a) != r.Region {
			continue
		}
		others++
		isLinked, isSilent := r.State(a)
		if isLinked {
			linked++
		}
		if isSilent {
			silent++
		}
	}
	return linked, silent, others
}

// keeperIn returns the node of a region with the highest hash among those that
// have not failed to answer lately.
func (r *Rationer) keeperIn(region, organisation string) (netip.Addr, bool) {
	list := r.List()
	if list == nil {
		return netip.Addr{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeperLocked(list, region, organisation)
}

// isKeeperLinked tells whether the keeper in a region can be reached. It must
// be called with the lock held.
func (r *Rationer) isKeeperLinked(region, organisation string) bool {
	keeper, ok := r.keeperLocked(r.List(), region, organisation)
	if !ok {
		return false
	}
	linked, _ := r.State(keeper)
	return linked
}

func (r *Rationer) keeperLocked(list *lister.List, region, organisation string) (netip.Addr, bool) {
	now := time.Now()
	var best netip.Addr
	var highest uint64
	for a := range list.Addresses {
		if list.Region(a) != region || now.Before(r.avoided[a]) {
			continue
		}
		if h := weight(a, organisation); !best.IsValid() || h > highest {
			best, highest = a, h
		}
	}
	return best, best.IsValid()
}

func weight(a netip.Addr, organisation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(organisation))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(a.String()))
	// FNV's high bits change little with the last bytes; mix them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// avoid passes over a keeper that did not answer.
func (r *Rationer) avoid(a netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoided == nil {
		r.avoided = make(map[netip.Addr]time.Time)
	}
	r.avoided[a] = time.Now().Add(avoidFor)
}

// Notices returns the demand of the buckets that this node keeps, sorted by
// who keeps them in the other regions.
func (r *Rationer) Notices() []Notice {
	demands := r.kept()
	list := r.List()
	if list == nil || len(demands) == 0 {
		return nil
	}
	byKeeper := make(map[netip.Addr]*linkwire.Usage)
	for _, region := range list.Regions() {
		if region == r.Region {
			continue
		}
		for _, d := range demands {
			keeper, ok := r.keeperIn(region, d.Organisation)
			if !ok {
				continue
			}
			if byKeeper[keeper] == nil {
				byKeeper[keeper] = &linkwire.Usage{Region: r.Region}
			}
			byKeeper[keeper].Demands = append(byKeeper[keeper].Demands, d)
		}
	}
	out := make([]Notice, 0, len(byKeeper))
	for keeper, usage := range byKeeper {
		out = append(out, Notice{Keeper: keeper, Usage: usage})
	}
	return out
}

func (r *Rationer) kept() []*linkwire.Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []*linkwire.Demand
	for name, b := range r.buckets {
		b.told = b.demandAt(now)
		if d := b.told; d >= minDemand {
			out = append(out, &linkwire.Demand{Organisation: name, Rate: float32(d)})
		}
	}
	return out
}
