// Package director takes requests from callers and from the node's own backend
// server to a backend server of the pool that their route names.
//
// It guarantees that an idempotent request is sent again only within its
// route's attempts and the fleet's retry budget, that any other request is sent
// again only after a stated "not run", that a key never leaves this node, and
// that every request gets its final answer as soon as it is given up. Statuses
// that promise "not run" are used only where that is certain.
//
// # Usage
//
//	d := &director.Director{...}
//	response := d.Serve(ctx, request)
package director

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/process/budgeter"
	"apricotrudder.dev/apricotd/internal/process/chooser"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/rationer"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/process/tracer"
	"apricotrudder.dev/apricotd/internal/request/performer"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// callerMargin is taken from the time that a caller states, so that it
	// gets an answer before it leaves.
	callerMargin = 50 * time.Millisecond
	// defaultDeadline is for requests that state no time.
	defaultDeadline = 10 * time.Second
	// verdictGrace is how long after the deadline the word of the other node
	// is awaited on whether the request has run.
	verdictGrace = 80 * time.Millisecond
	// patienceShare of the target is how long a caller's request may wait for
	// a slot before it is better refused.
	patienceShare = 8
	minPatience   = 30 * time.Millisecond
	// callPatienceShare of the time left is the same for a call of a backend
	// server, for which work has already been done.
	callPatienceShare = 2
	// throttleWait is what callers are asked to wait whose requests are held
	// back: long enough for the excess to follow, short enough to be in time.
	throttleWait = 600 * time.Millisecond
	// minCallsPerRun is the least estimate that is taken for a call at all.
	minCallsPerRun = 0.15
	// doubtfulFrom is the part of its requests that a server fails or turns
	// away from which calls are not sent to it again.
	doubtfulFrom = 0.25
	// maxTries bounds the servers that are asked, also those that do not get
	// the request.
	maxTries = 6
	// startWait is what callers are asked to wait while this node starts.
	startWait = 500 * time.Millisecond
	// stopWait is the same while it stops; it may be back soon after.
	stopWait = time.Second
	// noServerWait is the same while a pool has no usable server.
	noServerWait = 500 * time.Millisecond
)

type (
	// A Director serves requests. Its fields must be set before use.
	Director struct {
		Names    *namer.Names
		Self     netip.Addr
		Caller   func() string // pool of the own backend server
		Resolver func() *resolver.Resolver
		List     func() *lister.List
		Chooser  *chooser.Chooser
		Budget   *budgeter.Budgeter
		Rations  *rationer.Rationer
		Linker   *linker.Linker
		Local    *performer.Performer
		// Quarantine knows the requests that crash backend servers.
		Quarantine *quarantiner.Quarantiner
		// Throttler holds back callers' requests whose trees are overloaded.
		Throttler *throttler.Throttler
		// Tracer learns for which routes the own backend server calls.
		Tracer  *tracer.Tracer
		Log     *logrus.Logger
		Metrics *metrics.Set

		weigher weigher
		closed  atomic.Bool
	}

	// A request is one request on its way through the director.
	request struct {
		*acceptor.Request
		id           string
		route        *resolver.Route
		pool         string
		organisation *resolver.Organisation
		version      uint64
		rank         int
		preference   int     // order within the rank, by organisation
		held         float64 // part of the requests like this that is held back
		deadline     time.Time
		fields       []*linkwire.Field
		isCall       bool
		repeat       float64 // probability that the first send repeats a run
		arrivals     int     // servers that it has reached, or may have
		tries        int
		server       string // asked last
	}
)

// Close refuses callers' requests from now on; those that run go on, and so do
// the calls of the own backend server.
func (d *Director) Close() { d.closed.Store(true) }

// Serve answers one request. It returns nil if its caller has gone.
func (d *Director) Serve(ctx context.Context, r *acceptor.Request) *acceptor.Response {
	rq := &request{Request: r, id: r.Fields.Get(d.Names.RequestID)}
	o := d.admit(ctx, rq)
	if o == nil {
		o = d.run(ctx, rq)
	}
	d.record(rq, o)
	if ctx.Err() != nil {
		return nil
	}
	return d.respond(o)
}

// admit checks everything that needs no other node, the cheap checks first.
func (d *Director) admit(ctx context.Context, rq *request) outcome {
	tables := d.Resolver()
	if tables == nil {
		return refused{reason: reasonStarting, retryAfter: startWait}
	}
	rq.version = tables.Tables.Version
	path, _, _ := strings.Cut(rq.Target, "?")
	route, ok := tables.Route(rq.Host, path)
	if !ok {
		return refused{reason: reasonNoRoute}
	}
	rq.route, rq.rank = route, route.Rank
	if o := d.identify(rq, tables); o != nil {
		return o
	}
	if d.closed.Load() && !rq.isCall {
		return refused{reason: reasonStopping, retryAfter: stopWait}
	}
	rq.deadline = d.deadline(rq)
	rq.pool = d.weigher.pick(route)
	d.Budget.Count(rq.pool)
	if rq.isCall {
		rq.repeat = d.Local.RepeatFraction()
		d.Budget.Owe(rq.pool, rq.repeat)
	}
	if d.Quarantine.Any() && d.Quarantine.Holds(quarantiner.Fingerprint(rq.Method, rq.Host, rq.Target, rq.Body)) {
		return refused{reason: performer.Quarantined, detail: "backend servers crashed that ran it", retryAfter: performer.QuarantineRetryAfter}
	}
	if o := d.throttle(rq); o != nil {
		return o
	}
	rq.fields = d.fields(rq)
	return d.charge(ctx, rq)
}

// charge takes a token of the organisation's rate. It comes last, so that a
// request which is refused for another reason uses none.
func (d *Director) charge(ctx context.Context, rq *request) outcome {
	if rq.organisation == nil {
		return nil
	}
	e := d.Rations.Take(ctx, rq.organisation)
	if e == nil {
		return nil
	}
	return refused{
		reason:     reasonRate,
		detail:     fmt.Sprintf("organisation %s has used its %.1f requests per second, says %s", e.Organisation, e.Rate, e.Keeper),
		retryAfter: e.Wait,
	}
}

// throttle refuses a caller's request whose tree has no room for its rank. A
// call of a backend server goes on: work has been done for it already.
func (d *Director) throttle(rq *request) outcome {
	if rq.isCall {
		d.Tracer.RecordCall(rq.route.Name)
		rq.held = max(0, d.Throttler.Estimate(rq.route.Name).Excess)
		return nil
	}
	part, overload := d.Throttler.ThrottleFraction(rq.route.Name, rq.rank)
	rq.held = part
	if rand.Float64() >= part {
		return nil
	}
	return refused{
		reason:     reasonThrottled,
		detail:     fmt.Sprintf("pool %s, to which the request leads, has an excess of %.2f; %.2f of rank %d is held back", overload.Bottleneck, overload.Excess, part, rq.rank),
		retryAfter: throttleWait,
	}
}

// Downstream returns the greatest excess of the pools to which the calls lead
// that the own backend server makes for a route.
func (d *Director) Downstream(route string) throttler.Overload {
	greatest := throttler.Overload{Excess: math.Inf(-1)}
	for _, call := range d.Tracer.Calls(route) {
		if call.PerRun < minCallsPerRun {
			continue
		}
		overload := d.Throttler.Estimate(call.Name)
		overload.Excess *= min(1, call.PerRun)
		if overload.Bottleneck != "" && overload.Excess > greatest.Excess {
			greatest = overload
		}
	}
	return greatest
}

func (d *Director) identify(rq *request, tables *resolver.Resolver) outcome {
	key := rq.Fields.Get(d.Names.Key)
	if rq.route.Open || !tables.NeedsKeys() {
		// Only callers have keys; an open route without one is a call of the
		// own backend server, or of a caller that is treated alike.
		rq.isCall = rq.route.Open && key == ""
		return nil
	}
	o, ok := tables.Organisation(key)
	if key == "" || !ok {
		return refused{reason: reasonKey}
	}
	rq.organisation = o
	if o.HasRank {
		rq.preference = o.Rank
	}
	return nil
}

// deadline is when the request is given up: a little before its caller leaves,
// and no later than the route's timeout.
func (d *Director) deadline(rq *request) time.Time {
	left := defaultDeadline
	if ms, err := strconv.ParseInt(rq.Fields.Get(d.Names.Remaining), 10, 64); err == nil && ms >= 0 {
		stated := time.Duration(ms) * time.Millisecond
		left = stated - min(callerMargin, stated/10)
	}
	if rq.route.Timeout > 0 {
		left = min(left, rq.route.Timeout)
	}
	return rq.Received.Add(left)
}

// fields returns what is passed on: neither what concerns one connection only,
// nor what only nodes may set.
func (d *Director) fields(rq *request) []*linkwire.Field {
	kept := linker.WireFields(rq.Fields.EndToEnd(d.Names.IsOwn))
	return append(kept, &linkwire.Field{Name: d.Names.Caller, Value: d.Caller()})
}

// A Belief is what this node believes of one route.
type Belief struct {
	Route      string        `json:"route"`
	Excess     float64       `json:"excess"`
	Bottleneck string        `json:"bottleneck,omitempty"`
	Calls      []tracer.Call `json:"calls,omitempty"`
}

// Beliefs returns what this node believes of all routes with any excess or
// calls.
func (d *Director) Beliefs() []Belief {
	tables := d.Resolver()
	if tables == nil {
		return nil
	}
	var out []Belief
	for _, r := range tables.Tables.Routes {
		overload := d.Throttler.Estimate(r.Name)
		b := Belief{Route: r.Name, Excess: overload.Excess, Bottleneck: overload.Bottleneck, Calls: d.Tracer.Calls(r.Name)}
		if b.Excess > 0 || len(b.Calls) > 0 {
			out = append(out, b)
		}
	}
	return out
}
