package mesher

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotrudder.dev/standin/connector"
)

// Ways in which a worker answers.
const (
	well      manner = iota
	twice            // the answer comes twice
	shedding         // states that it has not run the request
	cutting          // ends the connection in the middle of the answer
	vanishing        // runs the request and ends the connection
	unframed         // no length; the answer ends with the connection
	late             // the answer before comes once more, just before the next
)

type (
	manner int

	// A worker is a backend server. It records what it runs.
	worker struct {
		id      string
		pool    string
		slots   int
		service time.Duration
		// queue is how many requests may wait for a slot; the next one is turned
		// away. Zero lets any number run.
		queue int
		// slowing is how much longer all take while every slot is in use; zero
		// counts as one.
		slowing float64
		// call is a request that the worker makes on its own node for each
		// request that it runs, one after the other, calls times; nil: none.
		call  func() string
		calls int
		node  func() net.Conn

		t       *testing.T
		network *connector.Connector
		address netip.AddrPort

		mu       sync.Mutex
		manner   manner
		unwell   bool // the health check fails
		ran      []ranRequest
		arrived  int
		arrivals []string // ids
		busy     int
		waiting  int
		shedPart float64 // of the requests, turned away although there is room
		mostBusy int
		previous string // answer
		listener net.Listener
	}

	ranRequest struct {
		id, caller, organisation, key, target string
		left                                  string
		at                                    time.Time
		cancelled                             bool
		failed                                bool // a call that it needs failed
	}
)

func (w *worker) run(t *testing.T, network *connector.Connector, address netip.AddrPort) {
	w.t, w.network, w.address = t, network, address
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatalf("listen for backend server: %v", err)
	}
	w.listener = listener
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

// crash ends the server; it is back after a second under a new id.
func (w *worker) crash() {
	_ = w.listener.Close()
	time.AfterFunc(time.Second, func() {
		w.mu.Lock()
		w.id += "x"
		w.mu.Unlock()
		w.run(w.t, w.network, w.address)
	})
}

func (w *worker) close() { _ = w.listener.Close() }

func (w *worker) set(m manner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manner = m
}

func (w *worker) runs() []ranRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ranRequest(nil), w.ran...)
}

func (w *worker) serve(nc net.Conn) {
	defer nc.Close()
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
		// A node sends nothing more before it has the answer, so the next byte
		// or error ends the wait for the next request or shows that it left.
		next := make(chan struct{})
		go func() {
			defer close(next)
			_, _ = br.Peek(1)
		}()
		if !w.answer(nc, next, r, string(body)) {
			return
		}
		<-next
	}
}

// answer reports false if the connection ends.
func (w *worker) answer(nc net.Conn, gone <-chan struct{}, r *http.Request, body string) bool {
	w.mu.Lock()
	m, id, unwell := w.manner, w.id, w.unwell
	w.mu.Unlock()
	if r.URL.Path == "/health" {
		status := "200 OK"
		if unwell {
			status = "503 Service Unavailable"
		}
		_, err := fmt.Fprintf(nc, "HTTP/1.1 %s\r\nServer: %s\r\nContent-Length: 0\r\n\r\n", status, id)
		return err == nil
	}
	w.mu.Lock()
	w.arrived++
	w.arrivals = append(w.arrivals, r.Header.Get("Id"))
	w.mu.Unlock()
	head := "Id: " + r.Header.Get("Id") + "\r\n"
	switch {
	case r.Header.Get("Want") != id:
		_, err := fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\n%sServer: %s\r\nContent-Length: 0\r\n\r\n", head, id)
		return err == nil
	case m == shedding:
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\n%sNotrun: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	if !w.enter(gone) {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\n%sNotrun: 1\r\nContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	failed := w.perform(r, gone)
	if strings.Contains(r.URL.Path, "/crash") {
		w.crash()
		return false
	}
	if failed {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 500 Internal Server Error\r\n%sReceipt: %s\r\nContent-Length: 0\r\n\r\n", head, id)
		return err == nil
	}
	text := "ran " + r.URL.RequestURI() + " " + body
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sReceipt: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(text), text)
	w.mu.Lock()
	before := w.previous
	w.previous = whole
	w.mu.Unlock()
	switch m {
	case late:
		_, err := io.WriteString(nc, before+whole)
		return err == nil
	case twice:
		_, err := io.WriteString(nc, whole+whole)
		return err == nil
	case cutting:
		_, _ = io.WriteString(nc, whole[:len(whole)-3])
		return false
	case vanishing:
		return false
	case unframed:
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sReceipt: %s\r\n\r\n%s", head, id, text)
		return false
	}
	_, err := io.WriteString(nc, whole)
	return err == nil
}

// perform works for the time of service, or until the connection ends. It
// reports whether a call that the request needs has failed.
func (w *worker) perform(r *http.Request, gone <-chan struct{}) (failed bool) {
	w.mu.Lock()
	w.ran = append(w.ran, ranRequest{
		id: r.Header.Get("Id"), caller: r.Header.Get("Caller"), organisation: r.Header.Get("Org"),
		key: r.Header.Get("Key"), target: r.URL.RequestURI(), left: r.Header.Get("Left"), at: time.Now(),
	})
	place := len(w.ran) - 1
	if w.queue == 0 {
		w.busy++
	}
	w.mostBusy = max(w.mostBusy, w.busy)
	service := w.service
	if w.slowing > 0 && w.busy >= w.slots {
		service = time.Duration(float64(service) * w.slowing)
	}
	w.mu.Unlock()
	if w.call != nil {
		for i := 0; i < max(1, w.calls) && !failed; i++ {
			failed = w.makeCall()
		}
	}
	cancelled := false
	select {
	case <-gone:
		cancelled = true
	case <-time.After(service):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	w.ran[place].cancelled, w.ran[place].failed = cancelled, failed
	return failed
}

// enter waits for a slot; it reports false if the request is turned away.
func (w *worker) enter(gone <-chan struct{}) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue == 0 {
		return true
	}
	if w.busy >= w.slots && w.waiting >= w.queue || rand.Float64() < w.shedPart {
		return false
	}
	w.waiting++
	for w.busy >= w.slots {
		w.mu.Unlock()
		select {
		case <-gone:
		case <-time.After(time.Millisecond):
		}
		w.mu.Lock()
	}
	w.waiting--
	w.busy++
	return true
}

func (w *worker) makeCall() (failed bool) {
	nc := w.node()
	if nc == nil {
		return true
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, w.call()); err != nil {
		return true
	}
	r := readReply(bufio.NewReader(nc), "GET")
	return r.err != nil || !strings.HasPrefix(fmt.Sprint(r.status), "2")
}
