package leaser

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

const (
	// maxGroups bounds the chain of groups that an owner follows back.
	maxGroups = 16
	// straggler is how long an owner waits for further answers once it has
	// those of a majority.
	straggler = 30 * time.Millisecond
)

// replies are the answers of members, by VM.
type replies map[string]*peerwire.WitnessResponse

// tend tries to become and stay the owner of a shard until it is unused, the
// group has moved on, or another owner is supported.
func (l *Leaser) tend(s *shard) {
	defer l.giveUp(s)
	l.startLearning(s.id)
	var prepared sharder.Group
	for l.ctx.Err() == nil && !l.isUnused(s) {
		group, ok := l.Group(s.id)
		if !ok || !group.Has(l.Self) {
			return
		}
		if !prepared.IsSame(group) {
			if !l.prepare(s, group) {
				if l.isSupportingOther(s) {
					return
				}
				l.sleep(retryPause)
				continue
			}
			prepared = group
		}
		if l.renew(s, group) {
			l.sleep(renewal)
			continue
		}
		if l.isSupportingOther(s) {
			return
		}
		l.sleep(retryPause)
	}
}

// renew asks all members for support and reports whether a majority gave it.
func (l *Leaser) renew(s *shard, group sharder.Group) bool {
	asked := timekeeper.Now()
	l.mu.Lock()
	isOutdated := s.isOutdated(group)
	endings := s.endings
	l.mu.Unlock()
	if isOutdated {
		return false
	}
	got := l.ask(group, s, peerwire.WitnessKind_WITNESS_KIND_VOUCH)
	granted := 0
	for _, r := range got {
		if r.Granted {
			granted++
		}
	}
	if granted >= group.Majority() {
		return l.sync(s, group) && l.extend(s, group, asked, endings, got)
	}
	l.lose(s, group, granted)
	return false
}

// sync makes the group keep what the groups before it kept, once after every
// preparation: another group may have had an owner in between, even if this one
// had one before. Until the group is prepared anew, its majorities have a member
// in common.
func (l *Leaser) sync(s *shard, group sharder.Group) bool {
	if l.Replica == nil || s.synced {
		return true
	}
	s.synced = l.Replica.Sync(l.ctx, s.id, group)
	return s.synced
}

// extend records the support, unless this node has given its word to another
// owner since it asked.
func (l *Leaser) extend(s *shard, group sharder.Group, asked timekeeper.Moment, endings int, got replies) bool {
	l.mu.Lock()
	if s.endings != endings || s.isOutdated(group) {
		l.mu.Unlock()
		return false
	}
	isNew := !l.isContinued(s, got)
	isFirst := !s.established.IsSame(group)
	s.asked = asked
	s.released = false
	s.ended = false
	s.stuckSince = timekeeper.Moment{}
	if isNew {
		s.current = &Term{Begun: timekeeper.Now(), leaser: l, shard: s}
	}
	s.establish(group)
	l.mu.Unlock()
	if isNew {
		l.Audit.Record(auditor.Entry{Kind: auditor.LeaseGained, Subject: fmt.Sprintf("shard %d", s.id), Version: group.Version})
	}
	if isFirst && l.OnEstablished != nil {
		l.OnEstablished(s.id, group)
	}
	return true
}

// isContinued tells whether nobody else can have been the owner since this
// node last was: its lease has not run out, or each member of this majority
// last vouched for this process.
func (l *Leaser) isContinued(s *shard, got replies) bool {
	if s.current == nil || s.ended {
		return false
	}
	if !s.released && s.asked.Age() < term {
		return true
	}
	for _, r := range got {
		if r.Granted && (r.Owner != l.Self || r.OwnerProcess != l.Process) {
			return false
		}
	}
	return true
}

// lose gives back partial support, so that it does not keep another candidate
// waiting.
func (l *Leaser) lose(s *shard, group sharder.Group, granted int) {
	l.mu.Lock()
	isExpired := s.asked.IsZero() || s.asked.Age() >= term
	l.mu.Unlock()
	if isExpired && granted > 0 {
		l.ask(group, s, peerwire.WitnessKind_WITNESS_KIND_RELEASE)
	}
}

// giveUp ends the ownership and tells the members.
func (l *Leaser) giveUp(s *shard) {
	l.mu.Lock()
	s.tending = false
	owned := s.current != nil && !s.released
	s.released = true
	l.mu.Unlock()
	if !owned {
		return
	}
	l.Audit.Record(auditor.Entry{Kind: auditor.LeaseLost, Subject: fmt.Sprintf("shard %d", s.id)})
	if group, ok := l.Group(s.id); ok {
		l.ask(group, s, peerwire.WitnessKind_WITNESS_KIND_RELEASE)
	}
}

func (l *Leaser) isUnused(s *shard) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.used.Age() > idleFor
}

func (l *Leaser) isSupportingOther(s *shard) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner, left := s.supported()
	return left > 0 && (owner != l.Self || s.ownerProcess != l.Process)
}

// ask puts one question to all members of the owner's own group.
func (l *Leaser) ask(group sharder.Group, s *shard, kind peerwire.WitnessKind) replies {
	return l.askFor(group, s, group, kind)
}

// askFor puts one question about a group to all members of another and returns
// the answers that came in time.
func (l *Leaser) askFor(members sharder.Group, s *shard, group sharder.Group, kind peerwire.WitnessKind) replies {
	l.mu.Lock()
	if kind == peerwire.WitnessKind_WITNESS_KIND_VOUCH {
		s.round++
	}
	request := &peerwire.WitnessRequest{
		Round:       s.round,
		Shard:       uint32(s.id),
		Kind:        kind,
		Vm:          l.Self,
		Process:     l.Process,
		Group:       wireGroup(group),
		Established: wireGroup(s.established),
		// An owner whose term goes on has all claims already.
		WantClaims: s.current == nil || s.released || s.ended || s.asked.Age() >= term,
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), askTimeout)
	type answer struct {
		vm       string
		response *peerwire.WitnessResponse
	}
	answers := make(chan answer, len(members.Members))
	var wg sync.WaitGroup
	for _, vm := range members.Members {
		wg.Go(func() {
			r, err := l.askOne(ctx, vm, request)
			if err == nil {
				answers <- answer{vm, r}
			}
		})
	}
	l.tasks.Go(func() {
		wg.Wait()
		cancel()
		close(answers)
	})
	got := make(replies)
	granted := 0
	var enough <-chan time.Time
	for {
		select {
		case a, ok := <-answers:
			if !ok {
				return got
			}
			got[a.vm] = a.response
			if l.Replica != nil {
				l.Replica.Absorb(s.id, a.response.Claims)
			}
			if a.response.Granted {
				granted++
			}
			if granted == members.Majority() {
				enough = time.After(straggler)
			}
		case <-enough:
			// The others are not needed; they may be dead or far away.
			return got
		}
	}
}

func (l *Leaser) askOne(ctx context.Context, vm string, r *peerwire.WitnessRequest) (*peerwire.WitnessResponse, error) {
	if vm == l.Self {
		return l.Witness(ctx, r), nil
	}
	response, err := l.Peer(vm).Witness(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, fmt.Errorf("ask witness %s: %w", vm, err)
	}
	return response.Msg, nil
}

func (l *Leaser) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
	case <-timer.C:
	}
}
