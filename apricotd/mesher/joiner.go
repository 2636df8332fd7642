package mesher

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/apricotd/version/sequencer"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// joinTimeout is how long a starting node with tables and a server list waits
	// for the state of a peer before it relies on what it has read from the store.
	joinTimeout = time.Second
	// joinCheckInterval is how often a starting node checks whether it may join.
	joinCheckInterval = 20 * time.Millisecond
	// maxJoinPeers bounds the peers that a starting node remembers to ask.
	maxJoinPeers = 64
)

// A joiner holds a starting node back until it has the state of a peer. The store
// alone may show tables and entries that are older than those in use, because it
// was restored from a copy. Its exported fields must be set before Run.
type joiner struct {
	Self netip.Addr
	// IsLoaded reports whether the node has tables and a server list.
	IsLoaded func() bool
	// Candidates returns the nodes to which every node keeps links.
	Candidates func() []netip.Addr
	// Request returns the frame that requests the complete state.
	Request func() *linkwire.Frame

	joined atomic.Bool

	mu       sync.Mutex
	peers    []*linker.Link      // to ask, in the order of their heartbeats
	starting map[netip.Addr]bool // peers that are starting themselves
	isAsked  map[netip.Addr]bool
}

// Run asks one peer after the other for its state. It returns once the node has
// joined, with the reason, or an empty one if ctx is done first.
func (j *joiner) Run(ctx context.Context) (reason string) {
	ticker := time.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	var loadedAt, askedAt time.Time
	for {
		now := time.Now()
		if loadedAt.IsZero() && j.IsLoaded() {
			loadedAt = now
		}
		switch {
		case j.joined.Load():
			return "state of a peer received"
		case !loadedAt.IsZero() && j.hasNoRunningPeer():
			j.joined.Store(true)
			return "all peers are starting"
		case !loadedAt.IsZero() && now.Sub(loadedAt) > joinTimeout:
			j.joined.Store(true)
			return "no peer has answered"
		}
		if now.Sub(askedAt) > peerFetchTimeout && j.askNext() {
			askedAt = now
		}
		select {
		case <-ctx.Done():
			return ""
		case <-ticker.C:
		}
	}
}

// recordBeat records a heartbeat of a peer.
func (j *joiner) recordBeat(l *linker.Link, b *linkwire.Beat) {
	if j.joined.Load() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.starting == nil {
		j.starting, j.isAsked = make(map[netip.Addr]bool), make(map[netip.Addr]bool)
	}
	j.starting[l.Peer] = b.Starting
	if !b.Starting && b.Servers > 0 && !j.isAsked[l.Peer] && len(j.isAsked) < maxJoinPeers {
		j.isAsked[l.Peer] = true
		j.peers = append(j.peers, l)
	}
}

// recordSnapshot records that a snapshot of a peer has been applied.
func (j *joiner) recordSnapshot(peer netip.Addr, s *linkwire.Snapshot) {
	if j.joined.Load() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if isStarting, known := j.starting[peer]; s.Whole && known && !isStarting && j.IsLoaded() {
		j.joined.Store(true)
	}
}

// askNext asks the next peer that is still linked and reports whether there is one.
func (j *joiner) askNext() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.peers) > 0 {
		link := j.peers[0]
		j.peers = j.peers[1:]
		if !link.IsClosed() {
			link.Send(j.Request())
			return true
		}
	}
	return false
}

// hasNoRunningPeer reports whether all other candidates have announced that they
// are starting.
func (j *joiner) hasNoRunningPeer() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.Candidates() {
		if a != j.Self && !j.starting[a] {
			return false
		}
	}
	return true
}

// join runs the joiner and announces that the node has started.
func (n *Node) join(ctx context.Context) {
	start := time.Now()
	reason := n.joiner.Run(ctx)
	if reason == "" {
		return
	}
	v := n.syncer.Versions()
	n.Log.WithField("reason", reason).WithField("version", v.Tables).WithField("era", v.Servers.Era).WithField("revision", v.Servers.Revision).
		WithField("tookMs", time.Since(start).Milliseconds()).Info("node joined")
	n.announceState()
}

// servingResolver returns the resolver of the active tables, or nil while the node
// is starting.
func (n *Node) servingResolver() *resolver.Resolver {
	if !n.joiner.joined.Load() {
		return nil
	}
	return n.syncer.Resolver()
}

// completeStateFrame requests the complete server list and newer tables.
func (n *Node) completeStateFrame() *linkwire.Frame {
	v := n.syncer.Versions()
	return fetchFrame(sequencer.Versions{Tables: v.Tables, Servers: sequencer.Position{Era: v.Servers.Era}})
}

// isLoaded reports whether the node has tables and a server list.
func (n *Node) isLoaded() bool { return n.syncer.Resolver() != nil && n.syncer.List() != nil }
