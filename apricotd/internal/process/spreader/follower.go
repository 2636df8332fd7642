package spreader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/wire/peerwire"
)

// followPeers keeps one stream open, to the best candidate that responds. It runs
// once per slot until ctx is cancelled.
func (s *Spreader) followPeers(ctx context.Context, slot int) {
	attempt := 0
	for ctx.Err() == nil {
		id, ok := s.candidate(slot, attempt)
		if !ok {
			s.sleep(ctx, longPollWait, s.changeSignal())
			continue
		}
		start := timekeeper.Now()
		err := s.watch(ctx, id, attempt > 0)
		if start.Age() > streamTimeout {
			attempt = 0
		} else {
			attempt++
		}
		s.Metrics.GetOrCreateCounter("apricot_spread_watch_ends_total").Inc()
		if err != nil {
			s.sleep(ctx, jitter(heartbeatInterval/5), nil)
		}
	}
}

// candidate returns the peer that a slot watches on the given attempt. Slots start
// at different candidates, so that the loss of one peer breaks only one of the
// node's streams.
func (s *Spreader) candidate(slot, attempt int) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.position.candidates)
	if n == 0 || slot >= n {
		return "", false
	}
	return s.position.candidates[(slot+attempt)%n], true
}

// isPreferred reports whether the peer is still the first candidate of a slot.
func (s *Spreader) isPreferred(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.position.candidates[:min(watchedPeers, len(s.position.candidates))], id)
}

// watch applies the changes that one peer sends until the stream breaks or times
// out, or until the peer is no longer preferred. A fallback peer, watched because
// a preferred one failed, is dropped after 10 stream timeouts, because the
// preferred peer may have recovered.
func (s *Spreader) watch(ctx context.Context, id string, isFallback bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(streamTimeout, cancel)
	defer silenceTimer.Stop()
	start := timekeeper.Now()
	stream, err := s.Peer(id).Watch(ctx, connect.NewRequest(s.watchRequest()))
	if err != nil {
		return fmt.Errorf("watch %s: %w", id, err)
	}
	defer stream.Close()
	lastReceived := timekeeper.Now()
	for stream.Receive() {
		// A gap means that this process or the network path stalled, so the
		// message may be as old as the gap is long.
		if lastReceived.Age() > streamTimeout {
			return fmt.Errorf("watch %s: got no message for %v, want one at least every %v", id, lastReceived.Age(), streamTimeout)
		}
		lastReceived = timekeeper.Now()
		silenceTimer.Reset(streamTimeout)
		if !s.handleResponse(stream.Msg(), id) {
			return fmt.Errorf("watch %s: got a delta that could not be applied", id)
		}
		if isFallback && start.Age() > 10*streamTimeout || !isFallback && !s.isPreferred(id) {
			return nil
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("watch %s: %w", id, err)
	}
	return nil
}

func (s *Spreader) watchRequest() *peerwire.WatchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerwire.WatchRequest{
		Vm:            s.Self.ID,
		ConfigVersion: s.config.version,
		VmsVersion:    s.vms.version,
	}
}

// handleResponse applies one message. It returns false if a delta could not be
// applied; the caller then closes the stream, and the next one starts at the
// versions held by then.
func (s *Spreader) handleResponse(m *peerwire.WatchResponse, id string) bool {
	ok := true
	if m.Config != nil {
		ok = s.installConfigDelta(m.Config, id)
	}
	if m.Vms != nil {
		ok = s.installVMDelta(m.Vms, id) && ok
	}
	s.mergeGroups(m.Groups)
	for _, c := range m.Confirmations {
		at := timekeeper.Now().Earlier(c.Age.AsDuration())
		if c.PlatformDown {
			s.reportDown(c.DataCentre, at)
			continue
		}
		s.confirm(c.DataCentre, at, c.ConfigVersion)
	}
	s.mu.Lock()
	s.peerResponded = true
	s.mu.Unlock()
	return ok
}

// A sender records what has been sent to one watcher.
type sender struct {
	s             *Spreader
	configVersion uint64
	vmsVersion    uint64
	confirmedAt   timekeeper.Instant            // time of the last confirmation sent
	downAt        map[string]timekeeper.Instant // time of the last down report sent, by data centre
	lastSent      time.Time
	groupSequence uint64 // sequence number of the last group change sent
}

// Watch serves the stream of one watcher until ctx is cancelled or a send fails.
func (s *Spreader) Watch(ctx context.Context, r *peerwire.WatchRequest, stream *connect.ServerStream[peerwire.WatchResponse]) error {
	w := s.newSender(r)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		m, changed := w.next()
		if m != nil {
			if err := stream.Send(m); err != nil {
				return fmt.Errorf("send to %s: %w", r.Vm, err)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (s *Spreader) newSender(r *peerwire.WatchRequest) *sender {
	return &sender{
		s:             s,
		configVersion: r.ConfigVersion,
		vmsVersion:    r.VmsVersion,
		downAt:        make(map[string]timekeeper.Instant),
	}
}

// next returns the message to send now, or nil if there is none, and a channel
// that is closed at the next change.
func (w *sender) next() (*peerwire.WatchResponse, <-chan struct{}) {
	s := w.s
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &peerwire.WatchResponse{Confirmations: w.confirmations()}
	if s.config.version > w.configVersion {
		m.Config = s.config.since(w.configVersion)
		w.configVersion = s.config.version
	}
	if s.vms.version > w.vmsVersion {
		m.Vms = s.vms.since(w.vmsVersion)
		w.vmsVersion = s.vms.version
	}
	m.Groups = s.groups.since(w.groupSequence)
	w.groupSequence = s.groups.sequence
	isEmpty := len(m.Groups) == 0 && m.Config == nil && m.Vms == nil && len(m.Confirmations) == 0
	if isEmpty && time.Since(w.lastSent) < heartbeatInterval {
		return nil, s.changed
	}
	w.lastSent = time.Now()
	return m, s.changed
}

// confirmations returns the newest confirmation, if it is newer than the last one
// sent by at least minConfirmationAdvance, and the new reports that the platform
// is down. One confirmation is enough to prove freshness, so older ones are not
// sent.
func (w *sender) confirmations() []*peerwire.Confirmation {
	var out []*peerwire.Confirmation
	newest := ""
	for name, c := range w.s.confirmed {
		if !c.at.IsZero() && c.version <= w.s.config.version && (newest == "" || c.at.Sub(w.s.confirmed[newest].at) > 0) {
			newest = name
		}
		if !c.downAt.IsZero() && c.downAt.Age() < downReportLifetime && c.downAt.Sub(w.downAt[name]) > minConfirmationAdvance {
			w.downAt[name] = c.downAt
			out = append(out, &peerwire.Confirmation{DataCentre: name, Age: durationpb.New(c.downAt.Age()), PlatformDown: true})
		}
	}
	if newest == "" {
		return out
	}
	c := w.s.confirmed[newest]
	if c.at.Sub(w.confirmedAt) < minConfirmationAdvance {
		return out
	}
	w.confirmedAt = c.at
	return append(out, &peerwire.Confirmation{DataCentre: newest, Age: durationpb.New(c.at.Age()), ConfigVersion: c.version})
}
