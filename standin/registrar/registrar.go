// Package registrar simulates the platform's metadata store.
//
// It keeps the history of all changes under one revision counter. Clients read
// the items and watch for changes; tests write them. It reproduces the failures of
// the real store: calls of some clients that are rejected or not answered, a history
// that is discarded, and a restoration from an older copy, which loses the last changes,
// raises the era and gives their revisions out again.
//
// # Usage
//
//	s := &registrar.Store{}
//	s.Put("servers/a", value)
//	answer, err := s.Watch(ctx, client, revision, time.Second)
//	lost := s.Restore(9 * time.Second)
//	for _, item := range lost { s.Put(item.Key, item.Value) }
//
// A Store keeps all changes in memory, so it is meant for runs of minutes.
package registrar

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrGone is returned by Watch if the history has no such revision or no
	// longer has the changes after it.
	ErrGone = errors.New("history does not have the changes after this revision")
	// ErrUnavailable is the error of a call that is rejected or cut.
	ErrUnavailable = errors.New("store is unavailable")
)

type (
	// An Item is one key as it was written or deleted.
	Item struct {
		Key      string
		Value    []byte
		Revision uint64 // of this write or deletion
		Deleted  bool
	}

	// An Answer is the response to a read or a watch.
	Answer struct {
		Items    []Item // for a watch the changes, oldest first
		Revision uint64 // of the store
		Era      int64
	}

	// A Store is a simulated metadata store. Its zero value is empty and ready to
	// use, in era 0.
	Store struct {
		// Latency is the time that each answer takes.
		Latency time.Duration

		mu           sync.Mutex
		changes      []change // oldest first; the revision is the index plus one
		compactedTo  uint64   // changes up to this revision cannot be watched
		era          int64
		away         bool                // rejects all calls
		rejects      map[netip.Addr]bool // clients whose calls are rejected
		silenced     map[netip.Addr]bool // clients whose calls are not answered
		changed      chan struct{}       // closed and replaced to wake waiting watches
		restorations int
		calls        int
	}

	change struct {
		item Item
		at   time.Time
	}
)

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	return s.append(Item{Key: key, Value: value})
}

// Delete deletes an item and returns the revision of the deletion.
func (s *Store) Delete(key string) uint64 {
	return s.append(Item{Key: key, Deleted: true})
}

func (s *Store) append(item Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	item.Revision = uint64(len(s.changes)) + 1
	s.changes = append(s.changes, change{item: item, at: time.Now()})
	s.wake()
	return item.Revision
}

// Restore brings the store back from a copy of the given age. It returns the last
// lost write or deletion of each key, oldest first, and cuts waiting watches.
func (s *Store) Restore(age time.Duration) (lost []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.Now().Add(-age)
	kept, _ := slices.BinarySearchFunc(s.changes, end, func(c change, t time.Time) int {
		if c.at.After(t) {
			return 1
		}
		return -1
	})
	last := make(map[string]int)
	for i, c := range s.changes[kept:] {
		last[c.item.Key] = i
	}
	for _, i := range slices.Sorted(maps.Values(last)) {
		lost = append(lost, s.changes[kept+i].item)
	}
	s.changes = slices.Clip(s.changes[:kept])
	s.compactedTo = min(s.compactedTo, uint64(kept))
	s.era++
	s.restorations++
	s.wake()
	return lost
}

// Compact discards the history, so that only later changes can be watched.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = uint64(len(s.changes))
}

// SetAway sets whether the store rejects all calls.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// SetRejected sets whether the store rejects the calls of a client.
func (s *Store) SetRejected(client netip.Addr, rejected bool) { s.mark(&s.rejects, client, rejected) }

// SetSilent sets whether the calls of a client get no answer, as in a partition. Calls
// that wait when this begins are not answered either.
func (s *Store) SetSilent(client netip.Addr, silent bool) { s.mark(&s.silenced, client, silent) }

// mark sets whether a client is one of clients, and wakes the waiting calls.
func (s *Store) mark(clients *map[netip.Addr]bool, client netip.Addr, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *clients == nil {
		*clients = make(map[netip.Addr]bool)
	}
	(*clients)[client] = on
	s.wake()
}

// awaitPath returns at once if the calls of a client are answered, and otherwise when the
// context is done: a call that is lost in a partition is not answered after it either.
func (s *Store) awaitPath(ctx context.Context, client netip.Addr) error {
	s.mu.Lock()
	silent := s.silenced[client]
	s.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Calls returns the number of calls, rejected ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Read returns all items.
func (s *Store) Read(ctx context.Context, client netip.Addr) (*Answer, error) {
	time.Sleep(s.Latency)
	if err := s.awaitPath(ctx, client); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.isRejected(client) {
		return nil, ErrUnavailable
	}
	items := make(map[string]Item)
	for _, c := range s.changes {
		if c.item.Deleted {
			delete(items, c.item.Key)
			continue
		}
		items[c.item.Key] = c.item
	}
	return &Answer{Items: slices.Collect(maps.Values(items)), Revision: s.revision(), Era: s.era}, nil
}

// Watch returns the changes after a revision as soon as there are any. The answer
// has no items if there are none within the wait.
func (s *Store) Watch(ctx context.Context, client netip.Addr, after uint64, wait time.Duration) (*Answer, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	s.calls++
	restorations := s.restorations
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		if err := s.awaitPath(ctx, client); err != nil {
			return nil, err
		}
		answer, wake, err := s.poll(client, after, restorations)
		if err != nil || len(answer.Items) > 0 || expired {
			return answer, err
		}
		select {
		case <-wake:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// poll returns the changes after a revision and a channel that is closed when
// there may be more. It fails if the store was restored after the watch began.
func (s *Store) poll(client netip.Addr, after uint64, restorations int) (*Answer, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	switch {
	case s.isRejected(client) || s.restorations != restorations:
		return nil, nil, ErrUnavailable
	case after > s.revision() || after < s.compactedTo:
		return nil, nil, ErrGone
	}
	answer := &Answer{Revision: s.revision(), Era: s.era}
	for _, c := range s.changes[after:] {
		answer.Items = append(answer.Items, c.item)
	}
	return answer, s.changed, nil
}

func (s *Store) revision() uint64 { return uint64(len(s.changes)) }

func (s *Store) isRejected(client netip.Addr) bool { return s.away || s.rejects[client] }

// wake wakes all waiting watches. s.mu must be held.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
