package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/parser"
)

// Guards against a second copy of a response that arrives late, when the connection
// is in use again, being taken for the response to the next request. Health checks
// and requests without an id have no id to compare.
func TestLateCopyIsNotTheNextResponse(t *testing.T) {
	for _, next := range []Call{{ID: "2"}, {ID: ""}} {
		t.Run("id "+next.ID, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const first = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst"
				e := &Exchanger{IDField: "Id", Dial: pipeTo(func(nc net.Conn) {
					defer nc.Close()
					br := bufio.NewReader(nc)
					for copies := 0; ; copies++ {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						id := r.Header.Get("Id")
						if id == "1" {
							_, _ = io.WriteString(nc, first)
							continue
						}
						if copies > 0 {
							_, _ = io.WriteString(nc, first)
						}
						time.Sleep(10 * time.Millisecond)
						field := ""
						if id != "" {
							field = "Id: " + id + "\r\n"
						}
						_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nnext", field)
					}
				})}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				e.Do(ctx, &Call{ID: "1", Method: "GET", Target: "/", Idempotent: true, Fields: parser.Fields{{Name: "Id", Value: "1"}}})
				next.Method, next.Target, next.Idempotent = "GET", "/", true
				if next.ID != "" {
					next.Fields = parser.Fields{{Name: "Id", Value: next.ID}}
				}
				o, ok := e.Do(ctx, &next).(Response)
				if ok && string(o.Body) != "next" {
					t.Errorf("response: got %q, want %q or none", o.Body, "next")
				}
				e.Close()
				time.Sleep(time.Second)
			})
		})
	}
}
