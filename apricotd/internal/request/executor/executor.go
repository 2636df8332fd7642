// Package executor runs requests from peers on the node's own backend server.
//
// It guarantees that no request is dispatched after its deadline, after its API
// key was revoked, or once this node or its backend server is draining, and
// that a request is reported as not run only if the backend server has not
// started it. Checks whose result may change while the request waits or the
// process is paused are repeated immediately before the dispatch.
//
// # Usage
//
//	response := e.Execute(ctx, message)
package executor

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/dispatcher"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/claimer"
	"apricotrudder.dev/apricotd/internal/process/spreader"
	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/apricotd/internal/request/router"
	"apricotrudder.dev/apricotd/internal/request/translator"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/wire/peerwire"
)

const maxOverloadedRetryAfter = 5 * time.Second

// An Executor runs requests. Its fields must be set before use.
type Executor struct {
	VM         string
	Pool       string
	View       func() *router.View
	Freshness  func() spreader.Freshness
	Admitter   *admitter.Admitter
	Tracker    *tracker.Tracker
	Dispatcher *dispatcher.Dispatcher
	Claimer    *claimer.Claimer
	// IsDraining reports whether this node or its backend server is draining.
	IsDraining func() bool
	// BackendDown reports whether the backend server does not respond at all.
	BackendDown func() bool
}

// Execute runs a request and returns the response for the sender.
func (e *Executor) Execute(ctx context.Context, m *peerwire.ForwardRequest) *peerwire.ForwardResponse {
	call := callFromRequest(m)
	tokens := m.Context.RetryTokens
	o := e.check(m)
	if o == nil {
		o, tokens = e.claimAndRun(ctx, m, call)
	}
	inFlight, limit := e.Admitter.Load()
	return translator.Response(o, tokens, &peerwire.Load{
		InFlight: uint32(inFlight),
		Limit:    uint32(limit),
		Leaving:  e.IsDraining(),
	})
}

func callFromRequest(m *peerwire.ForwardRequest) tracker.Call {
	c := m.Context
	return tracker.Call{
		RequestID:      c.RequestId,
		Organisation:   c.Organisation,
		Class:          checker.Class(min(c.Class, uint32(checker.ClassCritical))),
		Deadline:       time.Now().Add(c.Remaining.AsDuration()),
		IdempotencyKey: c.IdempotencyKey,
		Depth:          c.Depth,
		KeyDigest:      c.KeyDigest,
	}
}

// check refuses requests that this node must not run at all.
func (e *Executor) check(m *peerwire.ForwardRequest) reporter.Outcome {
	switch {
	case m.Vm != e.VM || m.Pool != e.Pool:
		return reporter.Refused{Reason: reporter.WrongNode, Detail: fmt.Sprintf("got a request for %s of pool %s, want %s of pool %s", m.Vm, m.Pool, e.VM, e.Pool)}
	case e.IsDraining():
		return reporter.Refused{Reason: reporter.Leaving, Detail: "the backend server is leaving"}
	case e.View() == nil:
		return reporter.Refused{Reason: reporter.NotReady, Detail: "no tables in force yet", RetryAfter: time.Second}
	case e.BackendDown():
		return reporter.Refused{Reason: reporter.NoBackend, Detail: "the backend server does not answer", RetryAfter: time.Second}
	}
	return nil
}

func (e *Executor) admitAndRun(ctx context.Context, m *peerwire.ForwardRequest, call tracker.Call) (reporter.Outcome, uint32) {
	tokens := m.Context.RetryTokens
	weight := 0.0
	if o := e.View().Config.Organisations[call.Organisation]; o != nil {
		weight = o.Rate
	}
	release, err := e.Admitter.Enter(ctx, admitter.Request{
		Class:        call.Class,
		Organisation: call.Organisation,
		Weight:       weight,
		Deadline:     call.Deadline,
	})
	if err != nil {
		return shedOutcome(err), tokens
	}
	if o := e.checkBeforeDispatch(call, m.Route); o != nil {
		release(false)
		return o, tokens
	}
	running := e.Tracker.Begin(ctx, call, tokens)
	o := e.dispatch(running, m)
	tokens = e.Tracker.End(running)
	_, ok := o.(reporter.Answered)
	release(ok)
	return o, tokens
}

// checkBeforeDispatch repeats the checks whose result may have changed while
// the request waited or the process was paused.
func (e *Executor) checkBeforeDispatch(call tracker.Call, routeName string) reporter.Outcome {
	if e.IsDraining() {
		return reporter.Refused{Reason: reporter.Leaving, Detail: "the backend server is leaving"}
	}
	if !time.Now().Before(call.Deadline) {
		return reporter.Refused{Reason: reporter.DeadlineExceeded, Detail: "no time was left to begin"}
	}
	if len(call.KeyDigest) == 0 {
		return nil
	}
	cfg := e.View().Config
	if !cfg.IsGranted(call.KeyDigest, call.Organisation) {
		return reporter.Refused{Reason: reporter.KeyUnknown, Detail: "the key has been withdrawn"}
	}
	// The stricter rule applies to a route that is not in this node's tables yet.
	route := cfg.Routes[routeName]
	if (route == nil || route.WhenStale == checker.StaleRefuse) && !e.Freshness().MayAcceptKeys() {
		return reporter.Refused{Reason: reporter.KeysNotCurrent, Detail: "the executing node cannot show that no key was withdrawn", RetryAfter: time.Second}
	}
	return nil
}

func (e *Executor) dispatch(p *tracker.RunningRequest, m *peerwire.ForwardRequest) reporter.Outcome {
	pool := e.View().Config.Pools[e.Pool]
	if pool == nil {
		return reporter.Refused{Reason: reporter.WrongNode, Detail: fmt.Sprintf("pool %s is not in the pools table in force here", e.Pool)}
	}
	header := translator.HTTPHeader(m.Headers)
	header.Set(tracker.Header, p.Token)
	return e.Dispatcher.Dispatch(p.Context, dispatcher.Request{
		Method:         m.Method,
		Path:           m.Path,
		Query:          m.Query,
		Header:         header,
		Body:           m.Body,
		IdempotencyKey: m.Context.IdempotencyKey,
		Remaining:      time.Until(p.Deadline),
		BodyLimit:      int64(pool.BodyLimit),
	})
}

func shedOutcome(err error) reporter.Outcome {
	var s *admitter.ShedError
	if !errors.As(err, &s) {
		panic(fmt.Sprintf("unexpected error type %T from admitter", err))
	}
	switch s.Cause {
	case admitter.DeadlineExceeded:
		return reporter.Refused{Reason: reporter.DeadlineExceeded, Detail: "too little time is left to finish"}
	case admitter.Closed:
		return reporter.Refused{Reason: reporter.Leaving, Detail: "the backend server is leaving"}
	case admitter.Cancelled:
		return reporter.Refused{Reason: reporter.Cancelled, Detail: "the caller has gone"}
	}
	return reporter.Refused{Reason: reporter.Overloaded, Detail: string(s.Cause), RetryAfter: min(s.RetryAfter, maxOverloadedRetryAfter)}
}
