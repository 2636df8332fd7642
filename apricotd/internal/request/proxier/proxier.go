// Package proxier proxies requests of callers and of the node's own backend server
// to the node of a chosen backend server of the pool that their route names.
//
// It guarantees that an idempotent request is retried only within its route's
// limit on attempts and the fleet's retry budget, that any other request is
// retried only if it certainly has not run, that an API key never leaves this
// node, and that every request is answered as soon as no further attempt is
// allowed. A status that promises "not run" is returned only if that is certain.
//
// # Usage
//
//	p := &proxier.Proxier{...}
//	response := p.Serve(ctx, request)
package proxier

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/cost/appraiser"
	"apricotrudder.dev/apricotd/internal/process/correlator"
	"apricotrudder.dev/apricotd/internal/process/noticer"
	"apricotrudder.dev/apricotd/internal/process/picker"
	"apricotrudder.dev/apricotd/internal/process/policer"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/retrylimiter"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/request/forecaster"
	"apricotrudder.dev/apricotd/internal/request/inheritor"
	"apricotrudder.dev/apricotd/internal/request/invoker"
	"apricotrudder.dev/apricotd/internal/request/postponer"
	"apricotrudder.dev/apricotd/internal/request/ranker"
	"apricotrudder.dev/apricotd/internal/request/returner"
	"apricotrudder.dev/apricotd/internal/request/trier"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// callerMargin is subtracted from the time that a caller states, so that it
	// gets an answer before it disconnects.
	callerMargin = 50 * time.Millisecond
	// defaultTimeout applies to requests that state no time.
	defaultTimeout = 10 * time.Second
	// maxDeadline bounds the time that a caller states. Responses are read for no
	// longer than this.
	maxDeadline = 10 * time.Minute
	// resultGrace is how long after the deadline to wait for the other node's
	// result, which tells whether the request has run.
	resultGrace = 80 * time.Millisecond
	// A caller's request may wait for a slot for the route's latency target
	// divided by queueWaitDivisor, but at least minQueueWait. After a longer
	// wait it is better refused.
	queueWaitDivisor = 8
	minQueueWait     = 30 * time.Millisecond
	// callQueueWaitDivisor is the divisor of the remaining time for a call of a
	// backend server. It is smaller since work has already been done for it.
	callQueueWaitDivisor = 2
	// throttledRetryAfter is the retry delay of a throttled request: long
	// enough for the estimated excess to change, and short enough to meet the
	// caller's deadline. It is shorter, but at least minThrottledRetryAfter, if an answer
	// would otherwise miss the route's latency target.
	throttledRetryAfter    = 600 * time.Millisecond
	minThrottledRetryAfter = 100 * time.Millisecond
	// maxFailureFraction bounds the fraction of recent requests that a server
	// failed or rejected. No call is retried on a server above it.
	maxFailureFraction = 0.25
	// maxTries bounds the attempts for one request, including those that do not
	// reach a server.
	maxTries = 6
	// startingRetryAfter is the retry delay while this node starts.
	startingRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the retry delay while this node stops. It may
	// restart soon after.
	stoppingRetryAfter = time.Second
	// noServerRetryAfter is the retry delay while a pool has no usable server.
	noServerRetryAfter = 500 * time.Millisecond
)

type (
	// A Proxier serves requests. Its exported fields must be set before use.
	Proxier struct {
		Names     *namer.Names
		Self      netip.Addr
		LocalPool func() string // pool of the own backend server
		Resolver  func() *resolver.Resolver
		// AwaitStart waits for a time until Resolver returns one, if it returns nil
		// because the node is starting.
		AwaitStart  func(ctx context.Context)
		List        func() *lister.List
		Picker      *picker.Picker
		Budget      *retrylimiter.Limiter
		RateLimiter *policer.Policer
		Linker      *linker.Linker
		Local       *invoker.Invoker
		// Notices holds what the backend servers of other nodes and of this one
		// have stated about themselves.
		Notices *noticer.Directory
		// Quarantine tracks the requests that crash backend servers.
		Quarantine *quarantiner.Quarantiner
		// Throttler rejects callers' requests whose call trees are overloaded.
		Throttler *throttler.Throttler
		// Correlator estimates which calls the own backend server makes for each
		// route.
		Correlator *correlator.Correlator
		// Appraiser estimates what requests cost.
		Appraiser *appraiser.Appraiser
		// Ranker determines the rank of the own backend server's calls.
		Ranker *ranker.Ranker
		// Inheritor determines what was refused at the roots of the own backend
		// server's calls.
		Inheritor *inheritor.Inheritor
		// RanksCalls says whether calls get the rank of their tree if routes have
		// different ranks.
		RanksCalls bool
		// Forecaster learns of the calls of the own backend server that are rejected.
		Forecaster *forecaster.Forecaster
		// Postponer refuses callers' requests that would probably be lost to rejected
		// calls.
		Postponer *postponer.Postponer
		// Returner determines when callers return who were refused for a rate.
		Returner *returner.Returner
		// StateAge returns for how long the tables have been in force, and the time
		// since the node last knew that it had all changes of the published state.
		StateAge func() (tables, current time.Duration)
		Log      *logrus.Logger
		Metrics  *metrics.Set

		balancer poolBalancer
		trier    trier.Trier
		stopAt   atomic.Pointer[time.Time] // nil until Stop
	}

	// A request is the state of one request in the proxier.
	request struct {
		*acceptor.Request
		id                string
		route             *resolver.Route
		pool              string
		organisation      *resolver.Organisation
		version           uint64
		rank              int
		preference        int            // order within the rank, by organisation
		tree              inheritor.Tree // what applied when the call tree was admitted
		isTreeKnown       bool
		stated            time.Duration // how long the caller will wait, as it states
		deadline          time.Time
		fields            []*linkwire.Field
		isCall            bool
		endTrial          func(trier.Result) // nil unless the pool was cold
		hasTreeRank       bool               // whether the rank of a call is that of its call tree
		repeatProbability float64            // probability that the first attempt repeats an earlier run
		arrivals          int                // backend servers that it has reached, or may have reached
		tries             int                // servers tried
		lastServer        string
		homes             []string // the only regions in which it may be served; nil means any
		refusedRegions    []string // regions whose nodes refused it as outside its homes
		cost              appraiser.Estimate
		prediction        picker.Prediction // of the last attempt
		serviceTime       time.Duration     // of the last attempt; 0 if unknown
		lost              bool              // whether the last attempt was lost to a rejection in spite of free slots
	}
)

// Stop refuses, from now on, each request that may not have its answer by end,
// whoever sends it. Running requests continue.
func (p *Proxier) Stop(end time.Time) { p.stopAt.Store(&end) }

// mayOutlast reports whether a request may not have its answer when the node
// stops.
func (p *Proxier) mayOutlast(rq *request) bool {
	end := p.stopAt.Load()
	return end != nil && rq.deadline.Add(resultGrace).After(*end)
}

// IsRefusedLast reports whether other requests are refused before one with this head if
// memory is short: it must not be repeated, or is a call, for which work has been done.
func (p *Proxier) IsRefusedLast(r *parser.Request) bool {
	tables := p.Resolver()
	if tables == nil {
		return false
	}
	route, ok := routeOf(r, tables)
	return ok && (!route.Idempotent || route.Public && r.Fields.Get(p.Names.APIKey) == "")
}

// Serve answers one request. It returns nil if the caller has disconnected. A request
// that still runs when the node stops is answered with what is known of it.
func (p *Proxier) Serve(ctx context.Context, r *acceptor.Request) *acceptor.Response {
	rq := &request{Request: r, id: r.Fields.Get(p.Names.RequestID)}
	o := p.admit(ctx, rq)
	if o == nil {
		o = p.run(ctx, rq)
		p.observeOutcome(rq, o)
	}
	if rq.endTrial != nil {
		rq.endTrial(trialResult(o))
	}
	stopping := errors.Is(context.Cause(ctx), acceptor.ErrStopping)
	if stopping {
		o = brokenOff(o)
	}
	p.recordOutcome(rq, o)
	if ctx.Err() != nil && !stopping {
		return nil
	}
	return p.respond(o)
}

// admit runs the checks that need no other node, cheapest first, and then takes
// a rate token.
func (p *Proxier) admit(ctx context.Context, rq *request) outcome {
	tables := p.Resolver()
	if tables == nil {
		p.AwaitStart(ctx)
		if tables = p.Resolver(); tables == nil {
			return refused{reason: reasonStarting, retryAfter: startingRetryAfter}
		}
	}
	if !rq.findRoute(tables) {
		return refused{reason: reasonNoRoute}
	}
	key := rq.Fields.Get(p.Names.APIKey)
	if !rq.identify(tables, key != "", func() (*resolver.Organisation, bool) { return tables.OrganisationByKey(key) }) {
		return refused{reason: reasonKeyUnknown}
	}
	p.prepare(rq, tables)
	if o, ok := p.refuseEach(rq); ok {
		return p.countHomeRefusal(o)
	}
	rq.pool = p.balancer.pick(rq.route)
	p.Budget.CountRequest(rq.pool)
	if rq.isCall {
		rq.repeatProbability = p.Local.RepeatFraction()
		p.Budget.ChargeCall(rq.pool, rq.repeatProbability)
	}
	if p.Quarantine.HasSuspects() && p.Quarantine.IsQuarantined(quarantiner.Fingerprint(rq.Method, rq.Host, rq.Target, rq.Body)) {
		return refused{reason: invoker.Quarantined, detail: "backend servers crashed while they ran this request", retryAfter: invoker.QuarantineRetryAfter}
	}
	if o := p.throttle(rq, tables); o != nil {
		return o
	}
	if o := p.postpone(rq); o != nil {
		return o
	}
	if o := p.try(rq); o != nil {
		return o
	}
	rq.fields = p.forwardedFields(rq)
	return p.takeRateToken(ctx, rq)
}

// takeRateToken takes a token from the organisation's bucket. It runs last, so
// that a request refused for another reason uses none.
func (p *Proxier) takeRateToken(ctx context.Context, rq *request) outcome {
	if rq.organisation == nil {
		return nil
	}
	refusal := p.RateLimiter.Admit(ctx, rq.organisation)
	if refusal == nil {
		return nil
	}
	delay, advanced := p.rateRetryAfter(rq.route, refusal.RetryAfter)
	detail := fmt.Sprintf("organisation %s exceeded its rate of %.1f requests per second (bucket owner: %s)", refusal.Organisation, refusal.Rate, refusal.Owner)
	if advanced {
		detail += fmt.Sprintf("; the caller is to return in %d ms for the latency target, although a token is likely after %d ms", delay.Milliseconds(), refusal.RetryAfter.Milliseconds())
	}
	p.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_rate_refusals_total{route=%q,advanced="%v"}`, rq.route.Name, advanced)).Inc()
	return refused{reason: reasonRateExceeded, detail: detail, retryAfter: delay}
}

// treeRank returns the rank of a call's tree. It returns false for a request of a caller,
// and if the rank is unknown or makes no difference.
func (p *Proxier) treeRank(rq *request, tables *resolver.Resolver) (rank int, ok bool) {
	if !rq.isCall || !p.RanksCalls || !tables.HasRanks() {
		return 0, false
	}
	return p.Ranker.Rank(rq.route.Name)
}

// throttle rejects a fraction of callers' requests whose call tree is
// overloaded. It never rejects a call of a backend server, since work has
// already been done for it.
func (p *Proxier) throttle(rq *request, tables *resolver.Resolver) outcome {
	if rq.isCall {
		p.Correlator.RecordCall(rq.route.Name)
		if rq.hasTreeRank {
			p.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_calls_ranked_total{rank="%d"}`, rq.rank)).Inc()
		}
		rq.tree, rq.isTreeKnown = p.Inheritor.Inherit(rq.route.Name, rq.pool)
		if !rq.isTreeKnown {
			rq.tree.Refused = max(0, p.Throttler.Estimate(rq.route.Name).Excess)
		}
		return nil
	}
	fraction, overload := p.Throttler.ThrottleFraction(rq.route.Name, rq.rank)
	if overload.Bottleneck != "" {
		p.Postponer.ObserveExcess(rq.route.Name, overload.Excess)
	}
	rq.tree, rq.isTreeKnown = inheritor.Tree{Refused: fraction}, true
	if overload.Excess > 0 {
		rq.tree.Excess, rq.tree.Bottleneck = overload.Excess, overload.Bottleneck
	}
	if rq.tree.Bottleneck == rq.pool {
		rq.tree.Refused = rq.tree.Excess
	}
	if tables.HasRanks() && p.Throttler.HasOtherPools(rq.route.Name) {
		p.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_shared_pool_requests_total{route=%q}`, rq.route.Name)).Inc()
	}
	if rand.Float64() >= fraction {
		return nil
	}
	temperature := ""
	if overload.Cold {
		temperature = ", because its servers are cold,"
	}
	return refused{
		reason: reasonThrottled,
		detail: fmt.Sprintf("pool %s is the bottleneck%s with an excess of %.2f (newest report: server %s, %d ms ago); rejecting a fraction of %.2f of the requests of rank %d",
			overload.Bottleneck, temperature, overload.Excess, overload.Reporter, overload.Age.Milliseconds(), fraction, rq.rank),
		retryAfter: max(p.throttledRetryAfter(rq.route), p.coldLeft(overload.Bottleneck)),
	}
}

// rateRetryAfter returns the retry delay of a request that was refused for its
// organisation's rate, and whether that is before a token is likely.
func (p *Proxier) rateRetryAfter(r *resolver.Route, untilToken time.Duration) (delay time.Duration, advanced bool) {
	latest, ok := p.Postponer.LatestReturn(r.Name, r.TargetLatency)
	if !ok {
		return untilToken, false
	}
	return p.Returner.Delay(untilToken, withoutJitter(latest))
}

// throttledRetryAfter returns the retry delay of a throttled request.
func (p *Proxier) throttledRetryAfter(r *resolver.Route) time.Duration {
	latest, ok := p.Postponer.LatestReturn(r.Name, r.TargetLatency)
	if !ok {
		return throttledRetryAfter
	}
	return max(minThrottledRetryAfter, min(throttledRetryAfter, withoutJitter(latest)))
}

// postpone refuses a caller's request that would probably be lost to rejected
// calls, if its caller can still be served on time after it has returned.
func (p *Proxier) postpone(rq *request) outcome {
	if rq.isCall || rq.stated == 0 {
		return nil
	}
	delay, ok := p.Postponer.Delay(postponer.Request{
		Route:      rq.route.Name,
		Idempotent: rq.route.Idempotent,
		Left:       rq.stated,
		Target:     rq.route.TargetLatency,
		Fingerprint: func() uint64 {
			return quarantiner.Fingerprint(rq.Method, rq.Host, rq.Target, rq.Body)
		},
	})
	if !ok {
		return nil
	}
	return refused{
		reason:     reasonPostponed,
		detail:     fmt.Sprintf("a fraction of %.2f of these requests is lost to rejected calls; the caller can be back in %d ms", p.Postponer.LostFraction(rq.route.Name), delay.Milliseconds()),
		retryAfter: withoutJitter(delay),
	}
}

// observeOutcome records the outcome of a request that was sent to servers: for a
// call, whether it was rejected in spite of free slots, and for a caller's request,
// how long a success took.
func (p *Proxier) observeOutcome(rq *request, o outcome) {
	answer, ok := o.(answered)
	switch {
	case rq.isCall && rq.lost:
		p.Forecaster.RecordRejectedCall()
	case !rq.isCall && ok && answer.Status < http.StatusMultipleChoices:
		p.Postponer.ObserveAnswer(rq.route.Name, time.Since(rq.Received))
	}
}

// Downstream returns the greatest estimated overload among the call trees of
// the calls that the own backend server makes for a route. The excess of a call
// that is made less than once for each request is scaled by its frequency.
func (p *Proxier) Downstream(route string) throttler.Overload {
	greatest := throttler.Overload{Excess: math.Inf(-1)}
	for _, call := range p.Correlator.Calls(route) {
		if call.PerRun < correlator.MinPerRun {
			continue
		}
		overload := p.Throttler.Estimate(call.Name)
		overload.Excess *= min(1, call.PerRun)
		overload.RequestsPerRun = call.PerRun * overload.Weight()
		overload.RequestsPerRun = overload.Weight()
		if overload.Bottleneck != "" && overload.Excess > greatest.Excess {
			greatest = overload
		}
	}
	return greatest
}

// deadline returns when to give up the request: a little before its caller
// disconnects, and no later than the route's timeout.
func (p *Proxier) deadline(rq *request) time.Time {
	left := defaultTimeout
	if ms, err := strconv.ParseInt(rq.Fields.Get(p.Names.RemainingTime), 10, 64); err == nil && ms >= 0 {
		rq.stated = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
		left = rq.stated - min(callerMargin, rq.stated/10)
	}
	if rq.route.Timeout > 0 {
		left = min(left, rq.route.Timeout)
	}
	return rq.Received.Add(left)
}

// forwardedFields returns the header fields to forward, without hop-by-hop
// fields and those that only nodes may set.
func (p *Proxier) forwardedFields(rq *request) []*linkwire.Field {
	fields := linker.WireFields(rq.Fields.EndToEnd(p.Names.IsReserved))
	return append(fields, &linkwire.Field{Name: p.Names.Caller, Value: []byte(p.LocalPool())})
}

// A RouteOverload is this node's estimate for one route.
type RouteOverload struct {
	Route      string            `json:"route"`
	Excess     float64           `json:"excess"`
	Bottleneck string            `json:"bottleneck,omitempty"`
	Calls      []correlator.Call `json:"calls,omitempty"`
}

// OverloadEstimates returns this node's estimates for all routes with a positive
// excess or with estimated calls.
func (p *Proxier) OverloadEstimates() []RouteOverload {
	tables := p.Resolver()
	if tables == nil {
		return nil
	}
	var out []RouteOverload
	for _, r := range tables.Tables.Routes {
		overload := p.Throttler.Estimate(r.Name)
		o := RouteOverload{Route: r.Name, Excess: overload.Excess, Bottleneck: overload.Bottleneck, Calls: p.Correlator.Calls(r.Name)}
		if o.Excess > 0 || len(o.Calls) > 0 {
			out = append(out, o)
		}
	}
	return out
}
