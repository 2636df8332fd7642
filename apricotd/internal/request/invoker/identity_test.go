package invoker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/internal/connection/exchanger"
	"apricotrudder.dev/apricotd/internal/cost/gauger"
	"apricotrudder.dev/apricotd/internal/process/admitter"
	"apricotrudder.dev/apricotd/internal/process/correlator"
	"apricotrudder.dev/apricotd/internal/process/estimator"
	"apricotrudder.dev/apricotd/internal/process/identifier"
	"apricotrudder.dev/apricotd/internal/process/noticer"
	"apricotrudder.dev/apricotd/internal/process/quarantiner"
	"apricotrudder.dev/apricotd/internal/process/throttler"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/internal/process/tuner"
	"apricotrudder.dev/apricotd/internal/request/forecaster"
	"apricotrudder.dev/apricotd/internal/request/inheritor"
	"apricotrudder.dev/apricotd/internal/request/ranker"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

// maxReadings is more than the number of times that one request reads the list.
const maxReadings = 40

var (
	address = netip.MustParseAddrPort("10.1.1.1:7000")

	// before and after are the lists around the passing of an address from server i-a of
	// pool search to server i-b of pool orders.
	before = lister.New(1, []*lister.Server{{ID: "i-a", Pool: "search", Address: address}})
	both   = lister.New(2, []*lister.Server{{ID: "i-a", Pool: "search", Address: address}, {ID: "i-b", Pool: "orders", Address: address}})
	after  = lister.New(3, []*lister.Server{{ID: "i-b", Pool: "orders", Address: address}})
	empty  = lister.New(3, nil)

	// identityChanges are what other requests, probes and the syncer do meanwhile.
	identityChanges = map[string]func(l *scriptedList, i *identifier.Identifier){
		"new id reported":                    func(_ *scriptedList, i *identifier.Identifier) { i.SetReported("i-b", time.Now()) },
		"new id reported and listed":         func(l *scriptedList, i *identifier.Identifier) { l.list = both; i.SetReported("i-b", time.Now()) },
		"new id listed, then reported":       func(l *scriptedList, i *identifier.Identifier) { l.list = after; i.SetReported("i-b", time.Now()) },
		"old entry gone":                     func(l *scriptedList, _ *identifier.Identifier) { l.list = empty },
		"old entry replaced":                 func(l *scriptedList, _ *identifier.Identifier) { l.list = after },
		"id discarded":                       func(_ *scriptedList, i *identifier.Identifier) { i.Reset() },
		"id discarded, old entry gone":       func(l *scriptedList, i *identifier.Identifier) { l.list = empty; i.Reset() },
		"id discarded, old entry replaced":   func(l *scriptedList, i *identifier.Identifier) { l.list = after; i.Reset() },
		"new id reported, both entries gone": func(l *scriptedList, i *identifier.Identifier) { l.list = empty; i.SetReported("i-b", time.Now()) },
		"new id reported and discarded again": func(l *scriptedList, i *identifier.Identifier) {
			l.list = after
			i.SetReported("i-b", time.Now())
			i.Reset()
		},
	}
)

type (
	// A scriptedList returns a list and makes a change during one of the readings.
	scriptedList struct {
		list     *lister.List
		readings int
		changeAt int
		change   func()
	}

	// A passedServer is server i-b of pool orders. It runs a request that names it or
	// none.
	passedServer struct {
		mu   sync.Mutex
		runs int
	}
)

func (l *scriptedList) read() *lister.List {
	l.readings++
	if l.readings == l.changeAt {
		l.change()
	}
	return l.list
}

func (s *passedServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		br := bufio.NewReader(server)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			status, fields := "421 Misdirected Request", "Server: i-b\r\n"
			if wanted := r.Header.Get("Want"); wanted == "" || wanted == "i-b" {
				status, fields = "200 OK", "Receipt: x\r\n"
				s.mu.Lock()
				s.runs++
				s.mu.Unlock()
			}
			if _, err := fmt.Fprintf(server, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"), fields); err != nil {
				return
			}
		}
	}()
	return client, nil
}

// Guards against a request that is checked against one reading of the server's identity
// and sent under another, or under none, and so runs at a server of another pool.
func TestRequestIsSentUnderTheIdentityThatWasChecked(t *testing.T) {
	for name, change := range identityChanges {
		for _, reported := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, id reported before: %v", name, reported), func(t *testing.T) {
				for reading := 1; reading <= maxReadings; reading++ {
					if ran := runWithChange(t, change, reported, reading); ran > 0 {
						t.Errorf("change during reading %d of the list: the request ran at the server of another pool", reading)
					}
				}
			})
		}
	}
}

// Guards against the same while nothing changes: two entries at the address, as after it
// has passed and before the old entry expires, and an id that is not known yet.
func TestRequestIsSentUnderOneOfTwoEntriesAtTheAddress(t *testing.T) {
	ran := 0
	for range 100 {
		ran += runWithChange(t, func(l *scriptedList, _ *identifier.Identifier) { l.list = both }, false, 1)
	}
	if ran > 0 {
		t.Errorf("requests that ran at the server of another pool: got %d of 100, want none", ran)
	}
}

// Guards against a refusal of a request whose server has a new id that another request
// or a probe has learned meanwhile.
func TestRejectedRequestIsSentUnderAnIDThatOthersHaveLearned(t *testing.T) {
	learned := func(l *scriptedList, id *identifier.Identifier) {
		l.list = lister.New(2, []*lister.Server{{ID: "i-a", Pool: "search", Address: address}, {ID: "i-b", Pool: "search", Address: address}})
		id.SetReported("i-b", time.Now())
	}
	for reading := 1; reading <= 4; reading++ {
		if ran := runWithChange(t, learned, true, reading); ran != 1 {
			t.Errorf("id learned during reading %d of the list: got %d runs, want 1", reading, ran)
		}
	}
}

// runWithChange runs a request for pool search, with a change during one reading of the
// list, and returns how often it ran at the server that has taken over the address.
func runWithChange(t *testing.T, change func(*scriptedList, *identifier.Identifier), reported bool, reading int) int {
	t.Helper()
	names := &namer.Names{RequestID: "Id", RemainingTime: "Left", Receipt: "Receipt", TargetServer: "Want", Server: "Server", NotRun: "Notrun"}
	server := &passedServer{}
	list := &scriptedList{list: before, changeAt: reading}
	log := logrus.New()
	log.SetOutput(io.Discard)
	id := &identifier.Identifier{
		Address:  address,
		Settings: func() (string, timekeeper.Instant) { return "orders", timekeeper.Now() },
		List:     list.read,
		ListAge:  func() time.Duration { return 0 },
	}
	if reported {
		id.SetReported("i-a", time.Now())
	}
	list.change = func() { change(list, id) }
	e := &exchanger.Exchanger{Address: address, IDField: "Id", Dial: server.dial}
	defer e.Close()
	i := &Invoker{
		Names: names, Exchanger: e, Admitter: &admitter.Admitter{}, Identifier: id,
		Estimator: &estimator.Estimator{Load: func() estimator.Load { return estimator.Load{} }},
		Tuner:     &tuner.Tuner{}, Correlator: &correlator.Correlator{}, Quarantine: &quarantiner.Quarantiner{}, Forecaster: &forecaster.Forecaster{}, Ranker: &ranker.Ranker{}, Inheritor: &inheritor.Inheritor{},
		Noticer: &noticer.Noticer{Names: names, Log: log}, Gauger: &gauger.Gauger{}, Log: log, Metrics: metrics.NewSet(), OnBroken: func() {}, OnNewServer: func(string) {},
		OnUnreachable: func() {}, IsCold: func() bool { return false }, MarkCold: func(m *linkwire.Notice) *linkwire.Notice { return m },
		Downstream: func(string) throttler.Overload { return throttler.Overload{} },
	}
	i.SetSlots(4)
	i.Run(t.Context(), &linkwire.Run{Pool: "search", RequestId: []byte("r1"), Method: "GET", Target: []byte("/search/"), Host: []byte("shop.example"), RemainingMs: 1000, Idempotent: true, Fields: []*linkwire.Field{{Name: "Id", Value: []byte("r1")}}})
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.runs
}
