package router

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/process/limiter"
	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/apricotd/internal/request/translator"
	"apricotrudder.dev/apricotd/version/checker"
)

const (
	headerIdempotencyKey   = "Idempotency-Key"
	headerPrefer           = "Prefer"
	bearerPrefix           = "Bearer "
	maxIdempotencyKeyBytes = 255
)

// Callers returns the handler for callers' requests.
func (r *Router) Callers() http.Handler {
	return http.HandlerFunc(r.serveCaller)
}

func (r *Router) serveCaller(w http.ResponseWriter, hr *http.Request) {
	start := time.Now()
	rq := &request{call: tracker.Call{RequestID: rand.Text()}}
	tokens, o := r.admitCaller(hr, rq)
	if o == nil {
		retryTokens := tracker.NewRetryTokens(tokens)
		o = r.runAttempts(hr.Context(), rq, retryTokens)
	}
	r.report(w, rq.call, rq.route, start, o)
}

// admitCaller validates the request before any work is done for it, cheap
// checks first. It returns the initial retry tokens.
func (r *Router) admitCaller(hr *http.Request, rq *request) (uint32, reporter.Outcome) {
	rq.view = r.View()
	if rq.view == nil {
		return 0, reporter.Refused{Reason: reporter.NotReady, Detail: "no tables in force yet", RetryAfter: time.Second}
	}
	if r.IsDraining() {
		return 0, reporter.Refused{Reason: reporter.Leaving, Detail: "this node is stopping; use another"}
	}
	route, pool, o := r.match(hr, rq.view)
	if o != nil {
		return 0, o
	}
	rq.route, rq.pool = route, pool
	key, o := r.authenticate(hr, rq)
	if o != nil {
		return 0, o
	}
	if o := setIdempotencyKey(hr, rq); o != nil {
		return 0, o
	}
	rq.call.Class = route.Class
	rq.call.Deadline = time.Now().Add(requestTimeout(hr, route))
	if o := rq.readBody(hr); o != nil {
		return 0, o
	}
	rq.copyFrom(hr, key)
	if o := r.checkRateLimit(hr, rq); o != nil {
		return 0, o
	}
	return route.Retries, nil
}

// authenticate sets the organisation to which the request's API key belongs. It
// returns the key itself only so that it can be removed before forwarding.
func (r *Router) authenticate(hr *http.Request, rq *request) (string, reporter.Outcome) {
	switch rq.route.Access {
	case checker.AccessOpen:
		return bearerKey(hr), nil
	case checker.AccessInternal:
		return "", reporter.Refused{Reason: reporter.RouteInternal, Detail: "the route is for backend servers only"}
	}
	key := bearerKey(hr)
	if key == "" {
		return "", reporter.Refused{Reason: reporter.KeyMissing, Detail: "got no key, want Authorization: Bearer KEY"}
	}
	if strings.Contains(hr.URL.RequestURI(), key) {
		return "", reporter.Refused{Reason: reporter.KeyInURL, Detail: "the key stands in the URL as well, where backend servers would see it"}
	}
	digest := checker.Digest(key)
	organisation, ok := rq.view.Config.Keys[digest]
	if !ok {
		return "", reporter.Refused{Reason: reporter.KeyUnknown, Detail: "the key is not granted"}
	}
	if rq.route.WhenStale == checker.StaleRefuse && !r.Freshness().MayAcceptKeys() {
		return "", keysNotCurrent()
	}
	rq.call.Organisation = organisation
	rq.call.KeyDigest = digest[:]
	return key, nil
}

func keysNotCurrent() reporter.Outcome {
	return reporter.Refused{
		Reason:     reporter.KeysNotCurrent,
		Detail:     "this node cannot show that no key was withdrawn",
		RetryAfter: time.Second,
	}
}

func bearerKey(hr *http.Request) string {
	value := hr.Header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

func setIdempotencyKey(hr *http.Request, rq *request) reporter.Outcome {
	if rq.route.Idempotent {
		return nil
	}
	key := hr.Header.Get(headerIdempotencyKey)
	if key == "" {
		return reporter.Refused{Reason: reporter.IdempotencyKeyMissing, Detail: "got no Idempotency-Key, want one, since the route may have effects"}
	}
	if len(key) > maxIdempotencyKeyBytes {
		return reporter.Refused{
			Reason: reporter.HeaderInvalid,
			Detail: fmt.Sprintf("Idempotency-Key: got %d bytes, want at most %d", len(key), maxIdempotencyKeyBytes),
		}
	}
	// The prefix keeps the keys of different organisations apart.
	rq.call.IdempotencyKey = rq.call.Organisation + "/" + key
	return nil
}

// requestTimeout returns the route's timeout, or a shorter one that the caller
// requests with "Prefer: wait=SECONDS" (RFC 7240).
func requestTimeout(hr *http.Request, route *checker.Route) time.Duration {
	timeout := time.Duration(route.Timeout)
	for _, value := range hr.Header.Values(headerPrefer) {
		for part := range strings.SplitSeq(value, ",") {
			seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "wait=")
			if !ok {
				continue
			}
			if n, err := strconv.Atoi(seconds); err == nil && n > 0 {
				timeout = min(timeout, time.Duration(n)*time.Second)
			}
		}
	}
	return timeout
}

func (rq *request) readBody(hr *http.Request) reporter.Outcome {
	limit := int64(rq.pool.BodyLimit)
	if hr.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(hr.Body, limit+1))
	if err != nil {
		reason := reporter.BodyTruncated
		if !errors.Is(err, io.ErrUnexpectedEOF) && hr.Context().Err() != nil {
			reason = reporter.Cancelled
		}
		return reporter.Refused{Reason: reason, Detail: fmt.Sprintf("read body: %v", err)}
	}
	if int64(len(body)) > limit {
		return bodyTooLarge(limit)
	}
	rq.body = body
	return nil
}

func bodyTooLarge(limit int64) reporter.Outcome {
	return reporter.Refused{Reason: reporter.BodyTooLarge, Detail: fmt.Sprintf("want a body of at most %d bytes", limit)}
}

// copyFrom copies method, path, query and forwardable header fields from the
// HTTP request. Fields that contain the API key are dropped.
func (rq *request) copyFrom(hr *http.Request, key string) {
	rq.method = hr.Method
	rq.path = hr.URL.EscapedPath()
	rq.query = hr.URL.RawQuery
	rq.header = translator.Headers(hr.Header, key)
}

// checkRateLimit takes one token of the organisation's rate limit. Calls by
// backend servers on behalf of a request take no further tokens.
func (r *Router) checkRateLimit(hr *http.Request, rq *request) reporter.Outcome {
	o := rq.view.Config.Organisations[rq.call.Organisation]
	if o == nil {
		return nil
	}
	err := r.Limiter.Take(hr.Context(), o)
	var exceeded *limiter.ExceededError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &exceeded):
		return reporter.Refused{
			Reason:     reporter.RateExceeded,
			Detail:     fmt.Sprintf("organisation %s has used its rate of %g requests per second", o.Name, o.Rate),
			RetryAfter: exceeded.RetryAfter,
		}
	}
	return reporter.Refused{Reason: reporter.RateUnavailable, Detail: err.Error(), RetryAfter: time.Second}
}
