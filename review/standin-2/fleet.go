// Command standin-2 plays the cases of the second review. It starts the nodes as
// processes of their own, with the command of the deploy file, and stands in for the
// platform's store, the instances and the clients.
//
// Usage: standin-2 CASE RECORD, in the root of the repository.
//
// Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	nodeProgram = "target/platform"
	storeDelay  = 4 * time.Millisecond // of an answer; the sheets of both installations
	memoryMB    = 284
	graceS      = 6
	drainS      = 2 * time.Second
	contactS    = 3 * time.Second
	reuseAfterS = 2 * time.Second
	configS     = 2 * time.Second
	host        = "shop.example"
)

// errSetup marks failures for which the case could not run.
var errSetup = errors.New("the case could not run")

// A record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// A store is the platform's store. It is linearizable and loses nothing.
type store struct {
	mu       sync.Mutex
	revision int
	items    map[string]json.RawMessage
	events   []json.RawMessage // from revision 1
	changed  chan struct{}
	server   *http.Server
	address  string
}

func newStore(ip string) (*store, error) {
	s := &store{items: map[string]json.RawMessage{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

// put writes an item and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	item := json.RawMessage(fmt.Sprintf(`{"Key":%q,"Value":%q,"Rev":%d,"Created":1,"Lease":0}`, key, base64.StdEncoding.EncodeToString(data), s.revision+1))
	s.items[key] = item
	return s.addEvent(item)
}

// remove removes an item and returns when the store has acknowledged that.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
	return s.addEvent(json.RawMessage(fmt.Sprintf(`{"Key":%q,"Rev":%d,"Deleted":true}`, key, s.revision+1)))
}

func (s *store) addEvent(e json.RawMessage) time.Time {
	s.revision++
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// An answer takes storeDelay on average.
	time.Sleep(storeDelay/2 + time.Duration(rand.Int63n(int64(storeDelay))))
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		keys := make([]string, 0, len(s.items))
		for k := range s.items {
			if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		page := struct {
			Items   []json.RawMessage `json:"items"`
			HasMore bool
			At      int
		}{Items: []json.RawMessage{}, At: s.revision}
		for _, k := range keys {
			page.Items = append(page.Items, s.items[k])
		}
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(page)
	case "/kv-watch":
		after, _ := strconv.Atoi(q.Get("after"))
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			events, at, changed := s.events[min(after, len(s.events)):], s.revision, s.changed
			s.mu.Unlock()
			answer := struct {
				Events []json.RawMessage `json:"events"`
				At     int
			}{Events: append([]json.RawMessage{}, events...), At: at}
			if len(events) > 0 {
				time.Sleep(time.Duration(rand.Int63n(int64(storeDelay))))
				_ = json.NewEncoder(w).Encode(answer)
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-timeout:
				_ = json.NewEncoder(w).Encode(answer)
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// A link is the network between one machine and the store. While it is cut, its
// connections are reset and new ones are refused, or all of them are silent.
type link struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	isCut    bool
	silent   chan struct{} // closed when the silence ends; nil if there is none
	conns    map[net.Conn]bool
	answered time.Time // when bytes of the store last passed
}

func newLink(ip, target string) (*link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	go k.run()
	return k, nil
}

func (k *link) run() {
	for {
		a, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		isCut, silent := k.isCut, k.silent
		k.mu.Unlock()
		if isCut {
			reset(a)
			continue
		}
		if silent != nil {
			go func() {
				<-silent
				reset(a)
			}()
			continue
		}
		b, err := net.Dial("tcp", k.target)
		if err != nil {
			reset(a)
			continue
		}
		k.mu.Lock()
		k.conns[a], k.conns[b] = true, true
		k.mu.Unlock()
		go k.copy(b, a, false)
		go k.copy(a, b, true)
	}
}

func (k *link) copy(dst, src net.Conn, isAnswer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		k.mu.Lock()
		silent := k.silent
		k.mu.Unlock()
		if silent != nil {
			<-silent // what arrives meanwhile is lost
			break
		}
		if n > 0 {
			if isAnswer {
				k.mu.Lock()
				k.answered = time.Now()
				k.mu.Unlock()
			}
			if _, werr := dst.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	_ = src.Close()
	_ = dst.Close()
	k.mu.Lock()
	delete(k.conns, src)
	delete(k.conns, dst)
	k.mu.Unlock()
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = true
	for c := range k.conns {
		reset(c)
	}
}

// silence makes the link drop everything until heal is called.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = false
	if k.silent != nil {
		close(k.silent)
		k.silent = nil
	}
}

func (k *link) lastAnswer() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answered
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// A run is a request that an instance began to run.
type run struct {
	id, path, tenant, caller string
	at                       time.Time
	instance                 *instance
}

// A fleet is a small deployment: machines with a node and an instance each.
type fleet struct {
	record   *record
	dir      string
	subnet   string
	linkPort int
	zones    map[string]string // region by zone
	store    *store
	machines []*machine

	mu   sync.Mutex
	runs []run
	sent map[string]sent      // by id
	ends map[string]time.Time // of work, by id; nil if that is not recorded
}

type sent struct {
	at      time.Time
	machine *machine
	service string // of the machine when the request was sent
	status  int
}

// A machine has a node and an instance beside it.
type machine struct {
	fleet                      *fleet
	name, ip, zone             string
	service                    string
	outbound, ready, operators string
	app                        string
	link                       *link
	settings                   string
	command                    *exec.Cmd
	ended                      chan struct{}
	client                     *http.Client

	mu       sync.Mutex
	instance *instance
}

// An instance is one start of an application instance, with an id of its own.
type instance struct {
	machine     *machine
	id, service string
	work        time.Duration
	server      *http.Server
	leaving     atomic.Bool
	born        time.Time
	seq         int
}

func newFleet(path string, zones map[string]string) (*fleet, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	if _, err := os.Stat(nodeProgram); err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errSetup, err)
	}
	f := &fleet{record: &record{file: file, start: time.Now()}, dir: dir, zones: zones, sent: map[string]sent{}}
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), rand.Intn(250))
		if l, err := net.Listen("tcp", f.subnet+".250:7000"); err == nil {
			_ = l.Close()
			break
		}
	}
	f.linkPort = 7000
	f.store, err = newStore(f.subnet + ".250")
	return f, err
}

// addMachine adds a machine with the last byte of its address.
func (f *fleet) addMachine(last int, zone, service string, work time.Duration) (*machine, error) {
	ip := fmt.Sprintf("%s.%d", f.subnet, last)
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, last), ip: ip, zone: zone, service: service,
		outbound: ip + ":8548", ready: ip + ":8546", operators: ip + ":9464", app: ip + ":8547",
		settings: filepath.Join(f.dir, fmt.Sprintf("boot-%d.toml", last)),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}, Timeout: 10 * time.Second},
	}
	var err error
	if m.link, err = newLink(f.subnet+".251", f.store.address); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, m.startInstance(service, work)
}

// startInstance starts an instance at the address of the machine and registers it.
func (m *machine) startInstance(service string, work time.Duration) error {
	i := &instance{machine: m, service: service, work: work, born: time.Now(), id: fmt.Sprintf("i-%08x", rand.Uint32())}
	l, err := net.Listen("tcp", m.app)
	if err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go i.server.Serve(l)
	m.mu.Lock()
	m.instance = i
	m.mu.Unlock()
	i.publish("ready")
	m.fleet.record.add("instance %s of %s starts at %s (%s)", i.id, service, m.app, m.name)
	return nil
}

func (m *machine) current() *instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instance
}

// entry returns what the instance states about itself.
func (i *instance) entry(state string) map[string]any {
	return map[string]any{
		"Address": i.machine.app,
		"Info":    map[string]any{"Service": i.service, "Version": "v1", "Zone": i.machine.zone, "Slots": 86},
		"Status":  map[string]any{"State": state, "Seq": i.seq, "ColdLeftS": 0},
		"born":    i.born.UnixMilli(),
	}
}

// publish writes the entry of the instance and returns when the store acknowledged it.
func (i *instance) publish(state string) time.Time {
	i.seq++
	return i.machine.fleet.store.put("servers/"+i.id, i.entry(state))
}

// end ends the instance with its connections.
func (i *instance) end() {
	_ = i.server.Close()
	i.machine.fleet.record.add("instance %s ends", i.id)
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Apricotrudder-Server-Load", "1,0,86")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Apricotrudder-Instance-Id", i.id)
		if i.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Apricotrudder-Attempt-Id")
	w.Header().Set("X-Apricotrudder-Attempt-Id", id)
	if i.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if target := r.Header.Get("X-Apricotrudder-Target-Instance"); target != "" && target != i.id {
		w.Header().Set("X-Apricotrudder-Instance-Id", i.id)
		w.Header().Set("X-Apricotrudder-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Apricotrudder-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := i.machine.fleet
	f.mu.Lock()
	f.runs = append(f.runs, run{
		id: id, path: r.URL.Path, tenant: r.Header.Get("X-Apricotrudder-Tenant"),
		caller: r.Header.Get("X-Apricotrudder-Caller-Service"), at: time.Now(), instance: i,
	})
	f.mu.Unlock()
	select {
	case <-time.After(i.work):
		f.endWork(id)
	case <-r.Context().Done():
		f.endWork(id)
		return
	}
	w.Header().Set("X-Apricotrudder-Server-Stamp", "stamp."+i.id+"."+id)
	_, _ = io.WriteString(w, "ran "+id)
}

// endWork records that an instance is no longer at work on a request.
func (f *fleet) endWork(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ends != nil {
		f.ends[id] = time.Now()
	}
}

// writeSettings renders the template of the deploy file for the machine.
func (m *machine) writeSettings() error {
	var zones strings.Builder
	for z, region := range m.fleet.zones {
		fmt.Fprintf(&zones, "%q = %q\n", z, region)
	}
	text := fmt.Sprintf(`vm = %q
region = %q
dataCentre = %q
pool = %q

[dataCentres]
%s
[listen]
callers = %q
health = %q
links = "%s:%d"
operators = %q

[backend]
address = %q
addressReuse = "2s"

[store]
address = %q
heartbeat = "1.5s"

[limits]
memoryMB = %d
stopWithin = "%ds"

[rates]
overshoot = 0.25
slack = 20
window = "5s"

[retries]
window = "10s"
ratio = 0.2
allowance = 50
`, m.name, m.fleet.zones[m.zone], m.zone, m.service, zones.String(), m.outbound, m.ready, m.ip, m.fleet.linkPort,
		m.operators, m.app, m.link.listener.Addr(), memoryMB, graceS)
	if err := os.WriteFile(m.settings+".next", []byte(text), 0o600); err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	if err := os.Rename(m.settings+".next", m.settings); err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	return nil
}

// start starts the node of the machine.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	c := exec.Command(nodeProgram, "--config", m.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	_ = log.Close()
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	m.command, m.ended = c, ended
	return nil
}

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	f.record.add("%d nodes are ready", len(f.machines))
	return nil
}

func (m *machine) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r, err := m.client.Get("http://" + m.ready + "/ready"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	log, _ := os.ReadFile(m.settings + ".log")
	return fmt.Errorf("%w: %s is not ready: %s", errSetup, m.name, log[max(0, len(log)-500):])
}

func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// close ends all processes of the fleet and removes its folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.command != nil {
			_ = m.command.Process.Kill()
			<-m.ended
		}
		if i := m.current(); i != nil {
			_ = i.server.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept:", f.dir)
	}
}

// putConfig writes a configuration and returns when the store acknowledged it.
func (f *fleet) putConfig(version int, routes, services, tenants map[string]any) time.Time {
	doc := map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	}
	if tenants != nil {
		doc["Tenants"] = tenants
	}
	at := f.store.put("op/config", doc)
	f.record.add("configuration %d is acknowledged", version)
	return at
}

func route(prefix, kind, service string, public bool) map[string]any {
	return map[string]any{
		"Host": host, "Prefix": prefix, "Kind": kind, "TimeoutS": 3, "TargetLatencyS": 1.5, "Priority": 1,
		"Service": service, "MaxAttempts": 2, "Public": public,
	}
}

func service() map[string]any {
	return map[string]any{"HealthPath": "/health", "MaxConns": 316, "Protocol": "h1", "Tls": false}
}

var nextID atomic.Int64

// send sends a request to the node of the machine and returns the status; 0 if there was
// no answer.
func (m *machine) send(method, path, key string, budget time.Duration) (id string, status int, stamp string) {
	id = fmt.Sprintf("%016x", 0x1c41d07b00000000+nextID.Add(1))
	r, err := http.NewRequest(method, "http://"+m.outbound+path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Apricotrudder-Attempt-Id", id)
	r.Header.Set("X-Apricotrudder-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("X-Api-Key", key)
	}
	f := m.fleet
	f.mu.Lock()
	service := ""
	if i := m.current(); i != nil {
		service = i.service
	}
	s := sent{at: time.Now(), machine: m, service: service}
	f.sent[id] = s
	f.mu.Unlock()
	response, err := m.client.Do(r)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status, stamp = response.StatusCode, response.Header.Get("X-Apricotrudder-Server-Stamp")
	}
	f.mu.Lock()
	s.status = status
	f.sent[id] = s
	f.mu.Unlock()
	return id, status, stamp
}

// load sends requests at a steady rate from a machine until stop is closed.
func (m *machine) load(wg *sync.WaitGroup, stop <-chan struct{}, perSecond float64, method, path, key string) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		start, n := time.Now(), 0
		for {
			next := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
			n++
			select {
			case <-stop:
				return
			case <-time.After(time.Until(next)):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				m.send(method, path, key, 3*time.Second)
			}()
		}
	}()
}

// statusesLocked summarises the answers. The lock must be held.
func (f *fleet) statusesLocked() string {
	count := map[int]int{}
	for _, s := range f.sent {
		count[s.status]++
	}
	var parts []string
	for status, n := range count {
		parts = append(parts, fmt.Sprintf("%d x %d", status, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// readerOrder sorts the last bytes of addresses in the order in which the nodes of a region
// become its readers.
func (f *fleet) readerOrder(lasts []int) []int {
	weight := func(last int) uint64 {
		h := fnv.New64a()
		ip := net.ParseIP(fmt.Sprintf("%s.%d", f.subnet, last)).To4()
		_, _ = h.Write(ip)
		return h.Sum64()
	}
	out := append([]int(nil), lasts...)
	sort.Slice(out, func(i, j int) bool { return weight(out[i]) < weight(out[j]) })
	return out
}

func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	broken, err := play(os.Args[2])
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}
