// Package logwriter writes log lines without blocking the caller.
//
// Lines wait in a bounded queue. One goroutine writes them in batches. Each line
// uses up an allowance of bytes, which grows by maxBytesPerSecond. When it runs
// low, lines of level info and below are dropped first, so that warnings of refused
// and lost requests are kept. Dropped lines are counted, and the count is logged as
// a line of its own.
//
// # Usage
//
//	w := &logwriter.Writer{Out: os.Stdout}
//	go w.Run(ctx)
//	log.SetOutput(w)
package logwriter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the queue.
	maxQueuedLines = 1024
	// maxBytesPerSecond bounds the average output rate.
	maxBytesPerSecond = 64 << 10
	// maxBurstBytes bounds the allowance that accumulates while little is
	// written. Lines below level warning may use only half of it.
	maxBurstBytes = 128 << 10
	// batchInterval is how long lines are collected before they are written.
	batchInterval = 50 * time.Millisecond
)

// A Writer is a rate-limited, non-blocking writer of log lines. Its exported
// fields must be set before use.
type Writer struct {
	Out io.Writer

	once            sync.Once
	lines           chan []byte
	unreportedDrops atomic.Int64 // since the last logged count
	totalDrops      atomic.Int64 // since the start
	allowance       float64      // bytes that may be written, at refilledAt
	refilledAt      time.Time
	buffer          bytes.Buffer
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.init()
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.countDrop()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.totalDrops.Load() }

func (w *Writer) countDrop() {
	w.unreportedDrops.Add(1)
	w.totalDrops.Add(1)
}

// Run writes lines until the context is done, and then those still queued.
func (w *Writer) Run(ctx context.Context) {
	w.init()
	for {
		select {
		case <-ctx.Done():
			w.drainQueue()
			w.flush()
			return
		case line := <-w.lines:
			w.appendLine(line)
			select {
			case <-ctx.Done():
			case <-time.After(batchInterval):
			}
			w.drainQueue()
			w.flush()
		}
	}
}

func (w *Writer) init() {
	w.once.Do(func() {
		w.lines = make(chan []byte, maxQueuedLines)
		w.allowance, w.refilledAt = maxBurstBytes, time.Now()
	})
}

// drainQueue moves the queued lines to the buffer.
func (w *Writer) drainQueue() {
	for {
		select {
		case line := <-w.lines:
			w.appendLine(line)
		default:
			return
		}
	}
}

// appendLine adds a line to the buffer if the allowance suffices, else drops it.
func (w *Writer) appendLine(line []byte) {
	now := time.Now()
	w.allowance = min(maxBurstBytes, w.allowance+now.Sub(w.refilledAt).Seconds()*maxBytesPerSecond)
	w.refilledAt = now
	reserve := 0.0
	if isBelowWarning(line) {
		reserve = maxBurstBytes / 2
	}
	if w.allowance-reserve < float64(len(line)) {
		w.countDrop()
		return
	}
	w.allowance -= float64(len(line))
	w.buffer.Write(line)
}

// isBelowWarning reports whether a line has level info or debug.
func isBelowWarning(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"info"`)) || bytes.Contains(line, []byte(`"level":"debug"`))
}

// flush writes the buffer, with the count of newly dropped lines if there are any.
func (w *Writer) flush() {
	if n := w.unreportedDrops.Swap(0); n > 0 {
		fmt.Fprintf(&w.buffer, `{"count":%d,"level":"warning","msg":"log lines left out"}`+"\n", n)
	}
	if w.buffer.Len() > 0 {
		_, _ = w.Out.Write(w.buffer.Bytes()) // a failure to write the log cannot be logged
		w.buffer.Reset()
	}
}
