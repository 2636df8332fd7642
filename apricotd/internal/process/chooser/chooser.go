// Package chooser picks the backend server for a request.
//
// It guarantees that a server known to be leaving or already tried is not
// chosen. The own data centre goes before the own region while it has room,
// and both before another region, because bytes between places cost money.
// Among servers at one distance the least full goes first; failures of the
// last seconds count like load, so a server that fails many requests gets few
// until it has recovered.
//
// # Usage
//
//	c := &chooser.Chooser{DataCentre: "ba-petrzalka", Region: "bratislava"}
//	choice, ok := c.Choose(list.Pool("licensing"), tried, isCall)
//	defer choice.Done(chooser.Report{...})
//
// A choice looks at every server of the pool. The state is one record for each
// server to which this node has sent a request.
package chooser

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// spillDataCentre and spillRegion are the fill up to which the own data
	// centre and the own region are preferred to what lies further away.
	spillDataCentre = 0.8
	spillRegion     = 0.95
	// regionMargin is by how much less full a server of the region must be to
	// be preferred to one of the own data centre that is above its spill.
	regionMargin = 0.15
	// crossFill is the fill above which no server of another region is chosen.
	crossFill = 0.8
	// failureWeight is the fill that counts for a server that fails everything.
	failureWeight = 2.0
	// failureGain is the weight of one outcome in the mean of failures.
	failureGain = 0.15
	// failureHalfLife is how fast failures are forgotten.
	failureHalfLife = 2 * time.Second
	// reportHalfLife is how fast a report of load loses its meaning.
	reportHalfLife = 500 * time.Millisecond
	// fullFor is how long a server that had no room is passed over. For a call
	// of a backend server it only counts as fuller by fullExtra: where all are
	// full, waiting is better than failing what was begun.
	fullFor   = 60 * time.Millisecond
	fullExtra = 0.3
	// unreachedFor is how long a node that could not be reached is passed over.
	unreachedFor = 500 * time.Millisecond
	// leavingFor is how long the statement of a node that it leaves counts.
	leavingFor = 2 * time.Second
	// silenceLimit is the silence from which a node is passed over.
	silenceLimit = 500 * time.Millisecond
	// assumedSlots stands for slots that are not known.
	assumedSlots = 16
	// coldShare of its slots is what a server can use after its start.
	coldShare = 0.5
	distances = 3
)

// What came of a choice.
const (
	Served    Result = iota // the server answered
	Full                    // its node had no room
	Shed                    // the server turned the request away
	Failed                  // the request was lost
	Unreached               // its node or the server could not be reached
	Leaving                 // it takes nothing new
	Ended                   // the caller left or the time ran out
)

type (
	// A Result tells what came of a choice.
	Result int

	// A Report is what the node beside a server said of its load.
	Report struct {
		Result  Result
		Running int
		Waiting int
		Slots   int // 0: nothing was said
	}

	// A Chooser remembers the load and the failures of servers. Its exported
	// fields must be set before use.
	Chooser struct {
		DataCentre string
		Region     string
		// Silence returns for how long a node has given no sign of life
		// although a request waits for it; nil means never.
		Silence func(netip.Addr) time.Duration

		mu      sync.Mutex
		records map[string]*record // by server id
		leaving map[netip.Addr]time.Time
	}

	// A Choice is one chosen server.
	Choice struct {
		Server  *lister.Server
		chooser *Chooser
		record  *record
	}

	record struct {
		sent       int // requests that this node has under way there
		load       int // running and waiting by the last report
		slots      int
		reportedAt time.Time
		failures   float64 // mean of failures, 0 to 1
		failedAt   time.Time
		avoidUntil time.Time
		fullUntil  time.Time
	}
)

// Choose picks a server that is not among those tried, for a caller's request
// or for a call of a backend server. It reports false if there is none.
func (c *Chooser) Choose(servers []*lister.Server, tried map[string]bool, isCall bool) (*Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var best [distances]*lister.Server
	var fill [distances]float64
	for d := range fill {
		fill[d] = math.Inf(1)
	}
	for _, s := range servers {
		if s.State != lister.Ready || tried[s.ID] || !c.isUsable(s, isCall, now) {
			continue
		}
		d := c.distance(s)
		if f := c.fill(s, now); f < fill[d] {
			best[d], fill[d] = s, f
		}
	}
	s := pick(best, fill)
	if s == nil {
		return nil, false
	}
	r := c.record(s.ID)
	r.sent++
	return &Choice{Server: s, chooser: c, record: r}, true
}

// pick weighs the least full server at each distance.
func pick(best [distances]*lister.Server, fill [distances]float64) *lister.Server {
	near, d := best[0], 0
	if near == nil || fill[0] > spillDataCentre && best[1] != nil && fill[1] < fill[0]-regionMargin {
		near, d = best[1], 1
	}
	if near == nil {
		return best[2]
	}
	if fill[d] > spillRegion && best[2] != nil && fill[2] < crossFill {
		return best[2]
	}
	return near
}

// Failing returns the part of the last requests that the server failed or turned
// away.
func (ch *Choice) Failing() float64 {
	ch.chooser.mu.Lock()
	defer ch.chooser.mu.Unlock()
	r := ch.record
	return r.failures * decayer.Left(time.Since(r.failedAt), failureHalfLife)
}

// Done records what came of the choice. It must be called once.
func (ch *Choice) Done(r Report) {
	c := ch.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	rec := ch.record
	rec.sent--
	if r.Slots > 0 {
		rec.load, rec.slots, rec.reportedAt = r.Running+r.Waiting, r.Slots, now
	}
	switch r.Result {
	case Served:
		rec.fail(0, now)
	case Shed, Failed:
		rec.fail(1, now)
	case Full:
		rec.fullUntil = now.Add(jitter(fullFor))
	case Unreached:
		rec.avoidUntil = now.Add(jitter(unreachedFor))
	case Leaving:
		rec.avoidUntil = now.Add(leavingFor)
	}
}

// Leave passes over the server of a node that says that it stops.
func (c *Chooser) Leave(node netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving == nil {
		c.leaving = make(map[netip.Addr]time.Time)
	}
	c.leaving[node] = time.Now().Add(leavingFor)
}

// Forget drops the records of servers that are no longer listed.
func (c *Chooser) Forget(list *lister.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.records {
		if _, ok := list.Server(id); !ok && r.sent == 0 {
			delete(c.records, id)
		}
	}
}

func (c *Chooser) isUsable(s *lister.Server, isCall bool, now time.Time) bool {
	if r := c.records[s.ID]; r != nil && (now.Before(r.avoidUntil) || !isCall && now.Before(r.fullUntil)) {
		return false
	}
	if until, ok := c.leaving[s.Address.Addr()]; ok {
		if now.Before(until) {
			return false
		}
		delete(c.leaving, s.Address.Addr())
	}
	return c.Silence == nil || c.Silence(s.Address.Addr()) < silenceLimit
}

func (c *Chooser) distance(s *lister.Server) int {
	switch {
	case s.DataCentre == c.DataCentre:
		return 0
	case s.Region == c.Region:
		return 1
	}
	return distances - 1
}

// fill estimates how full a server is: what it reported, as far as that still
// says something, but at least what this node has under way there.
func (c *Chooser) fill(s *lister.Server, now time.Time) float64 {
	r := c.records[s.ID]
	if r == nil {
		r = &record{}
	}
	slots := float64(r.slots)
	if slots == 0 {
		slots = float64(s.Slots)
	}
	if slots == 0 {
		slots = assumedSlots
	}
	if now.Before(s.ColdUntil) {
		slots *= coldShare
	}
	load := float64(r.load) * decayer.Left(now.Sub(r.reportedAt), reportHalfLife)
	fill := max(load, float64(r.sent))/slots + failureWeight*r.failures*decayer.Left(now.Sub(r.failedAt), failureHalfLife)
	if now.Before(r.fullUntil) {
		fill += fullExtra
	}
	return fill
}

func (c *Chooser) record(id string) *record {
	if c.records == nil {
		c.records = make(map[string]*record)
	}
	r := c.records[id]
	if r == nil {
		r = &record{}
		c.records[id] = r
	}
	return r
}

func (r *record) fail(sample float64, now time.Time) {
	mean := r.failures * decayer.Left(now.Sub(r.failedAt), failureHalfLife)
	r.failures = mean + (sample-mean)*failureGain
	r.failedAt = now
}

// jitter keeps the nodes of a fleet from coming back at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
