// Package invoker runs requests on the node's own backend server, for the
// node's own callers and for peers.
//
// It guarantees that a request is sent only while the server is not leaving, its data
// centre is not evacuated, its region is a home of the request and it belongs to the
// requested pool. The request carries the time that remains until its deadline and the
// id of the very server that was checked: the address may pass to another server at any
// time, which rejects that id. A refusal states "not run" only if no byte of the request
// was sent or the server itself stated it.
//
// # Usage
//
//	result := i.Run(ctx, run)
//
// The admitter in front of the server orders requests by class, which is the rank of
// the caller's request. Calls of backend servers precede callers' requests of the same
// rank, since work has already been done for them. A call whose tree is not known
// has the highest class.
package invoker

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/cost/gauger"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/correlator"
	"apricotrudder.dev/apricotd/internal/process/estimator"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/internal/process/noticer"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/process/tuner"
	"apricotrudder.dev/apricotd/internal/request/forecaster"
	"apricotrudder.dev/apricotd/internal/request/inheritor"
	"apricotrudder.dev/apricotd/internal/request/ranker"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

// Reasons for refusals.
const (
	WrongPool   = "wrongPool"   // the backend server belongs to another pool
	Leaving     = "leaving"     // the server or its node accepts no new requests
	Stopping    = "stopping"    // the node ends before the request's deadline
	Overloaded  = "overloaded"  // no slot became free in time
	Unreachable = "unreachable" // the server does not accept connections
	Shed        = "shed"        // the server stated that it has not run the request
	Expired     = "expired"     // the deadline passed
	Cancelled   = "cancelled"   // the caller disconnected
	Lost        = "lost"        // the connection failed before the whole answer arrived
	Unclear     = "unclear"     // the answer does not tell whether the request has run
	Quarantined = "quarantined" // the request crashes servers
	OutsideHome = "outsideHome" // the request may not be served in this region

	// Unidentified: it is not known yet to which pool the server belongs.
	Unidentified = "unidentified"
	Evacuated    = "evacuated" // the operator has the data centre of the server evacuated
)

const (
	// classCall is higher than every class of callers' requests.
	classCall = checker.ClassCritical + 1
	// unreachableRetryAfter is the retry delay stated while the server does not
	// accept connections or its pool is not known.
	unreachableRetryAfter = 500 * time.Millisecond
	// QuarantineRetryAfter is the retry delay stated for a request that crashes
	// servers.
	QuarantineRetryAfter = 30 * time.Second
	// EvacuatedRetryAfter is the retry delay stated while all servers that may run a
	// request are evacuated, which lasts until an operator ends it.
	EvacuatedRetryAfter = 2 * time.Second
	// minShedRetryAfter is the least retry delay stated after the server itself
	// rejected a request. It is short since the next attempt may be accepted
	// and latency targets are short.
	minShedRetryAfter = 50 * time.Millisecond
	// serviceTimeSmoothing is the weight of one answer in the moving average of
	// the service time.
	serviceTimeSmoothing = 0.1
	// repeatSmoothing is the weight of one run in the moving average of the
	// repeat probability.
	repeatSmoothing = 0.05
)

// An Invoker runs requests on one backend server. Its fields must be set
// before use.
type Invoker struct {
	Names      *namer.Names
	Exchanger  *exchanger.Exchanger
	Admitter   *admitter.Admitter
	Identifier *identifier.Identifier
	Estimator  *estimator.Estimator
	Tuner      *tuner.Tuner
	Correlator *correlator.Correlator
	Ranker     *ranker.Ranker
	Inheritor  *inheritor.Inheritor
	Forecaster *forecaster.Forecaster
	Quarantine *quarantiner.Quarantiner
	Noticer    *noticer.Noticer
	Gauger     *gauger.Gauger
	Log        logrus.FieldLogger
	Metrics    *metrics.Set
	// Region is that of this node.
	Region string
	// Homes returns the only regions in which requests on a route for an organisation
	// may be served, and the version of the tables that say so. No regions means any
	// if they are nil. If Homes is nil, all requests may be served here.
	Homes func(route, organisation string) (regions []string, version uint64)
	// OnBroken is called when the server has closed a connection without
	// sending an answer.
	OnBroken func()
	// OnNewServer is called when the server has reported a new id in a response.
	OnNewServer func(id string)
	// OnUnreachable is called when the server could not be connected to.
	OnUnreachable func()
	// IsCold reports whether the server is not known to be warm, if it has to be.
	IsCold func() bool
	// MarkCold adds to a notice of the server, which may be nil, for how long it stays
	// cold.
	MarkCold func(*linkwire.Notice) *linkwire.Notice
	// Downstream returns the estimated overload of the pools that are called
	// for a route.
	Downstream func(route string) throttler.Overload
	// IsEvacuated reports whether the data centre of the server is evacuated. If nil, it
	// never is.
	IsEvacuated func() bool

	leaving         atomic.Bool
	stopAt          atomic.Pointer[time.Time] // nil until Stop
	waiting         atomic.Int64
	sent            atomic.Int64 // requests sent to the server
	limit           atomic.Int64 // concurrency limit
	meanServiceTime atomic.Int64 // nanoseconds

	mu             sync.Mutex
	repeatFraction float64 // moving average of the repeat probability of runs
}

// Stop makes the invoker refuse requests that must not be repeated and may not have
// their answer by end, those of peers and of this node. Another node may be able to
// finish them.
func (i *Invoker) Stop(end time.Time) { i.stopAt.Store(&end) }

// Leave makes the invoker refuse all requests that it has not sent yet, those
// of peers and of this node.
func (i *Invoker) Leave() { i.leaving.Store(true) }

// RepeatFraction returns the fraction of recent runs that were repeats, which
// is also the fraction of repeats among the calls that the server makes for
// them.
func (i *Invoker) RepeatFraction() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.repeatFraction
}

func (i *Invoker) recordRepeat(probability float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.repeatFraction += (probability - i.repeatFraction) * repeatSmoothing
}

// SetSlots sets how many requests the server can run at once, as its entry
// states.
func (i *Invoker) SetSlots(n int) {
	i.Tuner.SetSlots(n)
	i.updateLimit()
}

// updateLimit applies the concurrency limit that the tuner recommends.
func (i *Invoker) updateLimit() {
	n := i.Tuner.Limit()
	if i.limit.Swap(int64(n)) != int64(n) {
		i.Admitter.SetLimit(n)
	}
}

// Load returns the load of the server and of the queue in front of it.
func (i *Invoker) Load() *linkwire.Load {
	running, _ := i.Admitter.Load()
	identity, _ := i.Identifier.Identify()
	reading := i.Gauger.Read()
	load := &linkwire.Load{
		Running:   uint32(running),
		Waiting:   uint32(i.waiting.Load()),
		Slots:     uint32(i.limit.Load()),
		Leaving:   i.isLeaving(identity.Server),
		ServiceMs: converter.Milliseconds(time.Duration(i.meanServiceTime.Load())),

		Notice:          i.MarkCold(i.Noticer.Message()),
		RateUtilisation: i.Admitter.RateUtilisation(),

		Slowdown:     reading.Slowdown,
		ServiceRatio: float32(reading.Ratio),
	}
	// Nobody waits at a server with many free slots.
	if 2*(load.Running+load.Waiting) >= load.Slots {
		load.BacklogMs = converter.Milliseconds(reading.Backlog)
	}
	return load
}

// SentCount returns the number of requests that were sent to the server since
// the start, repeated sends included.
func (i *Invoker) SentCount() int64 { return i.sent.Load() }

// Run runs a request and returns its result.
func (i *Invoker) Run(ctx context.Context, run *linkwire.Run) *linkwire.Result {
	deadline := time.Now().Add(time.Duration(run.RemainingMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	result, isLost := i.admit(ctx, run, deadline)
	result.Load = i.Load()
	overload := i.overload(run)
	result.Load.Lost, result.Load.Rejected = i.Forecaster.LostFraction(run.Route), isLost
	result.Load.Excess, result.Load.Bottleneck, result.Load.Demand = overload.Excess, overload.Bottleneck, i.Estimator.Demand()
	result.Load.RequestsPerRun = float32(overload.RequestsPerRun)
	return result
}

// overload returns the overload of the most overloaded pool in the request's
// call tree, which includes this server's pool.
func (i *Invoker) overload(run *linkwire.Run) throttler.Overload {
	own := throttler.Overload{Excess: i.Estimator.Excess(), Bottleneck: run.Pool}
	if downstream := i.Downstream(run.Route); downstream.Bottleneck != "" && downstream.Excess > own.Excess {
		return downstream
	}
	return own
}

func (i *Invoker) admit(ctx context.Context, run *linkwire.Run, deadline time.Time) (result *linkwire.Result, isLost bool) {
	i.adoptNotice(run)
	if _, refusal := i.check(run, deadline); refusal != nil {
		return refusal, false
	}
	if i.Quarantine.HasSuspects() && i.Quarantine.IsQuarantined(fingerprint(run)) {
		return refusalResult(Quarantined, "backend servers crashed that ran it", QuarantineRetryAfter), false
	}
	work := i.Gauger.Add(converter.Seconds(run.ExpectedMs / 1000))
	i.waiting.Add(1)
	release, err := i.Admitter.Enter(ctx, admitter.Request{
		Class:        classOf(run),
		Call:         run.Call,
		TreeRanked:   run.Call && run.TreeRanked,
		Organisation: run.Organisation,
		Weight:       run.Weight,
		Deadline:     deadline,
		Preference:   run.Preference,
		MaxWait:      time.Duration(run.PatienceMs) * time.Millisecond,
	})
	i.waiting.Add(-1)
	if err != nil {
		work.End(false)
		result = shedResult(err)
		if result.GetRefusal().Reason == Overloaded {
			i.Estimator.RecordRefused()
			if i.IsCold() {
				result.GetRefusal().Detail += "; the backend server is not known to be warm"
				i.Metrics.GetOrCreateCounter("apricot_backend_cold_refusals_total").Inc()
			}
		}
		return result, false
	}
	i.Estimator.RecordAdmitted(run.Held)
	i.recordRepeat(run.Repeat)
	answered := false
	defer func() {
		work.End(answered)
		release(answered)
	}()
	work.Start()
	start := time.Now()
	running, _ := i.Admitter.Load()
	defer i.Correlator.Begin(run.Route)()
	defer i.Ranker.Begin(run.Route, int(run.Rank))()
	if run.TreeExcess != nil {
		defer i.Inheritor.Begin(run.Route, inheritor.Tree{Refused: run.Held, Excess: float64(run.GetTreeExcess()), Bottleneck: run.TreeBottleneck})()
	}
	endForecast := i.Forecaster.Begin(run.Route)
	result = i.invoke(ctx, run, deadline)
	answered = result.GetAnswer() != nil
	if answered {
		isLost = endForecast(result.GetAnswer().Status >= http.StatusInternalServerError)
		took := time.Since(start)
		if i.Gauger.Read().Slowdown > 0 {
			result.ServiceMs = float32(converter.Milliseconds(took))
		}
		i.recordServiceTime(took)
		i.Tuner.Observe(run.Route, running, took)
		i.updateLimit()
		if i.Quarantine.HasSuspects() {
			i.Quarantine.Clear(fingerprint(run))
		}
	}
	return result, isLost
}

// invoke sends the request. If the server rejects the id and states another
// one of the same pool, it sends the request once more.
func (i *Invoker) invoke(ctx context.Context, run *linkwire.Run, deadline time.Time) *linkwire.Result {
	identity, refusal := i.check(run, deadline)
	if refusal != nil {
		return refusal
	}
	result, idChanged := i.send(ctx, run, identity, deadline)
	if !idChanged {
		return result
	}
	i.adoptNotice(run)
	if identity, refusal = i.check(run, deadline); refusal == nil && !i.Noticer.Notice(identity.Server).Limited && !i.IsCold() {
		result, _ = i.send(ctx, run, identity, deadline)
	}
	return result
}

// adoptNotice applies what the sender of the request knows of the server.
func (i *Invoker) adoptNotice(run *linkwire.Run) {
	if run.Notice != nil {
		identity, _ := i.Identifier.Identify()
		i.Noticer.Adopt(identity.Server, run.Notice)
	}
}

// check returns the server to which the request may be sent now, or a refusal. It is
// called again after a wait, in which the node may have begun to stop or have learned
// that the data centre is evacuated.
func (i *Invoker) check(run *linkwire.Run, deadline time.Time) (identity identifier.Identity, refusal *linkwire.Result) {
	identity, ok := i.Identifier.Identify()
	end := i.stopAt.Load()
	if refusal := i.checkHomes(run); refusal != nil {
		return identity, refusal
	}
	switch {
	case i.IsEvacuated != nil && i.IsEvacuated():
		i.Metrics.GetOrCreateCounter("apricot_backend_evacuated_refusals_total").Inc()
		refusal = refusalResult(Evacuated, "the data centre of the backend server is evacuated", EvacuatedRetryAfter)
	case !ok:
		refusal = refusalResult(Unreachable, "the backend server is not known", unreachableRetryAfter)
	case identity.Evidence == identifier.None:
		refusal = refusalResult(Unidentified, fmt.Sprintf("the pool of backend server %s is not known, %d ms after it was first seen", identity.Server, identity.Age.Milliseconds()), unreachableRetryAfter)
	case identity.Pool != run.Pool:
		refusal = refusalResult(WrongPool, fmt.Sprintf("got a request for pool %s, want %s (%s, %d ms old)", run.Pool, identity.Pool, identity.Evidence, identity.Age.Milliseconds()), 0)
	case i.isLeaving(identity.Server):
		refusal = refusalResult(Leaving, "the backend server takes nothing new", 0)
	case end != nil && !run.Idempotent && deadline.After(*end):
		refusal = refusalResult(Stopping, "the node of the backend server ends before the request's deadline", 0)
	}
	return identity, refusal
}

// isLeaving reports whether the server with the current id accepts no new
// requests: its node is stopping, it says so itself, or its entry says so or has
// been removed.
func (i *Invoker) isLeaving(id string) bool {
	if i.leaving.Load() || i.Noticer.Notice(id).Leaving {
		return true
	}
	s, listed, wasListed := i.Identifier.Listed(id)
	if !listed {
		return wasListed
	}
	return s.State == lister.Leaving
}

// send sends the request once, to the server with an identity. idChanged reports
// whether the server rejected the id and stated another one.
func (i *Invoker) send(ctx context.Context, run *linkwire.Run, identity identifier.Identity, deadline time.Time) (result *linkwire.Result, idChanged bool) {
	i.logSend(run, identity)
	call := &exchanger.Call{
		ID:         string(run.RequestId),
		Method:     run.Method,
		Target:     string(run.Target),
		Host:       string(run.Host),
		Fields:     i.headerFields(run, identity.Server, time.Until(deadline)),
		Body:       run.Body,
		Idempotent: run.Idempotent,
	}
	i.sent.Add(1)
	sentAt := time.Now()
	switch o := i.Exchanger.Do(ctx, call).(type) {
	case exchanger.Response:
		return i.translateResponse(o, identity, sentAt)
	case exchanger.NotSent:
		if ctx.Err() != nil {
			return refusalResult(ContextReason(ctx), o.Err.Error(), 0), false
		}
		i.Identifier.Reset()
		i.OnUnreachable()
		return refusalResult(Unreachable, o.Err.Error(), unreachableRetryAfter), false
	case exchanger.NoResponse:
		if o.ConnectionFailed {
			i.Identifier.Reset()
			i.Quarantine.RecordInterrupted(fingerprint(run))
			i.OnBroken()
		}
		return lostResult(ctx, o.Err), false
	default:
		panic(fmt.Sprintf("unexpected outcome type %T", o))
	}
}

// logSend logs and counts to which server a request is sent and what shows that the
// server belongs to the request's pool.
func (i *Invoker) logSend(run *linkwire.Run, identity identifier.Identity) {
	i.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_backend_sends_total{evidence=%q}`, identity.Evidence)).Inc()
	i.Log.WithFields(logrus.Fields{
		"request":       string(run.RequestId),
		"pool":          run.Pool,
		"server":        identity.Server,
		"serverPool":    identity.Pool,
		"evidence":      identity.Evidence,
		"evidenceAgeMs": identity.Age.Milliseconds(),
	}).Log(sendLevel(identity), "request sent to the backend server")
}

// logChange logs that the server with an id was found to have another one.
func (i *Invoker) logChange(named, actual string) {
	identity, _ := i.Identifier.Identify()
	i.Log.WithFields(logrus.Fields{
		"named":         named,
		"server":        actual,
		"pool":          identity.Pool,
		"evidence":      identity.Evidence,
		"evidenceAgeMs": identity.Age.Milliseconds(),
	}).Info("backend server rejected the id of another one")
}

// sendLevel returns a level at which lines about rare evidence are kept when the log
// is bounded.
func sendLevel(identity identifier.Identity) logrus.Level {
	if identity.Evidence == identifier.Listed {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}

// translateResponse translates the response to a request that was sent to the server
// with an identity.
func (i *Invoker) translateResponse(response exchanger.Response, identity identifier.Identity, sentAt time.Time) (result *linkwire.Result, idChanged bool) {
	if response.Status == http.StatusMisdirectedRequest && response.Fields.Get(i.Names.Receipt) == "" {
		actual := response.Fields.Get(i.Names.Server)
		if i.Identifier.SetReported(actual, sentAt) {
			i.logChange(identity.Server, actual)
			i.OnNewServer(actual)
		}
		idChanged = actual != "" && actual != identity.Server
		i.Noticer.Observe(actual, response.Fields, sentAt, response.ReceivedAt)
		return markArrived(refusalResult(Shed, "another backend server has the address", unreachableRetryAfter)), idChanged
	}
	i.Noticer.Observe(identity.Server, response.Fields, sentAt, response.ReceivedAt)
	i.Gauger.Observe(identity.Server, response.Fields.Get(i.Names.Load), response.ReceivedAt)
	hasReceipt, statesNotRun := response.Fields.Get(i.Names.Receipt) != "", response.Fields.Get(i.Names.NotRun) != ""
	if hasReceipt && !statesNotRun {
		i.Identifier.Confirm(identity, sentAt)
	}
	switch {
	case statesNotRun && !hasReceipt && response.Status >= http.StatusBadRequest:
		wait := max(minShedRetryAfter, retryAfter(response.Fields))
		return markArrived(refusalResult(Shed, fmt.Sprintf("the backend server answered %d", response.Status), wait)), false
	case statesNotRun:
		return unclearResult(fmt.Sprintf("the backend server answered %d and states that it has not run the request, receipt: %v", response.Status, hasReceipt)), false
	case !hasReceipt && promisesNotRun(response.Status):
		return unclearResult(fmt.Sprintf("the backend server answered %d and does not state whether it has run the request", response.Status)), false
	}
	return &linkwire.Result{Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{
		Status: uint32(response.Status),
		Fields: linker.WireFields(response.Fields.EndToEnd(nil)),
		Body:   response.Body,
	}}}, false
}

func (i *Invoker) headerFields(run *linkwire.Run, id string, left time.Duration) parser.Fields {
	fields := linker.HeaderFields(run.Fields)
	add := func(name, value string) {
		if name != "" && value != "" {
			fields = append(fields, parser.Field{Name: name, Value: value})
		}
	}
	add(i.Names.RemainingTime, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	add(i.Names.TargetServer, id)
	add(i.Names.Organisation, run.Organisation)
	return fields
}

func (i *Invoker) recordServiceTime(took time.Duration) {
	old := i.meanServiceTime.Load()
	if old == 0 {
		i.meanServiceTime.Store(int64(took))
		return
	}
	i.meanServiceTime.Store(old + int64(serviceTimeSmoothing*float64(int64(took)-old)))
}

func fingerprint(run *linkwire.Run) uint64 {
	return quarantiner.Fingerprint(run.Method, string(run.Host), string(run.Target), run.Body)
}

func classOf(run *linkwire.Run) checker.Class {
	if run.Call && !run.TreeRanked {
		return classCall
	}
	return checker.ClassCritical - checker.Class(min(run.Rank, uint32(checker.ClassCritical)))
}

func shedResult(err error) *linkwire.Result {
	var s *admitter.ShedError
	if !errors.As(err, &s) {
		panic(fmt.Sprintf("unexpected error type %T from admitter", err))
	}
	switch s.Cause {
	case admitter.Closed:
		return refusalResult(Leaving, "the backend server takes nothing new", 0)
	case admitter.Cancelled:
		return refusalResult(Cancelled, "given up while waiting for a slot", 0)
	case admitter.DeadlineExceeded:
		return refusalResult(Expired, "too little time is left to finish", 0)
	}
	return refusalResult(Overloaded, string(s.Cause), s.RetryAfter)
}

func refusalResult(reason, detail string, retryAfter time.Duration) *linkwire.Result {
	return &linkwire.Result{Outcome: &linkwire.Result_Refusal{Refusal: &linkwire.Refusal{
		Reason:       reason,
		NotRun:       true,
		RetryAfterMs: converter.Uint32(retryAfter.Milliseconds()),
		Detail:       strings.ToValidUTF8(detail, "?"),
	}}}
}

func markArrived(r *linkwire.Result) *linkwire.Result {
	r.GetRefusal().Arrived = true
	return r
}

func lostResult(ctx context.Context, err error) *linkwire.Result {
	if ctx.Err() != nil {
		return unknownResult(ContextReason(ctx), err.Error())
	}
	return unknownResult(Lost, err.Error())
}

// unclearResult is the result of a request whose response does not tell whether it
// has run.
func unclearResult(detail string) *linkwire.Result { return unknownResult(Unclear, detail) }

// unknownResult is the result of a request that may have run.
func unknownResult(reason, detail string) *linkwire.Result {
	return &linkwire.Result{Outcome: &linkwire.Result_Refusal{Refusal: &linkwire.Refusal{
		Reason:  reason,
		Arrived: true,
		Detail:  strings.ToValidUTF8(detail, "?"),
	}}}
}

// promisesNotRun reports whether callers take a status for the statement that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// ContextReason returns Expired if the deadline of an ended context passed,
// else Cancelled.
func ContextReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Expired
	}
	return Cancelled
}

// retryAfter parses the Retry-After field, which may have a fraction of a
// second.
func retryAfter(fields parser.Fields) time.Duration {
	seconds, err := strconv.ParseFloat(fields.Get("Retry-After"), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 || seconds > 60 {
		return 0
	}
	return converter.Seconds(seconds)
}
