package logwriter

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A sink collects output. If blocked is set, Write blocks until it is closed.
type sink struct {
	mu      sync.Mutex
	text    strings.Builder
	blocked chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// line returns a log line of some 300 bytes.
func line(level string, i int) []byte {
	return fmt.Appendf(nil, `{"level":%q,"msg":"request ended","n":%d,"more":%q}`+"\n", level, i, strings.Repeat("x", 250))
}

func TestVolumeIsBoundedAndWarningsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		w := &Writer{Out: out}
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		for i := range 10_000 {
			_, _ = w.Write(line("info", i))
			if i%100 == 0 {
				_, _ = w.Write(line("warning", i))
			}
			time.Sleep(time.Millisecond)
		}
		cancel()
		synctest.Wait()
		got := out.text.String()
		if limit := 10*maxBytesPerSecond + maxBurstBytes + 10_000; len(got) > limit {
			t.Errorf("bytes in 10 s: got %d, want at most %d", len(got), limit)
		}
		if n := strings.Count(got, `"level":"warning","msg":"request ended"`); n != 100 {
			t.Errorf("warnings: got %d, want all 100", n)
		}
		if !strings.Contains(got, "log lines left out") {
			t.Error("log: got no count of dropped lines, want one")
		}
	})
}

func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{blocked: make(chan struct{})}
		w := &Writer{Out: out}
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		start := time.Now()
		for i := range 10 * maxQueuedLines {
			_, _ = w.Write(line("warning", i))
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("writing while the output blocks: took %v, want no wait", took)
		}
		cancel()
		close(out.blocked)
	})
}
