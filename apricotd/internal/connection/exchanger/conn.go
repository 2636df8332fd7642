package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/parser"
)

type (
	// A conn is one connection to the backend server. Its read goroutine sees
	// every byte that arrives, so bytes that no request asked for are noticed
	// while the connection is idle.
	conn struct {
		nc        net.Conn
		br        *bufio.Reader
		idField   string
		idleSince time.Time
		idleLimit time.Duration

		mu     sync.Mutex
		call   *Call
		answer chan received
		sent   bool // the whole request has been written
		closed bool
	}

	received struct {
		answer   Answered
		err      error
		reusable bool
	}
)

var (
	errUnexpected = errors.New("backend server sent bytes that belong to no request")
	errBusy       = errors.New("connection is closed or in use")
	errSpent      = errors.New("connection is not used any more")
)

func newConn(nc net.Conn, idField string) *conn {
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, bufferBytes), idField: idField, idleLimit: reuseIdle}
}

// begin makes the connection expect the answer to a call.
func (c *conn) begin(call *Call) (<-chan received, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.call != nil {
		return nil, errBusy
	}
	c.call = call
	c.answer = make(chan received, 1)
	c.sent = false
	return c.answer, nil
}

func (c *conn) send(ctx context.Context, call *Call) error {
	deadline := time.Now().Add(writeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	_ = c.nc.SetWriteDeadline(deadline)
	bw := bufio.NewWriterSize(c.nc, bufferBytes)
	parser.WriteRequest(bw, call.Method, call.Target, call.Host, call.Fields, call.Body)
	if err := bw.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = true
	return nil
}

// read delivers answers until the connection ends.
func (c *conn) read() {
	for {
		if _, err := c.br.Peek(1); err != nil {
			c.close(fmt.Errorf("read answer: %w", err))
			return
		}
		call := c.current()
		if call == nil {
			c.close(errUnexpected)
			return
		}
		got, err := c.readAnswer(call)
		if err != nil {
			c.close(err)
			return
		}
		if !c.deliver(got) {
			return
		}
	}
}

// readAnswer reads the answer to the call and skips those to other requests.
func (c *conn) readAnswer(call *Call) (received, error) {
	for range maxForeign {
		response, body, err := c.readMessage(call.Method)
		if err != nil {
			return received{}, err
		}
		id := response.Fields.Get(c.idField)
		if call.ID != "" && id != call.ID {
			if id == "" || !response.KeepAlive {
				return received{}, errors.Errorf("got an answer with id %q, want %q", id, call.ID)
			}
			continue
		}
		c.setIdleLimit(response.Fields)
		return received{
			answer:   Answered{Status: response.Status, Fields: response.Fields, Body: body},
			reusable: response.KeepAlive,
		}, nil
	}
	return received{}, errUnexpected
}

// readMessage reads one final response.
func (c *conn) readMessage(method string) (*parser.Response, []byte, error) {
	for {
		head, err := parser.ReadHead(c.br, headBytes)
		if err != nil {
			return nil, nil, err
		}
		response, err := parser.ParseResponse(head, method)
		if err != nil {
			return nil, nil, err
		}
		if response.Status < 200 {
			continue
		}
		body, err := parser.ReadBody(c.br, response.Framing, bodyBytes)
		if err != nil {
			return nil, nil, err
		}
		return response, body, nil
	}
}

// deliver hands an answer to the waiting call. It reports false if the
// connection cannot be used again.
func (c *conn) deliver(got received) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.br.Buffered() > 0 || !c.sent || c.closed {
		got.reusable = false
	}
	c.call = nil
	c.answer <- got
	return got.reusable
}

func (c *conn) current() *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call
}

// close ends the connection and the call that waits on it.
func (c *conn) close(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	_ = c.nc.Close()
	if c.call != nil {
		c.call = nil
		c.answer <- received{err: err}
	}
}

func (c *conn) isUsable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// setIdleLimit follows the time that the server states for idle connections.
func (c *conn) setIdleLimit(fields parser.Fields) {
	for part := range strings.SplitSeq(fields.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idleLimit = time.Duration(n)*time.Second - keepAliveMargin
		}
	}
}
