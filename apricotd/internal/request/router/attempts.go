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

// runAttempts sends the request to one VM after another until an outcome is
// final. Each retry takes one retry token of the call tree and one retry of the
// pool's budget.
func (r *Router) runAttempts(ctx context.Context, rq *request, retryTokens *tracker.RetryTokens) reporter.Outcome {
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
		last = r.attempt(ctx, rq, choice, retryTokens)
		if !isRetryable(rq, last) || ctx.Err() != nil {
			return last
		}
		if !r.Budget.Spend(rq.pool.Name, rq.call.Class) {
			return last
		}
		if !retryTokens.TryTake() {
			return last
		}
		r.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_retries_total{pool=%q}`, rq.pool.Name)).Inc()
	}
}

// attempt sends the request to one VM. It passes on all retry tokens, because a
// retry as close as possible to the failure repeats the least work. Unused
// tokens are returned with the response.
func (r *Router) attempt(ctx context.Context, rq *request, c *balancer.Choice, retryTokens *tracker.RetryTokens) reporter.Outcome {
	sentTokens := retryTokens.TakeAll()
	response, err := r.Sender.Forward(ctx, c.VM.ID, rq.forwardRequest(c.VM.ID, sentTokens))
	if err != nil {
		c.Done(balancer.Feedback{Result: r.failureResult(ctx)})
		return forwardErrorOutcome(ctx, err, retryTokens, sentTokens)
	}
	retryTokens.Refund(response.RetryTokens, sentTokens)
	o := translator.Outcome(response)
	c.Done(feedback(o, response.Load))
	if _, ok := o.(reporter.Answered); ok {
		r.Budget.Earn(rq.pool.Name, rq.call.Class)
	}
	return o
}

// failureResult returns the result of a failed exchange for the balancer. An
// exchange cancelled by the caller does not count as a failure of the peer.
func (r *Router) failureResult(ctx context.Context) balancer.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Served
	}
	return balancer.Failed
}

func (rq *request) forwardRequest(vm string, tokens uint32) *peerwire.ForwardRequest {
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

// forwardErrorOutcome returns the outcome of a failed exchange with a peer. It
// restores the retry tokens only if the request was not sent; otherwise the
// peer may have spent them.
func forwardErrorOutcome(ctx context.Context, err error, retryTokens *tracker.RetryTokens, sentTokens uint32) reporter.Outcome {
	var notSent *forwarder.NotSentError
	if errors.As(err, &notSent) {
		retryTokens.Refund(sentTokens, sentTokens)
		return reporter.Refused{Reason: contextReason(ctx, reporter.NoBackend), Detail: err.Error()}
	}
	return reporter.Unknown{Reason: contextReason(ctx, reporter.PeerLost), Detail: err.Error()}
}

func contextReason(ctx context.Context, fallback reporter.Reason) reporter.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reporter.DeadlineExceeded
	case ctx.Err() != nil:
		return reporter.Cancelled
	}
	return fallback
}

// isRetryable reports whether another attempt is allowed and may succeed.
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
			// The claim makes another attempt wait for the result of the
			// first one instead of running the request again.
			return o.Reason == reporter.PeerLost
		}
		return o.Reason == reporter.PeerLost || o.Reason == reporter.BackendFailed || o.Reason == reporter.AnswerTruncated
	}
	return false
}

func feedback(o reporter.Outcome, load *peerwire.Load) balancer.Feedback {
	f := balancer.Feedback{InFlight: int(load.GetInFlight()), Limit: int(load.GetLimit())}
	if load.GetLeaving() {
		f.Result = balancer.Draining
		return f
	}
	refused, ok := o.(reporter.Refused)
	if !ok {
		return f
	}
	switch refused.Reason {
	case reporter.Overloaded:
		f.Result = balancer.Overloaded
	case reporter.NoBackend, reporter.NotReady, reporter.WrongNode:
		f.Result = balancer.Failed
	}
	return f
}

// mergeContexts returns a context derived from a that is also cancelled when b
// ends.
func mergeContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
