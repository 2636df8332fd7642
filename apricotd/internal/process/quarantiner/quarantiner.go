// Package quarantiner stops requests that crash the backend servers which run
// them.
//
// It guarantees that a request which was running at three crashes anywhere in
// the fleet, and has not been answered since, goes to no backend server until
// it has been forgotten. A request is known by what it asks for, not by its
// id, since it comes again under others.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{}
//	q.Broke(fingerprint)   // its server ended the connection
//	blamed := q.Crashed()  // the server turned out to have crashed
//	q.Blame(fingerprints)  // a peer's
//	if q.Holds(fingerprint) { ... }
//	q.Clear(fingerprint)   // it was answered
//
// Requests that only happened to run at a crash are cleared by their next
// answer. Memory is one record for each request blamed lately.
package quarantiner

import (
	"hash/fnv"
	"io"
	"sync"
	"time"
)

const (
	// crashesToHold is the number of crashes from which a request is held.
	crashesToHold = 3
	// brokenWithin is how long before a crash is noticed its victims break.
	brokenWithin = time.Second
	// forgetAfter is when a request is forgotten that was not blamed again.
	forgetAfter = 2 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

type (
	// A Quarantiner remembers requests. Its zero value is ready.
	Quarantiner struct {
		mu       sync.Mutex
		broken   map[uint64]time.Time
		suspects map[uint64]*suspect
	}

	suspect struct {
		crashes int
		last    time.Time
	}
)

// Fingerprint stands for what a request asks for.
func Fingerprint(method, host, target string, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, method+"\x00"+host+"\x00"+target+"\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}

// Broke notes a request whose server ended the connection without an answer.
func (q *Quarantiner) Broke(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.broken == nil {
		q.broken = make(map[uint64]time.Time)
	}
	if len(q.broken) < maxSuspects {
		q.broken[fingerprint] = time.Now()
	}
}

// Survived forgets what broke: the server has not crashed.
func (q *Quarantiner) Survived() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.broken)
}

// Crashed blames what broke when the server crashed and returns it, for peers.
func (q *Quarantiner) Crashed() []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var blamed []uint64
	for f, at := range q.broken {
		if now.Sub(at) < brokenWithin {
			blamed = append(blamed, f)
		}
	}
	clear(q.broken)
	q.blame(blamed, now)
	return blamed
}

// Blame takes what a peer blames for one crash.
func (q *Quarantiner) Blame(fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.blame(fingerprints, time.Now())
}

// Holds tells whether a request may go to no backend server.
func (q *Quarantiner) Holds(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	return s != nil && s.crashes >= crashesToHold && time.Since(s.last) < forgetAfter
}

// Any tells whether any request is suspect, so that fingerprints need not be
// computed otherwise.
func (q *Quarantiner) Any() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) > 0
}

// Clear notes that a request was answered.
func (q *Quarantiner) Clear(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.suspects, fingerprint)
}

func (q *Quarantiner) blame(fingerprints []uint64, now time.Time) {
	if q.suspects == nil {
		q.suspects = make(map[uint64]*suspect)
	}
	for f, s := range q.suspects {
		if now.Sub(s.last) > forgetAfter {
			delete(q.suspects, f)
		}
	}
	for _, f := range fingerprints {
		s := q.suspects[f]
		if s == nil {
			if len(q.suspects) >= maxSuspects {
				return
			}
			s = &suspect{}
			q.suspects[f] = s
		}
		s.crashes++
		s.last = now
	}
}
