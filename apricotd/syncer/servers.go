package syncer

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// recoveryGrace is how long after an outage of the store a server stays
	// usable although its entry is gone. Entries expire in an outage because they
	// cannot be renewed, and are registered again about 2 s after its end.
	recoveryGrace = 2500 * time.Millisecond
	// healthReportTTL is how long a health report from a server's own node keeps
	// the server usable after its entry is gone.
	healthReportTTL = 1500 * time.Millisecond
	// tombstoneTTL is how long a removed entry is retained, for peers that fetch
	// changes and for health reports about its server.
	tombstoneTTL = 15 * time.Second
	// sweepInterval is how often entries are checked for expiry.
	sweepInterval = 250 * time.Millisecond
)

// An entry is usable while it is in the store, in its grace period, or reported
// healthy by its server's own node.
type entry struct {
	item             Item           // as last published in the store
	server           *lister.Server // nil if the entry could not be decoded
	removedAt        time.Time      // zero while the entry is in the store
	removedRevision  uint64         // revision of the removal
	graceEnd         time.Time      // end of the grace period of a removed entry
	healthReportedAt time.Time      // when its node last reported it healthy
	usable           bool           // as of the last publish
}

func (e *entry) isUsable(now time.Time) bool {
	return e.removedAt.IsZero() || now.Before(e.graceEnd) || now.Sub(e.healthReportedAt) < healthReportTTL
}

// applyServers merges the server entries of a snapshot and publishes a new list.
// It reports whether there was anything to merge.
func (s *Syncer) applyServers(snapshot *Snapshot, source string) bool {
	if snapshot.Revision == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Full && snapshot.Revision < s.revision {
		s.Log.WithField("source", source).WithField("era", snapshot.Era).WithField("revision", snapshot.Revision).
			WithField("heldRevision", s.revision).Warn("full server list ignored; its revision is lower than the one in use")
	}
	if snapshot.Revision < s.revision || !snapshot.Full && len(snapshot.Servers) == 0 {
		s.revision = max(s.revision, snapshot.Revision)
		return false
	}
	listed := make(map[string]bool, len(snapshot.Servers))
	for _, item := range snapshot.Servers {
		listed[item.Key] = true
		if item.Removed {
			s.remove(item, snapshot.Revision)
		} else {
			s.put(item)
		}
	}
	if snapshot.Full {
		for key := range s.entries {
			if !listed[key] {
				s.remove(Item{Key: key, Removed: true}, snapshot.Revision)
			}
		}
		s.removalsRetainedAfter = snapshot.Revision
	}
	s.revision = snapshot.Revision
	s.publish()
	s.Log.WithField("revision", snapshot.Revision).WithField("items", len(snapshot.Servers)).WithField("whole", snapshot.Full).
		WithField("source", source).Info("server list updated")
	return true
}

// ChangesSince returns the changes after a version of the tables and a revision of
// the server list. It returns the full list if some of the removals after the
// revision are no longer retained.
func (s *Syncer) ChangesSince(tables, servers uint64) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := &Snapshot{}
	if r := s.resolver.Load(); r != nil && r.Tables.Version > tables {
		changes.Tables = r.Tables.Raw
	}
	if s.revision <= servers {
		return changes
	}
	changes.Revision = s.revision
	changes.Full = servers < s.removalsRetainedAfter || servers == 0
	now := time.Now()
	for key, e := range s.entries {
		switch {
		case !e.removedAt.IsZero():
			if e.removedRevision > servers {
				changes.Servers = append(changes.Servers, Item{Key: key, Revision: e.removedRevision, Removed: true, GraceLeft: max(0, e.graceEnd.Sub(now))})
			}
		case changes.Full || e.item.Revision > servers:
			changes.Servers = append(changes.Servers, e.item)
		}
	}
	return changes
}

// ReportHealth records a report by a node that the backend server on its VM is
// healthy. An empty id withdraws an earlier report. Reports about a server that is
// not in state Ready are ignored.
func (s *Syncer) ReportHealth(node netip.Addr, id string) {
	s.mu.Lock()
	changed := false
	now := time.Now()
	for _, e := range s.entries {
		if e.server == nil || e.server.Address.Addr() != node || e.server.State != lister.Ready {
			continue
		}
		e.healthReportedAt = time.Time{}
		if e.server.ID == id {
			e.healthReportedAt = now
		}
		changed = changed || e.usable != e.isUsable(now)
	}
	if changed {
		s.publish()
	}
	s.mu.Unlock()
	if changed {
		s.Log.WithField("server", id).WithField("node", node).Info("server list changed by a health report from the server's node")
		s.OnChange()
	}
}

// IsListed reports whether the entry of a server is in the store (listed) and
// whether this node has the entry at all, even if only as a tombstone (known).
func (s *Syncer) IsListed(id string) (listed, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.server != nil && e.server.ID == id {
			return e.removedAt.IsZero(), true
		}
	}
	return false, false
}

// put adds or replaces an entry unless a newer one is known. s.mu must be held.
func (s *Syncer) put(item Item) {
	if s.entries == nil {
		s.entries = make(map[string]*entry)
	}
	old := s.entries[item.Key]
	if old != nil && old.item.Revision >= item.Revision && (old.removedAt.IsZero() || old.removedRevision > item.Revision) {
		if !bytes.Equal(old.item.Value, item.Value) {
			s.Log.WithField("key", item.Key).WithField("revision", item.Revision).WithField("heldRevision", old.item.Revision).
				Info("entry ignored; its revision is not higher than the one in use")
		}
		return
	}
	server, err := s.Decoder.Server(item)
	if err != nil {
		s.Log.WithError(err).WithField("key", item.Key).Warn("backend server entry could not be decoded")
	}
	s.entries[item.Key] = &entry{item: item, server: server}
}

// remove marks an entry as removed unless a newer one is known. The entry's grace
// period ends with the one that a peer has sent or with recoveryGrace after the
// last outage, whichever is later. s.mu must be held.
func (s *Syncer) remove(item Item, revision uint64) {
	e := s.entries[item.Key]
	if e == nil || !e.removedAt.IsZero() || item.Revision != 0 && item.Revision < e.item.Revision {
		return
	}
	now := time.Now()
	e.removedAt, e.removedRevision = now, max(item.Revision, revision)
	e.graceEnd = now.Add(item.GraceLeft)
	if recoveryEnd := s.recoveredAt.Add(recoveryGrace); recoveryEnd.After(e.graceEnd) {
		e.graceEnd = recoveryEnd
	}
}

// publish rebuilds the server list from the usable entries. s.mu must be held.
func (s *Syncer) publish() {
	now := time.Now()
	servers := make([]*lister.Server, 0, len(s.entries))
	for _, e := range s.entries {
		e.usable = e.isUsable(now)
		if e.usable && e.server != nil {
			servers = append(servers, e.server)
		}
	}
	s.list.Store(lister.New(s.revision, servers))
}

// sweep drops servers whose grace period and health report have expired, and
// deletes old tombstones.
func (s *Syncer) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sweepOnce(now)
		}
	}
}

func (s *Syncer) sweepOnce(now time.Time) {
	s.mu.Lock()
	var expired []string
	for key, e := range s.entries {
		if e.usable && !e.isUsable(now) {
			expired = append(expired, key)
		}
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > tombstoneTTL && !e.isUsable(now) {
			delete(s.entries, key)
			s.removalsRetainedAfter = max(s.removalsRetainedAfter, e.removedRevision)
		}
	}
	if len(expired) > 0 {
		s.publish()
	}
	s.mu.Unlock()
	if len(expired) > 0 {
		s.Log.WithField("gone", expired).Info("removed servers dropped from the server list")
		s.OnChange()
	}
}
