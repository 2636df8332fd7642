package noticer

import (
	"net/netip"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

// retention is how long the notice of a server that is no longer listed is kept.
// An entry may reappear after the server has left.
const retention = 10 * time.Minute

type (
	// A Directory holds the newest notice of each node's backend server. The zero
	// value is ready to use. Memory use is one notice per node that has sent one.
	Directory struct {
		// OnWarm is called after a node has told that its backend server, which was
		// cold, is warm. It may be nil.
		OnWarm func(server string)

		mu        sync.Mutex
		entries   map[netip.Addr]*directoryEntry
		cold      map[netip.Addr]coldEntry
		coldUntil time.Time // the latest that any node has said
	}

	// A coldEntry is what a node said last about the temperature of its backend server.
	coldEntry struct {
		server string
		until  time.Time // zero: warm
	}

	directoryEntry struct {
		notice     *linkwire.Notice
		lastListed time.Time
	}
)

// Record records the notice that a node has sent. nil is ignored, and so is a
// notice that is not newer than the recorded one of the same process.
func (d *Directory) Record(node netip.Addr, m *linkwire.Notice) {
	if m == nil {
		return
	}
	if d.record(node, m) && d.OnWarm != nil {
		d.OnWarm(m.Server)
	}
}

// record reports whether the server has become warm.
func (d *Directory) record(node netip.Addr, m *linkwire.Notice) (becameWarm bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	becameWarm = d.recordCold(node, m)
	if m.Process == 0 {
		return becameWarm // it tells only that the server is cold
	}
	if d.entries == nil {
		d.entries = make(map[netip.Addr]*directoryEntry)
	}
	if old := d.entries[node]; old != nil && old.notice.Process == m.Process && old.notice.Sequence >= m.Sequence {
		return becameWarm
	}
	d.entries[node] = &directoryEntry{notice: m, lastListed: time.Now()}
	return becameWarm
}

// recordCold records for how long a server stays cold, and reports whether it has become
// warm. d.mu must be held.
func (d *Directory) recordCold(node netip.Addr, m *linkwire.Notice) (becameWarm bool) {
	if d.cold == nil {
		d.cold = make(map[netip.Addr]coldEntry)
	}
	old := d.cold[node]
	e := coldEntry{server: m.Server}
	if m.ColdMs > 0 {
		e.until = time.Now().Add(time.Duration(m.ColdMs) * time.Millisecond)
		d.coldUntil = later(d.coldUntil, e.until)
	}
	d.cold[node] = e
	return m.ColdMs == 0 && old.server == m.Server && !old.until.IsZero()
}

// MayBeCold reports whether any server is cold by what its node has said.
func (d *Directory) MayBeCold() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.coldUntil)
}

// ColdLeft returns how long a server stays cold; 0 if it is warm. Until its node has said
// something about it, its entry tells.
func (d *Directory) ColdLeft(s *lister.Server) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := s.ColdUntil
	if e, ok := d.cold[s.Address.Addr()]; ok && e.server == s.ID {
		until = e.until
	}
	return max(0, time.Until(until))
}

// Notice returns the notice that is in force for a node's backend server, or nil.
func (d *Directory) Notice(node netip.Addr) *linkwire.Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[node]; e != nil && (e.notice.Limited || e.notice.Leaving) {
		return e.notice
	}
	return nil
}

// IsLeaving reports whether a server has stated that it is leaving.
func (d *Directory) IsLeaving(s *lister.Server) bool {
	m := d.Notice(s.Address.Addr())
	return m != nil && m.Leaving && m.Server == s.ID
}

// LeavingNodes returns the nodes whose backend server has stated that it is
// leaving but is in state Ready on the list. Such a server may have started again
// under its id.
func (d *Directory) LeavingNodes(list *lister.List) []netip.Addr {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []netip.Addr
	for node, e := range d.entries {
		if s, ok := list.Server(e.notice.Server); ok && e.notice.Leaving && s.State == lister.Ready {
			out = append(out, node)
		}
	}
	return out
}

// Prune drops the notices of servers that have not been listed for a long time.
func (d *Directory) Prune(list *lister.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for node, e := range d.entries {
		if _, listed := list.Server(e.notice.Server); listed {
			e.lastListed = now
		} else if now.Sub(e.lastListed) > retention {
			delete(d.entries, node)
		}
	}
	for node, e := range d.cold {
		if _, listed := list.Server(e.server); !listed && now.After(e.until) {
			delete(d.cold, node)
		}
	}
}
