package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	slots             = 36
	// downTime is how long a crashed instance is away.
	downTime = 3 * time.Second
)

// An instance is a stand-in for the application instance on a machine. A request that
// crashes it has crashPath in its path.
type instance struct {
	fleet   *fleet
	machine *machine

	mu      sync.Mutex
	id      string
	server  *http.Server
	conns   map[net.Conn]bool
	running int
	stop    chan struct{} // ends the heartbeats of this start
	crashes int
}

const crashPath = "/crash"

// start starts the instance under a new id.
func (i *instance) start() error {
	l, err := net.Listen("tcp", i.machine.app)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.id = i.fleet.newID("i-")
	i.conns = make(map[net.Conn]bool)
	i.running = 0
	i.stop = make(chan struct{})
	id := i.id
	i.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { i.handle(id, w, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			i.mu.Lock()
			defer i.mu.Unlock()
			switch state {
			case http.StateNew:
				i.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(i.conns, c)
			}
		},
	}
	server := i.server
	go func() { _ = server.Serve(l) }()
	go i.beat(id, i.stop)
	i.fleet.record("instance %s of %s starts on %s", id, i.machine.service, i.machine.name)
	return nil
}

func (i *instance) beat(id string, stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	value, _ := json.Marshal(map[string]any{
		"Address": i.machine.app,
		"Info":    map[string]any{"Service": i.machine.service, "Version": "v1", "Zone": i.machine.zone, "Slots": slots},
		"Status":  map[string]any{"State": "ready", "Seq": 1, "ColdLeftS": 0},
		"born":    born,
	})
	for {
		i.fleet.store.put("servers/"+id, value, true)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// crash ends the instance without notice. It starts again after downTime.
func (i *instance) crash() {
	i.mu.Lock()
	select {
	case <-i.stop:
		i.mu.Unlock()
		return
	default:
	}
	close(i.stop)
	i.crashes++
	server, conns, id := i.server, i.conns, i.id
	i.conns = nil
	i.mu.Unlock()
	i.fleet.record("instance %s of %s on %s crashes", id, i.machine.service, i.machine.name)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		for i.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (i *instance) handle(id string, w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	running := i.running
	i.mu.Unlock()
	h := w.Header()
	h.Set("X-Apricotrudder-Server-Load", fmt.Sprintf("%d,0,%d", running, slots))
	if r.URL.Path == healthPath {
		h.Set("X-Apricotrudder-Instance-Id", id)
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := r.Header.Get("X-Apricotrudder-Attempt-Id")
	h.Set("X-Apricotrudder-Attempt-Id", attempt)
	if target := r.Header.Get("X-Apricotrudder-Target-Instance"); target != "" && target != id {
		h.Set("X-Apricotrudder-Instance-Id", id)
		h.Set("X-Apricotrudder-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" || running >= slots {
		h.Set("X-Apricotrudder-Not-Executed", "1")
		w.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusServiceUnavailable}[attempt == ""])
		return
	}
	i.mu.Lock()
	i.running++
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		i.running--
		i.mu.Unlock()
	}()
	i.fleet.recordRun(attempt, id, i.machine)
	if strings.Contains(r.URL.Path, crashPath) && i.fleet.crashes {
		time.Sleep(5 * time.Millisecond)
		i.crash()
		return
	}
	select {
	case <-time.After(i.fleet.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Apricotrudder-Server-Stamp", id+"."+attempt)
	body := []byte("done " + attempt + "\n")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
