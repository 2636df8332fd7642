// Package throttler decides which fraction of callers' requests to reject at
// the node where they enter the system, before any work is done for them.
//
// Every answer between nodes carries the bottleneck of the route's call tree,
// which is its most overloaded pool, and the excess, which is the fraction of
// the demand on that pool beyond its capacity. A request that would fail
// several calls downstream is thus rejected at the root. All requests at this
// node whose call trees lead to the bottleneck share in the rejections, those of
// the least urgent rank first. A tree leads to a pool if any recent report on its
// route names it: the most overloaded of several pools changes from one report to
// the next, and the trees load the others all the same. Demand is counted in requests to
// the bottleneck, as reports tell how many of them one request causes.
//
// # Usage
//
//	t := &throttler.Throttler{}
//	t.Observe("search", serverID, throttler.Overload{Excess: 0.3, Bottleneck: "stock"})
//	if fraction, overload := t.ThrottleFraction("search", rank); rand.Float64() < fraction { ... }
//
// An estimate that is not refreshed decays within seconds, so that some
// requests pass and show whether the overload persists. The throttler stores
// one report for each route and server that reported recently; a decision
// iterates over all routes.
package throttler

import (
	"iter"
	"slices"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// reportHalfLife is the half-life of the weight of one server's report in
	// the mean over a route's servers.
	reportHalfLife = time.Second
	// staleAfter is the age of a route's newest report from which the estimated
	// excess decays, with a half-life of staleHalfLife.
	staleAfter    = 500 * time.Millisecond
	staleHalfLife = time.Second
	// expireAfter is the age at which a report is dropped.
	expireAfter = 5 * time.Second
	// minDemand is the least demand, in requests per second, used to weight a
	// report. It keeps the weight of an idle server above zero.
	minDemand = 1.0
	// demandHalfLife is the half-life of the request counts from which the
	// demand by rank is computed.
	demandHalfLife = 2 * time.Second
	// maxRequestsPerRun bounds what a report on one route can add to the demand on its
	// bottleneck.
	maxRequestsPerRun = 1000.0
	// perRunSmoothing is the weight of one report in the mean of RequestsPerRun.
	perRunSmoothing = 0.1
	// evictionThreshold is the number of stored routes at which idle ones, such as
	// those of past versions of the tables, are evicted.
	evictionThreshold = 1024
)

type (
	// An Overload is the load state of a call tree, as reported by one node or
	// as estimated from several reports.
	Overload struct {
		// Excess is the fraction of the demand beyond capacity. It is negative
		// if the pool has spare capacity.
		Excess     float64
		Bottleneck string // pool
		// Demand on the reporting server, in requests per second.
		Demand float64
		// RequestsPerRun is the mean number of requests to the bottleneck that one
		// request of the route causes; 0 if it is 1 or unknown.
		RequestsPerRun float64
		// Cold reports whether the pool was short of capacity because its servers were
		// cold.
		Cold bool
		// Reporter is the server with the newest report of an estimate, and Age the
		// age of that report.
		Reporter string
		Age      time.Duration
	}

	// A Throttler stores the reports that this node has received and the demand
	// of its callers. The zero value is ready to use.
	Throttler struct {
		// NewestPoolOnly makes the demand on a route count only towards the pool that
		// the newest report names.
		NewestPoolOnly bool

		mu     sync.Mutex
		routes map[string]*route
	}

	route struct {
		reports     map[string]report // by server
		bottleneck  string            // from the newest report
		pools       map[string]*pool  // those that reports have named
		reportedAt  time.Time         // of the newest report
		reporter    string            // of the newest report
		rank        int
		demand      float64 // decaying count of callers' requests
		requestedAt time.Time
	}

	// A pool is what is known of a pool to which the call trees of a route lead.
	pool struct {
		namedAt        time.Time // by the newest report that names it
		requestsPerRun float64   // mean
	}

	report struct {
		Overload
		receivedAt time.Time
	}
)

// Weight returns the mean number of requests to the bottleneck for each request of the
// route, at most maxRequestsPerRun, or 1 if it is unknown.
func (o Overload) Weight() float64 {
	if o.RequestsPerRun > 0 {
		return min(maxRequestsPerRun, o.RequestsPerRun)
	}
	return 1
}

// Observe records a server's report on a route.
func (t *Throttler) Observe(name, server string, o Overload) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrAdd(name)
	r.reports[server] = report{Overload: o, receivedAt: time.Now()}
	r.bottleneck, r.reporter, r.reportedAt = o.Bottleneck, server, time.Now()
	known := r.pools[o.Bottleneck]
	if known == nil {
		known = &pool{requestsPerRun: o.Weight()}
		r.pools[o.Bottleneck] = known
	}
	known.namedAt = r.reportedAt
	known.requestsPerRun += (o.Weight() - known.requestsPerRun) * perRunSmoothing
}

// ForgetCold drops the reports of a shortage that ends because servers of the pool have
// warmed up. They would otherwise outlast it by seconds, since few requests pass that
// could bring newer ones.
func (t *Throttler) ForgetCold(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.routes {
		for server, rep := range r.reports {
			if rep.Cold && rep.Bottleneck == pool {
				delete(r.reports, server)
			}
		}
	}
}

// Estimate returns the estimated overload of a route's call trees.
func (t *Throttler) Estimate(name string) Overload {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate(name, time.Now())
}

// ThrottleFraction counts one request of a caller and returns the fraction of
// the requests of this route and rank to reject, and the overload that causes
// it. The excess demand that remains once all less urgent requests are rejected
// is spread evenly over those of this rank.
func (t *Throttler) ThrottleFraction(name string, rank int) (fraction float64, o Overload) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	r := t.getOrAdd(name)
	r.rank = rank
	r.demand = r.decayedDemand(now) + 1
	r.requestedAt = now
	return t.fraction(name, rank, now)
}

// Fraction is ThrottleFraction for a request that is not sent and not counted.
func (t *Throttler) Fraction(name string, rank int) (fraction float64, o Overload) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fraction(name, rank, time.Now())
}

func (t *Throttler) fraction(name string, rank int, now time.Time) (fraction float64, o Overload) {
	o = t.estimate(name, now)
	if o.Excess <= 0 {
		return 0, o
	}
	below, same, above := t.demandByRank(o.Bottleneck, rank, now)
	if same == 0 {
		same = 1 // the request itself
	}
	return max(0, min(1, (o.Excess*(below+same+above)-below)/same)), o
}

// OtherPools returns the pools, besides the one that the newest report names, towards
// which requests on a route count.
func (t *Throttler) OtherPools(name string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(t.otherPools(name))
}

// HasOtherPools reports whether OtherPools returns any.
func (t *Throttler) HasOtherPools(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range t.otherPools(name) {
		return true
	}
	return false
}

func (t *Throttler) otherPools(name string) iter.Seq[string] {
	return func(yield func(string) bool) {
		r := t.routes[name]
		if r == nil {
			return
		}
		now := time.Now()
		for pool := range r.pools {
			if pool != r.bottleneck && t.countsTowards(r, pool, now) && !yield(pool) {
				return
			}
		}
	}
}

// demandByRank sums the demand on a bottleneck of all routes whose call trees lead there,
// split into ranks less urgent than, equal to and more urgent than the given one.
func (t *Throttler) demandByRank(bottleneck string, rank int, now time.Time) (below, same, above float64) {
	for _, r := range t.routes {
		if r.demand == 0 || !t.countsTowards(r, bottleneck, now) {
			continue
		}
		switch d := r.decayedDemand(now) * r.requestsPerRun(bottleneck); {
		case r.rank > rank:
			below += d
		case r.rank == rank:
			same += d
		default:
			above += d
		}
	}
	return below, same, above
}

// estimate returns the mean of the reports on the route. If these are stale, it
// uses those on the route with the same bottleneck and the newest report, since
// requests of an urgent rank still return reports while all others are rejected.
func (t *Throttler) estimate(name string, now time.Time) Overload {
	r := t.routes[name]
	if r == nil || now.Sub(r.reportedAt) > expireAfter {
		return Overload{}
	}
	if now.Sub(r.reportedAt) > staleAfter {
		r = t.mostRecentlyReported(r)
	}
	o := r.meanOverload(now)
	o.Excess *= decayer.Factor(max(0, now.Sub(r.reportedAt)-staleAfter), staleHalfLife)
	o.Reporter, o.Age = r.reporter, now.Sub(r.reportedAt)
	return o
}

func (t *Throttler) mostRecentlyReported(r *route) *route {
	for _, other := range t.routes {
		if other.bottleneck == r.bottleneck && other.reportedAt.After(r.reportedAt) {
			r = other
		}
	}
	return r
}

func (t *Throttler) getOrAdd(name string) *route {
	if t.routes == nil {
		t.routes = make(map[string]*route)
	}
	r := t.routes[name]
	if r == nil {
		if len(t.routes) >= evictionThreshold {
			t.evictIdle(time.Now())
		}
		r = &route{reports: make(map[string]report), pools: make(map[string]*pool)}
		t.routes[name] = r
	}
	return r
}

// evictIdle drops the routes without a recent report or request.
func (t *Throttler) evictIdle(now time.Time) {
	for name, r := range t.routes {
		if now.Sub(r.reportedAt) > expireAfter && now.Sub(r.requestedAt) > expireAfter {
			delete(t.routes, name)
		}
	}
}

// countsTowards reports whether demand on a route counts towards a pool.
func (t *Throttler) countsTowards(r *route, pool string, now time.Time) bool {
	if t.NewestPoolOnly {
		return pool == r.bottleneck
	}
	return r.leadsTo(pool, now)
}

// requestsPerRun returns the mean number of requests to a pool that one request of the
// route causes, 1 if it is unknown.
func (r *route) requestsPerRun(name string) float64 {
	if known := r.pools[name]; known != nil {
		return known.requestsPerRun
	}
	return 1
}

// leadsTo reports whether a recent report on the route names the pool.
func (r *route) leadsTo(name string, now time.Time) bool {
	known := r.pools[name]
	if known != nil && now.Sub(known.namedAt) > expireAfter && name != r.bottleneck {
		delete(r.pools, name)
		return false
	}
	return known != nil
}

// meanOverload weights the servers' reports by age and demand, so that one
// overloaded server does not make a pool count as overloaded while the others
// have spare capacity.
func (r *route) meanOverload(now time.Time) Overload {
	weightedSum, totalWeight, cold := 0.0, 0.0, false
	for server, rep := range r.reports {
		age := now.Sub(rep.receivedAt)
		if age > expireAfter {
			delete(r.reports, server)
			continue
		}
		weight := decayer.Factor(age, reportHalfLife) * max(minDemand, rep.Demand)
		weightedSum += weight * rep.Excess
		totalWeight += weight
		cold = cold || rep.Cold
	}
	if totalWeight == 0 {
		return Overload{}
	}
	return Overload{Excess: weightedSum / totalWeight, Bottleneck: r.bottleneck, RequestsPerRun: r.requestsPerRun(r.bottleneck), Cold: cold}
}

func (r *route) decayedDemand(now time.Time) float64 {
	return r.demand * decayer.Factor(now.Sub(r.requestedAt), demandHalfLife)
}
