// Package exchanger sends requests to the node's own backend server over
// HTTP/1.1.
//
// It guarantees that a request is written at most once for each Do, that an
// answer is whole and belongs to the request, and that nothing is said to be
// unsent once a byte of it may have left. An answer that carries the id of
// another request is dropped, and a connection on which anything unexpected
// arrives is closed.
//
// # Usage
//
//	e := &exchanger.Exchanger{Address: address, IDField: "X-Request-Id"}
//	switch o := e.Do(ctx, call).(type) {
//	case exchanger.Answered:
//	case exchanger.Unsent: // has not run
//	case exchanger.Lost:   // may have run
//	}
//
// A connection carries one request at a time. Each costs one goroutine.
package exchanger

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/parser"
)

const (
	dialTimeout = time.Second
	// writeTimeout bounds the writing of a request that has no deadline.
	writeTimeout = 10 * time.Second
	// reuseIdle is how long a connection may have been idle to carry a
	// request that can be repeated, if its server states no shorter time.
	reuseIdle = 5 * time.Second
	// reuseIdleOnce is the same for a request that cannot: servers drop idle
	// connections unannounced, and such a request would then be in doubt.
	reuseIdleOnce = time.Second
	// keepAliveMargin is left of the time that a server states.
	keepAliveMargin = time.Second
	// maxIdle bounds the connections that are kept idle.
	maxIdle     = 256
	headBytes   = 64 << 10
	bodyBytes   = 64 << 20
	bufferBytes = 4 << 10
	// maxForeign bounds the answers to other requests that are skipped while
	// one answer is awaited.
	maxForeign = 8
)

type (
	// A Call is one request to the backend server.
	Call struct {
		ID     string // echoed by the answer; empty: not checked
		Method string
		Target string
		Host   string
		Fields parser.Fields
		Body   []byte
		// Idempotent requests may use connections that have been idle longer.
		Idempotent bool
	}

	// An Outcome is Answered, Unsent or Lost.
	Outcome interface{ outcome() }

	// Answered carries a whole answer.
	Answered struct {
		Status int
		Fields parser.Fields
		Body   []byte
	}

	// Unsent means that no byte of the request has left.
	Unsent struct{ Err error }

	// Lost means that the request may have run.
	Lost struct {
		Err error
		// Broken tells that the server ended the connection, as it does when
		// it crashes.
		Broken bool
	}

	// A Dialer opens a connection.
	Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// An Exchanger holds the connections to one backend server. Its exported
	// fields must be set before use.
	Exchanger struct {
		Address netip.AddrPort
		// IDField names the field that carries the id of a request.
		IDField string
		// Dial opens connections; nil means TCP.
		Dial Dialer

		mu   sync.Mutex
		idle []*conn // the one used last at the end
	}
)

func (Answered) outcome() {}
func (Unsent) outcome()   {}
func (Lost) outcome()     {}

// Do runs a call. When the context ends, its connection is closed, which makes
// the backend server drop the work.
func (e *Exchanger) Do(ctx context.Context, call *Call) Outcome {
	c, err := e.take(ctx, call.Idempotent)
	if err != nil {
		return Unsent{Err: err}
	}
	answers, err := c.begin(call)
	if err != nil {
		c.close(err)
		return Unsent{Err: err}
	}
	if err := c.send(ctx, call); err != nil {
		// The server may have answered before it has read the whole request.
		c.close(err)
	}
	select {
	case got := <-answers:
		return e.finish(ctx, c, got)
	case <-ctx.Done():
		c.close(ctx.Err())
		return e.finish(ctx, c, <-answers)
	}
}

func (e *Exchanger) finish(ctx context.Context, c *conn, got received) Outcome {
	if got.err != nil {
		return e.lost(ctx, got.err)
	}
	if got.reusable {
		e.put(c)
	} else {
		c.close(errSpent)
	}
	return got.answer
}

func (e *Exchanger) lost(ctx context.Context, err error) Outcome {
	if ctx.Err() != nil {
		return Lost{Err: ctx.Err()}
	}
	return Lost{Err: err, Broken: true}
}

// Close closes all idle connections.
func (e *Exchanger) Close() {
	e.mu.Lock()
	idle := e.idle
	e.idle = nil
	e.mu.Unlock()
	for _, c := range idle {
		c.close(errSpent)
	}
}

func (e *Exchanger) take(ctx context.Context, idempotent bool) (*conn, error) {
	if c := e.takeIdle(idempotent); c != nil {
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
	c := newConn(nc, e.IDField)
	go c.read()
	return c, nil
}

func (e *Exchanger) takeIdle(idempotent bool) *conn {
	limit := reuseIdleOnce
	if idempotent {
		limit = reuseIdle
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		if !c.isUsable() {
			e.idle = e.idle[:len(e.idle)-1]
			continue
		}
		if now.Sub(c.idleSince) > min(limit, c.idleLimit) {
			e.expire(now)
			return nil
		}
		e.idle = e.idle[:len(e.idle)-1]
		return c
	}
	return nil
}

// expire closes the connections that have been idle for too long for any use.
func (e *Exchanger) expire(now time.Time) {
	keep := e.idle[:0]
	for _, c := range e.idle {
		if now.Sub(c.idleSince) > min(reuseIdle, c.idleLimit) {
			go c.close(errSpent)
			continue
		}
		keep = append(keep, c)
	}
	clear(e.idle[len(keep):])
	e.idle = keep
}

func (e *Exchanger) put(c *conn) {
	c.idleSince = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle) >= maxIdle {
		go c.close(errSpent)
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
