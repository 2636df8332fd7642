// Package router takes requests from callers and from the node's own backend
// server and finds them an answer.
//
// It guarantees that a request runs only for the organisation whose key came
// with it, that the key goes no further than this node, that all attempts of
// a call tree together are bounded by the retry tokens fixed at its first
// node, and that a request which may have effects is sent again only under its
// idempotency key, by which the executing nodes run it at most once.
//
// # Usage
//
//	r := &router.Router{...}
//	http.Serve(callers, r.Callers())
//	http.Serve(backend, r.Backend())
//
// State lives for one request; what lives longer belongs to the packages under
// process.
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
	// A View is one version of the tables, ready for use.
	View struct {
		Config  *checker.Config
		Matcher *matcher.Matcher
	}

	// A Limiter gives out the tokens of organisations.
	Limiter interface {
		// Take takes one token. It fails with *limiter.ExceededError or
		// *limiter.UnavailableError.
		Take(ctx context.Context, o *checker.Organisation) error
	}

	// A Sender carries a request to the node of a VM. An error means that the
	// request may have run, unless it is a *forwarder.UnreachedError.
	Sender interface {
		Forward(ctx context.Context, vm string, r *peerwire.ForwardRequest) (*peerwire.ForwardResponse, error)
	}

	// A Router serves requests. Its fields must be set before use.
	Router struct {
		// View returns the tables in force, nil before the first.
		View func() *View
		// Current tells how current the tables are.
		Current  func() spreader.Freshness
		Limiter  Limiter
		Balancer *balancer.Balancer
		Budget   *Budget
		Tracker  *tracker.Tracker
		Sender   Sender
		Audit    *auditor.Auditor
		Metrics  *metrics.Set
		// IsLeaving tells whether the node has begun its graceful stop.
		IsLeaving func() bool
	}

	// A request is one request on its way through this node.
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

// NewView prepares a version of the tables. The matcher of the version before
// is kept if no route has changed; previous may be nil.
func NewView(cfg *checker.Config, previous *View) *View {
	if previous != nil && maps.Equal(cfg.Routes, previous.Config.Routes) {
		return &View{Config: cfg, Matcher: previous.Matcher}
	}
	return &View{Config: cfg, Matcher: matcher.New(cfg.Routes)}
}

// match finds the route and pool of a request.
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

// finish reports the outcome to whoever sent the request and counts it.
func (r *Router) finish(w http.ResponseWriter, call tracker.Call, route *checker.Route, begun time.Time, o reporter.Outcome) {
	name := "none"
	if route != nil {
		name = route.Name
	}
	result := "answered"
	switch o := o.(type) {
	case reporter.Refused:
		result = string(o.Reason)
		r.Audit.Refused(result, o.Detail, r.version())
	case reporter.Unknown:
		result = string(o.Reason) + "Unknown"
		r.Audit.Refused(result, o.Detail, r.version())
	}
	r.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_requests_total{route=%q,outcome=%q}`, name, result)).Inc()
	r.Metrics.GetOrCreateHistogram(fmt.Sprintf(`apricot_request_seconds{route=%q}`, name)).UpdateDuration(begun)
	reporter.Write(w, call.RequestID, o)
}

func (r *Router) version() uint64 {
	if v := r.View(); v != nil {
		return v.Config.Version
	}
	return 0
}
