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
	// startHold is how long after the start of a node its callers' requests wait for
	// it to join. Later ones are refused at once, since something is wrong then.
	startHold = 1200 * time.Millisecond
	// maxJoinPeers bounds the peers that a starting node takes into account.
	maxJoinPeers = 64
	// minJoinPeers is the number of running peers that a starting node must hear from
	// if the store does not answer it. A single one may have been cut off for long. A
	// node that has joined without them takes their states once it hears from them.
	minJoinPeers = 3
)

// A joiner holds a starting node back until it has the state of a peer. The store
// alone may show tables and entries that are older than those in use, because it
// was restored from a copy. It lacks what has been removed, which a later copy may
// contain; so a node that was cut off from its peers goes on asking them after it has
// joined. Its exported fields must be set before Run.
type joiner struct {
	Self netip.Addr
	// IsLoaded reports whether the node has tables and a server list.
	IsLoaded func() bool
	// HasStoreAnswered reports whether the store has answered this node.
	HasStoreAnswered func() bool
	// IsNewer reports whether a peer announces newer state than this node has.
	IsNewer func(*linkwire.Beat) bool
	// Candidates returns the nodes to which every node keeps links.
	Candidates func() []netip.Addr
	// Fetch requests the complete state from the peers that have been passed to it,
	// one after the other.
	Fetch func(*linker.Link, *linkwire.Beat)

	joined    atomic.Bool
	wasCutOff atomic.Bool   // the node has joined and needs the states of more peers
	settled   atomic.Bool   // the node needs nothing more
	done      chan struct{} // closed when the node has joined

	mu       sync.Mutex
	beats    map[netip.Addr]*linkwire.Beat // last one of each peer
	statesOf map[netip.Addr]bool           // running peers whose complete state was applied
}

// Run returns once the node has joined, with the reason, or an empty one if ctx is
// done first.
func (j *joiner) Run(ctx context.Context) (reason string) {
	if reason = j.await(ctx); reason != "" {
		j.joined.Store(true)
		close(j.done)
	}
	return reason
}

// await returns the reason for which the node may join.
func (j *joiner) await(ctx context.Context) (reason string) {
	ticker := time.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	var loadedAt time.Time
	for {
		now := time.Now()
		if loadedAt.IsZero() && j.IsLoaded() {
			loadedAt = now
		}
		switch {
		case !loadedAt.IsZero() && j.hasCurrentState():
			return "state of a peer received"
		case !loadedAt.IsZero() && j.hasNoRunningPeer():
			return "all peers are starting"
		case !loadedAt.IsZero() && now.Sub(loadedAt) > joinTimeout:
			return "peers have not answered in time"
		}
		select {
		case <-ctx.Done():
			return ""
		case <-ticker.C:
		}
	}
}

// Settle decides after the node has joined, but not before joinTimeout after its
// start, whether it was cut off from its peers.
func (j *joiner) Settle(ctx context.Context, startedAt time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(joinTimeout - time.Since(startedAt)):
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.runningPeers() >= minJoinPeers {
		j.settle()
		return
	}
	j.wasCutOff.Store(true)
}

// settle ends the work of the joiner. j.mu must be held.
func (j *joiner) settle() {
	j.settled.Store(true)
	j.wasCutOff.Store(false)
	j.beats, j.statesOf = nil, nil
}

// needsState reports whether the node needs the complete state of another peer.
func (j *joiner) needsState() bool { return !j.joined.Load() || j.wasCutOff.Load() }

// runningPeers returns the number of peers that are not starting. j.mu must be held.
func (j *joiner) runningPeers() int {
	n := 0
	for _, b := range j.beats {
		if !b.Starting {
			n++
		}
	}
	return n
}

// recordBeat records a heartbeat of a peer.
func (j *joiner) recordBeat(l *linker.Link, b *linkwire.Beat) {
	if j.settled.Load() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.beats == nil {
		j.beats = make(map[netip.Addr]*linkwire.Beat)
	}
	previous := j.beats[l.Peer]
	if previous == nil && len(j.beats) >= maxJoinPeers {
		return
	}
	j.beats[l.Peer] = b
	if j.needsState() && hasState(b) && !hasState(previous) {
		j.Fetch(l, b)
	}
}

// hasState reports whether a heartbeat is from a running peer with a server list.
func hasState(b *linkwire.Beat) bool {
	return b.GetServers() > 0 && !b.GetStarting()
}

// recordSnapshot records that a snapshot of a peer has been applied.
func (j *joiner) recordSnapshot(peer netip.Addr, s *linkwire.Snapshot) {
	if j.settled.Load() {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.beats[peer]
	if !s.Whole || b == nil || b.Starting {
		return
	}
	if j.statesOf == nil {
		j.statesOf = make(map[netip.Addr]bool)
	}
	j.statesOf[peer] = true
	if j.wasCutOff.Load() && len(j.statesOf) >= minJoinPeers {
		j.settle()
	}
}

// hasCurrentState reports whether the node has the state of a running peer and no
// peer has announced a newer one.
func (j *joiner) hasCurrentState() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range j.beats {
		if j.IsNewer(b) {
			return false
		}
	}
	return len(j.statesOf) > 0 && (j.runningPeers() >= minJoinPeers || j.HasStoreAnswered())
}

// hasNoRunningPeer reports whether all other candidates have announced that they
// are starting.
func (j *joiner) hasNoRunningPeer() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.Candidates() {
		if a != j.Self && !j.beats[a].GetStarting() {
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
	n.joiner.Settle(ctx, start)
}

// awaitJoin waits until the node has joined, at most until startHold after its start.
func (n *Node) awaitJoin(ctx context.Context) {
	hold, cancel := context.WithDeadline(ctx, n.startedAt.Add(startHold))
	defer cancel()
	select {
	case <-n.joiner.done:
	case <-hold.Done():
	}
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
