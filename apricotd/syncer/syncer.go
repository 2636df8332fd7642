// Package syncer keeps a copy of the latest published state: the active tables and
// the list of backend servers.
//
// The version of the active tables never decreases, and tables that fail to
// decode do not replace the active ones. A few nodes read the store and
// replicate changes to the others; a reader that cannot reach the store gets
// the changes from its peers. The store is read and watched, never written.
//
// The store may be restored from an older copy. Its answers then belong to a later
// era, whatever their revisions (package sequencer). The copy neither removes what
// is known here, since its writers write it again, nor brings back what has ended:
// until the entries of servers that have ended can have expired, the newer of the
// known state and the entry shown applies. It is the same with an entry that the store
// writes late, after a later statement of its server.
//
// Evacuations of data centres come from the same store, but each is ordered by its own
// position: one that this node or the store knows stays in force until a later write of
// the operator ends it.
//
// # Usage
//
//	s := &syncer.Syncer{Store: store, Decoder: decoder, Log: log, OnChange: announce, IsReader: isReader}
//	go s.Run(ctx)
//	r := s.Resolver() // nil until tables have been loaded
//	l := s.List()
//
// Each reader makes one store call per change, and one per watchWait while
// nothing changes. Memory is proportional to the number of backend servers.
package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/process/repeater"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/apricotd/version/sequencer"
)

const (
	// MinCallInterval is the least time between the starts of two calls to the store
	// while changes follow each other, so that they are read and passed on together.
	MinCallInterval = 150 * time.Millisecond
	// watchWait is the longest time a watch call waits for a change. It is
	// short because a store that has lost its history may never answer a watch.
	watchWait = time.Second
	// MaxAnswerInterval is the longest time between two answers of a store that takes
	// no time to answer.
	MaxAnswerInterval = MinCallInterval + watchWait
	// callTimeout bounds a read, and the time a watch takes beyond its wait.
	callTimeout = 1500 * time.Millisecond
	// retryInterval is the mean delay between calls to a store that does not
	// answer. Each delay is jittered between 0.5 and 1.5 times this value.
	retryInterval = 400 * time.Millisecond
	// roleCheckInterval is how often a node that is not a reader checks whether
	// it has become one.
	roleCheckInterval = 50 * time.Millisecond
	// maxAnswerAge is the age up to which the last answer shows that this node
	// can reach the store.
	maxAnswerAge = watchWait + 500*time.Millisecond
	// sourceStore is the source logged for state from the store. For state from
	// a peer it is the peer's address.
	sourceStore = "store"
)

// ErrHistoryGone is returned by Store.Watch if the store no longer has the
// changes after the requested revision.
var ErrHistoryGone = errors.New("changes after the requested revision are no longer available")

type (
	// An Item is the published entry of one backend server.
	Item struct {
		Key string
		// Value is the entry or, if it was removed, the last one, if that is known.
		Value []byte
		// Position is that of the write or of the removal. If it has no era, that of
		// the snapshot applies.
		Position sequencer.Position
		// Removed reports that the entry was removed.
		Removed bool
		// GraceLeft is the rest of the grace period that the entry has at the peer that
		// sent it; zero if the item is from the store.
		GraceLeft time.Duration
		// RemovedFor is the time since the entry was removed.
		RemovedFor time.Duration
		// RemovedFrom is the number of VMs that were listed or absent when the entry was
		// removed; 0 if unknown.
		RemovedFrom int
	}

	// A Snapshot is the full published state at a position, or the changes up to
	// that position.
	Snapshot struct {
		Tables []byte // empty if there are none or they have not changed
		// Servers are the entries in the order of the changes. If the store shows an
		// entry that is older than the state known, both are contained, the entry that
		// is shown last.
		Servers  []Item
		Position sequencer.Position // zero if the snapshot does not cover servers
		Full     bool               // Servers is the full list
		// Since is the position after which Servers has the changes. It matters only if
		// it is of another era.
		Since sequencer.Position
		// Evacuations are those that the source knows, or the changes to them, oldest
		// first.
		Evacuations []Evacuation
		// EvacuationsFull reports that the store has no others.
		EvacuationsFull bool
	}

	// A Store publishes the state.
	Store interface {
		// Read returns the full state.
		Read(ctx context.Context) (*Snapshot, error)
		// Watch returns the changes after the revision, or an empty snapshot
		// if there are none within the wait.
		Watch(ctx context.Context, after uint64, wait time.Duration) (*Snapshot, error)
	}

	// A Decoder decodes published tables and entries.
	Decoder interface {
		Tables(raw []byte) (*resolver.Tables, error)
		Server(i Item) (*lister.Server, error)
		// Evacuation returns the data centre to which the key of an evacuation refers.
		Evacuation(key string) (dataCentre string, err error)
	}

	// A Syncer keeps a copy of the published state. Its exported fields must be set
	// before Run.
	Syncer struct {
		Store   Store
		Decoder Decoder
		Log     logrus.FieldLogger
		// OnChange is called after each change.
		OnChange func()
		// OnIdleAnswer is called after each answer of the store that brought no change.
		// It may be nil.
		OnIdleAnswer func()
		// IsReader reports whether this node is currently a reader of the store.
		IsReader func() bool
		// EntryLifetime is the time after which the store removes the entry of a server
		// that does not renew it; zero means 4.5 s.
		EntryLifetime time.Duration

		readCalls, watchCalls, checkCalls atomic.Int64

		resolver atomic.Pointer[resolver.Resolver]
		list     atomic.Pointer[lister.List]

		listCurrentAt atomic.Pointer[time.Time] // currentAt, for readers without the lock

		mu                    sync.Mutex
		entries               map[string]*entry
		evacuations           evacuations
		endsSoughtIn          int64               // era whose history was searched for ends of evacuations
		evacuationsDoubted    bool                // the store may have ended an evacuation that a peer has sent
		reportingNodes        map[netip.Addr]bool // nodes whose last health report named a server
		position              sequencer.Position
		eraStart              uint64             // revision at which this node entered the era
		overridesEnd          time.Time          // when entries of a restored store apply even if they look older
		tablesActivatedAt     time.Time          // when the active tables were activated
		removalsRetainedAfter sequencer.Position // all removals after it in its era are retained
		eraBefore             eraBefore
		eraMissing            bool      // the last answer of the store stated no era
		lastAnswer            time.Time // when the store last answered this node
		failingSince          time.Time // when the store stopped answering this node; zero if it answers
		availability          availability
		currentAt             time.Time // when this node last knew all that the store showed
	}
)

// Resolver returns the resolver of the active tables, or nil if none have been
// loaded.
func (s *Syncer) Resolver() *resolver.Resolver { return s.resolver.Load() }

// List returns the list of backend servers, or nil if none has been loaded.
func (s *Syncer) List() *lister.List { return s.list.Load() }

// Versions returns the version of the active tables and the position of the server
// list.
func (s *Syncer) Versions() sequencer.Versions {
	var v sequencer.Versions
	if r := s.resolver.Load(); r != nil {
		v.Tables = r.Tables.Version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v.Servers = s.position
	v.Evacuations = s.evacuations.version()
	return v
}

// OverriddenCount returns the number of entries whose state here is newer than the
// one that the store shows, since it was restored from a copy or did a write late.
func (s *Syncer) OverriddenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overriddenCount()
}

// IsStoreAvailable reports whether the store is answering this node: the last call
// has not failed and the last answer is younger than maxAnswerAge.
func (s *Syncer) IsStoreAvailable() bool {
	_, ok := s.StoreAnswerAge()
	return ok
}

// StoreAnswerAge returns the time since the store last answered this node. ok is false
// if the store is not answering this node.
func (s *Syncer) StoreAnswerAge() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age = time.Since(s.lastAnswer)
	return age, s.failingSince.IsZero() && age < maxAnswerAge
}

// HasStoreAnswered reports whether the store has ever answered this node.
func (s *Syncer) HasStoreAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastAnswer.IsZero()
}

// TablesAge returns the time since this node activated its tables, or zero if
// there are none.
func (s *Syncer) TablesAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tablesActivatedAt.IsZero() {
		return 0
	}
	return time.Since(s.tablesActivatedAt)
}

// StateAge returns for how long the active tables have been in force, and the time
// since this node last knew all that the store showed, from the store or from a
// peer. Both are zero if that has never been so.
func (s *Syncer) StateAge() (tables, current time.Duration) {
	tables = s.TablesAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.currentAt.IsZero() {
		current = time.Since(s.currentAt)
	}
	return tables, current
}

// ListAge returns the time since this node last knew all that the store showed; zero if
// that has never been so. It does not wait for a list that is being merged.
func (s *Syncer) ListAge() time.Duration {
	at := s.listCurrentAt.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// StoreOutage returns the time since the store stopped answering this node. It is zero
// if the store answers or has not been called.
func (s *Syncer) StoreOutage() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		return 0
	}
	return time.Since(s.failingSince)
}

// ReadCalls returns the number of times that this node has read the full state.
func (s *Syncer) ReadCalls() int64 { return s.readCalls.Load() }

// WatchCalls returns the number of calls that waited for a change.
func (s *Syncer) WatchCalls() int64 { return s.watchCalls.Load() }

// CheckCalls returns the number of calls that only checked whether the store answers.
func (s *Syncer) CheckCalls() int64 { return s.checkCalls.Load() }

// Run reads and watches the store while this node is a reader. It returns when
// the context is done.
func (s *Syncer) Run(ctx context.Context) {
	go repeater.Run(ctx, sweepInterval, s.sweep)
	for ctx.Err() == nil {
		if !s.IsReader() {
			sleep(ctx, roleCheckInterval)
			continue
		}
		start := time.Now()
		if err := s.poll(ctx); err != nil && ctx.Err() == nil {
			s.recordFailure(err)
			sleep(ctx, retryInterval/2+rand.N(retryInterval))
		}
		sleep(ctx, MinCallInterval-time.Since(start))
	}
}

// CheckStore makes one call to the store and returns an error if it does not
// answer.
func (s *Syncer) CheckStore(ctx context.Context) error {
	s.checkCalls.Add(1)
	_, err := s.watch(ctx, s.Versions().Servers.Revision, 0)
	if errors.Is(err, ErrHistoryGone) {
		return nil
	}
	return err
}

// poll reads the full state if none has been loaded, and otherwise watches for
// changes. A watch from a revision of another era says nothing about the changes
// since then, even if the store has such a revision again.
func (s *Syncer) poll(ctx context.Context) error {
	position := s.Versions().Servers
	if position.IsZero() || s.areEvacuationsDoubted() {
		return s.readAll(ctx)
	}
	s.findEnds(ctx)
	s.watchCalls.Add(1)
	wait := watchWait
	if age, ok := s.StoreAnswerAge(); !ok || age > 2*MinCallInterval {
		// Whether the store answers is not known. A restored store that has this revision
		// again would also tell its era only with the next change.
		wait = 0
	}
	changes, err := s.watch(ctx, position.Revision, wait)
	if errors.Is(err, ErrHistoryGone) {
		s.Log.WithField("era", position.Era).WithField("revision", position.Revision).
			Info("store no longer has the changes after this revision; reading the full state")
		return s.reread(ctx, position)
	}
	if err != nil {
		return err
	}
	s.checkEra(changes)
	changes.Position = changes.Position.InEra(position.Era)
	if era := changes.Position.Era; era > position.Era {
		return s.reread(ctx, position)
	} else if era < position.Era {
		return errors.Errorf("watch store: got an answer of era %d, want era %d or later", era, position.Era)
	}
	s.applyAnswer(changes)
	return nil
}

// applyAnswer applies an answer of the store.
func (s *Syncer) applyAnswer(answer *Snapshot) {
	changed := s.Apply(answer, sourceStore)
	s.recordCurrent(answer.Position)
	if !changed && s.OnIdleAnswer != nil {
		s.OnIdleAnswer()
	}
}

// reread reads the full state because a watch from a position has failed. If that
// leads to no other position, the next watch would fail at once, so it is delayed.
func (s *Syncer) reread(ctx context.Context, position sequencer.Position) error {
	if err := s.readAll(ctx); err != nil {
		return err
	}
	if s.Versions().Servers == position {
		sleep(ctx, retryInterval/2+rand.N(retryInterval))
	}
	return nil
}

func (s *Syncer) watch(ctx context.Context, after uint64, wait time.Duration) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := s.Store.Watch(ctx, after, wait)
	if err == nil || errors.Is(err, ErrHistoryGone) {
		s.recordSuccess()
	}
	if err != nil {
		return nil, fmt.Errorf("watch store: %w", err)
	}
	return changes, nil
}

func (s *Syncer) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.readCalls.Add(1)
	snapshot, err := s.Store.Read(ctx)
	if err != nil {
		return fmt.Errorf("read store: %w", err)
	}
	s.recordSuccess()
	s.checkEra(snapshot)
	s.applyAnswer(snapshot)
	return nil
}

// checkEra logs that the store does not state an era, once until it does again. Such
// an answer is taken to be of the current era, so a restoration is only noticed
// with the next answer that states one.
func (s *Syncer) checkEra(snapshot *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isMissing := snapshot.Position.Era == sequencer.NoEra
	if isMissing && !s.eraMissing {
		s.Log.WithField("era", s.position.Era).Warn("store states no era; assuming the current one")
	}
	s.eraMissing = isMissing
}

// RecordPeerStoreAccess records that a peer at a position has reported that the store
// is answering it, and how long ago the last answer was.
func (s *Syncer) RecordPeerStoreAccess(position sequencer.Position, ago time.Duration) {
	s.recordCurrent(position)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(time.Now().Add(-min(ago, maxAnswerAge)))
}

// recordAnswer records that the store answered this node or a peer at a time. s.mu must
// be held.
func (s *Syncer) recordAnswer(at time.Time) {
	if outage := s.availability.record(at, s.entryLifetime()); outage > 0 {
		s.Log.WithField("lastedMs", outage.Milliseconds()).Info("store is available again to this node or a peer; entries may have expired meanwhile")
	}
}

// recordSuccess records that the store has answered this node.
func (s *Syncer) recordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.failingSince.IsZero() {
		s.Log.WithField("failedForMs", now.Sub(s.failingSince).Milliseconds()).Info("store answers this node again")
		s.failingSince = time.Time{}
	}
	s.lastAnswer = now
	s.recordAnswer(now)
}

func (s *Syncer) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = time.Now()
		s.Log.WithError(err).Warn("store unavailable; retrying")
	}
}

// Apply merges state from the store or from a peer and reports whether there was
// anything to merge. The source is only logged.
func (s *Syncer) Apply(snapshot *Snapshot, source string) (changed bool) {
	changed = s.applyTables(snapshot.Tables, source)
	changed = s.applyEvacuations(snapshot, source) || changed
	changed = s.applyServers(snapshot, source) || changed
	if changed {
		s.OnChange()
	}
	return changed
}

// applyTables activates the tables if they are newer than the active ones and
// reports whether it did.
func (s *Syncer) applyTables(raw []byte, source string) bool {
	if len(raw) == 0 {
		return false
	}
	log := s.Log.WithField("source", source)
	tables, err := s.Decoder.Tables(raw)
	if err != nil {
		log.WithError(err).Error("tables rejected; keeping the active ones")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.resolver.Load()
	if current != nil && tables.Version <= current.Tables.Version {
		return false
	}
	r := resolver.New(tables)
	s.resolver.Store(r)
	s.tablesActivatedAt = time.Now()
	log = log.WithField("version", tables.Version)
	log.Info("tables activated")
	if c := r.HomeConflict(); c.Count > 0 {
		log.WithFields(logrus.Fields{"pairs": c.Count, "route": c.Route, "organisation": c.Organisation}).
			Warn("tables have routes and organisations without a common home region; their requests are refused")
	}
	return true
}

// within returns the item with its position in the era of a snapshot's position, if
// it has no era of its own.
func (i Item) within(position sequencer.Position) Item {
	i.Position = i.Position.InEra(position.Era)
	return i
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
