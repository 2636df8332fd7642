// Package balancer chooses the backend server for a request.
//
// It never chooses a VM that is known to be leaving, that is in backoff after a
// failure, or that has already been tried for the request. It prefers the node's
// own data centre, then the node's own region, and chooses another region only
// if the pool allows it for the request's class. Within a tier it takes the less
// loaded of two random candidates ("power of two choices"), which spreads load
// almost as evenly as comparing all of them.
//
// # Usage
//
//	b := &balancer.Balancer{DataCentre: "ba-petrzalka", Region: "bratislava"}
//	b.SetList(list)
//	choice, ok := b.Choose(pool, checker.ClassHigh, tried)
//	defer choice.Done(feedback)
//
// A choice costs O(1) while most candidates are usable and O(pool size)
// otherwise. The state is one record per VM to which this node has sent a
// request.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/locator"
)

const (
	// A VM that fails repeatedly is excluded for minBackoff, then for twice as
	// long after each further failure, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// leavingTimeout is how long a VM is excluded after it reported that it is
	// leaving.
	leavingTimeout = 10 * time.Second
	// fullTimeout is how long a VM that refused a request for lack of capacity
	// is excluded for requests of the same class and lower.
	fullTimeout = 50 * time.Millisecond
	// peerIdleTimeout is how long the state of an unused peer is kept.
	peerIdleTimeout = 2 * time.Minute
	// tierCount is the number of locality tiers: same data centre, same region,
	// other regions.
	tierCount = 3
)

// The results of a choice.
const (
	Served     Result = iota // the VM responded
	Overloaded               // the VM refused for lack of capacity
	Failed                   // the VM was unreachable or the connection broke
	Draining                 // the VM is draining
)

type (
	// A Result is the outcome of sending a request to the chosen VM.
	Result int

	// Feedback is the outcome of a choice and the load that the VM reported.
	Feedback struct {
		Result   Result
		InFlight int
		Limit    int // 0 if unknown
	}

	// A Choice is a VM chosen for one request.
	Choice struct {
		VM    locator.VM
		class checker.Class
		b     *Balancer
		peer  *peerState
	}

	// A Balancer chooses VMs by locality and by the load and failures that it
	// has recorded for them.
	Balancer struct {
		DataCentre string
		Region     string

		mu           sync.Mutex
		list         *locator.List
		pools        map[string]*[tierCount][]*locator.VM
		peers        map[string]*peerState
		nextEviction time.Time
	}

	peerState struct {
		inFlight         int // requests from this node
		reportedInFlight int // requests from all nodes, as last reported by the VM
		limit            int
		backoffUntil     time.Time
		backoff          time.Duration
		leavingUntil     time.Time
		fullUntil        time.Time
		fullClass        checker.Class // highest class refused for lack of capacity; valid until fullUntil
		lastUsed         time.Time
	}
)

// SetList replaces the VM list and evicts the state of idle peers.
func (b *Balancer) SetList(l *locator.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = l
	b.pools = make(map[string]*[tierCount][]*locator.VM)
	b.evictIdlePeers()
}

// Choose selects a VM of the pool. It returns false if none is usable.
func (b *Balancer) Choose(p *checker.Pool, class checker.Class, tried map[string]bool) (*Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list == nil {
		return nil, false
	}
	now := time.Now()
	for tier, vms := range b.poolTiers(p.Name) {
		if tier == tierCount-1 && !allowsCrossRegion(p.CrossRegion, class) {
			break
		}
		if vm, ok := b.chooseFromTier(vms, tried, class, now); ok {
			peer := b.stateOf(vm.ID)
			peer.inFlight++
			peer.lastUsed = now
			return &Choice{VM: *vm, class: class, b: b, peer: peer}, true
		}
	}
	return nil, false
}

// Done records the outcome of the choice. It must be called exactly once.
func (c *Choice) Done(f Feedback) {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	c.peer.inFlight--
	if f.Limit > 0 {
		c.peer.reportedInFlight = f.InFlight
		c.peer.limit = f.Limit
	}
	switch f.Result {
	case Served:
		c.peer.backoff = 0
		c.peer.backoffUntil = time.Time{}
	case Overloaded:
		c.peer.backoff = 0
		if !now.Before(c.peer.fullUntil) || c.class > c.peer.fullClass {
			c.peer.fullClass = c.class
		}
		c.peer.fullUntil = now.Add(fullTimeout)
	case Failed:
		c.peer.backoff = min(max(2*c.peer.backoff, minBackoff), maxBackoff)
		c.peer.backoffUntil = now.Add(c.peer.backoff)
	case Draining:
		c.peer.leavingUntil = now.Add(leavingTimeout)
	}
}

func allowsCrossRegion(policy checker.CrossRegion, class checker.Class) bool {
	switch policy {
	case checker.CrossRegionAlways:
		return true
	case checker.CrossRegionCritical:
		return class == checker.ClassCritical
	}
	return false
}

// poolTiers returns the pool's live VMs grouped by locality tier, nearest first.
func (b *Balancer) poolTiers(pool string) *[tierCount][]*locator.VM {
	if t := b.pools[pool]; t != nil {
		return t
	}
	t := &[tierCount][]*locator.VM{}
	for _, vm := range b.list.Pool(pool) {
		if vm.State != locator.Live {
			continue
		}
		i := b.tierOf(vm)
		t[i] = append(t[i], vm)
	}
	b.pools[pool] = t
	return t
}

func (b *Balancer) tierOf(vm *locator.VM) int {
	switch {
	case vm.DataCentre == b.DataCentre:
		return 0
	case vm.Region == b.Region:
		return 1
	}
	return tierCount - 1
}

// chooseFromTier returns the less loaded of two random usable VMs.
func (b *Balancer) chooseFromTier(vms []*locator.VM, tried map[string]bool, class checker.Class, now time.Time) (*locator.VM, bool) {
	first, ok := b.randomUsable(vms, tried, class, now, "")
	if !ok {
		return nil, false
	}
	second, ok := b.randomUsable(vms, tried, class, now, first.ID)
	if ok && b.load(second.ID) < b.load(first.ID) {
		return second, true
	}
	return first, true
}

// randomUsable returns a random usable VM other than exclude. It scans all VMs from
// a random index, so it finds one whenever there is one.
func (b *Balancer) randomUsable(vms []*locator.VM, tried map[string]bool, class checker.Class, now time.Time, exclude string) (*locator.VM, bool) {
	if len(vms) == 0 {
		return nil, false
	}
	start := rand.IntN(len(vms))
	for i := range vms {
		vm := vms[(start+i)%len(vms)]
		if vm.ID != exclude && !tried[vm.ID] && b.isUsable(vm.ID, class, now) {
			return vm, true
		}
	}
	return nil, false
}

// isUsable reports whether a request of the class may be sent to the VM. A VM that
// refused a lower class for lack of capacity may still accept a higher one.
func (b *Balancer) isUsable(id string, class checker.Class, now time.Time) bool {
	p := b.peers[id]
	if p == nil {
		return true
	}
	isFull := now.Before(p.fullUntil) && class <= p.fullClass
	return !isFull && !now.Before(p.backoffUntil) && !now.Before(p.leavingUntil)
}

// load returns an estimate of the VM's utilisation. The VM's own report lags, so
// the requests that this node has in flight there are added to it.
func (b *Balancer) load(id string) float64 {
	p := b.peers[id]
	if p == nil {
		return 0
	}
	return float64(max(p.inFlight, p.reportedInFlight)+p.inFlight) / float64(max(p.limit, 1))
}

func (b *Balancer) stateOf(id string) *peerState {
	if b.peers == nil {
		b.peers = make(map[string]*peerState)
	}
	p := b.peers[id]
	if p == nil {
		p = &peerState{}
		b.peers[id] = p
	}
	return p
}

// evictIdlePeers deletes the state of peers that have been idle for longer than
// peerIdleTimeout.
func (b *Balancer) evictIdlePeers() {
	now := time.Now()
	if now.Before(b.nextEviction) {
		return
	}
	b.nextEviction = now.Add(peerIdleTimeout)
	for id, p := range b.peers {
		if p.inFlight == 0 && now.Sub(p.lastUsed) > peerIdleTimeout {
			delete(b.peers, id)
		}
	}
}
