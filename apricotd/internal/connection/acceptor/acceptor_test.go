package acceptor

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/standin/connector"
)

// Guards against a panic while one request is served that takes the process, and
// the requests on other connections, down.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := logrus.New()
		log.SetOutput(io.Discard)
		a := &Acceptor{
			Limits: func() resolver.Limits {
				return resolver.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
			},
			Serve: func(_ context.Context, r *Request) *Response {
				if r.Target == "/panic" {
					panic("test")
				}
				time.Sleep(100 * time.Millisecond)
				return &Response{Status: 200}
			},
			ErrorResponse: func(status int, _ string) *Response { return &Response{Status: status, Fields: parser.Fields{}} },
			Log:           log,
		}
		network := &connector.Connector{}
		address := netip.MustParseAddrPort("10.0.0.1:1")
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatalf("listen: %v", err)
		}
		go func() { _ = a.Run(ctx, listener) }()
		get := func(target string) int {
			nc, err := network.Dial(t.Context(), netip.MustParseAddr("10.0.0.2"), address)
			if err != nil {
				return 0
			}
			defer nc.Close()
			_, _ = io.WriteString(nc, "GET "+target+" HTTP/1.1\r\nHost: x\r\n\r\n")
			r, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err != nil {
				return 0
			}
			return r.StatusCode
		}
		other := make(chan int, 1)
		go func() { other <- get("/other") }()
		time.Sleep(50 * time.Millisecond)
		if got := get("/panic"); got != http.StatusBadGateway {
			t.Errorf("request with a panic: got status %d, want 502, because it may have run", got)
		}
		if got := <-other; got != http.StatusOK {
			t.Errorf("other request: got status %d, want 200", got)
		}
		cancel()
		a.Close(time.Now(), time.Now())
		time.Sleep(time.Minute)
	})
}
