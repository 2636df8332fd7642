// Package spreader replicates the published tables and the VM list to every node
// and tracks how current they are.
//
// It guarantees that the installed version only increases, that a version is
// installed atomically, and that an invalid version is not installed on any
// node. A few readers in each data centre poll the platform; every other node
// watches two peers, chosen by hashing, and receives only the rows that changed.
//
// Confirmations prove freshness: a reader that got a response from the platform
// confirms the version installed at that time. The confirmation is forwarded
// along with the changes, together with its age. A node whose newest
// confirmation is too old cannot rule out that a key has been revoked; see
// Current.
//
// # Usage
//
//	s := &spreader.Spreader{Self: vm, Platform: p, Peer: f.Peer, Audit: a, OnConfig: ..., OnVMs: ...}
//	go s.Run(ctx)
//	if s.Current().MayAcceptKeys() { ... }
//
// A node has two incoming streams and, on average, as many outgoing ones; a
// change costs it about twice the size of the changed rows. Each reader makes two
// calls per second to the platform.
package spreader

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/process/repeater"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/locator"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

const (
	// readersPerDataCentre is the number of nodes that poll the platform.
	readersPerDataCentre = 2
	// watchedPeers is the number of peers that a node watches.
	watchedPeers = 2
	// longPollWait is the longest time that a read of the platform waits for a
	// change. Between two reads the age of a confirmation grows by as much.
	longPollWait = time.Second
	// platformBackoff is the base delay, before jitter, after a failed call to
	// the platform.
	platformBackoff = 300 * time.Millisecond
	// nonReaderCallRate is the highest rate, in calls per second, at which all
	// nodes that are not readers together may call the platform.
	nonReaderCallRate = 400
	// heartbeatInterval is the longest time between two messages on a healthy
	// stream.
	heartbeatInterval = 500 * time.Millisecond
	// streamTimeout is the time without messages after which a stream is closed.
	streamTimeout = 3 * heartbeatInterval
	// minConfirmationAdvance is how much newer a confirmation or a down report
	// must be than the previous one to be passed on.
	minConfirmationAdvance = 200 * time.Millisecond
	// MaxConfirmationAge is the age up to which a confirmation proves that the
	// tables are current.
	MaxConfirmationAge = 2500 * time.Millisecond
	// downReportLifetime is how long a report that the platform is down is
	// counted.
	downReportLifetime = 3 * time.Second
	// tickInterval is the interval of the ticks by which monitor detects that
	// the process was paused.
	tickInterval = 250 * time.Millisecond
	// pauseThreshold is the time since the last tick from which on the process
	// is considered to have been paused.
	pauseThreshold = time.Second
	// initialPeerWait is how long a starting node waits for a message from a
	// peer before it relies on the platform alone.
	initialPeerWait = 2 * time.Second
)

type (
	// A Spreader holds the tables and the VM list. Its exported fields must be
	// set before Run is called.
	Spreader struct {
		Self     locator.VM
		Platform Platform
		// Peer returns the client for a VM.
		Peer    func(id string) peerwireconnect.PeerServiceClient
		Audit   *auditor.Auditor
		Metrics *metrics.Set
		// OnConfig is called with each newly installed config.
		OnConfig func(*checker.Config)
		// OnVMs is called with each newly installed VM list and the ids of the
		// VMs that changed.
		OnVMs func(list *locator.List, changed []string)
		// OnGroup is called for each group received from a peer that is newer
		// than the known one. If it is nil, it is not called.
		OnGroup func(sharder.Shard, sharder.Group)

		mu              sync.Mutex
		config          *rowset
		vms             *rowset
		cfg             *checker.Config
		list            *locator.List
		internedNames   map[string]string // one copy of each region, data centre, pool and state name, to save memory
		position        treePosition
		confirmed       map[string]confirmation // by data centre
		changed         chan struct{}           // closed and replaced at every change
		lastTick        timekeeper.Instant
		started         timekeeper.Instant
		peerResponded   bool // a peer has sent a message since the start
		couldAcceptKeys bool // MayAcceptKeys at the last tick at which the node was ready
		// staleSince is when freshness was lost, or zero if it is not lost.
		staleSince timekeeper.Instant
		// lastFallbackRead is when this node last decided to read the platform
		// although it is not a reader.
		lastFallbackRead timekeeper.Instant
		groups           groups
	}

	// A confirmation is the latest state of the platform as seen by the readers
	// of one data centre.
	confirmation struct {
		at      timekeeper.Instant // time of the last successful read; zero if none
		version uint64             // version installed on the reader at that time
		downAt  timekeeper.Instant // time of the last failed read; zero if none
	}

	// Freshness describes how current the installed tables are.
	Freshness struct {
		// Ready is true if tables and a VM list are installed and peers have had
		// time to send newer ones.
		Ready bool
		// Fresh is true if no change older than MaxConfirmationAge can be missing.
		Fresh bool
		// PlatformDown is true if the readers of more than half of the data
		// centres report that the platform does not respond.
		PlatformDown bool
		// Age is the age of the newest confirmation.
		Age time.Duration
	}
)

// MayAcceptKeys reports whether keys that the tables grant may be accepted. They
// may if the tables are fresh, and also while the platform is down in most data
// centres, because no key can be revoked either while the platform is down.
func (f Freshness) MayAcceptKeys() bool {
	return f.Ready && (f.Fresh || f.PlatformDown)
}

// Run polls the platform and watches peers until ctx is cancelled.
func (s *Spreader) Run(ctx context.Context) error {
	s.init()
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){s.readConfig, s.readVMs, s.monitor} {
		wg.Go(func() { task(ctx) })
	}
	for slot := range watchedPeers {
		wg.Go(func() { s.followPeers(ctx, slot) })
	}
	wg.Wait()
	return ctx.Err()
}

func (s *Spreader) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = &rowset{}
	s.vms = &rowset{}
	s.confirmed = make(map[string]confirmation)
	s.changed = make(chan struct{})
	s.lastTick = timekeeper.Now()
	s.started = timekeeper.Now()
}

// Versions returns the installed versions of the tables and of the VM list.
func (s *Spreader) Versions() (config, vms uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == nil {
		return 0, 0
	}
	return s.config.version, s.vms.version
}

// Current returns how current the installed tables are. It is cheap enough to be
// called for every request, at every point where the process may have been
// paused.
func (s *Spreader) Current() Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness()
}

// freshness implements Current. The caller must hold s.mu.
func (s *Spreader) freshness() Freshness {
	f := Freshness{Age: time.Duration(1<<63 - 1)}
	if s.cfg == nil || s.list == nil {
		return f
	}
	f.Ready = s.peerResponded || s.started.Age() > initialPeerWait || len(s.position.candidates) == 0
	if s.lastTick.Age() > pauseThreshold {
		return f
	}
	down := 0
	for _, c := range s.confirmed {
		if !c.at.IsZero() && c.version <= s.config.version {
			f.Age = min(f.Age, c.at.Age())
		}
		if !c.downAt.IsZero() && c.downAt.Age() < downReportLifetime {
			down++
		}
	}
	f.Fresh = f.Age <= MaxConfirmationAge
	f.PlatformDown = down > s.position.dataCentres/2
	return f
}

// StaleFor returns for how long the node has been unable to prove that its tables
// and VM list are current, or 0 if it can prove it.
func (s *Spreader) StaleFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSince.IsZero() {
		return 0
	}
	return s.staleSince.Age()
}

// monitor detects pauses of the process and records when freshness is lost and
// restored.
func (s *Spreader) monitor(ctx context.Context) {
	repeater.Run(ctx, tickInterval, func(time.Time) {
		s.mu.Lock()
		if gap := s.lastTick.Age(); gap > pauseThreshold {
			// Messages delivered right after the pause may be as old as the
			// pause is long, so the confirmations recorded so far are
			// discarded.
			s.confirmed = make(map[string]confirmation)
			s.notify()
		}
		s.lastTick = timekeeper.Now()
		f := s.freshness()
		acceptKeysChanged := f.Ready && f.MayAcceptKeys() != s.couldAcceptKeys
		if acceptKeysChanged {
			s.couldAcceptKeys = f.MayAcceptKeys()
			s.staleSince = timekeeper.Instant{}
			if !s.couldAcceptKeys {
				s.staleSince = timekeeper.Now()
			}
		}
		s.mu.Unlock()
		if acceptKeysChanged {
			s.recordFreshness(f)
		}
	})
}

func (s *Spreader) recordFreshness(f Freshness) {
	e := auditor.Entry{Kind: auditor.FreshnessBack, Detail: "tables are confirmed to be current, or the platform is down in most data centres; keyed routes are served normally"}
	if !f.MayAcceptKeys() {
		e = auditor.Entry{Kind: auditor.FreshnessLost, Detail: "no recent confirmation from the platform; keyed routes follow whenStale"}
	}
	s.Audit.Record(e)
}

// confirm records that a reader of a data centre got a response from the platform.
func (s *Spreader) confirm(dataCentre string, at timekeeper.Instant, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.confirmed[dataCentre]
	if at.Sub(c.at) > 0 {
		c.at = at
		c.version = version
		s.confirmed[dataCentre] = c
		s.notify()
	}
}

// reportDown records that a reader of a data centre failed to read the platform.
func (s *Spreader) reportDown(dataCentre string, at timekeeper.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.confirmed[dataCentre]
	if at.Sub(c.downAt) > minConfirmationAdvance {
		c.downAt = at
		s.confirmed[dataCentre] = c
		s.notify()
	}
}

// notify wakes all streams. The caller must hold s.mu.
func (s *Spreader) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// installConfigDelta validates a delta of the tables and installs the resulting
// version. It reports whether the installed version is now at least the delta's.
func (s *Spreader) installConfigDelta(d *peerwire.Delta, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ToVersion <= s.config.version {
		return true
	}
	if err := s.config.check(d); err != nil {
		s.recordRejection("tables", d.ToVersion, source, err)
		return false
	}
	changed, removed := s.config.changedRows(d)
	cfg, err := s.cfg.WithChanges(d.ToVersion, changed, removed)
	if err != nil {
		s.recordRejection("tables", d.ToVersion, source, err)
		return false
	}
	s.config.apply(d)
	s.cfg = cfg
	s.OnConfig(cfg)
	s.notify()
	s.Audit.Record(auditor.Entry{
		Kind:    auditor.ConfigInForce,
		Detail:  fmt.Sprintf("%d rows changed, %d removed", len(d.Rows), len(d.Removed)),
		Version: d.ToVersion,
		Source:  source,
	})
	return true
}

// installVMDelta validates a delta of the VM list and installs the resulting
// version. It reports whether the installed version is now at least the delta's.
func (s *Spreader) installVMDelta(d *peerwire.Delta, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ToVersion <= s.vms.version {
		return true
	}
	if err := s.vms.check(d); err != nil {
		s.recordRejection("VM list", d.ToVersion, source, err)
		return false
	}
	changed, removed := s.vms.changedRows(d)
	list, err := s.updatedList(d.ToVersion, changed, removed)
	if err != nil {
		s.recordRejection("VM list", d.ToVersion, source, err)
		return false
	}
	s.vms.apply(d)
	s.list = list
	s.position = positionOf(list, s.Self)
	s.OnVMs(list, append(slices.Collect(maps.Keys(changed)), removed...))
	s.notify()
	s.Audit.Record(auditor.Entry{
		Kind:    auditor.VMsInForce,
		Detail:  fmt.Sprintf("%d rows changed, %d removed", len(d.Rows), len(d.Removed)),
		Version: d.ToVersion,
		Source:  source,
	})
	return true
}

func (s *Spreader) recordRejection(subject string, version uint64, source string, err error) {
	s.Audit.Record(auditor.Entry{
		Kind:    auditor.ConfigRejected,
		Subject: subject,
		Detail:  err.Error(),
		Version: version,
		Source:  source,
	})
}

// sleep waits until d has passed, wake is closed or ctx is cancelled. wake may be
// nil.
func (s *Spreader) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
