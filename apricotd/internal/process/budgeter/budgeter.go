// Package budgeter bounds how often this node sends requests again, so that
// the whole fleet stays within one budget for each pool.
//
// Each node spends at most its own part: the agreed ratio of the requests that
// it took from callers, and an equal share of the fixed allowance. The parts
// of all nodes add up to the fleet's budget without any exchange.
//
// # Usage
//
//	b := &budgeter.Budgeter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50, Nodes: nodes}
//	b.Count(pool)             // a caller's request
//	b.Owe(pool, 0.1)          // a call that is a repeat with this probability
//	if b.Spend(pool, isCall) { ... }  // one request may be sent again
package budgeter

import (
	"sync"
	"time"
)

const (
	// slots divides the window; counts age by one slot at a time.
	slots = 10
	// ratioPart is the part of the ratio that is used. The rest is for nodes
	// that differ on their number, and for spans that end within a slot.
	ratioPart = 0.8
	// allowancePart is the part of the allowance that is used in one window.
	// What a node spent before a restart is not known after it, so all nodes
	// may spend their parts once more; two restarts of all fit in one window.
	allowancePart = 1.0 / 3
	// callShare is the part of the budget that calls of backend servers may
	// always use; of the rest, they may use what callers' requests have not
	// asked for. A call is one of several that its request needs, so a repeat of
	// it saves less than one of a caller's request.
	callShare = 0.5
)

type (
	// A Budgeter counts requests and repeats. Its exported fields must be set
	// before use.
	Budgeter struct {
		Window    time.Duration
		Ratio     float64 // repeats for each request of a caller
		Allowance float64 // repeats in each window besides, over all nodes
		// Nodes returns the number of nodes in the fleet.
		Nodes func() int

		mu    sync.Mutex
		begun time.Time // slots follow the steady clock from here
		pools map[string]*pool
	}

	pool struct {
		requests counter
		repeats  counter
		wanted   counter // repeats that callers' requests asked for
	}

	// A counter counts events of the last window.
	counter struct {
		counts [slots]float64
		last   int64 // number of the newest slot
	}
)

// Count records a caller's request for a pool.
func (b *Budgeter) Count(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(name).requests.add(b.slot(), 1)
}

// Owe records a call that goes out anyway and is a repeat with a probability,
// since the run that makes it may be one.
func (b *Budgeter) Owe(name string, probability float64) {
	if probability <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(name).repeats.add(b.slot(), probability)
}

// Spend records a repeat if the budget has room for it.
func (b *Budgeter) Spend(name string, isCall bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot()
	p := b.pool(name)
	limit := b.limit(p, slot)
	if isCall {
		limit = max(callShare*limit, limit-p.wanted.sum(slot))
	} else {
		p.wanted.add(slot, 1)
	}
	if p.repeats.sum(slot)+1 > limit {
		return false
	}
	p.repeats.add(slot, 1)
	return true
}

// Left returns how many requests of each pool may be sent again now.
func (b *Budgeter) Left() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot()
	out := make(map[string]float64, len(b.pools))
	for name, p := range b.pools {
		out[name] = max(0, b.limit(p, slot)-p.repeats.sum(slot))
	}
	return out
}

func (b *Budgeter) limit(p *pool, slot int64) float64 {
	share := b.Allowance / float64(max(b.Nodes(), 1))
	return allowancePart*share + ratioPart*b.Ratio*p.requests.sum(slot)
}

func (b *Budgeter) pool(name string) *pool {
	if b.pools == nil {
		b.pools = make(map[string]*pool)
	}
	p := b.pools[name]
	if p == nil {
		p = &pool{}
		b.pools[name] = p
	}
	return p
}

func (b *Budgeter) slot() int64 {
	if b.begun.IsZero() {
		b.begun = time.Now()
	}
	return int64(time.Since(b.begun)/(b.Window/slots)) + slots
}

func (c *counter) add(slot int64, n float64) {
	c.advance(slot)
	c.counts[slot%slots] += n
}

func (c *counter) sum(slot int64) float64 {
	c.advance(slot)
	n := 0.0
	for _, count := range c.counts {
		n += count
	}
	return n
}

// advance clears the slots that have passed.
func (c *counter) advance(slot int64) {
	if slot-c.last >= slots {
		c.counts = [slots]float64{}
		c.last = slot
		return
	}
	for c.last < slot {
		c.last++
		c.counts[c.last%slots] = 0
	}
}
