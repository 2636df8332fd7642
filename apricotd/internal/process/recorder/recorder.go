// Package recorder writes log lines without blocking the caller.
//
// Lines wait in a bounded queue. One goroutine writes them in batches, at most
// maxBytesPerSecond on average. When the allowance runs low, lines of level info
// and below are dropped first, so that warnings of refused and lost requests are
// kept. Dropped lines are counted, and the count is logged as a line of its own.
//
// # Usage
//
//	r := &recorder.Recorder{Out: os.Stdout}
//	go r.Run(ctx)
//	log.SetOutput(r)
package recorder

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

// A Recorder is a rate-limited, non-blocking writer of log lines. Its exported
// fields must be set before use.
type Recorder struct {
	Out io.Writer

	once            sync.Once
	lines           chan []byte
	unreportedDrops atomic.Int64 // since the last logged count
	totalDrops      atomic.Int64 // since the start
	allowance       float64
	refilledAt      time.Time
	buffer          bytes.Buffer
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	r.init()
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.countDrop()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (r *Recorder) Dropped() int64 { return r.totalDrops.Load() }

func (r *Recorder) countDrop() {
	r.unreportedDrops.Add(1)
	r.totalDrops.Add(1)
}

// Run writes lines until the context is done, and then those still queued.
func (r *Recorder) Run(ctx context.Context) {
	r.init()
	for {
		select {
		case <-ctx.Done():
			r.drainQueue()
			r.flush()
			return
		case line := <-r.lines:
			r.appendLine(line)
			select {
			case <-ctx.Done():
			case <-time.After(batchInterval):
			}
			r.drainQueue()
			r.flush()
		}
	}
}

func (r *Recorder) init() {
	r.once.Do(func() {
		r.lines = make(chan []byte, maxQueuedLines)
		r.allowance, r.refilledAt = maxBurstBytes, time.Now()
	})
}

// drainQueue moves the queued lines to the buffer.
func (r *Recorder) drainQueue() {
	for {
		select {
		case line := <-r.lines:
			r.appendLine(line)
		default:
			return
		}
	}
}

// appendLine adds a line to the buffer if the allowance suffices, else drops it.
func (r *Recorder) appendLine(line []byte) {
	now := time.Now()
	r.allowance = min(maxBurstBytes, r.allowance+now.Sub(r.refilledAt).Seconds()*maxBytesPerSecond)
	r.refilledAt = now
	reserve := 0.0
	if isBelowWarning(line) {
		reserve = maxBurstBytes / 2
	}
	if r.allowance-reserve < float64(len(line)) {
		r.countDrop()
		return
	}
	r.allowance -= float64(len(line))
	r.buffer.Write(line)
}

// isBelowWarning reports whether a line has level info or debug.
func isBelowWarning(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"info"`)) || bytes.Contains(line, []byte(`"level":"debug"`))
}

// flush writes the buffer, with the count of newly dropped lines if there are any.
func (r *Recorder) flush() {
	if n := r.unreportedDrops.Swap(0); n > 0 {
		fmt.Fprintf(&r.buffer, `{"count":%d,"level":"warning","msg":"log lines left out"}`+"\n", n)
	}
	if r.buffer.Len() > 0 {
		_, _ = r.Out.Write(r.buffer.Bytes()) // a failure to write the log cannot be logged
		r.buffer.Reset()
	}
}
