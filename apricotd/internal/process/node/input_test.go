package node

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
)

// TestBadInput checks that a cut body and an over-long header get a clear error
// and never reach a backend server.
func TestBadInput(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.start([]string{"catalogue", "licensing"}, 1, defaultTables())
		m := f.machine["r1-d1-licensing-1"]
		const head = "POST /licensing/grants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer agency-key\r\nIdempotency-Key: i\r\n"
		for _, c := range []struct{ name, text, want string }{
			{"cut body", head + "Content-Length: 10\r\n\r\nhalf", `"reason":"bodyTruncated","ran":"notRun"`},
			{"long header", head + "Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431 Request Header Fields Too Large"},
			{"long body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2<<20), `"reason":"bodyTooLarge","ran":"notRun"`},
			{"long key", strings.Replace(head, ": i\r", ": "+strings.Repeat("i", 300)+"\r", 1) + "Content-Length: 0\r\n\r\n", `"reason":"headerInvalid","ran":"notRun"`},
		} {
			if got := f.sendRaw(m, c.text); !strings.Contains(got, c.want) {
				t.Errorf("%s: got %q, want it to contain %q", c.name, got, c.want)
			}
		}
		for id, m := range f.machine {
			if n := m.backend.Served(); n > 0 {
				t.Errorf("%s: got %d requests at the backend server, want 0", id, n)
			}
		}
	})
}

// halfCloser can end the sending direction of a connection alone.
type halfCloser interface{ CloseWrite() error }

// sendRaw sends text over a connection of its own and returns the answer.
func (f *fleet) sendRaw(m *machine, text string) string {
	conn, err := f.network.Dial(context.Background(), callerAddress, netip.AddrPortFrom(m.address, callersPort))
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	if err := conn.(halfCloser).CloseWrite(); err != nil {
		f.t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		f.t.Fatalf("read answer: %v", err)
	}
	return string(answer)
}
