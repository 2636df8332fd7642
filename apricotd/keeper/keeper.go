// Package keeper holds the newest published state: the tables in force and the
// list of backend servers.
//
// It guarantees that the version of the tables in force only rises, and that
// tables that cannot be read replace nothing. A few nodes read the store; the
// others learn from them what has changed. A node that reads but is not served
// learns from its peers. The store is read and watched, never written.
//
// # Usage
//
//	k := &keeper.Keeper{Store: store, Decoder: decoder, Log: log, OnChange: announce, Reads: reads}
//	go k.Run(ctx)
//	r := k.Resolver() // nil before the first tables
//	l := k.List()
//
// A reading node costs the store one call for each change and one for each
// watchWait without change. Memory is one entry for each backend server.
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
	// watchWait is the longest time that a watch waits for a change. It is
	// short since a store that loses its history may leave a watch unanswered.
	watchWait = time.Second
	// callTimeout bounds a read, and what a watch takes beyond its wait.
	callTimeout = 1500 * time.Millisecond
	// retryPause separates calls to a store that does not answer. It is drawn
	// anew for each call between half and one and a half times this.
	retryPause = 400 * time.Millisecond
	// roleInterval is how often a node that does not read looks whether it
	// should.
	roleInterval = 50 * time.Millisecond
	// healthyFor is the age up to which an answer shows that the store serves
	// this node.
	healthyFor = watchWait + 500*time.Millisecond
	// wordDelay is how long a beat of a peer may be under way.
	wordDelay = 200 * time.Millisecond
	// outageFrom is the time without answer from which entries may have
	// expired because nobody could renew them.
	outageFrom = time.Second
	// sourceStore names the store as the source of state; peers are named by
	// their addresses.
	sourceStore = "store"
)

// ErrHistoryGone reports that the store no longer has the changes asked for.
var ErrHistoryGone = errors.New("history is no longer available")

type (
	// An Item is the published entry of one backend server.
	Item struct {
		Key      string
		Value    []byte
		Revision uint64
		// Gone tells that the entry was removed; it has no value then.
		Gone bool
		// HeldFor is how much longer a removed entry may come back: it was
		// removed in an outage, or just after one.
		HeldFor time.Duration
	}

	// A Snapshot is published state: all of it, or what changed up to its
	// revision.
	Snapshot struct {
		Tables   []byte // empty: none, or not changed
		Servers  []Item // in the order of the changes
		Revision uint64 // 0: no word on servers
		Whole    bool   // Servers is the whole list
	}

	// A Store is where the state is published.
	Store interface {
		// Read returns the whole state.
		Read(ctx context.Context) (*Snapshot, error)
		// Watch returns what changed after the revision, or no change once
		// the wait is over.
		Watch(ctx context.Context, after uint64, wait time.Duration) (*Snapshot, error)
	}

	// A Decoder reads what is published.
	Decoder interface {
		Tables(raw []byte) (*resolver.Tables, error)
		Server(i Item) (*lister.Server, error)
	}

	// A Keeper holds the state. Its exported fields must be set before Run.
	Keeper struct {
		Store   Store
		Decoder Decoder
		Log     logrus.FieldLogger
		// OnChange is called after each change.
		OnChange func()
		// Reads tells whether this node is to read the store now.
		Reads func() bool

		resolver atomic.Pointer[resolver.Resolver]
		list     atomic.Pointer[lister.List]

		mu       sync.Mutex
		entries  map[string]*entry
		revision uint64
		tablesAt time.Time // when the tables in force came
		complete uint64    // revision from which all removals are remembered
		answered time.Time // when the store last answered
		failing  time.Time // since when it does not answer; zero: it does
		regained time.Time // when it was back after the last outage
		// peerServed is when a peer first told, during an outage, that the
		// store answers it.
		peerServed time.Time
	}
)

// Resolver returns the tables in force, nil before the first.
func (k *Keeper) Resolver() *resolver.Resolver { return k.resolver.Load() }

// List returns the servers, nil before the first list.
func (k *Keeper) List() *lister.List { return k.list.Load() }

// Versions returns the version of the tables and the revision of the list.
func (k *Keeper) Versions() (tables, servers uint64) {
	if r := k.resolver.Load(); r != nil {
		tables = r.Tables.Version
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return tables, k.revision
}

// IsServed tells whether the store has answered this node lately.
func (k *Keeper) IsServed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failing.IsZero() && time.Since(k.answered) < healthyFor
}

// TablesAge returns how long ago the tables in force were put in force here;
// zero if there are none.
func (k *Keeper) TablesAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tablesAt.IsZero() {
		return 0
	}
	return time.Since(k.tablesAt)
}

// StoreSilence returns for how long the store has left this node's calls
// unanswered; zero if it answers, or is not asked.
func (k *Keeper) StoreSilence() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failing.IsZero() {
		return 0
	}
	return time.Since(k.failing)
}

// Run reads and watches while it is this node's turn, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.sweep(ctx)
	for ctx.Err() == nil {
		if !k.Reads() {
			sleep(ctx, roleInterval)
			continue
		}
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.fail(err)
			sleep(ctx, retryPause/2+rand.N(retryPause))
		}
	}
}

// Check makes one call to the store, to learn whether it serves this node.
func (k *Keeper) Check(ctx context.Context) error {
	_, revision := k.Versions()
	_, err := k.watch(ctx, revision, 0)
	if errors.Is(err, ErrHistoryGone) {
		return nil
	}
	return err
}

// step makes one call: a read of everything, or a watch.
func (k *Keeper) step(ctx context.Context) error {
	_, revision := k.Versions()
	if revision == 0 {
		return k.readAll(ctx)
	}
	changes, err := k.watch(ctx, revision, watchWait)
	if errors.Is(err, ErrHistoryGone) {
		k.Log.WithField("revision", revision).Info("history of the store is gone; everything is read again")
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
		k.succeed()
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
	k.succeed()
	k.Apply(snapshot, sourceStore)
	return nil
}

// PeerServed takes the word of a peer that the store answers it. During an
// outage it shows that the store is back, or refuses only some nodes. Peers need
// up to healthyFor to notice an outage, so that their word does not count before.
func (k *Keeper) PeerServed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failing.IsZero() || !k.peerServed.IsZero() || time.Since(k.failing) <= healthyFor+wordDelay {
		return
	}
	k.peerServed = time.Now()
}

// succeed notes an answer. Entries that have expired in an outage may come back
// for some time after the store began to answer again, this node or another.
func (k *Keeper) succeed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !k.failing.IsZero() {
		if now.Sub(k.failing) > outageFrom {
			k.regained = now
			if !k.peerServed.IsZero() {
				k.regained = k.peerServed
			}
		}
		k.Log.WithField("failedForMs", now.Sub(k.failing).Milliseconds()).Info("store answers again")
		k.failing = time.Time{}
	}
	k.answered = now
}

func (k *Keeper) fail(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failing.IsZero() {
		k.failing, k.peerServed = time.Now(), time.Time{}
		k.Log.WithError(err).Warn("store does not answer")
	}
}

// Apply takes state, from the store or from a peer.
func (k *Keeper) Apply(s *Snapshot, source string) {
	changed := k.applyTables(s.Tables, source)
	if k.applyServers(s, source) || changed {
		k.OnChange()
	}
}

// applyTables puts tables in force if they are newer than those that are.
func (k *Keeper) applyTables(raw []byte, source string) bool {
	if len(raw) == 0 {
		return false
	}
	log := k.Log.WithField("source", source)
	tables, err := k.Decoder.Tables(raw)
	if err != nil {
		log.WithError(err).Error("tables rejected; those in force stay")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.resolver.Load()
	if current != nil && tables.Version <= current.Tables.Version {
		return false
	}
	k.resolver.Store(resolver.New(tables))
	k.tablesAt = time.Now()
	log.WithField("version", tables.Version).Info("tables in force")
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
