package mesher

import (
	"cmp"
	"context"
	"hash/fnv"
	"net/netip"
	"slices"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// readersPerRegion nodes watch the store; the others learn from them. Two,
	// so that one may be lost.
	readersPerRegion = 2
	// readerBeat is how often a reader shows that the store answers it.
	readerBeat = 400 * time.Millisecond
	// readerSilence is the silence of all readers after which a node reads the
	// store itself. Each further node in the order of readers waits a little
	// longer, so that a few take over and not all.
	readerSilence = time.Second
	readerStagger = 50 * time.Millisecond
	maxStagger    = 600 * time.Millisecond
	// contacts is the number of nodes, first in the order of readers of each
	// region, to which every node keeps a link. Other links open on demand.
	contacts = 4
)

// readers decides which nodes of the region read the store. Its exported
// fields must be set before use.
type readers struct {
	Self   netip.Addr
	Region string
	List   func() *lister.List
	State  func(netip.Addr) (linked, silent bool)

	mu   sync.Mutex
	last time.Time             // when a reader last showed that it is served
	any  time.Time             // when any node of the region was last heard
	said map[netip.Addr]string // region of each node heard
}

// heard notes a beat, and whether its sender is a reader that is served.
func (r *readers) heard(a netip.Addr, region string, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.said == nil {
		r.said = make(map[netip.Addr]string)
	}
	r.said[a] = region
	if region != r.Region {
		return
	}
	r.any = time.Now()
	if served {
		r.last = r.any
	}
}

// regionOf returns the region of a node, as the list or the node says.
func (r *readers) regionOf(a netip.Addr) string {
	if list := r.List(); list != nil {
		if region := list.Region(a); region != "" {
			return region
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.said[a]
}

// silence returns for how long no node of the region has been heard. Readers
// beat all the time, so a long silence means that this node is cut off.
func (r *readers) silence() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.any)
}

// isReader tells whether this node reads the store now.
func (r *readers) isReader() bool {
	place := r.place()
	if place < readersPerRegion {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stagger := min(maxStagger, time.Duration(place-readersPerRegion)*readerStagger)
	return time.Since(r.last) > readerSilence+stagger
}

// place returns this node's place in the order of readers, in which nodes
// without a link do not count.
func (r *readers) place() int {
	place := 0
	for _, a := range r.order(r.Region) {
		if a == r.Self {
			return place
		}
		if linked, _ := r.State(a); linked {
			place++
		}
	}
	return place
}

// order returns the nodes of a region in the order in which they read.
func (r *readers) order(region string) []netip.Addr {
	list := r.List()
	if list == nil {
		return nil
	}
	var out []netip.Addr
	for a := range list.Addresses {
		if list.Region(a) == region {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b netip.Addr) int { return cmp.Compare(readerHash(a), readerHash(b)) })
	return out
}

// first returns the first nodes of all regions in the order of readers.
func (r *readers) first(n int) []netip.Addr {
	list := r.List()
	if list == nil {
		return nil
	}
	var out []netip.Addr
	for _, region := range list.Regions() {
		order := r.order(region)
		out = append(out, order[:min(n, len(order))]...)
	}
	return out
}

func readerHash(a netip.Addr) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(a.AsSlice())
	return h.Sum64()
}

// connectContacts opens the links that every node keeps, as far as they are
// missing.
func (n *Node) connectContacts() {
	for _, a := range n.readers.first(contacts) {
		if a != n.Settings.Listen.Links.Addr() {
			n.linker.Connect(a)
		}
	}
}

// beatAsReader shows the region that this node reads the store, and whether
// the store answers it. It also mends the links to contacts.
func (n *Node) beatAsReader(ctx context.Context) {
	ticker := time.NewTicker(readerBeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.connectContacts()
		if n.readers.isReader() {
			beat := n.beat()
			n.linker.Broadcast(func() *linkwire.Frame {
				return &linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}}
			}, n.isNear)
		}
	}
}

// announce tells what this node holds: to its region, and, from readers, to
// those that read in other regions, which may not be served by the store.
func (n *Node) announce() {
	far := make(map[netip.Addr]bool)
	if n.readers.isReader() {
		for _, a := range n.readers.first(readersPerRegion) {
			far[a] = true
		}
	}
	n.linker.Announce(func(a netip.Addr) bool { return far[a] || n.isNear(a) })
}
