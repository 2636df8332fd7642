// Package responder simulates a backend server.
//
// The simulated server has limited slots and connections, a random service
// time and a cold start; it drains, sheds load when its queue is full and stops
// work on requests that are cancelled. It can report its load late or wrongly,
// call other services through the node of its VM, and crash on a marked
// request.
//
// # Usage
//
//	r := &responder.Responder{Service: "clearance", Slots: 10, ServiceTime: 20 * time.Millisecond}
//	http.Serve(r.Limit(listener), r)
package responder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/netutil"
)

// Header fields that the simulated server reads. HeaderNonce and HeaderPoison
// are for tests only and not part of the documented protocol.
const (
	HeaderContext        = "Apricot-Context"
	HeaderNonce          = "Nonce"  // returned in the response body
	HeaderPoison         = "Poison" // if not empty, calls Crash
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	maxBodyBytes = 1 << 20
	// coldStartFactor multiplies the service time directly after the start. It
	// falls linearly to 1 during ColdStart.
	coldStartFactor = 3
	// queuePerSlot is the number of requests that may wait for each slot.
	// Further requests are shed.
	queuePerSlot = 2
)

type (
	// A Call is a call to another service that is made for each request.
	Call struct {
		Method string `toml:"method"`
		Path   string `toml:"path"`
	}

	// A Handle lists the calls that are made for requests below a path.
	Handle struct {
		Path  string `toml:"path"` // prefix
		Calls []Call `toml:"calls"`
	}

	// A Responder is a simulated backend server. Its exported fields must be
	// set before it serves requests.
	Responder struct {
		Service     string
		Node        netip.AddrPort // where the node of this VM accepts calls
		Slots       int
		Connections int
		ServiceTime time.Duration // mean
		ColdStart   time.Duration // length of the cold start
		ReportLag   time.Duration // age of the reported number of busy slots
		ReportSlots int           // reported instead of Slots if above 0
		Handles     []Handle
		// Broken makes the server close the connection instead of responding.
		Broken bool
		// Crash ends the process; if nil, HeaderPoison has no effect.
		Crash func()
		// Client sends the calls to other services.
		Client *http.Client

		mu          sync.Mutex
		startedAt   time.Time
		slots       chan struct{}
		waiting     int
		busy        int
		slowdown    float64
		draining    bool
		runsByKey   map[string]int // requests started, by idempotency key
		served      int            // requests started
		leaks       int            // requests that carried a caller's API key
		lastContext string         // call context of the last request
		loadHistory []loadSample   // oldest first; spans ReportLag
	}

	// A loadSample is the load at a point in time.
	loadSample struct {
		at time.Time
		Load
	}

	// Load is the response to /load.
	Load struct {
		Slots    int  `json:"slots"`
		Busy     int  `json:"busy"`
		Draining bool `json:"draining"`
	}

	// A ResponseBody is the body of a successful response.
	ResponseBody struct {
		Service string `json:"service"`
		Nonce   string `json:"nonce"`
		Digest  string `json:"digest"` // of the request body
		Calls   int    `json:"calls"`
	}
)

// Limit returns a listener that keeps at most Connections connections open;
// further connections are not accepted until one of them closes.
func (r *Responder) Limit(l net.Listener) net.Listener {
	return netutil.LimitListener(l, r.Connections)
}

// Drain makes the server report that it is draining.
func (r *Responder) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// SlowDown multiplies the service time by a factor. It replaces the factor of an
// earlier call.
func (r *Responder) SlowDown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// Runs returns the number of requests started for each idempotency key.
func (r *Responder) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.runsByKey))
	for key, n := range r.runsByKey {
		out[key] = n
	}
	return out
}

// Served returns the number of requests started.
func (r *Responder) Served() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
}

// Leaks returns the number of requests that carried a caller's API key, which
// nodes must not forward to backend servers.
func (r *Responder) Leaks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaks
}

// LastContext returns the call context of the request that was started last.
func (r *Responder) LastContext() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContext
}

// ServeHTTP serves /load, /health, /drain and /runs; all other paths are
// requests to the simulated service.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.initOnce()
	switch request.URL.Path {
	case "/load":
		writeJSON(w, http.StatusOK, r.reportedLoad())
	case "/health":
		fmt.Fprintln(w, "ok")
	case "/drain":
		r.Drain()
		fmt.Fprintln(w, "draining")
	case "/runs":
		writeJSON(w, http.StatusOK, r.Runs())
	default:
		r.serve(w, request)
	}
}

// initOnce initialises the state at the first request.
func (r *Responder) initOnce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots != nil {
		return
	}
	r.startedAt = time.Now()
	r.slots = make(chan struct{}, r.Slots)
	r.runsByKey = make(map[string]int)
	if r.slowdown == 0 {
		r.slowdown = 1
	}
}

func (r *Responder) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !r.acquireSlot(request.Context()) {
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot()
	r.recordRequest(request)
	if request.Header.Get(HeaderPoison) != "" && r.Crash != nil {
		r.Crash()
		return
	}
	if r.Broken {
		panic(http.ErrAbortHandler)
	}
	if !r.simulateWork(request.Context()) {
		return
	}
	calls, err := r.makeCalls(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	sum := sha256.Sum256(body)
	writeJSON(w, http.StatusOK, ResponseBody{
		Service: r.Service,
		Nonce:   request.Header.Get(HeaderNonce),
		Digest:  hex.EncodeToString(sum[:]),
		Calls:   calls,
	})
}

// acquireSlot waits in a bounded queue for a slot. It returns false if the queue
// is full or the context is done.
func (r *Responder) acquireSlot(ctx context.Context) bool {
	r.mu.Lock()
	if r.waiting >= queuePerSlot*r.Slots {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer r.addWaiting(-1)
	select {
	case r.slots <- struct{}{}:
		r.addBusy(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Responder) releaseSlot() {
	r.addBusy(-1)
	<-r.slots
}

func (r *Responder) addWaiting(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting += n
}

func (r *Responder) addBusy(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy += n
	now := time.Now()
	r.loadHistory = append(r.loadHistory, loadSample{now, r.currentLoad()})
	for len(r.loadHistory) > 1 && now.Sub(r.loadHistory[1].at) > r.ReportLag {
		r.loadHistory = r.loadHistory[1:]
	}
}

func (r *Responder) currentLoad() Load {
	slots := r.Slots
	if r.ReportSlots > 0 {
		slots = r.ReportSlots
	}
	return Load{Slots: slots, Busy: r.busy, Draining: r.draining}
}

// reportedLoad returns the load as of ReportLag ago, except that draining is
// reported without lag.
func (r *Responder) reportedLoad() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.currentLoad()
	if r.ReportLag == 0 || len(r.loadHistory) == 0 {
		return l
	}
	l.Busy = r.loadHistory[0].Busy
	return l
}

func (r *Responder) recordRequest(request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	r.lastContext = request.Header.Get(HeaderContext)
	if key := request.Header.Get(headerIdempotencyKey); key != "" {
		r.runsByKey[key]++
	}
	if request.Header.Get("Authorization") != "" {
		r.leaks++
	}
}

// simulateWork sleeps for the service time and returns true, or returns false as
// soon as the request is cancelled.
func (r *Responder) simulateWork(ctx context.Context) bool {
	timer := time.NewTimer(r.drawServiceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// drawServiceTime returns a random service time, uniform between 0.5 and 1.5
// times the mean, increased by the slowdown and by the cold start.
func (r *Responder) drawServiceTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := float64(r.ServiceTime) * r.slowdown * (0.5 + rand.Float64())
	if uptime := time.Since(r.startedAt); uptime < r.ColdStart {
		d *= 1 + (coldStartFactor-1)*(1-float64(uptime)/float64(r.ColdStart))
	}
	return time.Duration(d)
}

// makeCalls makes the calls for a request one after the other and returns the
// number of successful ones.
func (r *Responder) makeCalls(request *http.Request) (int, error) {
	calls := r.callsFor(request.URL.Path)
	for i, c := range calls {
		if err := r.sendCall(request, c); err != nil {
			return i, fmt.Errorf("call %s %s: %w", c.Method, c.Path, err)
		}
	}
	return len(calls), nil
}

func (r *Responder) callsFor(path string) []Call {
	for _, h := range r.Handles {
		if strings.HasPrefix(path, h.Path) {
			return h.Calls
		}
	}
	return nil
}

func (r *Responder) sendCall(request *http.Request, c Call) error {
	target := "http://" + r.Node.String() + c.Path
	outgoing, err := http.NewRequestWithContext(request.Context(), c.Method, target, bytes.NewReader(nil))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	outgoing.Header.Set(HeaderContext, request.Header.Get(HeaderContext))
	response, err := r.Client.Do(outgoing)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %d, want 200", response.StatusCode)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	// A write error means that the client has closed the connection.
	_, _ = w.Write(body)
}
