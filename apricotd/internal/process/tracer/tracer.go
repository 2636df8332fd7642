// Package tracer learns which calls the own backend server makes for which
// routes, although nothing on a call says for which request it is made.
//
// Calls are taken for a Poisson process whose rate is the number of running
// requests of each route times that route's own rate. The rates that explain
// the last calls best are found by expectation maximisation, which divides each
// call among the routes that ran at its moment. Routes that do not always run
// together are told apart within seconds.
//
// # Usage
//
//	t := &tracer.Tracer{}
//	end := t.Begin("search")
//	t.Call("lookup") // the backend server calls
//	end()
//	for _, c := range t.Calls("search") { ... }
//
// An event costs one step for each route that has run; an estimate costs
// sampleCount times iterations of these for each kind of call, at most once in
// refreshInterval.
package tracer

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleCount is the number of calls of one kind that are remembered.
	sampleCount = 384
	// minSamples is the number of calls from which an estimate is made.
	minSamples = 16
	// iterations of the estimate; each starts from the last estimate.
	iterations = 40
	// refreshInterval is how long an estimate is kept.
	refreshInterval = 500 * time.Millisecond
	// startRate is the rate of which an estimate starts, in calls per second.
	startRate = 1.0
)

type (
	// A Tracer holds what was seen of one backend server. Its zero value is
	// ready.
	Tracer struct {
		mu     sync.Mutex
		last   time.Time // up to which exposure is counted
		index  map[string]int
		routes []*route
		calls  map[string]*call
	}

	// A Call is what is known of one kind of call.
	Call struct {
		Name   string  `json:"name"`
		PerRun float64 `json:"perRun"` // calls that one request makes
	}

	// A route counts since the start.
	route struct {
		name     string
		running  int
		runs     float64
		exposure float64 // seconds that requests of the route have run
	}

	call struct {
		samples   []sample // a ring once it is full
		next      int
		rates     []float64 // calls per second of one running request, by route
		perRun    []float64 // by route
		refreshed time.Time
	}

	// A sample is the moment of one call.
	sample struct {
		running  []int
		runs     []float64
		exposure []float64
	}
)

// Begin records that a request of a route runs, until the function returned is
// called.
func (t *Tracer) Begin(name string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(time.Now())
	i, ok := t.index[name]
	if !ok {
		i = len(t.routes)
		t.index[name] = i
		t.routes = append(t.routes, &route{name: name})
	}
	r := t.routes[i]
	r.running++
	r.runs++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.advance(time.Now())
		r.running--
	}
}

// Call records a call of the backend server.
func (t *Tracer) Call(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(time.Now())
	c := t.calls[name]
	if c == nil {
		c = &call{}
		t.calls[name] = c
	}
	s := t.sample()
	if len(c.samples) < sampleCount {
		c.samples = append(c.samples, s)
		return
	}
	c.samples[c.next] = s
	c.next = (c.next + 1) % sampleCount
}

// Calls returns what is known of the calls of a route.
func (t *Tracer) Calls(routeName string) []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[routeName]
	if !ok {
		return nil
	}
	now := time.Now()
	t.advance(now)
	var out []Call
	for name, c := range t.calls {
		if now.Sub(c.refreshed) > refreshInterval {
			c.refreshed = now
			c.estimate(t.sample())
		}
		if i < len(c.perRun) {
			out = append(out, Call{Name: name, PerRun: c.perRun[i]})
		}
	}
	return out
}

func (t *Tracer) sample() sample {
	s := sample{
		running:  make([]int, len(t.routes)),
		runs:     make([]float64, len(t.routes)),
		exposure: make([]float64, len(t.routes)),
	}
	for i, r := range t.routes {
		s.running[i], s.runs[i], s.exposure[i] = r.running, r.runs, r.exposure
	}
	return s
}

// advance counts the time since the last event.
func (t *Tracer) advance(now time.Time) {
	if t.index == nil {
		t.index = make(map[string]int)
		t.calls = make(map[string]*call)
		t.last = now
	}
	passed := now.Sub(t.last).Seconds()
	t.last = now
	for _, r := range t.routes {
		r.exposure += float64(r.running) * passed
	}
}

// estimate improves the rates from the samples up to now.
func (c *call) estimate(now sample) {
	if len(c.samples) < minSamples {
		return
	}
	oldest := c.samples[c.next%len(c.samples)]
	n := len(now.running)
	for len(c.rates) < n {
		c.rates = append(c.rates, startRate)
	}
	counts := make([]float64, n)
	for range iterations {
		clear(counts)
		c.divide(counts)
		for i := range counts {
			if exposure := now.exposure[i] - at(oldest.exposure, i); exposure > 0 {
				c.rates[i] = max(counts[i]/exposure, startRate/1000)
			}
		}
	}
	c.perRun = slices.Grow(c.perRun[:0], n)[:n]
	for i := range counts {
		c.perRun[i] = counts[i] / max(1, now.runs[i]-at(oldest.runs, i))
	}
}

// divide adds each call to the routes that ran at its moment.
func (c *call) divide(counts []float64) {
	for _, s := range c.samples {
		total := 0.0
		for i, n := range s.running {
			total += float64(n) * c.rates[i]
		}
		if total <= 0 {
			continue
		}
		for i, n := range s.running {
			counts[i] += float64(n) * c.rates[i] / total
		}
	}
}

// at returns zero for routes that came later.
func at(values []float64, i int) float64 {
	if i < len(values) {
		return values[i]
	}
	return 0
}
