package mesher

import (
	"fmt"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"apricotrudder.dev/wire/linkwire"
)

// Scopes of a link, by the place of the peer.
const (
	sameDataCentre scope = iota
	sameRegion
	otherRegion
	unlisted // the peer has no listed backend server
	scopeCount
)

type (
	scope int

	// A trafficCounter counts the frames and bytes that this node sends to its peers,
	// by kind of frame and by scope.
	trafficCounter struct {
		metrics *metrics.Set
		scopeOf func(netip.Addr) scope
		kinds   map[string]*[scopeCount]frameCounters
	}

	frameCounters struct{ frames, bytes *metrics.Counter }
)

var (
	scopeNames = [scopeCount]string{"dataCentre", "region", "otherRegion", "unlisted"}
	frameKinds = []string{"run", "cancel", "result", "beat", "fetch", "snapshot", "usage", "borrow", "grant", "blame", "other"}
)

func newTrafficCounter(set *metrics.Set, scopeOf func(netip.Addr) scope) *trafficCounter {
	c := &trafficCounter{metrics: set, scopeOf: scopeOf, kinds: make(map[string]*[scopeCount]frameCounters)}
	for _, kind := range frameKinds {
		counters := &[scopeCount]frameCounters{}
		for s, name := range scopeNames {
			counters[s].frames = set.GetOrCreateCounter(fmt.Sprintf(`apricot_link_frames_sent_total{kind=%q,scope=%q}`, kind, name))
			counters[s].bytes = set.GetOrCreateCounter(fmt.Sprintf(`apricot_link_bytes_sent_total{kind=%q,scope=%q}`, kind, name))
		}
		c.kinds[kind] = counters
	}
	return c
}

func (c *trafficCounter) count(peer netip.Addr, frame *linkwire.Frame, bytes int) {
	counters := &c.kinds[kindOf(frame)][c.scopeOf(peer)]
	counters.frames.Inc()
	counters.bytes.Add(bytes)
}

// sentFrames returns the number of frames of a kind that have been sent.
func (c *trafficCounter) sentFrames(kind string) uint64 {
	total := uint64(0)
	for _, counters := range c.kinds[kind] {
		total += counters.frames.Get()
	}
	return total
}

func kindOf(frame *linkwire.Frame) string {
	switch frame.Kind.(type) {
	case *linkwire.Frame_Run:
		return "run"
	case *linkwire.Frame_Cancel:
		return "cancel"
	case *linkwire.Frame_Result:
		return "result"
	case *linkwire.Frame_Beat:
		return "beat"
	case *linkwire.Frame_Fetch:
		return "fetch"
	case *linkwire.Frame_Snapshot:
		return "snapshot"
	case *linkwire.Frame_Usage:
		return "usage"
	case *linkwire.Frame_Borrow:
		return "borrow"
	case *linkwire.Frame_Grant:
		return "grant"
	case *linkwire.Frame_Blame:
		return "blame"
	}
	return "other"
}

// scopeOf returns the scope of links to a node.
func (n *Node) scopeOf(a netip.Addr) scope {
	list := n.syncer.List()
	if list == nil {
		return unlisted
	}
	switch list.RegionOf(a) {
	case "":
		return unlisted
	case n.Settings.Region:
	default:
		return otherRegion
	}
	if list.DataCentreOf(a) == n.Settings.DataCentre {
		return sameDataCentre
	}
	return sameRegion
}
