package leaser

import (
	"slices"
	"time"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

// A promiseSet holds the members of one group that have promised.
type promiseSet struct {
	processes map[string]string // by VM
	required  int               // number of members whose processes must be unchanged at the end
}

// prepare ensures that no owner of another group is still active.
func (l *Leaser) prepare(s *shard, group sharder.Group) bool {
	before, wait, ok := l.collectPromises(s, group)
	if !ok {
		return false
	}
	if wait > 0 {
		l.sleep(wait + wait/10)
	}
	after, _, ok := l.collectPromises(s, group)
	if !ok {
		return false
	}
	for version, set := range before {
		if countUnchanged(set, after[version]) < set.required {
			return false
		}
	}
	s.synced = false
	return len(before) == len(after)
}

// collectPromises collects promises from a majority of the candidate's own group
// and of every group that may have had an owner, including the groups that the
// members name in their responses. It also returns the longest time until a lease
// that a member has granted to another owner expires.
func (l *Leaser) collectPromises(s *shard, group sharder.Group) (map[uint64]promiseSet, time.Duration, bool) {
	collected := make(map[uint64]promiseSet)
	var wait time.Duration
	queue := l.initialGroups(s, group)
	for len(queue) > 0 && len(collected) < maxGroups {
		target := queue[0]
		queue = queue[1:]
		if _, ok := collected[target.Version]; ok {
			continue
		}
		responses := l.broadcastTo(target, s, group, peerwire.WitnessKind_WITNESS_KIND_PROMISE)
		for _, r := range responses {
			wait = max(wait, remainingLease(r, l, responses))
		}
		p, ok := l.checkPromises(s, target, responses)
		if !ok {
			return nil, 0, false
		}
		collected[target.Version] = p
		found, ok := l.mergeResponses(s, group, responses)
		if !ok {
			return nil, 0, false
		}
		queue = append(queue, found...)
	}
	return collected, wait, len(queue) == 0
}

// checkPromises returns the promises of a majority of target, or false if there are
// too few. If too many members have lost their promises in a restart, responses
// from all members replace those of a majority, but only after lostPromiseTimeout:
// by then, an owner that relied on a lost promise has announced its group. A
// response is also not required from members that are no longer on the VM list, but
// only after removedMemberTimeout, which is longer than a partitioned node may act
// on an old list.
func (l *Leaser) checkPromises(s *shard, target sharder.Group, responses responseMap) (promiseSet, bool) {
	granted := promiseSet{processes: make(map[string]string), required: target.Majority()}
	all := promiseSet{processes: make(map[string]string)}
	removed := 0
	for _, vm := range target.Members {
		r := responses[vm]
		switch {
		case r != nil:
			all.processes[vm] = r.Process
			all.required++
			if r.Granted {
				granted.processes[vm] = r.Process
			}
		case !l.IsListed(vm):
			removed++
		}
	}
	if len(granted.processes) >= granted.required {
		return granted, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.promisesMissingSince.IsZero() {
		s.promisesMissingSince = timekeeper.Now()
	}
	missingFor := s.promisesMissingSince.Age()
	allResponded := len(all.processes) == len(target.Members) && missingFor > lostPromiseTimeout
	allListedResponded := len(all.processes)+removed == len(target.Members) && missingFor > removedMemberTimeout
	return all, allResponded || allListedResponded
}

// initialGroups returns the groups to prepare that the node knows at the start.
func (l *Leaser) initialGroups(s *shard, group sharder.Group) []sharder.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	groups := []sharder.Group{group}
	for _, g := range append(slices.Clone(s.pending), s.established) {
		if isOtherGroup(g, group) {
			groups = append(groups, g)
		}
	}
	return groups
}

// mergeResponses returns the groups that the responses name. It reports false if a
// member knows a newer group than this one.
func (l *Leaser) mergeResponses(s *shard, group sharder.Group, responses responseMap) ([]sharder.Group, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []sharder.Group
	for _, r := range responses {
		for _, g := range append(r.Pending, r.Established) {
			known := fromWire(g)
			if known.Version > group.Version && !known.Equal(group) {
				s.merge(r)
				return nil, false
			}
			if isOtherGroup(known, group) {
				found = append(found, known)
			}
		}
		s.establish(fromWire(r.Established))
	}
	return found, true
}

// isOtherGroup reports whether g is a group other than own that may have an owner.
func isOtherGroup(g, own sharder.Group) bool {
	return g.Version > 0 && !g.Equal(own)
}

// remainingLease returns the time until the lease that a member has granted to
// another owner expires. It is 0 if that owner has itself promised, because it then
// no longer acts as owner.
func remainingLease(r *peerwire.WitnessResponse, l *Leaser, responses responseMap) time.Duration {
	if r.Owner == l.Self && r.OwnerProcess == l.Process {
		return 0
	}
	if owner := responses[r.Owner]; owner != nil && owner.Granted && owner.Process == r.OwnerProcess {
		return 0
	}
	return r.LeaseLeft.AsDuration()
}

func countUnchanged(before, after promiseSet) int {
	n := 0
	for vm, process := range before.processes {
		if after.processes[vm] == process {
			n++
		}
	}
	return n
}
