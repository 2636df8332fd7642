package director

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/process/chooser"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/request/performer"
	"apricotrudder.dev/wire/linkwire"
)

// run asks servers until one ends the request.
func (d *Director) run(ctx context.Context, rq *request) outcome {
	tried := make(map[string]bool)
	var last outcome = refused{reason: reasonNoServer, detail: rq.pool, retryAfter: noServerWait}
	for rq.tries < maxTries {
		if !time.Now().Before(rq.deadline) {
			return last
		}
		choice, ok := d.Chooser.Choose(d.List().Pool(rq.pool), tried, rq.isCall)
		if !ok {
			return last
		}
		if !d.mayAttempt(rq, choice) {
			choice.Done(chooser.Report{Result: chooser.Ended})
			return last
		}
		tried[choice.Server.ID] = true
		last = d.attempt(ctx, rq, choice)
		if ctx.Err() != nil || !mayRepeat(rq, last) {
			return last
		}
	}
	return last
}

// mayRepeat tells whether another server may be asked after an outcome.
func mayRepeat(rq *request, o outcome) bool {
	switch o := o.(type) {
	case refused:
		return o.mayHelp
	case unknown:
		return rq.route.Idempotent && o.reason != performer.Expired
	default:
		return false
	}
}

// mayAttempt tells whether the request may be sent to a server. Until it has
// reached one, it costs nothing but time; from then on it needs the route's
// attempts and the fleet's budget, and is not spent on a server that would
// probably turn a call away: its request needs several calls to end well.
func (d *Director) mayAttempt(rq *request, c *chooser.Choice) bool {
	if rq.arrivals == 0 {
		return true
	}
	if rq.arrivals >= rq.route.MaxAttempts || rq.isCall && c.Failing() > doubtfulFrom {
		return false
	}
	return d.Budget.Spend(rq.pool, rq.isCall)
}

func (d *Director) attempt(ctx context.Context, rq *request, c *chooser.Choice) outcome {
	rq.tries++
	rq.server = c.Server.ID
	ctx, cancel := context.WithDeadline(ctx, rq.deadline.Add(verdictGrace))
	defer cancel()
	var result *linkwire.Result
	var err error
	if address := c.Server.Address.Addr(); address == d.Self {
		result = d.Local.Run(ctx, d.message(rq))
	} else {
		result, err = d.Linker.Exchange(ctx, address, d.message(rq))
	}
	if err != nil {
		return d.peerFailed(ctx, rq, c, err)
	}
	o, report := d.read(rq, result)
	c.Done(report)
	if load := result.GetLoad(); load != nil {
		d.Throttler.Observe(rq.route.Name, c.Server.ID, throttler.Overload{Excess: load.Excess, Bottleneck: load.Bottleneck, Demand: load.Demand})
	}
	return o
}

func (d *Director) message(rq *request) *linkwire.Run {
	left := time.Until(rq.deadline)
	run := &linkwire.Run{
		Pool:        rq.pool,
		RequestId:   rq.id,
		Method:      rq.Method,
		Target:      rq.Target,
		Host:        rq.Host,
		Fields:      rq.fields,
		Body:        rq.Body,
		RemainingMs: uint32(max(1, left.Milliseconds())),
		Rank:        uint32(max(0, rq.rank)),
		Idempotent:  rq.route.Idempotent,
		Call:        rq.isCall,
		PatienceMs:  uint32(rq.patience(left).Milliseconds()),
		Route:       rq.route.Name,
		Preference:  uint32(max(0, rq.preference)),
		Held:        rq.held,
		Repeat:      rq.repeat,
	}
	if rq.arrivals > 0 {
		run.Repeat = 1
	}
	if o := rq.organisation; o != nil {
		run.Organisation, run.Weight = o.Name, o.Rate
	}
	return run
}

func (rq *request) patience(left time.Duration) time.Duration {
	if rq.isCall {
		return max(minPatience, left/callPatienceShare)
	}
	return max(minPatience, rq.route.Target/patienceShare)
}

// peerFailed tells what is known after the exchange with a node broke off.
func (d *Director) peerFailed(ctx context.Context, rq *request, c *chooser.Choice, err error) outcome {
	var unsent *linker.UnsentError
	switch {
	case errors.As(err, &unsent) && ctx.Err() == nil:
		c.Done(chooser.Report{Result: chooser.Unreached})
		return refused{reason: performer.Unreachable, detail: err.Error(), retryAfter: noServerWait, mayHelp: true}
	case errors.As(err, &unsent):
		c.Done(chooser.Report{Result: chooser.Ended})
		return refused{reason: performer.ContextReason(ctx), detail: err.Error()}
	case ctx.Err() != nil:
		c.Done(chooser.Report{Result: chooser.Ended})
		rq.arrivals++
		return unknown{reason: performer.ContextReason(ctx), detail: err.Error()}
	}
	c.Done(chooser.Report{Result: chooser.Failed})
	rq.arrivals++
	return unknown{reason: performer.Lost, detail: err.Error()}
}

// read turns a node's result into an outcome, and into what the chooser is to
// remember.
func (d *Director) read(rq *request, result *linkwire.Result) (outcome, chooser.Report) {
	load := result.GetLoad()
	report := chooser.Report{Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots())}
	if answer := result.GetAnswer(); answer != nil {
		rq.arrivals++
		report.Result = chooser.Served
		return answered{answer}, report
	}
	r := result.GetRefusal()
	if r.GetArrived() {
		rq.arrivals++
	}
	report.Result = resultOf(r)
	if !r.GetNotRun() {
		return unknown{reason: r.GetReason(), detail: r.GetDetail()}, report
	}
	return refused{
		reason:     r.GetReason(),
		detail:     fmt.Sprintf("%s by %s", r.GetDetail(), rq.pool),
		retryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		mayHelp:    mayHelp(r.GetReason()),
	}, report
}

// mayHelp tells whether another server may accept what one refused.
func mayHelp(reason string) bool {
	switch reason {
	case performer.Cancelled, performer.Expired, performer.Quarantined:
		return false
	}
	return true
}

func resultOf(r *linkwire.Refusal) chooser.Result {
	switch r.GetReason() {
	case performer.Overloaded:
		return chooser.Full
	case performer.Shed:
		return chooser.Shed
	case performer.Lost:
		return chooser.Failed
	case performer.Unreachable, performer.WrongPool:
		return chooser.Unreached
	case performer.Leaving:
		return chooser.Leaving
	}
	return chooser.Ended
}
