// Package quarantiner quarantines requests that crash backend servers.
//
// It guarantees that a request which was running during three crashes anywhere
// in the fleet, and has not been answered since, is sent to no backend server
// until its record expires. Requests are identified by a fingerprint of their
// content, because they are retried under new ids.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{}
//	q.RecordInterrupted(fingerprint) // the server closed the connection without an answer
//	blamed := q.BlameInterrupted()   // the server was found to have crashed
//	q.Blame(fingerprints)            // a peer reported a crash
//	if q.IsQuarantined(fingerprint) { ... }
//	q.Clear(fingerprint)             // the request was answered
//
// Requests that ran during a crash by coincidence are cleared by their next
// answer. Memory use is one record per recently blamed request.
package quarantiner

import (
	"hash/fnv"
	"io"
	"sync"
	"time"
)

const (
	// crashThreshold is the number of crashes from which a request is
	// quarantined.
	crashThreshold = 3
	// crashWindow is the period before the detection of a crash. Requests that were
	// interrupted in it are blamed for the crash.
	crashWindow = time.Second
	// suspectTTL is how long a record is kept after the last crash.
	suspectTTL = 2 * time.Minute
	// maxSuspects bounds the number of records.
	maxSuspects = 4096
)

type (
	// A Quarantiner counts the crashes during which requests were running. The
	// zero value is ready to use.
	Quarantiner struct {
		mu          sync.Mutex
		interrupted map[uint64]time.Time
		suspects    map[uint64]*suspect
	}

	// A suspect is the record of a request that was blamed for a crash.
	suspect struct {
		crashes   int
		lastCrash time.Time
	}
)

// Fingerprint returns a hash of a request's method, host, target and body.
func Fingerprint(method, host, target string, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, method+"\x00"+host+"\x00"+target+"\x00")
	_, _ = h.Write(body)
	return h.Sum64()
}

// RecordInterrupted records a request whose server closed the connection without an
// answer.
func (q *Quarantiner) RecordInterrupted(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.interrupted == nil {
		q.interrupted = make(map[uint64]time.Time)
	}
	if len(q.interrupted) < maxSuspects {
		q.interrupted[fingerprint] = time.Now()
	}
}

// DiscardInterrupted discards the interrupted requests, because the server has not
// crashed.
func (q *Quarantiner) DiscardInterrupted() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.interrupted)
}

// BlameInterrupted blames the recently interrupted requests for a crash of the
// server. It returns their fingerprints, to be sent to peers.
func (q *Quarantiner) BlameInterrupted() []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var blamed []uint64
	for f, at := range q.interrupted {
		if now.Sub(at) < crashWindow {
			blamed = append(blamed, f)
		}
	}
	clear(q.interrupted)
	q.blame(blamed, now)
	return blamed
}

// Blame records the requests that a peer blames for one crash.
func (q *Quarantiner) Blame(fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.blame(fingerprints, time.Now())
}

// IsQuarantined reports whether a request is quarantined.
func (q *Quarantiner) IsQuarantined(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[fingerprint]
	return s != nil && s.crashes >= crashThreshold && time.Since(s.lastCrash) < suspectTTL
}

// HasSuspects reports whether there are any suspects. If not, callers need not
// compute fingerprints.
func (q *Quarantiner) HasSuspects() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.suspects) > 0
}

// Clear removes the record of a request that was answered.
func (q *Quarantiner) Clear(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.suspects, fingerprint)
}

// blame counts a crash for each request and drops expired records. q.mu must be
// held.
func (q *Quarantiner) blame(fingerprints []uint64, now time.Time) {
	if q.suspects == nil {
		q.suspects = make(map[uint64]*suspect)
	}
	for f, s := range q.suspects {
		if now.Sub(s.lastCrash) > suspectTTL {
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
		s.lastCrash = now
	}
}
