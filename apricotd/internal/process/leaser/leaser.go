// Package leaser decides which node owns a shard.
//
// It guarantees that at most one node at a time holds a shard, whatever VMs
// vanish, pause, restart or are cut off, and whatever versions of the VM list
// they act on. There is no group for operators to look after and nothing is
// written anywhere: the members of a shard's group follow from the VM list,
// and their promises live in memory.
//
// A node owns a shard while a majority of its group has vouched for it within
// the term of a lease, counted from when the owner asked. A member vouches for
// one owner at a time. Three rules keep owners of different groups apart:
//
//  1. Before its first lease, an owner collects the promise of a majority of
//     every group that may have had an owner since, to support no older group,
//     and waits until the leases that these members support have run out.
//     Promises lead from group to group, so none is overlooked.
//  2. After the wait it asks again; only members whose process is still the
//     same count, because a restarted process has forgotten its promise.
//  3. A restarted process vouches and promises only after it has heard from so
//     many other members that one of them knows what it may have forgotten,
//     and after the longest lease that it may have supported has run out.
//
// # Usage
//
//	l := &leaser.Leaser{Self: id, Process: process, Group: group, Peer: peer, Audit: audit}
//	term := l.Hold(shard)   // nil until the shard is owned
//	if term.IsValid() { ... }
//
// An owned shard costs a message to each of four members every renewal, for as
// long as somebody asks for it; an unused one costs nothing.
package leaser

import (
	"context"
	"slices"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

const (
	// term is how long an owner may act after it asked for support.
	term = 2 * time.Second
	// support is how long a member supports an owner after it vouched. The
	// difference covers clocks that run at different speeds.
	support = term + term/10
	// renewal is the interval at which an owner asks for support.
	renewal = 600 * time.Millisecond
	// askTimeout bounds one exchange with a member.
	askTimeout = 400 * time.Millisecond
	// idleFor is how long a shard is kept without being used.
	idleFor    = 30 * time.Second
	awaitPause = 3 * time.Millisecond
	// retryPause separates attempts to become owner.
	retryPause = 100 * time.Millisecond
	// forgottenAfter is how long a starting member waits for others before it
	// takes their silence on earlier owners for the truth.
	forgottenAfter = 10 * time.Second
	// goneAfter is how long a member must be off the VM list before an owner
	// does without it. Nodes that cannot show for staleLimit that their tables
	// are current do not act as owners, so no old owner is left by then.
	goneAfter  = 15 * time.Minute
	staleLimit = 10 * time.Minute
)

type (
	// A Leaser is one node's part in owning shards. Its exported fields must
	// be set before use.
	Leaser struct {
		Self    string // VM
		Process string // differs after every start
		// Group returns the group of a shard by the VM list in force; false
		// while the node cannot rely on its list.
		Group func(sharder.Shard) (sharder.Group, bool)
		// IsListed tells whether a VM stands on the VM list in force.
		IsListed func(vm string) bool
		// StaleFor returns for how long the node has not been able to show that
		// its list is current; 0 if it can.
		StaleFor func() time.Duration
		Peer     func(vm string) peerwireconnect.PeerServiceClient
		Audit    *auditor.Auditor
		// Replica keeps what owners store with their witnesses; nil: nothing.
		Replica Replica
		// OnEstablished spreads that a group has had an owner.
		OnEstablished func(sharder.Shard, sharder.Group)

		once    sync.Once
		ctx     context.Context
		stop    context.CancelFunc
		tasks   sync.WaitGroup
		started timekeeper.Moment

		mu     sync.Mutex
		shards map[sharder.Shard]*shard
	}

	// A Replica is what a member keeps for the owners of shards.
	Replica interface {
		// Claims returns what is kept for a shard.
		Claims(sharder.Shard) []*peerwire.ClaimRecord
		// Absorb adds what another member keeps.
		Absorb(sharder.Shard, []*peerwire.ClaimRecord)
		// Sync makes a majority of a group keep what this node keeps.
		Sync(ctx context.Context, id sharder.Shard, group sharder.Group) bool
	}

	// A Term is the uninterrupted ownership of a shard.
	Term struct {
		// Begun is when it began; nobody else has owned the shard since.
		Begun timekeeper.Moment

		leaser *Leaser
		shard  *shard
	}

	// A shard is what a node knows of one shard, as witness and as owner.
	shard struct {
		id sharder.Shard

		// As witness. The pending groups are those to which the node has given
		// its promise and that may have got an owner since the established
		// group; the newest group of all is the fence.
		learning     bool
		asking       bool // a task is learning
		pending      []sharder.Group
		established  sharder.Group
		owner        string
		ownerProcess string
		ownerGroup   sharder.Group
		ownerRound   uint64            // of the last vouch
		leaseBegun   timekeeper.Moment // of the last vouch; zero: none

		// As owner.
		tending  bool
		used     timekeeper.Moment
		asked    timekeeper.Moment // when the support in force was asked for
		round    uint64            // counts requests for support
		current  *Term
		released bool // gave up the lease in force
		ended    bool // another owner may have acted since
		endings  int  // counts how often ended was set
		// stuckSince is when promises began to be too few; zero: they are not.
		stuckSince timekeeper.Moment
		synced     bool // a majority keeps all that the owner does, since it prepared
	}
)

// Start prepares the leaser; its tasks end with Stop.
func (l *Leaser) Start() {
	l.once.Do(func() {
		l.ctx, l.stop = context.WithCancel(context.Background())
		l.started = timekeeper.Now()
		l.shards = make(map[sharder.Shard]*shard)
	})
}

// Stop gives up all shards and tells their members, so that other nodes can
// take over at once.
func (l *Leaser) Stop() {
	l.stop()
	l.tasks.Wait()
}

// Hold returns the present term of a shard, or nil while this node does not
// own it. In the latter case it begins to try, if it is a member of the group
// and supports no other owner.
func (l *Leaser) Hold(id sharder.Shard) *Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(id)
	s.used = timekeeper.Now()
	if t := s.current; t != nil && l.isValid(s, t) {
		return t
	}
	group, ok := l.Group(id)
	if !ok || !group.Has(l.Self) || l.ctx.Err() != nil {
		return nil
	}
	if owner, left := s.supported(); owner != "" && owner != l.Self && left > 0 {
		return nil
	}
	if !s.tending {
		s.tending = true
		l.tasks.Go(func() { l.tend(s) })
	}
	return nil
}

// Await is Hold for a caller that would rather wait a little than look
// elsewhere while this node is about to become owner.
func (l *Leaser) Await(ctx context.Context, id sharder.Shard, limit time.Duration) *Term {
	begun := timekeeper.Now()
	for {
		t := l.Hold(id)
		if t != nil || !l.isTending(id) || begun.Age() > limit || ctx.Err() != nil {
			return t
		}
		l.sleep(awaitPause)
	}
}

func (l *Leaser) isTending(id sharder.Shard) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shard(id).tending
}

// Owner returns the VM that this node supports as owner, or "".
func (l *Leaser) Owner(id sharder.Shard) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner, left := l.shard(id).supported()
	if left <= 0 {
		return ""
	}
	return owner
}

// IsValid tells whether the term lasts. It must be asked after the decision
// that depends on it has been made, because the process may have been paused
// in between.
func (t *Term) IsValid() bool {
	if t == nil {
		return false
	}
	t.leaser.mu.Lock()
	defer t.leaser.mu.Unlock()
	return t.leaser.isValid(t.shard, t)
}

// Store runs store if this node supports the owner. No later owner can be
// supported without being told what was stored: answers to candidates are made
// under the same lock.
func (l *Leaser) Store(id sharder.Shard, vm, process string, store func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(id)
	// A promise to a newer group ends the support for owners of older ones.
	own, ok := l.Group(id)
	if !ok || s.learning || s.owner != vm || s.ownerProcess != process || s.isOutdated(own) || s.isOutdated(s.ownerGroup) {
		return false
	}
	store()
	return true
}

// Members returns the group with which the owner of a shard stores.
func (l *Leaser) Members(id sharder.Shard) sharder.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shard(id).established
}

// Learn takes in that a group is known to have had an owner.
func (l *Leaser) Learn(id sharder.Shard, g sharder.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shard(id).establish(g)
}

func (l *Leaser) isValid(s *shard, t *Term) bool {
	if s.released || s.ended || t != s.current || s.asked.IsZero() || s.asked.Age() >= term {
		return false
	}
	// A member that has promised to support no older group than another one
	// must not act on the older one itself.
	group, ok := l.Group(s.id)
	return ok && !s.isOutdated(group) && l.StaleFor() < staleLimit
}

func (l *Leaser) shard(id sharder.Shard) *shard {
	s := l.shards[id]
	if s == nil {
		s = &shard{id: id, learning: true}
		l.shards[id] = s
	}
	return s
}

// supported returns the owner that the node vouched for and the time for which
// it still supports it.
func (s *shard) supported() (owner string, left time.Duration) {
	if s.leaseBegun.IsZero() {
		return s.owner, 0
	}
	return s.owner, support - s.leaseBegun.Age()
}

// fence returns the newest group that the node knows.
func (s *shard) fence() sharder.Group {
	newest := s.established
	for _, g := range s.pending {
		if g.Version > newest.Version {
			newest = g
		}
	}
	return newest
}

// isOutdated tells whether the node has promised to support no group as old as
// this one. The same members under another version are the same group.
func (s *shard) isOutdated(g sharder.Group) bool {
	fence := s.fence()
	return fence.Version > g.Version && !fence.IsSame(g)
}

// establish records that a group has had an owner. That owner has made sure
// that no older group has one, so older pending groups are settled.
func (s *shard) establish(g sharder.Group) {
	if g.Version <= s.established.Version {
		return
	}
	s.established = g
	s.pending = slices.DeleteFunc(s.pending, func(p sharder.Group) bool { return p.Version <= g.Version })
}

// addPending records a promise.
func (s *shard) addPending(g sharder.Group) {
	if g.Version <= s.established.Version || g.IsSame(s.fence()) {
		return
	}
	for _, p := range s.pending {
		if p.Version == g.Version {
			return
		}
	}
	s.pending = append(s.pending, g)
}

func wireGroup(g sharder.Group) *peerwire.Group {
	if g.Version == 0 {
		return nil
	}
	return &peerwire.Group{Version: g.Version, Members: g.Members}
}

// FromWire returns the group of a message; no group for nil.
func FromWire(g *peerwire.Group) sharder.Group {
	return sharder.Group{Version: g.GetVersion(), Members: g.GetMembers()}
}
