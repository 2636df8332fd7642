// Package keeper caches the latest published state: the active tables and the
// list of backend servers.
//
// The version of the active tables never decreases, and tables that fail to
// decode do not replace the active ones. A few nodes read the store and
// replicate changes to the others; a reader that cannot reach the store gets
// the changes from its peers. The store is read and watched, never written.
//
// # Usage
//
//	k := &keeper.Keeper{Store: store, Decoder: decoder, Log: log, OnChange: announce, IsReader: isReader}
//	go k.Run(ctx)
//	r := k.Resolver() // nil until tables have been loaded
//	l := k.List()
//
// Each reader makes one store call per change, and one per watchWait while
// nothing changes. Memory is proportional to the number of backend servers.
package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
)

const (
	// watchWait is the longest time a watch call waits for a change. It is
	// short because a store that has lost its history may never answer a watch.
	watchWait = time.Second
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
	// maxHeartbeatDelay bounds the time a peer's heartbeat spends in transit.
	maxHeartbeatDelay = 200 * time.Millisecond
	// minOutage is the shortest time without an answer after which entries may
	// have expired because they could not be renewed.
	minOutage = time.Second
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
		Key      string
		Value    []byte
		Revision uint64
		// Removed reports that the entry was removed; Value is empty then.
		Removed bool
		// GraceLeft is the rest of the grace period of an entry that was removed
		// during an outage of the store or shortly after one.
		GraceLeft time.Duration
	}

	// A Snapshot is the full published state at a revision, or the changes up to
	// that revision.
	Snapshot struct {
		Tables   []byte // empty if there are none or they have not changed
		Servers  []Item // in the order of the changes
		Revision uint64 // 0 if the snapshot does not cover servers
		Full     bool   // Servers is the full list
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
	}

	// A Keeper caches the published state. Its exported fields must be set
	// before Run.
	Keeper struct {
		Store   Store
		Decoder Decoder
		Log     logrus.FieldLogger
		// OnChange is called after each change.
		OnChange func()
		// IsReader reports whether this node is currently a reader of the store.
		IsReader func() bool

		resolver atomic.Pointer[resolver.Resolver]
		list     atomic.Pointer[lister.List]

		mu                sync.Mutex
		entries           map[string]*entry
		revision          uint64
		tablesActivatedAt time.Time // when the active tables were activated
		removalsFrom      uint64    // all removals after this revision are retained
		lastAnswer        time.Time // when the store last answered
		failingSince      time.Time // start of the current outage; zero if there is none
		recoveredAt       time.Time // end of the last outage
		// peerAnsweredAt is when a peer first reported during an outage that it
		// can reach the store.
		peerAnsweredAt time.Time
	}
)

// Resolver returns the resolver of the active tables, or nil if none have been
// loaded.
func (k *Keeper) Resolver() *resolver.Resolver { return k.resolver.Load() }

// List returns the list of backend servers, or nil if none has been loaded.
func (k *Keeper) List() *lister.List { return k.list.Load() }

// Versions returns the version of the active tables and the revision of the
// server list.
func (k *Keeper) Versions() (tables, servers uint64) {
	if r := k.resolver.Load(); r != nil {
		tables = r.Tables.Version
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return tables, k.revision
}

// IsStoreAvailable reports whether the store is answering this node: no outage is
// in progress and the last answer is younger than maxAnswerAge.
func (k *Keeper) IsStoreAvailable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failingSince.IsZero() && time.Since(k.lastAnswer) < maxAnswerAge
}

// TablesAge returns the time since this node activated its tables, or zero if
// there are none.
func (k *Keeper) TablesAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tablesActivatedAt.IsZero() {
		return 0
	}
	return time.Since(k.tablesActivatedAt)
}

// StoreOutage returns the time since the first failed call of the current
// outage. It is zero if the store answers or has not been called.
func (k *Keeper) StoreOutage() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failingSince.IsZero() {
		return 0
	}
	return time.Since(k.failingSince)
}

// Run reads and watches the store while this node is a reader. It returns when
// the context is done.
func (k *Keeper) Run(ctx context.Context) {
	go k.sweep(ctx)
	for ctx.Err() == nil {
		if !k.IsReader() {
			sleep(ctx, roleCheckInterval)
			continue
		}
		if err := k.poll(ctx); err != nil && ctx.Err() == nil {
			k.recordFailure(err)
			sleep(ctx, retryInterval/2+rand.N(retryInterval))
		}
	}
}

// CheckStore makes one call to the store and returns an error if it does not
// answer.
func (k *Keeper) CheckStore(ctx context.Context) error {
	_, revision := k.Versions()
	_, err := k.watch(ctx, revision, 0)
	if errors.Is(err, ErrHistoryGone) {
		return nil
	}
	return err
}

// poll reads the full state if none has been loaded, and otherwise watches for
// changes.
func (k *Keeper) poll(ctx context.Context) error {
	_, revision := k.Versions()
	if revision == 0 {
		return k.readAll(ctx)
	}
	changes, err := k.watch(ctx, revision, watchWait)
	if errors.Is(err, ErrHistoryGone) {
		k.Log.WithField("revision", revision).Info("store no longer has the changes after this revision; reading the full state")
		return k.readAll(ctx)
	}
	if err != nil {
		return err
	}
	k.Apply(changes, sourceStore)
	return nil
}

func (k *Keeper) watch(ctx context.Context, after uint64, wait time.Duration) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := k.Store.Watch(ctx, after, wait)
	if err == nil || errors.Is(err, ErrHistoryGone) {
		k.recordSuccess()
	}
	if err != nil {
		return nil, fmt.Errorf("watch store: %w", err)
	}
	return changes, nil
}

func (k *Keeper) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := k.Store.Read(ctx)
	if err != nil {
		return fmt.Errorf("read store: %w", err)
	}
	k.recordSuccess()
	k.Apply(snapshot, sourceStore)
	return nil
}

// RecordPeerStoreAccess records that a peer has reported that it can reach the
// store. In an outage this means that the store has recovered or that only some
// nodes cannot reach it. Peers take up to maxAnswerAge to detect an outage, and
// their heartbeats up to maxHeartbeatDelay to arrive, so earlier reports are
// ignored.
func (k *Keeper) RecordPeerStoreAccess() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failingSince.IsZero() || !k.peerAnsweredAt.IsZero() || time.Since(k.failingSince) <= maxAnswerAge+maxHeartbeatDelay {
		return
	}
	k.peerAnsweredAt = time.Now()
}

// recordSuccess records an answer and ends the current outage. Entries that
// expired in the outage may be registered again within recoveryGrace of the
// time at which the store first answered this node or a peer.
func (k *Keeper) recordSuccess() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !k.failingSince.IsZero() {
		if now.Sub(k.failingSince) > minOutage {
			k.recoveredAt = now
			if !k.peerAnsweredAt.IsZero() {
				k.recoveredAt = k.peerAnsweredAt
			}
		}
		k.Log.WithField("failedForMs", now.Sub(k.failingSince).Milliseconds()).Info("store is available again")
		k.failingSince = time.Time{}
	}
	k.lastAnswer = now
}

func (k *Keeper) recordFailure(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failingSince.IsZero() {
		k.failingSince, k.peerAnsweredAt = time.Now(), time.Time{}
		k.Log.WithError(err).Warn("store unavailable; retrying")
	}
}

// Apply merges state from the store or from a peer. The source is only logged.
func (k *Keeper) Apply(s *Snapshot, source string) {
	changed := k.applyTables(s.Tables, source)
	if k.applyServers(s, source) || changed {
		k.OnChange()
	}
}

// applyTables activates the tables if they are newer than the active ones and
// reports whether it did.
func (k *Keeper) applyTables(raw []byte, source string) bool {
	if len(raw) == 0 {
		return false
	}
	log := k.Log.WithField("source", source)
	tables, err := k.Decoder.Tables(raw)
	if err != nil {
		log.WithError(err).Error("tables rejected; keeping the active ones")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.resolver.Load()
	if current != nil && tables.Version <= current.Tables.Version {
		return false
	}
	k.resolver.Store(resolver.New(tables))
	k.tablesActivatedAt = time.Now()
	log.WithField("version", tables.Version).Info("tables activated")
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
