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
	// learnInterval is how often a node looks for shards that it has to learn
	// about.
	learnInterval = time.Second
	// learnAtOnce bounds the shards that it learns about at the same time.
	learnAtOnce = 16
)

// Witness answers a member that wants this node's word.
func (l *Leaser) Witness(_ context.Context, r *peerwire.WitnessRequest) *peerwire.WitnessResponse {
	if r.Kind == peerwire.WitnessKind_WITNESS_KIND_VOUCH || r.Kind == peerwire.WitnessKind_WITNESS_KIND_PROMISE {
		l.startLearning(sharder.Shard(r.Shard))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(sharder.Shard(r.Shard))
	response := l.response(s)
	s.establish(FromWire(r.Established))
	group := FromWire(r.Group)
	switch r.Kind {
	case peerwire.WitnessKind_WITNESS_KIND_PROMISE:
		response.Granted = s.promise(group)
	case peerwire.WitnessKind_WITNESS_KIND_VOUCH:
		response.Granted = l.vouch(s, group, r)
	case peerwire.WitnessKind_WITNESS_KIND_RELEASE:
		response.Granted = s.release(r)
	}
	if response.Granted && r.Kind != peerwire.WitnessKind_WITNESS_KIND_RELEASE && r.Vm != l.Self {
		// Whoever has this node's word relies on it to act no longer.
		s.ended = true
		s.endings++
	}
	if r.WantClaims && l.Replica != nil {
		response.Claims = l.Replica.Claims(s.id)
	}
	return response
}

// response tells what the node knows before it answers.
func (l *Leaser) response(s *shard) *peerwire.WitnessResponse {
	owner, left := s.supported()
	if (s.released || s.ended) && owner == l.Self {
		left = 0
	}
	r := &peerwire.WitnessResponse{
		Process:      l.Process,
		Learning:     s.learning,
		Established:  wireGroup(s.established),
		Owner:        owner,
		OwnerProcess: s.ownerProcess,
		LeaseLeft:    durationpb.New(max(left, 0)),
	}
	for _, g := range s.pending {
		r.Pending = append(r.Pending, wireGroup(g))
	}
	return r
}

// promise gives the word to support no older group. A member that is learning
// gives it too, but is not counted.
func (s *shard) promise(g sharder.Group) bool {
	if s.isOutdated(g) {
		return false
	}
	s.addPending(g)
	return !s.learning
}

// vouch supports the sender as owner. Members support only owners of the group
// that they themselves compute, so that a member has learned of its group
// before it counts in it.
func (l *Leaser) vouch(s *shard, g sharder.Group, r *peerwire.WitnessRequest) bool {
	own, ok := l.Group(s.id)
	if !ok || !own.IsSame(g) || s.learning || s.isOutdated(g) {
		return false
	}
	isSame := s.owner == r.Vm && s.ownerProcess == r.Process
	if _, left := s.supported(); left > 0 && !isSame {
		return false
	}
	s.addPending(g)
	if !isSame {
		s.ownerRound = 0
	}
	s.owner = r.Vm
	s.ownerProcess = r.Process
	s.ownerRound = max(s.ownerRound, r.Round)
	s.ownerGroup = g
	s.leaseBegun = timekeeper.Now()
	return true
}

// release ends the support, unless the owner has asked for it again since.
func (s *shard) release(r *peerwire.WitnessRequest) bool {
	if s.owner != r.Vm || s.ownerProcess != r.Process || r.Round < s.ownerRound {
		return false
	}
	s.leaseBegun = timekeeper.Moment{}
	return true
}

// startLearning makes a restarted member learn what its earlier process may
// have promised.
func (l *Leaser) startLearning(id sharder.Shard) {
	l.mu.Lock()
	s := l.shard(id)
	isDue := s.learning && !s.asking && l.ctx.Err() == nil
	s.asking = s.asking || isDue
	l.mu.Unlock()
	if isDue {
		l.tasks.Go(func() { l.learn(s) })
	}
}

// LearnAll lets the node learn about every shard of whose group it is a member
// as soon as it can, until the context ends. A member that learns only when it
// is needed would have to find all others alive just then.
func (l *Leaser) LearnAll(ctx context.Context) {
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	for {
		l.learnRound()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *Leaser) learnRound() {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, learnAtOnce)
	for id := range sharder.Shard(sharder.Shards) {
		group, ok := l.Group(id)
		if !ok || l.ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		s := l.shards[id]
		isDue := group.Has(l.Self) && (s == nil || s.learning && !s.asking)
		if isDue {
			s = l.shard(id)
		}
		l.mu.Unlock()
		if !isDue {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			l.tryLearn(s)
			<-slots
		})
	}
}

// learn asks the other members until enough have answered.
func (l *Leaser) learn(s *shard) {
	for l.ctx.Err() == nil {
		if l.tryLearn(s) {
			return
		}
		l.sleep(retryPause)
	}
}

func (l *Leaser) tryLearn(s *shard) bool {
	group, ok := l.Group(s.id)
	if !ok || !group.Has(l.Self) {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.asking = false
		return true
	}
	replies := l.ask(group, s, peerwire.WitnessKind_WITNESS_KIND_ASK)
	l.mu.Lock()
	defer l.mu.Unlock()
	knowing, answered := 0, 0
	for vm, r := range replies {
		if vm == l.Self {
			continue
		}
		answered++
		s.takeIn(r)
		if !r.Learning {
			knowing++
		}
	}
	// A majority may have promised and the earlier process may have been one
	// of it, so the rest of that majority must be among those that know.
	enough := len(group.Members) - group.Majority() + 1
	if knowing < enough && !l.isFirst(s, group, answered) {
		return false
	}
	if l.started.Age() < support {
		return false
	}
	s.learning = false
	s.asking = false
	return true
}

// isFirst tells whether there is nothing to learn: all other members answer,
// and none of them, nor any peer, knows of an earlier owner. If one is known
// but too many members have forgotten their promises, the wait for
// forgottenAfter stands in for them: by then any owner that relied on the
// forgotten promises has told of itself.
func (l *Leaser) isFirst(s *shard, g sharder.Group, answered int) bool {
	if answered < len(g.Members)-1 {
		return false
	}
	return s.established.Version == 0 || l.started.Age() > forgottenAfter
}

// takeIn keeps what a member knows.
func (s *shard) takeIn(r *peerwire.WitnessResponse) {
	s.establish(FromWire(r.Established))
	for _, g := range r.Pending {
		s.addPending(FromWire(g))
	}
}
