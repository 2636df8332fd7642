package leaser

import (
	"context"
	"fmt"
	"slices"
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

// prepare makes sure that no owner of another group acts any more.
func (l *Leaser) prepare(s *shard, group sharder.Group) bool {
	first, wait, ok := l.collect(s, group)
	if !ok {
		return false
	}
	if wait > 0 {
		l.sleep(wait + wait/10)
	}
	second, _, ok := l.collect(s, group)
	if !ok {
		return false
	}
	for version, before := range first {
		if countSame(before, second[version]) < before.needed {
			return false
		}
	}
	return len(first) == len(second)
}

// promises are the members of one group that gave their promise.
type promises struct {
	process map[string]string // by VM
	needed  int               // so many must still be the same processes at the end
}

// collect gets the promises of a majority of the owner's own group and of
// every group that may have had an owner, following their answers from group
// to group. It returns the longest time for which a member still supports
// another owner.
func (l *Leaser) collect(s *shard, group sharder.Group) (map[uint64]promises, time.Duration, bool) {
	collected := make(map[uint64]promises)
	var wait time.Duration
	due := l.basesOf(s, group)
	for len(due) > 0 && len(collected) < maxGroups {
		base := due[0]
		due = due[1:]
		if _, ok := collected[base.Version]; ok {
			continue
		}
		got := l.askFor(base, s, group, peerwire.WitnessKind_WITNESS_KIND_PROMISE)
		for _, r := range got {
			wait = max(wait, leaseLeft(r, l, got))
		}
		p, ok := l.promisesOf(s, base, got)
		if !ok {
			return nil, 0, false
		}
		collected[base.Version] = p
		found, ok := l.takeInAll(s, group, got)
		if !ok {
			return nil, 0, false
		}
		due = append(due, found...)
	}
	return collected, wait, len(due) == 0
}

// promisesOf returns the promises of a majority, or tells that there are too
// few. When too many members have forgotten what they promised, the promises
// of all of them stand in for those of a majority, but only after a wait: by
// then an owner that relied on a forgotten promise has told of itself. Members
// that have left the VM list count as gone only after a far longer time, which
// is longer than a node that is cut off may act on an old list.
func (l *Leaser) promisesOf(s *shard, base sharder.Group, got replies) (promises, bool) {
	granted := promises{process: make(map[string]string), needed: base.Majority()}
	all := promises{process: make(map[string]string)}
	gone := 0
	for _, vm := range base.Members {
		r := got[vm]
		switch {
		case r != nil:
			all.process[vm] = r.Process
			all.needed++
			if r.Granted {
				granted.process[vm] = r.Process
			}
		case !l.IsListed(vm):
			gone++
		}
	}
	if len(granted.process) >= granted.needed {
		return granted, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.stuckSince.IsZero() {
		s.stuckSince = timekeeper.Now()
	}
	stuck := s.stuckSince.Age()
	isComplete := len(all.process) == len(base.Members) && stuck > forgottenAfter
	isGone := len(all.process)+gone == len(base.Members) && stuck > goneAfter
	return all, isComplete || isGone
}

// basesOf returns the groups that are known at the beginning.
func (l *Leaser) basesOf(s *shard, group sharder.Group) []sharder.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	bases := []sharder.Group{group}
	for _, g := range append(slices.Clone(s.pending), s.established) {
		if isBase(g, group) {
			bases = append(bases, g)
		}
	}
	return bases
}

// takeInAll returns the groups that the answers lead to. It reports false if a
// member has promised itself to a newer group than this one.
func (l *Leaser) takeInAll(s *shard, group sharder.Group, got replies) ([]sharder.Group, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []sharder.Group
	for _, r := range got {
		for _, g := range append(r.Pending, r.Established) {
			known := FromWire(g)
			if known.Version > group.Version && !known.IsSame(group) {
				s.takeIn(r)
				return nil, false
			}
			if isBase(known, group) {
				found = append(found, known)
			}
		}
		s.establish(FromWire(r.Established))
	}
	return found, true
}

// isBase tells whether a group other than the owner's own may have an owner.
func isBase(g, own sharder.Group) bool {
	return g.Version > 0 && !g.IsSame(own)
}

// leaseLeft is the time for which a member still supports another owner. If
// that owner itself is among those that promised, it acts no longer.
func leaseLeft(r *peerwire.WitnessResponse, l *Leaser, got replies) time.Duration {
	if r.Owner == l.Self && r.OwnerProcess == l.Process {
		return 0
	}
	if owner := got[r.Owner]; owner != nil && owner.Granted && owner.Process == r.OwnerProcess {
		return 0
	}
	return r.LeaseLeft.AsDuration()
}

func countSame(before, after promises) int {
	n := 0
	for vm, process := range before.process {
		if after.process[vm] == process {
			n++
		}
	}
	return n
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

// sync makes a new group keep what the group before it kept. A group that has
// had an owner already keeps it: its majorities have a member in common.
func (l *Leaser) sync(s *shard, group sharder.Group) bool {
	if l.Replica == nil || s.synced.IsSame(group) {
		return true
	}
	l.mu.Lock()
	isKnown := s.established.IsSame(group)
	l.mu.Unlock()
	if !isKnown && !l.Replica.Sync(l.ctx, s.id, group) {
		return false
	}
	s.synced = group
	return true
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
