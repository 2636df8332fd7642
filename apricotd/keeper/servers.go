package keeper

import (
	"context"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
)

// ApplySnapshot takes the whole state, from the store or from a peer, unless
// a newer revision is known.
func (k *Keeper) ApplySnapshot(s *Snapshot, source string) {
	k.ApplyTables(s.Tables, source)
	if s.Revision == 0 {
		return
	}
	k.mu.Lock()
	if s.Revision < k.revision {
		k.mu.Unlock()
		return
	}
	listed := make(map[string]bool, len(s.Servers))
	for _, item := range s.Servers {
		listed[item.Key] = true
		k.put(item)
	}
	for key := range k.entries {
		if !listed[key] {
			k.remove(key)
		}
	}
	k.revision = s.Revision
	k.publish()
	k.mu.Unlock()
	k.Log.WithField("revision", s.Revision).WithField("servers", len(listed)).WithField("source", source).Info("server list in force")
	k.OnChange()
}

func (k *Keeper) applyChanges(c *Changes) {
	k.ApplyTables(c.Tables, "store")
	k.mu.Lock()
	for _, item := range c.Servers {
		if item.Gone {
			k.remove(item.Key)
		} else {
			k.put(item)
		}
	}
	k.revision = max(k.revision, c.Revision)
	changed := len(c.Servers) > 0
	if changed {
		k.publish()
	}
	k.mu.Unlock()
	if changed {
		k.Log.WithField("revision", c.Revision).WithField("changed", len(c.Servers)).Info("server list changed")
		k.OnChange()
	}
}

// Snapshot returns the state as it was read, for a peer.
func (k *Keeper) Snapshot() *Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &Snapshot{Revision: k.revision}
	if r := k.resolver.Load(); r != nil {
		s.Tables = r.Tables.Raw
	}
	for _, e := range k.entries {
		if e.gone.IsZero() {
			s.Servers = append(s.Servers, e.item)
		}
	}
	return s
}

// put must be called with the lock held, like the functions below.
func (k *Keeper) put(item Item) {
	if k.entries == nil {
		k.entries = make(map[string]*entry)
	}
	old := k.entries[item.Key]
	if old != nil && old.item.Revision >= item.Revision {
		old.gone = time.Time{}
		return
	}
	server, err := k.Decoder.Server(item)
	if err != nil {
		k.Log.WithError(err).WithField("key", item.Key).Warn("entry names no backend server")
	}
	k.entries[item.Key] = &entry{item: item, server: server}
}

func (k *Keeper) remove(key string) {
	e := k.entries[key]
	if e == nil || !e.gone.IsZero() {
		return
	}
	if k.failing || time.Since(k.regained) < lapseHold {
		e.gone = time.Now().Add(lapseHold)
		return
	}
	delete(k.entries, key)
}

func (k *Keeper) publish() {
	servers := make([]*lister.Server, 0, len(k.entries))
	for _, e := range k.entries {
		if e.server != nil {
			servers = append(servers, e.server)
		}
	}
	k.list.Store(lister.New(k.revision, servers))
}

// sweep ends held entries.
func (k *Keeper) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			k.endHeld(now)
		}
	}
}

func (k *Keeper) endHeld(now time.Time) {
	k.mu.Lock()
	var ended []string
	for key, e := range k.entries {
		if !e.gone.IsZero() && now.After(e.gone) {
			delete(k.entries, key)
			ended = append(ended, key)
		}
	}
	if len(ended) > 0 {
		k.publish()
	}
	k.mu.Unlock()
	if len(ended) > 0 {
		k.Log.WithField("gone", ended).Info("held entries ended")
		k.OnChange()
	}
}
