package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	okHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	// memoryBytes is the memory for the bodies of all responses.
	memoryBytes = 1 << 20
)

// endlessResponses are a prefix that is sent once and a part that is repeated until
// the connection is closed.
var endlessResponses = map[string]struct{ prefix, repeated string }{
	"head line":           {okHead + "Other: ", strings.Repeat("x", 500)},
	"head fields":         {okHead, "Other: x\r\n"},
	"empty lines":         {"", strings.Repeat("\r\n", 200)},
	"interim responses":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"other responses":     {"", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nabc"},
	"body until close":    {okHead + "\r\n", strings.Repeat("x", 4000)},
	"chunks":              {okHead + "Transfer-Encoding: chunked\r\n\r\n", "fa0\r\n" + strings.Repeat("x", 4000) + "\r\n"},
	"small chunks":        {okHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100)},
	"chunk extension":     {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 500)},
	"trailer":             {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("T: x\r\n", 100)},
	"length out of range": {okHead + "Content-Length: 99999999999999999999\r\n\r\n", strings.Repeat("x", 4000)},
	"length too large":    {okHead + "Content-Length: 99999999999\r\n\r\n", strings.Repeat("x", 4000)},
}

// pipeTo returns a Dialer whose connections are served by handle.
func pipeTo(handle func(net.Conn)) Dialer {
	return func(context.Context, netip.AddrPort) (net.Conn, error) {
		client, server := net.Pipe()
		go handle(server)
		return client, nil
	}
}

// Guards against a backend server in trouble that occupies memory and connections
// by sending a head or a body without end.
func TestEndlessResponses(t *testing.T) {
	for name, c := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int64
				closed := make(chan struct{})
				e := &Exchanger{IDField: "Id", Memory: &allowance{left: memoryBytes}, Dial: pipeTo(func(nc net.Conn) {
					defer close(closed)
					_, _ = http.ReadRequest(bufio.NewReader(nc))
					part := c.prefix + c.repeated
					for {
						n, err := io.WriteString(nc, part)
						sent.Add(int64(n))
						if err != nil {
							return
						}
						part = c.repeated
						time.Sleep(10 * time.Microsecond)
					}
				})}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				o := e.Do(ctx, &Call{ID: "1", Method: "GET", Target: "/"})
				if _, ok := o.(NoResponse); !ok {
					t.Errorf("outcome: got %#v, want NoResponse", o)
				}
				<-closed
				// A chunk of one byte takes six.
				if got, want := sent.Load(), int64(6*memoryBytes+1<<20); got > want {
					t.Errorf("bytes read: got %d, want at most %d", got, want)
				}
			})
		})
	}
}

// Guards against a server that keeps a connection busy beyond the deadline by
// sending one byte at a time.
func TestTrickledResponsesEndAtDeadline(t *testing.T) {
	for name, c := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				closed := make(chan struct{})
				e := &Exchanger{IDField: "Id", Memory: &allowance{left: memoryBytes}, Dial: pipeTo(func(nc net.Conn) {
					defer close(closed)
					_, _ = http.ReadRequest(bufio.NewReader(nc))
					for part := c.prefix + c.repeated; ; part = c.repeated {
						for i := range len(part) {
							if _, err := io.WriteString(nc, part[i:i+1]); err != nil {
								return
							}
							time.Sleep(10 * time.Millisecond)
						}
					}
				})}
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if o, ok := e.Do(ctx, &Call{ID: "1", Method: "GET", Target: "/"}).(NoResponse); !ok {
					t.Errorf("outcome: got %#v, want NoResponse", o)
				}
				<-closed
				if took := time.Since(start); took > 2100*time.Millisecond {
					t.Errorf("connection closed after %v, want at the deadline of 2 s", took)
				}
			})
		})
	}
}

// Guards against many large responses at once that together exceed the memory, and
// against small responses that fail meanwhile.
func TestResponsesShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &allowance{left: memoryBytes}
		e := &Exchanger{IDField: "Id", Memory: memory, Dial: pipeTo(func(nc net.Conn) {
			defer nc.Close()
			r, err := http.ReadRequest(bufio.NewReader(nc))
			if err != nil {
				return
			}
			if r.URL.Path == "/small" {
				_, _ = fmt.Fprintf(nc, okHead+"Connection: close\r\nContent-Length: 6000\r\n\r\n%s", strings.Repeat("x", 6000))
				return
			}
			_, _ = io.WriteString(nc, okHead+"Content-Length: 9000000\r\n\r\n")
			for {
				if _, err := io.WriteString(nc, strings.Repeat("x", 4000)); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() { e.Do(ctx, &Call{ID: "1", Method: "GET", Target: "/large"}) })
		}
		time.Sleep(500 * time.Millisecond)
		for range 20 {
			if o, ok := e.Do(ctx, &Call{ID: "1", Method: "GET", Target: "/small"}).(Response); !ok || len(o.Body) != 6000 {
				t.Fatalf("small response: got %#v, want it complete", o)
			}
		}
		wg.Wait()
		if memory.left != memoryBytes {
			t.Errorf("memory left at the end: got %d, want all %d", memory.left, memoryBytes)
		}
	})
}

// An allowance is a fixed amount of memory.
type allowance struct {
	mu   sync.Mutex
	left int
}

func (a *allowance) Reserve(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > a.left {
		return false
	}
	a.left -= n
	return true
}

func (a *allowance) Release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += n
}
