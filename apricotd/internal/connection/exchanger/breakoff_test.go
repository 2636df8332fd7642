package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// errReset is the error of a connection that the server has reset.
var errReset = errors.New("connection reset by peer")

// A resetConn reports errReset where the server closes the connection.
type resetConn struct{ net.Conn }

func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = errReset
	}
	return n, err
}

// Guards against a response that breaks off in its head or its body being taken for
// a complete one.
func TestResponsesThatBreakOff(t *testing.T) {
	for _, line := range readScript(t, "heads.txt") {
		text := strings.ReplaceAll(line[1], `\n`, "\r\n")
		isUntilClose := strings.HasSuffix(line[0], "until close")
		headBytes := strings.LastIndex(text, "\r\n\r\n") + len("\r\n\r\n")
		for _, reset := range []bool{false, true} {
			for n := range len(text) {
				synctest.Test(t, func(t *testing.T) {
					e := &Exchanger{IDField: "Id", Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
						client, server := net.Pipe()
						go func() {
							defer server.Close()
							_, _ = http.ReadRequest(bufio.NewReader(server))
							_, _ = io.WriteString(server, text[:n])
						}()
						if reset {
							return resetConn{client}, nil
						}
						return client, nil
					}}
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					o := e.Do(ctx, &Call{ID: "1", Method: "GET", Target: "/"})
					isComplete := isUntilClose && !reset && n >= headBytes
					if _, ok := o.(NoResponse); ok == isComplete {
						t.Errorf("%s after %d of %d bytes, reset %v: got %#v, want a response: %v", line[0], n, len(text), reset, o, isComplete)
					}
				})
			}
		}
	}
}
