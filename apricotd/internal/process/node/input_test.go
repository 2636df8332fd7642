package node

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
)

// TestBadInput checks that requests with a truncated body, an oversized body or
// header, or an overlong idempotency key are rejected with a specific error and
// never reach a backend server.
func TestBadInput(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		m := f.machines["r1-d1-licensing-1"]
		const requestHead = "POST /licensing/grants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer agency-key\r\nIdempotency-Key: i\r\n"
		for _, c := range []struct{ name, text, want string }{
			{"cut body", requestHead + "Content-Length: 10\r\n\r\nhalf", `"reason":"bodyTruncated","ran":"notRun"`},
			{"long header", requestHead + "Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431 Request Header Fields Too Large"},
			{"long body", requestHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2<<20), `"reason":"bodyTooLarge","ran":"notRun"`},
			{"long key", strings.Replace(requestHead, ": i\r", ": "+strings.Repeat("i", 300)+"\r", 1) + "Content-Length: 0\r\n\r\n", `"reason":"headerInvalid","ran":"notRun"`},
		} {
			if got := f.sendRaw(m, c.text); !strings.Contains(got, c.want) {
				t.Errorf("%s: got %q, want it to contain %q", c.name, got, c.want)
			}
		}
		for id, m := range f.machines {
			if n := m.backend.Served(); n > 0 {
				t.Errorf("%s: got %d requests at the backend server, want 0", id, n)
			}
		}
	})
}

// writeCloser is implemented by connections that can close their sending side
// alone.
type writeCloser interface{ CloseWrite() error }

// sendRaw sends text over a new connection and returns the response.
func (f *fleet) sendRaw(m *machine, text string) string {
	conn, err := f.network.Dial(context.Background(), callerAddress, netip.AddrPortFrom(m.address, callersPort))
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	if err := conn.(writeCloser).CloseWrite(); err != nil {
		f.t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		f.t.Fatalf("read response: %v", err)
	}
	return string(response)
}
