package mesher

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/process/catcher"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/internal/process/logwriter"
	"apricotrudder.dev/apricotd/internal/request/postponer"
)

const (
	// headerTimeout bounds how long clients of the metrics and health servers may
	// take to send the request header.
	headerTimeout = 5 * time.Second
)

// serveHealth serves the platform's health checks of this node.
func (n *Node) serveHealth(ctx context.Context, listener net.Listener) error {
	r := chi.NewRouter()
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(ctx, listener, r)
}

// serveMetrics serves metrics in the Prometheus text format, and the status of the node
// as JSON.
func (n *Node) serveMetrics(ctx context.Context, listener net.Listener) error {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.WritePrometheus(w)
		n.writeLabelledGauges(w)
		metrics.WriteProcessMetrics(w)
	})
	r.Get("/v1/status", n.serveStatus)
	r.Get("/v1/where", n.serveWhere)
	return serve(ctx, listener, r)
}

// writeLabelledGauges writes the metrics with a pool, organisation, class or data centre
// label. They are not registered, because the sets of these change with the tables and
// the evacuations.
func (n *Node) writeLabelledGauges(w io.Writer) {
	for pool, remaining := range n.proxier.Budget.Remaining() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`apricot_retry_budget_left{pool=%q}`, pool), remaining)
	}
	for route, lost := range n.forecaster.LostFractions() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`apricot_lost_runs_ratio{route=%q}`, route), lost)
	}
	n.memory.Classes(func(class string, bytes int, refusals uint64) {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`apricot_memory_held_bytes{class=%q}`, class), uint64(max(0, bytes)))
		metrics.WriteCounterUint64(w, fmt.Sprintf(`apricot_memory_refusals_total{class=%q}`, class), refusals)
	})
	for _, e := range n.evacuations() {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`apricot_evacuated{dataCentre=%q}`, e.DataCentre), 1)
	}
	for level, e := range n.appraiser.Errors() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`apricot_cost_error{by=%q}`, level), e)
	}
	for organisation, share := range n.policer.Shares() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`apricot_rate_share{organisation=%q}`, organisation), share)
	}
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve http: %w", err)
	}
	return nil
}

// rateLimit returns the rate that the local backend server accepts, in requests
// per second; infinite if it states none.
func (n *Node) rateLimit() float64 {
	if _, notice := n.noticer.Current(); notice.Limited {
		return notice.Rate
	}
	return math.Inf(1)
}

// unidentifiedSeconds returns for how long the pool of the local backend server has not
// been known; 0 if it is, or if no id is.
func (n *Node) unidentifiedSeconds() float64 {
	identity, ok := n.identifier.Identify()
	if !ok || identity.Evidence != identifier.None {
		return 0
	}
	return identity.Age.Seconds()
}

func (n *Node) registerMetrics() {
	n.metrics.NewGauge("apricot_requests_in_flight", func() float64 { return float64(n.invoker.Load().Running) })
	n.metrics.NewGauge("apricot_requests_waiting", func() float64 { return float64(n.invoker.Load().Waiting) })
	n.metrics.NewGauge("apricot_concurrency_limit", func() float64 { return float64(n.invoker.Load().Slots) })
	n.metrics.NewGauge("apricot_backend_requests_sent", func() float64 { return float64(n.invoker.SentCount()) })
	n.metrics.NewGauge("apricot_backend_rate_limit", n.rateLimit)
	n.metrics.NewGauge("apricot_backend_cold_seconds", func() float64 { return n.warmer.Left().Seconds() })
	n.metrics.NewGauge("apricot_backend_unidentified_seconds", n.unidentifiedSeconds)
	n.metrics.NewGauge("apricot_backend_malformed_notices", func() float64 { return float64(n.noticer.Malformed()) })
	n.metrics.NewGauge("apricot_backend_backlog_seconds", func() float64 { return n.gauger.Read().Backlog.Seconds() })
	n.metrics.NewGauge("apricot_backend_slowdown", func() float64 { return n.gauger.Read().Slowdown })
	n.metrics.NewGauge("apricot_backend_service_ratio", func() float64 { return n.gauger.Read().Ratio })
	n.metrics.NewGauge("apricot_backend_invalid_loads", func() float64 { return float64(n.gauger.Invalid()) })
	n.metrics.NewGauge("apricot_memory_limit_bytes", func() float64 { return float64(n.memory.Limit) })
	n.metrics.NewGauge("apricot_memory_peak_bytes", func() float64 { return float64(n.memory.Peak()) })
	n.metrics.NewGauge("apricot_internal_errors", func() float64 { return float64(catcher.Count()) })
	n.metrics.NewGauge("apricot_excess_ratio", n.estimator.Excess)
	n.metrics.NewGauge("apricot_demand_requests_per_second", n.estimator.Demand)
	n.metrics.NewGauge("apricot_config_age_seconds", func() float64 { return n.syncer.TablesAge().Seconds() })
	for outcome, count := range map[string]func(postponer.Counts) int64{
		"postponed": func(c postponer.Counts) int64 { return c.Postponed },
		"returned":  func(c postponer.Counts) int64 { return c.Returned },
		"letIn":     func(c postponer.Counts) int64 { return c.LetIn },
	} {
		n.metrics.NewGauge(fmt.Sprintf(`apricot_probably_lost_requests{outcome=%q}`, outcome), func() float64 { return float64(count(n.proxier.Postponer.Counts())) })
	}
	n.metrics.NewGauge("apricot_store_silence_seconds", func() float64 { return n.syncer.StoreOutage().Seconds() })
	if w, ok := n.Log.Out.(*logwriter.Writer); ok {
		n.metrics.NewGauge("apricot_log_lines_left_out", func() float64 { return float64(w.Dropped()) })
	}
	n.metrics.NewGauge("apricot_callers_active", func() float64 { return float64(n.acceptor.ActiveRequests()) })
	n.metrics.NewGauge("apricot_callers_connected", func() float64 { return float64(n.acceptor.ConnCount()) })
	n.metrics.NewGauge("apricot_callers_connected_limit", func() float64 { return float64(n.acceptor.MaxConns) })
	n.metrics.NewGauge("apricot_peers_linked", func() float64 { return float64(n.linker.PeerCount()) })
	for reason, calls := range map[string]func() int64{"read": n.syncer.ReadCalls, "watch": n.syncer.WatchCalls, "check": n.syncer.CheckCalls} {
		n.metrics.NewGauge(fmt.Sprintf(`apricot_store_calls{reason=%q}`, reason), func() float64 { return float64(calls()) })
	}
	n.metrics.NewGauge("apricot_config_version", func() float64 { return float64(n.syncer.Versions().Tables) })
	n.metrics.NewGauge("apricot_servers_revision", func() float64 { return float64(n.syncer.Versions().Servers.Revision) })
	n.metrics.NewGauge("apricot_store_era", func() float64 { return float64(n.syncer.Versions().Servers.Era) })
	n.metrics.NewGauge("apricot_servers_overridden", func() float64 { return float64(n.syncer.OverriddenCount()) })
}
