// Package acceptor serves the HTTP/1.1 connections of callers.
//
// It guarantees that answers leave in the order of their requests, that an
// answer is written whole or its connection ends early, and that the context
// of a request ends as soon as its caller closes the connection, also when
// further requests lie behind it unread.
//
// # Usage
//
//	a := &acceptor.Acceptor{Limits: limits, Serve: serve, Log: log}
//	err := a.Run(ctx, listener)
//
// Requests that were sent behind others run at the same time, unless their
// method is unsafe: such a request begins only after all answers before it
// have been written, because a caller sends it again if one of them closes the
// connection. A connection costs two goroutines and its buffers.
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
	"apricotrudder.dev/apricotd/version/resolver"
)

const (
	// writeTimeout bounds how long a caller may take to accept one answer.
	writeTimeout = 20 * time.Second
	// bodyTimeout bounds how long a caller may take to send one body.
	bodyTimeout = 30 * time.Second
	// lingerTimeout is how long a closed connection still reads what its
	// caller had under way, since a reset would destroy the last answer.
	lingerTimeout = 500 * time.Millisecond
	// pipelineDepth bounds the requests of one connection that wait for their
	// answers; beyond it the connection is not read.
	pipelineDepth = 64
	bufferBytes   = 4 << 10
)

type (
	// A Request is one request with its whole body.
	Request struct {
		*parser.Request
		Body     []byte
		Received time.Time // when its last byte was read
	}

	// A Response is one answer with its whole body.
	Response struct {
		Status int
		Fields parser.Fields
		Body   []byte
		// Close ends the connection after the answer.
		Close bool
	}

	// An Acceptor serves connections. Its exported fields must be set before
	// Run.
	Acceptor struct {
		// Limits returns the limits in force.
		Limits func() resolver.Limits
		// Serve answers one request; a nil response ends the connection.
		Serve func(ctx context.Context, r *Request) *Response
		// Refuse returns the answer to a message that cannot be served.
		Refuse func(status int, detail string) *Response
		Log    logrus.FieldLogger

		leaving atomic.Bool
		active  atomic.Int64
		mu      sync.Mutex
		conns   map[*conn]struct{}
	}
)

// Run accepts connections until the context ends or the listener fails.
func (a *Acceptor) Run(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		nc, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if isTransient(err) {
				a.Log.WithError(err).Warn("connection not accepted")
				time.Sleep(10 * time.Millisecond)
				continue
			}
			return fmt.Errorf("accept connection: %w", err)
		}
		c := newConn(a, nc)
		a.add(c)
		go func() {
			defer a.remove(c)
			c.run(ctx)
		}()
	}
}

// Leave makes every connection close after its next answer.
func (a *Acceptor) Leave() {
	a.leaving.Store(true)
}

// Active returns the number of requests that have no answer yet.
func (a *Acceptor) Active() int {
	return int(a.active.Load())
}

// Close ends all connections at once.
func (a *Acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.nc.Close()
	}
}

func (a *Acceptor) add(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = make(map[*conn]struct{})
	}
	a.conns[c] = struct{}{}
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
