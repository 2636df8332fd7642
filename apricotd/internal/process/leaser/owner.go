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
	// maxGroups limits the number of groups that one preparation visits.
	maxGroups = 16
	// stragglerWait is how long a broadcast waits for further responses once a
	// majority has granted the request.
	stragglerWait = 30 * time.Millisecond
)

// A responseMap holds the responses of members by VM.
type responseMap map[string]*peerwire.WitnessResponse

// maintainOwnership acquires the lease of a shard and renews it until the shard is
// idle, this node is no longer in the group, or it has granted another node a
// lease.
func (l *Leaser) maintainOwnership(s *shard) {
	defer l.relinquish(s)
	l.startLearning(s.id)
	var prepared sharder.Group
	for l.ctx.Err() == nil && !l.isIdle(s) {
		group, ok := l.Group(s.id)
		if !ok || !group.Has(l.Self) {
			return
		}
		if !prepared.Equal(group) {
			if !l.prepare(s, group) {
				if l.hasGrantedOther(s) {
					return
				}
				l.sleep(retryInterval)
				continue
			}
			prepared = group
		}
		if l.renewLease(s, group) {
			l.sleep(renewInterval)
			continue
		}
		if l.hasGrantedOther(s) {
			return
		}
		l.sleep(retryInterval)
	}
}

// renewLease requests the lease from all members and reports whether a majority
// granted it.
func (l *Leaser) renewLease(s *shard, group sharder.Group) bool {
	requestedAt := timekeeper.Now()
	l.mu.Lock()
	isOutdated := s.isOutdated(group)
	supersededCount := s.supersededCount
	l.mu.Unlock()
	if isOutdated {
		return false
	}
	responses := l.broadcast(group, s, peerwire.WitnessKind_WITNESS_KIND_VOUCH)
	granted := 0
	for _, r := range responses {
		if r.Granted {
			granted++
		}
	}
	if granted >= group.Majority() {
		return l.syncReplica(s, group) && l.extendLease(s, group, requestedAt, supersededCount, responses)
	}
	l.releasePartial(s, group, granted)
	return false
}

// syncReplica stores the claims of earlier groups on a majority of this one, once
// after every preparation: another group may have had an owner in between, even if
// this group had one before. Until the next preparation, once is enough, because
// any two majorities of the group have a member in common.
func (l *Leaser) syncReplica(s *shard, group sharder.Group) bool {
	if l.Replica == nil || s.synced {
		return true
	}
	s.synced = l.Replica.Sync(l.ctx, s.id, group)
	return s.synced
}

// extendLease records the lease that a majority granted, unless this node has made
// a promise or granted a lease to another node since requestedAt.
func (l *Leaser) extendLease(s *shard, group sharder.Group, requestedAt timekeeper.Instant, supersededCount int, responses responseMap) bool {
	l.mu.Lock()
	if s.supersededCount != supersededCount || s.isOutdated(group) {
		l.mu.Unlock()
		return false
	}
	isNewTerm := !l.isUninterrupted(s, responses)
	isNewGroup := !s.established.Equal(group)
	s.requestedAt = requestedAt
	s.released = false
	s.superseded = false
	s.promisesMissingSince = timekeeper.Instant{}
	if isNewTerm {
		s.currentTerm = &Term{StartedAt: timekeeper.Now(), leaser: l, shard: s}
	}
	s.establish(group)
	l.mu.Unlock()
	if isNewTerm {
		l.Audit.Record(auditor.Entry{Kind: auditor.LeaseGained, Subject: fmt.Sprintf("shard %d", s.id), Version: group.Version})
	}
	if isNewGroup && l.OnEstablished != nil {
		l.OnEstablished(s.id, group)
	}
	return true
}

// isUninterrupted reports whether no other node can have owned the shard since this
// node last did: its lease has not expired, or every member of this majority last
// granted its lease to this process.
func (l *Leaser) isUninterrupted(s *shard, responses responseMap) bool {
	if s.currentTerm == nil || s.superseded {
		return false
	}
	if !s.released && s.requestedAt.Age() < leaseDuration {
		return true
	}
	for _, r := range responses {
		if r.Granted && (r.Owner != l.Self || r.OwnerProcess != l.Process) {
			return false
		}
	}
	return true
}

// releasePartial releases the leases that a minority granted, so that they do not
// delay another candidate.
func (l *Leaser) releasePartial(s *shard, group sharder.Group, granted int) {
	l.mu.Lock()
	isExpired := s.requestedAt.IsZero() || s.requestedAt.Age() >= leaseDuration
	l.mu.Unlock()
	if isExpired && granted > 0 {
		l.broadcast(group, s, peerwire.WitnessKind_WITNESS_KIND_RELEASE)
	}
}

// relinquish ends the ownership and notifies the members.
func (l *Leaser) relinquish(s *shard) {
	l.mu.Lock()
	s.maintaining = false
	wasOwner := s.currentTerm != nil && !s.released
	s.released = true
	l.mu.Unlock()
	if !wasOwner {
		return
	}
	l.Audit.Record(auditor.Entry{Kind: auditor.LeaseLost, Subject: fmt.Sprintf("shard %d", s.id)})
	if group, ok := l.Group(s.id); ok {
		l.broadcast(group, s, peerwire.WitnessKind_WITNESS_KIND_RELEASE)
	}
}

func (l *Leaser) isIdle(s *shard) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.lastUsed.Age() > idleTimeout
}

func (l *Leaser) hasGrantedOther(s *shard) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner, remaining := s.grantedLease()
	return remaining > 0 && (owner != l.Self || s.ownerProcess != l.Process)
}

// broadcast sends a request about a group to all its members.
func (l *Leaser) broadcast(group sharder.Group, s *shard, kind peerwire.WitnessKind) responseMap {
	return l.broadcastTo(group, s, group, kind)
}

// broadcastTo sends a request about one group to all members of another and
// returns the responses that arrived in time.
func (l *Leaser) broadcastTo(members sharder.Group, s *shard, group sharder.Group, kind peerwire.WitnessKind) responseMap {
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
		Group:       toWire(group),
		Established: toWire(s.established),
		// An owner with a valid lease already has all claims.
		WantClaims: s.currentTerm == nil || s.released || s.superseded || s.requestedAt.Age() >= leaseDuration,
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), witnessTimeout)
	type result struct {
		vm       string
		response *peerwire.WitnessResponse
	}
	results := make(chan result, len(members.Members))
	var wg sync.WaitGroup
	for _, vm := range members.Members {
		wg.Go(func() {
			r, err := l.sendWitness(ctx, vm, request)
			if err == nil {
				results <- result{vm, r}
			}
		})
	}
	l.tasks.Go(func() {
		wg.Wait()
		cancel()
		close(results)
	})
	responses := make(responseMap)
	granted := 0
	var stragglerTimer <-chan time.Time
	for {
		select {
		case r, ok := <-results:
			if !ok {
				return responses
			}
			responses[r.vm] = r.response
			if l.Replica != nil {
				l.Replica.Merge(s.id, r.response.Claims)
			}
			if r.response.Granted {
				granted++
			}
			if granted == members.Majority() {
				stragglerTimer = time.After(stragglerWait)
			}
		case <-stragglerTimer:
			// The remaining members are not needed and may be down or in a distant
			// region.
			return responses
		}
	}
}

func (l *Leaser) sendWitness(ctx context.Context, vm string, r *peerwire.WitnessRequest) (*peerwire.WitnessResponse, error) {
	if vm == l.Self {
		return l.Witness(ctx, r), nil
	}
	response, err := l.Peer(vm).Witness(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, fmt.Errorf("call Witness on %s: %w", vm, err)
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
