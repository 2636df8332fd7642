// Package translator turns requests and outcomes into peer messages and back,
// and decides which header fields pass.
//
// It guarantees that no header field carries an organisation's key, a call
// context of another process, or a field that belongs to one connection only.
//
// # Usage
//
//	headers := translator.Headers(r.Header, key)
//	message := translator.Response(outcome, tokens, load)
//	outcome, tokens := translator.Outcome(message)
package translator

import (
	"net/http"
	"net/textproto"
	"strings"

	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/internal/process/tracker"
	"apricotrudder.dev/apricotd/internal/request/reporter"
	"apricotrudder.dev/wire/peerwire"
)

// dropped are the fields that end at a node: those of one connection, those
// that hold credentials, and those that the nodes set themselves.
var dropped = map[string]bool{
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

// Headers returns the fields that pass, without any whose value holds the key.
func Headers(h http.Header, key string) []*peerwire.Header {
	perConnection := connectionFields(h)
	var out []*peerwire.Header
	for name, values := range h {
		if dropped[name] || perConnection[name] {
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

// HTTPHeader returns the fields of a message.
func HTTPHeader(headers []*peerwire.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		out[name] = append(out[name], h.Value)
	}
	return out
}

// Response packs an outcome with what else travels back.
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

// Outcome unpacks a peer's response. A response without outcome tells nothing,
// so the request may have run.
func Outcome(m *peerwire.ForwardResponse) reporter.Outcome {
	switch o := m.Outcome.(type) {
	case *peerwire.ForwardResponse_Answer:
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

func connectionFields(h http.Header) map[string]bool {
	fields := make(map[string]bool)
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			fields[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return fields
}
