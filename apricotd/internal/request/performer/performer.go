// Package performer runs requests on the node's own backend server, for the
// node's own callers and for peers.
//
// It guarantees that a request reaches the server only while the server is not
// leaving, only under the id of a server of the wanted pool, and only with the
// time that is left. A refusal says "not run" only if no byte was sent or the
// server itself stated so.
//
// # Usage
//
//	result := p.Run(ctx, run)
//
// The admitter in front of the server orders requests by class: calls of
// backend servers first, since work has been done for them already.
package performer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/gauger"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/sizer"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/process/tracer"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

// Reasons of refusals.
const (
	WrongPool   = "wrongPool"   // another service's server runs here
	Parting     = "leaving"     // the server or its node takes nothing new
	Overloaded  = "overloaded"  // no slot in time
	Unreachable = "unreachable" // the server does not accept connections
	Shed        = "shed"        // the server stated that it has not run the request
	Expired     = "expired"     // the time ran out
	Cancelled   = "cancelled"   // the caller left
	Lost        = "lost"        // the server broke off
	Quarantined = "quarantined" // the request crashes servers
)

const (
	// classCall goes before every class of callers' requests.
	classCall = checker.ClassCritical + 1
	// unreachableWait is what callers are asked to wait for a server that
	// does not accept connections.
	unreachableWait = 500 * time.Millisecond
	// QuarantineWait is what callers are asked to wait with a request that
	// crashes servers.
	QuarantineWait = 30 * time.Second
	// shedWait is what callers are asked to wait after the server itself turned
	// a request away: the next may be accepted, and targets are short.
	shedWait = 50 * time.Millisecond
	// serviceGain is the weight of one answer in the mean time of service.
	serviceGain = 0.1
	// repeatGain is the weight of one run in the mean part of repeats.
	repeatGain = 0.05
)

// A Performer runs requests on one backend server. Its fields must be set
// before use.
type Performer struct {
	Names      *namer.Names
	Exchanger  *exchanger.Exchanger
	Admitter   *admitter.Admitter
	Identifier *identifier.Identifier
	Gauger     *gauger.Gauger
	Sizer      *sizer.Sizer
	Tracer     *tracer.Tracer
	Quarantine *quarantiner.Quarantiner
	// OnBroken is called when the server has ended a connection without an
	// answer.
	OnBroken func()
	// Downstream returns what is believed of the pools to which a route's calls
	// lead.
	Downstream func(route string) throttler.Overload

	leaving atomic.Bool
	waiting atomic.Int64
	limit   atomic.Int64 // requests that may run at once
	service atomic.Int64 // mean time of service, nanoseconds

	mu      sync.Mutex
	repeats float64 // mean probability that a run is a repeat
}

// Leave makes the performer refuse peers' requests from now on.
func (p *Performer) Leave() { p.leaving.Store(true) }

// RepeatPart returns the part of the last runs that were repeats, and so of the
// calls that the server makes for them.
func (p *Performer) RepeatPart() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.repeats
}

func (p *Performer) countRepeat(probability float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeats += (probability - p.repeats) * repeatGain
}

// SetSlots follows the server's entry.
func (p *Performer) SetSlots(n int) {
	p.Sizer.SetSlots(n)
	p.size()
}

// size admits as many requests at once as the server does best with.
func (p *Performer) size() {
	n := p.Sizer.Limit()
	if p.limit.Swap(int64(n)) != int64(n) {
		p.Admitter.SetLimit(n)
	}
}

// Load describes the server and the queue in front of it.
func (p *Performer) Load() *linkwire.Load {
	running, _ := p.Admitter.Load()
	return &linkwire.Load{
		Running:   uint32(running),
		Waiting:   uint32(p.waiting.Load()),
		Slots:     uint32(p.limit.Load()),
		Leaving:   p.isLeaving(),
		ServiceMs: float64(p.service.Load()) / float64(time.Millisecond),
	}
}

// Run runs a request and tells what came of it.
func (p *Performer) Run(ctx context.Context, run *linkwire.Run) *linkwire.Result {
	deadline := time.Now().Add(time.Duration(run.RemainingMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	result := p.admit(ctx, run, deadline)
	result.Load = p.Load()
	overload := p.overload(run)
	result.Load.Excess, result.Load.Bottleneck, result.Load.Demand = overload.Excess, overload.Bottleneck, p.Gauger.Demand()
	return result
}

// overload tells which pool of the request's tree is asked for the most beyond what
// it can do.
func (p *Performer) overload(run *linkwire.Run) throttler.Overload {
	own := throttler.Overload{Excess: p.Gauger.Excess(), Bottleneck: run.Pool}
	if below := p.Downstream(run.Route); below.Bottleneck != "" && below.Excess > own.Excess {
		return below
	}
	return own
}

func (p *Performer) admit(ctx context.Context, run *linkwire.Run, deadline time.Time) *linkwire.Result {
	if refusal := p.check(run); refusal != nil {
		return refusal
	}
	if p.Quarantine.Any() && p.Quarantine.Holds(fingerprint(run)) {
		return refuse(Quarantined, "backend servers crashed that ran it", QuarantineWait)
	}
	p.waiting.Add(1)
	release, err := p.Admitter.Enter(ctx, admitter.Request{
		Class:        classOf(run),
		Organisation: run.Organisation,
		Weight:       run.Weight,
		Deadline:     deadline,
		Preference:   run.Preference,
		MaxWait:      time.Duration(run.PatienceMs) * time.Millisecond,
	})
	p.waiting.Add(-1)
	if err != nil {
		result := shed(err)
		if result.GetRefusal().Reason == Overloaded {
			p.Gauger.RecordRefused()
		}
		return result
	}
	p.Gauger.RecordAdmitted(run.Held)
	p.countRepeat(run.Repeat)
	begun := time.Now()
	running, _ := p.Admitter.Load()
	end := p.Tracer.Begin(run.Route)
	result := p.perform(ctx, run, deadline)
	end()
	answered := result.GetAnswer() != nil
	if answered {
		took := time.Since(begun)
		p.observe(took)
		p.Sizer.Observe(run.Route, running, took)
		p.size()
		if p.Quarantine.Any() {
			p.Quarantine.Clear(fingerprint(run))
		}
	}
	release(answered)
	return result
}

// perform sends the request, and once more if the server says that the id is
// not its own but its true one belongs to the same pool.
func (p *Performer) perform(ctx context.Context, run *linkwire.Run, deadline time.Time) *linkwire.Result {
	if refusal := p.check(run); refusal != nil {
		return refusal
	}
	result, renamed := p.send(ctx, run, deadline)
	if renamed && p.check(run) == nil {
		result, _ = p.send(ctx, run, deadline)
	}
	return result
}

// check refuses what may not go to the server now.
func (p *Performer) check(run *linkwire.Run) *linkwire.Result {
	_, pool, ok := p.Identifier.Identity()
	switch {
	case !ok:
		return refuse(Unreachable, "the backend server is not known", unreachableWait)
	case pool != run.Pool:
		return refuse(WrongPool, fmt.Sprintf("got a request for pool %s, want %s", run.Pool, pool), 0)
	case p.isLeaving():
		return refuse(Parting, "the backend server takes nothing new", 0)
	}
	return nil
}

// isLeaving tells whether the server takes nothing new: its node stops, or its
// entry says so or has gone.
func (p *Performer) isLeaving() bool {
	if p.leaving.Load() {
		return true
	}
	s, listed, before := p.Identifier.Listed()
	if !listed {
		return before
	}
	return s.State == lister.Leaving
}

// send reports as renamed that the server stated another id.
func (p *Performer) send(ctx context.Context, run *linkwire.Run, deadline time.Time) (result *linkwire.Result, renamed bool) {
	id, _, _ := p.Identifier.Identity()
	call := &exchanger.Call{
		ID:         run.RequestId,
		Method:     run.Method,
		Target:     run.Target,
		Host:       run.Host,
		Fields:     p.fields(run, id, time.Until(deadline)),
		Body:       run.Body,
		Idempotent: run.Idempotent,
	}
	switch o := p.Exchanger.Do(ctx, call).(type) {
	case exchanger.Answered:
		return p.answered(o)
	case exchanger.Unsent:
		if ctx.Err() != nil {
			return refuse(ReasonOf(ctx), o.Err.Error(), 0), false
		}
		p.Identifier.Forget()
		return refuse(Unreachable, o.Err.Error(), unreachableWait), false
	case exchanger.Lost:
		if o.Broken {
			p.Identifier.Forget()
			p.Quarantine.Broke(fingerprint(run))
			p.OnBroken()
		}
		return lost(ctx, o.Err), false
	default:
		panic(fmt.Sprintf("outcome of type %T", o))
	}
}

func (p *Performer) answered(a exchanger.Answered) (result *linkwire.Result, renamed bool) {
	if a.Status == http.StatusMisdirectedRequest && a.Fields.Get(p.Names.Receipt) == "" {
		renamed = p.Identifier.Learn(a.Fields.Get(p.Names.Server))
		return arrived(refuse(Shed, "another backend server has the address", unreachableWait)), renamed
	}
	if a.Fields.Get(p.Names.NotRun) != "" {
		wait := max(shedWait, retryAfter(a.Fields))
		return arrived(refuse(Shed, fmt.Sprintf("the backend server answered %d", a.Status), wait)), false
	}
	return &linkwire.Result{Outcome: &linkwire.Result_Answer{Answer: &linkwire.Answer{
		Status: uint32(a.Status),
		Fields: linker.WireFields(a.Fields.EndToEnd(nil)),
		Body:   a.Body,
	}}}, false
}

func (p *Performer) fields(run *linkwire.Run, id string, left time.Duration) parser.Fields {
	fields := linker.HeaderFields(run.Fields)
	add := func(name, value string) {
		if name != "" && value != "" {
			fields = append(fields, parser.Field{Name: name, Value: value})
		}
	}
	add(p.Names.Remaining, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	add(p.Names.WantedServer, id)
	add(p.Names.Organisation, run.Organisation)
	return fields
}

func (p *Performer) observe(took time.Duration) {
	old := p.service.Load()
	if old == 0 {
		p.service.Store(int64(took))
		return
	}
	p.service.Store(old + int64(serviceGain*float64(int64(took)-old)))
}

func fingerprint(run *linkwire.Run) uint64 {
	return quarantiner.Fingerprint(run.Method, run.Host, run.Target, run.Body)
}

func classOf(run *linkwire.Run) checker.Class {
	if run.Call {
		return classCall
	}
	return checker.ClassCritical - checker.Class(min(run.Rank, uint32(checker.ClassCritical)))
}

func shed(err error) *linkwire.Result {
	var s *admitter.ShedError
	if !errors.As(err, &s) {
		panic(fmt.Sprintf("admitter returned %T", err))
	}
	switch s.Cause {
	case admitter.Closed:
		return refuse(Parting, "the backend server takes nothing new", 0)
	case admitter.Cancelled:
		return refuse(Cancelled, "given up while waiting for a slot", 0)
	case admitter.Deadline:
		return refuse(Expired, "too little time is left to finish", 0)
	}
	return refuse(Overloaded, string(s.Cause), s.RetryAfter)
}

func refuse(reason, detail string, retryAfter time.Duration) *linkwire.Result {
	return &linkwire.Result{Outcome: &linkwire.Result_Refusal{Refusal: &linkwire.Refusal{
		Reason:       reason,
		NotRun:       true,
		RetryAfterMs: uint32(retryAfter.Milliseconds()),
		Detail:       detail,
	}}}
}

func arrived(r *linkwire.Result) *linkwire.Result {
	r.GetRefusal().Arrived = true
	return r
}

func lost(ctx context.Context, err error) *linkwire.Result {
	reason := Lost
	if ctx.Err() != nil {
		reason = ReasonOf(ctx)
	}
	return &linkwire.Result{Outcome: &linkwire.Result_Refusal{Refusal: &linkwire.Refusal{
		Reason:  reason,
		Arrived: true,
		Detail:  err.Error(),
	}}}
}

// ReasonOf tells whether the time of an ended context ran out or its caller left.
func ReasonOf(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Expired
	}
	return Cancelled
}

// retryAfter reads a server's advice; seconds may have a fraction.
func retryAfter(fields parser.Fields) time.Duration {
	seconds, err := strconv.ParseFloat(fields.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > 60 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
