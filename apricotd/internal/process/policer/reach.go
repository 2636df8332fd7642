package policer

import (
	"net/netip"
	"slices"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// reachSample is the number of nodes of the region from which a bucket owner
	// estimates which fraction of the region it reaches. They are the same as long as
	// the list is.
	reachSample = 32
	// ReachProbeInterval is how often ProbePeers must be called.
	ReachProbeInterval = 500 * time.Millisecond
	// reachFresh is how long a node counts as reached after a frame from it.
	reachFresh = time.Second
	// reachTimeout is how long a node may leave probes unanswered before it counts as
	// out of reach. It allows for two losses of one packet.
	reachTimeout = 800 * time.Millisecond
	// pressureTTL is how long after it has refused tokens a node goes on probing.
	pressureTTL = 2 * time.Second
	// absentTTL is how long after its entry has expired a VM may be one that is only cut
	// off.
	absentTTL = 30 * time.Second
	// reachCacheTTL is how long an estimate is used.
	reachCacheTTL = 100 * time.Millisecond
)

// A reachEstimate is the fraction of the region's nodes that this node reaches.
type reachEstimate struct {
	fraction    float64
	estimatedAt time.Time
	list        *lister.List
}

// ProbePeers probes nodes of the region that have not been heard for a while, if this
// node has refused tokens lately. Nodes out of reach may have formed a group with a
// bucket owner of its own, so this node must leave their part of the rate unused.
// Without refusals that makes no difference.
func (p *Policer) ProbePeers() {
	list := p.List()
	if list == nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	isPressed := now.Sub(p.refusedAt) < pressureTTL
	if !isPressed {
		clear(p.unanswered)
	}
	sample := p.reachSample(list)
	p.mu.Unlock()
	if !isPressed {
		return
	}
	for _, vm := range list.Absent() {
		if p.mayBeCutOff(vm, now) {
			sample = append(sample, vm.Address)
		}
	}
	for _, a := range sample {
		if a != p.Self && !p.isHeard(a, now) {
			p.Probe(a)
		}
	}
}

// mayBeCutOff reports whether an absent VM of the region may still admit requests.
func (p *Policer) mayBeCutOff(vm lister.AbsentVM, now time.Time) bool {
	return vm.Region == p.Region && now.Sub(vm.Since) < absentTTL
}

// isHeard reports whether a node has been heard lately. If not, it records since when
// the node has been probed.
func (p *Policer) isHeard(a netip.Addr, now time.Time) bool {
	isHeard := now.Sub(p.LastHeard(a)) < reachFresh
	p.mu.Lock()
	defer p.mu.Unlock()
	if isHeard {
		delete(p.unanswered, a)
		return true
	}
	if p.unanswered == nil {
		p.unanswered = make(map[netip.Addr]time.Time)
	}
	if _, isProbed := p.unanswered[a]; !isProbed {
		p.unanswered[a] = now
	}
	return false
}

// reachSample returns the nodes of the region that are probed. p.mu must be held.
func (p *Policer) reachSample(list *lister.List) []netip.Addr {
	order := p.candidateOrder(list, p.Region, p.Self.String())
	return slices.Clip(order[:min(reachSample, len(order))])
}

// reachableFraction returns the fraction of the region's nodes, absent VMs included,
// that are not known to be out of reach. Nodes out of reach admit requests from their
// fallback buckets or from the buckets of owners of their own, so the owner must leave
// their part of the rate unused. Nodes that refuse connections admit nothing. p.mu
// must be held.
func (p *Policer) reachableFraction() float64 {
	list, now := p.List(), time.Now()
	if list == nil || list.VMCountIn(p.Region) == 0 {
		return 1
	}
	if r := p.reach; r.list == list && now.Sub(r.estimatedAt) < reachCacheTTL {
		return r.fraction
	}
	listed, sample, silent := float64(list.VMCountIn(p.Region)), p.reachSample(list), 0
	for _, a := range sample {
		if a != p.Self && (p.isSilent(a, now) || p.IsUnreachable(a)) {
			silent++
		}
	}
	absent := 0.0
	for _, vm := range list.Absent() {
		if p.mayBeCutOff(vm, now) && p.isSilent(vm.Address, now) {
			absent++
		}
	}
	reached := listed * (1 - float64(silent)/float64(len(sample)))
	p.reach = reachEstimate{fraction: reached / (listed + absent), estimatedAt: now, list: list}
	return p.reach.fraction
}

// isSilent reports whether a node has left probes unanswered for a time and does not
// refuse connections. p.mu must be held.
func (p *Policer) isSilent(a netip.Addr, now time.Time) bool {
	since, isProbed := p.unanswered[a]
	return isProbed && now.Sub(since) >= reachTimeout && !p.IsDown(a)
}
