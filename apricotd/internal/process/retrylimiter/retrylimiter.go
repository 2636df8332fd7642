// Package retrylimiter limits the retries that this node sends, so that the fleet
// stays within one retry budget per pool.
//
// Each node spends at most its own share: the configured ratio of the requests
// that it receives, and an equal split of the fixed allowance. The shares of all
// nodes add up to the fleet's budget without communication.
//
// # Usage
//
//	l := &retrylimiter.Limiter{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50, Nodes: nodes}
//	l.CountRequest(pool)    // a request was received
//	l.ChargeCall(pool, 0.1) // a call that is a retry with this probability
//	if retry, ok := l.TryRetry(pool, isCall); ok { ... } // one retry may be sent
//	l.Return(retry)         // it has not reached a backend server
package retrylimiter

import (
	"sync"
	"time"
)

const (
	// slots is the number of slots of the sliding window.
	slots = 10
	// ratioFraction is the fraction of the ratio that is spent. The rest covers
	// nodes that disagree on the fleet size, and windows that end within a slot.
	ratioFraction = 0.8
	// allowanceFraction is the fraction of the allowance that is spent per
	// window. Counts are lost at a restart, so each restart of all nodes lets
	// them spend their shares again; two such restarts fit into one window.
	allowanceFraction = 1.0 / 3
	// callFraction is the fraction of the budget that is always available to
	// calls of backend servers. Of the rest, calls may only use what callers'
	// requests leave: a request needs several calls, so a retry of one call saves
	// less than a retry of a caller's request.
	callFraction = 0.5
)

type (
	// A Limiter limits the retries of each pool. Its exported fields must be
	// set before use.
	Limiter struct {
		Window    time.Duration
		Ratio     float64 // retries per request
		Allowance float64 // additional retries per window, over all nodes
		// Nodes returns the number of nodes in the fleet.
		Nodes func() int

		mu    sync.Mutex
		epoch time.Time // start of slot numbering, by the monotonic clock
		pools map[string]*pool
	}

	// A Retry is a retry that a Limiter has allowed.
	Retry struct {
		pool string
		slot int64 // in which it is counted
	}

	pool struct {
		requests      counter
		retries       counter
		callerRetries counter // retries requested for callers' requests, granted or not
	}

	// A counter counts events in a sliding window.
	counter struct {
		counts     [slots]float64
		newestSlot int64 // number of the newest slot with a valid count
	}
)

// CountRequest records a request for a pool.
func (l *Limiter) CountRequest(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool(name).requests.add(l.slot(), 1)
}

// ChargeCall charges the budget for a call that a backend server makes on behalf of
// a request. If the request may be a retry, so may the call; probability is how
// likely that is. The call is sent whether or not the budget has room.
func (l *Limiter) ChargeCall(name string, probability float64) {
	if probability <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool(name).retries.add(l.slot(), probability)
}

// Covers reports whether the budget has room for n retries. isCall is as in TryRetry.
func (l *Limiter) Covers(name string, isCall bool, n float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slot()
	p := l.pool(name)
	return p.retries.sum(slot)+n <= l.limitFor(p, slot, isCall)
}

// TryRetry records a retry if the budget has room for it, and reports whether it has.
// isCall is true for calls of backend servers.
func (l *Limiter) TryRetry(name string, isCall bool) (Retry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slot()
	p := l.pool(name)
	if !isCall {
		p.callerRetries.add(slot, 1)
	}
	if p.retries.sum(slot)+1 > l.limitFor(p, slot, isCall) {
		return Retry{}, false
	}
	p.retries.add(slot, 1)
	return Retry{pool: name, slot: slot}, true
}

// Return takes back a retry that has not reached a backend server.
func (l *Limiter) Return(r Retry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool(r.pool).retries.remove(l.slot(), r.slot, 1)
}

// Remaining returns how many retries of each pool may be sent now.
func (l *Limiter) Remaining() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.slot()
	out := make(map[string]float64, len(l.pools))
	for name, p := range l.pools {
		out[name] = max(0, l.limit(p, slot)-p.retries.sum(slot))
	}
	return out
}

// limitFor returns the part of the limit that a retry may use.
func (l *Limiter) limitFor(p *pool, slot int64, isCall bool) float64 {
	limit := l.limit(p, slot)
	if isCall {
		return max(callFraction*limit, limit-p.callerRetries.sum(slot))
	}
	return limit
}

// limit returns this node's share of a pool's budget for the current window.
func (l *Limiter) limit(p *pool, slot int64) float64 {
	share := l.Allowance / float64(max(l.Nodes(), 1))
	return allowanceFraction*share + ratioFraction*l.Ratio*p.requests.sum(slot)
}

func (l *Limiter) pool(name string) *pool {
	if l.pools == nil {
		l.pools = make(map[string]*pool)
	}
	p := l.pools[name]
	if p == nil {
		p = &pool{}
		l.pools[name] = p
	}
	return p
}

// slot returns the number of the current slot.
func (l *Limiter) slot() int64 {
	if l.epoch.IsZero() {
		l.epoch = time.Now()
	}
	return int64(time.Since(l.epoch)/(l.Window/slots)) + slots
}

func (c *counter) add(slot int64, n float64) {
	c.advance(slot)
	c.counts[slot%slots] += n
}

// remove takes back n events of the slot at, unless it has dropped out of the window.
func (c *counter) remove(slot, at int64, n float64) {
	c.advance(slot)
	if slot-at < slots {
		c.counts[at%slots] -= n
	}
}

func (c *counter) sum(slot int64) float64 {
	c.advance(slot)
	n := 0.0
	for _, count := range c.counts {
		n += count
	}
	return n
}

// advance moves the window up to the given slot and clears the slots that drop
// out of it.
func (c *counter) advance(slot int64) {
	if slot-c.newestSlot >= slots {
		c.counts = [slots]float64{}
		c.newestSlot = slot
		return
	}
	for c.newestSlot < slot {
		c.newestSlot++
		c.counts[c.newestSlot%slots] = 0
	}
}
