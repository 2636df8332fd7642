// Package gauger measures the work that is left at a backend server, and how long work
// takes there at present.
//
// A Gauger belongs to the node beside the server, which sees each request begin and end.
// The expected remaining time of a running request is conditional on how long it runs
// already, by the distribution of the service times seen at this server relative to what
// was expected: a request that has run for longer than expected is not taken to end at
// once.
//
// What the server states about its present speed is used only relative to what it usually
// states, within bounds, and is forgotten. A server that always states the same therefore
// changes nothing, and one that states nonsense changes little; its usual speed is
// measured.
//
// # Usage
//
//	work := g.Add(expected)
//	work.Start()
//	work.End(answered)
//	g.Observe(server, response.Fields.Get(names.Load), receivedAt)
//	reading := g.Read()
//
// Memory is one record for each request at the server. Read takes time proportional to
// their number, at most once in a millisecond.
package gauger

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/process/decayer"
)

const (
	// ratioSmoothing is the least weight of one answer in the usual ratio of the service
	// times to the expected ones.
	ratioSmoothing = 0.01
	// recentSmoothing is the weight of one answer in the recent ratio, whose difference
	// from the usual one has the half-life recentHalfLife. A server that was slow and gets
	// few requests is thereby tried again.
	recentSmoothing = 0.1
	recentHalfLife  = time.Second
	// disturbance is the recent ratio, or its inverse, from which answers count for the
	// usual ratio only by disturbedWeight, since the disturbance may pass. The first
	// settledAfter answers always count in full: a server may be slow after its start.
	disturbance     = 1.7
	disturbedWeight = 0.03
	settledAfter    = 300
	// anchor is the weight of the ratio 1 relative to that of an answer. Senders divide
	// service times by the ratio before they learn from them, which determines the ratios
	// of a pool only up to a common factor; the anchor keeps their mean near 1.
	anchor = 0.02
	// statedSmoothing is the least weight of one response in the usual stated figure.
	statedSmoothing = 0.005
	// statedHalfLife is the half-life of a stated figure.
	statedHalfLife = 300 * time.Millisecond
	// maxStatedAge is the age from which a server counts as stating nothing.
	maxStatedAge             = 10 * time.Second
	minSlowdown, maxSlowdown = 0.5, 3.0 // by the stated figure
	minStated, maxStated     = 1.0, 10000.0
	maxRatio                 = 8.0
	meanSmoothing            = 0.05
	// maxExpected bounds what a peer may state, so that the backlog stays finite.
	maxExpected  = time.Hour
	readInterval = time.Millisecond
	// The histogram of service times relative to expected ones has buckets of a factor of
	// the square root of 2, from smallestBucket.
	buckets        = 20
	smallestBucket = 1.0 / 64
	// halveAt is the number of answers after which the counts of the histogram are halved.
	halveAt = 1024
	// priorCount is the number of answers from which the histogram is used.
	priorCount = 32
)

type (
	// A Gauger measures one backend server. The zero value is ready to use. Its exported
	// field must be set before use.
	Gauger struct {
		// IsAlwaysRead makes Read return what is measured also if the server does not
		// state how long work takes.
		IsAlwaysRead bool

		mu       sync.Mutex
		server   string
		works    map[*Work]struct{}
		ratio    float64 // mean of service time / expected time; 0: unknown
		ratios   float64 // number of answers in ratio
		recent   float64 // recent mean relative to ratio
		recentAt time.Time
		mean     float64 // mean service time, seconds
		counts   [buckets]float64
		total    float64
		stated   float64 // last stated figure; 0: none
		usual    float64 // mean of the stated figures
		seen     float64 // number of stated figures
		statedAt time.Time
		invalid  uint64
		reading  Reading
		readAt   time.Time
	}

	// A Work is one request at the server.
	Work struct {
		gauger    *Gauger
		expected  float64 // seconds at a server of mean speed; 0: unknown
		slowdown  float64 // stated when the request started
		startedAt time.Time
	}

	// A Reading is the state of the server.
	Reading struct {
		// Backlog is the expected remaining service time of all requests.
		Backlog time.Duration
		// Slowdown is the present service time relative to the usual one, as stated and as
		// measured; 0 if the server states nothing.
		Slowdown float64
		// Ratio is the usual service time relative to what senders expect of a server of
		// mean speed; 0 if unknown.
		Ratio float64
	}
)

// Add adds a request that waits for a slot. expected is its service time at a server of
// mean speed; 0 if unknown.
func (g *Gauger) Add(expected time.Duration) *Work {
	w := &Work{gauger: g, expected: max(0, min(maxExpected, expected).Seconds())}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.works == nil {
		g.works = make(map[*Work]struct{})
	}
	g.works[w] = struct{}{}
	return w
}

// Start records that the request has got a slot.
func (w *Work) Start() {
	w.gauger.mu.Lock()
	defer w.gauger.mu.Unlock()
	w.startedAt = time.Now()
	w.slowdown = w.gauger.slowdown(w.startedAt)
}

// End removes the request. If the server answered it, its service time is learned from.
func (w *Work) End(answered bool) {
	g := w.gauger
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.works, w)
	if answered && !w.startedAt.IsZero() {
		now := time.Now()
		g.learn(now.Sub(w.startedAt).Seconds(), w.expected, w.slowdown, now)
	}
}

// Observe records the load field of a response, "running,waiting,slots,percent": percent is
// how long work takes at present, 100 if as usual. Fields without it are ignored.
func (g *Gauger) Observe(server, field string, at time.Time) {
	if field == "" {
		return
	}
	stated, ok, valid := parseStated(field)
	g.mu.Lock()
	defer g.mu.Unlock()
	if server != g.server {
		g.server, g.ratio, g.ratios, g.recent, g.mean, g.total, g.counts = server, 0, 0, 0, 0, 0, [buckets]float64{}
		g.stated, g.usual, g.seen = 0, 0, 0
	}
	switch {
	case !ok:
	case !valid:
		g.invalid++
	case at.Before(g.statedAt):
	default:
		g.seen++
		g.usual += (stated - g.usual) * max(statedSmoothing, 1/g.seen)
		g.stated, g.statedAt = stated, at
	}
}

// Invalid returns the number of responses whose statement was out of range.
func (g *Gauger) Invalid() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.invalid
}

// Read returns the state of the server.
func (g *Gauger) Read() Reading {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.readAt) >= readInterval {
		g.reading, g.readAt = g.read(now), now
	}
	return g.reading
}

func (g *Gauger) read(now time.Time) Reading {
	r := Reading{Slowdown: g.slowdown(now), Ratio: g.ratio}
	if r.Slowdown == 0 {
		return Reading{}
	}
	r.Slowdown *= g.recentFactor(now)
	backlog := 0.0
	for w := range g.works {
		expected := g.expected(w.expected)
		if w.startedAt.IsZero() {
			backlog += expected
		} else {
			backlog += g.remaining(expected, now.Sub(w.startedAt).Seconds())
		}
	}
	r.Backlog = converter.Seconds(backlog * r.Slowdown)
	return r
}

// slowdown returns the stated slowdown; if the server has stated none for a while, 1 if the
// gauger is always read, otherwise 0.
func (g *Gauger) slowdown(now time.Time) float64 {
	age := now.Sub(g.statedAt)
	if g.stated == 0 || age > maxStatedAge {
		if g.IsAlwaysRead {
			return 1
		}
		return 0
	}
	s := max(minSlowdown, min(maxSlowdown, g.stated/g.usual))
	return 1 + (s-1)*decayer.Factor(age, statedHalfLife)
}

// expected returns the usual service time here, in seconds.
func (g *Gauger) expected(atMeanSpeed float64) float64 {
	if atMeanSpeed <= 0 || g.ratio == 0 {
		return g.mean
	}
	return atMeanSpeed * g.ratio
}

// recentFactor returns the recent service times relative to the usual ones.
func (g *Gauger) recentFactor(now time.Time) float64 {
	if g.recent == 0 {
		return 1
	}
	return 1 + (g.recent-1)*decayer.Factor(now.Sub(g.recentAt), recentHalfLife)
}

// learn records a service time, in seconds. stated is the slowdown that the server
// stated when the request started.
func (g *Gauger) learn(took, expected, stated float64, now time.Time) {
	if g.mean == 0 {
		g.mean = took
	}
	g.mean += (took - g.mean) * meanSmoothing
	if expected > 0 {
		if stated > 0 {
			took /= stated
		}
		g.learnRatio(max(1/maxRatio, min(maxRatio, took/expected)), now)
	}
	if usual := g.expected(expected); usual > 0 {
		g.counts[bucket(took/usual)]++
		g.total++
	}
	if g.total >= halveAt {
		g.total = 0
		for i := range g.counts {
			g.counts[i] /= 2
			g.total += g.counts[i]
		}
	}
}

// learnRatio records the ratio of a service time to the expected one.
func (g *Gauger) learnRatio(ratio float64, now time.Time) {
	if g.ratio == 0 {
		g.ratio = 1
	}
	recent := g.recentFactor(now)
	weight := max(ratioSmoothing, 1/(1/recentSmoothing+g.ratios))
	if g.ratios > settledAfter && (recent > disturbance || recent < 1/disturbance) {
		weight *= disturbedWeight
	}
	g.ratios++
	g.ratio += (ratio - g.ratio + anchor*(1-g.ratio)) * weight
	g.recent = recent + (ratio/g.ratio-recent)*recentSmoothing
	g.recentAt = now
}

// remaining returns the mean of what is left of a service time that is longer than
// elapsed, in seconds.
func (g *Gauger) remaining(expected, elapsed float64) float64 {
	if expected <= 0 {
		return 0
	}
	if g.total < priorCount {
		return max(expected-elapsed, expected/2)
	}
	sum, count := 0.0, 0.0
	for i := bucket(elapsed/expected) + 1; i < buckets; i++ {
		sum += g.counts[i] * centre(i) * expected
		count += g.counts[i]
	}
	if count < 1 {
		// Longer than nearly all others: it may take as long again.
		return max(expected/2, elapsed)
	}
	return max(0, sum/count-elapsed)
}

func bucket(ratio float64) int {
	if !(ratio > smallestBucket) {
		return 0
	}
	return min(buckets-1, int(2*math.Log2(ratio/smallestBucket)))
}

// centre returns the geometric centre of a bucket.
func centre(i int) float64 { return smallestBucket * math.Exp2((float64(i)+0.5)/2) }

// parseStated returns the fourth figure of a load field. ok is false if there is none.
func parseStated(field string) (stated float64, ok, valid bool) {
	for range 3 {
		var found bool
		if _, field, found = strings.Cut(field, ","); !found {
			return 0, false, false
		}
	}
	field, _, _ = strings.Cut(field, ",")
	stated, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
	return stated, true, err == nil && stated >= minStated && stated <= maxStated
}
