package syncer

import (
	"bytes"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/sequencer"
)

// This file merges the server list with what the store shows after it was restored
// from an older copy, or after it has done a write late. Entries that it shows may be older
// than what is known here; then the known state overrides them, until the server
// writes again or its entry would have expired if the server had ended.

const (
	// defaultEntryLifetime applies if Syncer.EntryLifetime is zero.
	defaultEntryLifetime = 4500 * time.Millisecond
	// overrideMargin is how long the removal of an entry may take to reach this node
	// after the entry has expired. A peer's report that the store answers it may be
	// maxAnswerAge old.
	overrideMargin = maxAnswerAge + 500*time.Millisecond
	// maxEraStep is the greatest credible rise of the era between two answers.
	maxEraStep = 1000
)

// eraBefore is what a node remembers of the era that it was in before.
type eraBefore struct {
	start                 uint64             // revision at which this node entered it
	end                   sequencer.Position // last position held
	removalsRetainedAfter sequencer.Position
}

// isNewerThan reports whether the state of e is newer than an item that may come
// from an older copy of the store. Without numbers of statements, the state in which the
// server gets no requests is taken to be the newer one.
func (e *entry) isNewerThan(shown *lister.Server, now time.Time) bool {
	isRemoved := e.isRemoved(now)
	if e.server == nil || shown == nil {
		return isRemoved
	}
	if _, ok := e.server.CompareStatement(shown); ok {
		return e.isStatedAfter(shown, now)
	}
	return isRemoved || e.server.State == lister.Leaving && shown.State == lister.Ready
}

// isStatedAfter reports whether the server made the statement of e after another one, or
// ended after it, by the numbers that it gives its statements.
func (e *entry) isStatedAfter(o *lister.Server, now time.Time) bool {
	if e.server == nil || o == nil {
		return false
	}
	order, ok := e.server.CompareStatement(o)
	return ok && (order > 0 || order == 0 && e.isRemoved(now))
}

// isRemoved reports whether the server has ended. A removal in its grace period is not
// certain.
func (e *entry) isRemoved(now time.Time) bool { return !e.removedAt.IsZero() && !e.isInGrace(now) }

// enterEra starts to count in the era of a position. What was written in that era
// up to this position may be as old as the copy from which the store was restored.
// Entries that the copy lacks have a grace period, since their servers register again.
// s.mu must be held.
func (s *Syncer) enterEra(position sequencer.Position, source string) {
	now := time.Now()
	previous := s.position
	s.position = sequencer.Position{Era: position.Era}
	s.eraBefore = eraBefore{start: s.eraStart, end: previous, removalsRetainedAfter: s.removalsRetainedAfter}
	s.eraStart = position.Revision
	s.removalsRetainedAfter = position
	s.overridesEnd = now.Add(s.entryLifetime() + overrideMargin)
	if previous.IsZero() {
		return
	}
	s.Log.WithField("era", position.Era).WithField("revision", position.Revision).WithField("previousEra", previous.Era).
		WithField("previousRevision", previous.Revision).WithField("source", source).Warn("store was restored from a copy; keeping what is newer here")
	if now.Sub(s.availability.noticed) > recoveryGrace {
		s.availability.recordOutage(now)
	}
}

// applyEarlier merges what a peer knows from before the position of this node, as
// far as it concerns entries that may come from an older copy of the store. A node
// that starts right after a restoration learns of servers that have left in this
// way. s.mu must be held.
func (s *Syncer) applyEarlier(snapshot *Snapshot, position sequencer.Position, source string) bool {
	before := s.overriddenCount()
	if time.Now().Before(s.overridesEnd) {
		for _, item := range snapshot.Servers {
			s.mergeEarlier(item.within(position))
		}
	}
	overridden := s.overriddenCount()
	s.Log.WithField("source", source).WithField("era", position.Era).WithField("revision", position.Revision).
		WithField("heldEra", s.position.Era).WithField("heldRevision", s.position.Revision).WithField("overridden", overridden).
		Info("older server list received")
	if overridden == before {
		return false
	}
	s.publish()
	return true
}

// mergeEarlier merges an item of an older position into a known entry. An entry that
// the restoration has not changed goes on being shown by the store. s.mu must be
// held.
func (s *Syncer) mergeEarlier(item Item) {
	e := s.entries[item.Key]
	if e == nil {
		return
	}
	isShown := e.removedAt.IsZero() && e.overridden == nil && e.position.Era < s.position.Era
	shown, position := e.item, e.position
	s.merge(item)
	if e = s.entries[item.Key]; isShown && e.position != position {
		shown.Position = sequencer.Position{Era: s.position.Era, Revision: s.eraStart}
		e.overridden = &shown
	}
}

func (s *Syncer) entryLifetime() time.Duration {
	if s.EntryLifetime == 0 {
		return defaultEntryLifetime
	}
	return s.EntryLifetime
}

// overriddenCount returns the number of entries whose state here is newer than the
// one that the store shows. s.mu must be held.
func (s *Syncer) overriddenCount() int {
	n := 0
	for _, e := range s.entries {
		if e.overridden != nil {
			n++
		}
	}
	return n
}

// merge merges one item into the entry of its key. s.position must have the
// current era, and s.mu must be held.
func (s *Syncer) merge(item Item) {
	e := s.entries[item.Key]
	if e == nil {
		s.put(item)
		return
	}
	now := time.Now()
	isSameEra := item.Position.Era == e.position.Era
	switch order := item.Position.Compare(e.position); {
	case isSameEra && order == 0:
	case isSameEra && order < 0:
		s.overrideLateWrite(item, e, now)
	case order < 0:
		s.overrideWith(item, e, now)
	case !isSameEra && e.overridden == nil && e.isUnchangedBy(item):
		// The position stays, so that peers are not sent what they have.
	case item.Removed:
		s.put(item)
	default:
		s.succeed(item, e, now)
	}
}

// succeed replaces an entry by an item of a later position, unless the item is an earlier
// statement of the server: it may come from the copy, or the store has done a write
// seconds after the server sent it, and after later ones. s.mu must be held.
func (s *Syncer) succeed(item Item, e *entry, now time.Time) {
	next := s.newEntry(item)
	overrideEnd := now.Add(s.entryLifetime() + overrideMargin)
	switch {
	case item.Position.Era != e.position.Era && s.mayBeFromCopy(item, now) && e.isNewerThan(next.server, now):
		overrideEnd = time.Time{} // that of the restoration
	case !e.isStatedAfter(next.server, now):
		s.entries[item.Key] = next
		return
	}
	if e.overridden != nil && item.Position.Compare(e.overridden.Position) <= 0 {
		return
	}
	e.overridden, e.overrideEnd = &item, overrideEnd
	if !overrideEnd.IsZero() {
		s.Log.WithField("server", e.server.ID).WithField("revision", item.Position.Revision).WithField("sequence", next.server.Sequence).
			WithField("heldSequence", e.server.Sequence).Info("late write of an earlier statement ignored")
	}
}

// overrideLateWrite lets an item of an earlier position in the same era override an entry
// that the store has written late. s.mu must be held.
func (s *Syncer) overrideLateWrite(item Item, e *entry, now time.Time) {
	if e.overridden != nil || !e.removedAt.IsZero() {
		return
	}
	shown := e.shown()
	if known := s.newEntry(item); known.isStatedAfter(e.server, now) {
		known.overridden, known.overrideEnd = &shown, now.Add(s.entryLifetime()+overrideMargin)
		s.entries[item.Key] = known
	}
}

// overrideWith lets an item from before the restoration override an entry that may
// be older, because it may come from the copy. s.mu must be held.
func (s *Syncer) overrideWith(item Item, e *entry, now time.Time) {
	shown := e.shown()
	if e.overridden != nil || !e.removedAt.IsZero() || !s.mayBeFromCopy(shown, now) {
		return
	}
	if known := s.newEntry(item); known.isNewerThan(e.server, now) {
		known.overridden = &shown
		s.entries[item.Key] = known
	}
}

// isUnchangedBy reports whether an item says the same as the entry.
func (e *entry) isUnchangedBy(item Item) bool {
	if item.Removed || !e.removedAt.IsZero() {
		return item.Removed && !e.removedAt.IsZero()
	}
	return bytes.Equal(item.Value, e.item.Value)
}

// mayBeFromCopy reports whether an item may have been written before the store was
// restored. After several restorations a peer may still show an item of a copy before
// the current one. s.mu must be held.
func (s *Syncer) mayBeFromCopy(item Item, now time.Time) bool {
	if item.Removed || !now.Before(s.overridesEnd) {
		return false
	}
	switch p := item.Position; {
	case p.Era == s.position.Era:
		return p.Revision <= s.eraStart
	case !s.eraBefore.end.IsZero() && p.Era == s.eraBefore.end.Era:
		return p.Revision <= s.eraBefore.start
	default:
		return p.Era < s.position.Era // this node was not in that era
	}
}

// extendOverrides lets the overridden items wait while entries cannot expire, or their
// removal would not reach this node. s.mu must be held.
func (s *Syncer) extendOverrides(now time.Time) {
	if now.Sub(s.currentAt) < maxAnswerAge {
		return
	}
	s.overridesEnd = now.Add(s.entryLifetime() + overrideMargin)
	for _, e := range s.entries {
		if !e.overrideEnd.IsZero() {
			e.overrideEnd = s.overridesEnd
		}
	}
}

// hasOverrideEnded reports whether the overridden item of an entry would have expired by
// now if the server had ended, and this node would know. Without an answer since then, it
// may have missed the removal. s.mu must be held.
func (s *Syncer) hasOverrideEnded(e *entry) bool {
	if !e.overrideEnd.IsZero() {
		return s.currentAt.After(e.overrideEnd)
	}
	return s.currentAt.After(s.overridesEnd)
}

// recordCurrent records that the store, or a peer that reads it, is at a position. An
// answer from a position that this node has not reached proves nothing about the
// removals that it knows.
func (s *Syncer) recordCurrent(position sequencer.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if position = position.InEra(s.position.Era); position.Era == s.position.Era && position.Compare(s.position) <= 0 {
		now := time.Now()
		s.currentAt = now
		s.listCurrentAt.Store(&now)
	}
}
