package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/parser"
)

type (
	// A conn is one connection of a caller: run reads requests, write returns
	// answers in their order.
	conn struct {
		acceptor *Acceptor
		nc       net.Conn
		br       *bufio.Reader
		queue    chan *exchange
		last     *exchange // the request read last
		cancel   context.CancelFunc

		mu       sync.Mutex
		waiting  int           // requests without answer
		reading  time.Time     // deadline of the message being read; zero: none is
		idleFrom time.Time     // when the last answer was written
		idle     time.Duration // how long the caller may reuse the connection
		closing  bool          // an answer that closes the connection was written
	}

	// An exchange is one request and its answer.
	exchange struct {
		request *Request
		answer  chan *Response // receives one answer, possibly nil
		written chan struct{}  // closed once the answer is written
	}
)

func newConn(a *Acceptor, nc net.Conn) *conn {
	return &conn{
		acceptor: a,
		nc:       nc,
		br:       bufio.NewReaderSize(nc, bufferBytes),
		queue:    make(chan *exchange, pipelineDepth),
		idleFrom: time.Now(),
		idle:     a.Limits().IdleTimeout,
	}
}

func (c *conn) run(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	defer c.nc.Close()
	defer c.cancel()
	var wg sync.WaitGroup
	wg.Go(c.write)
	for c.readOne(ctx) {
	}
	if !c.isClosing() {
		c.cancel()
	}
	close(c.queue)
	wg.Wait()
	c.linger()
}

// readOne reads one request and starts to serve it. It reports false when
// nothing more is to be read.
func (c *conn) readOne(ctx context.Context) bool {
	if !c.await() {
		return false
	}
	limits := c.acceptor.Limits()
	c.setReading(time.Now().Add(limits.HeaderTimeout))
	head, err := parser.ReadHead(c.br, limits.HeaderBytes)
	if err != nil {
		return c.refuse(err, http.StatusRequestHeaderFieldsTooLarge)
	}
	request, err := parser.ParseRequest(head)
	if err != nil {
		return c.refuse(err, 0)
	}
	c.setReading(time.Now().Add(bodyTimeout))
	if request.Continue && request.Framing.Kind != parser.NoBody {
		c.sendContinue()
	}
	body, err := parser.ReadBody(c.br, request.Framing, limits.BodyBytes)
	if err != nil {
		return c.refuse(err, http.StatusRequestEntityTooLarge)
	}
	c.setReading(time.Time{})
	if c.isClosing() {
		return false
	}
	c.start(ctx, &Request{Request: request, Body: body, Received: time.Now()})
	return request.KeepAlive || c.watch()
}

// watch keeps reading after a caller's last request, to notice that it leaves.
func (c *conn) watch() bool {
	_, _ = io.Copy(io.Discard, c.br)
	return false
}

// await waits for the first byte of a request.
func (c *conn) await() bool {
	for {
		c.arm()
		_, err := c.br.Peek(1)
		switch {
		case err == nil:
			return !c.isClosing()
		case !isTimeout(err) || c.isExpired():
			return false
		}
	}
}

func (c *conn) start(ctx context.Context, r *Request) {
	e := &exchange{request: r, answer: make(chan *Response, 1), written: make(chan struct{})}
	previous := c.last
	c.last = e
	c.mu.Lock()
	c.waiting++
	c.mu.Unlock()
	c.acceptor.active.Add(1)
	c.queue <- e
	go func() {
		if previous != nil && !isSafe(r.Method) {
			select {
			case <-previous.written:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			e.answer <- nil
			return
		}
		e.answer <- c.acceptor.Serve(ctx, r)
	}()
}

// refuse answers a message that cannot be read to its end, and ends the
// connection. Nobody is left to answer if the connection has ended.
func (c *conn) refuse(err error, tooLarge int) bool {
	var status int
	switch {
	case errors.Is(err, parser.ErrTooLarge):
		status = tooLarge
	case errors.Is(err, parser.ErrMalformed):
		status = http.StatusBadRequest
	case isTimeout(err):
		status = http.StatusRequestTimeout
	default:
		return false
	}
	e := &exchange{answer: make(chan *Response, 1), written: make(chan struct{})}
	response := c.acceptor.Refuse(status, err.Error())
	response.Close = true
	e.answer <- response
	c.mu.Lock()
	c.waiting++
	c.mu.Unlock()
	c.acceptor.active.Add(1)
	c.queue <- e
	<-e.written
	return false
}

// write returns answers until the queue ends.
func (c *conn) write() {
	bw := bufio.NewWriterSize(c.nc, bufferBytes)
	broken := false
	for e := range c.queue {
		response := <-e.answer
		if !broken {
			broken = !c.writeOne(bw, e, response)
		}
		close(e.written)
		c.acceptor.active.Add(-1)
		if broken {
			c.cancel()
		}
	}
}

// writeOne reports false if nothing more may be written.
func (c *conn) writeOne(bw *bufio.Writer, e *exchange, response *Response) bool {
	if response == nil {
		_ = c.nc.Close()
		return false
	}
	method := ""
	closing := response.Close
	if e.request != nil {
		method = e.request.Method
		closing = closing || !e.request.KeepAlive || c.mayClose()
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	parser.WriteResponse(bw, method, response.Status, response.Fields, response.Body, closing)
	if closing {
		c.setClosing()
	}
	if err := bw.Flush(); err != nil {
		_ = c.nc.Close()
		return false
	}
	if closing {
		c.closeWrite()
		return false
	}
	c.answered()
	return true
}

// mayClose tells whether the connection can end now without leaving a request
// behind that was already started.
func (c *conn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acceptor.leaving.Load() && c.waiting == 1 && c.reading.IsZero()
}

func (c *conn) answered() {
	idle := c.acceptor.Limits().IdleTimeout
	c.mu.Lock()
	c.waiting--
	c.idleFrom = time.Now()
	c.idle = idle
	c.mu.Unlock()
	c.arm()
}

// closeWrite tells the caller that no answer follows. What it has sent
// meanwhile is read and dropped by linger.
func (c *conn) closeWrite() {
	if tcp, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (c *conn) linger() {
	if c.isClosing() {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.nc)
	}
}

func (c *conn) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == 0 {
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

func (c *conn) setReading(deadline time.Time) {
	c.mu.Lock()
	c.reading = deadline
	c.mu.Unlock()
	c.arm()
}

func (c *conn) setClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// arm sets the deadline for reading that goes with the connection's state.
func (c *conn) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
	case !c.reading.IsZero():
		_ = c.nc.SetReadDeadline(c.reading)
	case c.waiting > 0:
		_ = c.nc.SetReadDeadline(time.Time{})
	default:
		_ = c.nc.SetReadDeadline(c.idleDeadline())
	}
}

// idleDeadline follows a longer limit that came into force meanwhile, but not
// a shorter one, which the caller cannot know.
func (c *conn) idleDeadline() time.Time {
	return c.idleFrom.Add(max(c.idle, c.acceptor.Limits().IdleTimeout))
}

func (c *conn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.waiting == 0 && !time.Now().Before(c.idleDeadline())
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
