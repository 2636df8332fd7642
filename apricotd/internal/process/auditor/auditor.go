// Package auditor keeps the node's audit trail: what changed, which version,
// from whom it was learned, and when it came into force.
//
// The trail is bounded and lives in memory, because VMs have no disks; every
// entry is also written to the log, from which the platform may collect it.
// Frequent events, refusals and leases, are kept apart from changes, so that
// they cannot push out the record of changes. Refusals are counted by the
// metrics and enter the trail only for the first of each reason within a second.
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

// Kinds of entries.
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
	// A Kind tells what an entry is about.
	Kind string

	// An Entry is one line of the audit trail.
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
		Log      logrus.FieldLogger // nil: entries are kept but not logged
		Capacity int                // changes kept, and events kept; 0 means 1000

		mu       sync.Mutex
		changes  ring
		events   ring
		refusals map[string]time.Time
	}

	// A ring keeps the most recent of its entries.
	ring struct {
		entries []Entry
		next    int
	}
)

// Record adds an entry, stamped with the present time.
func (a *Auditor) Record(e Entry) {
	e.Time = time.Now()
	a.mu.Lock()
	a.add(e)
	a.mu.Unlock()
	a.log(e)
}

// Refused records the refusal of a request, at most once per reason and
// second.
func (a *Auditor) Refused(reason, detail string, version uint64) {
	now := time.Now()
	a.mu.Lock()
	if last, ok := a.refusals[reason]; ok && now.Sub(last) < refusalInterval {
		a.mu.Unlock()
		return
	}
	if a.refusals == nil {
		a.refusals = make(map[string]time.Time)
	}
	a.refusals[reason] = now
	e := Entry{Time: now, Kind: Refusal, Subject: reason, Detail: detail, Version: version}
	a.add(e)
	a.mu.Unlock()
	a.log(e)
}

// Entries returns at most n entries, the newest first.
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
