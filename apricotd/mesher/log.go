package mesher

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/process/logwriter"
)

// logFlushTimeout bounds how long a stopping process waits for queued log lines
// to be written.
const logFlushTimeout = 300 * time.Millisecond

// NewLogger returns a logger that writes JSON lines to out without blocking its
// callers. An unknown level leaves the default, info. The flush function writes
// the queued lines and stops the writer; it must be called last.
func NewLogger(level string, out io.Writer) (log *logrus.Logger, flush func()) {
	w := &logwriter.Writer{Out: out}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	log = logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log, func() {
		cancel()
		select {
		case <-done:
		case <-time.After(logFlushTimeout):
		}
	}
}
