package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	healthPath = "/health"
	host       = "shop.example"
	workTime   = 20 * time.Millisecond
	// graceTime is GraceS, and contactTime is ContactS.
	graceTime   = 6 * time.Second
	contactTime = 3 * time.Second
	readyLimit  = 15 * time.Second
	apiKey      = "k3y0fteam1"
)

type (
	// A fleet is a deployment of the program with stand-ins for the store, the instances
	// and the clients, all on loopback addresses.
	fleet struct {
		dir      string
		program  string
		store    *store
		machines []*machine
		crashes  bool          // whether requests for crashPath crash instances
		work     time.Duration // that a request takes

		mu       sync.Mutex
		out      *os.File
		start    time.Time
		lastID   int
		runs     []run
		statuses map[string]int // of the responses to background requests
	}

	run struct {
		at          time.Time
		attempt, id string
		machine     *machine
	}

	// A machine has an application instance and a node.
	machine struct {
		fleet                                          *fleet
		name, service, zone                            string
		outbound, ready, links, operators, app, config string
		instance                                       *instance

		mu    sync.Mutex
		node  *exec.Cmd
		ended chan struct{}
	}

	// A reply is what a client got for one attempt.
	reply struct {
		status int // 0: none
		body   string
		err    error
	}
)

var zones = map[string]string{"ba-petrzalka": "bratislava", "ke-juh": "kosice", "ba-ruzinov": "bratislava", "ke-sever": "kosice"}

var zoneOrder = []string{"ba-petrzalka", "ke-juh", "ba-ruzinov", "ke-sever"}

func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) recordRun(attempt, id string, m *machine) {
	f.mu.Lock()
	f.runs = append(f.runs, run{time.Now(), attempt, id, m})
	f.mu.Unlock()
	if !strings.HasPrefix(attempt, "b-") {
		f.record("instance %s on %s begins to run %s", id, m.name, attempt)
	}
}

func (f *fleet) runsOf(attempt string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []run
	for _, r := range f.runs {
		if r.attempt == attempt {
			out = append(out, r)
		}
	}
	return out
}

func (f *fleet) newID(prefix string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return fmt.Sprintf("%s%04x%06x", prefix, f.lastID, rand.N(1<<24))
}

// newFleet starts the store. Each machine gets a loopback address of its own, in the first
// of the networks that is free, or in one drawn at random if none is given.
func newFleet(program, dir string, out *os.File, services []string, networks ...[2]int) (*fleet, error) {
	f := &fleet{dir: dir, program: program, out: out, start: time.Now(), work: workTime, statuses: make(map[string]int)}
	if len(networks) == 0 {
		networks = append(networks, [2]int{70 + rand.N(150), 1 + rand.N(250)})
	}
	var ports []int
	var err error
	net1, net2 := 0, 0
	for _, n := range networks {
		net1, net2 = n[0], n[1]
		if ports, err = f.freePorts(net1, net2, len(services)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	storeAddress := fmt.Sprintf("127.%d.%d.250:%d", net1, net2, ports[0])
	if f.store, err = newStore(storeAddress); err != nil {
		return nil, err
	}
	for n, service := range services {
		ip := fmt.Sprintf("127.%d.%d.%d", net1, net2, n+1)
		at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
		m := &machine{
			fleet: f, name: fmt.Sprintf("sidecar-%d", n+1), service: service, zone: zoneOrder[n%4],
			outbound: at(0), ready: at(1), links: at(2), operators: at(3), app: at(4),
		}
		m.instance = &instance{fleet: f, machine: m}
		m.config = filepath.Join(dir, m.name+".toml")
		if err := os.WriteFile(m.config, []byte(m.settings(storeAddress)), 0o644); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// settings returns what deploy/settings.toml.tmpl renders for the machine.
func (m *machine) settings(storeAddress string) string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("vm = %q\nregion = %q\ndataCentre = %q\npool = %q\n\n[dataCentres]", m.name, zones[m.zone], m.zone, m.service)
	for zone, region := range zones {
		p("%q = %q", zone, region)
	}
	p("[listen]\ncallers = %q\nhealth = %q\nlinks = %q\noperators = %q\n", m.outbound, m.ready, m.links, m.operators)
	p("[backend]\naddress = %q\naddressReuse = \"2s\"\n\n[store]\naddress = %q\nheartbeat = \"1.5s\"\n", m.app, storeAddress)
	p("[limits]\nmemoryMB = 284\nstopWithin = \"6s\"\n\n[rates]\novershoot = 0.25\nslack = 20\nwindow = \"5s\"\n")
	p("[retries]\nwindow = \"10s\"\nratio = 0.2\nallowance = 50")
	return b.String()
}

// publish writes the configuration.
func (f *fleet) publish(version int, routes map[string]any, services []string) {
	table := make(map[string]any)
	for _, s := range services {
		table[s] = map[string]any{"HealthPath": healthPath, "MaxConns": 316, "Protocol": "h1", "Tls": false}
	}
	value, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": table,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Tenants": map[string]any{"team1": map[string]any{"ApiKeys": []string{apiKey}, "Priority": 1, "RatePerS": 0, "Burst": 0}},
	})
	f.store.put("op/config", value, false)
}

// startAll starts all instances and nodes and waits until all nodes are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.instance.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) startNode() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.fleet.program, "--config", m.config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	m.mu.Lock()
	m.node, m.ended = cmd, ended
	m.mu.Unlock()
	m.fleet.record("node of %s starts", m.name)
	return nil
}

func (m *machine) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node of %s is not ready after %v", m.name, readyLimit)
}

func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.node != nil {
		_ = m.node.Process.Signal(s)
	}
}

// restartNode stops the node as the platform does, with SIGTERM and after graceTime with
// SIGKILL, and starts it again.
func (m *machine) restartNode() error {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	m.fleet.record("node of %s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		m.fleet.record("node of %s is killed at the end of the grace time", m.name)
		m.signal(syscall.SIGKILL)
		<-ended
	}
	if err := m.startNode(); err != nil {
		return err
	}
	if err := m.awaitReady(); err != nil {
		return err
	}
	m.fleet.record("node of %s is ready", m.name)
	return nil
}

// stopAll ends all nodes.
func (f *fleet) stopAll() {
	for _, m := range f.machines {
		m.mu.Lock()
		if m.node != nil {
			_ = m.node.Process.Kill()
			<-m.ended
		}
		m.mu.Unlock()
	}
}

// send sends one attempt of a client on a machine, on a new connection, and waits for
// the reply.
func (m *machine) send(method, path, attempt string, deadline time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, nil)
	if err != nil {
		return reply{err: err}
	}
	r.Host = host
	r.Header.Set("X-Apricotrudder-Attempt-Id", attempt)
	r.Header.Set("X-Apricotrudder-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Api-Key", apiKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: strings.TrimSpace(string(body)), err: err}
}

// load sends background requests of clients on some machines until ctx ends.
func (f *fleet) load(ctx context.Context, from []*machine, method, path string, perSecond float64) {
	for ctx.Err() == nil {
		m, attempt := from[rand.N(len(from))], f.newID("b-")
		go func() {
			r := m.send(method, path+attempt, attempt, 5*time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.statuses[attempt] = r.status
		}()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// portsPerMachine is the number of ports of a machine.
const portsPerMachine = 5

// freePorts returns ports that are free on all machines of a network.
func (f *fleet) freePorts(net1, net2, machines int) ([]int, error) {
	var out []int
	for tries := 0; len(out) < portsPerMachine; tries++ {
		if tries > 20 {
			return nil, fmt.Errorf("no free ports on 127.%d.%d.0", net1, net2)
		}
		if port := 20000 + rand.N(10000); isFree(port, net1, net2, machines) {
			out = append(out, port)
		}
	}
	return out, nil
}

func isFree(port, net1, net2, machines int) bool {
	for n := range machines {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", net1, net2, n+1, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
