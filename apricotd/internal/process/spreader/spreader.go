// Package spreader brings the published tables and the VM list to every node
// and shows how current they are.
//
// It guarantees that the version in force only rises, that a version is put in
// force whole, and that an invalid version changes nothing anywhere. A few
// readers in each data centre watch the platform; every other node watches two
// peers, chosen by hashing, and receives only the rows that changed.
//
// Freshness is shown by confirmations: a reader that got an answer from the
// platform confirms the version then in force, and the confirmation travels
// with the changes while its age grows. A node whose newest confirmation is
// too old cannot rule out that a key has been withdrawn; see Current.
//
// # Usage
//
//	s := &spreader.Spreader{Self: vm, Platform: p, Peer: f.Peer, Audit: a, OnConfig: ..., OnList: ...}
//	go s.Run(ctx)
//	if s.Current().MayServeKeys() { ... }
//
// A node holds two incoming streams and, on average, as many outgoing ones; a
// change costs it about twice the size of the changed rows. Readers cost the
// platform two calls a second each.
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
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/locator"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

const (
	// readersPerDataCentre is the number of nodes that watch the platform.
	readersPerDataCentre = 2
	// parents is the number of peers that a node watches.
	parents = 2
	// platformWait is the longest time that a watch of the platform waits.
	// The age of a confirmation grows up to this time.
	platformWait = time.Second
	// platformBackoff spreads the calls of nodes that cannot reach the platform.
	platformBackoff = 300 * time.Millisecond
	// platformCallRate is the number of calls per second that all nodes which
	// are not readers may make together.
	platformCallRate = 400
	// heartbeat is the longest silence of a healthy stream.
	heartbeat = 500 * time.Millisecond
	// silence is the time after which a stream is taken for broken.
	silence = 3 * heartbeat
	// confirmationStep is the least progress of a confirmation that is passed
	// on at once.
	confirmationStep = 200 * time.Millisecond
	// FreshFor is the age up to which a confirmation shows that the tables
	// are current.
	FreshFor = 2500 * time.Millisecond
	// downFor is the time for which a report that the platform is down counts.
	downFor = 3 * time.Second
	// pulse is the interval at which the process shows itself that it runs.
	pulse = 250 * time.Millisecond
	// pauseLimit is the gap in the pulse that is taken for a pause.
	pauseLimit = time.Second
	// peerPatience is how long a starting node waits for a peer's word
	// before it relies on the platform alone.
	peerPatience = 2 * time.Second
)

type (
	// A Spreader holds the tables and the VM list. Its exported fields must
	// be set before Run.
	Spreader struct {
		Self     locator.VM
		Platform Platform
		// Peer returns the client for a VM.
		Peer     func(id string) peerwireconnect.PeerServiceClient
		Audit    *auditor.Auditor
		Metrics  *metrics.Set
		OnConfig func(*checker.Config)
		// OnList is given the list and the ids of the VMs that changed.
		OnList func(list *locator.List, changed []string)
		// OnGroup is told of groups that have had an owner.
		OnGroup func(sharder.Shard, sharder.Group)

		mu        sync.Mutex
		config    *rowset
		vms       *rowset
		cfg       *checker.Config
		list      *locator.List
		names     map[string]string // each name of a place or pool once, to save memory
		place     place
		confirmed map[string]confirmation // by data centre
		changed   chan struct{}           // closed at every change
		lastPulse timekeeper.Moment
		started   timekeeper.Moment
		heard     bool // a peer has told its state since the start
		wasFresh  bool
		// staleSince is when freshness was lost; zero: it is not.
		staleSince timekeeper.Moment
		// lastOwnRead is when a node that is no reader last read the platform.
		lastOwnRead timekeeper.Moment
		groups      groups
	}

	// A confirmation is what is known of one data centre's readers.
	confirmation struct {
		at      timekeeper.Moment // when the platform last answered; zero: never
		version uint64            // accepted by the reader at that time
		downAt  timekeeper.Moment // when the platform last failed; zero: never
	}

	// Freshness tells how current the tables in force are.
	Freshness struct {
		// Ready tells whether there are tables and a VM list at all, and peers
		// have had the chance to tell of newer ones.
		Ready bool
		// Fresh tells whether no change older than FreshFor can be missing.
		Fresh bool
		// PlatformDown tells whether readers of most data centres report
		// that the platform does not answer.
		PlatformDown bool
		// Age is the age of the newest confirmation.
		Age time.Duration
	}
)

// MayServeKeys tells whether a granted key can be relied on. While the
// platform is down for all, no key can be withdrawn either.
func (f Freshness) MayServeKeys() bool {
	return f.Ready && (f.Fresh || f.PlatformDown)
}

// Run reads, watches and spreads until the context ends.
func (s *Spreader) Run(ctx context.Context) error {
	s.init()
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){s.readConfig, s.readVMs, s.beat} {
		wg.Go(func() { task(ctx) })
	}
	for slot := range parents {
		wg.Go(func() { s.follow(ctx, slot) })
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
	s.lastPulse = timekeeper.Now()
	s.started = timekeeper.Now()
}

// Versions returns the versions of the tables and of the VM list in force.
func (s *Spreader) Versions() (config, vms uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == nil {
		return 0, 0
	}
	return s.config.version, s.vms.version
}

// Current tells how current the tables in force are. It is cheap enough to be
// asked for every request, at every point where a pause may have happened.
func (s *Spreader) Current() Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current()
}

func (s *Spreader) current() Freshness {
	f := Freshness{Age: time.Duration(1<<63 - 1)}
	if s.cfg == nil || s.list == nil {
		return f
	}
	f.Ready = s.heard || s.started.Age() > peerPatience || len(s.place.candidates) == 0
	if s.lastPulse.Age() > pauseLimit {
		return f
	}
	down := 0
	for _, c := range s.confirmed {
		if !c.at.IsZero() && c.version <= s.config.version {
			f.Age = min(f.Age, c.at.Age())
		}
		if !c.downAt.IsZero() && c.downAt.Age() < downFor {
			down++
		}
	}
	f.Fresh = f.Age <= FreshFor
	f.PlatformDown = down > s.place.dataCentres/2
	return f
}

// StaleFor returns for how long the node has not been able to show that its
// tables and VM list are current; 0 if it can.
func (s *Spreader) StaleFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSince.IsZero() {
		return 0
	}
	return s.staleSince.Age()
}

// beat shows that the process runs, and records when freshness comes and goes.
func (s *Spreader) beat(ctx context.Context) {
	ticker := time.NewTicker(pulse)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		if gap := s.lastPulse.Age(); gap > pauseLimit {
			// What streams delivered during the pause may be as old as the
			// pause, so nothing confirmed before it counts any more.
			s.confirmed = make(map[string]confirmation)
			s.notify()
		}
		s.lastPulse = timekeeper.Now()
		f := s.current()
		turned := f.Ready && f.MayServeKeys() != s.wasFresh
		if turned {
			s.wasFresh = f.MayServeKeys()
			s.staleSince = timekeeper.Moment{}
			if !s.wasFresh {
				s.staleSince = timekeeper.Now()
			}
		}
		s.mu.Unlock()
		if turned {
			s.recordFreshness(f)
		}
	}
}

func (s *Spreader) recordFreshness(f Freshness) {
	e := auditor.Entry{Kind: auditor.FreshnessBack, Detail: "tables are shown to be current"}
	if !f.MayServeKeys() {
		e = auditor.Entry{Kind: auditor.FreshnessLost, Detail: "no recent confirmation from the platform; keyed routes follow whenStale"}
	}
	s.Audit.Record(e)
}

// confirm records that a reader of a data centre got an answer.
func (s *Spreader) confirm(dataCentre string, at timekeeper.Moment, version uint64) {
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

// reportDown records that the readers of a data centre cannot use the platform.
func (s *Spreader) reportDown(dataCentre string, at timekeeper.Moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.confirmed[dataCentre]
	if at.Sub(c.downAt) > confirmationStep {
		c.downAt = at
		s.confirmed[dataCentre] = c
		s.notify()
	}
}

// notify wakes every stream. The caller holds the lock.
func (s *Spreader) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// adoptConfig puts a newer version of the tables in force. It reports whether
// the version in force is now at least the delta's.
func (s *Spreader) adoptConfig(d *peerwire.Delta, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ToVersion <= s.config.version {
		return true
	}
	if err := s.config.check(d); err != nil {
		s.reject("tables", d.ToVersion, source, err)
		return false
	}
	changed, removed := s.config.changes(d)
	cfg, err := s.cfg.With(d.ToVersion, changed, removed)
	if err != nil {
		s.reject("tables", d.ToVersion, source, err)
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

// adoptVMs puts a newer version of the VM list in force.
func (s *Spreader) adoptVMs(d *peerwire.Delta, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.ToVersion <= s.vms.version {
		return true
	}
	if err := s.vms.check(d); err != nil {
		s.reject("VM list", d.ToVersion, source, err)
		return false
	}
	changed, removed := s.vms.changes(d)
	list, err := s.listWith(d.ToVersion, changed, removed)
	if err != nil {
		s.reject("VM list", d.ToVersion, source, err)
		return false
	}
	s.vms.apply(d)
	s.list = list
	s.place = placeOf(list, s.Self)
	s.OnList(list, append(slices.Collect(maps.Keys(changed)), removed...))
	s.notify()
	s.Audit.Record(auditor.Entry{
		Kind:    auditor.VMsInForce,
		Detail:  fmt.Sprintf("%d rows changed, %d removed", len(d.Rows), len(d.Removed)),
		Version: d.ToVersion,
		Source:  source,
	})
	return true
}

func (s *Spreader) reject(what string, version uint64, source string, err error) {
	s.Audit.Record(auditor.Entry{
		Kind:    auditor.ConfigRejected,
		Subject: what,
		Detail:  err.Error(),
		Version: version,
		Source:  source,
	})
}

// sleep waits for d, or for a change if wake is set, or for the end of ctx.
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
