package linker

import (
	"bufio"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/reserver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// frameStartBytes is the size of the start of a frame that holds its exchange and
	// its kind.
	frameStartBytes = 16
	// smallFrameBytes is the size up to which the memory that is left to small messages
	// may be used for a frame.
	smallFrameBytes = 64 << 10
	// frameCopies is the number of copies of a frame while it is being decoded.
	frameCopies = 2
	// overheadBytes is what a small frame, or its request, occupies besides its text.
	overheadBytes = reserver.ExchangeBytes + 20*reserver.FieldBytes
)

// Numbers of the fields of a frame.
const (
	noKind         protowire.Number = 0
	exchangeNumber protowire.Number = 1
	runNumber      protowire.Number = 2
	resultNumber   protowire.Number = 4
)

// parseStart returns the exchange and the number of the kind of an encoded frame;
// noKind if they are not at its start.
func parseStart(start []byte) (exchange uint64, kind protowire.Number) {
	number, wireType, n := protowire.ConsumeTag(start)
	if n > 0 && number == exchangeNumber && wireType == protowire.VarintType {
		start = start[n:]
		if exchange, n = protowire.ConsumeVarint(start); n < 0 {
			return 0, noKind
		}
		number, _, n = protowire.ConsumeTag(start[n:])
	}
	if n <= 0 {
		return 0, noKind
	}
	return exchange, number
}

// classOf returns the class of the memory for a frame of n bytes. Requests leave some to
// results.
func classOf(kind protowire.Number, n int64) reserver.Class {
	switch {
	case kind == runNumber:
		return reserver.Unrepeatable
	case kind == resultNumber && n > smallFrameBytes:
		return reserver.Response
	}
	return reserver.Small
}

// receiveFrame reads a frame of n bytes after its length, and decodes it. If there is no
// memory for the frame, it reads all of it.
func (l *Link) receiveFrame(br *bufio.Reader, n int64, kind protowire.Number, tab *reserver.Tab) (*linkwire.Frame, error) {
	class := classOf(kind, n)
	if n <= smallFrameBytes && tab.TryReserve(overheadBytes+frameCopies*int(n), class) {
		data, err := parser.ReadFixed(br, n)
		if err != nil {
			return nil, fmt.Errorf("read frame of %d bytes: %w", n, err)
		}
		return decode(data)
	}
	rest := &io.LimitedReader{R: br, N: n}
	if !tab.Reserve(overheadBytes, class) {
		return nil, skip(rest, kind)
	}
	data, err := parser.ReadRest(rest, &reserver.Memory{Tab: tab, First: class, Rest: class})
	if err == nil && !tab.Reserve(len(data), max(class, reserver.Response)) {
		err = parser.ErrNoMemory
	}
	if errors.Is(err, parser.ErrNoMemory) {
		return nil, skip(rest, kind)
	}
	if err != nil {
		return nil, fmt.Errorf("read frame of %d bytes: %w", n, err)
	}
	frame, err := decode(data)
	tab.Release(cap(data), class)
	return frame, err
}

// skip reads the rest of a frame for which there is no memory, unless no exchange can be
// failed for it. It returns an error that says so.
func skip(rest *io.LimitedReader, kind protowire.Number) error {
	if kind != runNumber && kind != resultNumber {
		return fmt.Errorf("read frame: %w", parser.ErrNoMemory)
	}
	if _, err := io.Copy(io.Discard, rest); err != nil {
		return fmt.Errorf("read past frame: %w", err)
	}
	if rest.N > 0 {
		return fmt.Errorf("read past frame: %w", io.ErrUnexpectedEOF)
	}
	return fmt.Errorf("read frame: %w", parser.ErrNoMemory)
}

// decode decodes a frame, which copies it.
func decode(data []byte) (*linkwire.Frame, error) {
	frame := &linkwire.Frame{}
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return frame, nil
}

func kindOf(frame *linkwire.Frame) protowire.Number {
	if frame.GetRun() != nil {
		return runNumber
	}
	return resultNumber
}

// reserveOverhead reserves what a frame occupies besides its text, as far as that exceeds
// what has been reserved for any small frame. It returns false if there is no memory.
func reserveOverhead(frame *linkwire.Frame, tab *reserver.Tab) bool {
	class, fields := reserver.Small, len(frame.GetResult().GetAnswer().GetFields())
	if run := frame.GetRun(); run != nil {
		class, fields = reserver.Unrepeatable, len(run.Fields)
	}
	n := fields*reserver.FieldBytes + reserver.ExchangeBytes - overheadBytes
	return n <= 0 || tab.Reserve(n, class)
}

// dropFrame fails the exchange of a frame that was read past for want of memory. It
// returns false if the frame is not part of an exchange of a request.
func (l *Link) dropFrame(exchange uint64, kind protowire.Number) bool {
	switch kind {
	case runNumber:
		l.Send(&linkwire.Frame{Exchange: exchange, Kind: &linkwire.Frame_Result{Result: &linkwire.Result{
			Outcome: &linkwire.Result_Refusal{Refusal: &linkwire.Refusal{
				Reason: ReasonNoMemory,
				NotRun: true,
				Detail: "no memory is left for the request",
			}},
		}}})
	case resultNumber:
		l.mu.Lock()
		p := l.waiting[exchange]
		delete(l.waiting, exchange)
		l.mu.Unlock()
		if p != nil {
			p.fail(ErrNoMemory)
		}
	default:
		return false
	}
	return true
}
