package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"apricotrudder.dev/apricotd/decoder"
	"apricotrudder.dev/apricotd/internal/process/loader"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/standin/connector"
	"apricotrudder.dev/standin/publisher"
	"apricotrudder.dev/standin/responder"
)

const (
	callersPort   = 1
	backendPort   = 2
	peersPort     = 3
	operatorsPort = 4
	serverPort    = 5
)

var (
	platformAddress = netip.MustParseAddrPort("10.255.0.1:80")
	callerAddress   = netip.MustParseAddr("10.254.0.1")
)

type (
	// A fleet is a handful of whole nodes in one bubble, connected in memory.
	fleet struct {
		t       testing.TB
		network *connector.Connector
		tables  *publisher.Publisher
		machine map[string]*machine
		listed  []publisher.VM
		client  *http.Client
		stop    []func()
		tick    time.Time // of measurements
		// prepare may set up a VM's backend server before its first start.
		prepare func(id string, m *machine)
	}

	// A machine is one VM: a backend server and its node.
	machine struct {
		vm      publisher.VM
		address netip.Addr
		node    *Node
		backend *responder.Responder
		cancel  context.CancelFunc
		done    chan struct{}
		server  *http.Server
	}

	// An answer is what a caller got.
	answer struct {
		status int
		reason string // "answered" or the reason of the problem document
		ran    string
		body   []byte
	}
)

// runFleet runs a test within a bubble and stops whatever it started.
func runFleet(t *testing.T, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		test(f)
	})
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{
		t:       t,
		network: &connector.Connector{Latency: latency},
		tables:  &publisher.Publisher{},
		machine: make(map[string]*machine),
	}
	f.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, hostPort string) (net.Conn, error) {
			return f.network.Dial(ctx, callerAddress, netip.MustParseAddrPort(hostPort))
		},
	}}
	listener, err := f.network.Listen(platformAddress)
	if err != nil {
		t.Fatalf("listen for platform: %v", err)
	}
	platform := &http.Server{Handler: f.tables}
	go func() { _ = platform.Serve(listener) }()
	f.stop = append(f.stop, func() { _ = platform.Close() })
	return f
}

// latency is that of the brief: 1.5 ms between data centres, 12 ms between
// regions. The second byte of an address is its region, the third its data
// centre.
func latency(from, to netip.Addr) time.Duration {
	a, b := from.As4(), to.As4()
	switch {
	case a[1] >= 254 || b[1] >= 254:
		return 2 * time.Millisecond
	case a[1] != b[1]:
		return 12 * time.Millisecond
	case a[2] != b[2]:
		return 1500 * time.Microsecond
	}
	return 100 * time.Microsecond
}

// start lists and starts VMs of the pools in two data centres of each of two
// regions, publishes the tables, and waits until the fleet is settled.
func (f *fleet) start(pools []string, perDataCentre int, tables map[string]string) {
	for region := 1; region <= 2; region++ {
		for dc := 1; dc <= 2; dc++ {
			for _, pool := range pools {
				for i := 1; i <= perDataCentre; i++ {
					f.add(region, dc, pool, i)
				}
			}
		}
	}
	f.publishList()
	f.publish(tables)
	for _, id := range f.ids() {
		f.boot(id)
	}
	time.Sleep(5 * time.Second)
}

func (f *fleet) add(region, dc int, pool string, i int) string {
	id := fmt.Sprintf("r%d-d%d-%s-%d", region, dc, pool, i)
	number := len(f.machine) + 1
	address := netip.AddrFrom4([4]byte{10, byte(region), byte(dc), byte(number)})
	vm := publisher.VM{
		ID:         id,
		Region:     fmt.Sprintf("r%d", region),
		DataCentre: fmt.Sprintf("r%d-d%d", region, dc),
		Pool:       pool,
		Address:    netip.AddrPortFrom(address, peersPort).String(),
		State:      "live",
	}
	f.machine[id] = &machine{vm: vm, address: address}
	f.listed = append(f.listed, vm)
	return id
}

func (f *fleet) ids() []string {
	ids := make([]string, 0, len(f.machine))
	for id := range f.machine {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) publishList() {
	publisher.PublishVMs(f.tables, f.listed)
}

func (f *fleet) publish(tables map[string]string) {
	f.tables.Update("config", func(values map[string]string) {
		for name, text := range tables {
			values[name] = text
		}
	})
}

// list changes the state of a VM in the published list, or removes it.
func (f *fleet) list(id, state string) {
	f.listed = slices.DeleteFunc(f.listed, func(vm publisher.VM) bool { return vm.ID == id })
	if state != "gone" {
		vm := f.machine[id].vm
		vm.State = state
		f.listed = append(f.listed, vm)
	}
	f.publishList()
}

// boot starts a VM's backend server and node.
func (f *fleet) boot(id string) {
	m := f.machine[id]
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.address, port) }
	dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		return f.network.Dial(ctx, m.address, to)
	}
	if m.backend == nil && f.prepare != nil {
		f.prepare(id, m)
	}
	if m.backend == nil {
		m.backend = &responder.Responder{Slots: 10, Connections: 100, ServiceTime: 10 * time.Millisecond}
	}
	m.backend.Service = m.vm.Pool
	m.backend.Node = at(backendPort)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, hostPort string) (net.Conn, error) {
		return dial(ctx, netip.MustParseAddrPort(hostPort))
	}}
	m.backend.Client = &http.Client{Transport: transport}
	listener, err := f.network.Listen(at(serverPort))
	if err != nil {
		f.t.Fatalf("listen for backend server of %s: %v", id, err)
	}
	m.server = &http.Server{Handler: m.backend}
	limited := m.backend.Limit(listener)
	go func(s *http.Server) { _ = s.Serve(limited) }(m.server)
	log := logrus.New()
	log.SetOutput(io.Discard)
	m.node = &Node{
		Settings: &loader.Settings{
			VM: id, Region: m.vm.Region, DataCentre: m.vm.DataCentre, Pool: m.vm.Pool,
			Listen:   loader.Listen{Callers: at(callersPort), Backend: at(backendPort), Peers: at(peersPort), Operators: at(operatorsPort)},
			Backend:  loader.Backend{Address: at(serverPort), ProbeInterval: decoder.Duration(500 * time.Millisecond)},
			Platform: loader.Platform{Addresses: []netip.AddrPort{platformAddress}, Timeout: decoder.Duration(500 * time.Millisecond)},
			Limits:   loader.Limits{HeaderBytes: 16 << 10, DrainTimeout: decoder.Duration(10 * time.Second)},
		},
		Log:    log,
		Listen: f.network.Listen,
		Dial:   dial,
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done = make(chan struct{})
	go func() {
		defer close(m.done)
		defer transport.CloseIdleConnections()
		// A VM that is killed loses its listeners, which is no failure.
		if err := m.node.Run(ctx); err != nil && ctx.Err() == nil {
			f.t.Errorf("run node %s: %v", id, err)
		}
	}()
}

// halt stops a VM gracefully: the node first, then the backend server.
func (f *fleet) halt(id string) {
	m := f.machine[id]
	if m.cancel == nil {
		return
	}
	m.cancel()
	<-m.done
	_ = m.server.Close()
	m.cancel = nil
}

// kill makes a VM vanish: nothing that it sends arrives any more.
func (f *fleet) kill(id string) {
	m := f.machine[id]
	for _, other := range f.ids() {
		f.network.Cut(m.address, f.machine[other].address)
	}
	f.network.Cut(m.address, platformAddress.Addr())
	f.network.Cut(m.address, callerAddress)
	m.node.Settings.Limits.DrainTimeout = 0
	f.stop = append(f.stop, func() { <-m.done })
	m.cancel()
	f.network.Kill(m.address)
	_ = m.server.Close()
	m.cancel = nil
}

// restart starts a killed VM anew, at once and under the same id, with nothing
// remembered.
func (f *fleet) restart(id string) {
	m := f.machine[id]
	<-m.done
	for _, other := range f.ids() {
		f.network.Heal(m.address, f.machine[other].address)
	}
	f.network.Heal(m.address, platformAddress.Addr())
	f.network.Heal(m.address, callerAddress)
	f.boot(id)
}

// cut stops or heals the traffic between two groups of VMs; a group is a VM, a
// data centre, a region, or the platform.
func (f *fleet) cut(a, b string, heal bool) {
	for _, x := range f.addresses(a) {
		for _, y := range f.addresses(b) {
			if x == y {
				continue
			}
			if heal {
				f.network.Heal(x, y)
			} else {
				f.network.Cut(x, y)
			}
		}
	}
}

func (f *fleet) addresses(group string) []netip.Addr {
	if group == "platform" {
		return []netip.Addr{platformAddress.Addr()}
	}
	var out []netip.Addr
	for id, m := range f.machine {
		if id == group || strings.HasPrefix(id, group+"-") || group == "all" {
			out = append(out, m.address)
		}
	}
	return out
}

func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, m := range f.machine {
		if m.cancel == nil {
			continue
		}
		wg.Go(func() {
			m.cancel()
			<-m.done
			_ = m.server.Close()
		})
	}
	wg.Wait()
	f.client.CloseIdleConnections()
	for _, stop := range f.stop {
		stop()
	}
}

// send sends a caller's request to a VM's node.
func (f *fleet) send(via, method, path, key, idempotencyKey string, body []byte) answer {
	target := "http://" + netip.AddrPortFrom(f.machine[via].address, callersPort).String() + path
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		f.t.Fatalf("build request: %v", err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		request.Header["idempotency-key"] = []string{idempotencyKey}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := f.client.Do(request.WithContext(ctx))
	if err != nil {
		return answer{reason: "noAnswer", ran: "unknown"}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{status: response.StatusCode, reason: "answerCut", ran: "unknown"}
	}
	a := answer{status: response.StatusCode, reason: "answered", body: data}
	var p struct{ Reason, Ran string }
	if response.StatusCode != http.StatusOK && json.Unmarshal(data, &p) == nil {
		a.reason, a.ran = p.Reason, p.Ran
	}
	return a
}

// digestOf returns a key's digest as it is published.
func digestOf(key string) string { return checker.Digest(key).String() }
