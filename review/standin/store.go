package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store is a stand-in of the platform's metadata store. It serves kv-range and
// kv-watch as PROTOCOL.md says, keeps its whole history and never fails.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	events  []storeItem
	changed chan struct{}
}

type storeItem struct {
	Key     string
	Value   []byte `json:",omitempty"`
	Rev     uint64
	Created uint64 `json:",omitempty"`
	Lease   uint64
	Deleted bool `json:",omitempty"`
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	item := storeItem{Key: key, Value: data, Rev: s.rev, Created: created}
	s.items[key] = item
	s.append(item)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.append(storeItem{Key: key, Rev: s.rev, Deleted: true})
}

// append adds an event. s.mu must be held.
func (s *store) append(item storeItem) {
	s.events = append(s.events, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
		s.mu.Lock()
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				items = append(items, item)
			}
		}
		at := s.rev
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		writeJSON(w, map[string]any{"items": items, "HasMore": false, "At": at})
	})
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
		timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer timer.Stop()
		for expired := false; ; {
			s.mu.Lock()
			events := []storeItem{}
			for _, e := range s.events {
				if e.Rev > after && strings.HasPrefix(e.Key, q.Get("Prefix")) {
					events = append(events, e)
				}
			}
			at, changed := s.rev, s.changed
			s.mu.Unlock()
			if len(events) > 0 || expired {
				writeJSON(w, map[string]any{"events": events, "At": at})
				return
			}
			select {
			case <-changed:
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
	})
	_ = (&http.Server{Handler: mux}).Serve(l)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
