package syncer

import (
	"net/netip"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/sequencer"
)

const (
	// recoveryGrace is how long after an outage of the store (see availability) a server
	// stays usable although its entry is gone. Entries expire in an outage because they
	// cannot be renewed, and are registered again about 2 s after its end.
	recoveryGrace = 2500 * time.Millisecond
	// healthReportTTL is how long a health report from a server's own node keeps
	// the server usable after its entry is gone.
	healthReportTTL = 1500 * time.Millisecond
	// tombstoneTTL is how long a removed entry is retained, for peers that fetch
	// changes, for health reports about its server, for copies of the store that still
	// contain the entry, and as long as its VM counts as absent.
	tombstoneTTL = lister.AbsentTTL + time.Minute
	// sweepInterval is how often entries are checked for expiry.
	sweepInterval = 250 * time.Millisecond
)

// An entry is usable while it is in the store, in its grace period, or reported
// healthy by its server's own node.
type entry struct {
	item             Item               // last statement of the server
	server           *lister.Server     // nil if the entry could not be decoded
	position         sequencer.Position // of the statement or, if there is one, of the removal
	removedAt        time.Time          // zero while the entry is in the store
	removedFrom      int                // VMs that were listed or absent before; 0 if unknown
	graceEnd         time.Time          // end of the grace period of a removed entry
	healthReportedAt time.Time          // when its node last reported it healthy
	usable           bool               // as of the last publish
	// overridden is the item that the store shows instead of this state and that is
	// older; nil if there is none. The store shows it because it was restored from a copy
	// or did a write late.
	overridden *Item
	// overrideEnd is when an item that was written late applies although it looks older.
	overrideEnd time.Time
}

func (e *entry) isUsable(now time.Time) bool {
	return e.removedAt.IsZero() || e.isInGrace(now) || now.Sub(e.healthReportedAt) < healthReportTTL
}

func (e *entry) isInGrace(now time.Time) bool { return now.Before(e.graceEnd) }

// hasChangedSince reports whether a node at a position lacks a change of the entry. One
// that is not in the current era yet may hold what is overridden here.
func (e *entry) hasChangedSince(p sequencer.Position, era int64) bool {
	return e.position.Compare(p) > 0 || e.overridden != nil && (p.Era < era || e.overridden.Position.Compare(p) > 0)
}

// shown returns the last statement of the server with the position of the entry.
func (e *entry) shown() Item {
	item := e.item
	item.Position = e.position
	return item
}

// applyServers merges the server entries of a snapshot and publishes a new list.
// It reports whether there was anything to merge.
func (s *Syncer) applyServers(snapshot *Snapshot, source string) bool {
	if snapshot.Position.IsZero() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	position := snapshot.Position.InEra(s.position.Era)
	switch {
	case !s.position.IsZero() && position.Era > s.position.Era+maxEraStep:
		s.Log.WithField("source", source).WithField("era", position.Era).WithField("heldEra", s.position.Era).
			Error("state ignored; the rise of its era is not credible")
		return false
	case s.position.IsZero() || position.Era > s.position.Era:
		if !snapshot.Full && (s.position.IsZero() || snapshot.Since != s.position) {
			return false
		}
		s.enterEra(position, source)
	case position.Era < s.position.Era || snapshot.Full && position.Revision < s.position.Revision:
		return s.applyEarlier(snapshot, position, source)
	case !snapshot.Full && (position.Revision < s.position.Revision || len(snapshot.Servers) == 0):
		s.position.Revision = max(s.position.Revision, position.Revision)
		return false
	}
	listed := make(map[string]bool, len(snapshot.Servers))
	for _, item := range snapshot.Servers {
		listed[item.Key] = true
		s.merge(item.within(position))
	}
	if snapshot.Full {
		for key := range s.entries {
			if !listed[key] {
				s.merge(Item{Key: key, Position: position, Removed: true})
			}
		}
		s.removalsRetainedAfter = position
	}
	s.position = position
	s.publish()
	s.Log.WithField("era", position.Era).WithField("revision", position.Revision).WithField("items", len(snapshot.Servers)).
		WithField("whole", snapshot.Full).WithField("overridden", s.overriddenCount()).WithField("source", source).Info("server list updated")
	return true
}

// ChangesSince returns the changes after the given versions. It returns the full
// list if they have no server list, or if this node may not know all changes after
// them.
func (s *Syncer) ChangesSince(v sequencer.Versions) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := &Snapshot{}
	if r := s.resolver.Load(); r != nil && r.Tables.Version > v.Tables {
		changes.Tables = r.Tables.Raw
	}
	if s.evacuations.version().Compare(v.Evacuations) > 0 {
		changes.Evacuations = s.evacuations.all(time.Now())
	}
	after := v.Servers.InEra(s.position.Era)
	if !after.IsZero() && s.position.Compare(after) <= 0 {
		return changes
	}
	changes.Position, changes.Since = s.position, after
	changes.Full = after.IsZero() || !s.hasChangesSince(after)
	now := time.Now()
	for _, e := range s.entries {
		if !changes.Full && !e.hasChangedSince(after, s.position.Era) {
			continue
		}
		item := e.shown()
		if !e.removedAt.IsZero() {
			item.Removed, item.GraceLeft = true, max(0, e.graceEnd.Sub(now))
			item.RemovedFor, item.RemovedFrom = now.Sub(e.removedAt), e.removedFrom
		}
		changes.Servers = append(changes.Servers, item)
		if e.overridden != nil {
			changes.Servers = append(changes.Servers, *e.overridden)
		}
	}
	return changes
}

// ReportHealth records a report by a node that the backend server on its VM is
// healthy. An empty id withdraws an earlier report. Reports about a server that is
// not in state Ready are ignored.
func (s *Syncer) ReportHealth(node netip.Addr, id string) {
	s.mu.Lock()
	if id == "" && !s.reportingNodes[node] {
		s.mu.Unlock()
		return
	}
	if s.reportingNodes == nil {
		s.reportingNodes = make(map[netip.Addr]bool)
	}
	s.reportingNodes[node] = id != ""
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

// RemovedEntry returns the pool in the entry of a server that has been removed.
func (s *Syncer) RemovedEntry(id string) (pool string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e.server != nil && e.server.ID == id {
			return e.server.Pool, true
		}
	}
	return "", false
}

// hasChangesSince reports whether this node knows all changes after a position, which
// may be one of the era before. s.mu must be held.
func (s *Syncer) hasChangesSince(p sequencer.Position) bool {
	if p.Era == s.position.Era {
		return p.Compare(s.removalsRetainedAfter) >= 0
	}
	return p.Era == s.eraBefore.end.Era && p.Compare(s.eraBefore.end) <= 0 && p.Compare(s.eraBefore.removalsRetainedAfter) >= 0
}

// put replaces the entry of an item's key. A removal keeps the server's last
// statement. s.mu must be held.
func (s *Syncer) put(item Item) {
	if s.entries == nil {
		s.entries = make(map[string]*entry)
	}
	e := s.entries[item.Key]
	if e == nil || !item.Removed {
		s.entries[item.Key] = s.newEntry(item)
		return
	}
	isRemoved := !e.removedAt.IsZero()
	if !isRemoved || e.overridden != nil || item.Position.Era == e.position.Era {
		e.position, e.overridden = item.Position, nil
	}
	if isRemoved {
		return
	}
	s.remove(e, item)
}

// remove marks an entry as removed by an item. A removal in an era before this one is not
// due to the outage in which the store was restored. s.mu must be held.
func (s *Syncer) remove(e *entry, item Item) {
	now := time.Now()
	e.removedAt, e.removedFrom, e.graceEnd = now.Add(-item.RemovedFor), item.RemovedFrom, time.Time{}
	if item.Position.Era < s.position.Era {
		return
	}
	e.graceEnd = s.availability.graceEnd(now, now.Add(item.GraceLeft))
}

// newEntry returns the entry for an item. s.mu must be held.
func (s *Syncer) newEntry(item Item) *entry {
	e := &entry{item: item, position: item.Position}
	if !item.Removed || len(item.Value) > 0 {
		e.server = s.decode(item)
	}
	if item.Removed {
		s.remove(e, item)
	}
	return e
}

// decode returns the server of an item, or nil if the item cannot be decoded.
func (s *Syncer) decode(item Item) *lister.Server {
	server, err := s.Decoder.Server(item)
	if err != nil {
		s.Log.WithError(err).WithField("key", item.Key).Warn("backend server entry could not be decoded")
		return nil
	}
	return server
}

// publish rebuilds the server list from the usable entries. s.mu must be held.
func (s *Syncer) publish() {
	now := time.Now()
	servers := make([]*lister.Server, 0, len(s.entries))
	before := 0 // VMs listed or absent
	if previous := s.list.Load(); previous != nil {
		before = previous.VMCount() + previous.AbsentCount()
	}
	lastRemoved := make(map[netip.Addr]*entry) // by VM address
	for _, e := range s.entries {
		e.usable = e.isUsable(now)
		switch {
		case e.server == nil:
		case e.usable:
			servers = append(servers, e.server)
		default:
			if e.removedFrom == 0 {
				e.removedFrom = before
			}
			a := e.server.Address.Addr()
			if last := lastRemoved[a]; last == nil || e.removedAt.After(last.removedAt) {
				lastRemoved[a] = e
			}
		}
	}
	list := lister.New(s.position.Revision, servers)
	list.SetAbsent(absentVMs(lastRemoved))
	list.SetEvacuations(s.evacuations.inForce())
	s.list.Store(list)
}

// absentVMs returns the VMs whose last removed entry was Ready.
func absentVMs(lastRemoved map[netip.Addr]*entry) []lister.AbsentVM {
	var out []lister.AbsentVM
	for a, e := range lastRemoved {
		if e.server.State == lister.Ready {
			out = append(out, lister.AbsentVM{Address: a, Region: e.server.Region, Since: e.removedAt, From: e.removedFrom})
		}
	}
	return out
}

// sweep drops servers whose grace period and health report have expired, ends
// overrides, and deletes old tombstones.
func (s *Syncer) sweep(now time.Time) {
	s.mu.Lock()
	var expired, shown []string
	s.extendOverrides(now)
	for key, e := range s.entries {
		if e.overridden != nil && s.hasOverrideEnded(e) {
			shown = append(shown, key)
			e = s.newEntry(*e.overridden)
			s.entries[key] = e
		}
		if e.usable && !e.isUsable(now) {
			expired = append(expired, key)
		}
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > tombstoneTTL && !e.isUsable(now) {
			delete(s.entries, key)
			retainedAfter := &s.removalsRetainedAfter
			if e.position.Era != s.position.Era {
				retainedAfter = &s.eraBefore.removalsRetainedAfter
			}
			if e.position.Compare(*retainedAfter) > 0 {
				*retainedAfter = e.position
			}
		}
	}
	if len(expired)+len(shown) > 0 {
		s.publish()
	}
	s.mu.Unlock()
	if len(expired) > 0 {
		s.Log.WithField("gone", expired).Info("removed servers dropped from the server list")
	}
	if len(shown) > 0 {
		s.Log.WithField("servers", shown).Info("servers used as the restored store lists them; their entries have not expired")
	}
	if len(expired)+len(shown) > 0 {
		s.OnChange()
	}
}
