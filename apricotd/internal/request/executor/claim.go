package executor

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"apricotrudder.dev/apricotd/internal/process/claimer"
	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/apricotd/internal/request/translator"
	"apricotrudder.dev/wire/peerwire"
)

// claimAndRun runs a request. For a non-idempotent one it first obtains a
// claim, the exclusive right to run it. Claiming precedes admission, so that an
// attempt that waits for the result of another one holds no slot.
func (e *Executor) claimAndRun(ctx context.Context, m *peerwire.ForwardRequest, call tracker.Call) (reporter.Outcome, uint32) {
	if call.IdempotencyKey == "" {
		return e.admitAndRun(ctx, m, call)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	claim, verdict := e.Claimer.Claim(ctx, call.IdempotencyKey, fingerprint(m), call.Deadline)
	switch v := verdict.(type) {
	case claimer.Granted:
		o, tokens := e.admitAndRun(ctx, m, call)
		settle(claim, o)
		return o, tokens
	case claimer.Recorded:
		return reporter.Answered{
			Status: int(v.Answer.Status),
			Header: translator.HTTPHeader(v.Answer.Headers),
			Body:   v.Answer.Body,
		}, m.Context.RetryTokens
	case claimer.Denied:
		return deniedOutcome(v), m.Context.RetryTokens
	default:
		panic(fmt.Sprintf("unexpected verdict type %T", verdict))
	}
}

// fingerprint returns a digest of the request, to detect that an idempotency
// key is reused for a different request.
func fingerprint(m *peerwire.ForwardRequest) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", m.Method, m.Path, m.Query)
	h.Write(m.Body)
	return h.Sum(nil)
}

func settle(c *claimer.Claim, o reporter.Outcome) {
	switch o := o.(type) {
	case reporter.Answered:
		c.Settle(&peerwire.Answer{
			Status:  uint32(o.Status),
			Headers: translator.Headers(o.Header, ""),
			Body:    o.Body,
		}, false)
	case reporter.Refused:
		c.Settle(nil, true)
	case reporter.Unknown:
		c.Settle(nil, false)
	}
}

// deniedOutcome returns the outcome of an attempt without a claim. It is
// Unknown if an earlier attempt is running or may have run the request.
func deniedOutcome(d claimer.Denied) reporter.Outcome {
	switch d.State {
	case peerwire.ClaimState_CLAIM_STATE_REUSED:
		return reporter.Refused{Reason: reporter.IdempotencyKeyReused, Detail: "the Idempotency-Key was used for a different request"}
	case peerwire.ClaimState_CLAIM_STATE_RUNNING, peerwire.ClaimState_CLAIM_STATE_UNKNOWN:
		return reporter.Unknown{Reason: reporter.ResultUnknown, Detail: "an earlier request with this Idempotency-Key may have run"}
	}
	return reporter.Refused{Reason: reporter.ClaimUnavailable, Detail: "too few nodes could be reached to make sure that the request runs once", RetryAfter: time.Second}
}
