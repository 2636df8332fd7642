package mesher

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/keeper"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// demandInterval is how often regions tell each other what is asked of them.
	demandInterval = time.Second
	// inflateLimit bounds tables that a peer sends, in bytes.
	inflateLimit = 64 << 20
)

func (n *Node) beat() *linkwire.Beat {
	tables, servers := n.keeper.Versions()
	return &linkwire.Beat{
		Tables:  tables,
		Servers: servers,
		Leaving: n.leaving.Load(),
		Served:  n.readers.isReader() && n.keeper.IsServed(),
		Vouched: n.voucher.current(),
		Region:  n.Settings.Region,
	}
}

// receive takes what peers send besides exchanges.
func (n *Node) receive(l *linker.Link, frame *linkwire.Frame) {
	switch kind := frame.Kind.(type) {
	case *linkwire.Frame_Beat:
		n.receiveBeat(l, kind.Beat)
	case *linkwire.Frame_Fetch:
		n.sendState(l, kind.Fetch)
	case *linkwire.Frame_Snapshot:
		if err := n.takeState(l, kind.Snapshot); err != nil {
			n.Log.WithError(err).WithField("peer", l.Peer).Error("state of a peer rejected")
		}
	case *linkwire.Frame_Blame:
		n.quarantine.Blame(kind.Blame.Fingerprints)
	case *linkwire.Frame_Usage:
		if reply := n.rationer.Hear(l.Peer, kind.Usage); reply != nil {
			l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Usage{Usage: reply}})
		}
	}
}

func (n *Node) receiveBeat(l *linker.Link, b *linkwire.Beat) {
	if b.Reply {
		l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: n.beat()}})
	}
	n.readers.heard(l.Peer, b.Region, b.Served)
	if b.Served {
		n.keeper.PeerServed()
	}
	if b.Leaving {
		n.chooser.Leave(l.Peer)
	}
	n.keeper.Vouch(l.Peer, b.Vouched)
	if !n.isBehind(b) {
		return
	}
	delay := time.Duration(0)
	if n.keeper.IsServed() {
		delay = fetchDelay
	}
	n.fetcher.offered(l, b, delay)
}

// isBehind tells whether a peer has state that this node lacks.
func (n *Node) isBehind(b *linkwire.Beat) bool {
	tables, servers := n.keeper.Versions()
	return b.Tables > tables || b.Servers > servers
}

func (n *Node) fetchRequest() *linkwire.Frame {
	tables, servers := n.keeper.Versions()
	return &linkwire.Frame{Kind: &linkwire.Frame_Fetch{Fetch: &linkwire.Fetch{Tables: tables, Servers: servers}}}
}

func (n *Node) sendState(l *linker.Link, f *linkwire.Fetch) {
	state := n.keeper.Since(f.Tables, f.Servers)
	out := &linkwire.Snapshot{Tables: deflate(state.Tables), Revision: state.Revision, Whole: state.Whole}
	for _, item := range state.Servers {
		out.Items = append(out.Items, &linkwire.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Gone: item.Gone, HeldForMs: uint32(item.HeldFor.Milliseconds()),
		})
	}
	l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Snapshot{Snapshot: out}})
}

func (n *Node) takeState(l *linker.Link, s *linkwire.Snapshot) error {
	tables, err := inflate(s.Tables)
	if err != nil {
		return fmt.Errorf("read tables: %w", err)
	}
	state := &keeper.Snapshot{Tables: tables, Revision: s.Revision, Whole: s.Whole}
	for _, item := range s.Items {
		state.Servers = append(state.Servers, keeper.Item{
			Key: item.Key, Value: item.Value, Revision: item.Revision, Gone: item.Gone, HeldFor: time.Duration(item.HeldForMs) * time.Millisecond,
		})
	}
	n.keeper.Apply(state, l.Peer.String())
	return nil
}

func deflate(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("make deflate writer: %v", err)) // the level is a constant
	}
	_, _ = w.Write(data) // a bytes.Buffer takes everything
	_ = w.Close()
	return out.Bytes()
}

func inflate(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), inflateLimit))
	if err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	return out, nil
}

// tellDemand tells the keepers of other regions what is asked of this one.
func (n *Node) tellDemand(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, notice := range n.rationer.Notices() {
				n.linker.SendTo(notice.Keeper, &linkwire.Frame{Kind: &linkwire.Frame_Usage{Usage: notice.Usage}})
			}
		}
	}
}

// isNear tells whether a node is in the own region. A node whose backend
// server is not listed has said so itself.
func (n *Node) isNear(a netip.Addr) bool {
	return n.readers.regionOf(a) == n.Settings.Region
}
