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
	// maxAbsentPart bounds the part of the rate that is left unused for absent VMs of a
	// list that has grown since.
	maxAbsentPart = 0.9
	// reachCacheTTL is how long an estimate is used.
	reachCacheTTL = 100 * time.Millisecond
)

// A reachEstimate counts the nodes of all regions that may admit requests, and those of
// the local region that this node may reach.
type reachEstimate struct {
	reached, total float64
	estimatedAt    time.Time
	list           *lister.List
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
	var absent []netip.Addr
	for _, region := range list.AbsentRegions() {
		vms, _ := p.absentSample(list, region, now)
		for _, vm := range vms {
			absent = append(absent, vm.Address)
		}
	}
	p.mu.Lock()
	p.recordLeft(absent, now)
	isPressed := now.Sub(p.refusedAt) < pressureTTL
	if !isPressed {
		clear(p.unanswered)
	}
	sample := append(p.reachSample(list), absent...)
	p.mu.Unlock()
	if !isPressed {
		return
	}
	for _, a := range sample {
		if a != p.Self && !p.isHeard(a, now) {
			p.Probe(a)
		}
	}
}

// absentSample returns those absent VMs of a region that are probed, and the number of
// absent VMs in the region, without those that have been absent for too long to be cut
// off.
func (p *Policer) absentSample(list *lister.List, region string, now time.Time) (sample []lister.AbsentVM, count int) {
	for _, vm := range list.AbsentIn(region) {
		if vm.Address == p.Self || now.Sub(vm.Since) >= lister.AbsentTTL {
			continue
		}
		if count++; count <= reachSample {
			sample = append(sample, vm)
		}
	}
	return sample, count
}

// recordLeft records which absent VMs have left: those that were heard although their
// entries were gone, so that they were not cut off, and that have then closed or refused
// a connection. Their addresses need not answer any more. p.mu must be held.
func (p *Policer) recordLeft(absent []netip.Addr, now time.Time) {
	left := make(map[netip.Addr]bool)
	for _, a := range absent {
		hasLeft, wasHeard := p.left[a]
		switch {
		case now.Sub(p.LastHeard(a)) < reachFresh:
			left[a] = false
		case wasHeard:
			left[a] = hasLeft || p.IsDown(a)
		}
	}
	p.left = left
}

// mayAdmit reports whether an absent VM may admit requests. That it is heard does not
// tell that it hears this node. p.mu must be held.
func (p *Policer) mayAdmit(a netip.Addr) bool {
	return !p.IsDown(a) && !p.left[a]
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

// nodesInReach returns the number of nodes of all regions that may admit requests,
// and the number of those in the local region that are not known to be out of reach.
// Nodes out of reach admit requests from their fallback buckets or from the buckets of
// owners of their own, so the owner must leave their part of the rate unused. Absent VMs
// count as out of reach. Nodes that refuse connections admit nothing. p.mu must be held.
func (p *Policer) nodesInReach(list *lister.List, now time.Time) (reached, total float64) {
	if r := p.reach; r.list == list && now.Sub(r.estimatedAt) < reachCacheTTL {
		return r.reached, r.total
	}
	sample, silent := p.reachSample(list), 0
	for _, a := range sample {
		if a != p.Self && (p.isSilent(a, now) || p.IsUnreachable(a)) {
			silent++
		}
	}
	if len(sample) > 0 {
		reached = float64(list.VMCountIn(p.Region)) * (1 - float64(silent)/float64(len(sample)))
	}
	total = p.nodesThatMayAdmit(list, now)
	p.reach = reachEstimate{reached: reached, total: total, estimatedAt: now, list: list}
	return reached, total
}

// nodesThatMayAdmit returns the number of listed nodes and of absent VMs that may admit
// requests. If the list has grown since, absent VMs count for more than one, so that they
// have the part of the rate that they have by the list of that time, which theirs may
// still be. p.mu must be held.
func (p *Policer) nodesThatMayAdmit(list *lister.List, now time.Time) float64 {
	listed, absent, partThen := float64(list.VMCount()), 0.0, 0.0
	for _, region := range list.AbsentRegions() {
		vms, count := p.absentSample(list, region, now)
		for _, vm := range vms {
			if !p.mayAdmit(vm.Address) {
				continue
			}
			weight := float64(count) / float64(len(vms))
			absent += weight
			if vm.From > 0 {
				partThen += weight / float64(vm.From)
			}
		}
	}
	return max(listed+absent, listed/(1-min(partThen, maxAbsentPart)))
}

// isSilent reports whether a node has left probes unanswered for a time and does not
// refuse connections. p.mu must be held.
func (p *Policer) isSilent(a netip.Addr, now time.Time) bool {
	since, isProbed := p.unanswered[a]
	return isProbed && now.Sub(since) >= reachTimeout && !p.IsDown(a)
}
