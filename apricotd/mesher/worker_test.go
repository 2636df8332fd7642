package mesher

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/standin/connector"
)

// Faults of a worker's responses.
const (
	noFault           fault = iota
	duplicateResponse       // sends the response twice
	rejectedNotRun          // rejects the request with the field that says it was not run
	truncatedResponse       // closes the connection within the response
	droppedResponse         // runs the request and closes the connection without a response
	unframedResponse        // sends no length; the response ends when the connection closes
	endlessHead             // sends header fields until the connection is closed
	endlessBody             // sends a body until the connection is closed
	staleResponse           // sends the previous response again before the current one
	scriptedResponse        // sends the scripted response
)

type (
	fault int

	// A worker is a backend server for tests. It records the requests that it runs.
	worker struct {
		id          string
		pool        string
		slots       int
		serviceTime time.Duration
		// queueLimit is the number of requests that may wait for a slot; others are
		// rejected. If it is zero, the number of running requests is not limited.
		queueLimit int
		// fullSlowdown is the factor by which requests take longer that start while
		// all slots are in use. Zero means no slowdown.
		fullSlowdown float64
		// newCall returns the text of a downstream call. For each request that it
		// runs, the worker makes callsPerRun calls (at least one) in sequence through
		// the local node, which dialNode connects to. nil means no calls.
		newCall     func() string
		leaf        string // prefix of the targets that make no calls; empty means none
		callsPerRun int
		dialNode    func() net.Conn

		t       *testing.T
		network *connector.Connector
		address netip.AddrPort

		mu           sync.Mutex
		fault        fault
		unhealthy    bool          // the health check responds with 503
		statement    func() string // returns header lines for every response; nil means none
		arrivalTimes []time.Time   // of all requests, health checks included
		recorded     []requestRun
		arrivalCount int
		arrivalIDs   []string
		busy         int
		waiting      int
		shedRatio    float64 // fraction of requests rejected at random; needs a queueLimit
		maxBusy      int
		lastResponse string // for staleResponse
		coldUntil    time.Time
		coldArrivals []time.Time // of requests and health checks while it was cold, without rejected ids
		scripted     struct {
			status string
			fields string // header lines
			runs   bool   // the request is run first
		}
		listener net.Listener
		conns    map[net.Conn]bool // nil after the end
	}

	requestRun struct {
		id, caller, organisation, key, target string
		server, pool                          string // where it ran
		remaining                             string
		at, end                               time.Time
		cancelled                             bool
		failed                                bool // a downstream call failed
	}
)

func (w *worker) start(t *testing.T, network *connector.Connector, address netip.AddrPort) {
	w.t, w.network, w.address = t, network, address
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatalf("listen for backend server: %v", err)
	}
	w.mu.Lock()
	w.listener, w.conns = listener, make(map[net.Conn]bool)
	w.mu.Unlock()
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(nc)
		}
	}()
}

// end closes the listener and all connections.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
	for nc := range w.conns {
		_ = nc.Close()
	}
	w.conns = nil
}

func (w *worker) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conns == nil
}

// crash closes the listener and opens it again after a second, with a new server id.
func (w *worker) crash() {
	_ = w.listener.Close()
	time.AfterFunc(time.Second, func() {
		w.mu.Lock()
		w.id += "x"
		w.mu.Unlock()
		w.start(w.t, w.network, w.address)
	})
}

func (w *worker) close() { _ = w.listener.Close() }

func (w *worker) setFault(injected fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = injected
}

// setScripted makes the worker respond to each request with a status and header
// lines, after it has run the request or without running it.
func (w *worker) setScripted(status string, fields []string, runs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = scriptedResponse
	w.scripted.status, w.scripted.runs = status, runs
	w.scripted.fields = strings.Join(fields, "\r\n") + "\r\n"
}

func (w *worker) runs() []requestRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]requestRun(nil), w.recorded...)
}

func (w *worker) serve(nc net.Conn) {
	defer nc.Close()
	w.mu.Lock()
	if w.conns != nil {
		w.conns[nc] = true
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, nc)
	}()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		// A node sends its next request only after the response to this one. Until
		// then, Peek returns only if the node has closed the connection.
		next := make(chan struct{})
		go func() {
			defer close(next)
			_, _ = br.Peek(1)
		}()
		if !w.respond(nc, next, r, string(body)) {
			return
		}
		<-next
	}
}

// respond handles one request. It returns false if the connection must be closed.
// disconnected is closed if the node closes the connection.
func (w *worker) respond(nc net.Conn, disconnected <-chan struct{}, r *http.Request, body string) bool {
	w.mu.Lock()
	injected, id, unhealthy, stated := w.fault, w.id, w.unhealthy, w.stated()
	w.arrivalTimes = append(w.arrivalTimes, time.Now())
	coldLeft := time.Until(w.coldUntil)
	if wanted := r.Header.Get("Want"); coldLeft > 0 && (wanted == "" || wanted == id) {
		w.coldArrivals = append(w.coldArrivals, time.Now())
	}
	w.mu.Unlock()
	if r.URL.Path == "/health" {
		status := "200 OK"
		if unhealthy {
			status = "503 Service Unavailable"
		}
		if coldLeft > 0 {
			stated += fmt.Sprintf("Cold: %d\r\n", coldLeft.Milliseconds()+1)
		}
		_, err := fmt.Fprintf(nc, "HTTP/1.1 %s\r\nServer: %s\r\n%sContent-Length: 0\r\n\r\n", status, id, stated)
		return err == nil
	}
	w.mu.Lock()
	w.arrivalCount++
	w.arrivalIDs = append(w.arrivalIDs, r.Header.Get("Id"))
	w.mu.Unlock()
	head := "Id: " + r.Header.Get("Id") + "\r\n" + stated
	switch wanted := r.Header.Get("Want"); {
	case wanted != "" && wanted != id: // a request that names no server is run by any
		_, err := fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\n%sServer: %s\r\nContent-Length: 0\r\n\r\n", head, id)
		return err == nil
	case injected == rejectedNotRun:
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\n%sNotrun: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	if injected == scriptedResponse {
		if w.scripted.runs {
			w.execute(r, disconnected)
		}
		_, err := fmt.Fprintf(nc, "HTTP/1.1 %s Scripted\r\n%s%sContent-Length: 0\r\n\r\n", w.scripted.status, head, w.scripted.fields)
		return err == nil
	}
	if !w.acquireSlot(disconnected) {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\n%sNotrun: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	failed := w.execute(r, disconnected)
	w.mu.Lock()
	head = "Id: " + r.Header.Get("Id") + "\r\n" + w.stated()
	w.mu.Unlock()
	if strings.Contains(r.URL.Path, "/crash") {
		w.crash()
		return false
	}
	if failed {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 500 Internal Server Error\r\n%sReceipt: %s\r\nContent-Length: 0\r\n\r\n", head, id)
		return err == nil
	}
	content := "ran " + r.URL.RequestURI() + " " + body
	full := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sReceipt: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(content), content)
	w.mu.Lock()
	previous := w.lastResponse
	w.lastResponse = full
	w.mu.Unlock()
	switch injected {
	case staleResponse:
		_, err := io.WriteString(nc, previous+full)
		return err == nil
	case duplicateResponse:
		_, err := io.WriteString(nc, full+full)
		return err == nil
	case truncatedResponse:
		_, _ = io.WriteString(nc, full[:len(full)-3])
		return false
	case droppedResponse:
		return false
	case endlessHead:
		return sendEndlessly(nc, "HTTP/1.1 200 OK\r\n"+head, strings.Repeat("Other: x\r\n", 100))
	case endlessBody:
		return sendEndlessly(nc, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sReceipt: %s\r\n\r\n", head, id), strings.Repeat("x", 4000))
	case unframedResponse:
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sReceipt: %s\r\n\r\n%s", head, id, content)
		return false
	}
	_, err := io.WriteString(nc, full)
	return err == nil
}

// stated returns the header lines of the statement. w.mu must be held.
func (w *worker) stated() string {
	if w.statement == nil {
		return ""
	}
	return w.statement()
}

// state makes every response carry the header lines from now on.
func (w *worker) state(lines ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := ""
	for _, line := range lines {
		text += line + "\r\n"
	}
	w.statement = func() string { return text }
}

// sendEndlessly sends a text, and then another one repeatedly until the node closes
// the connection.
func sendEndlessly(nc net.Conn, first, repeated string) bool {
	_, err := io.WriteString(nc, first)
	for err == nil {
		_, err = io.WriteString(nc, repeated)
		time.Sleep(100 * time.Microsecond)
	}
	return false
}

// execute runs a request for the duration that ends its path or, without one, the
// service time, or until the node disconnects. It
// reports whether a downstream call failed.
func (w *worker) execute(r *http.Request, disconnected <-chan struct{}) (failed bool) {
	w.mu.Lock()
	w.recorded = append(w.recorded, requestRun{
		id: r.Header.Get("Id"), caller: r.Header.Get("Caller"), organisation: r.Header.Get("Org"),
		server: w.id, pool: w.pool, key: r.Header.Get("Key"), target: r.URL.RequestURI(), remaining: r.Header.Get("Left"), at: time.Now(),
	})
	index := len(w.recorded) - 1
	if w.queueLimit == 0 {
		w.busy++
	}
	w.maxBusy = max(w.maxBusy, w.busy)
	service := w.serviceTime
	if d, err := time.ParseDuration(path.Base(r.URL.Path)); err == nil {
		service = d
	}
	if w.fullSlowdown > 0 && w.busy >= w.slots {
		service = time.Duration(float64(service) * w.fullSlowdown)
	}
	w.mu.Unlock()
	if w.newCall != nil && (w.leaf == "" || !strings.HasPrefix(r.URL.Path, w.leaf)) {
		for i := 0; i < max(1, w.callsPerRun) && !failed; i++ {
			failed = w.callDownstream()
		}
	}
	cancelled := false
	select {
	case <-disconnected:
		cancelled = true
	case <-time.After(service):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	w.recorded[index].cancelled, w.recorded[index].failed, w.recorded[index].end = cancelled, failed, time.Now()
	return failed
}

// acquireSlot waits for a free slot if there is a queueLimit. It returns false if
// the request is rejected.
func (w *worker) acquireSlot(disconnected <-chan struct{}) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queueLimit == 0 {
		return true
	}
	if w.busy >= w.slots && w.waiting >= w.queueLimit || rand.Float64() < w.shedRatio {
		return false
	}
	w.waiting++
	for w.busy >= w.slots {
		w.mu.Unlock()
		select {
		case <-disconnected:
		case <-time.After(time.Millisecond):
		}
		w.mu.Lock()
	}
	w.waiting--
	w.busy++
	return true
}

// callDownstream makes one call through the local node.
func (w *worker) callDownstream() (failed bool) {
	nc := w.dialNode()
	if nc == nil {
		return true
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, w.newCall()); err != nil {
		return true
	}
	r := readResponse(bufio.NewReader(nc), "GET")
	return r.err != nil || !strings.HasPrefix(fmt.Sprint(r.status), "2")
}
