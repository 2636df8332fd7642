package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/parser"
)

type (
	// A conn is one connection to the backend server. Its read goroutine also
	// reads while the connection is idle, to detect unsolicited data.
	conn struct {
		nc        net.Conn
		br        *bufio.Reader
		idField   string
		memory    parser.Memory
		idleSince time.Time
		idleLimit time.Duration

		mu          sync.Mutex
		call        *Call
		result      chan callResult
		requestSent bool     // the request has been written completely
		answered    []string // ids of the last calls that were answered
		closed      bool
	}

	callResult struct {
		response Response
		err      error
		reusable bool
	}
)

var (
	errUnsolicited = errors.New("backend server sent bytes that belong to no request")
	errBusy        = errors.New("connection is closed or in use")
	errDiscarded   = errors.New("connection discarded")
)

func newConn(nc net.Conn, idField string, memory parser.Memory) *conn {
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, bufferBytes), idField: idField, memory: memory, idleLimit: maxIdleTime}
}

// begin makes call the request in flight on the connection and returns the
// channel that receives its result.
func (c *conn) begin(call *Call) (<-chan callResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.call != nil {
		return nil, errBusy
	}
	c.call = call
	c.result = make(chan callResult, 1)
	c.requestSent = false
	return c.result, nil
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
	c.requestSent = true
	return nil
}

// read delivers the results of calls until the connection is closed.
func (c *conn) read() {
	for {
		if _, err := c.br.Peek(1); err != nil {
			c.close(fmt.Errorf("read answer: %w", err))
			return
		}
		call := c.currentCall()
		if call == nil {
			c.close(errUnsolicited)
			return
		}
		got, err := c.readResponse(call)
		if err != nil {
			c.close(err)
			return
		}
		if !c.deliver(got) {
			return
		}
	}
}

// readResponse reads the response to the call. It skips responses that carry
// the id of another request.
func (c *conn) readResponse(call *Call) (callResult, error) {
	c.mu.Lock()
	answered := c.answered
	c.mu.Unlock()
	for range maxMismatchedResponses {
		response, body, receivedAt, err := c.readMessage(call.Method)
		if err != nil {
			return callResult{}, err
		}
		id := response.Fields.Get(c.idField)
		if isForOther(call, id, answered) {
			if id == "" || !response.KeepAlive {
				return callResult{}, errors.Errorf("got an answer with id %q, want %q", id, call.ID)
			}
			continue
		}
		c.setIdleLimit(response.Fields)
		return callResult{
			response: Response{Status: response.Status, Fields: response.Fields, Body: body, ReceivedAt: receivedAt},
			reusable: response.KeepAlive,
		}, nil
	}
	return callResult{}, errUnsolicited
}

// isForOther reports whether a response with an id belongs to another request than
// call. A call without an id accepts any response but a late one to an earlier call.
func isForOther(call *Call, id string, answered []string) bool {
	if call.ID != "" {
		return id != call.ID
	}
	return id != "" && slices.Contains(answered, id)
}

// readMessage reads one final response and returns when its head arrived. It
// skips interim (1xx) responses.
func (c *conn) readMessage(method string) (response *parser.Response, body []byte, receivedAt time.Time, err error) {
	for range 1 + maxInterimResponses {
		head, err := parser.ReadHead(c.br, maxHeadBytes)
		if err != nil {
			return nil, nil, time.Time{}, err
		}
		receivedAt := time.Now()
		response, err := parser.ParseResponse(head, method)
		if err != nil {
			return nil, nil, time.Time{}, err
		}
		if response.Status < 200 {
			continue
		}
		body, err := parser.ReadBody(c.br, response.Framing, maxBodyBytes, c.memory)
		if err != nil {
			return nil, nil, time.Time{}, err
		}
		return response, body, receivedAt, nil
	}
	return nil, nil, time.Time{}, errors.New("too many interim responses")
}

// deliver ends the call in flight with a result. It returns false if the
// connection must not be reused.
func (c *conn) deliver(got callResult) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.br.Buffered() > 0 || !c.requestSent || c.closed {
		got.reusable = false
	}
	if c.call != nil && c.call.ID != "" {
		c.answered = append(c.answered[max(0, len(c.answered)-maxAnswered+1):], c.call.ID)
	}
	c.call = nil
	c.result <- got
	return got.reusable
}

func (c *conn) currentCall() *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call
}

// close closes the connection and ends the call in flight, if any, with err.
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
		c.result <- callResult{err: err}
	}
}

func (c *conn) isUsable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// setIdleLimit applies the timeout of the response's Keep-Alive field.
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
