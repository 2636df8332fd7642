package syncer

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/sequencer"
)

// maxHistoryCalls bounds the calls to find the ends of evacuations after a restoration.
const maxHistoryCalls = 8

// maxEvacuationKeyBytes is the length of the longest key that is held and passed on.
const maxEvacuationKeyBytes = 256

type (
	// An Evacuation is an operator's request that the backend servers of a data centre
	// get no requests, or the end of that request.
	Evacuation struct {
		Key string
		// Position is that of the request in the store or, if it has ended, of its removal.
		// If it has no era, that of the snapshot applies.
		Position sequencer.Position
		Ended    bool
		// For is the time since the source learned of it.
		For time.Duration
	}

	// evacuations holds what is known of each key. Of two states of a key the one with
	// the later position applies, whatever the order in which they arrive, so nodes that
	// have exchanged what they know agree. Ends are kept for good, since a node that was
	// cut off may still know the request; their number is that of the keys ever used.
	//
	// That a restored store lacks a request of an earlier era says nothing, because the
	// copy may be older. That it shows a request whose end it has lost counts as a
	// request. Both err on the side of an empty data centre until the operator writes
	// again.
	evacuations struct {
		byKey map[string]*evacuation
	}

	evacuation struct {
		dataCentre string // empty if the key does not name a known one
		position   sequencer.Position
		ended      bool
		since      time.Time // when this node or a peer learned of it
	}
)

// merge merges a state of a key and reports whether it is newer than the known one.
func (v *evacuations) merge(e Evacuation, dataCentre string, now time.Time) bool {
	known := v.byKey[e.Key]
	if known != nil && e.Position.Compare(known.position) <= 0 {
		return false
	}
	if v.byKey == nil {
		v.byKey = make(map[string]*evacuation)
	}
	since := now.Add(-e.For)
	if known != nil && known.ended == e.Ended && known.since.Before(since) {
		since = known.since // the operator has written it again
	}
	v.byKey[e.Key] = &evacuation{dataCentre: dataCentre, position: e.Position, ended: e.Ended, since: since}
	return true
}

// missing returns the ends of the evacuations that the store does not show at a position.
// lost are the keys of those that it may have lost when it was restored from a copy.
func (v *evacuations) missing(shown []Evacuation, position sequencer.Position) (ends []Evacuation, lost []string) {
	for key, known := range v.byKey {
		switch {
		case known.ended || slices.ContainsFunc(shown, func(e Evacuation) bool { return e.Key == key }):
		case known.position.Era < position.Era:
			lost = append(lost, key)
		default:
			ends = append(ends, Evacuation{Key: key, Position: position, Ended: true})
		}
	}
	slices.Sort(lost)
	return ends, lost
}

// version returns the sum of all positions.
func (v *evacuations) version() sequencer.Position {
	var sum sequencer.Position
	for _, e := range v.byKey {
		sum.Era += e.position.Era
		sum.Revision += e.position.Revision
	}
	return sum
}

// all returns what is known of all keys.
func (v *evacuations) all(now time.Time) []Evacuation {
	var out []Evacuation
	for _, key := range slices.Sorted(maps.Keys(v.byKey)) {
		e := v.byKey[key]
		out = append(out, Evacuation{Key: key, Position: e.position, Ended: e.ended, For: now.Sub(e.since)})
	}
	return out
}

// inForce returns the evacuations in force, one for each data centre.
func (v *evacuations) inForce() []lister.Evacuation {
	byDataCentre := make(map[string]lister.Evacuation)
	for _, e := range v.byKey {
		if e.ended || e.dataCentre == "" {
			continue
		}
		byDataCentre[e.dataCentre] = lister.Evacuation{
			DataCentre: e.dataCentre, Era: e.position.Era, Revision: e.position.Revision, Since: e.since,
		}
	}
	return slices.SortedFunc(maps.Values(byDataCentre), func(a, b lister.Evacuation) int {
		return cmp.Compare(a.DataCentre, b.DataCentre)
	})
}

// applyEvacuations merges the evacuations of a snapshot and reports whether any is new.
func (s *Syncer) applyEvacuations(snapshot *Snapshot, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := snapshot.Position.InEra(s.position.Era)
	received := slices.Clone(snapshot.Evacuations)
	if snapshot.EvacuationsFull {
		if position.Era < s.position.Era {
			return false
		}
		ends, lost := s.evacuations.missing(snapshot.Evacuations, position)
		received = append(received, ends...)
		s.evacuationsDoubted = false
		if len(lost) > 0 {
			s.Log.WithField("keys", lost).WithField("era", position.Era).WithField("revision", position.Revision).
				Warn("restored store lacks evacuations; keeping them until the operator writes them again, or writes and removes them")
		}
	}
	now := time.Now()
	changed := false
	for _, e := range received {
		e.Position = e.Position.InEra(position.Era)
		if len(e.Key) > maxEvacuationKeyBytes || e.Position.IsZero() {
			s.Log.WithField("key", e.Key[:min(len(e.Key), maxEvacuationKeyBytes)]).WithField("source", source).
				Warn("evacuation ignored; its key is too long or its position is missing")
			continue
		}
		if !s.position.IsZero() && e.Position.Era > s.position.Era+maxEraStep {
			s.Log.WithField("key", e.Key).WithField("era", e.Position.Era).WithField("source", source).
				Error("evacuation ignored; the rise of its era is not credible")
			continue
		}
		changed = s.mergeEvacuation(e, source, now) || changed
	}
	if changed && !s.position.IsZero() {
		s.publish()
	}
	return changed
}

// mergeEvacuation merges a state of a key and logs it if it is new. s.mu must be held.
func (s *Syncer) mergeEvacuation(e Evacuation, source string, now time.Time) bool {
	dataCentre, err := s.Decoder.Evacuation(e.Key)
	if err != nil {
		dataCentre = ""
	}
	known := s.evacuations.byKey[e.Key]
	if !s.evacuations.merge(e, dataCentre, now) {
		return false
	}
	log := s.Log.WithField("key", e.Key).WithField("dataCentre", dataCentre).WithField("era", e.Position.Era).
		WithField("revision", e.Position.Revision).WithField("source", source).WithField("ageMs", e.For.Milliseconds())
	switch {
	case err != nil:
		log.WithError(err).Warn("evacuation ignored")
		return true
	case !e.Ended && source != sourceStore && e.Position.Era == s.position.Era && e.Position.Revision <= s.position.Revision:
		s.evacuationsDoubted = true
	}
	switch {
	case !e.Ended && known != nil && !known.ended:
		log.Info("evacuation written again")
	case !e.Ended:
		log.Warn("evacuation in force")
	case known != nil && !known.ended:
		log.WithField("heldMs", now.Sub(known.since).Milliseconds()).Warn("evacuation ended")
	}
	return true
}

// findEnds looks in the history of a restored store for the ends of evacuations that it
// lacks: the operator may have removed them before this node first read the store. It does
// so once after each restoration, if the store lacks any.
//
// Up to the position that this node held before, it knows all changes of the former era.
// So a removal that the history shows up to there, after the write that this node knows,
// is one of the new era. Any later one may come with the copy, and says nothing.
func (s *Syncer) findEnds(ctx context.Context) {
	lost, from, to := s.lostEvacuations()
	for range maxHistoryCalls {
		if from >= to {
			return
		}
		s.watchCalls.Add(1)
		changes, err := s.watch(ctx, from, 0)
		if errors.Is(err, ErrHistoryGone) {
			from += (to - from + 1) / 2 // the rest of it may be there
			continue
		}
		if err != nil || changes.Position.Era != s.Versions().Servers.Era || changes.Position.Revision <= from {
			return
		}
		ends := &Snapshot{Position: changes.Position}
		for _, e := range changes.Evacuations {
			written, ok := lost[e.Key]
			if ok && e.Ended && e.Position.Revision > written && e.Position.Revision <= to {
				ends.Evacuations = append(ends.Evacuations, e)
			}
		}
		if s.applyEvacuations(ends, sourceStore) {
			s.OnChange()
		}
		from = changes.Position.Revision
	}
}

// lostEvacuations returns the revisions of the evacuations that a restored store lacks, by
// key, and between which revisions their ends would be, once after each restoration.
func (s *Syncer) lostEvacuations() (lost map[string]uint64, from, to uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.eraBefore.end
	if s.endsSoughtIn == s.position.Era || before.IsZero() {
		return nil, 0, 0
	}
	s.endsSoughtIn = s.position.Era
	lost, to = make(map[string]uint64), min(before.Revision, s.position.Revision)
	from = to
	for key, e := range s.evacuations.byKey {
		if !e.ended && e.position.Era == before.Era && before.Era < s.position.Era {
			lost[key] = e.position.Revision
			from = min(from, e.position.Revision)
		}
	}
	return lost, from, to
}

// areEvacuationsDoubted reports whether a peer has sent an evacuation that the store
// may have ended before the position of this node: the peer was cut off for long, or
// this node has got its position from a peer whose program knows no evacuations.
func (s *Syncer) areEvacuationsDoubted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuationsDoubted
}
