// Package router routes requests from callers and from the node's own backend
// server to a backend server, through the node beside it.
//
// It guarantees that a request is executed only on behalf of the organisation
// of its API key, that the key is not forwarded, that the retries in a call tree
// are limited by the retry tokens assigned at its first node, and that a
// non-idempotent request is retried only with its idempotency key, by which the
// executing nodes run it at most once.
//
// # Usage
//
//	r := &router.Router{...}
//	http.Serve(callers, r.Callers())
//	http.Serve(backend, r.Backend())
//
// Apart from the retry budget, the package keeps state for one request only;
// longer-lived state belongs to the packages under process.
package router

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/internal/process/balancer"
	"apricotrudder.dev/apricotd/internal/process/spreader"
	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/matcher"
	"apricotrudder.dev/wire/peerwire"
)

type (
	// A View is one version of the tables with its route matcher.
	View struct {
		Config  *checker.Config
		Matcher *matcher.Matcher
	}

	// A Limiter enforces the rate limits of organisations.
	Limiter interface {
		// Take takes one token. Its errors are *limiter.ExceededError and
		// *limiter.UnavailableError.
		Take(ctx context.Context, o *checker.Organisation) error
	}

	// A Sender sends a request to the node of a VM. After an error the request
	// may have been executed, unless the error is a *forwarder.NotSentError.
	Sender interface {
		Forward(ctx context.Context, vm string, r *peerwire.ForwardRequest) (*peerwire.ForwardResponse, error)
	}

	// A Router serves requests. Its fields must be set before use.
	Router struct {
		// View returns the current tables, or nil if there are none yet.
		View func() *View
		// Freshness returns how up to date the tables are.
		Freshness func() spreader.Freshness
		Limiter   Limiter
		Balancer  *balancer.Balancer
		Budget    *Budget
		Tracker   *tracker.Tracker
		Sender    Sender
		Audit     *auditor.Auditor
		Metrics   *metrics.Set
		// IsDraining reports whether the node is draining before it stops.
		IsDraining func() bool
	}

	// A request is the state of one request in this node.
	request struct {
		call   tracker.Call
		route  *checker.Route
		pool   *checker.Pool
		method string
		path   string
		query  string
		header []*peerwire.Header
		body   []byte
		view   *View
	}
)

// NewView returns the view of a version of the tables. It reuses the matcher of
// the previous view if no route has changed; previous may be nil.
func NewView(cfg *checker.Config, previous *View) *View {
	if previous != nil && maps.Equal(cfg.Routes, previous.Config.Routes) {
		return &View{Config: cfg, Matcher: previous.Matcher}
	}
	return &View{Config: cfg, Matcher: matcher.New(cfg.Routes)}
}

// match returns the route and pool for a request.
func (r *Router) match(hr *http.Request, view *View) (*checker.Route, *checker.Pool, reporter.Outcome) {
	route, ok := view.Matcher.Match(hr.Method, hr.URL.EscapedPath())
	if !ok {
		return nil, nil, reporter.Refused{
			Reason: reporter.RouteUnknown,
			Detail: fmt.Sprintf("got %s %s, want a method and path of the routes table", hr.Method, hr.URL.Path),
		}
	}
	return route, view.Config.Pools[route.Pool], nil
}

// report writes the outcome as the response and records it in the metrics and,
// unless the request was answered, in the audit trail.
func (r *Router) report(w http.ResponseWriter, call tracker.Call, route *checker.Route, start time.Time, o reporter.Outcome) {
	name := "none"
	if route != nil {
		name = route.Name
	}
	result := "answered"
	switch o := o.(type) {
	case reporter.Refused:
		result = string(o.Reason)
		r.Audit.RecordRefusal(result, o.Detail, r.configVersion())
	case reporter.Unknown:
		result = string(o.Reason) + "Unknown"
		r.Audit.RecordRefusal(result, o.Detail, r.configVersion())
	}
	r.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_requests_total{route=%q,outcome=%q}`, name, result)).Inc()
	r.Metrics.GetOrCreateHistogram(fmt.Sprintf(`apricot_request_seconds{route=%q}`, name)).UpdateDuration(start)
	reporter.Write(w, call.RequestID, o)
}

func (r *Router) configVersion() uint64 {
	if v := r.View(); v != nil {
		return v.Config.Version
	}
	return 0
}
