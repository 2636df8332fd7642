package keeper

import (
	"context"
	"net/netip"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// lapseHold is how long after an outage of the store a server that has
	// disappeared stays listed: entries expire while nobody can renew them, and
	// are back about two seconds after the outage.
	lapseHold = 2500 * time.Millisecond
	// vouchFor is how long the word of a server's own node counts that the
	// server is healthy although its entry has gone.
	vouchFor = 1500 * time.Millisecond
	// rememberFor is how long a removed entry is remembered, for peers that
	// ask what has changed and for nodes that vouch.
	rememberFor = 15 * time.Second
	// sweepInterval is how often entries are looked at.
	sweepInterval = 250 * time.Millisecond
)

// An entry is usable while it is listed, held or vouched for.
type entry struct {
	item    Item           // as last listed
	server  *lister.Server // nil if the entry names none
	removed time.Time      // zero: it is listed
	at      uint64         // revision of the removal
	held    time.Time      // until when a removed entry is held
	vouched time.Time      // when its node last vouched for it
	usable  bool           // as last published
}

func (e *entry) isUsable(now time.Time) bool {
	return e.removed.IsZero() || now.Before(e.held) || now.Sub(e.vouched) < vouchFor
}

// applyServers reports whether anything changed.
func (k *Keeper) applyServers(s *Snapshot, source string) bool {
	if s.Revision == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Revision < k.revision || !s.Whole && len(s.Servers) == 0 {
		k.revision = max(k.revision, s.Revision)
		return false
	}
	listed := make(map[string]bool, len(s.Servers))
	for _, item := range s.Servers {
		listed[item.Key] = true
		if item.Gone {
			k.remove(item, s.Revision)
		} else {
			k.put(item)
		}
	}
	if s.Whole {
		for key := range k.entries {
			if !listed[key] {
				k.remove(Item{Key: key, Gone: true}, s.Revision)
			}
		}
		k.complete = s.Revision
	}
	k.revision = s.Revision
	k.publish()
	k.Log.WithField("revision", s.Revision).WithField("items", len(s.Servers)).WithField("whole", s.Whole).
		WithField("source", source).Info("server list in force")
	return true
}

// Since returns the state that is newer than a version and a revision.
func (k *Keeper) Since(tables, servers uint64) *Snapshot {
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
	s.Whole = servers < k.complete || servers == 0
	now := time.Now()
	for key, e := range k.entries {
		switch {
		case !e.removed.IsZero():
			if e.at > servers {
				s.Servers = append(s.Servers, Item{Key: key, Revision: e.at, Gone: true, HeldFor: max(0, e.held.Sub(now))})
			}
		case s.Whole || e.item.Revision > servers:
			s.Servers = append(s.Servers, e.item)
		}
	}
	return s
}

// Vouch takes the word of a node that the server beside it is healthy; an
// empty id takes an earlier word back. It counts only for a server that did
// not say that it leaves.
func (k *Keeper) Vouch(node netip.Addr, id string) {
	k.mu.Lock()
	changed := false
	now := time.Now()
	for _, e := range k.entries {
		if e.server == nil || e.server.Address.Addr() != node || e.server.State != lister.Ready {
			continue
		}
		e.vouched = time.Time{}
		if e.server.ID == id {
			e.vouched = now
		}
		changed = changed || e.usable != e.isUsable(now)
	}
	if changed {
		k.publish()
	}
	k.mu.Unlock()
	if changed {
		k.Log.WithField("server", id).WithField("node", node).Info("word of a server's node changes the list")
		k.OnChange()
	}
}

// IsListed tells whether the store's list has a server, and whether it had.
func (k *Keeper) IsListed(id string) (listed, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.entries {
		if e.server != nil && e.server.ID == id {
			return e.removed.IsZero(), true
		}
	}
	return false, false
}

// put must be called with the lock held, like the functions below.
func (k *Keeper) put(item Item) {
	if k.entries == nil {
		k.entries = make(map[string]*entry)
	}
	old := k.entries[item.Key]
	if old != nil && old.item.Revision >= item.Revision && (old.removed.IsZero() || old.at > item.Revision) {
		return
	}
	server, err := k.Decoder.Server(item)
	if err != nil {
		k.Log.WithError(err).WithField("key", item.Key).Warn("entry names no backend server")
	}
	k.entries[item.Key] = &entry{item: item, server: server}
}

func (k *Keeper) remove(item Item, revision uint64) {
	e := k.entries[item.Key]
	if e == nil || !e.removed.IsZero() || item.Revision != 0 && item.Revision < e.item.Revision {
		return
	}
	now := time.Now()
	e.removed, e.at = now, max(item.Revision, revision)
	e.held = now.Add(item.HeldFor)
	if back := k.regained.Add(lapseHold); back.After(e.held) {
		e.held = back
	}
}

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

// sweep ends what was held or vouched for, and forgets what was removed.
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
	var ended []string
	for key, e := range k.entries {
		if e.usable && !e.isUsable(now) {
			ended = append(ended, key)
		}
		if !e.removed.IsZero() && now.Sub(e.removed) > rememberFor && !e.isUsable(now) {
			delete(k.entries, key)
			k.complete = max(k.complete, e.at)
		}
	}
	if len(ended) > 0 {
		k.publish()
	}
	k.mu.Unlock()
	if len(ended) > 0 {
		k.Log.WithField("gone", ended).Info("removed servers are not used any more")
		k.OnChange()
	}
}
