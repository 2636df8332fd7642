package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	leavers      = 3  // clients, each on a connection and a machine of its own
	pipelined    = 80 // requests that each sends before its first response
	longWork     = 4 * time.Second
	leaveAfter   = time.Second
	leftFor      = 500 * time.Millisecond
	maxStillWork = 0.25 // part of the requests that GONE allows
)

// playPipeline has clients send many idempotent requests on one connection and leave before
// the first response.
func playPipeline(c *trial) (isBroken bool, err error) {
	depth := pipelined
	if n, err := strconv.Atoi(os.Getenv("DEPTH")); err == nil {
		depth = n
	}
	f, err := newFleet(c.program, c.dir, c.out, []string{"search", "search", "search", "search", "search", "search", "search", "search", "search", "search", "front", "front"})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	f.work = longWork
	f.publish(7, map[string]any{"r-search": map[string]any{
		"Host": host, "Prefix": "/search/", "Kind": "idempotent", "TimeoutS": 8, "TargetLatencyS": 6, "Priority": 1,
		"Service": "search", "MaxAttempts": 2, "Public": false,
	}}, []string{"search", "front"})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)

	conns := make([]net.Conn, leavers)
	for n := range conns {
		m := f.machines[len(f.machines)-1-n]
		if conns[n], err = net.Dial("tcp", m.outbound); err != nil {
			return false, err
		}
		defer conns[n].Close()
		var text strings.Builder
		for k := range depth {
			fmt.Fprintf(&text, "GET /search/%d HTTP/1.1\r\nHost: %s\r\nX-Apricotrudder-Attempt-Id: b-%d-%d\r\nX-Apricotrudder-Deadline-Ms: 8000\r\nX-Api-Key: %s\r\n\r\n", k, host, n, k, apiKey)
		}
		if _, err := io.WriteString(conns[n], text.String()); err != nil {
			return false, err
		}
		f.record("client on %s sends %d requests on one connection", m.name, depth)
	}
	time.Sleep(leaveAfter)
	before := f.atWork()
	f.record("instances are at work on %d requests", before)
	if before < leavers*depth/2 {
		return false, fmt.Errorf("instances are at work on %d requests, want %d or more", before, leavers*depth/2)
	}
	if !c.trouble {
		return false, f.readAll(conns, depth)
	}
	for _, nc := range conns {
		_ = nc.Close()
	}
	f.record("the clients close their connections")
	time.Sleep(leftFor)
	after := f.atWork()
	f.record("%v later instances are still at work on %d of these requests, %.2f; %.2f are allowed", leftFor, after, float64(after)/float64(before), maxStillWork)
	time.Sleep(longWork)
	return float64(after) > maxStillWork*float64(before), nil
}

// readAll reads the responses to the requests on all connections.
func (f *fleet) readAll(conns []net.Conn, depth int) error {
	var wg sync.WaitGroup
	failures := make(chan error, len(conns))
	for n, nc := range conns {
		wg.Go(func() {
			br, served := bufio.NewReader(nc), 0
			for range depth {
				response, err := http.ReadResponse(br, nil)
				if err != nil {
					failures <- err
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				if response.StatusCode == http.StatusOK {
					served++
				}
			}
			f.record("client %d stays and gets %d responses, %d of them with success", n+1, depth, served)
		})
	}
	wg.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

// atWork returns the number of requests that instances are at work on.
func (f *fleet) atWork() int {
	sum := 0
	for _, m := range f.machines {
		m.instance.mu.Lock()
		sum += m.instance.running
		m.instance.mu.Unlock()
	}
	return sum
}
