// Package appraiser estimates what a request costs: for how long it will occupy a slot of
// a backend server of mean speed.
//
// The estimate is learned from the service times of earlier requests by route, then by the
// shape of the target and the size of the body, then by organisation. Where little is
// known at one level, the estimate tends to that of the more general one. A route of which
// nothing is known has no estimate. Requests that differ only by chance get the same
// estimate; Errors tells how much of the variance each level explains.
//
// # Usage
//
//	rq := appraiser.Request{Route: "search", Organisation: "acme", Target: "/items/17?lang=en", BodySize: 0}
//	e, ok := a.Estimate(rq)
//	a.Learn(rq, took) // took divided by the relative service time of the server
//
// Memory is bounded: about 115 KB for the specific cells, and one cell for each of maxRoutes
// routes. Targets that never repeat displace only cells that are little used. An estimate
// takes under a microsecond and allocates nothing. What was learned loses weight with
// age.
package appraiser

import (
	"math"
	"math/bits"
	"strings"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// maxCount bounds the weight of what was learned, in service times.
	maxCount = 200
	// countHalfLife is the half-life of the weight of what was learned.
	countHalfLife = 2 * time.Minute
	// priorCount is the weight of the more general estimate, in service times.
	priorCount = 20
	// minCount is the weight from which a route has an estimate.
	minCount  = 3
	maxRoutes = 1024
	// The specific cells are stored in sets of ways cells each.
	sets = 512
	ways = 4
	// maxOutlier bounds a service time relative to the estimate of its route.
	maxOutlier = 20.0
	// errorSmoothing is the weight of one service time in the mean errors.
	errorSmoothing = 0.002
	// maxSegments bounds the path segments and query keys that make up the shape.
	maxSegments = 8

	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Levels of knowledge, from the general to the specific.
const (
	ByNothing Level = iota // the mean of all routes
	ByRoute
	ByShape        // route, shape of the target, size of the body
	ByOrganisation // the same, and the organisation
	levels
)

type (
	// A Level is a set of properties by which service times are learned.
	Level int

	// A Request holds the properties from which the cost is estimated.
	Request struct {
		Route        string
		Organisation string
		Target       string
		BodySize     int
	}

	// An Estimate is the distribution of the service time.
	Estimate struct {
		Mean time.Duration
		// Spread is the standard deviation relative to the mean.
		Spread float64
		// Count is the weight of what was learned at Level, in service times.
		Count float64
		// Level is the most specific one of which anything is known.
		Level Level
	}

	// An Appraiser learns the cost of requests. The zero value is ready to use.
	Appraiser struct {
		mu     sync.Mutex
		all    cell
		routes map[string]*cell
		cells  [][ways]cell // nil until the first service time
		errors [levels]float64
	}

	cell struct {
		key       uint64
		mean      float64 // seconds
		square    float64 // mean of the squared deviations from mean
		count     float64
		updatedAt time.Time
	}
)

func (l Level) String() string {
	return [...]string{"nothing", "route", "shape", "organisation"}[l]
}

// Estimate returns the estimated cost of a request. ok is false if nothing is known of its
// route.
func (a *Appraiser) Estimate(rq Request) (e Estimate, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	means, e := a.estimate(rq, now)
	e.Mean = time.Duration(means[levels-1] * float64(time.Second))
	return e, e.Level >= ByRoute
}

// Learn records the service time of an answered request.
func (a *Appraiser) Learn(rq Request, took time.Duration) {
	seconds := took.Seconds()
	if !(seconds > 0) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	means, e := a.estimate(rq, now)
	if e.Level >= ByRoute {
		seconds = min(seconds, maxOutlier*means[ByRoute])
		a.recordErrors(means, seconds)
	}
	a.all.add(seconds, now)
	a.route(rq.Route).add(seconds, now)
	shape, organisation := rq.keys()
	if a.cells == nil {
		a.cells = make([][ways]cell, sets)
	}
	for _, key := range [...]uint64{shape, organisation} {
		if c := a.place(key, now); c != nil {
			c.add(seconds, now)
		}
	}
}

// Errors returns for each level the mean of the squared logarithm of the service time
// relative to the estimate. The part of the variance that a level explains is 1 minus its
// error relative to that of ByNothing.
func (a *Appraiser) Errors() map[Level]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[Level]float64, levels)
	for l, e := range a.errors {
		out[Level(l)] = e
	}
	return out
}

// estimate returns the mean at each level, in seconds.
func (a *Appraiser) estimate(rq Request, now time.Time) (means [levels]float64, e Estimate) {
	means[ByNothing] = a.all.mean
	c := a.routes[rq.Route]
	count := c.weight(now)
	if count < minCount {
		means[ByRoute], means[ByShape], means[ByOrganisation] = a.all.mean, a.all.mean, a.all.mean
		return means, e
	}
	means[ByRoute] = c.mean
	e = Estimate{Spread: math.Sqrt(c.square) / c.mean, Count: count, Level: ByRoute}
	shape, organisation := rq.keys()
	for i, key := range [...]uint64{shape, organisation} {
		l := ByShape + Level(i)
		means[l] = means[l-1]
		c := a.find(key)
		if count := c.weight(now); count > 0 {
			means[l] = (count*c.mean + priorCount*means[l-1]) / (count + priorCount)
			e.Count, e.Level = count, l
		}
	}
	return means, e
}

func (a *Appraiser) recordErrors(means [levels]float64, seconds float64) {
	for l, mean := range means {
		deviation := math.Log(seconds / mean)
		if a.errors[l] == 0 {
			a.errors[l] = deviation * deviation
		}
		a.errors[l] += (deviation*deviation - a.errors[l]) * errorSmoothing
	}
}

func (a *Appraiser) route(name string) *cell {
	if a.routes == nil || len(a.routes) >= maxRoutes && a.routes[name] == nil {
		a.routes = make(map[string]*cell)
	}
	c := a.routes[name]
	if c == nil {
		c = &cell{}
		a.routes[name] = c
	}
	return c
}

func (a *Appraiser) find(key uint64) *cell {
	if a.cells == nil {
		return nil
	}
	set := &a.cells[key%sets]
	for i := range set {
		if set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// place returns the cell of a key, or nil if there is no room for it. A new key takes the
// place of the least used cell of its set, whose weight each such attempt halves.
func (a *Appraiser) place(key uint64, now time.Time) *cell {
	if c := a.find(key); c != nil {
		return c
	}
	set := &a.cells[key%sets]
	least := &set[0]
	for i := range set {
		if set[i].weight(now) < least.weight(now) {
			least = &set[i]
		}
	}
	if least.weight(now) > 1 {
		least.count /= 2
		return nil
	}
	*least = cell{key: key}
	return least
}

// weight returns the weight of what was learned. The cell may be nil.
func (c *cell) weight(now time.Time) float64 {
	if c == nil || c.count == 0 {
		return 0
	}
	return c.count * decayer.Factor(now.Sub(c.updatedAt), countHalfLife)
}

func (c *cell) add(seconds float64, now time.Time) {
	c.count = min(maxCount, c.weight(now)+1)
	c.updatedAt = now
	deviation := seconds - c.mean
	c.mean += deviation / c.count
	c.square += (deviation*(seconds-c.mean) - c.square) / c.count
}

// keys returns the keys of the cells of a request.
func (rq *Request) keys() (shape, organisation uint64) {
	h := hashString(fnvOffset, rq.Route)
	h = hashShape(h, rq.Target)
	shape = hashByte(h, byte(bits.Len(uint(max(0, rq.BodySize)))))
	return shape, hashString(hashByte(shape, 1), rq.Organisation)
}

// hashShape adds the shape of a target: its path, with one placeholder for each segment
// that contains a digit, and the keys of its query.
func hashShape(h uint64, target string) uint64 {
	path, query, _ := strings.Cut(target, "?")
	for range maxSegments {
		segment, rest, found := strings.Cut(path, "/")
		if strings.ContainsAny(segment, "0123456789") {
			segment = "#"
		}
		h = hashByte(hashString(h, segment), '/')
		if path = rest; !found {
			break
		}
	}
	for range maxSegments {
		field, rest, found := strings.Cut(query, "&")
		key, _, _ := strings.Cut(field, "=")
		h = hashByte(hashString(h, key), '&')
		if query = rest; !found {
			break
		}
	}
	return h
}

// hashString adds a string to a hash by FNV-1a.
func hashString(h uint64, s string) uint64 {
	for i := range len(s) {
		h = hashByte(h, s[i])
	}
	return h
}

func hashByte(h uint64, b byte) uint64 { return (h ^ uint64(b)) * fnvPrime }
