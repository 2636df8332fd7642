package mesher

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/process/repeater"
	"apricotrudder.dev/apricotd/syncer"
	"apricotrudder.dev/apricotd/version/sequencer"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// demandInterval is how often a region reports its demand to the others.
	demandInterval = time.Second
	// maxInflatedBytes bounds the uncompressed size of tables from a peer.
	maxInflatedBytes = 64 << 20
)

// beat returns this node's heartbeat.
func (n *Node) beat() *linkwire.Beat {
	v := n.syncer.Versions()
	beat := &linkwire.Beat{
		Tables:   v.Tables,
		Servers:  v.Servers.Revision,
		Era:      &v.Servers.Era,
		Leaving:  n.leaving.Load(),
		Vouched:  n.vouching.current(),
		Region:   n.Settings.Region,
		Notice:   n.announcedNotice(),
		Starting: !n.joiner.joined.Load(),

		Evacuations:    v.Evacuations.Revision,
		EvacuationEras: v.Evacuations.Era,
	}
	if age, ok := n.syncer.StoreAnswerAge(); ok && n.readers.isReader() {
		beat.Served, beat.AnsweredAgoMs = true, proto.Uint32(converter.Uint32(age.Milliseconds()))
	}
	return beat
}

// requestBeat asks a peer for a heartbeat.
func (n *Node) requestBeat(a netip.Addr) {
	beat := n.beat()
	beat.Reply = true
	n.linker.SendFrame(a, &linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: beat}})
}

// handleFrame handles the frames of a peer that belong to no exchange.
func (n *Node) handleFrame(l *linker.Link, frame *linkwire.Frame) {
	switch kind := frame.Kind.(type) {
	case *linkwire.Frame_Beat:
		n.handleBeat(l, kind.Beat)
	case *linkwire.Frame_Fetch:
		n.sendSnapshot(l, kind.Fetch)
	case *linkwire.Frame_Snapshot:
		if err := n.applySnapshot(l, kind.Snapshot); err != nil {
			n.Log.WithError(err).WithField("peer", l.Peer).Error("snapshot from peer rejected")
			return
		}
		n.joiner.recordSnapshot(l.Peer, kind.Snapshot)
	case *linkwire.Frame_Blame:
		n.quarantine.Blame(kind.Blame.Fingerprints)
	case *linkwire.Frame_Usage:
		if reply := n.policer.ReceiveUsage(l.Peer, kind.Usage); reply != nil {
			l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Usage{Usage: reply}})
		}
	}
}

func (n *Node) handleBeat(l *linker.Link, b *linkwire.Beat) {
	if b.Reply {
		reply := n.beat()
		reply.Notice = n.warmer.Mark(n.noticer.Message())
		l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Beat{Beat: reply}})
	}
	n.notices.Record(l.Peer, b.Notice)
	n.readers.recordBeat(l.Peer, b.Region)
	n.joiner.recordBeat(l, b)
	if b.Served {
		ago := time.Duration(b.GetAnsweredAgoMs()) * time.Millisecond
		n.readers.recordAnswer(b.Region, ago)
		n.syncer.RecordPeerStoreAccess(position(b.Era, b.Servers), ago)
	}
	if b.Leaving {
		n.picker.MarkLeaving(l.Peer)
	}
	n.syncer.ReportHealth(l.Peer, b.Vouched)
	if !n.hasNewerState(b) {
		return
	}
	delay := time.Duration(0)
	if n.syncer.IsStoreAvailable() {
		delay = fetchDelay
	}
	n.fetcher.addAnnouncement(l, b, delay)
}

// hasNewerState reports whether the sender of a heartbeat has newer tables or a
// newer server list than this node.
func (n *Node) hasNewerState(b *linkwire.Beat) bool {
	return n.syncer.Versions().IsBehind(sequencer.Versions{
		Tables: b.Tables, Servers: position(b.Era, b.Servers),
		Evacuations: sequencer.Position{Era: b.EvacuationEras, Revision: b.Evacuations},
	})
}

func (n *Node) fetchFrame() *linkwire.Frame { return fetchFrame(n.syncer.Versions()) }

// fetchFrame returns the frame that requests the state after the given versions.
func fetchFrame(v sequencer.Versions) *linkwire.Frame {
	return &linkwire.Frame{Kind: &linkwire.Frame_Fetch{Fetch: &linkwire.Fetch{
		Tables: v.Tables, Servers: v.Servers.Revision, Era: &v.Servers.Era,
		Evacuations: v.Evacuations.Revision, EvacuationEras: v.Evacuations.Era,
	}}}
}

// position returns the position for a revision in a frame. A nil era is that of a
// peer whose program does not know eras.
func position(era *int64, revision uint64) sequencer.Position {
	if era == nil {
		return sequencer.Position{Era: sequencer.NoEra, Revision: revision}
	}
	return sequencer.Position{Era: *era, Revision: revision}
}

func (n *Node) sendSnapshot(l *linker.Link, f *linkwire.Fetch) {
	state := n.syncer.ChangesSince(sequencer.Versions{
		Tables: f.Tables, Servers: position(f.Era, f.Servers),
		Evacuations: sequencer.Position{Era: f.EvacuationEras, Revision: f.Evacuations},
	})
	out := &linkwire.Snapshot{
		Tables: deflate(state.Tables), Revision: state.Position.Revision, Era: &state.Position.Era, Whole: state.Full,
		SinceRevision: state.Since.Revision, SinceEra: &state.Since.Era,
	}
	for _, item := range state.Servers {
		out.Items = append(out.Items, &linkwire.Item{
			Key: item.Key, Value: item.Value, Revision: item.Position.Revision, Era: &item.Position.Era, Gone: item.Removed,
			HeldForMs: uint32(item.GraceLeft.Milliseconds()), GoneForMs: uint32(item.RemovedFor.Milliseconds()), GoneFrom: uint32(item.RemovedFrom),
		})
	}
	for _, e := range state.Evacuations {
		out.Evacuations = append(out.Evacuations, &linkwire.Evacuation{
			Key: e.Key, Era: e.Position.Era, Revision: e.Position.Revision, Ended: e.Ended, ForMs: converter.Uint32(e.For.Milliseconds()),
		})
	}
	l.Send(&linkwire.Frame{Kind: &linkwire.Frame_Snapshot{Snapshot: out}})
}

func (n *Node) applySnapshot(l *linker.Link, s *linkwire.Snapshot) error {
	tables, err := inflate(s.Tables)
	if err != nil {
		return fmt.Errorf("decompress tables: %w", err)
	}
	state := &syncer.Snapshot{Tables: tables, Position: position(s.Era, s.Revision), Since: position(s.SinceEra, s.SinceRevision), Full: s.Whole}
	for _, item := range s.Items {
		state.Servers = append(state.Servers, syncer.Item{
			Key: item.Key, Value: item.Value, Position: position(item.Era, item.Revision), Removed: item.Gone,
			GraceLeft: time.Duration(item.HeldForMs) * time.Millisecond, RemovedFor: time.Duration(item.GoneForMs) * time.Millisecond, RemovedFrom: int(item.GoneFrom),
		})
	}
	for _, e := range s.Evacuations {
		state.Evacuations = append(state.Evacuations, syncer.Evacuation{
			Key: e.Key, Position: sequencer.Position{Era: e.Era, Revision: e.Revision}, Ended: e.Ended, For: time.Duration(e.ForMs) * time.Millisecond,
		})
	}
	n.syncer.Apply(state, l.Peer.String())
	return nil
}

func deflate(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("create deflate writer: %v", err)) // only an invalid level is an error
	}
	_, _ = w.Write(data) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return out.Bytes()
}

func inflate(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxInflatedBytes))
	if err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	return out, nil
}

// reportDemand periodically sends this region's demand to the nodes in other
// regions that keep the rate-limit buckets of the same organisations.
func (n *Node) reportDemand(ctx context.Context) {
	repeater.Run(ctx, demandInterval, func(time.Time) {
		for _, report := range n.policer.UsageReports() {
			n.linker.SendFrame(report.Recipient, &linkwire.Frame{Kind: &linkwire.Frame_Usage{Usage: report.Usage}})
		}
	})
}

// inLocalRegion reports whether a node is in this node's region.
func (n *Node) inLocalRegion(a netip.Addr) bool {
	return n.readers.regionOf(a) == n.Settings.Region
}
