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
	callersPort       = 1
	backendPort       = 2
	peersPort         = 3
	operatorsPort     = 4
	backendServerPort = 5
)

var (
	platformAddress = netip.MustParseAddrPort("10.255.0.1:80")
	callerAddress   = netip.MustParseAddr("10.254.0.1")
)

type (
	// A fleet is a set of complete nodes in one synctest bubble that communicate
	// over an in-memory network.
	fleet struct {
		t         testing.TB
		network   *connector.Connector
		platform  *publisher.Publisher
		machines  map[string]*machine
		listed    []publisher.VM
		client    *http.Client
		cleanups  []func()
		changedAt time.Time // when waitForVersion was last called
		// setUpBackend, if set, may configure a VM's backend server before its
		// first start.
		setUpBackend func(id string, m *machine)
		// setUpNode, if set, may configure a VM's node before each start.
		setUpNode func(id string, n *Node)
	}

	// A machine is one VM with a backend server and its node.
	machine struct {
		vm      publisher.VM
		address netip.Addr
		node    *Node
		backend *responder.Responder
		cancel  context.CancelFunc
		done    chan struct{}
		server  *http.Server
	}

	// An outcome is the result of a caller's request.
	outcome struct {
		status int
		reason string // "answered" or the reason of the problem document
		ran    string
		body   []byte
	}
)

// runFleet runs a test with a new fleet in a synctest bubble and then stops the
// fleet.
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
		t:        t,
		network:  &connector.Connector{Latency: latency},
		platform: &publisher.Publisher{},
		machines: make(map[string]*machine),
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
	server := &http.Server{Handler: f.platform}
	go func() { _ = server.Serve(listener) }()
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
	return f
}

// latency returns the one-way latency in the target environment: 1.5 ms between
// data centres, 12 ms between regions. The second byte of an address is the
// region, the third the data centre.
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
// regions, publishes the tables, and gives the fleet 5 s to become ready.
func (f *fleet) start(pools []string, perDataCentre int, tables map[string]string) {
	for region := 1; region <= 2; region++ {
		for dc := 1; dc <= 2; dc++ {
			for _, pool := range pools {
				for i := 1; i <= perDataCentre; i++ {
					f.addVM(region, dc, pool, i)
				}
			}
		}
	}
	f.publishVMList()
	f.publish(tables)
	for _, id := range f.ids() {
		f.startVM(id)
	}
	time.Sleep(5 * time.Second)
}

func (f *fleet) addVM(region, dc int, pool string, i int) string {
	id := fmt.Sprintf("r%d-d%d-%s-%d", region, dc, pool, i)
	number := len(f.machines) + 1
	address := netip.AddrFrom4([4]byte{10, byte(region), byte(dc), byte(number)})
	vm := publisher.VM{
		ID:         id,
		Region:     fmt.Sprintf("r%d", region),
		DataCentre: fmt.Sprintf("r%d-d%d", region, dc),
		Pool:       pool,
		Address:    netip.AddrPortFrom(address, peersPort).String(),
		State:      "live",
	}
	f.machines[id] = &machine{vm: vm, address: address}
	f.listed = append(f.listed, vm)
	return id
}

func (f *fleet) ids() []string {
	ids := make([]string, 0, len(f.machines))
	for id := range f.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) publishVMList() {
	publisher.PublishVMs(f.platform, f.listed)
}

func (f *fleet) publish(tables map[string]string) {
	f.platform.Update("config", func(values map[string]string) {
		for name, text := range tables {
			values[name] = text
		}
	})
}

// setVMState publishes a new state of a VM in the VM list. The state "gone"
// removes the VM.
func (f *fleet) setVMState(id, state string) {
	f.listed = slices.DeleteFunc(f.listed, func(vm publisher.VM) bool { return vm.ID == id })
	if state != "gone" {
		vm := f.machines[id].vm
		vm.State = state
		f.listed = append(f.listed, vm)
	}
	f.publishVMList()
}

// startVM starts a VM's backend server and node.
func (f *fleet) startVM(id string) {
	m := f.machines[id]
	listenAddress := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.address, port) }
	dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		return f.network.Dial(ctx, m.address, to)
	}
	if m.backend == nil && f.setUpBackend != nil {
		f.setUpBackend(id, m)
	}
	if m.backend == nil {
		m.backend = &responder.Responder{Slots: 10, Connections: 100, ServiceTime: 10 * time.Millisecond}
	}
	m.backend.Service = m.vm.Pool
	m.backend.Node = listenAddress(backendPort)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, hostPort string) (net.Conn, error) {
		return dial(ctx, netip.MustParseAddrPort(hostPort))
	}}
	m.backend.Client = &http.Client{Transport: transport}
	listener, err := f.network.Listen(listenAddress(backendServerPort))
	if err != nil {
		f.t.Fatalf("listen for backend server of %s: %v", id, err)
	}
	m.server = &http.Server{Handler: m.backend}
	limitedListener := m.backend.Limit(listener)
	go func(s *http.Server) { _ = s.Serve(limitedListener) }(m.server)
	log := logrus.New()
	log.SetOutput(io.Discard)
	m.node = &Node{
		Settings: &loader.Settings{
			VM: id, Region: m.vm.Region, DataCentre: m.vm.DataCentre, Pool: m.vm.Pool,
			Listen:   loader.Listen{Callers: listenAddress(callersPort), Backend: listenAddress(backendPort), Peers: listenAddress(peersPort), Operators: listenAddress(operatorsPort)},
			Backend:  loader.Backend{Address: listenAddress(backendServerPort), ProbeInterval: decoder.Duration(500 * time.Millisecond)},
			Platform: loader.Platform{Addresses: []netip.AddrPort{platformAddress}, Timeout: decoder.Duration(500 * time.Millisecond)},
			Limits:   loader.Limits{HeaderBytes: 16 << 10, DrainTimeout: decoder.Duration(10 * time.Second)},
		},
		Log:    log,
		Listen: f.network.Listen,
		Dial:   dial,
	}
	if f.setUpNode != nil {
		f.setUpNode(id, m.node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done = make(chan struct{})
	go func() {
		defer close(m.done)
		defer transport.CloseIdleConnections()
		// Killing a VM closes its listeners, so errors after cancellation are
		// expected.
		if err := m.node.Run(ctx); err != nil && ctx.Err() == nil {
			f.t.Errorf("run node %s: %v", id, err)
		}
	}()
}

// stopVM shuts a VM down gracefully: the node first, then the backend server.
func (f *fleet) stopVM(id string) {
	m := f.machines[id]
	if m.cancel == nil {
		return
	}
	m.cancel()
	<-m.done
	_ = m.server.Close()
	m.cancel = nil
}

// killVM simulates the loss of a VM: from now on nothing that it sends arrives.
func (f *fleet) killVM(id string) {
	m := f.machines[id]
	for _, other := range f.ids() {
		f.network.Cut(m.address, f.machines[other].address)
	}
	f.network.Cut(m.address, platformAddress.Addr())
	f.network.Cut(m.address, callerAddress)
	m.node.Settings.Limits.DrainTimeout = 0
	f.cleanups = append(f.cleanups, func() { <-m.done })
	m.cancel()
	f.network.Kill(m.address)
	_ = m.server.Close()
	m.cancel = nil
}

// restartVM restarts a killed VM with the same ID and without its earlier state.
func (f *fleet) restartVM(id string) {
	m := f.machines[id]
	<-m.done
	for _, other := range f.ids() {
		f.network.Heal(m.address, f.machines[other].address)
	}
	f.network.Heal(m.address, platformAddress.Addr())
	f.network.Heal(m.address, callerAddress)
	f.startVM(id)
}

// setReachable cuts or restores the network between two groups. A group is a VM,
// a data centre, a region, all VMs ("all") or the platform ("platform").
func (f *fleet) setReachable(a, b string, reachable bool) {
	for _, x := range f.addressesOf(a) {
		for _, y := range f.addressesOf(b) {
			if x == y {
				continue
			}
			if reachable {
				f.network.Heal(x, y)
			} else {
				f.network.Cut(x, y)
			}
		}
	}
}

func (f *fleet) addressesOf(group string) []netip.Addr {
	if group == "platform" {
		return []netip.Addr{platformAddress.Addr()}
	}
	var out []netip.Addr
	for id, m := range f.machines {
		if id == group || strings.HasPrefix(id, group+"-") || group == "all" {
			out = append(out, m.address)
		}
	}
	return out
}

func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, m := range f.machines {
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
	for _, cleanup := range f.cleanups {
		cleanup()
	}
}

// send sends a request to a VM's node as a caller.
func (f *fleet) send(via, method, path, key, idempotencyKey string, body []byte) outcome {
	target := "http://" + netip.AddrPortFrom(f.machines[via].address, callersPort).String() + path
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
		return outcome{reason: "noAnswer", ran: "unknown"}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{status: response.StatusCode, reason: "answerCut", ran: "unknown"}
	}
	a := outcome{status: response.StatusCode, reason: "answered", body: data}
	var p struct{ Reason, Ran string }
	if response.StatusCode != http.StatusOK && json.Unmarshal(data, &p) == nil {
		a.reason, a.ran = p.Reason, p.Ran
	}
	return a
}

// digestOf returns a key's digest in the form used in the tables.
func digestOf(key string) string { return checker.Digest(key).String() }
