// Package recorder writes the node's log lines without ever blocking it.
//
// Lines wait in a bounded queue that one goroutine writes to standard output,
// at most bytesPerSecond. What does not fit is counted, and the count is
// written as a line of its own.
//
// # Usage
//
//	r := &recorder.Recorder{Out: os.Stdout}
//	go r.Run(ctx)
//	log.SetOutput(r)
package recorder

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait.
	queueLines = 512
	// bytesPerSecond bounds what one node writes.
	bytesPerSecond = 64 << 10
	// burstBytes may be written at once after a quiet time.
	burstBytes = 128 << 10
	// flushTimeout bounds the writing of what waits when the node stops.
	flushTimeout = 200 * time.Millisecond
)

// A Recorder writes lines. Its exported fields must be set before use.
type Recorder struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
}

// Write queues one line.
func (r *Recorder) Write(line []byte) (int, error) {
	r.init()
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines left out and not yet accounted for in
// the log.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Run writes lines until the context ends, and then those that still wait.
func (r *Recorder) Run(ctx context.Context) {
	r.init()
	allowance, last := float64(burstBytes), time.Now()
	for {
		select {
		case <-ctx.Done():
			r.flush()
			return
		case line := <-r.lines:
			now := time.Now()
			allowance = min(burstBytes, allowance+now.Sub(last).Seconds()*bytesPerSecond)
			last = now
			if allowance < float64(len(line)) {
				r.dropped.Add(1)
				continue
			}
			allowance -= float64(len(line))
			r.account()
			_, _ = r.Out.Write(line) // nobody is left to tell
		}
	}
}

func (r *Recorder) init() {
	r.once.Do(func() { r.lines = make(chan []byte, queueLines) })
}

func (r *Recorder) flush() {
	end := time.Now().Add(flushTimeout)
	for time.Now().Before(end) {
		select {
		case line := <-r.lines:
			_, _ = r.Out.Write(line)
		default:
			r.account()
			return
		}
	}
}

func (r *Recorder) account() {
	if n := r.dropped.Swap(0); n > 0 {
		fmt.Fprintf(r.Out, `{"level":"warning","msg":"log lines left out","count":%d}`+"\n", n)
	}
}
