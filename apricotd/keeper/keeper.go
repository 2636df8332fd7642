// Package keeper holds the newest published state: the tables in force and the
// list of backend servers.
//
// It guarantees that the version of the tables in force only rises, and that
// tables that cannot be read replace nothing. A node that the store does not
// serve learns from its peers. The store is read and watched, never written.
//
// # Usage
//
//	k := &keeper.Keeper{Store: store, Decoder: decoder, Log: log, OnChange: announce}
//	go k.Run(ctx)
//	r := k.Resolver() // nil before the first tables
//	l := k.List()
//
// A watching node costs the store one call for each change and one for each
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
	// watchWait is the longest time that a watch waits for a change.
	watchWait = 5 * time.Second
	// callTimeout bounds a read, and what a watch takes beyond its wait.
	callTimeout = 1500 * time.Millisecond
	// retryPause separates calls to a store that does not answer. It is drawn
	// anew for each call between half and one and a half times this.
	retryPause = 400 * time.Millisecond
	// lapseHold is how long a server that disappears during or just after an
	// outage of the store stays listed: entries expire while nobody can renew
	// them, and are back about two seconds after the outage.
	lapseHold = 2500 * time.Millisecond
	// sweepInterval is how often held entries are looked at.
	sweepInterval = 250 * time.Millisecond
	// healthyFor is the age up to which an answer shows that the store serves
	// this node.
	healthyFor = watchWait + callTimeout
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
	}

	// A Snapshot is the whole published state.
	Snapshot struct {
		Tables   []byte // empty: none are published
		Servers  []Item
		Revision uint64
	}

	// Changes is what was published after a revision.
	Changes struct {
		Tables   []byte // empty: not changed
		Servers  []Item // in the order of the changes
		Revision uint64
	}

	// A Store is where the state is published.
	Store interface {
		Read(ctx context.Context) (*Snapshot, error)
		// Watch returns what changed after the revision, or no change once
		// the wait is over.
		Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error)
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

		resolver atomic.Pointer[resolver.Resolver]
		list     atomic.Pointer[lister.List]

		mu       sync.Mutex
		entries  map[string]*entry
		revision uint64
		answered time.Time // when the store last answered
		failing  bool
		regained time.Time // when the store answered again after failures
	}

	entry struct {
		item   Item
		server *lister.Server // nil if the entry names none
		gone   time.Time      // when a held entry ends; zero: it is listed
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
	return !k.failing && time.Since(k.answered) < healthyFor
}

// Run reads and watches until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.sweep(ctx)
	for ctx.Err() == nil {
		if err := k.follow(ctx); err != nil && ctx.Err() == nil {
			k.fail(err)
			pause(ctx)
		}
	}
}

// follow reads the whole state and then its changes, until a call fails.
func (k *Keeper) follow(ctx context.Context) error {
	if _, revision := k.Versions(); revision == 0 {
		if err := k.readAll(ctx); err != nil {
			return err
		}
	}
	for {
		_, revision := k.Versions()
		changes, err := k.watch(ctx, revision)
		if errors.Is(err, ErrHistoryGone) {
			err = k.readAll(ctx)
			changes = &Changes{}
		}
		if err != nil {
			return err
		}
		k.applyChanges(changes)
	}
}

func (k *Keeper) watch(ctx context.Context, after uint64) (*Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	changes, err := k.Store.Watch(ctx, after, watchWait)
	if err != nil {
		return nil, fmt.Errorf("watch store: %w", err)
	}
	k.succeed()
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
	k.ApplySnapshot(snapshot, "store")
	return nil
}

func (k *Keeper) succeed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.failing {
		k.failing = false
		k.regained = now
		k.Log.Info("store answers again")
	}
	k.answered = now
}

func (k *Keeper) fail(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.failing {
		k.Log.WithError(err).Warn("store does not answer")
	}
	k.failing = true
}

func pause(ctx context.Context) {
	timer := time.NewTimer(retryPause/2 + rand.N(retryPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ApplyTables puts tables in force if they are newer than those that are.
func (k *Keeper) ApplyTables(raw []byte, source string) {
	if len(raw) == 0 {
		return
	}
	tables, err := k.Decoder.Tables(raw)
	if err != nil {
		k.Log.WithError(err).WithField("source", source).Error("tables rejected; those in force stay")
		return
	}
	k.mu.Lock()
	current := k.resolver.Load()
	isNewer := current == nil || tables.Version > current.Tables.Version
	if isNewer {
		k.resolver.Store(resolver.New(tables))
	}
	k.mu.Unlock()
	if isNewer {
		k.Log.WithField("version", tables.Version).WithField("source", source).Info("tables in force")
		k.OnChange()
	}
}
