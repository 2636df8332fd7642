package policer

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
	// reportRecipients is the number of nodes in another region that receive a
	// demand report: the bucket owner, and those that may have taken over from it.
	reportRecipients = 3
	// maxCachedOrders bounds the cached candidate orders.
	maxCachedOrders = 1024
)

// A UsageReport is a demand report for one node of another region that owns a
// bucket or may have taken it over.
type UsageReport struct {
	Recipient netip.Addr
	Usage     *linkwire.Usage
}

// owner returns the node that owns an organisation's bucket in the local region.
// It returns false if every node is backed off or none is listed, or if this node
// is the owner but may be isolated, because it hears no other node of its region.
func (p *Policer) owner(organisation string) (netip.Addr, bool) {
	a, ok := p.ownerIn(p.Region, organisation)
	if !ok || a != p.Self {
		return a, ok
	}
	return a, p.List().VMCountIn(p.Region) == 1 || p.RegionSilence() < isolationTimeout
}

// ownerIn returns the first node in a region's candidate order that is not
// backed off.
func (p *Policer) ownerIn(region, organisation string) (netip.Addr, bool) {
	list := p.List()
	if list == nil {
		return netip.Addr{}, false
	}
	first := p.candidates(list, region, organisation, 1)
	if len(first) == 0 {
		return netip.Addr{}, false
	}
	return first[0], true
}

// candidates returns the first n nodes in a region's candidate order that are not
// backed off.
func (p *Policer) candidates(list *lister.List, region, organisation string, n int) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []netip.Addr
	for _, a := range p.candidateOrder(list, region, organisation) {
		if len(out) == n {
			break
		}
		if !p.isBackedOff(a, now) {
			out = append(out, a)
		}
	}
	return out
}

// candidateOrder returns all nodes of a region by descending rendezvous weight.
// The order is cached until the server list changes. p.mu must be held.
func (p *Policer) candidateOrder(list *lister.List, region, organisation string) []netip.Addr {
	if p.ordersList != list || len(p.orders) >= maxCachedOrders {
		p.ordersList, p.orders = list, make(map[regionOrganisation][]netip.Addr)
	}
	key := regionOrganisation{region, organisation}
	if out, ok := p.orders[key]; ok {
		return out
	}
	var out []netip.Addr
	for a := range list.Addresses {
		if list.RegionOf(a) == region {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b netip.Addr) int {
		return cmp.Compare(weight(b, organisation), weight(a, organisation))
	})
	p.orders[key] = out
	return out
}

// weight returns the rendezvous weight of a node for an organisation.
func weight(a netip.Addr, organisation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(organisation))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(a.String()))
	// The last input bytes hardly change the high bits of an FNV hash, so these
	// are mixed as in MurmurHash3.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// isBackedOff reports whether a node is excluded from owner selection. The
// back-off ends early once the node is heard again.
func (p *Policer) isBackedOff(a netip.Addr, now time.Time) bool {
	b, ok := p.backoffs[a]
	return ok && now.Before(b.until) && !p.LastHeard(a).After(b.since)
}

// ownsBucket reports whether this node owns an organisation's bucket, which it
// does if all nodes before it in the candidate order are unresponsive. It is not
// enough that the node which asks for tokens has backed off from them.
func (p *Policer) ownsBucket(organisation string) bool {
	list := p.List()
	if list == nil {
		return true
	}
	p.mu.Lock()
	nodes := p.candidateOrder(list, p.Region, organisation)
	p.mu.Unlock()
	for _, a := range nodes {
		if a == p.Self {
			return true
		}
		if !p.isUnresponsive(a, organisation) {
			return false
		}
	}
	return true // the list does not contain this node yet
}

// isUnresponsive reports whether a node has not been heard for takeoverTimeout
// although it was probed. It sends a probe if one is due.
func (p *Policer) isUnresponsive(owner netip.Addr, organisation string) bool {
	now, lastHeard := time.Now(), p.LastHeard(owner)
	p.mu.Lock()
	if p.probes == nil {
		p.probes = make(map[netip.Addr]ownerProbe)
	}
	probe := p.probes[owner]
	if probe.silentSince.IsZero() || lastHeard.After(probe.silentSince) {
		probe.silentSince = now
	}
	unresponsive := now.Sub(probe.silentSince) >= takeoverTimeout
	probeDue := now.Sub(probe.sentAt) >= ownerProbeInterval
	if probeDue {
		probe.sentAt = now
	}
	p.probes[owner] = probe
	p.mu.Unlock()
	if probeDue {
		go p.probe(owner, organisation)
	}
	return unresponsive
}

// probe asks a node for zero tokens. Any answer advances the time that LastHeard
// returns.
func (p *Policer) probe(owner netip.Addr, organisation string) {
	ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
	defer cancel()
	_, _ = p.Borrow(ctx, owner, &linkwire.Borrow{Organisation: organisation})
}

// startBackoff excludes a node that did not answer from owner selection. The
// duration doubles if the previous back-off ended less than maxBackoff ago.
func (p *Policer) startBackoff(a netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backoffs == nil {
		p.backoffs = make(map[netip.Addr]ownerBackoff)
	}
	old, now := p.backoffs[a], time.Now()
	duration := minBackoff
	if now.Sub(old.until) < maxBackoff {
		duration = min(maxBackoff, max(minBackoff, 2*old.duration))
	}
	p.backoffs[a] = ownerBackoff{since: now, until: now.Add(duration), duration: duration}
}

// UsageReports returns the demand of the buckets that this node owns, grouped by
// the nodes of other regions that are to receive it, and records it as reported.
func (p *Policer) UsageReports() []UsageReport {
	demands := p.ownedDemands()
	list := p.List()
	if list == nil || len(demands) == 0 {
		return nil
	}
	byRecipient := make(map[netip.Addr]*linkwire.Usage)
	for _, region := range list.Regions() {
		if region == p.Region {
			continue
		}
		for _, d := range demands {
			for _, recipient := range p.candidates(list, region, d.Organisation, reportRecipients) {
				if byRecipient[recipient] == nil {
					byRecipient[recipient] = &linkwire.Usage{Region: p.Region}
				}
				byRecipient[recipient].Demands = append(byRecipient[recipient].Demands, d)
			}
		}
	}
	out := make([]UsageReport, 0, len(byRecipient))
	for recipient, usage := range byRecipient {
		out = append(out, UsageReport{Recipient: recipient, Usage: usage})
	}
	return out
}

// ownedDemands returns the demand of the buckets that this node owns and records
// it as reported.
func (p *Policer) ownedDemands() []*linkwire.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []*linkwire.Demand
	for name, b := range p.buckets {
		b.reportedDemand = b.demandAt(now)
		if d := b.reportedDemand; d >= minReportedDemand {
			out = append(out, &linkwire.Demand{Organisation: name, Rate: float32(d)})
		}
	}
	return out
}
