package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	foreignEntries = 100
	foreignBytes   = 1_000_000 // ValueBytes is 1,048,576
	foreignGap     = 50 * time.Millisecond
	loadTime       = 5 * time.Second
	downFor        = time.Second
	// recoverTime is RecoverS.
	recoverTime = 15 * time.Second
	// minServed is the part of the requests that RECOVER asks for.
	minServed = 0.25
)

// playForeign has another writer put entries that can't be read into the store, and then kills
// all nodes at once and starts them again.
func playForeign(c *trial) (isBroken bool, err error) {
	f, err := newFleet(c.program, c.dir, c.out, []string{"search", "front", "search", "front", "search", "front", "search", "front"})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	f.publish(7, map[string]any{"r-search": map[string]any{
		"Host": host, "Prefix": "/search/", "Kind": "idempotent", "TimeoutS": 2, "TargetLatencyS": 1.5, "Priority": 1,
		"Service": "search", "MaxAttempts": 2, "Public": false,
	}}, []string{"search", "front"})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	f.record("served before: %.2f", f.servedPart(loadTime))
	entries := foreignEntries
	if n, err := strconv.Atoi(os.Getenv("ENTRIES")); err == nil {
		entries = n
	}
	if c.trouble {
		for n := range entries {
			value := make([]byte, foreignBytes)
			for k := range value {
				value[k] = byte(rand.Uint32())
			}
			f.store.put(fmt.Sprintf("servers/backup-%03d", n), value, false)
			time.Sleep(foreignGap)
		}
		f.record("another writer has put %d entries of %d bytes that can't be read", entries, foreignBytes)
	}
	before := f.servedPart(loadTime)
	f.record("served with these entries in the store: %.2f", before)
	for _, m := range f.machines {
		f.record("resident memory of the node of %s: at most %d MB so far", m.name, m.peakMB())
	}
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	f.record("all nodes are killed")
	time.Sleep(downFor)
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return false, err
		}
	}
	time.Sleep(recoverTime)
	after := f.servedPart(2 * loadTime)
	f.record("served later than %v after the nodes have been started again: %.2f, %.2f is the least", recoverTime, after, minServed)
	return before >= minServed && after < minServed, nil
}

// servedPart sends requests of clients on all machines for a time and returns the part that
// was answered with success.
func (f *fleet) servedPart(d time.Duration) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f.mu.Lock()
	f.statuses = make(map[string]int)
	f.mu.Unlock()
	f.load(ctx, f.machines, http.MethodGet, "/search/", 40)
	time.Sleep(2500 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	for _, status := range f.statuses {
		if status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, len(f.statuses)))
}

// peakMB returns the greatest resident size of the node's process so far.
func (m *machine) peakMB() int {
	m.mu.Lock()
	pid := m.node.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	return parsePeak(string(data)) / 1024
}

// parsePeak returns the peak of the resident size in kB that a status file of proc states.
func parsePeak(status string) int {
	for line := range strings.Lines(status) {
		var kb int
		if n, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 && err == nil {
			return kb
		}
	}
	return 0
}
