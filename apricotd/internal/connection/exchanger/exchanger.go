// Package exchanger is the HTTP/1.1 client for the node's own backend server.
//
// It guarantees that each Do writes its request at most once, that a response
// is complete and belongs to its request, and that NotSent is returned only if
// no byte of the request can have been sent. A response that carries the id of
// another request is dropped, and a connection that receives unsolicited or
// malformed data, or a content coding that the request does not accept, is closed. So
// is one on which a response does not end: its head, its body and the memory for all
// bodies together are limited, and the deadline applies to the complete response.
//
// # Usage
//
//	e := &exchanger.Exchanger{Address: address, IDField: "X-Request-Id"}
//	switch o := e.Do(ctx, call).(type) {
//	case exchanger.Response:
//	case exchanger.NotSent:    // not executed
//	case exchanger.NoResponse: // may have been executed
//	}
//
// A connection carries one request at a time and costs one goroutine.
package exchanger

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/reserver"
)

const (
	dialTimeout = time.Second
	// writeTimeout limits the time to write one request. An earlier deadline of
	// the context takes precedence.
	writeTimeout = 10 * time.Second
	// maxIdleTime is the longest time for which a connection may have been idle
	// when it is reused for an idempotent request. A shorter timeout in the
	// server's Keep-Alive field takes precedence.
	maxIdleTime = 5 * time.Second
	// maxIdleTimeNonIdempotent applies to other requests. It is shorter because
	// servers close idle connections without notice, which would leave unknown
	// whether such a request has been executed.
	maxIdleTimeNonIdempotent = time.Second
	// keepAliveMargin is subtracted from the server's Keep-Alive timeout.
	keepAliveMargin = time.Second
	// maxIdleConns limits the number of idle connections.
	maxIdleConns = 256
	maxHeadBytes = 64 << 10
	// smallBodyBytes is the length up to which a body is read into one buffer, whatever
	// part of it arrives.
	smallBodyBytes = 64 << 10
	// headCopies is the number of copies of a head: its buffer and the parsed text.
	headCopies   = 2
	maxBodyBytes = 64 << 20
	bufferBytes  = 4 << 10
	// maxMismatchedResponses is the number of responses read for one call, all
	// with the id of another request, after which the connection is closed.
	maxMismatchedResponses = 8
	// maxCallsPerConn bounds the calls of which a connection keeps the ids.
	maxCallsPerConn = 1024
	// memoryWait is how long a response that is being received waits for memory. The
	// backend server, which is not read meanwhile, waits with it.
	memoryWait = time.Second
	// maxInterimResponses is the number of interim (1xx) responses before a final
	// one, after which the connection is closed.
	maxInterimResponses = 32
)

type (
	// A Call is one request to the backend server.
	Call struct {
		ID     string // echoed in the response; if empty, the response may have any id that is not of an earlier call
		Method string
		Target string
		Host   string
		Fields parser.Fields
		Body   []byte
		// Idempotent allows reuse of a connection that has been idle longer.
		Idempotent bool

		ctx context.Context //nolint:containedctx // of Do, for the goroutine that reads
		tab *reserver.Tab   // of the request; nil if it has none
	}

	// An Outcome is Response, NotSent or NoResponse.
	Outcome interface{ outcome() }

	// Response is a complete response.
	Response struct {
		Status int
		Fields parser.Fields
		Body   []byte
		// ReceivedAt is when the head arrived.
		ReceivedAt time.Time
	}

	// NotSent means that no byte of the request was sent.
	NotSent struct{ Err error }

	// NoResponse means that a connection was obtained but no valid response was
	// received, so the request may have been executed.
	NoResponse struct {
		Err error
		// ConnectionFailed reports that the connection failed before the context
		// ended, as it does when the server crashes.
		ConnectionFailed bool
	}

	// A Dialer opens a connection.
	Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// An Exchanger holds the connections to one backend server. Its exported
	// fields must be set before use.
	Exchanger struct {
		Address netip.AddrPort
		// IDField is the name of the header field with the request id.
		IDField string
		// Memory limits what the responses to calls may occupy that are being
		// received, if the context of the call carries no tab of a request (see
		// package reserver). If nil, there is no common limit.
		Memory parser.Memory
		// Dial opens connections. If nil, connections use TCP.
		Dial Dialer

		mu   sync.Mutex
		idle []*conn // the most recently used last
	}
)

func (Response) outcome()   {}
func (NotSent) outcome()    {}
func (NoResponse) outcome() {}

// Do sends a request and waits for the response. If the context ends first, Do
// closes the connection so that the backend server can cancel the request.
func (e *Exchanger) Do(ctx context.Context, call *Call) Outcome {
	call.ctx, call.tab = ctx, reserver.FromContext(ctx)
	c, err := e.getConn(ctx, call)
	if err != nil {
		return NotSent{Err: err}
	}
	results, err := c.begin(call)
	if err != nil {
		c.close(err)
		return NotSent{Err: err}
	}
	if err := c.send(ctx, call); err != nil {
		// The server may have responded before it read the whole request. A
		// response that has been received by now is still returned.
		c.close(err)
	}
	select {
	case got := <-results:
		return e.finish(ctx, c, got)
	case <-ctx.Done():
		c.close(ctx.Err())
		return e.finish(ctx, c, <-results)
	}
}

func (e *Exchanger) finish(ctx context.Context, c *conn, got callResult) Outcome {
	if got.err != nil {
		return e.noResponse(ctx, got.err)
	}
	if got.reusable {
		e.putIdleConn(c)
	} else {
		c.close(errDiscarded)
	}
	return got.response
}

func (e *Exchanger) noResponse(ctx context.Context, err error) Outcome {
	if ctx.Err() != nil {
		return NoResponse{Err: ctx.Err()}
	}
	return NoResponse{Err: err, ConnectionFailed: !errors.Is(err, parser.ErrNoMemory)}
}

// Close closes all idle connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	idle := e.idle
	e.idle = nil
	e.mu.Unlock()
	for _, c := range idle {
		c.close(errDiscarded)
	}
}

func (e *Exchanger) getConn(ctx context.Context, call *Call) (*conn, error) {
	if c := e.getIdleConn(call); c != nil {
		return c, nil
	}
	dial := e.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, e.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to backend server: %w", err)
	}
	c := newConn(nc, e.IDField, e.Memory)
	go c.read()
	return c, nil
}

// getIdleConn removes and returns the most recently used connection that may carry
// the call, or nil if there is none.
func (e *Exchanger) getIdleConn(call *Call) *conn {
	maxIdle := maxIdleTimeNonIdempotent
	if call.Idempotent {
		maxIdle = maxIdleTime
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle) - 1; n >= 0; n-- {
		c := e.idle[n]
		switch {
		case !c.isUsable():
			e.idle = slices.Delete(e.idle, n, n+1)
		case now.Sub(c.idleSince) > min(maxIdle, c.idleLimit):
			e.closeExpired(now)
			return nil
		case !c.hasCarried(call.ID):
			e.idle = slices.Delete(e.idle, n, n+1)
			return c
		}
	}
	return nil
}

// closeExpired closes the connections that have been idle for too long to carry
// any request. e.mu must be held.
func (e *Exchanger) closeExpired(now time.Time) {
	kept := e.idle[:0]
	for _, c := range e.idle {
		if now.Sub(c.idleSince) > min(maxIdleTime, c.idleLimit) {
			go c.close(errDiscarded)
			continue
		}
		kept = append(kept, c)
	}
	clear(e.idle[len(kept):])
	e.idle = kept
}

func (e *Exchanger) putIdleConn(c *conn) {
	c.idleSince = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) >= maxIdleConns {
		go c.close(errDiscarded)
		return
	}
	e.idle = append(e.idle, c)
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial %v: %w", address, err)
	}
	return nc, nil
}
