package mesher

import (
	"net/netip"
	"slices"
	"testing"

	"apricotrudder.dev/apricotd/version/lister"
)

func listOf(addresses ...string) *lister.List {
	var servers []*lister.Server
	for _, a := range addresses {
		servers = append(servers, &lister.Server{ID: a, Region: "north", Address: netip.AddrPortFrom(netip.MustParseAddr(a), serverPort)})
	}
	return lister.New(1, servers)
}

// Guards against a cached order of candidates that outlives its server list, and
// against sorting the region's nodes again at each check for the role of a reader, of
// which every node makes twenty a second.
func TestCandidatesFollowTheList(t *testing.T) {
	list := listOf("10.1.0.1", "10.1.0.2", "10.1.0.3")
	r := &readerSelector{
		Self: netip.MustParseAddr("10.1.0.4"), Region: "north", List: func() *lister.List { return list },
		PeerState: func(netip.Addr) (linked, unresponsive bool) { return true, false },
	}
	if got := r.readerRank(); got != 3 {
		t.Errorf("rank without an entry of its own: got %d, want 3", got)
	}
	if allocations := testing.AllocsPerRun(100, func() { r.readerRank() }); allocations > 0 {
		t.Errorf("allocations of a check: got %v, want none", allocations)
	}
	list = listOf("10.1.0.4")
	if got := r.candidates("north"); !slices.Equal(got, []netip.Addr{r.Self}) || r.readerRank() != 0 {
		t.Errorf("candidates of the new list: got %v, want %v", got, r.Self)
	}
}
