// Package prober watches the node's own backend server and sets how much work
// it is given.
//
// The backend server's reports may lag or mislead, so they only ever lower the
// number of slots that the pools table states; what protects the backend
// server is the count of requests that this node itself has in flight. After a
// start or an outage the limit rises from a small share to the whole over the
// pool's coldStart.
//
// # Usage
//
//	p := &prober.Prober{Dispatcher: d, Admitter: a, Audit: audit, Interval: time.Second, Pool: pool}
//	go p.Run(ctx)
//
// Cost is one small request to loopback for each interval.
package prober

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/dispatcher"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/version/checker"
)

const (
	loadPath     = "/load"
	maxReport    = 4 << 10 // bytes
	probeTimeout = 500 * time.Millisecond
	// failuresToDown is the number of failed probes after which a backend
	// server counts as down.
	failuresToDown = 3
	// coldShare is the share of the slots that a cold backend server gets.
	coldShare = 0.2
)

type (
	// A Report is what a backend server answers on /load.
	Report struct {
		Slots    int  `json:"slots"`
		Busy     int  `json:"busy"`
		Draining bool `json:"draining"`
	}

	// A Prober watches one backend server. Its exported fields must be set
	// before Run.
	Prober struct {
		Dispatcher *dispatcher.Dispatcher
		Admitter   *admitter.Admitter
		Audit      *auditor.Auditor
		Interval   time.Duration
		// Pool returns the pool's row, nil before the first tables.
		Pool func() *checker.Pool

		mu       sync.Mutex
		report   Report
		failures int
		down     bool
		upSince  time.Time
	}
)

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.probe(ctx)
		p.setLimit()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// IsDown tells whether the backend server does not answer.
func (p *Prober) IsDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// IsDraining tells whether the backend server says that it is leaving.
func (p *Prober) IsDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report.Draining
}

func (p *Prober) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.ask(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.noteFailure(err)
		return
	}
	p.report = report
	p.failures = 0
	if p.upSince.IsZero() {
		p.upSince = time.Now()
	}
	if p.down {
		p.down = false
		p.Audit.Record(auditor.Entry{Kind: auditor.BackendUp})
	}
}

func (p *Prober) ask(ctx context.Context) (Report, error) {
	var r Report
	status, body, err := p.Dispatcher.Get(ctx, loadPath, maxReport)
	if err != nil {
		return r, fmt.Errorf("probe backend server: %w", err)
	}
	if status != http.StatusOK {
		return r, fmt.Errorf("probe backend server: got status %d, want 200", status)
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("decode load report: %w", err)
	}
	return r, nil
}

func (p *Prober) noteFailure(err error) {
	p.failures++
	if p.failures < failuresToDown || p.down {
		return
	}
	p.down = true
	p.upSince = time.Time{}
	p.Audit.Record(auditor.Entry{Kind: auditor.BackendDown, Detail: err.Error()})
}

func (p *Prober) setLimit() {
	pool := p.Pool()
	if pool == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.upSince.IsZero() {
		// Not seen yet: requests would only find a closed port.
		p.Admitter.SetLimit(0)
		return
	}
	slots := float64(pool.Slots)
	if p.report.Slots > 0 {
		slots = min(slots, float64(p.report.Slots))
	}
	p.Admitter.SetLimit(max(1, int(slots*p.warmth(pool))))
}

// warmth is the share of the slots that may be used so far.
func (p *Prober) warmth(pool *checker.Pool) float64 {
	ramp := time.Duration(pool.ColdStart)
	if ramp <= 0 {
		return 1
	}
	progress := float64(time.Since(p.upSince)) / float64(ramp)
	return min(1, coldShare+(1-coldShare)*progress)
}
