// Package prober polls the load endpoint of the node's own backend server and
// sets the node's concurrency limit from the result.
//
// The backend server's reports may be late or wrong, so they can only lower the
// number of slots that the pools table states. The backend server is protected
// by the node's own count of requests in flight. After a start or an outage the
// limit rises linearly from coldStartFraction of the slots to all of them over
// the pool's coldStart.
//
// # Usage
//
//	p := &prober.Prober{Dispatcher: d, Admitter: a, Audit: audit, Interval: time.Second, Pool: pool}
//	go p.Run(ctx)
//
// The cost is one small loopback request per interval.
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
	loadPath       = "/load"
	maxReportBytes = 4 << 10
	probeTimeout   = 500 * time.Millisecond
	// downAfterFailures is the number of consecutive failed probes after which
	// the backend server is considered down.
	downAfterFailures = 3
	// coldStartFraction is the fraction of the slots that may be used right after
	// the backend server comes up.
	coldStartFraction = 0.2
)

type (
	// A Report is the body of a backend server's response to GET /load.
	Report struct {
		Slots    int  `json:"slots"`
		Busy     int  `json:"busy"`
		Draining bool `json:"draining"`
	}

	// A Prober polls one backend server. Its exported fields must be set before
	// Run is called.
	Prober struct {
		Dispatcher *dispatcher.Dispatcher
		Admitter   *admitter.Admitter
		Audit      *auditor.Auditor
		Interval   time.Duration
		// Pool returns the row of the backend server's pool, or nil if no
		// tables have been received yet.
		Pool func() *checker.Pool

		mu       sync.Mutex
		report   Report
		failures int
		down     bool
		upSince  time.Time // first success since the start or the last outage; zero if there is none
	}
)

// Run polls the backend server every Interval until ctx is cancelled.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.probe(ctx)
		p.updateLimit()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// IsDown reports whether the backend server has failed downAfterFailures probes
// in a row and has not answered one since.
func (p *Prober) IsDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// IsDraining reports whether the last load report said that the backend server
// is draining.
func (p *Prober) IsDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report.Draining
}

func (p *Prober) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := p.fetchReport(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.recordFailure(err)
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

func (p *Prober) fetchReport(ctx context.Context) (Report, error) {
	var r Report
	status, body, err := p.Dispatcher.Get(ctx, loadPath, maxReportBytes)
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

func (p *Prober) recordFailure(err error) {
	p.failures++
	if p.failures < downAfterFailures || p.down {
		return
	}
	p.down = true
	p.upSince = time.Time{}
	p.Audit.Record(auditor.Entry{Kind: auditor.BackendDown, Detail: err.Error()})
}

func (p *Prober) updateLimit() {
	pool := p.Pool()
	if pool == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.upSince.IsZero() {
		// No probe has succeeded since the start or the last outage, so
		// connections would probably be refused.
		p.Admitter.SetLimit(0)
		return
	}
	slots := float64(pool.Slots)
	if p.report.Slots > 0 {
		slots = min(slots, float64(p.report.Slots))
	}
	p.Admitter.SetLimit(max(1, int(slots*p.usableFraction(pool))))
}

// usableFraction returns the fraction of the slots that may be used at this point
// of the cold start.
func (p *Prober) usableFraction(pool *checker.Pool) float64 {
	coldStart := time.Duration(pool.ColdStart)
	if coldStart <= 0 {
		return 1
	}
	progress := float64(time.Since(p.upSince)) / float64(coldStart)
	return min(1, coldStartFraction+(1-coldStartFraction)*progress)
}
