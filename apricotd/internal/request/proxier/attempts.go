package proxier

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/process/picker"
	"apricotrudder.dev/apricotd/internal/process/retrylimiter"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/request/invoker"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

// run tries servers until one of them answers or no further attempt is allowed.
func (p *Proxier) run(ctx context.Context, rq *request) outcome {
	tried := make(map[string]bool)
	var last outcome = refused{reason: invoker.Expired, detail: "the deadline passed before a server was asked"}
	for rq.tries < maxTries {
		if !time.Now().Before(rq.deadline) {
			return last
		}
		servers := p.List().Pool(rq.pool)
		wanted := p.wanted(rq, servers)
		choice, ok := p.Picker.Choose(servers, tried, wanted)
		if !ok && rq.tries == 0 {
			return p.countHomeRefusal(p.noServer(rq, servers, wanted))
		}
		if !ok {
			return last
		}
		retry, ok := p.mayAttempt(rq, choice)
		if !ok {
			choice.Done(picker.Report{Result: picker.Abandoned})
			return last
		}
		tried[choice.Server.ID] = true
		arrivals := rq.arrivals
		last = p.attempt(ctx, rq, choice)
		if arrivals > 0 && rq.arrivals == arrivals {
			p.Budget.Return(retry)
		}
		if ctx.Err() != nil || !mayRetry(rq, last) {
			return last
		}
	}
	return last
}

// mayRetry reports whether the request may be sent to another server after an
// outcome.
func mayRetry(rq *request, o outcome) bool {
	switch o := o.(type) {
	case refused:
		return o.retryable
	case unknown:
		return rq.route.Idempotent && o.reason != invoker.Expired && o.reason != linker.ReasonNoMemory
	default:
		return false
	}
}

// mayAttempt reports whether the request may be sent to a server, and returns the
// retry that is charged for it, if any. Attempts are not limited here until one has
// reached a backend server. Each further one must be within the route's limit on
// attempts and is charged to the fleet's retry budget. A call is not retried on a
// server that would probably reject it: the request that makes the call needs several
// calls to succeed.
func (p *Proxier) mayAttempt(rq *request, c *picker.Choice) (retrylimiter.Retry, bool) {
	if rq.arrivals == 0 {
		return retrylimiter.Retry{}, true
	}
	if rq.arrivals >= rq.route.MaxAttempts || rq.isCall && c.FailureRate() > maxFailureFraction {
		return retrylimiter.Retry{}, false
	}
	return p.Budget.TryRetry(rq.pool, rq.isCall)
}

func (p *Proxier) attempt(ctx context.Context, rq *request, c *picker.Choice) outcome {
	rq.tries++
	rq.lastServer = c.Server.ID
	rq.prediction, rq.serviceTime = c.Prediction, 0
	ctx, cancel := context.WithDeadline(ctx, rq.deadline.Add(resultGrace))
	defer cancel()
	var result *linkwire.Result
	var err error
	address := c.Server.Address.Addr()
	run := p.runMessage(rq)
	run.Notice = p.Notices.Notice(address)
	if c.Prediction.Candidates > 0 {
		run.ExpectedMs = converter.Milliseconds(rq.cost.Mean)
	}
	if address == p.Self {
		result = p.Local.Run(ctx, run)
	} else {
		result, err = p.Linker.Exchange(ctx, address, run)
	}
	if err != nil {
		return p.exchangeFailed(ctx, rq, c, err)
	}
	if result.GetRefusal().GetReason() == invoker.OutsideHome {
		rq.refusedRegions = append(rq.refusedRegions, c.Server.Region)
	}
	o, report := p.parseResult(rq, result)
	c.Done(report)
	p.learnCost(rq, report)
	if load := result.GetLoad(); load != nil {
		p.Notices.Record(address, load.Notice)
		p.Throttler.Observe(rq.route.Name, c.Server.ID, p.reportedOverload(rq.pool, load))
		rq.lost = load.Rejected || isRejected(result)
		if !rq.isCall {
			p.Postponer.Observe(rq.route.Name, c.Server.ID, load.Lost)
		}
	}
	return o
}

// reportedOverload returns the overload that a node has reported. The excess of a
// server that limits its rate causes no throttling while others of the pool have
// no limit, because those may never have been asked.
func (p *Proxier) reportedOverload(pool string, load *linkwire.Load) throttler.Overload {
	o := throttler.Overload{Excess: load.Excess, Bottleneck: load.Bottleneck, Demand: load.Demand, RequestsPerRun: float64(load.RequestsPerRun), Cold: p.coldLeft(load.Bottleneck) > 0}
	if load.GetNotice().GetLimited() && load.Bottleneck == pool && p.hasUnlimitedServer(pool) {
		o.Excess = min(0, o.Excess)
	}
	return o
}

// isRejected reports whether a server has rejected the request in spite of free
// slots.
func isRejected(result *linkwire.Result) bool {
	load := result.GetLoad()
	return result.GetRefusal().GetReason() == invoker.Shed && load.Running+load.Waiting < load.Slots
}

// coldLeft returns after what time the first servers of a pool become warm, if most of
// those that are ready are cold and the pool has a cold rate, or else 0.
func (p *Proxier) coldLeft(pool string) time.Duration {
	if !p.Notices.MayBeCold() {
		return 0
	}
	if tables := p.Resolver(); tables == nil || tables.Tables.Pools[pool] == nil || tables.Tables.Pools[pool].ColdRate == 0 {
		return 0
	}
	list := p.List()
	ready, cold, least := 0, 0, time.Duration(0)
	for _, s := range list.Pool(pool) {
		// The entry of a server that has started again under another id may still be there.
		if at, _ := list.ServerAt(s.Address); s.State != lister.Ready || at != s {
			continue
		}
		ready++
		if left := p.Notices.ColdLeft(s); left > 0 {
			cold++
			if least == 0 || left < least {
				least = left
			}
		}
	}
	if 2*cold <= ready {
		return 0
	}
	return least
}

func (p *Proxier) hasUnlimitedServer(pool string) bool {
	list := p.List()
	for _, s := range list.Pool(pool) {
		if list.IsEvacuated(s.DataCentre) {
			continue
		}
		m := p.Notices.Notice(s.Address.Addr())
		if s.State == lister.Ready && (m == nil || m.Server != s.ID || !m.Limited && !m.Leaving) {
			return true
		}
	}
	return false
}

func (p *Proxier) runMessage(rq *request) *linkwire.Run {
	left := time.Until(rq.deadline)
	run := &linkwire.Run{
		Pool:        rq.pool,
		RequestId:   []byte(rq.id),
		Method:      rq.Method,
		Target:      []byte(rq.Target),
		Host:        []byte(rq.Host),
		Fields:      rq.fields,
		Body:        rq.Body,
		RemainingMs: converter.Uint32(max(1, left.Milliseconds())),
		Rank:        converter.Uint32(rq.rank),
		Idempotent:  rq.route.Idempotent,
		Call:        rq.isCall,
		TreeRanked:  rq.hasTreeRank,
		PatienceMs:  converter.Uint32(rq.maxQueueWait(left).Milliseconds()),
		Route:       rq.route.Name,
		Preference:  converter.Uint32(rq.preference),
		Held:        rq.tree.Refused,
		Repeat:      rq.repeatProbability,
	}
	if rq.isTreeKnown {
		excess := float32(rq.tree.Excess)
		run.TreeExcess, run.TreeBottleneck = &excess, rq.tree.Bottleneck
	}
	if rq.arrivals > 0 {
		run.Repeat = 1
	}
	if o := rq.organisation; o != nil {
		run.Organisation, run.Weight = o.Name, o.Rate
	}
	return run
}

// maxQueueWait returns how long the request may wait in the queue of a server.
func (rq *request) maxQueueWait(left time.Duration) time.Duration {
	if rq.isCall {
		return max(minQueueWait, left/callQueueWaitDivisor)
	}
	return max(minQueueWait, rq.route.TargetLatency/queueWaitDivisor)
}

// exchangeFailed returns the outcome of an exchange with a node that failed:
// refused if the request was certainly not sent, else unknown.
func (p *Proxier) exchangeFailed(ctx context.Context, rq *request, c *picker.Choice, err error) outcome {
	err = fmt.Errorf("node %v: %w", c.Server.Address.Addr(), err)
	var unsent *linker.UnsentError
	switch {
	case errors.As(err, &unsent) && ctx.Err() == nil:
		c.Done(picker.Report{Result: picker.Unreachable})
		return refused{reason: invoker.Unreachable, detail: err.Error(), retryAfter: noServerRetryAfter, retryable: true}
	case errors.As(err, &unsent):
		c.Done(picker.Report{Result: picker.Abandoned})
		return refused{reason: invoker.ContextReason(ctx), detail: err.Error()}
	case ctx.Err() != nil:
		c.Done(picker.Report{Result: picker.Abandoned})
		rq.arrivals++
		return unknown{reason: invoker.ContextReason(ctx), detail: err.Error()}
	case errors.Is(err, linker.ErrNoMemory):
		c.Done(picker.Report{Result: picker.Abandoned})
		rq.arrivals++
		return unknown{reason: linker.ReasonNoMemory, detail: err.Error()}
	}
	c.Done(picker.Report{Result: picker.Failed})
	rq.arrivals++
	return unknown{reason: invoker.Lost, detail: err.Error()}
}

// parseResult converts a node's result into an outcome and into the report for
// the picker.
func (p *Proxier) parseResult(rq *request, result *linkwire.Result) (outcome, picker.Report) {
	load := result.GetLoad()
	report := picker.Report{
		Running:         int(load.GetRunning()),
		Waiting:         int(load.GetWaiting()),
		Slots:           int(load.GetSlots()),
		RateUtilisation: load.GetRateUtilisation(),
		Backlog:         converter.Seconds(load.GetBacklogMs() / 1000),
		Ratio:           float64(load.GetServiceRatio()),
		Slowdown:        load.GetSlowdown(),
		ServiceTime:     converter.Seconds(float64(result.GetServiceMs()) / 1000),
	}
	if answer := result.GetAnswer(); answer != nil {
		rq.arrivals++
		report.Result = picker.Served
		return answered{answer}, report
	}
	r := result.GetRefusal()
	if r.GetArrived() {
		rq.arrivals++
	}
	report.Result = pickerResult(r)
	report.RoomAfter = time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	if load.GetNotice().GetLimited() {
		report.RetryAfter = time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	}
	if !r.GetNotRun() {
		return unknown{reason: r.GetReason(), detail: r.GetDetail()}, report
	}
	return refused{
		reason:     r.GetReason(),
		detail:     fmt.Sprintf("%s (pool %s)", r.GetDetail(), rq.pool),
		retryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		retryable:  isRetryable(r.GetReason()),
	}, report
}

// isRetryable reports whether another server may accept a request that one
// refused for this reason.
func isRetryable(reason string) bool {
	switch reason {
	case invoker.Cancelled, invoker.Expired, invoker.Quarantined:
		return false
	}
	return true
}

func pickerResult(r *linkwire.Refusal) picker.Result {
	switch r.GetReason() {
	case invoker.Overloaded, linker.ReasonNoMemory:
		return picker.Full
	case invoker.Shed:
		return picker.Shed
	case invoker.Lost, invoker.Unclear, linker.ReasonInternal:
		return picker.Failed
	case invoker.Unreachable, invoker.WrongPool, invoker.Unidentified:
		return picker.Unreachable
	case invoker.Leaving:
		return picker.Leaving
	case invoker.Evacuated:
		return picker.Evacuated
	}
	return picker.Abandoned
}
