package rationer

import (
	"cmp"
	"context"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// keepersTold is the number of nodes in another region that hear of demand:
	// the keeper, and those that may have taken over from it.
	keepersTold = 3
	// maxOrders bounds the orders of keepers that are remembered.
	maxOrders = 1024
)

// A Notice is what the keeper of another region is to hear.
type Notice struct {
	Keeper netip.Addr
	Usage  *linkwire.Usage
}

// keeper returns who keeps an organisation's bucket in the own region. A node
// that does not hear its region keeps none.
func (r *Rationer) keeper(organisation string) (netip.Addr, bool) {
	a, ok := r.keeperIn(r.Region, organisation)
	if !ok || a != r.Self {
		return a, ok
	}
	return a, r.List().NodesIn(r.Region) == 1 || r.Silence() < keeperSilence
}

// answering returns the part of the region's nodes that this node need not
// take for cut off. The others admit their own equal parts.
func (r *Rationer) answering() float64 {
	list := r.List()
	if list == nil || list.NodesIn(r.Region) == 0 {
		return 1
	}
	silent := 0
	for a := range list.Addresses {
		if a != r.Self && list.Region(a) == r.Region && r.IsSilent(a) {
			silent++
		}
	}
	return 1 - float64(silent)/float64(list.NodesIn(r.Region))
}

// keeperIn returns the node of a region with the highest hash among those that
// have not failed to answer lately.
func (r *Rationer) keeperIn(region, organisation string) (netip.Addr, bool) {
	list := r.List()
	if list == nil {
		return netip.Addr{}, false
	}
	best := r.candidates(list, region, organisation, 1)
	if len(best) == 0 {
		return netip.Addr{}, false
	}
	return best[0], true
}

// candidates returns the first nodes in the order of keepers.
func (r *Rationer) candidates(list *lister.List, region, organisation string, n int) []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []netip.Addr
	for _, a := range r.order(list, region, organisation) {
		if len(out) == n {
			break
		}
		if !r.isAvoided(a, now) {
			out = append(out, a)
		}
	}
	return out
}

// order returns all nodes of a region in the order of keepers. It is sorted once
// for each list; the lock must be held.
func (r *Rationer) order(list *lister.List, region, organisation string) []netip.Addr {
	if r.ordered != list || len(r.orders) >= maxOrders {
		r.ordered, r.orders = list, make(map[regionOrganisation][]netip.Addr)
	}
	about := regionOrganisation{region, organisation}
	if out, ok := r.orders[about]; ok {
		return out
	}
	var out []netip.Addr
	for a := range list.Addresses {
		if list.Region(a) == region {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b netip.Addr) int {
		return cmp.Compare(weight(b, organisation), weight(a, organisation))
	})
	r.orders[about] = out
	return out
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

// isAvoided tells whether a keeper is passed over. It is not any more once it is
// heard again.
func (r *Rationer) isAvoided(a netip.Addr, now time.Time) bool {
	avoided, ok := r.avoided[a]
	return ok && now.Before(avoided.until) && !r.Heard(a).After(avoided.since)
}

// isKeeper tells whether this node, which is asked for tokens, keeps the bucket:
// all that go before it have given no sign of life for a while. That the asking
// node has passed them over is not enough.
func (r *Rationer) isKeeper(organisation string) bool {
	list := r.List()
	if list == nil {
		return true
	}
	r.mu.Lock()
	nodes := r.order(list, r.Region, organisation)
	r.mu.Unlock()
	for _, a := range nodes {
		if a == r.Self {
			return true
		}
		if !r.isUnresponsive(a, organisation) {
			return false
		}
	}
	return true // the list does not name this node yet
}

// isUnresponsive tells whether a node that goes before this one has been asked for a
// sign of life and has given none for a while.
func (r *Rationer) isUnresponsive(keeper netip.Addr, organisation string) bool {
	now, heard := time.Now(), r.Heard(keeper)
	r.mu.Lock()
	if r.doubted == nil {
		r.doubted = make(map[netip.Addr]doubt)
	}
	d := r.doubted[keeper]
	if d.since.IsZero() || heard.After(d.since) {
		d.since = now
	}
	silent := now.Sub(d.since) >= takeOverAfter
	asks := now.Sub(d.asked) >= askInterval
	if asks {
		d.asked = now
	}
	r.doubted[keeper] = d
	r.mu.Unlock()
	if asks {
		go r.askForSign(keeper, organisation)
	}
	return silent
}

// askForSign wants nothing but an answer, which Heard will tell.
func (r *Rationer) askForSign(keeper netip.Addr, organisation string) {
	ctx, cancel := context.WithTimeout(context.Background(), takeOverAfter)
	defer cancel()
	_, _ = r.Borrow(ctx, keeper, &linkwire.Borrow{Organisation: organisation})
}

// avoid passes over a keeper that did not answer.
func (r *Rationer) avoid(a netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoided == nil {
		r.avoided = make(map[netip.Addr]avoidance)
	}
	old, now := r.avoided[a], time.Now()
	span := avoidFor
	if now.Sub(old.until) < maxAvoid {
		span = min(maxAvoid, max(avoidFor, 2*old.span))
	}
	r.avoided[a] = avoidance{since: now, until: now.Add(span), span: span}
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
			for _, keeper := range r.candidates(list, region, d.Organisation, keepersTold) {
				if byKeeper[keeper] == nil {
					byKeeper[keeper] = &linkwire.Usage{Region: r.Region}
				}
				byKeeper[keeper].Demands = append(byKeeper[keeper].Demands, d)
			}
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
