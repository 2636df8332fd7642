// Package acceptor is the HTTP/1.1 server for callers' connections.
//
// It guarantees that responses are written in request order, that a response is
// either written completely or its connection is closed, that the context
// of a request is cancelled as soon as the client closes the connection, even
// if pipelined requests behind it have not been read, and that a request which
// outlasts the acceptor does not take the responses behind it along.
//
// # Usage
//
//	a := &acceptor.Acceptor{Limits: limits, Serve: serve, Log: log}
//	err := a.Run(ctx, listener)
//
// Pipelined requests run concurrently, except those with an unsafe method: such
// a request starts only after all earlier responses have been written, because
// a client sends it again if one of them closes the connection. Each connection
// costs two goroutines and its buffers.
//
// A request for which no memory is left is refused with status 503 before its body is
// read. A connection whose requests and responses occupy more than its share, or will
// if they are as long as others were, is not read until some of them have been written.
package acceptor

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/reserver"
	"apricotrudder.dev/apricotd/version/resolver"
)

const (
	// writeTimeout limits the time to write one response.
	writeTimeout = 20 * time.Second
	// bodyTimeout limits the time to read one request body.
	bodyTimeout = 30 * time.Second
	// lingerTimeout is how long input is still read and discarded after the
	// last response: closing with unread input would send a reset, which can
	// make the client lose that response.
	lingerTimeout = 500 * time.Millisecond
	// closePollInterval is how often Close looks for connections that have become
	// idle.
	closePollInterval = 5 * time.Millisecond
	// pipelineDepth is the number of queued requests per connection above
	// which reading pauses.
	pipelineDepth = 64
	bufferBytes   = 4 << 10
)

// ErrStopping is the cause with which the contexts of running requests end when the
// acceptor closes.
var ErrStopping = errors.New("node is stopping")

type (
	// A Request is one request with its complete body.
	Request struct {
		*parser.Request
		Body     []byte
		Received time.Time // when its last byte was read
	}

	// A Response is one response with its complete body.
	Response struct {
		Status int
		Fields parser.Fields
		Body   []byte
		// Close closes the connection after the response.
		Close bool
	}

	// An Acceptor serves connections. Its exported fields must be set before
	// Run.
	Acceptor struct {
		// Limits returns the current limits.
		Limits func() resolver.Limits
		// Serve handles one request. A nil response closes the connection. If the
		// context ends with ErrStopping, the response is still written.
		Serve func(ctx context.Context, r *Request) *Response
		// ErrorResponse returns the error response to a message that is malformed
		// or too large, or that was not received in time.
		ErrorResponse func(status int, detail string) *Response
		// Memory is the account of what requests and their responses occupy, from
		// their first byte until the response has been written. If nil, there is
		// no common limit.
		Memory *reserver.Reserver
		// IsRefusedLast reports whether a request may use memory that is left to
		// requests that must not be repeated. If nil, none may.
		IsRefusedLast func(r *parser.Request) bool
		// MaxConns is the greatest number of connections; 0 if there is none. For a
		// further one, that which has been idle longest is closed. If none is idle,
		// the further one is not read until one ends.
		MaxConns int
		Log      logrus.FieldLogger

		draining atomic.Bool
		closed   atomic.Bool // set with mu held
		active   atomic.Int64
		// responseBytes is the mean size of recent responses.
		responseBytes atomic.Int64
		mu            sync.Mutex
		conns         map[*conn]struct{}
		listener      net.Listener
	}
)

// Run accepts connections until the context is cancelled or the listener fails.
func (a *Acceptor) Run(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	a.mu.Lock()
	a.listener = listener
	a.mu.Unlock()
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || a.closed.Load() {
				return nil
			}
			if isTransient(err) {
				a.Log.WithError(err).Warn("cannot accept connection; retrying")
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return fmt.Errorf("accept connection: %w", err)
		}
		if !a.makeRoom(ctx) {
			_ = nc.Close()
			return nil
		}
		c := newConn(ctx, a, nc)
		if !a.add(c) {
			c.cancel(nil)
			_ = nc.Close()
			return nil
		}
		go func() {
			defer a.remove(c)
			c.serve()
		}()
	}
}

// makeRoom waits until a further connection may be served. It returns false if the acceptor
// closes.
func (a *Acceptor) makeRoom(ctx context.Context) bool {
	for !a.hasRoom() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(closePollInterval):
		}
		if a.closed.Load() {
			return false
		}
	}
	return true
}

// hasRoom reports whether a further connection may be served, for which it closes one if
// necessary.
func (a *Acceptor) hasRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.MaxConns == 0 || len(a.conns) < a.MaxConns {
		return true
	}
	var idlest *conn
	var since time.Time
	for c := range a.conns {
		if at, idle := c.idleFrom(); idle && (idlest == nil || at.Before(since)) {
			idlest, since = c, at
		}
	}
	if idlest == nil || !idlest.closeIfIdle() {
		return false
	}
	delete(a.conns, idlest)
	return true
}

// Drain starts a graceful shutdown: each connection is closed after its next
// response that leaves no request outstanding.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
}

// ActiveRequests returns the number of requests whose response has not been
// written.
func (a *Acceptor) ActiveRequests() int {
	return int(a.active.Load())
}

// ConnCount returns the number of connections.
func (a *Acceptor) ConnCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// Close accepts no further connections and requests, and closes connections as soon
// as the requests that have been read on them are answered. At breakOff it cancels the
// requests that are left, with ErrStopping, and at end it closes the connections whose
// responses have not been written by then.
func (a *Acceptor) Close(breakOff, end time.Time) {
	a.Drain()
	a.mu.Lock()
	a.closed.Store(true)
	if a.listener != nil {
		_ = a.listener.Close()
	}
	a.mu.Unlock()
	a.closeIdleUntil(breakOff)
	a.eachConn(func(c *conn) { c.cancel(ErrStopping) })
	a.closeIdleUntil(end)
	a.eachConn(func(c *conn) { _ = c.nc.Close() })
}

// closeIdleUntil closes connections that are or become idle, until there are no
// others or the time has come.
func (a *Acceptor) closeIdleUntil(end time.Time) {
	for time.Now().Before(end) && a.closeIdle() > 0 {
		time.Sleep(closePollInterval)
	}
}

func (a *Acceptor) eachConn(do func(c *conn)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		do(c)
	}
}

// closeIdle closes the connections on which no request waits for its response. It
// returns the number of the others.
func (a *Acceptor) closeIdle() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	busy := 0
	for c := range a.conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// add registers a connection. It returns false if the acceptor has been closed, which
// looks only for registered connections.
func (a *Acceptor) add(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed.Load() {
		return false
	}
	if a.conns == nil {
		a.conns = make(map[*conn]struct{})
	}
	a.conns[c] = struct{}{}
	return true
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

func isTransient(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && !errors.Is(err, net.ErrClosed)
}
