package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// An instance is a stand-in of an application instance. The path of a request says
// how long it works and how long its answer is: /PREFIX/WORK-MS/BYTES. A fourth and a
// fifth part make it call /PREFIX/WORK-MS/BYTES of the named prefix when its work is
// done: /PREFIX/WORK-MS/BYTES/CALLED-PREFIX/CALL-MS.
type instance struct {
	id, service string
	log         *record
	outbound    string // where the node of its machine takes calls
	onCall      func(id string, a answer)
}

func (i *instance) serve(l net.Listener) {
	_ = (&http.Server{Handler: i}).Serve(l)
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Apricotrudder-Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Apricotrudder-Instance-Id", i.id)
		return
	}
	w.Header().Set("X-Apricotrudder-Attempt-Id", id)
	if target := r.Header.Get("X-Apricotrudder-Target-Instance"); target != "" && target != i.id {
		w.Header().Set("X-Apricotrudder-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Apricotrudder-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		i.log.add("instance %s: body of %s ended early after %d bytes; not run", i.id, id, body)
		return
	}
	work, size := parsePath(r.URL.Path)
	i.log.ran(id)
	i.log.add("instance %s runs %s (%s %s, body %d bytes)", i.id, id, r.Method, r.URL.Path, body)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		i.log.add("instance %s: connection of %s was closed, run dropped", i.id, id)
		return
	}
	if parts := strings.Split(r.URL.Path, "/"); len(parts) >= 6 {
		i.call(id, "/"+parts[4]+"/"+parts[5]+"/400")
	}
	w.Header().Set("X-Apricotrudder-Server-Stamp", i.id+"."+id)
	w.Header().Set("X-Apricotrudder-Server-Load", "1,0,36")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.WriteHeader(http.StatusOK)
	_, err = w.Write(make([]byte, size))
	i.log.add("instance %s has answered %s with %d bytes (error: %v)", i.id, id, size, err)
}

// call makes a call for the run of a request, through the node of the own machine.
func (i *instance) call(parent, path string) {
	c := dial(i.log, parent+"-call", i.outbound)
	defer c.nc.Close()
	id, err := c.send(http.MethodGet, path, 2500*time.Millisecond, 0)
	if err != nil {
		i.log.add("instance %s could not make call %s: %v", i.id, id, err)
		return
	}
	a := c.read(id, http.MethodGet, 0)
	if i.onCall != nil {
		i.onCall(id, a)
	}
}

func parsePath(path string) (work time.Duration, size int) {
	parts := strings.Split(path, "/")
	if len(parts) >= 4 {
		ms, _ := strconv.Atoi(parts[2])
		work = time.Duration(ms) * time.Millisecond
		size, _ = strconv.Atoi(parts[3])
	}
	return work, size
}
