package keeper

import (
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
	// healthReportTTL is how long a report by a server's own node that the server
	// is healthy keeps the server usable after its entry is gone.
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
func (k *Keeper) applyServers(s *Snapshot, source string) bool {
	if s.Revision == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Revision < k.revision || !s.Full && len(s.Servers) == 0 {
		k.revision = max(k.revision, s.Revision)
		return false
	}
	listed := make(map[string]bool, len(s.Servers))
	for _, item := range s.Servers {
		listed[item.Key] = true
		if item.Removed {
			k.remove(item, s.Revision)
		} else {
			k.put(item)
		}
	}
	if s.Full {
		for key := range k.entries {
			if !listed[key] {
				k.remove(Item{Key: key, Removed: true}, s.Revision)
			}
		}
		k.removalsFrom = s.Revision
	}
	k.revision = s.Revision
	k.publish()
	k.Log.WithField("revision", s.Revision).WithField("items", len(s.Servers)).WithField("whole", s.Full).
		WithField("source", source).Info("server list updated")
	return true
}

// ChangesSince returns the changes after a version of the tables and a revision of
// the server list, or the full list if removals after the revision are no longer
// retained.
func (k *Keeper) ChangesSince(tables, servers uint64) *Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &Snapshot{}
	if r := k.resolver.Load(); r != nil && r.Tables.Version > tables {
		s.Tables = r.Tables.Raw
	}
	if k.revision <= servers {
		return s
	}
	s.Revision = k.revision
	s.Full = servers < k.removalsFrom || servers == 0
	now := time.Now()
	for key, e := range k.entries {
		switch {
		case !e.removedAt.IsZero():
			if e.removedRevision > servers {
				s.Servers = append(s.Servers, Item{Key: key, Revision: e.removedRevision, Removed: true, GraceLeft: max(0, e.graceEnd.Sub(now))})
			}
		case s.Full || e.item.Revision > servers:
			s.Servers = append(s.Servers, e.item)
		}
	}
	return s
}

// ReportHealth records a report by a node that the backend server on its VM is
// healthy. An empty id withdraws an earlier report. Reports about a server that is
// not in state Ready are ignored.
func (k *Keeper) ReportHealth(node netip.Addr, id string) {
	k.mu.Lock()
	changed := false
	now := time.Now()
	for _, e := range k.entries {
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
		k.publish()
	}
	k.mu.Unlock()
	if changed {
		k.Log.WithField("server", id).WithField("node", node).Info("server list changed by a health report from the server's node")
		k.OnChange()
	}
}

// IsListed reports whether the store has an entry for a server, and whether an
// entry for it is known, which may have been removed.
func (k *Keeper) IsListed(id string) (listed, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.entries {
		if e.server != nil && e.server.ID == id {
			return e.removedAt.IsZero(), true
		}
	}
	return false, false
}

// put adds or replaces an entry unless a newer one is known. k.mu must be held.
func (k *Keeper) put(item Item) {
	if k.entries == nil {
		k.entries = make(map[string]*entry)
	}
	old := k.entries[item.Key]
	if old != nil && old.item.Revision >= item.Revision && (old.removedAt.IsZero() || old.removedRevision > item.Revision) {
		return
	}
	server, err := k.Decoder.Server(item)
	if err != nil {
		k.Log.WithError(err).WithField("key", item.Key).Warn("backend server entry could not be decoded")
	}
	k.entries[item.Key] = &entry{item: item, server: server}
}

// remove marks an entry as removed unless a newer one is known. k.mu must be
// held.
func (k *Keeper) remove(item Item, revision uint64) {
	e := k.entries[item.Key]
	if e == nil || !e.removedAt.IsZero() || item.Revision != 0 && item.Revision < e.item.Revision {
		return
	}
	now := time.Now()
	e.removedAt, e.removedRevision = now, max(item.Revision, revision)
	e.graceEnd = now.Add(item.GraceLeft)
	if recoveryEnd := k.recoveredAt.Add(recoveryGrace); recoveryEnd.After(e.graceEnd) {
		e.graceEnd = recoveryEnd
	}
}

// publish rebuilds the server list from the usable entries. k.mu must be held.
func (k *Keeper) publish() {
	now := time.Now()
	servers := make([]*lister.Server, 0, len(k.entries))
	for _, e := range k.entries {
		e.usable = e.isUsable(now)
		if e.usable && e.server != nil {
			servers = append(servers, e.server)
		}
	}
	k.list.Store(lister.New(k.revision, servers))
}

// sweep drops servers whose grace period and health report have expired, and
// deletes old tombstones.
func (k *Keeper) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			k.sweepOnce(now)
		}
	}
}

func (k *Keeper) sweepOnce(now time.Time) {
	k.mu.Lock()
	var expired []string
	for key, e := range k.entries {
		if e.usable && !e.isUsable(now) {
			expired = append(expired, key)
		}
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > tombstoneTTL && !e.isUsable(now) {
			delete(k.entries, key)
			k.removalsFrom = max(k.removalsFrom, e.removedRevision)
		}
	}
	if len(expired) > 0 {
		k.publish()
	}
	k.mu.Unlock()
	if len(expired) > 0 {
		k.Log.WithField("gone", expired).Info("removed servers dropped from the server list")
		k.OnChange()
	}
}
