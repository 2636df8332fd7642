// Package rationer holds organisations to their rates across the fleet without
// asking anybody for each request.
//
// Every node admits from a bucket of its own, filled with its share of the
// organisation's rate. Shares follow demand: nodes tell each other how much is
// asked of them, and a node's share is its part of the whole demand. Nodes that
// have not been heard count as if they had an equal part, so a node that is cut
// off falls back to the equal part that the others leave it, and the shares of
// all nodes together exceed the rate only while their views differ.
//
// # Usage
//
//	r := &rationer.Rationer{Self: name, Nodes: nodes, Overshoot: 0.25, Slack: 20}
//	ok, wait := r.Take(organisation)
//	r.Hear(usage)
//	send(r.Usage())
//
// It gives up exactness for speed: the rate is overrun for as long as demand
// moves faster than the exchange. Memory is one bucket for each organisation
// seen, and one figure for each organisation and node heard.
package rationer

import (
	"math"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// demandHalfLife is how fast past demand is forgotten.
	demandHalfLife = time.Second
	// heardFor is how long a node's word counts.
	heardFor = 4 * time.Second
	// tolerated is the part of the agreed overshoot that is used; the rest
	// covers shares that overlap while views differ.
	tolerated = 0.4
	// startFill is the part of its capacity with which a bucket begins. A full
	// one would grant the burst again after each restart.
	startFill = 0.5
	// minDemand is the demand below which a node does not mention an
	// organisation, in requests per second.
	minDemand = 0.05
	// minCapacity lets a bucket with a small share pass single requests.
	minCapacity = 1.0
	// maxWait bounds the time that a refused caller is asked to wait.
	maxWait = 5 * time.Second
)

type (
	// A Rationer holds the buckets of one node. Its exported fields must be
	// set before use.
	Rationer struct {
		Self string
		// Nodes returns the number of nodes in the fleet.
		Nodes func() int
		// Overshoot and Slack are what the fleet may admit beyond the rate: a
		// fraction of it, and requests besides.
		Overshoot float64
		Slack     float64

		mu      sync.Mutex
		buckets map[string]*bucket
		heard   map[string]*report
	}

	bucket struct {
		tokens float64
		filled time.Time
		demand float64 // requests per second, decaying
		asked  time.Time
	}

	report struct {
		at      time.Time
		demands map[string]float64
	}
)

// Take admits one request of the organisation, or tells after what time one is
// likely to be admitted.
func (r *Rationer) Take(o *resolver.Organisation) (ok bool, wait time.Duration) {
	if o.Rate <= 0 {
		return true, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b := r.bucket(o.Name, now)
	b.ask(now)
	rate, capacity := r.allowance(o, b, now)
	b.fill(rate, capacity, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, min(maxWait, time.Duration((1-b.tokens)/rate*float64(time.Second)))
}

// Usage returns this node's demand, for its peers.
func (r *Rationer) Usage() *linkwire.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	u := &linkwire.Usage{Origin: r.Self}
	for name, b := range r.buckets {
		if d := b.demandAt(now); d >= minDemand {
			u.Demands = append(u.Demands, &linkwire.Demand{Organisation: name, Rate: float32(d)})
		}
	}
	return u
}

// Hear takes a peer's demand.
func (r *Rationer) Hear(u *linkwire.Usage) {
	demands := make(map[string]float64, len(u.Demands))
	for _, d := range u.Demands {
		demands[d.Organisation] = float64(d.Rate)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard = make(map[string]*report)
	}
	r.heard[u.Origin] = &report{at: time.Now(), demands: demands}
}

// allowance returns this node's part of the rate and of the burst.
func (r *Rationer) allowance(o *resolver.Organisation, b *bucket, now time.Time) (rate, capacity float64) {
	share := r.share(o.Name, b, now)
	over := 1 + tolerated*r.Overshoot
	rate = o.Rate * over * share
	capacity = (o.Burst*over + tolerated*r.Slack) * share
	return rate, max(minCapacity, capacity)
}

func (r *Rationer) share(name string, b *bucket, now time.Time) float64 {
	nodes := float64(max(r.Nodes(), 1))
	mine := b.demandAt(now)
	total, heard := mine, 1.0
	for origin, report := range r.heard {
		if now.Sub(report.at) > heardFor {
			delete(r.heard, origin)
			continue
		}
		total += report.demands[name]
		heard++
	}
	heard = min(heard, nodes)
	if total <= 0 {
		return 1 / nodes
	}
	return mine / total * heard / nodes
}

func (r *Rationer) bucket(name string, now time.Time) *bucket {
	if r.buckets == nil {
		r.buckets = make(map[string]*bucket)
	}
	b := r.buckets[name]
	if b == nil {
		b = &bucket{tokens: -1}
		r.buckets[name] = b
	}
	return b
}

func (b *bucket) fill(rate, capacity float64, now time.Time) {
	if b.filled.IsZero() {
		b.tokens = capacity * startFill
	} else {
		b.tokens += rate * now.Sub(b.filled).Seconds()
	}
	b.tokens = min(b.tokens, capacity)
	b.filled = now
}

// ask counts one request. A steady rate of requests settles at that rate.
func (b *bucket) ask(now time.Time) {
	b.demand = b.demandAt(now) + math.Ln2/demandHalfLife.Seconds()
	b.asked = now
}

func (b *bucket) demandAt(now time.Time) float64 {
	if b.asked.IsZero() {
		return 0
	}
	return b.demand * math.Exp2(-now.Sub(b.asked).Seconds()/demandHalfLife.Seconds())
}
