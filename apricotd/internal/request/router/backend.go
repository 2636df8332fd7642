package router

import (
	"fmt"
	"net/http"
	"time"

	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
)

// Backend returns the handler for calls by the node's own backend server.
func (r *Router) Backend() http.Handler {
	return http.HandlerFunc(r.serveBackend)
}

func (r *Router) serveBackend(w http.ResponseWriter, hr *http.Request) {
	start := time.Now()
	rq := &request{}
	parent, o := r.admitSubCall(hr, rq)
	if o == nil {
		ctx, cancel := mergeContexts(hr.Context(), parent.Context)
		defer cancel()
		o = r.runAttempts(ctx, rq, &parent.RetryTokens)
	}
	r.report(w, rq.call, rq.route, start, o)
}

// admitSubCall associates a call with the request for which the backend server
// makes it. Organisation, class, deadline and retry tokens are taken from that
// request, never from the backend server.
func (r *Router) admitSubCall(hr *http.Request, rq *request) (*tracker.RunningRequest, reporter.Outcome) {
	token := hr.Header.Get(tracker.Header)
	if token == "" {
		return nil, reporter.Refused{Reason: reporter.ContextMissing, Detail: "got no " + tracker.Header + ", want the one of the request that is being served"}
	}
	parent, ok := r.Tracker.Find(token)
	if !ok {
		return nil, reporter.Refused{Reason: reporter.ContextUnknown, Detail: "the request of this " + tracker.Header + " has ended or never was"}
	}
	rq.view = r.View()
	route, pool, o := r.match(hr, rq.view)
	if o != nil {
		return nil, o
	}
	rq.route, rq.pool = route, pool
	rq.call = tracker.Call{
		RequestID:    parent.RequestID,
		Organisation: parent.Organisation,
		Class:        parent.Class,
		Deadline:     minTime(parent.Deadline, time.Now().Add(time.Duration(route.Timeout))),
		Depth:        parent.Depth + 1,
	}
	if o := rq.readBody(hr); o != nil {
		return nil, o
	}
	rq.copyFrom(hr, "")
	if !route.Idempotent {
		target := fmt.Sprintf("%s %s?%s", rq.method, rq.path, rq.query)
		rq.call.IdempotencyKey = parent.SubcallKey(target, hr.Header.Get(headerIdempotencyKey))
	}
	return parent, nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
