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

// follow watches one peer at a time, the best candidate that answers.
func (s *Spreader) follow(ctx context.Context, slot int) {
	attempt := 0
	for ctx.Err() == nil {
		id, ok := s.candidate(slot, attempt)
		if !ok {
			s.sleep(ctx, platformWait, s.changes())
			continue
		}
		begun := timekeeper.Now()
		err := s.watch(ctx, id, attempt > 0)
		if begun.Age() > silence {
			attempt = 0
		} else {
			attempt++
		}
		s.Metrics.GetOrCreateCounter("apricot_spread_watch_ends_total").Inc()
		if err != nil {
			s.sleep(ctx, jitter(heartbeat/5), nil)
		}
	}
}

// candidate returns the peer that a slot watches at an attempt. Slots start at
// different candidates, so that one lost peer costs a node one of its streams.
func (s *Spreader) candidate(slot, attempt int) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.place.candidates)
	if n == 0 || slot >= n {
		return "", false
	}
	return s.place.candidates[(slot+attempt)%n], true
}

// isPreferred tells whether the peer is still the first choice of some slot.
func (s *Spreader) isPreferred(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.place.candidates[:min(parents, len(s.place.candidates))], id)
}

// watch takes changes from one peer until the stream breaks, falls silent, or
// the peer is no longer the right one. A second choice is kept for a while
// only, because the first may be back.
func (s *Spreader) watch(ctx context.Context, id string, second bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := time.AfterFunc(silence, cancel)
	defer guard.Stop()
	begun := timekeeper.Now()
	stream, err := s.Peer(id).Watch(ctx, connect.NewRequest(s.watchRequest()))
	if err != nil {
		return fmt.Errorf("watch %s: %w", id, err)
	}
	defer stream.Close()
	last := timekeeper.Now()
	for stream.Receive() {
		// A gap means that this process or the path was held up, so what was
		// received may be as old as the gap.
		if last.Age() > silence {
			return fmt.Errorf("watch %s: got a gap of %v, want at most %v", id, last.Age(), silence)
		}
		last = timekeeper.Now()
		guard.Reset(silence)
		if !s.receive(stream.Msg(), id) {
			return fmt.Errorf("watch %s: got a change that does not fit", id)
		}
		if second && begun.Age() > 10*silence || !second && !s.isPreferred(id) {
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

// receive takes in one message. It reports false if a delta did not fit, after
// which the stream is begun anew with the versions then held.
func (s *Spreader) receive(m *peerwire.WatchResponse, id string) bool {
	ok := true
	if m.Config != nil {
		ok = s.adoptConfig(m.Config, id)
	}
	if m.Vms != nil {
		ok = s.adoptVMs(m.Vms, id) && ok
	}
	s.receiveGroups(m.Groups)
	for _, c := range m.Confirmations {
		at := timekeeper.Now().Earlier(c.Age.AsDuration())
		if c.PlatformDown {
			s.reportDown(c.DataCentre, at)
			continue
		}
		s.confirm(c.DataCentre, at, c.ConfigVersion)
	}
	s.mu.Lock()
	s.heard = true
	s.mu.Unlock()
	return ok
}

// A sender remembers what one watcher has been sent.
type sender struct {
	s             *Spreader
	configVersion uint64
	vmsVersion    uint64
	confirmedAt   timekeeper.Moment
	downAt        map[string]timekeeper.Moment
	sentAt        time.Time
	groupsSent    uint64 // sequence number
}

// Watch serves one watching peer until its context ends.
func (s *Spreader) Watch(ctx context.Context, r *peerwire.WatchRequest, stream *connect.ServerStream[peerwire.WatchResponse]) error {
	w := s.newSender(r)
	ticker := time.NewTicker(heartbeat)
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
		downAt:        make(map[string]timekeeper.Moment),
	}
}

// next returns the message that is due, or nil, and the channel that tells of
// the next change.
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
	m.Groups = s.groups.since(w.groupsSent)
	w.groupsSent = s.groups.sequence
	isEmpty := len(m.Groups) == 0 && m.Config == nil && m.Vms == nil && len(m.Confirmations) == 0
	if isEmpty && time.Since(w.sentAt) < heartbeat {
		return nil, s.changed
	}
	w.sentAt = time.Now()
	return m, s.changed
}

// confirmations returns the newest confirmation if it has made progress, and
// the reports that the platform is down. One confirmation is enough to show
// freshness, so the others are not sent.
func (w *sender) confirmations() []*peerwire.Confirmation {
	var out []*peerwire.Confirmation
	newest := ""
	for name, c := range w.s.confirmed {
		if !c.at.IsZero() && c.version <= w.s.config.version && (newest == "" || c.at.Sub(w.s.confirmed[newest].at) > 0) {
			newest = name
		}
		if !c.downAt.IsZero() && c.downAt.Age() < downFor && c.downAt.Sub(w.downAt[name]) > confirmationStep {
			w.downAt[name] = c.downAt
			out = append(out, &peerwire.Confirmation{DataCentre: name, Age: durationpb.New(c.downAt.Age()), PlatformDown: true})
		}
	}
	if newest == "" {
		return out
	}
	c := w.s.confirmed[newest]
	if c.at.Sub(w.confirmedAt) < confirmationStep {
		return out
	}
	w.confirmedAt = c.at
	return append(out, &peerwire.Confirmation{DataCentre: newest, Age: durationpb.New(c.at.Age()), ConfigVersion: c.version})
}
