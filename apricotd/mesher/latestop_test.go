package mesher

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The users' bounds for a planned stop, with the grace time of the test fleet.
const (
	stopGrace = 6 * time.Second
	// excusedUntil is how long after the SIGTERM a request may be sent that need not
	// be answered if its server is still at work after excusedWork.
	excusedUntil = 3 * time.Second
	excusedWork  = stopGrace * 5 / 6
	// lossSlack is how long before the end of its connection a request may be sent
	// that need not be answered if no server has run it.
	lossSlack = 200 * time.Millisecond
	// stopTimeout is the timeout of the routes.
	stopTimeout = 7 * time.Second
	// timeoutSlack allows for an answer just before the time that the caller states.
	timeoutSlack = 100 * time.Millisecond
)

// stopPlacements has the VM a, whose node is stopped, and servers of all pools.
var stopPlacements = map[string]placement{
	"a": {"north", "north-1", "search"},
	"b": {"north", "north-1", "orders"},
	"c": {"north", "north-2", "stock"},
	"d": {"north", "north-2", "search"},
}

// A stopRequest is a request that is sent to a node around its stop.
type stopRequest struct {
	kind   string        // a key of stopTargets
	at     time.Duration // from the SIGTERM to its sending
	stated time.Duration // time that the caller states
	work   time.Duration
	behind bool // sent on the connection of the request before, without waiting for its response

	id       string
	sentAt   time.Time
	ended    time.Time // when the response or the end of the connection arrived
	response response
}

// stopTargets are the ways in to a node: callers' requests that may and may not be
// repeated, and calls of its own backend server.
var stopTargets = map[string]struct{ method, host, prefix string }{
	"search": {"GET", "shop.example", "/search/"},
	"order":  {"POST", "shop.example", "/order/"},
	"call":   {"GET", "inner.example", "/stock/"},
}

// startStopFleet runs a test on a fleet with long timeouts and room for all requests.
func startStopFleet(t *testing.T, test func(f *fleet)) {
	runFleet(t, stopPlacements, func(f *fleet) {
		tables := baseTables(2)
		tables.Organisations[0].Rate, tables.Organisations[0].Burst = 10_000, 10_000
		for _, r := range tables.Routes {
			r.Timeout = stopTimeout
		}
		f.store.publishTables(tables)
		for name, m := range f.vms {
			m.worker.slots = 200
			f.publishServer(name, m.state)
		}
		time.Sleep(time.Second)
		test(f)
	})
}

func (f *fleet) stopRequestText(r *stopRequest) string {
	target := stopTargets[r.kind]
	body := ""
	if target.method == "POST" {
		body = "x"
	}
	text := f.requestText(target.method, target.host, target.prefix+r.work.String(), body)
	text = strings.Replace(text, "Left: 5000", fmt.Sprintf("Left: %d", r.stated.Milliseconds()), 1)
	_, after, _ := strings.Cut(text, "\r\nId: ")
	r.id, _, _ = strings.Cut(after, "\r\n")
	return text
}

// sendAround sends requests to the node of a VM at their times and waits for their
// responses. Those that are sent behind another share its connection.
func (f *fleet) sendAround(name string, stop time.Time, requests []*stopRequest) {
	var wg sync.WaitGroup
	for len(requests) > 0 {
		n := 1
		for n < len(requests) && requests[n].behind {
			n++
		}
		group := requests[:n]
		requests = requests[n:]
		wg.Go(func() { f.sendGroup(name, stop, group) })
	}
	wg.Wait()
}

// sendGroup sends requests on one connection, which is kept since before the stop.
func (f *fleet) sendGroup(name string, stop time.Time, group []*stopRequest) {
	nc := f.dial(name)
	defer nc.Close()
	go func() {
		for _, r := range group {
			text := f.stopRequestText(r)
			time.Sleep(time.Until(stop.Add(r.at)))
			r.sentAt = time.Now()
			_, _ = io.WriteString(nc, text)
		}
	}()
	br := bufio.NewReader(nc)
	for _, r := range group {
		r.response = readResponse(br, stopTargets[r.kind].method)
		r.ended = time.Now()
		if r.response.closesConn {
			_, _ = br.Peek(1)
		}
	}
}

// checkStop returns what is wrong with the outcome of a request to a node that got
// SIGTERM at stop, or "".
func (f *fleet) checkStop(stop time.Time, r *stopRequest) string {
	var run *requestRun
	for _, m := range f.vms {
		for _, got := range m.worker.runs() {
			if got.id == r.id {
				run = &got
			}
		}
	}
	if r.sentAt.IsZero() {
		return "" // its connection had ended
	}
	complete := r.response.err == nil
	if complete && run != nil && (r.response.status == 503 || r.response.status == 429) {
		return "ran and was refused as not run"
	}
	if complete && (run == nil || r.response.header.Get("Receipt") != "") {
		return ""
	}
	expired := r.ended.Sub(r.sentAt) >= min(r.stated, stopTimeout)-timeoutSlack
	atWork := run != nil && (run.end.IsZero() || run.end.Sub(stop) >= excusedWork)
	excused := r.sentAt.Sub(stop) <= excusedUntil && atWork && r.ended.Sub(stop) >= excusedWork
	switch {
	case expired || excused:
		return ""
	case run == nil && (r.behind || r.ended.Sub(r.sentAt) <= lossSlack):
		return ""
	case run == nil:
		return "was read and got no response"
	case complete:
		return "ran, and got a response of the node's own instead of its server's"
	}
	return "was passed on and got no response"
}

func (f *fleet) checkStops(stop time.Time, requests []*stopRequest) {
	f.t.Helper()
	for _, r := range requests {
		if fault := f.checkStop(stop, r); fault != "" {
			f.t.Errorf("%s %s sent at %v (stated %v, work %v, behind another: %v) %s; ended at %v with status %d, error %v",
				r.kind, r.id, r.sentAt.Sub(stop), r.stated, r.work, r.behind, fault, r.ended.Sub(stop), r.response.status, r.response.err)
		}
	}
}

// parseStopRequest parses one request of a script: kind, time of sending, stated time
// and work, and "behind" if it is sent behind the request before.
func parseStopRequest(text string) (*stopRequest, error) {
	fields := strings.Fields(text)
	if len(fields) < 4 || stopTargets[fields[0]].method == "" {
		return nil, fmt.Errorf("request %q: want a kind and three durations", text)
	}
	r := &stopRequest{kind: fields[0], behind: len(fields) > 4 && fields[4] == "behind"}
	for i, d := range []*time.Duration{&r.at, &r.stated, &r.work} {
		var err error
		if *d, err = time.ParseDuration(fields[i+1]); err != nil {
			return nil, fmt.Errorf("request %q: %w", text, err)
		}
	}
	return r, nil
}

// Guards against a stopping node that passes on a request which it may not be able to
// answer before it ends.
func TestStopPassesOnOnlyWhatItAnswers(t *testing.T) {
	data, err := os.ReadFile("testdata/stops.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, " | ")
		t.Run(parts[0], func(t *testing.T) {
			startStopFleet(t, func(f *fleet) {
				var requests []*stopRequest
				var wants []string
				for _, part := range parts[1:] {
					text, want, _ := strings.Cut(part, " -> ")
					r, err := parseStopRequest(text)
					if err != nil {
						t.Fatal(err)
					}
					requests, wants = append(requests, r), append(wants, want)
				}
				stop := time.Now().Add(500 * time.Millisecond)
				time.AfterFunc(time.Until(stop), f.vms["a"].cancel)
				f.sendAround("a", stop, requests)
				f.checkStops(stop, requests)
				for i, r := range requests {
					got := "none"
					if r.response.err == nil {
						got = strconv.Itoa(r.response.status)
					}
					if wants[i] != "" && got != wants[i] {
						t.Errorf("%s sent at %v: got status %s, want %s", r.kind, r.at, got, wants[i])
					}
				}
			})
		})
	}
}
