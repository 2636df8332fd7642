package mesher

import (
	"cmp"
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/syncer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// readersPerRegion is the number of nodes of a region that watch the store;
	// the others receive changes from them. With two, one may fail.
	readersPerRegion = 2
	// A reader sends a heartbeat, which says when the store answered it, with each answer
	// that brings no change and readerHeartbeatInterval after the last one.
	readerHeartbeatInterval = 520 * time.Millisecond
	// readerTimeout is the age that the last answer of the store to any reader of a
	// region may reach before another node reads the store itself: the longest interval
	// between two answers, and the time that the later one takes to be told. It
	// rises by readerStagger with each rank, up to maxReaderStagger, so that only a few
	// nodes take over. docs/design/freshness.md has the sum of which it is a part.
	readerTimeout    = syncer.MaxAnswerInterval + 200*time.Millisecond
	readerStagger    = 50 * time.Millisecond
	maxReaderStagger = 300 * time.Millisecond
	// maxReaderRank is the rank from which all nodes take over at the same time.
	maxReaderRank = readersPerRegion + int(maxReaderStagger/readerStagger)
	// announceFanOut is the number of linked nodes of the region to which a node that
	// is no reader announces a change.
	announceFanOut = 6
	// While a node hears neither a reader nor the store, it asks inquiryFanOut linked
	// nodes for their versions in each readerHeartbeatInterval, and as many of those
	// that it has heard most recently, since links to others may be dead.
	inquiryFanOut = 2
	// persistentPeersPerRegion is the number of nodes in each region, the first
	// ones by readerHash, to which every node keeps a link. Other links are opened
	// on demand.
	persistentPeersPerRegion = 4
)

// A readerSelector decides whether this node reads the store for its region.
// Nodes are ranked by a hash of their address, without those that this node has no
// link to, and the first readersPerRegion are the readers. Its exported fields must
// be set before use.
type readerSelector struct {
	Self      netip.Addr
	Region    string
	List      func() *lister.List
	PeerState func(netip.Addr) (linked, unresponsive bool)

	mu                  sync.Mutex
	lastReaderAnswer    time.Time             // last answer of the store to a reader of the region
	lastRegionHeartbeat time.Time             // last heartbeat of any node of the region
	announcedRegions    map[netip.Addr]string // by node, from heartbeats
	ordered             *lister.List          // the list to which orders belongs
	orders              map[string][]netip.Addr
}

// recordBeat records a heartbeat of a node.
func (r *readerSelector) recordBeat(a netip.Addr, region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcedRegions == nil {
		r.announcedRegions = make(map[netip.Addr]string)
	}
	r.announcedRegions[a] = region
	if region == r.Region {
		r.lastRegionHeartbeat = time.Now()
	}
}

// recordAnswer records how long ago the store answered a reader of a region. The age is
// that of the answer, not of the heartbeat: a reader that is cut off from the store goes
// on sending heartbeats.
func (r *readerSelector) recordAnswer(region string, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := time.Now().Add(-ago); region == r.Region && at.After(r.lastReaderAnswer) {
		r.lastReaderAnswer = at
	}
}

// answerAge returns the time since the store last answered a reader of the region, as
// far as this node has been told.
func (r *readerSelector) answerAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastReaderAnswer)
}

// regionOf returns the region of a node from the server list or, if the node is
// not listed, from its heartbeats.
func (r *readerSelector) regionOf(a netip.Addr) string {
	if list := r.List(); list != nil {
		if region := list.RegionOf(a); region != "" {
			return region
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcedRegions[a]
}

// regionSilence returns the time since the last heartbeat of any node of the
// region. Readers send heartbeats continuously, so a long silence means that this
// node is cut off.
func (r *readerSelector) regionSilence() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastRegionHeartbeat)
}

// isReader reports whether this node reads the store now: because of its rank, or
// because it takes over from readers that the store has not answered for too long.
func (r *readerSelector) isReader() bool {
	rank := r.readerRank()
	if rank < readersPerRegion {
		return true
	}
	stagger := min(maxReaderStagger, time.Duration(rank-readersPerRegion)*readerStagger)
	return r.answerAge() > readerTimeout+stagger
}

// readerRank returns the number of linked nodes that precede this node among the
// candidates of the region, at most maxReaderRank. Nodes without a link are assumed
// to be down.
func (r *readerSelector) readerRank() int {
	rank := 0
	for _, a := range r.candidates(r.Region) {
		if a == r.Self || rank == maxReaderRank {
			return rank
		}
		if linked, _ := r.PeerState(a); linked {
			rank++
		}
	}
	return rank
}

// candidates returns the nodes of a region, sorted by readerHash. The order is cached
// until the server list changes; callers must not modify it.
func (r *readerSelector) candidates(region string) []netip.Addr {
	list := r.List()
	if list == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ordered != list {
		r.ordered, r.orders = list, ordersByRegion(list)
	}
	return r.orders[region]
}

// ordersByRegion returns the nodes of each region, sorted by readerHash.
func ordersByRegion(list *lister.List) map[string][]netip.Addr {
	orders := make(map[string][]netip.Addr)
	for a := range list.Addresses {
		region := list.RegionOf(a)
		orders[region] = append(orders[region], a)
	}
	for _, order := range orders {
		slices.SortFunc(order, func(a, b netip.Addr) int { return cmp.Compare(readerHash(a), readerHash(b)) })
	}
	return orders
}

// firstCandidates returns the first n candidates of every region.
func (r *readerSelector) firstCandidates(n int) []netip.Addr {
	list := r.List()
	if list == nil {
		return nil
	}
	var out []netip.Addr
	for _, region := range list.Regions() {
		candidates := r.candidates(region)
		out = append(out, candidates[:min(n, len(candidates))]...)
	}
	return out
}

func readerHash(a netip.Addr) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(a.AsSlice())
	return h.Sum64()
}

// connectPersistentPeers opens missing links to the persistent peers.
func (n *Node) connectPersistentPeers() {
	for _, a := range n.readers.firstCandidates(persistentPeersPerRegion) {
		if a != n.Settings.Listen.Links.Addr() {
			n.linker.Connect(a)
		}
	}
}

// sendReaderHeartbeats sends heartbeats to the region while this node reads the
// store. It also reopens lost links to the persistent peers, and asks some nodes for
// their versions while this node hears neither a reader nor the store.
func (n *Node) sendReaderHeartbeats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.idleAnswers:
		case <-time.After(readerHeartbeatInterval):
		}
		n.connectPersistentPeers()
		if n.readers.isReader() {
			n.linker.Announce(n.inLocalRegion)
		}
		if n.readers.answerAge() > readerTimeout && !n.syncer.IsStoreAvailable() {
			n.inquire()
		}
	}
}

// inquire asks some linked nodes for their versions.
func (n *Node) inquire() {
	peers := n.linker.LinkedPeers()
	asked := sampleOf(peers, inquiryFanOut)
	for _, a := range peers[:min(inquiryFanOut, len(peers))] {
		asked[a] = true
	}
	beat := n.beat()
	beat.Reply = true
	n.linker.Broadcast(func() *linkwire.Frame {
		return &linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}}
	}, func(a netip.Addr) bool { return asked[a] })
}

// sampleOf returns n of the addresses, or all if there are fewer, chosen at random.
func sampleOf(addresses []netip.Addr, n int) map[netip.Addr]bool {
	out := make(map[netip.Addr]bool, n)
	for _, i := range rand.Perm(len(addresses))[:min(n, len(addresses))] {
		out[addresses[i]] = true
	}
	return out
}

// announceState tells other nodes which versions this node has. A reader tells all
// linked nodes of its region, and the readers of other regions, which may have no
// access to the store. Any other node tells some of its region, so that changes also
// reach nodes that no reader reaches.
func (n *Node) announceState() {
	if !n.readers.isReader() {
		peers := slices.DeleteFunc(n.linker.LinkedPeers(), func(a netip.Addr) bool { return !n.inLocalRegion(a) })
		told := sampleOf(peers, announceFanOut)
		n.linker.Announce(func(a netip.Addr) bool { return told[a] })
		return
	}
	allReaders := make(map[netip.Addr]bool)
	for _, a := range n.readers.firstCandidates(readersPerRegion) {
		allReaders[a] = true
	}
	n.linker.Announce(func(a netip.Addr) bool { return allReaders[a] || n.inLocalRegion(a) })
}
