package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"apricotrudder.dev/apricotd/internal/request/reporter"
)

// dispatchTo dispatches a request to a server that answers with a status.
func dispatchTo(t *testing.T, status string) reporter.Outcome {
	d := &Dispatcher{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = fmt.Fprintf(server, "HTTP/1.1 %s Reason\r\nContent-Length: 3\r\n\r\nran", status)
			}
		}()
		return client, nil
	}}
	d.Start()
	defer d.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return d.Dispatch(ctx, Request{Method: http.MethodPost, Path: "/", Body: []byte("x"), BodyLimit: 1024})
}

// Guards against an answer whose status is 000, which net/http accepts, being passed to
// a caller as an answer: writing it ended the caller's connection with a panic.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "0", "0000", "1000", "+20", "-20", "OK"} {
		if o, ok := dispatchTo(t, status).(reporter.Unknown); !ok {
			t.Errorf("answer with status %s: got %#v, want reporter.Unknown", status, o)
		}
	}
	for _, status := range []string{"200", "302", "404", "500", "599"} {
		if o, ok := dispatchTo(t, status).(reporter.Answered); !ok {
			t.Errorf("answer with status %s: got %#v, want reporter.Answered", status, o)
		}
	}
}
