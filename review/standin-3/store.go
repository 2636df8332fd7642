package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	entryLifetime = 4500 * time.Millisecond // three heartbeats
	// A page has at most pageItems items and about pageBytes bytes.
	pageItems = 500
	pageBytes = 1 << 20
	// answerTime is how long an answer takes, and linkRate the bytes that the store sends in
	// a second, as on the sheet of the site.
	answerTime = 4 * time.Millisecond
	linkRate   = 125_000_000
	// watchEvents is the greatest number of events in an answer to a watch.
	watchEvents = 500
)

type (
	// A store is a stand-in for the platform's metadata store: it can be read and watched.
	store struct {
		server   *http.Server
		listener net.Listener

		mu       sync.Mutex
		revision uint64
		items    map[string]*item
		events   []any
		revs     []uint64      // of events
		changed  chan struct{} // closed with the next event
	}

	item struct {
		Key      string
		Value    []byte
		Rev      uint64
		Created  uint64
		Lease    uint64
		renewed  time.Time
		isLeased bool
	}

	deletion struct {
		Key     string
		Rev     uint64
		Deleted bool
	}
)

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 400, items: make(map[string]*item), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// put writes an item. Renewing the lease of an entry alone is no change.
func (s *store) put(key string, value []byte, isLeased bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.items[key]
	if old != nil && isLeased && slices.Equal(old.Value, value) {
		old.renewed = time.Now()
		return
	}
	s.revision++
	it := &item{Key: key, Value: value, Rev: s.revision, Created: s.revision, renewed: time.Now(), isLeased: isLeased}
	if old != nil {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) removeLocked(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(deletion{Key: key, Rev: s.revision, Deleted: true})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, it := range s.items {
		if it.isLeased && time.Since(it.renewed) > entryLifetime {
			s.removeLocked(key)
		}
	}
}

func (s *store) record(event any) {
	s.events, s.revs = append(s.events, event), append(s.revs, s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		items := []*item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
				items = append(items, it)
			}
		}
		slices.SortFunc(items, func(a, b *item) int { return strings.Compare(a.Key, b.Key) })
		page, size := 0, 0
		for page < len(items) && page < pageItems && (page == 0 || size+len(items[page].Value) <= pageBytes) {
			size += len(items[page].Value)
			page++
		}
		body, _ := json.Marshal(map[string]any{"items": items[:page], "HasMore": page < len(items), "At": s.revision})
		s.mu.Unlock()
		answer(w, body)
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
		timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer timer.Stop()
		for {
			s.mu.Lock()
			first, _ := slices.BinarySearch(s.revs, after+1)
			events, at, changed := s.events[first:], s.revision, s.changed
			if len(events) > watchEvents {
				events, at = events[:watchEvents], s.revs[first+watchEvents-1]
			}
			s.mu.Unlock()
			isDone := len(events) > 0
			if !isDone {
				select {
				case <-changed:
					continue
				case <-timer.C:
				case <-r.Context().Done():
					return
				}
			}
			if events == nil {
				events = []any{}
			}
			body, _ := json.Marshal(map[string]any{"events": events, "At": at})
			answer(w, body)
			return
		}
	default:
		http.NotFound(w, r)
	}
}

func answer(w http.ResponseWriter, body []byte) {
	time.Sleep(answerTime + time.Duration(len(body))*time.Second/linkRate)
	_, _ = w.Write(body)
}
