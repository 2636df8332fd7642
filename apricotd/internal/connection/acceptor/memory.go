package acceptor

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/reserver"
)

const (
	// memoryWait is how long a request waits, unread, for memory before it is refused.
	memoryWait = 300 * time.Millisecond
	// noMemoryRetryAfter is the least retry delay of a request for which no memory is
	// left, in seconds, and the greatest addition to it, so that callers do not retry at
	// the same time.
	noMemoryRetryAfter = 0.5
	// shareDivisor is the divisor of the free memory up to which the requests of one
	// connection may occupy memory before it is read on. Shares that shrink with the
	// free memory leave some of it to further connections.
	shareDivisor = 32
	// minShareBytes is the least share of a connection.
	minShareBytes = 64 << 10
	// sharePollInterval is how often a connection above its share looks for memory that
	// others have released, and for its end.
	sharePollInterval = 100 * time.Millisecond
	// peekTime is how long one look for the end of a connection takes at most.
	peekTime = time.Millisecond
	// responseSmoothing is the number of responses after which the expected size of
	// responses has mostly followed a change.
	responseSmoothing = 16
	// headCopies is the number of copies of a head: its buffer and the parsed text.
	headCopies = 2
	// fieldSyntaxBytes is what a header field has besides its name and value.
	fieldSyntaxBytes = len(": \r\n")
)

// errHeadTooLarge tells heads from bodies that are larger than allowed.
var errHeadTooLarge = errors.New("head is larger than allowed")

// receiveHead reads the head of a request. Unless it is in the buffer of the connection,
// memory for the longest head is reserved before. reserved is what the tab holds afterwards.
func (c *conn) receiveHead(tab *reserver.Tab, limit int) (request *parser.Request, reserved int, err error) {
	if !c.isHeadBuffered() {
		reserved = headCopies * limit
	}
	if reserved > 0 && !tab.ReserveWithin(c.ctx, reserved, reserver.Unrepeatable, memoryWait) {
		return nil, 0, fmt.Errorf("read head: %w", parser.ErrNoMemory)
	}
	head, err := parser.ReadHead(c.br, limit)
	if errors.Is(err, parser.ErrTooLarge) {
		return nil, 0, fmt.Errorf("%w: %w", errHeadTooLarge, err)
	}
	if err != nil {
		return nil, 0, err
	}
	request, err = parser.ParseRequest(head)
	return request, reserved, err
}

// isHeadBuffered reports whether the buffer of the connection has a complete head, after
// empty lines that do not count.
func (c *conn) isHeadBuffered() bool {
	buffered, _ := c.br.Peek(c.br.Buffered())
	return bytes.Contains(bytes.TrimLeft(buffered, "\r\n"), []byte("\r\n\r\n"))
}

// headBytes returns what the head of a request occupies, and the request itself.
func headBytes(r *parser.Request) int {
	n := len(r.Method) + len(r.Target)
	for i := range r.Fields {
		n += len(r.Fields[i].Name) + len(r.Fields[i].Value) + fieldSyntaxBytes
	}
	return reserver.ExchangeBytes + headCopies*n + len(r.Fields)*reserver.FieldBytes
}

// receiveBody reads the body of a request. Memory for the head, and for a body of stated
// length, is reserved before the body is read; reservedForHead is released.
func (c *conn) receiveBody(r *parser.Request, tab *reserver.Tab, limit int64, reservedForHead int) ([]byte, error) {
	if r.Framing.Length > limit {
		return nil, fmt.Errorf("read body of %d bytes: %w", r.Framing.Length, parser.ErrTooLarge)
	}
	if reservedForHead > 0 {
		tab.Release(reservedForHead, reserver.Unrepeatable)
	}
	if !c.reserve(tab, headBytes(r)+int(r.Framing.Length), r) {
		return nil, fmt.Errorf("read body of %d bytes: %w", r.Framing.Length, parser.ErrNoMemory)
	}
	if r.Framing.Kind == parser.NoBody {
		return nil, nil
	}
	if r.Continue {
		c.sendContinue()
	}
	if r.Framing.Kind == parser.FixedLength {
		return parser.ReadFixed(c.br, r.Framing.Length)
	}
	// A body without a length has been read in part when it is found to be long.
	return parser.ReadBody(c.br, r.Framing, limit, &reserver.Memory{Tab: tab, First: c.class(r), Rest: reserver.Unrepeatable})
}

// reserve reserves n bytes for a request, and waits for them if necessary.
func (c *conn) reserve(tab *reserver.Tab, n int, r *parser.Request) bool {
	if tab.TryReserve(n, reserver.Repeatable) {
		return true
	}
	return tab.ReserveWithin(c.ctx, n, c.class(r), memoryWait)
}

func (c *conn) class(r *parser.Request) reserver.Class {
	if c.acceptor.IsRefusedLast != nil && c.acceptor.IsRefusedLast(r) {
		return reserver.Unrepeatable
	}
	return reserver.Repeatable
}

// waitForShare waits until the requests of the connection occupy no more than its
// share. It returns false if the connection ends or is closing.
func (c *conn) waitForShare() bool {
	if c.acceptor.Memory == nil || !c.isAboveShare() {
		return true
	}
	for !c.isClosing() && c.isAboveShare() {
		select {
		case <-c.freed:
		case <-c.ctx.Done():
			return false
		case <-time.After(sharePollInterval):
			if c.hasEnded() {
				return false
			}
		}
	}
	return !c.isClosing()
}

func (c *conn) isAboveShare() bool {
	return c.expectedBytes() > int64(max(minShareBytes, c.acceptor.Memory.Free()/shareDivisor))
}

// expectedBytes returns what the requests of the connection occupy, and the responses to
// those that are running probably will.
func (c *conn) expectedBytes() int64 {
	running := c.running.Load()
	return c.held.Load() + running*max(c.responseBytes.Load(), c.acceptor.responseBytes.Load())
}

// recordResponse ends a running request, and adjusts the expected size of responses: the
// largest of the connection, and the mean of all.
func (c *conn) recordResponse(r *Response) {
	c.running.Add(-1)
	if r == nil {
		return
	}
	n := int64(len(r.Body))
	old := c.responseBytes.Load()
	c.responseBytes.Store(max(n, old-old/responseSmoothing))
	mean := &c.acceptor.responseBytes
	mean.Add((n - mean.Load()) / responseSmoothing)
}

// hasEnded reports whether the client has closed the connection, as far as can be told
// without taking more than a buffer of its input.
func (c *conn) hasEnded() bool {
	n := c.br.Buffered() + 1
	if n > bufferBytes {
		return false
	}
	c.setPeeking(true)
	_, err := c.br.Peek(n)
	c.setPeeking(false)
	c.applyReadDeadline()
	return err != nil && !isTimeout(err)
}

// setPeeking begins and ends a look for the end of the connection, whose deadline the
// writer of responses must not lift.
func (c *conn) setPeeking(peeking bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peeking = peeking
	if peeking && !c.closing {
		_ = c.nc.SetReadDeadline(time.Now().Add(peekTime))
	}
}

// retryAfter returns the value of the Retry-After field of a request for which no memory
// is left.
func retryAfter() string {
	return strconv.FormatFloat(noMemoryRetryAfter*(1+rand.Float64()), 'f', 2, 64)
}

// signalFreed tells waitForShare that a response has been written.
func (c *conn) signalFreed() {
	select {
	case c.freed <- struct{}{}:
	default:
	}
}
