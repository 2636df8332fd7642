// Package responder stands in for a backend server.
//
// It has a number of slots, accepts a number of connections, takes time for
// each request, starts cold, drains, sheds load beyond its slots, honours
// cancellation and deadlines, reports its load late or wrongly, calls further
// services through its own node, and crashes on a poisoned request.
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

// Header fields that the stand-in understands beside the documented ones.
const (
	HeaderContext = "Apricot-Context"
	HeaderNonce   = "Nonce"  // echoed in the answer
	HeaderPoison  = "Poison" // makes the backend server crash
	headerKey     = "Idempotency-Key"
)

const (
	maxBody     = 1 << 20 // bytes
	coldPenalty = 3       // times the service time directly after the start
	// queueFactor times the slots may wait before the backend server sheds.
	queueFactor = 2
)

type (
	// A Call is a call to a further service that each request makes.
	Call struct {
		Method string `toml:"method"`
		Path   string `toml:"path"`
	}

	// A Handle tells which calls requests below a path make.
	Handle struct {
		Path  string `toml:"path"`
		Calls []Call `toml:"calls"`
	}

	// A Responder is one backend server. Its exported fields must be set
	// before it serves.
	Responder struct {
		Service     string
		Node        netip.AddrPort // where the own node takes calls
		Slots       int
		Connections int
		ServiceTime time.Duration
		ColdStart   time.Duration
		ReportLag   time.Duration
		ReportSlots int // reported instead of Slots if above 0
		Handles     []Handle
		// Broken makes the backend server break off every request.
		Broken bool
		// Crash ends the process; nil means that poison is ignored.
		Crash func()
		// Client makes the calls to further services.
		Client *http.Client

		mu       sync.Mutex
		begun    time.Time
		slots    chan struct{}
		waiting  int
		busy     int
		slowness float64
		draining bool
		runs     map[string]int // by idempotency key
		served   int            // requests begun
		leaks    int            // requests that carried a key
		context  string         // of the last request
		reports  []report
	}

	report struct {
		at time.Time
		Load
	}

	// Load is what the backend server reports.
	Load struct {
		Slots    int  `json:"slots"`
		Busy     int  `json:"busy"`
		Draining bool `json:"draining"`
	}

	// An Answer is the body of an answer.
	Answer struct {
		Service string `json:"service"`
		Nonce   string `json:"nonce"`
		Digest  string `json:"digest"` // of the request body
		Calls   int    `json:"calls"`
	}
)

// Limit returns a listener that accepts as many connections at once as the
// backend server does; further ones wait to be accepted.
func (r *Responder) Limit(l net.Listener) net.Listener {
	return netutil.LimitListener(l, r.Connections)
}

// Drain makes the backend server report that it is leaving.
func (r *Responder) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// SlowDown multiplies the service time.
func (r *Responder) SlowDown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowness = factor
}

// Runs returns how often each idempotency key was begun.
func (r *Responder) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.runs))
	for key, n := range r.runs {
		out[key] = n
	}
	return out
}

// Served returns the number of requests begun.
func (r *Responder) Served() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served
}

// Leaks returns the number of requests that carried a caller's key.
func (r *Responder) Leaks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaks
}

// LastContext returns the context of the last request that was begun.
func (r *Responder) LastContext() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.context
}

// ServeHTTP answers requests, /load, /health and /runs; /drain makes it drain.
func (r *Responder) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r.start()
	switch hr.URL.Path {
	case "/load":
		writeJSON(w, http.StatusOK, r.load())
	case "/health":
		fmt.Fprintln(w, "ok")
	case "/drain":
		r.Drain()
		fmt.Fprintln(w, "draining")
	case "/runs":
		writeJSON(w, http.StatusOK, r.Runs())
	default:
		r.serve(w, hr)
	}
}

func (r *Responder) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots != nil {
		return
	}
	r.begun = time.Now()
	r.slots = make(chan struct{}, r.Slots)
	r.runs = make(map[string]int)
	if r.slowness == 0 {
		r.slowness = 1
	}
}

func (r *Responder) serve(w http.ResponseWriter, hr *http.Request) {
	body, err := io.ReadAll(io.LimitReader(hr.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !r.enter(hr.Context()) {
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	r.note(hr)
	if hr.Header.Get(HeaderPoison) != "" && r.Crash != nil {
		r.Crash()
		return
	}
	if r.Broken {
		panic(http.ErrAbortHandler)
	}
	if !r.work(hr.Context()) {
		return
	}
	calls, err := r.call(hr)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	sum := sha256.Sum256(body)
	writeJSON(w, http.StatusOK, Answer{
		Service: r.Service,
		Nonce:   hr.Header.Get(HeaderNonce),
		Digest:  hex.EncodeToString(sum[:]),
		Calls:   calls,
	})
}

// enter takes a slot, waiting in a bounded queue.
func (r *Responder) enter(ctx context.Context) bool {
	r.mu.Lock()
	if r.waiting >= queueFactor*r.Slots {
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

func (r *Responder) leave() {
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
	r.reports = append(r.reports, report{now, r.present()})
	for len(r.reports) > 1 && now.Sub(r.reports[1].at) > r.ReportLag {
		r.reports = r.reports[1:]
	}
}

func (r *Responder) present() Load {
	slots := r.Slots
	if r.ReportSlots > 0 {
		slots = r.ReportSlots
	}
	return Load{Slots: slots, Busy: r.busy, Draining: r.draining}
}

// load is the report as of ReportLag ago. Draining does not lag.
func (r *Responder) load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.present()
	if r.ReportLag == 0 || len(r.reports) == 0 {
		return l
	}
	l.Busy = r.reports[0].Busy
	return l
}

func (r *Responder) note(hr *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	r.context = hr.Header.Get(HeaderContext)
	if key := hr.Header.Get(headerKey); key != "" {
		r.runs[key]++
	}
	if hr.Header.Get("Authorization") != "" {
		r.leaks++
	}
}

// work holds the slot for the service time, or until the request is cancelled.
func (r *Responder) work(ctx context.Context) bool {
	timer := time.NewTimer(r.duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Responder) duration() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := float64(r.ServiceTime) * r.slowness * (0.5 + rand.Float64())
	if warm := time.Since(r.begun); warm < r.ColdStart {
		d *= 1 + (coldPenalty-1)*(1-float64(warm)/float64(r.ColdStart))
	}
	return time.Duration(d)
}

// call makes the request's calls to further services, one after the other.
func (r *Responder) call(hr *http.Request) (int, error) {
	calls := r.callsOf(hr.URL.Path)
	for i, c := range calls {
		if err := r.callOne(hr, c); err != nil {
			return i, fmt.Errorf("call %s %s: %w", c.Method, c.Path, err)
		}
	}
	return len(calls), nil
}

func (r *Responder) callsOf(path string) []Call {
	for _, h := range r.Handles {
		if strings.HasPrefix(path, h.Path) {
			return h.Calls
		}
	}
	return nil
}

func (r *Responder) callOne(hr *http.Request, c Call) error {
	target := "http://" + r.Node.String() + c.Path
	request, err := http.NewRequestWithContext(hr.Context(), c.Method, target, bytes.NewReader(nil))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set(HeaderContext, hr.Header.Get(HeaderContext))
	response, err := r.Client.Do(request)
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
	// A failed write means that the caller has gone.
	_, _ = w.Write(body)
}
