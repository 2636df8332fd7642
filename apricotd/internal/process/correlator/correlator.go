// Package correlator correlates the calls of the node's own backend server with the
// routes whose requests cause them. It estimates how many calls the server makes
// for a request of each route, although a call does not identify the request for
// which it is made.
//
// Calls are modelled as a Poisson process whose rate is the sum over all routes
// of the number of running requests times a rate for each route. The maximum
// likelihood estimate of these rates from the most recent calls is computed by
// expectation maximisation, which divides each call among the routes that were
// running at its time. It distinguishes routes within seconds unless their
// requests always run at the same times.
//
// # Usage
//
//	c := &correlator.Correlator{}
//	end := c.Begin("search")
//	c.RecordCall("lookup") // the backend server calls
//	end()
//	for _, call := range c.Calls("search") { ... }
//
// Each recorded event iterates over all routes that have run. An estimate takes
// maxSamples times emIterations such passes for each kind of call, at most once
// every estimateInterval.
package correlator

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples bounds the most recent calls of one kind that are kept.
	maxSamples = 384
	// minSamples is the least number of calls for an estimate.
	minSamples = 16
	// emIterations is the number of iterations of one estimate, which starts
	// from the result of the previous one.
	emIterations     = 40
	estimateInterval = 500 * time.Millisecond
	// initialRate is where the first estimate starts, in calls per second.
	initialRate = 1.0
	// MinPerRun is the estimated number of calls for each run below which a route is
	// assumed not to make the call.
	MinPerRun = 0.15
)

type (
	// A Correlator observes one backend server. The zero value is ready to use.
	Correlator struct {
		mu           sync.Mutex
		countedUntil time.Time // time up to which exposure is counted
		routeIndex   map[string]int
		routes       []*route
		calls        map[string]*call
	}

	// A Call is the estimate for one kind of call.
	Call struct {
		Name   string  `json:"name"`
		PerRun float64 `json:"perRun"` // mean calls of one request
	}

	// A route holds totals since the start of the process.
	route struct {
		name     string
		running  int
		runs     float64
		exposure float64 // total running time of its requests, seconds
	}

	call struct {
		samples     []sample // a ring buffer once it is full
		next        int
		rates       []float64 // calls per second of one running request, by route
		perRun      []float64 // by route
		estimatedAt time.Time
	}

	// A sample is the state of all routes at the time of one call.
	sample struct {
		running  []int
		runs     []float64
		exposure []float64
	}
)

// Begin records that a request of a route runs until the returned function is
// called.
func (co *Correlator) Begin(name string) (end func()) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.accumulateExposure(time.Now())
	i, ok := co.routeIndex[name]
	if !ok {
		i = len(co.routes)
		co.routeIndex[name] = i
		co.routes = append(co.routes, &route{name: name})
	}
	r := co.routes[i]
	r.running++
	r.runs++
	return func() {
		co.mu.Lock()
		defer co.mu.Unlock()
		co.accumulateExposure(time.Now())
		r.running--
	}
}

// RecordCall records a call that the backend server makes.
func (co *Correlator) RecordCall(name string) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.accumulateExposure(time.Now())
	c := co.calls[name]
	if c == nil {
		c = &call{}
		co.calls[name] = c
	}
	s := co.snapshot()
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, s)
		return
	}
	c.samples[c.next] = s
	c.next = (c.next + 1) % maxSamples
}

// Calls returns the estimated calls of a route, refreshed if they are older
// than estimateInterval.
func (co *Correlator) Calls(routeName string) []Call {
	co.mu.Lock()
	defer co.mu.Unlock()
	i, ok := co.routeIndex[routeName]
	if !ok {
		return nil
	}
	now := time.Now()
	co.accumulateExposure(now)
	var out []Call
	for name, c := range co.calls {
		co.refresh(c, now)
		if i < len(c.perRun) {
			out = append(out, Call{Name: name, PerRun: c.perRun[i]})
		}
	}
	return out
}

// PerRun returns the estimated number of calls of one kind for each request of a route, as
// Calls does; 0 if nothing is known.
func (co *Correlator) PerRun(routeName, callName string) float64 {
	co.mu.Lock()
	defer co.mu.Unlock()
	i, ok := co.routeIndex[routeName]
	c := co.calls[callName]
	if !ok || c == nil {
		return 0
	}
	now := time.Now()
	co.accumulateExposure(now)
	co.refresh(c, now)
	if i >= len(c.perRun) {
		return 0
	}
	return c.perRun[i]
}

// refresh estimates the calls of one kind anew if that is due. co.mu must be held.
func (co *Correlator) refresh(c *call, now time.Time) {
	if now.Sub(c.estimatedAt) > estimateInterval {
		c.estimatedAt = now
		c.estimate(co.snapshot())
	}
}

func (co *Correlator) snapshot() sample {
	s := sample{
		running:  make([]int, len(co.routes)),
		runs:     make([]float64, len(co.routes)),
		exposure: make([]float64, len(co.routes)),
	}
	for i, r := range co.routes {
		s.running[i], s.runs[i], s.exposure[i] = r.running, r.runs, r.exposure
	}
	return s
}

// accumulateExposure adds the time since the last event to the routes that were
// running.
func (co *Correlator) accumulateExposure(now time.Time) {
	if co.routeIndex == nil {
		co.routeIndex = make(map[string]int)
		co.calls = make(map[string]*call)
		co.countedUntil = now
	}
	elapsed := now.Sub(co.countedUntil).Seconds()
	co.countedUntil = now
	for _, r := range co.routes {
		r.exposure += float64(r.running) * elapsed
	}
}

// estimate refines the rates by expectation maximisation over the samples.
func (c *call) estimate(now sample) {
	if len(c.samples) < minSamples {
		return
	}
	oldest := c.samples[c.next%len(c.samples)]
	n := len(now.running)
	for len(c.rates) < n {
		c.rates = append(c.rates, initialRate)
	}
	counts := make([]float64, n)
	for range emIterations {
		clear(counts)
		c.attribute(counts)
		for i := range counts {
			if exposure := now.exposure[i] - valueOrZero(oldest.exposure, i); exposure > 0 {
				c.rates[i] = max(counts[i]/exposure, initialRate/1000)
			}
		}
	}
	c.perRun = slices.Grow(c.perRun[:0], n)[:n]
	for i := range counts {
		c.perRun[i] = counts[i] / max(1, now.runs[i]-valueOrZero(oldest.runs, i))
	}
}

// attribute is the expectation step: it divides each call among the counts of
// the routes that were running at its time, in proportion to the number of their
// running requests times their rate.
func (c *call) attribute(counts []float64) {
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

// valueOrZero returns zero for routes that were added after the sample was
// taken.
func valueOrZero(values []float64, i int) float64 {
	if i < len(values) {
		return values[i]
	}
	return 0
}
