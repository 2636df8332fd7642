package mesher

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/process/recorder"
)

// logFlush bounds how long a stopping process waits for its last log lines.
const logFlush = 300 * time.Millisecond

// NewLog returns a log of JSON lines that never blocks its users. The function
// writes what still waits; it is to be called last.
func NewLog(level string, out io.Writer) (log *logrus.Logger, flush func()) {
	r := &recorder.Recorder{Out: out}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	log = logrus.New()
	log.SetOutput(r)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log, func() {
		cancel()
		select {
		case <-done:
		case <-time.After(logFlush):
		}
	}
}
