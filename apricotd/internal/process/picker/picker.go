// Package picker selects the backend server for a request.
//
// It guarantees that a server is not selected that is known to be leaving, is in an
// evacuated data centre or outside the home regions of the request, or was already
// tried. The local data centre is preferred to the rest of the local region while it
// has room, and both to other regions, because traffic between data centres and
// regions is charged. Among servers at the same distance the least utilised one is
// selected. Recent failures add to the utilisation, so a server that fails many
// requests gets few until it recovers. It gets none while the retry budget does not cover
// the failures to be expected and another server has room, at whatever distance.
//
// If ByCompletion is set and servers of the pool state how long work takes there at
// present, the server is instead the one at which the request is expected to be completed
// first, travel and the price of distance included; see package scorer. One first try in
// scorer.ExploreEvery goes to a server of the same distance that this node has not used for
// exploreAfter, so each is tried in a bounded time, or else to any server of that distance.
//
// # Usage
//
//	p := &picker.Picker{DataCentre: "ba-petrzalka", Region: "bratislava"}
//	choice, ok := p.Choose(list.Pool("licensing"), tried, picker.Request{Rank: rank})
//	defer choice.Done(picker.Report{...})
//
// Choose examines every server of the pool. Memory use is one record per server
// to which this node has sent a request.
package picker

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/cost/scorer"
	"apricotrudder.dev/apricotd/internal/process/decayer"
	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// dataCentreSpillover and regionSpillover are the utilisation up to which the
	// local data centre and the local region are preferred to more distant
	// servers.
	dataCentreSpillover = 0.8
	regionSpillover     = 0.95
	// regionMargin is how much lower the utilisation of a server elsewhere in the
	// region must be for it to be preferred to one in the local data centre that
	// is above dataCentreSpillover.
	regionMargin = 0.15
	// crossRegionLimit is the utilisation from which servers of other regions are
	// not selected while the local region has a candidate.
	crossRegionLimit = 0.8
	// failurePenalty is the utilisation added for a server that fails every
	// request.
	failurePenalty = 2.0
	// failureSmoothing is the weight of one outcome in the moving average of
	// failures.
	failureSmoothing = 0.15
	// failureHalfLife is the half-life of the failure rate as outcomes age.
	failureHalfLife = 2 * time.Second
	// reportHalfLife is the half-life of a load report.
	reportHalfLife = 500 * time.Millisecond
	// fullBackoff is how long a server that had no room is skipped by requests that
	// are not more urgent than the refused one. For calls of
	// backend servers, fullPenalty is added to its utilisation instead: if all
	// servers are full, waiting is better than failing a request that has already
	// caused work.
	fullBackoff = 60 * time.Millisecond
	fullPenalty = 0.3
	// maxFullBackoff bounds the time for which a server is skipped that has
	// stated when it may have room.
	maxFullBackoff = 500 * time.Millisecond
	// unreachableBackoff is how long a server that could not be reached is skipped.
	unreachableBackoff = 500 * time.Millisecond
	// evacuatedBackoff is how long a data centre is skipped after a node there has refused
	// a request because it is evacuated. By then this node has learned of it too, or it
	// has ended.
	evacuatedBackoff = 500 * time.Millisecond
	// leavingTTL is how long a node's announcement that it is leaving stays valid.
	leavingTTL = 2 * time.Second
	// maxSilence is the silence from which a node is skipped.
	maxSilence = 500 * time.Millisecond
	// defaultSlots is assumed for servers with an unknown number of slots.
	defaultSlots = 16
	// coldSlotFraction is the fraction of its slots that a server can use during
	// its cold start.
	coldSlotFraction = 0.5
	// coldUtilisation is the utilisation of an idle server that is cold and limits its
	// rate: warm servers of the region are used first while they have room.
	coldUtilisation = 0.85
	// usable is what Describe returns for a server that can be selected.
	usable = "usable"
	// distanceLevels counts local data centre, local region and other regions.
	distanceLevels = 3
)

// Results of an attempt.
const (
	Served      Result = iota // the server answered
	Full                      // its node had no room
	Shed                      // the server rejected the request
	Failed                    // the request was lost
	Unreachable               // its node or the server could not be reached
	Leaving                   // the server accepts no new requests
	Evacuated                 // the server's data centre is evacuated
	Abandoned                 // cancelled, timed out or not sent
)

type (
	// A Result is the result of an attempt at a server.
	Result int

	// A Report is the result of an attempt with the load that the server's node
	// reported.
	Report struct {
		Result  Result
		Running int
		Waiting int
		Slots   int // 0: no load was reported
		// RateUtilisation is the utilisation of the rate that the server accepts;
		// 0 if that is not limited.
		RateUtilisation float64
		// RetryAfter is after what time a server without room may have some. The server
		// is skipped until then.
		RetryAfter time.Duration
		// RoomAfter is when a server without room expects to have some. It is only
		// returned by NextRoom.
		RoomAfter time.Duration
		// Backlog, Ratio and Slowdown are as in scorer.View; 0 if unknown.
		Backlog  time.Duration
		Ratio    float64
		Slowdown float64
		// ServiceTime is how long the request occupied a slot; 0 if unknown.
		ServiceTime time.Duration
	}

	// A Picker tracks the load and the failures of servers. Its exported fields
	// must be set before use.
	Picker struct {
		DataCentre string
		Region     string
		// Silence returns for how long a node has sent nothing although a request
		// is waiting for it. If nil, nodes are never skipped for silence.
		Silence func(netip.Addr) time.Duration
		// IsLeaving reports whether a server has stated that it is leaving. If
		// nil, no server has.
		IsLeaving func(*lister.Server) bool
		// IsEvacuated reports whether the servers of a data centre may get no
		// requests. If nil, no data centre is evacuated.
		IsEvacuated func(dataCentre string) bool
		// HomeReserve is the utilisation that requests which may be served in several
		// regions leave free in one if all other requests to a pool are bound to it. 0
		// means that they leave nothing free.
		HomeReserve float64
		// ColdRate returns the rate of requests per second that a server tolerates
		// because it is cold; 0 if it is warm. If nil, no rate is limited so.
		ColdRate func(*lister.Server) float64
		// ByCompletion selects servers by expected completion in pools whose servers
		// state how long work takes there at present.
		ByCompletion bool
		// CoversRepeats reports whether the retry budget covers a number of repeats of
		// requests to a pool. If nil, it does.
		CoversRepeats func(pool string, isCall bool, n float64) bool

		mu      sync.Mutex
		records map[string]*serverRecord // by server id
		leaving map[netip.Addr]time.Time
		homes   map[string]*homeDemand // by pool
		// evacuatedUntil holds the data centres whose nodes have refused a request because
		// they are evacuated, of which this node may not have heard.
		evacuatedUntil map[string]time.Time
		untilExplore   map[string]int                // first tries, by pool
		travel         [distanceLevels]time.Duration // there and back; 0: unknown
		sound          []*lister.Server              // reused by each choice
		candidates     []candidate                   // reused by each choice
		scores         []scorer.Score                // reused by each choice
	}

	// A Request holds the properties of a request on which the choice depends.
	Request struct {
		// Call is true for a call of a backend server, false for a caller's request.
		Call bool
		Rank int // priority; 0 is the most urgent
		// Regions are the only regions whose servers may be selected; nil means any.
		Regions []string
		// Cost is what the expected completion depends on.
		Cost scorer.Request
	}

	// A Choice is a server selected for one attempt.
	Choice struct {
		Server *lister.Server
		picker *Picker
		record *serverRecord
		rank   int
		sentAt time.Time
		// Prediction is set if the server was selected by expected completion.
		Prediction Prediction
	}

	// A Prediction tells why a server was selected.
	Prediction struct {
		scorer.Score
		// Age is the time since the load of the server was reported; negative if it never
		// was.
		Age time.Duration
		// Candidates is the number of servers that were compared; 0 if the server was not
		// selected by expected completion.
		Candidates int
	}

	serverRecord struct {
		inFlight         int // requests of this node in progress at the server
		chosenAt         time.Time
		load             int // running and waiting requests in the last report
		slots            int
		rateUtilisation  float64 // in the last report
		reportedAt       time.Time
		backlog          time.Duration // in the last report
		ratio            float64       // in the last report
		slowdown         float64       // in the last report
		sentLate         int           // requests of this node since the last report
		failureRate      float64       // moving average of failures, 0 to 1
		failureUpdatedAt time.Time
		avoidUntil       time.Time
		fullUntil        time.Time
		roomAt           time.Time // when the server expects room, set with fullUntil
		fullRank         int       // the most urgent rank that was refused for lack of room
	}
)

// Choose selects a server that has not been tried. It returns false if there is no
// eligible server.
func (p *Picker) Choose(servers []*lister.Server, tried map[string]bool, rq Request) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if len(servers) > 0 && len(tried) == 0 {
		p.recordHomes(servers[0].Pool, rq, now)
	}
	byCompletion := p.ByCompletion && p.statesSlowdown(servers, now)
	servers = p.preferSound(servers, tried, rq, now)
	if byCompletion {
		return p.chooseByCompletion(servers, tried, rq, now)
	}
	s := p.leastUtilised(servers, tried, rq, now)
	if s == nil {
		return nil, false
	}
	return p.newChoice(s, rq, now), true
}

// leastUtilised returns the server for a request whose servers are compared by
// utilisation, or nil if none is eligible.
func (p *Picker) leastUtilised(servers []*lister.Server, tried map[string]bool, rq Request, now time.Time) *lister.Server {
	var best [distanceLevels]*lister.Server
	var lowest [distanceLevels]float64
	for d := range lowest {
		lowest[d] = math.Inf(1)
	}
	for _, s := range servers {
		if !p.maySelect(s, tried, rq, now) {
			continue
		}
		d := p.distance(s)
		if u := p.utilisation(s, now); u < lowest[d] {
			best[d], lowest[d] = s, u
		}
	}
	return pick(best, lowest, p.spilloverFor(best[distanceLevels-1], rq, now))
}

func (p *Picker) newChoice(s *lister.Server, rq Request, now time.Time) *Choice {
	r := p.recordFor(s.ID)
	r.inFlight++
	r.sentLate++
	r.chosenAt = now
	return &Choice{Server: s, picker: p, record: r, rank: rq.Rank, sentAt: now}
}

// Describe returns why Choose would select none of the servers: how many there are
// for each reason.
func (p *Picker) Describe(servers []*lister.Server, tried map[string]bool, rq Request) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var parts []string
	counts := make(map[string]int)
	for _, s := range servers {
		reason := p.reasonAgainst(s, tried, rq, now)
		if counts[reason]++; counts[reason] == 1 {
			parts = append(parts, reason)
		}
	}
	slices.Sort(parts)
	for i, reason := range parts {
		parts[i] = fmt.Sprintf("%d %s", counts[reason], reason)
	}
	if len(parts) == 0 {
		return "none listed"
	}
	return fmt.Sprintf("%d listed: %s", len(servers), strings.Join(parts, ", "))
}

// NextRoom returns after what time the first of the servers that Choose skips for a time
// may be selected again. It returns false if there is no such server.
func (p *Picker) NextRoom(servers []*lister.Server, rq Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var first time.Duration
	found := false
	for _, s := range servers {
		r := p.records[s.ID]
		if r == nil || s.State != lister.Ready || !p.mayRunAt(s, rq, now) || p.IsLeaving != nil && p.IsLeaving(s) {
			continue
		}
		until := r.avoidUntil
		if r.hasNoRoom(rq, now) {
			until = latest(until, r.fullUntil, r.roomAt)
		}
		if wait := until.Sub(now); wait > 0 && (!found || wait < first) {
			first, found = wait, true
		}
	}
	return first, found
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

func (p *Picker) reasonAgainst(s *lister.Server, tried map[string]bool, rq Request, now time.Time) string {
	r := p.records[s.ID]
	switch {
	case !rq.mayRunIn(s.Region):
		return "outside the home regions"
	case s.State != lister.Ready:
		return "leaving"
	case p.isEvacuated(s.DataCentre, now):
		return "in an evacuated data centre"
	case tried[s.ID]:
		return "tried"
	case r != nil && now.Before(r.avoidUntil):
		return "could not be reached"
	case r != nil && r.hasNoRoom(rq, now):
		return "without room"
	case !p.isEligible(s, rq, now):
		return "announced as leaving or on a silent node"
	}
	return usable
}

// pick selects among the least utilised servers of each distance.
func pick(best [distanceLevels]*lister.Server, utilisation [distanceLevels]float64, limits spillover) *lister.Server {
	local, d := best[0], 0
	if local == nil || utilisation[0] > dataCentreSpillover && best[1] != nil && utilisation[1] < utilisation[0]-regionMargin {
		local, d = best[1], 1
	}
	if local == nil {
		return best[2]
	}
	if utilisation[d] > limits.local && best[2] != nil && utilisation[2] < limits.other {
		return best[2]
	}
	return local
}

// FailureRate returns the fraction of recent requests that the server failed or
// rejected.
func (ch *Choice) FailureRate() float64 {
	ch.picker.mu.Lock()
	defer ch.picker.mu.Unlock()
	return ch.record.recentFailureRate(time.Now())
}

// Done records the result of the attempt. It must be called exactly once.
func (ch *Choice) Done(r Report) {
	p := ch.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	rec := ch.record
	rec.inFlight--
	if r.Slots > 0 {
		rec.load, rec.slots, rec.reportedAt = r.Running+r.Waiting, r.Slots, now
		rec.rateUtilisation = r.RateUtilisation
		rec.backlog, rec.ratio, rec.slowdown = r.Backlog, r.Ratio, r.Slowdown
		rec.sentLate = 0
	}
	if r.ServiceTime > 0 {
		p.learnTravel(p.distance(ch.Server), now.Sub(ch.sentAt)-r.ServiceTime)
	}
	switch r.Result {
	case Served:
		rec.updateFailureRate(0, now)
	case Shed, Failed:
		rec.updateFailureRate(1, now)
	case Full:
		if ch.rank <= rec.fullRank || !now.Before(rec.fullUntil) {
			rec.fullRank = ch.rank
		}
		rec.fullUntil = now.Add(jitter(max(fullBackoff, min(maxFullBackoff, r.RetryAfter))))
		rec.roomAt = now.Add(r.RoomAfter)
	case Unreachable:
		rec.avoidUntil = now.Add(jitter(unreachableBackoff))
	case Leaving:
		rec.avoidUntil = now.Add(leavingTTL)
	case Evacuated:
		if p.evacuatedUntil == nil {
			p.evacuatedUntil = make(map[string]time.Time)
		}
		p.evacuatedUntil[ch.Server.DataCentre] = now.Add(jitter(evacuatedBackoff))
	}
}

// IsEachEvacuated reports whether no server can be selected for a request just because
// all that could run it are in evacuated data centres.
func (p *Picker) IsEachEvacuated(servers []*lister.Server, rq Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	found := false
	for _, s := range servers {
		if s.State != lister.Ready || !rq.mayRunIn(s.Region) {
			continue
		}
		if !p.isEvacuated(s.DataCentre, now) {
			return false
		}
		found = true
	}
	return found
}

func (p *Picker) isEvacuated(dataCentre string, now time.Time) bool {
	if p.IsEvacuated != nil && p.IsEvacuated(dataCentre) {
		return true
	}
	until, ok := p.evacuatedUntil[dataCentre]
	return ok && now.Before(until)
}

// MarkLeaving marks the server of a node as leaving for leavingTTL.
func (p *Picker) MarkLeaving(node netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving == nil {
		p.leaving = make(map[netip.Addr]time.Time)
	}
	p.leaving[node] = time.Now().Add(leavingTTL)
}

// Readmit ends the time for which a server is skipped because it could not be reached: it
// has since been found to answer.
func (p *Picker) Readmit(s *lister.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.records[s.ID]; r != nil {
		r.avoidUntil = time.Time{}
	}
}

// Prune drops the records of servers that are not on the list and have no
// requests in progress.
func (p *Picker) Prune(list *lister.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneHomes(time.Now())
	maps.DeleteFunc(p.untilExplore, func(pool string, _ int) bool { return len(list.Pool(pool)) == 0 })
	for id, r := range p.records {
		if _, ok := list.Server(id); !ok && r.inFlight == 0 {
			delete(p.records, id)
		}
	}
}

// mayRunAt reports whether a request may be served in a server's region and data centre.
func (p *Picker) mayRunAt(s *lister.Server, rq Request, now time.Time) bool {
	return rq.mayRunIn(s.Region) && !p.isEvacuated(s.DataCentre, now)
}

func (rq *Request) mayRunIn(region string) bool {
	return rq.Regions == nil || slices.Contains(rq.Regions, region)
}

// maySelect reports whether a server is listed as ready, has not been tried and is
// eligible.
func (p *Picker) maySelect(s *lister.Server, tried map[string]bool, rq Request, now time.Time) bool {
	return s.State == lister.Ready && !tried[s.ID] && p.isEligible(s, rq, now)
}

// isEligible reports whether a server is in a region and a data centre where the request
// may run, and neither skipped after an earlier result, nor announced as leaving, nor on
// a silent node.
func (p *Picker) isEligible(s *lister.Server, rq Request, now time.Time) bool {
	if !p.mayRunAt(s, rq, now) {
		return false
	}
	if r := p.records[s.ID]; r != nil && (now.Before(r.avoidUntil) || r.hasNoRoom(rq, now)) {
		return false
	}
	if until, ok := p.leaving[s.Address.Addr()]; ok {
		if now.Before(until) {
			return false
		}
		delete(p.leaving, s.Address.Addr())
	}
	if p.IsLeaving != nil && p.IsLeaving(s) {
		return false
	}
	return p.Silence == nil || p.Silence(s.Address.Addr()) < maxSilence
}

// hasNoRoom reports whether a request of the same or of a more urgent rank has just
// been refused for lack of room. More urgent requests may still be admitted, since
// they precede the others in the server's queue.
func (r *serverRecord) hasNoRoom(rq Request, now time.Time) bool {
	return !rq.Call && rq.Rank >= r.fullRank && now.Before(r.fullUntil)
}

// distance returns 0 for the local data centre, 1 for the local region and 2 for
// other regions.
func (p *Picker) distance(s *lister.Server) int {
	switch {
	case s.DataCentre == p.DataCentre:
		return 0
	case s.Region == p.Region:
		return 1
	}
	return distanceLevels - 1
}

// utilisation estimates the load of a server relative to its slots, plus
// penalties. The load is the reported one, decaying with age, but at least the
// number of requests that this node has in progress there.
func (p *Picker) utilisation(s *lister.Server, now time.Time) float64 {
	r := p.records[s.ID]
	if r == nil {
		r = &serverRecord{}
	}
	slots := usableSlots(s, r, now)
	age := decayer.Factor(now.Sub(r.reportedAt), reportHalfLife)
	utilisation := max(float64(r.load)*age/slots, float64(r.inFlight)/slots, r.rateUtilisation*age)
	if p.hasColdRate(s) {
		utilisation = coldUtilisation + (1-coldUtilisation)*utilisation
	}
	utilisation += failurePenalty * r.recentFailureRate(now)
	if now.Before(r.fullUntil) {
		utilisation += fullPenalty
	}
	return utilisation
}

// hasColdRate reports whether a server is cold and limits its rate.
func (p *Picker) hasColdRate(s *lister.Server) bool { return p.ColdRate != nil && p.ColdRate(s) > 0 }

// usableSlots returns how many requests a server can run at once, as it was last
// reported or else as it is listed.
func usableSlots(s *lister.Server, r *serverRecord, now time.Time) float64 {
	slots := float64(r.slots)
	if slots == 0 {
		slots = float64(s.Slots)
	}
	if slots == 0 {
		slots = defaultSlots
	}
	if now.Before(s.ColdUntil) {
		slots *= coldSlotFraction
	}
	return slots
}

func (p *Picker) recordFor(id string) *serverRecord {
	if p.records == nil {
		p.records = make(map[string]*serverRecord)
	}
	r := p.records[id]
	if r == nil {
		r = &serverRecord{}
		p.records[id] = r
	}
	return r
}

// recentFailureRate returns the failure rate, which decays as outcomes age.
func (r *serverRecord) recentFailureRate(now time.Time) float64 {
	return r.failureRate * decayer.Factor(now.Sub(r.failureUpdatedAt), failureHalfLife)
}

// updateFailureRate adds an outcome to the moving average: 1 for a failure, 0 for
// a success.
func (r *serverRecord) updateFailureRate(sample float64, now time.Time) {
	mean := r.recentFailureRate(now)
	r.failureRate = mean + (sample-mean)*failureSmoothing
	r.failureUpdatedAt = now
}

// jitter returns a random duration between d/2 and 3d/2, so that the nodes of a
// fleet do not return to a server at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
