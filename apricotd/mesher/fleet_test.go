package mesher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/decoder"
	"apricotrudder.dev/apricotd/namer"
	"apricotrudder.dev/apricotd/syncer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/standin/connector"
)

const (
	callersPort   = 1
	healthPort    = 2
	linksPort     = 3
	operatorsPort = 4
	serverPort    = 5

	goldKey  = "gold-key"
	goldRate = 50
)

// testNames are names of the tests' own: nothing may depend on a platform's.
var testNames = &namer.Names{
	RequestID:     "Id",
	RemainingTime: "Left",
	Receipt:       "Receipt",
	Organisation:  "Org",
	TargetServer:  "Want",
	Server:        "Server",
	NotRun:        "Notrun",
	Caller:        "Caller",
	APIKey:        "Key",
}

type (
	// A fleet is a handful of whole nodes in one bubble, connected in memory.
	fleet struct {
		t       *testing.T
		network *connector.Connector
		store   *fakeStore
		vms     map[string]*vm
		nextID  atomic.Int64
	}

	// A vm is one node and the backend server beside it.
	vm struct {
		name    string
		place   place
		address netip.Addr
		node    *Node
		worker  *worker
		cancel  context.CancelFunc
		done    chan struct{}
		log     *bytes.Buffer
		killed  atomic.Bool
	}

	place struct{ region, dataCentre, pool string }

	// A reply is what a caller got.
	reply struct {
		status int
		header http.Header
		body   string
		closes bool // the connection ends after it
		err    error
	}

	// fakeStore is a store whose state a test sets.
	fakeStore struct {
		mu       sync.Mutex
		tables   *resolver.Tables
		servers  map[string]syncer.Item
		gone     map[string]uint64
		revision uint64
		wake     chan struct{}
		down     map[netip.Addr]bool // VMs that it does not answer
		calls    int
	}

	// storeView is the store as one VM sees it.
	storeView struct {
		store *fakeStore
		vm    netip.Addr
	}

	// fakeDecoder reads what fakeStore holds.
	fakeDecoder struct{}

	// entryDoc is an entry in the tests' own format.
	entryDoc struct {
		Server lister.Server
		Cold   time.Duration
	}
)

func runFleet(t *testing.T, places map[string]place, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t:       t,
			network: &connector.Connector{Latency: latency},
			store:   newFakeStore(),
			vms:     make(map[string]*vm),
		}
		f.store.publish(baseTables(1))
		for name, p := range places {
			f.add(name, p)
		}
		for name := range places {
			f.start(name)
		}
		time.Sleep(3 * time.Second)
		defer f.close()
		test(f)
	})
}

// latency is 1.5 ms between data centres and 12 ms between regions.
func latency(from, to netip.Addr) time.Duration {
	a, b := from.As4(), to.As4()
	switch {
	case a[1] != b[1]:
		return 12 * time.Millisecond
	case a[2] != b[2]:
		return 1500 * time.Microsecond
	}
	return 200 * time.Microsecond
}

// baseTables has an idempotent route to search, one that is not to orders, and
// a public one to stock, as backend servers call it.
func baseTables(version uint64) *resolver.Tables {
	return &resolver.Tables{
		Version: version,
		Routes: []*resolver.Route{
			{Name: "search", Host: "shop.example", Prefix: "/search/", Idempotent: true, Timeout: 2 * time.Second, TargetLatency: 800 * time.Millisecond, Rank: 2, MaxAttempts: 2, WeightedPools: []resolver.WeightedPool{{Pool: "search", Weight: 1}}},
			{Name: "order", Host: "shop.example", Prefix: "/order/", Timeout: 2 * time.Second, TargetLatency: 800 * time.Millisecond, Rank: 0, MaxAttempts: 2, WeightedPools: []resolver.WeightedPool{{Pool: "orders", Weight: 1}}},
			{Name: "stock", Host: "inner.example", Prefix: "/stock/", Idempotent: true, Public: true, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Rank: 1, MaxAttempts: 2, WeightedPools: []resolver.WeightedPool{{Pool: "stock", Weight: 1}}},
		},
		Pools: map[string]*resolver.Pool{
			"search": {Name: "search", HealthPath: "/health"},
			"orders": {Name: "orders", HealthPath: "/health"},
			"stock":  {Name: "stock", HealthPath: "/health"},
		},
		Organisations: []*resolver.Organisation{{Name: "gold", Keys: []string{goldKey}, Rate: goldRate, Burst: goldRate}},
		Limits:        resolver.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

func (f *fleet) add(name string, p place) {
	region, dataCentre := byte(1), byte(1)
	if p.region != "north" {
		region = 2
	}
	if strings.HasSuffix(p.dataCentre, "2") {
		dataCentre = 2
	}
	m := &vm{name: name, place: p, address: netip.AddrFrom4([4]byte{10, region, dataCentre, byte(f.nextID.Add(1))})}
	f.vms[name] = m
	m.worker = &worker{id: "i-" + name, pool: p.pool, slots: 4, service: 20 * time.Millisecond}
	m.worker.run(f.t, f.network, netip.AddrPortFrom(m.address, serverPort))
	f.list(name, lister.Ready)
}

// list publishes the entry of a VM's backend server.
func (f *fleet) list(name string, state lister.State) {
	m := f.vms[name]
	f.store.put(m.worker.id, entryDoc{Server: lister.Server{
		ID:         m.worker.id,
		Pool:       m.place.pool,
		DataCentre: m.place.dataCentre,
		Region:     m.place.region,
		Address:    netip.AddrPortFrom(m.address, serverPort),
		Slots:      m.worker.slots,
		State:      state,
	}})
}

func (f *fleet) start(name string) {
	m := f.vms[name]
	m.log = &bytes.Buffer{}
	log := logrus.New()
	log.SetOutput(m.log)
	m.node = &Node{
		Settings: &Settings{
			VM: name, Region: m.place.region, DataCentre: m.place.dataCentre, Pool: m.place.pool,
			Listen: Listen{
				Callers: netip.AddrPortFrom(m.address, callersPort), Health: netip.AddrPortFrom(m.address, healthPort),
				Links: netip.AddrPortFrom(m.address, linksPort), Operators: netip.AddrPortFrom(m.address, operatorsPort),
			},
			Backend: Backend{Address: netip.AddrPortFrom(m.address, serverPort)},
			Limits:  Limits{StopWithin: decoder.Duration(6 * time.Second)},
			Rates:   Rates{Overshoot: 0.25, Slack: 20, Window: decoder.Duration(5 * time.Second)},
			Retries: Retries{Window: decoder.Duration(10 * time.Second), Ratio: 0.2, Allowance: 50},
		},
		Names:   testNames,
		Store:   &storeView{store: f.store, vm: m.address},
		Decoder: fakeDecoder{},
		Log:     log,
		Listen:  f.network.Listen,
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return f.network.Dial(ctx, m.address, to)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.done = cancel, make(chan struct{})
	go func() {
		defer close(m.done)
		if err := m.node.Run(ctx); err != nil && !m.killed.Load() {
			f.t.Errorf("run node %s: got %v, want no error", name, err)
		}
	}()
}

func (f *fleet) close() {
	for _, m := range f.vms {
		m.cancel()
		m.worker.close()
	}
	for _, m := range f.vms {
		<-m.done
	}
	for _, m := range f.vms {
		f.network.Kill(m.address)
	}
	f.store.close()
	// What still waits for a deadline of a few seconds ends by itself.
	time.Sleep(time.Minute)
}

// kill ends a VM's node and server without a word.
func (f *fleet) kill(name string) {
	m := f.vms[name]
	m.killed.Store(true)
	f.network.Kill(m.address)
	m.cancel()
}

// isolate cuts a VM off from all others.
func (f *fleet) isolate(name string) {
	for other, m := range f.vms {
		if other != name {
			f.network.Cut(f.vms[name].address, m.address)
		}
	}
}

// dial opens a caller's connection on a VM.
func (f *fleet) dial(name string) net.Conn {
	f.t.Helper()
	a := f.vms[name].address
	nc, err := f.network.Dial(f.t.Context(), a, netip.AddrPortFrom(a, callersPort))
	if err != nil {
		f.t.Fatalf("dial node %s: %v", name, err)
	}
	return nc
}

// send makes one request on a connection of its own.
func (f *fleet) send(name, request string) reply {
	f.t.Helper()
	nc := f.dial(name)
	defer nc.Close()
	if _, err := io.WriteString(nc, request); err != nil {
		return reply{err: err}
	}
	return readReply(bufio.NewReader(nc), strings.Fields(request)[0])
}

func readReply(br *bufio.Reader, method string) reply {
	response, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
}

// get returns a request for a route with the organisation's key.
func (f *fleet) get(host, target string, more ...string) string {
	return f.message("GET", host, target, "", more...)
}

func (f *fleet) message(method, host, target, body string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nId: r%d\r\nLeft: 5000\r\n", method, target, host, f.nextID.Add(1))
	if host == "shop.example" {
		fmt.Fprintf(&b, "Key: %s\r\n", goldKey)
	}
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		servers: make(map[string]syncer.Item),
		gone:    make(map[string]uint64),
		wake:    make(chan struct{}),
		down:    make(map[netip.Addr]bool),
	}
}

func (s *fakeStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	f()
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *fakeStore) publish(t *resolver.Tables) {
	raw, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	t.Raw = raw
	s.change(func() { s.tables = t })
}

func (s *fakeStore) put(id string, doc entryDoc) {
	value, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	s.change(func() {
		delete(s.gone, id)
		s.servers[id] = syncer.Item{Key: id, Value: value, Revision: s.revision}
	})
}

func (s *fakeStore) drop(id string) {
	s.change(func() {
		delete(s.servers, id)
		s.gone[id] = s.revision
	})
}

// refuse makes the store answer a VM no more, or again.
func (s *fakeStore) refuse(a netip.Addr, down bool) {
	s.change(func() { s.down[a] = down })
}

func (s *fakeStore) callsSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) close() { s.change(func() {}) }

// Read implements syncer.Store.
func (v *storeView) Read(context.Context) (*syncer.Snapshot, error) {
	s := v.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down[v.vm] {
		return nil, errors.New("store is down")
	}
	out := &syncer.Snapshot{Tables: s.tables.Raw, Revision: s.revision, Full: true}
	for _, item := range s.servers {
		out.Servers = append(out.Servers, item)
	}
	return out, nil
}

// Watch implements syncer.Store.
func (v *storeView) Watch(ctx context.Context, after uint64, wait time.Duration) (*syncer.Snapshot, error) {
	s := v.store
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.calls++
		if s.down[v.vm] {
			s.mu.Unlock()
			return nil, errors.New("store is down")
		}
		wake := s.wake
		if s.revision > after {
			defer s.mu.Unlock()
			return s.since(after), nil
		}
		s.mu.Unlock()
		select {
		case <-wake:
		case <-timer.C:
			return &syncer.Snapshot{Revision: after}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *fakeStore) since(after uint64) *syncer.Snapshot {
	out := &syncer.Snapshot{Tables: s.tables.Raw, Revision: s.revision}
	for _, item := range s.servers {
		if item.Revision > after {
			out.Servers = append(out.Servers, item)
		}
	}
	for id, at := range s.gone {
		if at > after {
			out.Servers = append(out.Servers, syncer.Item{Key: id, Revision: at, Removed: true})
		}
	}
	return out
}

// Tables implements syncer.Decoder.
func (fakeDecoder) Tables(raw []byte) (*resolver.Tables, error) {
	t := &resolver.Tables{}
	if err := json.Unmarshal(raw, t); err != nil {
		return nil, err
	}
	t.Raw = raw
	return t, nil
}

// Server implements syncer.Decoder.
func (fakeDecoder) Server(i syncer.Item) (*lister.Server, error) {
	var doc entryDoc
	if err := json.Unmarshal(i.Value, &doc); err != nil {
		return nil, err
	}
	return &doc.Server, nil
}
