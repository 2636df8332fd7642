// Package leaser decides which node owns a shard.
//
// At most one node at a time owns a shard, even when VMs fail, pause, restart or
// are partitioned, and when nodes use different versions of the VM list. There
// is no membership for operators to manage and no state on disk: the members of
// a shard's group are computed from the VM list, and promises and leases are
// kept in memory.
//
// A node owns a shard while a majority of the shard's group has granted it a
// lease, measured from the time at which the owner requested it. A member
// (witness) grants its lease to one owner at a time. A grant is called "vouch" in
// the protocol between nodes. Three rules prevent owners of different groups from
// overlapping:
//
//  1. Before its first lease, a candidate collects promises from a majority of
//     every group that may have had an owner since the last known one. A member
//     that promises grants no more leases to older groups. The candidate then
//     waits until the leases that these members have granted have expired.
//     Every member names the groups that it has promised, so following them
//     finds every group concerned.
//  2. After the wait, the candidate collects the promises again. It counts only
//     members whose process is unchanged, because a process that restarts loses
//     its promises.
//  3. A restarted process neither grants leases nor makes promises that count
//     until enough other members have responded that at least one of them knows
//     any promise it may have lost, and the longest lease it may have granted
//     has expired.
//
// # Usage
//
//	l := &leaser.Leaser{Self: id, Process: process, Group: group, Peer: peer, Audit: audit}
//	term := l.TryAcquire(shard) // nil unless this node owns the shard
//	if term.IsValid() { ... }
//
// An owned shard costs one message to each of the four other members per renewal
// while the shard is in use. An idle shard costs nothing.
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
	// leaseDuration is how long an owner may act after it requested the lease.
	leaseDuration = 2 * time.Second
	// grantDuration is how long a member honours a lease that it granted. It
	// exceeds leaseDuration to allow for clocks that run at different rates.
	grantDuration = leaseDuration + leaseDuration/10
	// renewInterval is the interval between lease renewals.
	renewInterval = 600 * time.Millisecond
	// witnessTimeout limits one round of Witness calls to the members of a
	// group.
	witnessTimeout = 400 * time.Millisecond
	// idleTimeout is how long a shard is kept after its last use.
	idleTimeout         = 30 * time.Second
	acquirePollInterval = 3 * time.Millisecond
	// retryInterval is the pause between attempts to become the owner, and
	// between attempts to learn.
	retryInterval = 100 * time.Millisecond
	// lostPromiseTimeout is how long a node waits before it proceeds without
	// promises that restarted members may have lost. By then, an owner that
	// relied on such a promise has announced its group.
	lostPromiseTimeout = 10 * time.Second
	// removedMemberTimeout is how long promises must have been too few before a
	// candidate proceeds without members that are no longer on the VM list.
	// Nodes that have been unable for maxStaleness to show that their VM list is
	// current do not act as owners, so no former owner is active by then.
	removedMemberTimeout = 15 * time.Minute
	maxStaleness         = 10 * time.Minute
)

type (
	// A Leaser acquires, renews and grants the leases of shards for one node.
	// Its exported fields must be set before use.
	Leaser struct {
		Self    string // VM id
		Process string // unique to each start of the process
		// Group returns the group of a shard according to the current VM list,
		// or false while the node cannot rely on its list.
		Group func(sharder.Shard) (sharder.Group, bool)
		// IsListed reports whether a VM is on the current VM list.
		IsListed func(vm string) bool
		// StaleFor returns how long the node has been unable to show that its
		// VM list is current, or 0 if it is able to.
		StaleFor func() time.Duration
		Peer     func(vm string) peerwireconnect.PeerServiceClient
		Audit    *auditor.Auditor
		// Replica holds the claims that owners store on the members; nil if
		// there are none.
		Replica Replica
		// OnEstablished announces to other nodes that a group has had an owner.
		OnEstablished func(sharder.Shard, sharder.Group)

		once      sync.Once
		ctx       context.Context
		stop      context.CancelFunc
		tasks     sync.WaitGroup
		startedAt timekeeper.Instant

		mu     sync.Mutex
		shards map[sharder.Shard]*shard
	}

	// A Replica holds the claims of shards that this node owns or witnesses.
	Replica interface {
		// Claims returns the claims held for a shard.
		Claims(sharder.Shard) []*peerwire.ClaimRecord
		// Merge merges the claims held by another member.
		Merge(sharder.Shard, []*peerwire.ClaimRecord)
		// Sync stores all claims that this node holds for a shard on a majority
		// of a group, and reports whether it succeeded.
		Sync(ctx context.Context, id sharder.Shard, group sharder.Group) bool
	}

	// A Term is a period of uninterrupted ownership of a shard.
	Term struct {
		// StartedAt is when the term started; no other node has owned the shard
		// since.
		StartedAt timekeeper.Instant

		leaser *Leaser
		shard  *shard
	}

	// A shard is the state of one shard on this node, as witness and as owner.
	shard struct {
		id sharder.Shard

		// State as witness. The pending groups are those that the node has
		// promised and that may have had an owner since the established group,
		// which is the newest group known to have had one. The newest of all
		// these groups is the fence.
		learning         bool // promises of an earlier process may still be unknown
		learnTaskRunning bool
		pending          []sharder.Group
		established      sharder.Group
		owner            string
		ownerProcess     string
		ownerGroup       sharder.Group
		ownerRound       uint64             // of the last lease granted
		grantedAt        timekeeper.Instant // of the last lease; zero: none

		// State as owner.
		maintaining     bool // a task runs maintainOwnership
		lastUsed        timekeeper.Instant
		requestedAt     timekeeper.Instant // when the current lease was requested
		round           uint64             // number of lease requests sent
		currentTerm     *Term
		released        bool // this node released the current lease
		superseded      bool // another owner may have acted since the current lease
		supersededCount int  // number of times superseded was set
		// promisesMissingSince is when the number of promises was first found
		// too low; zero if no shortage is known.
		promisesMissingSince timekeeper.Instant
		synced               bool // a majority stores all of this node's claims, since the last prepare
	}
)

// Start initializes the leaser. Stop ends its tasks.
func (l *Leaser) Start() {
	l.once.Do(func() {
		l.ctx, l.stop = context.WithCancel(context.Background())
		l.startedAt = timekeeper.Now()
		l.shards = make(map[sharder.Shard]*shard)
	})
}

// Stop releases all shards and notifies their members, so that other nodes can
// take over immediately.
func (l *Leaser) Stop() {
	l.mu.Lock()
	l.stop()
	l.mu.Unlock()
	l.tasks.Wait()
}

// beginTask counts a task that Stop must wait for. It returns false if Stop has been
// called. l.mu must be held, so that no task begins while Stop waits.
func (l *Leaser) beginTask() bool {
	if l.ctx.Err() != nil {
		return false
	}
	l.tasks.Add(1)
	return true
}

// TryAcquire returns the current term of a shard, or nil if this node does not
// own it. In that case it starts to acquire the shard in the background, if this
// node is a member of the group and has granted no other node a lease that is
// still valid.
func (l *Leaser) TryAcquire(id sharder.Shard) *Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(id)
	s.lastUsed = timekeeper.Now()
	if t := s.currentTerm; t != nil && l.isValid(s, t) {
		return t
	}
	group, ok := l.Group(id)
	if !ok || !group.Has(l.Self) || l.ctx.Err() != nil {
		return nil
	}
	if owner, remaining := s.grantedLease(); owner != "" && owner != l.Self && remaining > 0 {
		return nil
	}
	if !s.maintaining {
		s.maintaining = true
		l.tasks.Go(func() { l.maintainOwnership(s) })
	}
	return nil
}

// Acquire is like TryAcquire, but waits up to maxWait while this node is trying to
// become the owner.
func (l *Leaser) Acquire(ctx context.Context, id sharder.Shard, maxWait time.Duration) *Term {
	start := timekeeper.Now()
	for {
		t := l.TryAcquire(id)
		if t != nil || !l.isMaintaining(id) || start.Age() > maxWait || ctx.Err() != nil {
			return t
		}
		l.sleep(acquirePollInterval)
	}
}

func (l *Leaser) isMaintaining(id sharder.Shard) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shard(id).maintaining
}

// Owner returns the VM to which this node has granted its lease, or "".
func (l *Leaser) Owner(id sharder.Shard) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner, remaining := l.shard(id).grantedLease()
	if remaining <= 0 {
		return ""
	}
	return owner
}

// IsValid reports whether the term has not ended. It must be called after the
// decision that depends on it has been made, because the process may have been
// paused in between.
func (t *Term) IsValid() bool {
	if t == nil {
		return false
	}
	t.leaser.mu.Lock()
	defer t.leaser.mu.Unlock()
	return t.leaser.isValid(t.shard, t)
}

// Store calls write if the given process is the owner that this node last granted
// a lease, and reports whether it did. Responses to candidates are built under the
// same lock, so no later owner can be granted a lease without receiving what was
// written.
func (l *Leaser) Store(id sharder.Shard, vm, process string, write func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(id)
	// A promise to a newer group fences off the owners of older groups.
	own, ok := l.Group(id)
	if !ok || s.learning || s.owner != vm || s.ownerProcess != process || s.isOutdated(own) || s.isOutdated(s.ownerGroup) {
		return false
	}
	write()
	return true
}

// EstablishedGroup returns the newest group of a shard known to have had an owner.
// Owners store claims on its members.
func (l *Leaser) EstablishedGroup(id sharder.Shard) sharder.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shard(id).established
}

// RecordEstablished records that a group is known to have had an owner.
func (l *Leaser) RecordEstablished(id sharder.Shard, g sharder.Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shard(id).establish(g)
}

func (l *Leaser) isValid(s *shard, t *Term) bool {
	if s.released || s.superseded || t != s.currentTerm || s.requestedAt.IsZero() || s.requestedAt.Age() >= leaseDuration {
		return false
	}
	// A node that has promised a newer group must not itself act as the owner of
	// an older one.
	group, ok := l.Group(s.id)
	return ok && !s.isOutdated(group) && l.StaleFor() < maxStaleness
}

func (l *Leaser) shard(id sharder.Shard) *shard {
	s := l.shards[id]
	if s == nil {
		s = &shard{id: id, learning: true}
		l.shards[id] = s
	}
	return s
}

// grantedLease returns the owner to which the node last granted its lease, and the
// time until that lease expires.
func (s *shard) grantedLease() (owner string, remaining time.Duration) {
	if s.grantedAt.IsZero() {
		return s.owner, 0
	}
	return s.owner, grantDuration - s.grantedAt.Age()
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

// isOutdated reports whether the node has promised to grant no lease to groups as
// old as g. Groups with the same members are the same group, whatever their
// versions.
func (s *shard) isOutdated(g sharder.Group) bool {
	fence := s.fence()
	return fence.Version > g.Version && !fence.Equal(g)
}

// establish records that a group has had an owner. That owner has ensured that no
// older group has one, so older pending groups are dropped.
func (s *shard) establish(g sharder.Group) {
	if g.Version <= s.established.Version {
		return
	}
	s.established = g
	s.pending = slices.DeleteFunc(s.pending, func(p sharder.Group) bool { return p.Version <= g.Version })
}

// addPending records a promise to a group.
func (s *shard) addPending(g sharder.Group) {
	if g.Version <= s.established.Version || g.Equal(s.fence()) {
		return
	}
	for _, p := range s.pending {
		if p.Version == g.Version {
			return
		}
	}
	s.pending = append(s.pending, g)
}

func toWire(g sharder.Group) *peerwire.Group {
	if g.Version == 0 {
		return nil
	}
	return &peerwire.Group{Version: g.Version, Members: g.Members}
}

// fromWire returns the group of a message; the zero Group for nil.
func fromWire(g *peerwire.Group) sharder.Group {
	return sharder.Group{Version: g.GetVersion(), Members: g.GetMembers()}
}
