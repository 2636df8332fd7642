package mesher

import (
	"net/netip"
	"testing"

	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/wire/linkwire"
)

// Guards against a node that serves with the state of one peer although another has
// announced a newer one.
func TestJoinerWaitsForAnnouncedState(t *testing.T) {
	held := uint64(1)
	j := &joiner{
		IsLoaded:         func() bool { return true },
		HasStoreAnswered: func() bool { return true },
		IsNewer:          func(b *linkwire.Beat) bool { return b.Tables > held },
		Fetch:            func(*linker.Link, *linkwire.Beat) {},
	}
	first := &linker.Link{Peer: netip.MustParseAddr("10.0.0.1")}
	second := &linker.Link{Peer: netip.MustParseAddr("10.0.0.2")}
	j.recordBeat(first, &linkwire.Beat{Tables: 1, Servers: 1})
	if j.hasCurrentState() {
		t.Error("without the state of a peer: got current, want not current")
	}
	j.recordSnapshot(first.Peer, &linkwire.Snapshot{Whole: true})
	j.recordBeat(second, &linkwire.Beat{Tables: 2, Servers: 1})
	if j.hasCurrentState() {
		t.Error("while a peer announces a newer version: got current, want not current")
	}
	held = 2
	if !j.hasCurrentState() {
		t.Error("with the newer version: got not current, want current")
	}
}
