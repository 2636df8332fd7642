package leaser

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

const (
	// learnInterval is how often the node checks for shards that it still has to
	// learn.
	learnInterval = time.Second
	// learnConcurrency limits the number of shards learned at the same time.
	learnConcurrency = 16
)

// Witness handles the request of a candidate or owner to a member of a group.
func (l *Leaser) Witness(_ context.Context, r *peerwire.WitnessRequest) *peerwire.WitnessResponse {
	if r.Kind == peerwire.WitnessKind_WITNESS_KIND_VOUCH || r.Kind == peerwire.WitnessKind_WITNESS_KIND_PROMISE {
		l.startLearning(sharder.Shard(r.Shard))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(sharder.Shard(r.Shard))
	response := l.newResponse(s)
	s.establish(fromWire(r.Established))
	group := fromWire(r.Group)
	switch r.Kind {
	case peerwire.WitnessKind_WITNESS_KIND_PROMISE:
		response.Granted = s.promise(group)
	case peerwire.WitnessKind_WITNESS_KIND_VOUCH:
		response.Granted = l.grantLease(s, group, r)
	case peerwire.WitnessKind_WITNESS_KIND_RELEASE:
		response.Granted = s.release(r)
	}
	if response.Granted && r.Kind != peerwire.WitnessKind_WITNESS_KIND_RELEASE && r.Vm != l.Self {
		// The sender relies on this node no longer acting as owner.
		s.superseded = true
		s.supersededCount++
	}
	if r.WantClaims && l.Replica != nil {
		response.Claims = l.Replica.Claims(s.id)
	}
	return response
}

// newResponse returns the node's state before the request is applied.
func (l *Leaser) newResponse(s *shard) *peerwire.WitnessResponse {
	owner, remaining := s.grantedLease()
	if (s.released || s.superseded) && owner == l.Self {
		remaining = 0
	}
	r := &peerwire.WitnessResponse{
		Process:      l.Process,
		Learning:     s.learning,
		Established:  toWire(s.established),
		Owner:        owner,
		OwnerProcess: s.ownerProcess,
		LeaseLeft:    durationpb.New(max(remaining, 0)),
	}
	for _, g := range s.pending {
		r.Pending = append(r.Pending, toWire(g))
	}
	return r
}

// promise promises to grant no lease to groups older than g. A member that is
// learning also records the promise, but it is not counted.
func (s *shard) promise(g sharder.Group) bool {
	if s.isOutdated(g) {
		return false
	}
	s.addPending(g)
	return !s.learning
}

// grantLease grants the lease to the sender. Members grant leases only to owners of
// the group that they compute themselves, so that a member knows of its group
// before its grant counts.
func (l *Leaser) grantLease(s *shard, g sharder.Group, r *peerwire.WitnessRequest) bool {
	own, ok := l.Group(s.id)
	if !ok || !own.Equal(g) || s.learning || s.isOutdated(g) {
		return false
	}
	isSameOwner := s.owner == r.Vm && s.ownerProcess == r.Process
	if _, remaining := s.grantedLease(); remaining > 0 && !isSameOwner {
		return false
	}
	s.addPending(g)
	if !isSameOwner {
		s.ownerRound = 0
	}
	s.owner = r.Vm
	s.ownerProcess = r.Process
	s.ownerRound = max(s.ownerRound, r.Round)
	s.ownerGroup = g
	s.grantedAt = timekeeper.Now()
	return true
}

// release ends the sender's lease, unless the sender has requested it again since.
func (s *shard) release(r *peerwire.WitnessRequest) bool {
	if s.owner != r.Vm || s.ownerProcess != r.Process || r.Round < s.ownerRound {
		return false
	}
	s.grantedAt = timekeeper.Instant{}
	return true
}

// startLearning starts to learn, after a restart, what an earlier process of this
// node may have promised.
func (l *Leaser) startLearning(id sharder.Shard) {
	l.mu.Lock()
	s := l.shard(id)
	shouldStart := s.learning && !s.learnTaskRunning && l.ctx.Err() == nil
	s.learnTaskRunning = s.learnTaskRunning || shouldStart
	shouldStart = shouldStart && l.beginTask()
	l.mu.Unlock()
	if shouldStart {
		go func() {
			defer l.tasks.Done()
			l.learn(s)
		}()
	}
}

// LearnAll learns every shard of whose group this node is a member, as soon as
// possible, until the context ends. If a member learned a shard only on request,
// all others would have to be up at that moment.
func (l *Leaser) LearnAll(ctx context.Context) {
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	for {
		l.learnAllOnce()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *Leaser) learnAllOnce() {
	l.mu.Lock()
	begun := l.beginTask()
	l.mu.Unlock()
	if !begun {
		return
	}
	defer l.tasks.Done()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, learnConcurrency)
	for id := range sharder.Shard(sharder.Shards) {
		group, ok := l.Group(id)
		if !ok || l.ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		s := l.shards[id]
		shouldLearn := group.Has(l.Self) && (s == nil || s.learning && !s.learnTaskRunning)
		if shouldLearn {
			s = l.shard(id)
		}
		l.mu.Unlock()
		if !shouldLearn {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			l.tryLearn(s)
			<-slots
		})
	}
}

// learn queries the other members until enough have responded.
func (l *Leaser) learn(s *shard) {
	for l.ctx.Err() == nil {
		if l.tryLearn(s) {
			return
		}
		l.sleep(retryInterval)
	}
}

func (l *Leaser) tryLearn(s *shard) bool {
	group, ok := l.Group(s.id)
	if !ok || !group.Has(l.Self) {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.learnTaskRunning = false
		return true
	}
	responses := l.broadcast(group, s, peerwire.WitnessKind_WITNESS_KIND_ASK)
	l.mu.Lock()
	defer l.mu.Unlock()
	learned, answered := 0, 0
	for vm, r := range responses {
		if vm == l.Self {
			continue
		}
		answered++
		s.merge(r)
		if !r.Learning {
			learned++
		}
	}
	// An earlier process of this node may have been part of a majority that
	// promised. Any set of this many other members includes another member of
	// that majority.
	required := len(group.Members) - group.Majority() + 1
	if learned < required && !l.canSkipQuorum(s, group, answered) {
		return false
	}
	if l.startedAt.Age() < grantDuration {
		return false
	}
	s.learning = false
	s.learnTaskRunning = false
	return true
}

// canSkipQuorum reports whether a shard counts as learned although too few members
// have finished learning: all other members responded and neither they nor any
// peer know of an earlier owner. If an owner is known but too many members have
// lost their promises, lostPromiseTimeout must have passed: by then, an owner that
// relied on the lost promises has announced its group.
func (l *Leaser) canSkipQuorum(s *shard, g sharder.Group, answered int) bool {
	if answered < len(g.Members)-1 {
		return false
	}
	return s.established.Version == 0 || l.startedAt.Age() > lostPromiseTimeout
}

// merge merges what another member knows into s.
func (s *shard) merge(r *peerwire.WitnessResponse) {
	s.establish(fromWire(r.Established))
	for _, g := range r.Pending {
		s.addPending(fromWire(g))
	}
}
