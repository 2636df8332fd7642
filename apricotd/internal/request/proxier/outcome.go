package proxier

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/linker"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/request/invoker"
	"apricotrudder.dev/wire/linkwire"
)

// Reasons for refusals by this node.
const (
	reasonStarting     = "starting"
	reasonStopping     = invoker.Stopping
	reasonNoRoute      = "noRoute"
	reasonKeyUnknown   = "keyUnknown"
	reasonRateExceeded = "rateExceeded"
	reasonThrottled    = "throttled"
	reasonPostponed    = "postponed"
	reasonNoServer     = "noServer"
	reasonNoHome       = "noHome"       // route and organisation have no home region in common
	reasonNoHomeServer = "noHomeServer" // no server in the home regions is usable
)

const (
	// defaultRetryAfter is used if the refusal has no retry delay of its own.
	defaultRetryAfter = 300 * time.Millisecond
	// retryAfterJitter is the largest fraction by which a retry delay is
	// lengthened, so that refused callers do not retry at the same time.
	retryAfterJitter = 0.5
)

type (
	// An outcome is answered, refused or unknown.
	outcome interface{ outcome() }

	// answered holds the complete answer of a backend server.
	answered struct{ *linkwire.Answer }

	// refused means that no server has run or will run the request.
	refused struct {
		reason     string
		detail     string
		retryAfter time.Duration
		retryable  bool // whether another server may accept the request
	}

	// unknown means that the request may have run.
	unknown struct {
		reason string
		detail string
	}
)

func (answered) outcome() {}
func (refused) outcome()  {}
func (unknown) outcome()  {}

// withoutJitter returns the retry delay that is at most longest with jitter.
func withoutJitter(longest time.Duration) time.Duration {
	return time.Duration(float64(longest) / (1 + retryAfterJitter))
}

// brokenOff returns an outcome with the reason that the node stops, if the request was
// cancelled for that reason.
func brokenOff(o outcome) outcome {
	switch o := o.(type) {
	case refused:
		if o.reason == invoker.Cancelled {
			o.reason, o.retryAfter = reasonStopping, stoppingRetryAfter
		}
		return o
	case unknown:
		if o.reason == invoker.Cancelled {
			o.reason = reasonStopping
		}
		return o
	}
	return o
}

func (p *Proxier) respond(o outcome) *acceptor.Response {
	switch o := o.(type) {
	case answered:
		return &acceptor.Response{Status: int(o.Status), Fields: linker.HeaderFields(o.Fields), Body: o.Body}
	case refused:
		return refusedResponse(o)
	case unknown:
		status := http.StatusBadGateway
		if o.reason == invoker.Expired {
			status = http.StatusGatewayTimeout
		}
		return ErrorResponse(status, o.reason)
	default:
		panic(fmt.Sprintf("unexpected outcome type %T", o))
	}
}

func refusedResponse(o refused) *acceptor.Response {
	switch o.reason {
	case reasonNoRoute:
		return ErrorResponse(http.StatusNotFound, o.reason)
	case reasonKeyUnknown:
		return ErrorResponse(http.StatusUnauthorized, o.reason)
	}
	status := http.StatusServiceUnavailable
	if o.reason == reasonRateExceeded {
		status = http.StatusTooManyRequests
	}
	retryAfter := o.retryAfter
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	response := ErrorResponse(status, o.reason)
	seconds := retryAfter.Seconds() * (1 + retryAfterJitter*rand.Float64())
	response.Fields = append(response.Fields, parser.Field{Name: "Retry-After", Value: strconv.FormatFloat(seconds, 'f', 2, 64)})
	return response
}

// ErrorResponse returns a response of this node with the reason as its body.
func ErrorResponse(status int, reason string) *acceptor.Response {
	return &acceptor.Response{
		Status: status,
		Fields: parser.Fields{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
		Body:   []byte(reason + "\n"),
	}
}

// recordOutcome counts the outcome and logs it with the inputs of the decision.
func (p *Proxier) recordOutcome(rq *request, o outcome) {
	route, result, detail := "none", "answered", ""
	if rq.route != nil {
		route = rq.route.Name
	}
	switch o := o.(type) {
	case refused:
		result, detail = o.reason, o.detail
	case unknown:
		result, detail = o.reason+"Unknown", o.detail
	}
	p.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_requests_total{route=%q,outcome=%q}`, route, result)).Inc()
	p.Metrics.GetOrCreateHistogram(fmt.Sprintf(`apricot_request_seconds{route=%q}`, route)).UpdateDuration(rq.Received)
	fields := logrus.Fields{
		"request":  rq.id,
		"route":    route,
		"pool":     rq.pool,
		"version":  rq.version,
		"rank":     rq.rank,
		"call":     rq.isCall,
		"tries":    rq.tries,
		"arrivals": rq.arrivals,
		"server":   rq.lastServer,
		"tookMs":   time.Since(rq.Received).Milliseconds(),
		"outcome":  result,
		"detail":   detail,
	}
	p.recordPrediction(rq, fields)
	if rq.hasTreeRank {
		fields["treeRank"] = true
	}
	if rq.organisation != nil {
		fields["organisation"] = rq.organisation.Name
	}
	level := logrus.InfoLevel
	if _, ok := o.(answered); !ok {
		level = logrus.WarnLevel
		tables, current := p.StateAge()
		fields["tablesAgeMs"], fields["stateAgeMs"] = tables.Milliseconds(), current.Milliseconds()
	}
	p.Log.WithFields(fields).Log(level, "request ended")
}
