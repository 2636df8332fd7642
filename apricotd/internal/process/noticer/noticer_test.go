package noticer

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/namer"
)

func newNoticer() (*Noticer, *bytes.Buffer) {
	log := logrus.New()
	out := &bytes.Buffer{}
	log.SetOutput(out)
	return &Noticer{Names: &namer.Names{RateLimit: "Limit", Leaving: "Leaving"}, Log: log}, out
}

func readLines(t *testing.T, name string) []string {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatalf("read script: %v", err)
	}
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

func (n Notice) String() string {
	s := "none"
	if n.Limited {
		s = strconv.FormatFloat(n.Rate, 'g', -1, 64)
	}
	if n.Leaving {
		s += " leaving"
	}
	return s
}

// Guards against a crash, or a limit that is lost, when a server in trouble sends
// a rate that is no number.
func TestRateValues(t *testing.T) {
	for _, line := range readLines(t, "values.txt") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		values, want, ok := strings.Cut(line, "->")
		if !ok {
			t.Fatalf("parse line %q: no arrow", line)
		}
		n, log := newNoticer()
		start := time.Now()
		n.Observe("i", parser.Fields{{Name: "Limit", Value: "8"}}, start, start)
		var fields parser.Fields
		for _, v := range strings.Fields(values) {
			v = strings.ReplaceAll(strings.ReplaceAll(v, "blank", ""), "digits", strings.Repeat("1", 1000))
			fields = append(fields, parser.Field{Name: "Limit", Value: v})
		}
		n.Observe("i", fields, start.Add(time.Minute), start.Add(time.Minute))
		notice, _ := n.Notice("i")
		want, malformed := strings.CutSuffix(strings.TrimSpace(want), " malformed")
		if got := notice.String(); got != want {
			t.Errorf("rate after %q: got %s, want %s", values, got, want)
		}
		if got := n.Malformed() > 0; got != malformed {
			t.Errorf("%q counted as malformed: got %v, want %v", values, got, malformed)
		}
		if got := strings.Contains(log.String(), "malformed rate limit"); got != malformed {
			t.Errorf("%q logged as malformed: got %v, want %v", values, got, malformed)
		}
		if longest := 1024; log.Len() > longest {
			t.Errorf("log for %q: got %d bytes, want at most %d", values, log.Len(), longest)
		}
	}
}

// Guards against notices that end too early, never end, or apply to another
// server.
func TestNoticeSequences(t *testing.T) {
	var n *Noticer
	start := time.Now()
	name := ""
	for _, line := range readLines(t, "sequences.txt") {
		if strings.HasPrefix(line, "#") || line == "" {
			continue
		}
		response, want, ok := strings.Cut(line, "->")
		if !ok {
			name = line
			n, _ = newNoticer()
			continue
		}
		var sent, received int
		parts := strings.Fields(response)
		if _, err := fmt.Sscan(parts[0]+" "+parts[1], &sent, &received); err != nil {
			t.Fatalf("parse line %q: %v", line, err)
		}
		server := "i"
		var fields parser.Fields
		for _, part := range parts[2:] {
			key, value, _ := strings.Cut(part, "=")
			switch key {
			case "limit":
				fields = append(fields, parser.Field{Name: "Limit", Value: value})
			case "leaving":
				fields = append(fields, parser.Field{Name: "Leaving", Value: value})
			case "server":
				server = value
			}
		}
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		n.Observe(server, fields, at(sent), at(received))
		notice, known := n.Notice(server)
		if got := notice.String(); !known || got != strings.TrimSpace(want) {
			t.Errorf("%s: after %q: got %s, known %v, want %s", name, response, got, known, want)
		}
	}
}

// A server that changes its notice with each response must not flood the log.
func TestChangingNoticeIsLoggedOnceASecond(t *testing.T) {
	n, log := newNoticer()
	start := time.Now()
	for i := range 3000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		n.Observe("i", parser.Fields{{Name: "Limit", Value: []string{"1", "2", "x"}[i%3]}}, at, at)
	}
	if got, want := strings.Count(log.String(), "\n"), 6; got > want {
		t.Errorf("log lines in 3 s: got %d, want at most %d", got, want)
	}
}
