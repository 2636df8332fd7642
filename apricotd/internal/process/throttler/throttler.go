// Package throttler holds requests back at the root of their call trees.
//
// Nodes say on every answer how far the route's whole tree is asked for more
// than it can do: the pressure of the backend server itself, or of whatever
// its calls lead to. A request that would fail three calls further down is so
// refused before any work is done for it. The least urgent rank is held back
// first.
//
// # Usage
//
//	t := &throttler.Throttler{}
//	t.Hear("search", serverID, pressure)
//	if t.Holds("search", rank, lowest) { ... }
//
// A belief that is not renewed fades within seconds, so that some requests
// are let through to learn whether it still holds. Memory is one figure for
// each route and server heard lately.
package throttler

import (
	"math/rand/v2"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// reportHalfLife is how fast one server's word loses weight among others.
	reportHalfLife = time.Second
	// fadeAfter is the age from which the newest word itself loses force, by
	// half in each fadeHalfLife.
	fadeAfter    = 500 * time.Millisecond
	fadeHalfLife = time.Second
	// forgetAfter is when a server's word is dropped.
	forgetAfter = 5 * time.Second
)

type (
	// A Throttler holds what this node has heard. Its zero value is ready.
	Throttler struct {
		mu     sync.Mutex
		routes map[string]map[string]report // by route and server
	}

	report struct {
		pressure float64
		at       time.Time
	}
)

// Hear takes a server's word on a route.
func (t *Throttler) Hear(route, server string, pressure float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[string]map[string]report)
	}
	if t.routes[route] == nil {
		t.routes[route] = make(map[string]report)
	}
	t.routes[route][server] = report{pressure: pressure, at: time.Now()}
}

// Pressure returns the mean pressure of a route's trees.
func (t *Throttler) Pressure(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	sum, weights := 0.0, 0.0
	newest := forgetAfter
	for server, r := range t.routes[route] {
		age := now.Sub(r.at)
		if age > forgetAfter {
			delete(t.routes[route], server)
			continue
		}
		newest = min(newest, age)
		w := decayer.Left(age, reportHalfLife)
		sum += w * r.pressure
		weights += w
	}
	if weights == 0 {
		return 0
	}
	return sum / weights * decayer.Left(max(0, newest-fadeAfter), fadeHalfLife)
}

// Holds draws whether a request of a rank is held back; lowest is the least
// urgent rank of all routes.
func (t *Throttler) Holds(route string, rank, lowest int) (bool, float64) {
	p := t.Pressure(route)
	return rand.Float64() < p-float64(lowest-rank), p
}
