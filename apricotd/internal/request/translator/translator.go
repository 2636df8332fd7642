// Package translator converts header fields and outcomes to and from peer
// messages, and filters header fields.
//
// It guarantees that it forwards no hop-by-hop field, no field that contains an
// organisation's API key, and no call context of another process.
//
// # Usage
//
//	headers := translator.Headers(r.Header, key)
//	message := translator.Response(outcome, tokens, load)
//	outcome := translator.Outcome(message)
package translator

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/wire/peerwire"
)

// droppedHeaders are the fields that are not forwarded: hop-by-hop fields,
// fields with credentials, and fields that the nodes set themselves.
var droppedHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Authorization":       true,
	"Content-Length":      true,
	"Idempotency-Key":     true,
	"X-Idempotency-Key":   true,
	tracker.Header:        true,
}

// Headers returns the fields to forward. It also drops fields whose value
// contains key, unless key is empty.
func Headers(h http.Header, key string) []*peerwire.Header {
	options := connectionOptions(h)
	var out []*peerwire.Header
	for name, values := range h {
		if droppedHeaders[name] || options[name] {
			continue
		}
		for _, value := range values {
			if key != "" && strings.Contains(value, key) {
				continue
			}
			out = append(out, &peerwire.Header{Name: name, Value: value})
		}
	}
	return out
}

// HTTPHeader converts the fields of a message to an http.Header.
func HTTPHeader(headers []*peerwire.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		out[name] = append(out[name], h.Value)
	}
	return out
}

// Response encodes an outcome, the unused retry tokens and the backend server's
// load as a message.
func Response(o reporter.Outcome, tokens uint32, load *peerwire.Load) *peerwire.ForwardResponse {
	m := &peerwire.ForwardResponse{RetryTokens: tokens, Load: load}
	switch o := o.(type) {
	case reporter.Answered:
		m.Outcome = &peerwire.ForwardResponse_Answer{Answer: &peerwire.Answer{
			Status:  uint32(o.Status),
			Headers: Headers(o.Header, ""),
			Body:    o.Body,
		}}
	case reporter.Refused:
		m.Outcome = &peerwire.ForwardResponse_Refusal{Refusal: &peerwire.Refusal{
			Reason:     string(o.Reason),
			NotRun:     true,
			RetryAfter: durationpb.New(o.RetryAfter),
			Detail:     o.Detail,
		}}
	case reporter.Unknown:
		m.Outcome = &peerwire.ForwardResponse_Refusal{Refusal: &peerwire.Refusal{
			Reason: string(o.Reason),
			Detail: o.Detail,
		}}
	}
	return m
}

// Outcome decodes the outcome in a peer's response. If there is none, or an answer whose
// status is none of a final response, the request may have been executed, so the result
// is Unknown.
func Outcome(m *peerwire.ForwardResponse) reporter.Outcome {
	switch o := m.Outcome.(type) {
	case *peerwire.ForwardResponse_Answer:
		if !reporter.IsFinalStatus(int(o.Answer.Status)) {
			return reporter.Unknown{Reason: reporter.PeerLost, Detail: fmt.Sprintf("got an answer with status %d, want 200 to 599", o.Answer.Status)}
		}
		return reporter.Answered{
			Status: int(o.Answer.Status),
			Header: HTTPHeader(o.Answer.Headers),
			Body:   o.Answer.Body,
		}
	case *peerwire.ForwardResponse_Refusal:
		reason := reporter.Reason(o.Refusal.Reason)
		if o.Refusal.NotRun {
			return reporter.Refused{Reason: reason, Detail: o.Refusal.Detail, RetryAfter: o.Refusal.RetryAfter.AsDuration()}
		}
		return reporter.Unknown{Reason: reason, Detail: o.Refusal.Detail}
	}
	return reporter.Unknown{Reason: reporter.PeerLost, Detail: "got a response without outcome"}
}

// connectionOptions returns the names of the fields that the Connection field
// lists, in canonical form.
func connectionOptions(h http.Header) map[string]bool {
	options := make(map[string]bool)
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
