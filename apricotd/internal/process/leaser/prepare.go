package leaser

import (
	"slices"
	"time"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

// promises are the members of one group that gave their promise.
type promises struct {
	process map[string]string // by VM
	needed  int               // so many must still be the same processes at the end
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
	s.synced = false
	return len(first) == len(second)
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
