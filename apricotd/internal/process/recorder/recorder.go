// Package recorder writes the node's log lines without ever blocking it.
//
// Lines wait in a bounded queue that one goroutine writes to standard output,
// many at once and at most bytesPerSecond. When the allowance runs low, lines
// of level info and below are left out first, so that refusals and losses are
// kept. What is left out is counted, and the count is written as a line of its
// own.
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
	// queueLines bounds the lines that wait.
	queueLines = 1024
	// bytesPerSecond bounds what one node writes.
	bytesPerSecond = 64 << 10
	// burstBytes may be written at once after a quiet time. Lines that are
	// not warnings may use half of it.
	burstBytes = 128 << 10
	// gatherTime is how long lines are gathered before they are written.
	gatherTime = 50 * time.Millisecond
)

// A Recorder writes lines. Its exported fields must be set before use.
type Recorder struct {
	Out io.Writer

	once      sync.Once
	lines     chan []byte
	dropped   atomic.Int64 // since this was last said
	leftOut   atomic.Int64 // since the start
	allowance float64
	last      time.Time
	buffer    bytes.Buffer
}

// Write queues one line.
func (r *Recorder) Write(line []byte) (int, error) {
	r.init()
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.drop()
	}
	return len(line), nil
}

// LeftOut returns how many lines were left out since the start.
func (r *Recorder) LeftOut() int64 { return r.leftOut.Load() }

func (r *Recorder) drop() {
	r.dropped.Add(1)
	r.leftOut.Add(1)
}

// Run writes lines until the context ends, and then those that still wait.
func (r *Recorder) Run(ctx context.Context) {
	r.init()
	for {
		select {
		case <-ctx.Done():
			r.gather()
			r.flush()
			return
		case line := <-r.lines:
			r.take(line)
			select {
			case <-ctx.Done():
			case <-time.After(gatherTime):
			}
			r.gather()
			r.flush()
		}
	}
}

func (r *Recorder) init() {
	r.once.Do(func() {
		r.lines = make(chan []byte, queueLines)
		r.allowance, r.last = burstBytes, time.Now()
	})
}

// gather takes the lines that wait.
func (r *Recorder) gather() {
	for {
		select {
		case line := <-r.lines:
			r.take(line)
		default:
			return
		}
	}
}

// take adds a line to what is written next, if the allowance has room.
func (r *Recorder) take(line []byte) {
	now := time.Now()
	r.allowance = min(burstBytes, r.allowance+now.Sub(r.last).Seconds()*bytesPerSecond)
	r.last = now
	reserve := 0.0
	if isRoutine(line) {
		reserve = burstBytes / 2
	}
	if r.allowance-reserve < float64(len(line)) {
		r.drop()
		return
	}
	r.allowance -= float64(len(line))
	r.buffer.Write(line)
}

// isRoutine tells whether a line reports something that went well.
func isRoutine(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"info"`)) || bytes.Contains(line, []byte(`"level":"debug"`))
}

func (r *Recorder) flush() {
	if n := r.dropped.Swap(0); n > 0 {
		fmt.Fprintf(&r.buffer, `{"count":%d,"level":"warning","msg":"log lines left out"}`+"\n", n)
	}
	if r.buffer.Len() > 0 {
		_, _ = r.Out.Write(r.buffer.Bytes()) // nobody is left to tell
		r.buffer.Reset()
	}
}
