package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/catcher"
	"apricotrudder.dev/apricotd/internal/process/reserver"
)

type (
	// A conn is one client connection. serve reads the requests and
	// writeResponses writes the responses in request order.
	conn struct {
		acceptor *Acceptor
		nc       net.Conn
		br       *bufio.Reader
		pipeline chan *exchange // in request order
		last     chan struct{}  // written of the most recently read request
		held     atomic.Int64   // bytes that its requests and their responses occupy
		running  atomic.Int64   // requests that have no response yet
		// responseBytes is the largest recent response.
		responseBytes atomic.Int64
		freed         chan struct{}   // receives after a response has been written
		ctx           context.Context // of the requests
		cancel        context.CancelCauseFunc

		mu           sync.Mutex
		pending      int           // requests without a written response
		readDeadline time.Time     // for the message being read; zero if there is none
		idleSince    time.Time     // when the last response was written
		idleTimeout  time.Duration // in force when the last response was written
		closing      bool          // no further request is accepted
		peeking      bool          // the read deadline is that of hasEnded
	}

	// An exchange is one request and its response.
	exchange struct {
		request  *Request       // nil if the message could not be parsed
		tab      *reserver.Tab  // of the request and its response
		response chan *Response // receives one response, possibly nil
		written  chan struct{}  // closed after the response was written or dropped
	}
)

func newConn(ctx context.Context, a *Acceptor, nc net.Conn) *conn {
	ctx, cancel := context.WithCancelCause(ctx)
	return &conn{
		ctx:         ctx,
		cancel:      cancel,
		acceptor:    a,
		nc:          nc,
		br:          bufio.NewReaderSize(nc, bufferBytes),
		pipeline:    make(chan *exchange, pipelineDepth),
		freed:       make(chan struct{}, 1),
		idleSince:   time.Now(),
		idleTimeout: a.Limits().IdleTimeout,
	}
}

func (c *conn) serve() {
	defer c.nc.Close()
	defer c.cancel(nil)
	var wg sync.WaitGroup
	wg.Go(c.writeResponses)
	for c.readRequest() {
	}
	if !c.isClosing() {
		c.cancel(nil)
	}
	close(c.pipeline)
	wg.Wait()
	c.linger()
}

// readRequest reads one request and starts its handler. It returns false if the
// connection must not be read any further.
func (c *conn) readRequest() bool {
	if !c.waitForRequest() || !c.waitForShare() {
		return false
	}
	tab := c.acceptor.Memory.Open(&c.held)
	request, err := c.receive(tab)
	if err != nil {
		tab.Close()
		return c.reject(err)
	}
	c.setReadDeadline(time.Time{})
	if !c.begin() {
		tab.Close()
		return false
	}
	c.startRequest(request, tab)
	return request.KeepAlive || c.discardUntilClose()
}

// receive reads one request. What it occupies is on the tab.
func (c *conn) receive(tab *reserver.Tab) (*Request, error) {
	limits := c.acceptor.Limits()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, reserved, err := c.receiveHead(tab, limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	c.setReadDeadline(time.Now().Add(bodyTimeout))
	body, err := c.receiveBody(request, tab, limits.BodyBytes, reserved)
	if err != nil {
		return nil, err
	}
	return &Request{Request: request, Body: body, Received: time.Now()}, nil
}

// begin counts a request that has been read. It returns false if the connection is
// being closed and no response will be written.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	return true
}

// closeIfIdle closes the connection unless a request waits for its response or the
// client may still have to read the last one.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return false
	}
	c.closing = true
	_ = c.nc.Close()
	return true
}

// idleFrom returns since when the connection has neither been reading a request nor had
// one that waits for its response, if so.
func (c *conn) idleFrom() (at time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.pending == 0 && c.readDeadline.IsZero() && !c.closing
}

// discardUntilClose reads and drops input after the last request, so that the
// request is cancelled when the client closes the connection.
func (c *conn) discardUntilClose() bool {
	_, _ = io.Copy(io.Discard, c.br)
	return false
}

// waitForRequest waits for the first byte of a request. It returns false if the
// connection failed, expired or is closing.
func (c *conn) waitForRequest() bool {
	for {
		c.applyReadDeadline()
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			return !c.isClosing()
		case !isTimeout(err) || c.isIdleExpired():
			return false
		}
	}
}

func (c *conn) startRequest(r *Request, tab *reserver.Tab) {
	e := &exchange{request: r, tab: tab, response: make(chan *Response, 1), written: make(chan struct{})}
	previous := c.last
	c.last = e.written
	c.acceptor.active.Add(1)
	c.running.Add(1)
	c.pipeline <- e
	go func() {
		if previous != nil && !isSafe(r.Method) {
			select {
			case <-previous:
			case <-c.ctx.Done():
			}
		}
		response := c.serveRequest(r, tab)
		c.recordResponse(response)
		e.response <- response
	}()
}

// serveRequest calls the acceptor's Serve, unless the context has ended before. After
// a panic the request may have run.
func (c *conn) serveRequest(r *Request, tab *reserver.Tab) (response *Response) {
	if c.ctx.Err() != nil {
		if errors.Is(context.Cause(c.ctx), ErrStopping) {
			return c.acceptor.ErrorResponse(http.StatusServiceUnavailable, "stopping")
		}
		return nil
	}
	defer catcher.Catch(c.acceptor.Log, "serve request", func() {
		response = c.acceptor.ErrorResponse(http.StatusBadGateway, "internal")
	})
	return c.acceptor.Serve(reserver.NewContext(c.ctx, tab), r)
}

// reject sends an error response to a message that could not be read and closes
// the connection. It sends nothing if the connection itself failed.
func (c *conn) reject(err error) bool {
	var status int
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, parser.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, parser.ErrNoMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, parser.ErrMalformed):
		status = http.StatusBadRequest
	case isTimeout(err):
		status = http.StatusRequestTimeout
	default:
		return false
	}
	e := &exchange{response: make(chan *Response, 1), written: make(chan struct{})}
	response := c.acceptor.ErrorResponse(status, err.Error())
	response.Close = true
	if status == http.StatusServiceUnavailable {
		response.Fields = append(response.Fields, parser.Field{Name: "Retry-After", Value: retryAfter()})
	}
	e.response <- response
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	c.acceptor.active.Add(1)
	c.pipeline <- e
	<-e.written
	return false
}

// writeResponses writes the responses in request order until the pipeline is
// closed. After a failure it drains the pipeline without writing.
func (c *conn) writeResponses() {
	bw := bufio.NewWriterSize(c.nc, bufferBytes)
	failed := false
	for e := range c.pipeline {
		response := <-e.response
		if !failed {
			failed = !c.writeResponse(bw, e, response)
		}
		if failed {
			c.cancel(nil) // before an unsafe request that waits for e starts
		}
		e.tab.Close()
		close(e.written)
		c.signalFreed()
		c.acceptor.active.Add(-1)
	}
}

// writeResponse returns false if nothing more may be written.
func (c *conn) writeResponse(bw *bufio.Writer, e *exchange, response *Response) bool {
	if response == nil {
		_ = c.nc.Close()
		return false
	}
	method := ""
	if e.request != nil {
		method = e.request.Method
	}
	closing := c.closesAfter(e, response)
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	parser.WriteResponse(bw, method, response.Status, response.Fields, response.Body, closing)
	if err := bw.Flush(); err != nil {
		_ = c.nc.Close()
		return false
	}
	if closing {
		c.closeWrite()
		return false
	}
	c.responseWritten()
	return true
}

// closesAfter reports whether a response closes the connection. If so, no further
// request is accepted from then on, because writing the response may take long. A
// connection that closes because the acceptor is shutting down must have no other
// request that has started or, until Close, is being read.
func (c *conn) closesAfter(e *exchange, response *Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || response.Close || e.request != nil && !e.request.KeepAlive ||
		c.acceptor.draining.Load() && c.pending == 1 && (c.readDeadline.IsZero() || c.acceptor.closed.Load())
	return c.closing
}

func (c *conn) responseWritten() {
	idleTimeout := c.acceptor.Limits().IdleTimeout
	c.mu.Lock()
	c.pending--
	c.idleSince = time.Now()
	c.idleTimeout = idleTimeout
	c.mu.Unlock()
	c.applyReadDeadline()
}

// closeWrite closes the sending side of the connection, which tells the client
// that no response follows. linger discards what the client still sends.
func (c *conn) closeWrite() {
	if tcp, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// linger discards input after the last response; see lingerTimeout.
func (c *conn) linger() {
	if c.isClosing() {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.nc)
	}
}

func (c *conn) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	c.readDeadline = deadline
	c.mu.Unlock()
	c.applyReadDeadline()
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// applyReadDeadline sets the read deadline of the connection for its current
// state: reading a message, waiting for responses, or idle.
func (c *conn) applyReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing || c.peeking:
	case !c.readDeadline.IsZero():
		_ = c.nc.SetReadDeadline(c.readDeadline)
	case c.pending > 0:
		_ = c.nc.SetReadDeadline(time.Time{})
	default:
		_ = c.nc.SetReadDeadline(c.idleDeadline())
	}
}

// idleDeadline returns the time at which the idle connection expires. If the
// idle timeout was raised since the last response, the new value applies; if it
// was lowered, the old one does, because the client cannot know the new one.
func (c *conn) idleDeadline() time.Time {
	return c.idleSince.Add(max(c.idleTimeout, c.acceptor.Limits().IdleTimeout))
}

func (c *conn) isIdleExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.pending == 0 && !time.Now().Before(c.idleDeadline())
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
