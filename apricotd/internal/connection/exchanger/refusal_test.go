package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/connection/parser"
)

// readScript returns the fields of each line of a script, which are separated by
// " | ".
func readScript(t *testing.T, name string) [][]string {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	var out [][]string
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, strings.Split(line, " | "))
		}
	}
	return out
}

// refusal returns a refusal of the script for a request.
func refusal(line []string, id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s Refused\r\n", line[0])
	for field := range strings.SplitSeq(line[1], ",") {
		b.WriteString(strings.ReplaceAll(field, "{{id}}", id) + "\r\n")
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	return b.String()
}

// A repeatingServer refuses its first request and runs all others. On the
// connection of the refused request it writes the refusal again before the response
// to each of the next requests, after as many of them as between says.
type repeatingServer struct {
	line    []string
	between int

	mu       sync.Mutex
	requests int
}

func (s *repeatingServer) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var copied string
	for answered := 0; ; answered++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("Id")
		s.mu.Lock()
		first := s.requests == 0
		s.requests++
		s.mu.Unlock()
		if first {
			copied = refusal(s.line, id)
			_, _ = io.WriteString(nc, copied)
			continue
		}
		if answered > s.between {
			_, _ = io.WriteString(nc, copied)
		}
		time.Sleep(10 * time.Millisecond)
		field := ""
		if id != "" {
			field = "Id: " + id + "\r\n"
		}
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran", field)
	}
}

// Guards against an earlier refusal that a server writes once more on a kept
// connection being taken for the response to a request that is running there: the
// same request sent again, another one, or one without an id.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	for _, line := range readScript(t, "refusals.txt") {
		for _, next := range []string{"1", "2", ""} {
			for _, between := range []int{0, 1, 2 * maxMismatchedResponses} {
				t.Run(fmt.Sprintf("%s %s/id %q after %d", line[0], line[1], next, between), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						e := &Exchanger{IDField: "Id", Dial: pipeTo((&repeatingServer{line: line, between: between}).serve)}
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						defer cancel()
						do := func(id string) Outcome {
							return e.Do(ctx, &Call{ID: id, Method: "GET", Target: "/", Idempotent: true, Fields: parser.Fields{{Name: "Id", Value: id}}})
						}
						do("1")
						for i := range between {
							do(fmt.Sprintf("between %d", i))
						}
						if o, ok := do(next).(Response); ok && string(o.Body) != "ran" {
							t.Errorf("response to the next request: got status %d, want that of its run or none", o.Status)
						}
						e.Close()
						time.Sleep(time.Second)
					})
				})
			}
		}
	}
}
