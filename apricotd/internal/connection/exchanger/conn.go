package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/reserver"
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
		carried     []uint64 // hashes of the ids of all calls
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

	hashSeed = maphash.MakeSeed()
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
	c.carried = append(c.carried, hashOf(call.ID))
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
	for range maxMismatchedResponses {
		response, body, receivedAt, err := c.readMessage(call)
		if err != nil {
			return callResult{}, err
		}
		id := response.Fields.Get(c.idField)
		if c.isForOther(call, id) {
			if id == "" || !response.KeepAlive {
				return callResult{}, errors.Errorf("got an answer with id %q, want %q", id, call.ID)
			}
			continue
		}
		if response.HasUnacceptedCoding(call.Fields) {
			return callResult{}, errors.Errorf("got an answer with content coding %q, which the request does not accept", response.Fields.Get("Content-Encoding"))
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
func (c *conn) isForOther(call *Call, id string) bool {
	if call.ID != "" {
		return id != call.ID
	}
	return id != "" && c.hasCarried(id)
}

// hasCarried reports whether the connection has carried a call with an id. It must
// not carry another one: a late copy of the response to the first could not be told
// from the response to the second.
func (c *conn) hasCarried(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.carried, hashOf(id))
}

func hashOf(id string) uint64 { return maphash.String(hashSeed, id) }

// readMessage reads one final response and returns when its head arrived. It
// skips interim (1xx) responses.
func (c *conn) readMessage(call *Call) (response *parser.Response, body []byte, receivedAt time.Time, err error) {
	for range 1 + maxInterimResponses {
		head, err := parser.ReadHead(c.br, maxHeadBytes)
		if err != nil {
			return nil, nil, time.Time{}, err
		}
		receivedAt := time.Now()
		response, err := parser.ParseResponse(head, call.Method)
		if err != nil {
			return nil, nil, time.Time{}, err
		}
		if response.Status < 200 {
			continue
		}
		held := headCopies*len(head) + len(response.Fields)*reserver.FieldBytes
		isSmall := call.tab != nil && response.Framing.Kind == parser.FixedLength && response.Framing.Length <= smallBodyBytes
		if isSmall {
			held += int(response.Framing.Length)
		}
		if !call.tab.Reserve(held, reserver.Small) {
			return nil, nil, time.Time{}, fmt.Errorf("hold head of response: %w", parser.ErrNoMemory)
		}
		if isSmall {
			body, err := parser.ReadFixed(c.br, response.Framing.Length)
			return response, body, receivedAt, err
		}
		body, err := parser.ReadBody(c.br, response.Framing, maxBodyBytes, c.memoryFor(call))
		if err != nil {
			return nil, nil, time.Time{}, err
		}
		return response, body, receivedAt, nil
	}
	return nil, nil, time.Time{}, errors.New("too many interim responses")
}

// memoryFor returns the memory for the body of the response to a call.
func (c *conn) memoryFor(call *Call) parser.Memory {
	if call.tab == nil {
		return c.memory
	}
	return &reserver.Memory{Tab: call.tab, First: reserver.Small, Rest: reserver.Response, Wait: memoryWait, Context: call.ctx}
}

// deliver ends the call in flight with a result. It returns false if the
// connection must not be reused.
func (c *conn) deliver(got callResult) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.br.Buffered() > 0 || !c.requestSent || c.closed || len(c.carried) >= maxCallsPerConn {
		got.reusable = false
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
			c.idleLimit = converter.Seconds(float64(n)) - keepAliveMargin
		}
	}
}
