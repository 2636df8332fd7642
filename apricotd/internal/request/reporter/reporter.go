// Package reporter writes the outcomes of requests as HTTP responses.
//
// Every request has exactly one Outcome: Answered with the complete response of
// a backend server, Refused if it has certainly not been executed, or Unknown
// if it may have been executed. Refused and Unknown are written as RFC 9457
// problem documents.
//
// # Usage
//
//	reporter.Write(w, requestID, reporter.Refused{Reason: reporter.Overloaded, RetryAfter: time.Second})
package reporter

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Reasons of Refused and Unknown outcomes.
const (
	KeyMissing            Reason = "keyMissing"
	KeyUnknown            Reason = "keyUnknown"
	KeyInURL              Reason = "keyInUrl"
	KeysNotCurrent        Reason = "keysNotCurrent"
	RouteUnknown          Reason = "routeUnknown"
	RouteInternal         Reason = "routeInternal"
	ContextMissing        Reason = "contextMissing"
	ContextUnknown        Reason = "contextUnknown"
	HeaderInvalid         Reason = "headerInvalid"
	BodyTooLarge          Reason = "bodyTooLarge"
	BodyTruncated         Reason = "bodyTruncated"
	IdempotencyKeyMissing Reason = "idempotencyKeyMissing"
	IdempotencyKeyReused  Reason = "idempotencyKeyReused"
	RateExceeded          Reason = "rateExceeded"
	RateUnavailable       Reason = "rateUnavailable"
	Overloaded            Reason = "overloaded"
	DeadlineExceeded      Reason = "deadlineExceeded"
	Cancelled             Reason = "cancelled"
	NoBackend             Reason = "noBackend"
	Leaving               Reason = "leaving"
	NotReady              Reason = "notReady"
	WrongNode             Reason = "wrongNode"
	ClaimUnavailable      Reason = "claimUnavailable"
	ResultUnknown         Reason = "resultUnknown"
	BackendFailed         Reason = "backendFailed"
	AnswerTruncated       Reason = "answerTruncated"
	AnswerTooLarge        Reason = "answerTooLarge"
	PeerLost              Reason = "peerLost"
)

// Values of the member "ran" of a problem document.
const (
	executionNotRun  = "notRun"
	executionUnknown = "unknown"
)

// Header fields of responses.
const (
	HeaderRequestID   = "Apricot-Request-Id"
	HeaderOutcome     = "Apricot-Outcome"
	HeaderProxyStatus = "Proxy-Status"
	HeaderRetryAfter  = "Retry-After"

	problemType = "application/problem+json"
)

type (
	// A Reason says why a request has no response from a backend server. Its
	// values are part of the protocol with callers.
	Reason string

	// An Outcome is the result of a request: Answered, Refused or Unknown.
	Outcome interface{ outcome() }

	// Answered carries the complete response of the backend server.
	Answered struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Refused means that no backend server has started the request.
	Refused struct {
		Reason     Reason
		Detail     string
		RetryAfter time.Duration // sent as Retry-After unless 0
	}

	// Unknown means that the request may have been executed, in part or
	// completely.
	Unknown struct {
		Reason Reason
		Detail string
	}

	problem struct {
		Type      string `json:"type"`
		Title     string `json:"title"`
		Status    int    `json:"status"`
		Detail    string `json:"detail,omitempty"`
		Reason    Reason `json:"reason"`
		Ran       string `json:"ran"`
		RequestID string `json:"requestId,omitempty"`
	}
)

var (
	_ Outcome = Answered{}
	_ Outcome = Refused{}
	_ Outcome = Unknown{}
)

var statusByReason = map[Reason]int{
	KeyMissing:            http.StatusUnauthorized,
	KeyUnknown:            http.StatusUnauthorized,
	KeyInURL:              http.StatusBadRequest,
	KeysNotCurrent:        http.StatusServiceUnavailable,
	RouteUnknown:          http.StatusNotFound,
	RouteInternal:         http.StatusForbidden,
	ContextMissing:        http.StatusBadRequest,
	ContextUnknown:        http.StatusForbidden,
	HeaderInvalid:         http.StatusBadRequest,
	BodyTooLarge:          http.StatusRequestEntityTooLarge,
	BodyTruncated:         http.StatusBadRequest,
	IdempotencyKeyMissing: http.StatusBadRequest,
	IdempotencyKeyReused:  http.StatusUnprocessableEntity,
	RateExceeded:          http.StatusTooManyRequests,
	DeadlineExceeded:      http.StatusGatewayTimeout,
	BackendFailed:         http.StatusBadGateway,
	AnswerTruncated:       http.StatusBadGateway,
	AnswerTooLarge:        http.StatusBadGateway,
	PeerLost:              http.StatusBadGateway,
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}

// Status returns the HTTP status code for the reason.
func (r Reason) Status() int {
	if s, ok := statusByReason[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// IsFinalStatus reports whether a status is one of a final HTTP response, 200 to 599. No
// answer has another one: net/http accepts 000 and ends the connection of a caller to
// which it is to be written.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}

// Write writes the outcome as a response to a caller or to the node's own
// backend server.
func Write(w http.ResponseWriter, requestID string, o Outcome) {
	w.Header().Set(HeaderRequestID, requestID)
	switch o := o.(type) {
	case Answered:
		writeResponse(w, o)
	case Refused:
		if o.RetryAfter > 0 {
			w.Header().Set(HeaderRetryAfter, retryAfterSeconds(o.RetryAfter))
		}
		writeProblem(w, requestID, o.Reason, o.Detail, executionNotRun)
	case Unknown:
		writeProblem(w, requestID, o.Reason, o.Detail, executionUnknown)
	default:
		panic(fmt.Sprintf("unexpected outcome type %T", o))
	}
}

func writeResponse(w http.ResponseWriter, a Answered) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(HeaderOutcome, "answered")
	w.WriteHeader(a.Status)
	// A write error means that the client has disconnected; there is nobody to
	// report it to.
	_, _ = w.Write(a.Body)
}

func writeProblem(w http.ResponseWriter, requestID string, reason Reason, detail, ran string) {
	body, err := json.Marshal(problem{
		Type:      "about:blank",
		Title:     string(reason),
		Status:    reason.Status(),
		Detail:    detail,
		Reason:    reason,
		Ran:       ran,
		RequestID: requestID,
	})
	if err != nil {
		panic(fmt.Sprintf("encode problem document: %v", err))
	}
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, ran)
	h.Set(HeaderProxyStatus, fmt.Sprintf("apricotrudder; error=%s; details=%q", proxyErrorType(reason), reason))
	if reason.Status() == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(reason.Status())
	_, _ = w.Write(body)
}

// proxyErrorType returns the proxy error type of RFC 9209 that is closest to
// the reason.
func proxyErrorType(reason Reason) string {
	switch reason {
	case DeadlineExceeded:
		return "http_response_timeout"
	case NoBackend, NotReady:
		return "destination_unavailable"
	case Overloaded, Leaving:
		return "connection_limit_reached"
	case AnswerTruncated:
		return "http_response_incomplete"
	case AnswerTooLarge:
		return "http_response_body_size"
	case BackendFailed, PeerLost:
		return "connection_terminated"
	}
	return "http_request_denied"
}

// retryAfterSeconds rounds up, since Retry-After is in whole seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
