// Package dispatcher sends requests to the node's own backend server through
// net/http.
//
// It guarantees that a response is returned completely or not at all, that it
// belongs to its request, and that each Dispatch writes its request to the
// backend server at most once: automatic retries by net/http are disabled. A
// request is reported as not run only if no connection was obtained for it.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Address: backend}
//	d.Start()
//	outcome := d.Dispatch(ctx, dispatcher.Request{...})
//
// Bodies are held in memory, up to the pool's body limit.
package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/forwarder"
	"apricotrudder.dev/apricotd/internal/request/reporter"
)

// HeaderRemaining is the header field with the number of milliseconds left
// until the deadline of a request.
const HeaderRemaining = "Apricot-Remaining-Ms"

const (
	idleTimeout            = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// idempotencyHeader is not in canonical form, so that net/http does not
// recognise it: net/http treats a request with an Idempotency-Key as replayable
// and retries it after a connection failure. Field names are case-insensitive,
// so the backend server sees no difference.
const idempotencyHeader = "idempotency-key"

type (
	// A Request is a request for the backend server.
	Request struct {
		Method         string
		Path           string
		Query          string
		Header         http.Header
		Body           []byte
		IdempotencyKey string
		Remaining      time.Duration
		BodyLimit      int64 // bytes
	}

	// A Dispatcher holds the connections to one backend server. Its fields
	// must be set before Start.
	Dispatcher struct {
		Address netip.AddrPort
		// Dial opens connections. If nil, connections use TCP.
		Dial forwarder.Dialer

		transport *http.Transport
	}
)

// Start prepares the transport.
func (d *Dispatcher) Start() {
	if d.Dial == nil {
		d.Dial = forwarder.DialTCP
	}
	d.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return d.Dial(ctx, d.Address)
		},
		MaxIdleConnsPerHost:    1024,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.transport.CloseIdleConnections()
}

// Dispatch sends a request to the backend server and returns its outcome.
func (d *Dispatcher) Dispatch(ctx context.Context, r Request) reporter.Outcome {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := d.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return failureOutcome(ctx, connected.Load(), err)
	}
	defer response.Body.Close()
	return readResponse(ctx, response, r.BodyLimit)
}

// Get requests one of the backend server's own endpoints, such as its load
// report, and returns status and body.
func (d *Dispatcher) Get(ctx context.Context, path string, limit int64) (int, []byte, error) {
	switch o := d.Dispatch(ctx, Request{Method: http.MethodGet, Path: path, BodyLimit: limit}).(type) {
	case reporter.Answered:
		return o.Status, o.Body, nil
	case reporter.Refused:
		return 0, nil, errors.Errorf("get %s: %s", path, o.Detail)
	case reporter.Unknown:
		return 0, nil, errors.Errorf("get %s: %s", path, o.Detail)
	default:
		panic(fmt.Sprintf("unexpected outcome type %T", o))
	}
}

func (d *Dispatcher) newRequest(ctx context.Context, r Request) *http.Request {
	target := &url.URL{Scheme: "http", Host: d.Address.String(), Path: r.Path, RawQuery: r.Query}
	if escaped, err := url.PathUnescape(r.Path); err == nil && escaped != r.Path {
		target.Path, target.RawPath = escaped, r.Path
	}
	request := (&http.Request{
		Method:     r.Method,
		URL:        target,
		Host:       d.Address.String(),
		Header:     make(http.Header, len(r.Header)+2),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(ctx)
	for name, values := range r.Header {
		request.Header[name] = values
	}
	if r.Remaining > 0 {
		request.Header.Set(HeaderRemaining, strconv.FormatInt(r.Remaining.Milliseconds(), 10))
	}
	if r.IdempotencyKey != "" {
		request.Header[idempotencyHeader] = []string{r.IdempotencyKey}
	}
	// With a body and no GetBody, net/http cannot replay the request. GET and
	// HEAD get an empty body for that reason; net/http detects that it is empty
	// and sends none.
	if len(r.Body) > 0 || r.Method == http.MethodGet || r.Method == http.MethodHead {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	return request
}

func readResponse(ctx context.Context, response *http.Response, limit int64) reporter.Outcome {
	if !reporter.IsFinalStatus(response.StatusCode) {
		return reporter.Unknown{Reason: reporter.BackendFailed, Detail: fmt.Sprintf("got an answer with status %03d, want 200 to 599", response.StatusCode)}
	}
	if response.ContentLength > limit {
		return reporter.Unknown{Reason: reporter.AnswerTooLarge, Detail: fmt.Sprintf("got an answer of %d bytes, want at most %d", response.ContentLength, limit)}
	}
	if isCloseDelimited(response) {
		return reporter.Unknown{Reason: reporter.AnswerTruncated, Detail: "got an answer without length, which cannot be shown to be whole"}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		if ctx.Err() != nil {
			return failureOutcome(ctx, true, err)
		}
		return reporter.Unknown{Reason: reporter.AnswerTruncated, Detail: fmt.Sprintf("read answer: %v", err)}
	}
	if int64(len(body)) > limit {
		return reporter.Unknown{Reason: reporter.AnswerTooLarge, Detail: fmt.Sprintf("got an answer of more than %d bytes", limit)}
	}
	return reporter.Answered{Status: response.StatusCode, Header: response.Header, Body: body}
}

// isCloseDelimited reports whether the body ends only when the connection is
// closed, so that a truncated body cannot be detected.
func isCloseDelimited(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	return response.Body != http.NoBody
}

// failureOutcome returns Unknown if a connection was obtained, since the
// request may have been sent, and Refused otherwise.
func failureOutcome(ctx context.Context, connected bool, err error) reporter.Outcome {
	reason := reporter.BackendFailed
	switch cause := ctx.Err(); {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = reporter.DeadlineExceeded
	case cause != nil:
		reason = reporter.Cancelled
	}
	if connected {
		return reporter.Unknown{Reason: reason, Detail: err.Error()}
	}
	if reason == reporter.BackendFailed {
		reason = reporter.NoBackend
	}
	return reporter.Refused{Reason: reason, Detail: err.Error()}
}
