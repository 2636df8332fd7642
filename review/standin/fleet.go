package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	template = "deploy/settings.toml.tmpl"
	program  = "target/platform"
	memoryMB = 284
	graceS   = 6
	host     = "hulo84.example"
	readyMax = 15 * time.Second
)

type (
	// A record is the log of a case.
	record struct {
		mu    sync.Mutex
		start time.Time
		file  *os.File
		runs  map[string]int
		times []float64 // of all runs, in seconds
	}

	// A machine has a node of the project, and an instance.
	machine struct {
		name, ip, service   string
		callers, ready, app string
		dir, settings       string
		command             *exec.Cmd
		instance            *instance
		ended               chan struct{}
		killed              bool // by the platform, for its memory
		zone, region        string
		storeAt             string // where its node reaches the store
		linkPort            int
	}

	// A fleet is a small deployment: the store and the machines.
	fleet struct {
		log      *record
		store    *store
		storeAt  string
		machines []*machine
		dir      string
		// cut is the partition between the regions. The store is in the first one.
		cut cut
	}
)

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("create record: %v", err)
	}
	return &record{start: time.Now(), file: f, runs: make(map[string]int)}
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func (r *record) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.times = append(r.times, time.Since(r.start).Seconds())
}

// mostRuns returns the greatest number of runs in any window, and when it ends.
func (r *record) mostRuns(window float64) (most int, end float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for i, t := range r.times {
		for r.times[first] <= t-window {
			first++
		}
		if n := i - first + 1; n > most {
			most, end = n, t
		}
	}
	return most, end
}

func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// fail ends the case as one that could not run.
func fail(format string, a ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", a...)
	stopAll()
	os.Exit(2)
}

var started struct {
	sync.Mutex
	nodes []*exec.Cmd
	dir   string
}

// stopAll kills the nodes that this process has started.
func stopAll() {
	started.Lock()
	defer started.Unlock()
	for _, c := range started.nodes {
		_ = c.Process.Kill()
	}
	if started.dir != "" {
		_ = os.RemoveAll(started.dir)
	}
}

// The regions of a small deployment, by zone.
var regions = map[string]string{"ba-petrzalka": "bratislava", "ke-juh": "kosice"}

// newFleet starts a store, and a machine for each service, with the configuration. All
// machines are in one region.
func newFleet(log *record, services []string, routes map[string]any) *fleet {
	return newFleetOf(log, services, nil, routes, nil)
}

// newFleetOf starts a store, and a machine for each service, with the configuration. A
// service that is named in far has its machine in the other region.
func newFleetOf(log *record, services []string, far map[int]bool, routes, tenants map[string]any) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("create folder: %v", err)
	}
	started.dir = dir
	f := &fleet{log: log, store: newStore(), dir: dir}
	l := listen("127.0.0.1:0")
	f.storeAt = l.Addr().String()
	go f.store.serve(l)
	serviceTable := map[string]any{}
	for i, service := range services {
		serviceTable[service] = map[string]any{"HealthPath": "/health", "MaxConns": 316, "Protocol": "h1", "Tls": false}
		m := &machine{name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("127.0.0.%d", i+1), service: service, zone: "ba-petrzalka", storeAt: f.storeAt}
		if far[i] {
			m.zone = "ke-juh"
			l := listen(m.ip + ":0")
			m.storeAt = l.Addr().String()
			go proxy(l, m.ip, f.storeAt, &f.cut)
		}
		m.region = regions[m.zone]
		app := listen(m.ip + ":0")
		m.app = app.Addr().String()
		id := fmt.Sprintf("i-%d", i+1)
		m.callers, m.ready = freeAddress(m.ip), freeAddress(m.ip)
		m.instance = &instance{id: id, service: service, log: log, outbound: m.callers}
		go m.instance.serve(app)
		f.machines = append(f.machines, m)
		go f.beat(id, m)
	}
	config := map[string]any{
		"Version": 7, "Routes": routes, "Services": serviceTable,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	}
	if tenants != nil {
		config["Tenants"] = tenants
	}
	f.store.put("op/config", config)
	if len(far) > 0 {
		f.linkThroughProxies()
	} else {
		port := freePort(f.machines)
		for _, m := range f.machines {
			m.linkPort = port
		}
	}
	for _, m := range f.machines {
		f.startNode(m)
	}
	for _, m := range f.machines {
		f.awaitReady(m)
	}
	return f
}

// linkThroughProxies puts a proxy between the nodes of each pair of machines. A node
// opens links to the port that it has itself, so each machine gets a port of its own,
// and a proxy on every other machine's address listens on it.
func (f *fleet) linkThroughProxies() {
	for _, m := range f.machines {
		m.linkPort = freePort(f.machines)
		for _, other := range f.machines {
			if other == m {
				continue
			}
			c := &f.cut
			if other.region == m.region {
				c = &cut{}
			}
			l := listen(fmt.Sprintf("%s:%d", other.ip, m.linkPort))
			go func() {
				for other.linkPort == 0 {
					time.Sleep(time.Millisecond)
				}
				proxy(l, m.ip, fmt.Sprintf("%s:%d", other.ip, other.linkPort), c)
			}()
		}
	}
}

// beat registers an instance and renews its entry. The store removes an entry after
// three intervals of silence.
func (f *fleet) beat(id string, m *machine) {
	born := time.Now().UnixMilli()
	for seq, silent := 1, 0; ; seq++ {
		for m.region != regions["ba-petrzalka"] && f.cut.inForce.Load() {
			if silent++; silent == 3 {
				f.store.remove("servers/" + id)
				f.log.add("the store removes the entry of %s, which has been silent for three intervals", id)
			}
			time.Sleep(1500 * time.Millisecond)
		}
		silent = 0
		f.store.put("servers/"+id, map[string]any{
			"Address": m.app, "born": born,
			"Info":   map[string]any{"Service": m.service, "Version": "v1", "Zone": m.zone, "Slots": 36},
			"Status": map[string]any{"State": "ready", "Seq": seq, "ColdLeftS": 0},
		})
		time.Sleep(1500 * time.Millisecond)
	}
}

// startNode writes the settings of a machine's node, as the platform fills in the
// project's template, and starts the program with the words of the deploy file.
func (f *fleet) startNode(m *machine) {
	m.dir = filepath.Join(f.dir, m.name)
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		fail("create folder: %v", err)
	}
	m.settings = filepath.Join(m.dir, "boot.yaml")
	f.writeSettings(m)
	out, err := os.Create(filepath.Join(m.dir, "log"))
	if err != nil {
		fail("create log: %v", err)
	}
	m.command = exec.Command(program, "--config", m.settings)
	m.command.Stdout, m.command.Stderr = out, out
	m.command.Env = append(os.Environ(), "APRICOTRUDDER_CONFIG="+m.settings)
	if err := m.command.Start(); err != nil {
		fail("start %s: %v; build by the deploy file first", program, err)
	}
	started.Lock()
	started.nodes = append(started.nodes, m.command)
	started.Unlock()
	m.ended = make(chan struct{})
	command, ended := m.command, m.ended
	f.log.add("node of %s (%s, service %s) starts", m.name, m.ip, m.service)
	go func() {
		err := command.Wait()
		f.log.add("node of %s has ended: %v", m.name, err)
		close(ended)
	}()
}

func (f *fleet) writeSettings(m *machine) {
	data, err := os.ReadFile(template)
	if err != nil {
		fail("read template: %v", err)
	}
	text := string(data)
	from, to := strings.Index(text, "{{#Zones}}"), strings.Index(text, "{{/Zones}}")
	if from < 0 || to < 0 {
		fail("template has no zones")
	}
	zones := ""
	for zone, region := range regions {
		zones += fmt.Sprintf("%q = %q\n", zone, region)
	}
	text = text[:from] + zones + text[to+len("{{/Zones}}"):]
	quoted := func(s string) string {
		b, _ := json.Marshal(s)
		return string(b)
	}
	for name, value := range map[string]string{
		"{{Node|json}}": quoted(m.name), "{{Region|json}}": quoted(m.region), "{{Zone|json}}": quoted(m.zone),
		"{{Service|json}}": quoted(m.service), "{{Listen.Outbound|json}}": quoted(m.callers),
		"{{Listen.Ready|json}}": quoted(m.ready), "{{Ip}}": m.ip, "{{PortRange.0}}": strconv.Itoa(m.linkPort),
		"{{HeartbeatS}}": "1.5", "{{AppAddr|json}}": quoted(m.app), "{{Platform.Address|json}}": quoted(m.storeAt),
		"{{Limits.MemoryMb}}": strconv.Itoa(memoryMB), "{{Bounds.GraceS}}": strconv.Itoa(graceS), "{{Bounds.ReuseAfterS}}": "2",
		"{{Bounds.QuotaOvershoot}}": "0.25", "{{Bounds.QuotaSlack}}": "20", "{{Bounds.QuotaWindowS}}": "5",
		"{{Bounds.RetryWindowS}}": "10", "{{Bounds.RetryBudgetRatio}}": "0.2", "{{Bounds.BudgetSlack}}": "50",
	} {
		text = strings.ReplaceAll(text, name, value)
	}
	if strings.Contains(text, "{{") {
		fail("template has a placeholder that this stand-in does not know")
	}
	if err := os.WriteFile(m.settings, []byte(text), 0o644); err != nil {
		fail("write settings: %v", err)
	}
}

// awaitReady waits until the node answers GET /ready with 200.
func (f *fleet) awaitReady(m *machine) {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyMax); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + m.ready + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			f.log.add("node of %s is ready", m.name)
			return
		}
	}
	fail("node of %s did not become ready", m.name)
}

func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.log.add("%v is sent to the node of %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// limitMemory kills the node of a machine if its memory exceeds MemoryMb, as
// DEPLOY.md says. It returns the greatest resident size so far, in MB.
func (f *fleet) limitMemory(m *machine) func() float64 {
	var mu sync.Mutex
	peak := 0.0
	command := m.command
	go func() {
		for {
			select {
			case <-m.ended:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mb := residentMB(command.Process.Pid)
			mu.Lock()
			peak = max(peak, mb)
			mu.Unlock()
			if mb > memoryMB {
				f.log.add("node of %s holds %.0f MB, more than its MemoryMb of %d: the platform kills it", m.name, mb, memoryMB)
				m.killed = true
				_ = command.Process.Kill()
				return
			}
		}
	}()
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return peak
	}
}

func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if fields := strings.Fields(string(line)); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen on %s: %v", address, err)
	}
	return l
}

func freeAddress(ip string) string {
	l := listen(ip + ":0")
	defer l.Close()
	return l.Addr().String()
}

// freePort returns a port that is free on all machines, because every node uses the
// same one for links.
func freePort(machines []*machine) int {
	for range 100 {
		l := listen(machines[0].ip + ":0")
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, m := range machines {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
	fail("found no free port")
	return 0
}
