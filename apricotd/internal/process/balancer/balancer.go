// Package balancer chooses the backend server for a request.
//
// It guarantees that a VM known to be leaving, suspected or already tried is
// not chosen, that the own data centre goes before the own region, and that
// another region is chosen only when the pool allows it for the request's
// class. Among equals it takes the less loaded of two random candidates, which
// spreads load almost as evenly as looking at all of them.
//
// # Usage
//
//	b := &balancer.Balancer{DataCentre: "ba-petrzalka", Region: "bratislava"}
//	b.SetList(list)
//	choice, ok := b.Choose(pool, checker.ClassHigh, tried)
//	defer choice.Done(feedback)
//
// A choice costs O(1) while most candidates are usable, O(pool) otherwise. The
// state is one record for each VM to which this node has sent a request.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/locator"
)

const (
	minSuspicion = 100 * time.Millisecond
	maxSuspicion = 5 * time.Second
	leavingFor   = 10 * time.Second
	// fullFor is how long a refusal for lack of room counts against a VM.
	fullFor = 50 * time.Millisecond
	// peerIdle is how long an unused peer is remembered.
	peerIdle = 2 * time.Minute
	tiers    = 3
)

// Kinds of feedback.
const (
	Served  Result = iota // the VM answered
	Full                  // the VM had no room
	Failed                // the VM could not be reached, or broke off
	Parting               // the VM is leaving
)

type (
	// A Result tells what came of a choice.
	Result int

	// Feedback is what the chosen VM said of its load.
	Feedback struct {
		Result   Result
		InFlight int
		Limit    int // 0: unknown
	}

	// A Choice is one chosen VM.
	Choice struct {
		VM    locator.VM
		class checker.Class
		b     *Balancer
		peer  *peer
	}

	// A Balancer remembers the load and failures of peers.
	Balancer struct {
		DataCentre string
		Region     string

		mu        sync.Mutex
		list      *locator.List
		pools     map[string]*[tiers][]*locator.VM
		peers     map[string]*peer
		nextSweep time.Time
	}

	peer struct {
		sent         int // requests that this node has in flight there
		reported     int // requests in flight there by its last report
		limit        int
		suspectUntil time.Time
		suspicion    time.Duration
		leavingUntil time.Time
		fullUntil    time.Time
		fullFor      checker.Class // the highest class that found no room
		lastUsed     time.Time
	}
)

// SetList puts a VM list in force.
func (b *Balancer) SetList(l *locator.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = l
	b.pools = make(map[string]*[tiers][]*locator.VM)
	b.sweep()
}

// Choose picks a VM of the pool. It reports false if none is usable.
func (b *Balancer) Choose(p *checker.Pool, class checker.Class, tried map[string]bool) (*Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list == nil {
		return nil, false
	}
	now := time.Now()
	for tier, vms := range b.tiersOf(p.Name) {
		if tier == tiers-1 && !mayCross(p.CrossRegion, class) {
			break
		}
		if vm, ok := b.chooseFrom(vms, tried, class, now); ok {
			peer := b.peer(vm.ID)
			peer.sent++
			peer.lastUsed = now
			return &Choice{VM: *vm, class: class, b: b, peer: peer}, true
		}
	}
	return nil, false
}

// Done records what came of the choice. It must be called once.
func (c *Choice) Done(f Feedback) {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	c.peer.sent--
	if f.Limit > 0 {
		c.peer.reported = f.InFlight
		c.peer.limit = f.Limit
	}
	switch f.Result {
	case Served:
		c.peer.suspicion = 0
		c.peer.suspectUntil = time.Time{}
	case Full:
		c.peer.suspicion = 0
		if !now.Before(c.peer.fullUntil) || c.class > c.peer.fullFor {
			c.peer.fullFor = c.class
		}
		c.peer.fullUntil = now.Add(fullFor)
	case Failed:
		c.peer.suspicion = min(max(2*c.peer.suspicion, minSuspicion), maxSuspicion)
		c.peer.suspectUntil = now.Add(c.peer.suspicion)
	case Parting:
		c.peer.leavingUntil = now.Add(leavingFor)
	}
}

func mayCross(rule checker.CrossRegion, class checker.Class) bool {
	switch rule {
	case checker.CrossRegionAlways:
		return true
	case checker.CrossRegionCritical:
		return class == checker.ClassCritical
	}
	return false
}

// tiersOf returns the pool's live VMs by distance.
func (b *Balancer) tiersOf(pool string) *[tiers][]*locator.VM {
	if t := b.pools[pool]; t != nil {
		return t
	}
	t := &[tiers][]*locator.VM{}
	for _, vm := range b.list.Pool(pool) {
		if vm.State != locator.Live {
			continue
		}
		i := b.distance(vm)
		t[i] = append(t[i], vm)
	}
	b.pools[pool] = t
	return t
}

func (b *Balancer) distance(vm *locator.VM) int {
	switch {
	case vm.DataCentre == b.DataCentre:
		return 0
	case vm.Region == b.Region:
		return 1
	}
	return tiers - 1
}

// chooseFrom takes the better of two random usable VMs.
func (b *Balancer) chooseFrom(vms []*locator.VM, tried map[string]bool, class checker.Class, now time.Time) (*locator.VM, bool) {
	first, ok := b.draw(vms, tried, class, now, "")
	if !ok {
		return nil, false
	}
	second, ok := b.draw(vms, tried, class, now, first.ID)
	if ok && b.load(second.ID) < b.load(first.ID) {
		return second, true
	}
	return first, true
}

// draw returns a random usable VM other than except. It starts at a random
// place and takes the first usable VM from there, so it always finds one if
// there is one.
func (b *Balancer) draw(vms []*locator.VM, tried map[string]bool, class checker.Class, now time.Time, except string) (*locator.VM, bool) {
	if len(vms) == 0 {
		return nil, false
	}
	start := rand.IntN(len(vms))
	for i := range vms {
		vm := vms[(start+i)%len(vms)]
		if vm.ID != except && !tried[vm.ID] && b.isUsable(vm.ID, class, now) {
			return vm, true
		}
	}
	return nil, false
}

// isUsable tells whether a VM may be tried. That a lower class found no room
// says nothing of the room for a higher one.
func (b *Balancer) isUsable(id string, class checker.Class, now time.Time) bool {
	p := b.peers[id]
	if p == nil {
		return true
	}
	isFull := now.Before(p.fullUntil) && class <= p.fullFor
	return !isFull && !now.Before(p.suspectUntil) && !now.Before(p.leavingUntil)
}

// load estimates how full a VM is. The VM's own report lags, so what this node
// has in flight there counts in full.
func (b *Balancer) load(id string) float64 {
	p := b.peers[id]
	if p == nil {
		return 0
	}
	return float64(max(p.sent, p.reported)+p.sent) / float64(max(p.limit, 1))
}

func (b *Balancer) peer(id string) *peer {
	if b.peers == nil {
		b.peers = make(map[string]*peer)
	}
	p := b.peers[id]
	if p == nil {
		p = &peer{}
		b.peers[id] = p
	}
	return p
}

// sweep forgets peers that have not been used for a while.
func (b *Balancer) sweep() {
	now := time.Now()
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(peerIdle)
	for id, p := range b.peers {
		if p.sent == 0 && now.Sub(p.lastUsed) > peerIdle {
			delete(b.peers, id)
		}
	}
}
