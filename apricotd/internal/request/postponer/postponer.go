// Package postponer decides which callers should come back later because their
// request would probably be lost to rejected calls if it ran now.
//
// While servers of a pool reject a fraction of their requests whatever their load,
// a request that needs several calls to that pool rarely comes through. Running it
// ends with an error of its backend server, after which a request that must not be
// repeated is never sent again. A refusal before it runs costs its caller nothing
// but the wait: the caller returns once, and if the pool has recovered by then, it
// is still served on time.
//
// It is guaranteed that a caller is postponed only if it can be back so early that
// an answer after the usual time still meets the route's latency target. A request
// that comes again is let in, so this node refuses none twice for this reason, and the
// returning ones show when the pool has recovered.
//
// Those who return after the recovery come on top of the usual callers. So no
// larger fraction is postponed than the call tree had spare capacity for before the
// rejections began; else they would overload it, be refused again and be lost.
//
// # Usage
//
//	p := &postponer.Postponer{}
//	p.Observe("order", serverID, lostFraction) // with each result
//	p.ObserveAnswer("order", took)             // with each success
//	p.ObserveExcess("order", excess)           // with each caller's request
//	if delay, ok := p.Delay(postponer.Request{...}); ok { ... } // refuse, Retry-After: delay
//
// For callers that are refused for other reasons, LatestReturn says how long they may
// be told to wait.
//
// A decision iterates over the servers that have recently reported on the route. Memory
// use is one entry for each postponed caller until some time after it is due, at most
// maxReturning entries.
package postponer

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// maxLost and maxLostIdempotent are the fractions of lost requests from which
	// callers are postponed. A caller may repeat an idempotent request at once after an
	// error, so it has two chances without a refusal as well.
	maxLost           = 0.75
	maxLostIdempotent = 0.85
	// reportHalfLife is the half-life of the weight of one server's report.
	reportHalfLife = 300 * time.Millisecond
	// expireAfter is the age at which a report is dropped. It exceeds the longest
	// delay, so that the estimate lasts until the first callers have returned.
	expireAfter = 3 * time.Second
	maxDelay    = 2 * time.Second
	// latencySmoothing is the weight of one answer in the mean latency.
	latencySmoothing = 0.1
	// latencyFactor times the mean latency is the time to allow for an answer.
	latencyFactor = 1.5
	// maxLeftFraction is the fraction of the time left for which callers wait at
	// most.
	maxLeftFraction = 1.0 / 3
	// spareHalfLife is the half-life of the spare capacity in the moving average. It is
	// not updated from maxLostUsual on, because lost runs leave capacity unused.
	spareHalfLife = 3 * time.Second
	maxLostUsual  = 0.05
	// minDelay is the least delay. After a shorter one hardly anything has changed.
	minDelay = 200 * time.Millisecond
	// A postponed request is let in for returnFactor times its delay. No more than
	// maxReturning are expected at once; sweepInterval is the time between searches for
	// those that need not be expected any longer.
	returnFactor  = 2
	maxReturning  = 1 << 14
	sweepInterval = time.Second
	// idleTime is the time without a report or an answer after which a route may be
	// evicted.
	idleTime = 10 * time.Second
	// evictionThreshold is the number of stored routes at which idle ones, such as
	// those of past versions of the tables, are evicted.
	evictionThreshold = 1024
)

type (
	// A Postponer holds what this node knows of each route. The zero value is ready
	// to use.
	Postponer struct {
		// Disabled makes it postpone nothing. LatestReturn is not affected.
		Disabled bool

		mu        sync.Mutex
		routes    map[string]*route
		returning map[uint64]time.Time // until when a request is let in, by fingerprint
		nextSweep time.Time
		counts    Counts
	}

	// Counts holds numbers of requests since the start.
	Counts struct {
		Postponed int64
		// Returned is the number of requests that had been postponed before, or are
		// equal to one that had, and were let in.
		Returned int64
		// LetIn is the number of other requests that would probably be lost and were let
		// in, because their callers could not be back in time or because no spare
		// capacity is known for those who return.
		LetIn int64
	}

	// A Request holds the properties of a caller's request on which the decision
	// depends.
	Request struct {
		Route      string
		Idempotent bool
		// Left is the time that the caller will wait, as it states.
		Left time.Duration
		// Target is the route's latency target.
		Target time.Duration
		// Fingerprint returns the same value for a request that comes again. It is
		// called only while requests are postponed or expected to return.
		Fingerprint func() uint64
	}

	route struct {
		reports     map[string]report // by server
		latency     float64           // mean, seconds
		spare       float64           // moving average of the spare capacity as a fraction of the demand
		spareWeight float64           // of the observations in spare; it tends to 1
		spareAt     time.Time
		updatedAt   time.Time
	}

	report struct {
		lost       float64
		receivedAt time.Time
	}
)

// Observe records the fraction of the runs of a route that a server's node reports
// as lost to rejected calls.
func (p *Postponer) Observe(name, server string, lost float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route(name).reports[server] = report{lost: lost, receivedAt: time.Now()}
}

// ObserveAnswer records how long a caller's request took that was answered with a
// success.
func (p *Postponer) ObserveAnswer(name string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.route(name)
	if r.latency == 0 {
		r.latency = took.Seconds()
		return
	}
	r.latency += (took.Seconds() - r.latency) * latencySmoothing
}

// ObserveExcess records the fraction of the demand on the most overloaded pool of a
// route's call trees that exceeds its capacity; it is negative if there is spare capacity.
func (p *Postponer) ObserveExcess(name string, excess float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, now := p.route(name), time.Now()
	if r.lostFraction(now) >= maxLostUsual {
		return
	}
	spare := min(1, -excess)
	if r.spareAt.IsZero() {
		r.spare, r.spareAt = spare, now
		return
	}
	// Each observation counts for the time since the one before, so the first one,
	// which may precede all measurements of the pool, counts only until the second.
	old := decayer.Factor(now.Sub(r.spareAt), spareHalfLife)
	r.spareWeight = old*r.spareWeight + 1 - old
	if r.spareWeight > 0 {
		r.spare += (spare - r.spare) * (1 - old) / r.spareWeight
	}
	r.spareAt = now
}

// Delay returns after what time a caller should come back, if its request is
// better not run now.
func (p *Postponer) Delay(rq Request) (delay time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	r := p.routes[rq.Route]
	if p.Disabled || r == nil || rq.Target == 0 {
		return 0, false
	}
	if p.isReturning(rq.Fingerprint, now) {
		p.counts.Returned++
		return 0, false
	}
	if r.lostFraction(now) < threshold(rq.Idempotent) {
		return 0, false
	}
	delay = min(maxDelay, rq.Target-r.usualTime(), time.Duration(maxLeftFraction*float64(rq.Left)))
	if delay < minDelay || rand.Float64() >= r.spare || len(p.returning) >= maxReturning {
		p.counts.LetIn++
		return 0, false
	}
	if p.returning == nil {
		p.returning = make(map[uint64]time.Time)
	}
	p.returning[rq.Fingerprint()] = now.Add(returnFactor * delay)
	p.counts.Postponed++
	return delay, true
}

// isReturning reports whether a request has been postponed before, or an equal one.
func (p *Postponer) isReturning(fingerprint func() uint64, now time.Time) bool {
	if len(p.returning) > 0 && !now.Before(p.nextSweep) {
		p.nextSweep = now.Add(sweepInterval)
		maps.DeleteFunc(p.returning, func(_ uint64, until time.Time) bool { return now.After(until) })
	}
	return len(p.returning) > 0 && now.Before(p.returning[fingerprint()])
}

// Counts returns how many requests have been postponed, have returned and were let in.
func (p *Postponer) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// PostponedFraction returns the fraction of first attempts with time to return that
// would be postponed now.
func (p *Postponer) PostponedFraction(name string, idempotent bool, target time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[name]
	if p.Disabled || r == nil || r.lostFraction(time.Now()) < threshold(idempotent) || target-r.usualTime() < minDelay {
		return 0
	}
	return max(0, min(1, r.spare))
}

// LatestReturn returns after what time a refused caller must be back at the latest so
// that an answer after the usual time meets the route's latency target. It returns
// false if the target or the usual time is unknown.
func (p *Postponer) LatestReturn(name string, target time.Duration) (delay time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[name]
	if r == nil || r.latency == 0 || target == 0 {
		return 0, false
	}
	return target - r.usualTime(), true
}

// LostFraction returns the fraction of a route's requests that are lost to rejected
// calls, as servers have recently reported.
func (p *Postponer) LostFraction(name string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.routes[name]; r != nil {
		return r.lostFraction(time.Now())
	}
	return 0
}

func threshold(idempotent bool) float64 {
	if idempotent {
		return maxLostIdempotent
	}
	return maxLost
}

// route returns the record of a route that is about to be updated.
func (p *Postponer) route(name string) *route {
	if p.routes == nil {
		p.routes = make(map[string]*route)
	}
	r := p.routes[name]
	if r == nil {
		if len(p.routes) >= evictionThreshold {
			p.evictIdle(time.Now())
		}
		r = &route{reports: make(map[string]report)}
		p.routes[name] = r
	}
	r.updatedAt = time.Now()
	return r
}

// evictIdle drops the routes without a recent report or answer.
func (p *Postponer) evictIdle(now time.Time) {
	maps.DeleteFunc(p.routes, func(_ string, r *route) bool { return now.Sub(r.updatedAt) > idleTime })
}

// usualTime returns the time to allow for an answer.
func (r *route) usualTime() time.Duration {
	return time.Duration(latencyFactor * r.latency * float64(time.Second))
}

func (r *route) lostFraction(now time.Time) float64 {
	sum, total := 0.0, 0.0
	for server, rep := range r.reports {
		age := now.Sub(rep.receivedAt)
		if age > expireAfter {
			delete(r.reports, server)
			continue
		}
		weight := decayer.Factor(age, reportHalfLife)
		sum += weight * rep.lost
		total += weight
	}
	if total == 0 {
		return 0
	}
	return sum / total
}
