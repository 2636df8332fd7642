package noticer

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
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
		notice := n.Notice("i")
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
		notice := n.Notice(server)
		if got := notice.String(); got != strings.TrimSpace(want) {
			t.Errorf("%s: after %q: got %s, want %s", name, response, got, want)
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

// Guards against a restarted node that ignores what its peers know, or believes
// them more than the server.
func TestAdoptUntilFirstResponse(t *testing.T) {
	n, _ := newNoticer()
	var rates []float64
	n.SetRate = func(limited bool, rate float64) {
		if !limited {
			rate = -1
		}
		rates = append(rates, rate)
	}
	n.Adopt("i", &linkwire.Notice{Server: "other", Limited: true, Rate: 1})
	n.Adopt("i", &linkwire.Notice{Server: "i", Limited: true, Rate: 9})
	n.Adopt("i", &linkwire.Notice{Server: "i", Limited: true, Rate: 4, Leaving: true})
	n.Adopt("i", &linkwire.Notice{Server: "i", Limited: true, Rate: 6})
	if got, want := n.Notice("i").String(), "4 leaving"; got != want {
		t.Errorf("adopted notices: got %s, want %s", got, want)
	}
	if n.Message() != nil {
		t.Error("message before the first response: got one, want none")
	}
	now := time.Now().Add(time.Second)
	n.Observe("i", parser.Fields{{Name: "Limit", Value: "7"}}, now, now)
	n.Adopt("i", &linkwire.Notice{Server: "i", Limited: true, Rate: 1})
	if got, want := n.Notice("i").String(), "7"; got != want {
		t.Errorf("after a response: got %s, want %s", got, want)
	}
	n.Observe("j", nil, now, now)
	if got, want := fmt.Sprint(rates), "[9 4 7 -1]"; got != want {
		t.Errorf("rates set: got %s, want %s", got, want)
	}
}

func TestDirectoryKeepsNewestNotice(t *testing.T) {
	d := &Directory{}
	node := netip.MustParseAddr("10.0.0.1")
	s := &lister.Server{ID: "i", Address: netip.AddrPortFrom(node, 1)}
	list := lister.New(1, []*lister.Server{s})
	d.Record(node, &linkwire.Notice{Server: "i", Leaving: true, Process: 1, Sequence: 2})
	d.Record(node, &linkwire.Notice{Server: "i", Process: 1, Sequence: 1})
	d.Record(node, nil)
	d.Prune(lister.New(2, nil))
	if !d.IsLeaving(s) || len(d.LeavingNodes(list)) != 1 {
		t.Error("leaving server after an older notice and a list without it: got usable, want leaving")
	}
	if d.IsLeaving(&lister.Server{ID: "j", Address: s.Address}) {
		t.Error("another server at the address: got leaving, want usable")
	}
	d.Record(node, &linkwire.Notice{Server: "i", Process: 2, Sequence: 1})
	if d.IsLeaving(s) || d.Notice(node) != nil {
		t.Error("server that has started again: got leaving, want usable")
	}
}

// Guards against peers that take a server for cold or warm against what its node said last,
// and against its entry that is older than that.
func TestDirectoryKnowsColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := netip.MustParseAddr("10.0.0.1")
		server := &lister.Server{ID: "i", Address: netip.AddrPortFrom(node, 5), ColdUntil: time.Now().Add(2 * time.Second)}
		var warmed []string
		d := &Directory{OnWarm: func(server string) { warmed = append(warmed, server) }}
		check := func(when string, want time.Duration) {
			t.Helper()
			if got := d.ColdLeft(server); got != want {
				t.Errorf("cold time left %s: got %v, want %v", when, got, want)
			}
		}
		check("by the entry alone", 2*time.Second)
		d.Record(node, &linkwire.Notice{Server: "j", Process: 1, Sequence: 1})
		check("after a notice of the server before it", 2*time.Second)
		d.Record(node, &linkwire.Notice{Server: "i", ColdMs: 3000})
		time.Sleep(time.Second)
		check("one second after the node said 3 s", 2*time.Second)
		d.Record(node, &linkwire.Notice{Server: "i", Process: 1, Sequence: 2})
		check("after the node said that it is warm", 0)
		if len(warmed) != 1 || warmed[0] != "i" || d.Notice(node) != nil {
			t.Errorf("warmed up: got %v and notice %v, want [i] and none", warmed, d.Notice(node))
		}
	})
}
