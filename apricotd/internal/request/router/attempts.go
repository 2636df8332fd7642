package router

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/internal/connection/forwarder"
	"apricotrudder.dev/apricotd/internal/process/balancer"
	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/apricotd/internal/request/translator"
	"apricotrudder.dev/wire/peerwire"
)

// run makes attempts until one ends the request. Every attempt after the first
// costs a retry token of the call tree and one of the pool's retry budget.
func (r *Router) run(ctx context.Context, rq *request, balance *tracker.Balance) reporter.Outcome {
	ctx, cancel := context.WithDeadline(ctx, rq.call.Deadline)
	defer cancel()
	tried := make(map[string]bool)
	var last reporter.Outcome
	for {
		choice, ok := r.Balancer.Choose(rq.pool, rq.call.Class, tried)
		if !ok {
			if last != nil {
				return last
			}
			return reporter.Refused{
				Reason:     reporter.NoBackend,
				Detail:     fmt.Sprintf("no backend server of pool %s can be used", rq.pool.Name),
				RetryAfter: time.Second,
			}
		}
		tried[choice.VM.ID] = true
		last = r.attempt(ctx, rq, choice, balance)
		if !isRetryable(rq, last) || ctx.Err() != nil {
			return last
		}
		if !r.Budget.Spend(rq.pool.Name, rq.call.Class) {
			return last
		}
		if !balance.Spend() {
			return last
		}
		r.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_retries_total{pool=%q}`, rq.pool.Name)).Inc()
	}
}

// attempt sends the request to one VM. All retry tokens go with it, because a
// retry close to the failure repeats the least work; what is left comes back.
func (r *Router) attempt(ctx context.Context, rq *request, c *balancer.Choice, balance *tracker.Balance) reporter.Outcome {
	given := balance.Withdraw()
	response, err := r.Sender.Forward(ctx, c.VM.ID, rq.message(c.VM.ID, given))
	if err != nil {
		c.Done(balancer.Feedback{Result: r.failure(ctx)})
		return lostPeer(ctx, err, balance, given)
	}
	balance.Deposit(response.RetryTokens, given)
	o := translator.Outcome(response)
	c.Done(feedback(o, response.Load))
	if _, ok := o.(reporter.Answered); ok {
		r.Budget.Earn(rq.pool.Name, rq.call.Class)
	}
	return o
}

// failure keeps a caller that has gone from making a peer suspect.
func (r *Router) failure(ctx context.Context) balancer.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Served
	}
	return balancer.Failed
}

func (rq *request) message(vm string, tokens uint32) *peerwire.ForwardRequest {
	return &peerwire.ForwardRequest{
		Context: &peerwire.CallContext{
			RequestId:      rq.call.RequestID,
			Organisation:   rq.call.Organisation,
			Class:          uint32(rq.call.Class),
			Remaining:      durationpb.New(time.Until(rq.call.Deadline)),
			RetryTokens:    tokens,
			IdempotencyKey: rq.call.IdempotencyKey,
			Depth:          rq.call.Depth,
			KeyDigest:      rq.call.KeyDigest,
		},
		Route:   rq.route.Name,
		Pool:    rq.pool.Name,
		Method:  rq.method,
		Path:    rq.path,
		Query:   rq.query,
		Headers: rq.header,
		Body:    rq.body,
		Vm:      vm,
	}
}

// lostPeer tells what is known after an exchange with a peer broke off. Tokens
// on a lost hop are lost, unless the peer certainly never got them.
func lostPeer(ctx context.Context, err error, balance *tracker.Balance, given uint32) reporter.Outcome {
	var unreached *forwarder.NotSentError
	if errors.As(err, &unreached) {
		balance.Deposit(given, given)
		return reporter.Refused{Reason: reasonOf(ctx, reporter.NoBackend), Detail: err.Error()}
	}
	return reporter.Unknown{Reason: reasonOf(ctx, reporter.PeerLost), Detail: err.Error()}
}

func reasonOf(ctx context.Context, otherwise reporter.Reason) reporter.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reporter.DeadlineExceeded
	case ctx.Err() != nil:
		return reporter.Cancelled
	}
	return otherwise
}

// isRetryable tells whether another attempt is allowed and can help.
func isRetryable(rq *request, o reporter.Outcome) bool {
	switch o := o.(type) {
	case reporter.Refused:
		switch o.Reason {
		case reporter.Overloaded, reporter.Leaving, reporter.NoBackend, reporter.NotReady, reporter.WrongNode:
			return true
		}
		return false
	case reporter.Unknown:
		if !rq.route.Idempotent {
			// Another attempt at a lost peer's request joins it by its claim.
			return o.Reason == reporter.PeerLost
		}
		return o.Reason == reporter.PeerLost || o.Reason == reporter.BackendFailed || o.Reason == reporter.AnswerTruncated
	}
	return false
}

func feedback(o reporter.Outcome, load *peerwire.Load) balancer.Feedback {
	f := balancer.Feedback{InFlight: int(load.GetInFlight()), Limit: int(load.GetLimit())}
	if load.GetLeaving() {
		f.Result = balancer.Parting
		return f
	}
	refused, ok := o.(reporter.Refused)
	if !ok {
		return f
	}
	switch refused.Reason {
	case reporter.Overloaded:
		f.Result = balancer.Full
	case reporter.NoBackend, reporter.NotReady, reporter.WrongNode:
		f.Result = balancer.Failed
	}
	return f
}

// mergeContexts returns a context that ends with either of the two.
func mergeContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
