package mesher

import (
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
)

// readers decides which nodes of the region read the store. Its exported
// fields must be set before use.
type readers struct {
	Self   netip.Addr
	Region string
	List   func() *lister.List
	State  func(netip.Addr) (linked, silent bool)

	mu   sync.Mutex
	last time.Time // when a reader last showed that it is served
	any  time.Time // when any node of the region was last heard
}

// heard notes a beat, and whether its sender is a reader that is served.
func (r *readers) heard(a netip.Addr, served bool) {
	if list := r.List(); list == nil || list.Region(a) != r.Region {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.any = time.Now()
	if served {
		r.last = r.any
	}
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
	list := r.List()
	if list == nil {
		return 0
	}
	var others []netip.Addr
	for a := range list.Addresses {
		if a != r.Self && list.Region(a) == r.Region {
			others = append(others, a)
		}
	}
	own := readerHash(r.Self)
	others = slices.DeleteFunc(others, func(a netip.Addr) bool { return readerHash(a) > own })
	place := 0
	for _, a := range others {
		if linked, _ := r.State(a); linked {
			place++
		}
	}
	return place
}

func readerHash(a netip.Addr) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(a.AsSlice())
	return h.Sum64()
}

// beatAsReader shows the region that this node reads the store, and whether
// the store answers it.
func (n *Node) beatAsReader(ctx context.Context) {
	ticker := time.NewTicker(readerBeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.readers.isReader() {
			beat := n.beat()
			n.linker.Broadcast(func() *linkwire.Frame {
				return &linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}}
			}, n.isNear)
		}
	}
}
