// Package auditor keeps the node's audit trail: what changed, at which version,
// from which source, and when.
//
// The trail is bounded and held in memory, because VMs have no disks; every
// entry is also written to the log, from which the platform may collect it.
// Refusals and lease events are frequent and have a buffer of their own, so that
// they cannot evict the entries for changes. Metrics count every refusal; the
// trail records at most one per reason and second.
//
// # Usage
//
//	a := &auditor.Auditor{Log: log, Capacity: 1000}
//	a.Record(auditor.Entry{Kind: auditor.ConfigInForce, Version: 7, Source: "platform"})
//	recent := a.Entries(50)
//
// Record costs one lock and one log line.
package auditor

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	defaultCapacity = 1000
	refusalInterval = time.Second
)

// The kinds of audit entries.
const (
	ConfigInForce  Kind = "configInForce"
	ConfigRejected Kind = "configRejected"
	StaleAnswer    Kind = "staleAnswer"
	VMsInForce     Kind = "vmsInForce"
	PlatformLost   Kind = "platformLost"
	PlatformBack   Kind = "platformBack"
	FreshnessLost  Kind = "freshnessLost"
	FreshnessBack  Kind = "freshnessBack"
	PeerRefused    Kind = "peerRefused"
	LeaseGained    Kind = "leaseGained"
	LeaseLost      Kind = "leaseLost"
	Leaving        Kind = "leaving"
	Refusal        Kind = "refusal"
	BackendDown    Kind = "backendDown"
	BackendUp      Kind = "backendUp"
)

type (
	// A Kind is the type of an audit entry.
	Kind string

	// An Entry is one record of the audit trail.
	Entry struct {
		Time    time.Time `json:"time"`
		Kind    Kind      `json:"kind"`
		Subject string    `json:"subject,omitempty"`
		Detail  string    `json:"detail,omitempty"`
		Version uint64    `json:"version,omitempty"`
		Source  string    `json:"source,omitempty"`
	}

	// An Auditor keeps the most recent entries.
	Auditor struct {
		Log      logrus.FieldLogger // if nil, entries are kept but not logged
		Capacity int                // of each of the two buffers, in entries; 0 means 1000

		mu           sync.Mutex
		changes      ring
		events       ring
		lastRefusals map[string]time.Time // time of the last recorded refusal, by reason
	}

	// A ring is a ring buffer that overwrites its oldest entry when full.
	ring struct {
		entries []Entry
		next    int
	}
)

// Record sets the time of e to now, adds e to the trail and logs it.
func (a *Auditor) Record(e Entry) {
	e.Time = time.Now()
	a.mu.Lock()
	a.add(e)
	a.mu.Unlock()
	a.log(e)
}

// RecordRefusal records that a request was refused. It drops the record if one
// with the same reason was made less than refusalInterval ago.
func (a *Auditor) RecordRefusal(reason, detail string, version uint64) {
	now := time.Now()
	a.mu.Lock()
	if last, ok := a.lastRefusals[reason]; ok && now.Sub(last) < refusalInterval {
		a.mu.Unlock()
		return
	}
	if a.lastRefusals == nil {
		a.lastRefusals = make(map[string]time.Time)
	}
	a.lastRefusals[reason] = now
	e := Entry{Time: now, Kind: Refusal, Subject: reason, Detail: detail, Version: version}
	a.add(e)
	a.mu.Unlock()
	a.log(e)
}

// Entries returns up to n entries, newest first.
func (a *Auditor) Entries(n int) []Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := slices.Concat(a.changes.entries, a.events.entries)
	slices.SortStableFunc(all, func(x, y Entry) int { return y.Time.Compare(x.Time) })
	return all[:min(n, len(all))]
}

func (a *Auditor) add(e Entry) {
	capacity := a.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	switch e.Kind {
	case Refusal, LeaseGained, LeaseLost:
		a.events.add(e, capacity)
	default:
		a.changes.add(e, capacity)
	}
}

func (r *ring) add(e Entry, capacity int) {
	if len(r.entries) < capacity {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % capacity
}

func (a *Auditor) log(e Entry) {
	if a.Log == nil {
		return
	}
	a.Log.WithFields(logrus.Fields{
		"kind":    e.Kind,
		"subject": e.Subject,
		"version": e.Version,
		"source":  e.Source,
	}).Info(e.Detail)
}
