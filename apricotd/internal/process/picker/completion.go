package picker

import (
	"math/rand/v2"
	"time"

	"apricotrudder.dev/apricotd/internal/cost/scorer"
	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// slowdownTTL is how long a pool counts as one whose servers state their slowdown
	// after the last such report.
	slowdownTTL = 10 * time.Second
	// travelGrowth is by how much the least measured travel time grows with each
	// measurement, so that it follows a path that has become longer.
	travelGrowth = 1.01
	maxTravel    = time.Second
	// exploreAfter is how long a server is not used before a request may be sent there to
	// find out whether it is fast again. A fleet of n nodes sends at most n in this time.
	exploreAfter = 10 * time.Second
)

type candidate struct {
	server *lister.Server
	view   scorer.View
}

// statesSlowdown reports whether a server of the list has lately stated how long work
// takes there.
func (p *Picker) statesSlowdown(servers []*lister.Server, now time.Time) bool {
	for _, s := range servers {
		if r := p.records[s.ID]; r != nil && r.slowdown > 0 && now.Sub(r.reportedAt) < slowdownTTL {
			return true
		}
	}
	return false
}

func (p *Picker) chooseByCompletion(servers []*lister.Server, tried map[string]bool, rq Request, now time.Time) (*Choice, bool) {
	p.evaluate(servers, tried, rq, now)
	if len(p.scores) == 0 {
		return nil, false
	}
	explore := len(tried) == 0 && p.mayExplore(servers[0].Pool)
	i := -1
	if explore {
		i = p.longestUnused(now)
	}
	if i < 0 {
		i = scorer.Draw(p.scores, rand.Float64(), explore)
	}
	choice := p.newChoice(p.candidates[i].server, rq, now)
	choice.Prediction = Prediction{Score: p.scores[i], Age: p.candidates[i].view.Age, Candidates: len(p.scores)}
	return choice, true
}

// mayExplore counts a first try in a pool, and returns true for one in scorer.ExploreEvery.
func (p *Picker) mayExplore(pool string) bool {
	n, ok := p.untilExplore[pool]
	if !ok {
		if p.untilExplore == nil {
			p.untilExplore = make(map[string]int)
		}
		// The nodes of a fleet don't explore at the same time.
		n = rand.IntN(scorer.ExploreEvery)
	}
	if n == 0 {
		p.untilExplore[pool] = scorer.ExploreEvery - 1
		return true
	}
	p.untilExplore[pool] = n - 1
	return false
}

// longestUnused returns the index of the candidate, at the distance of the best one, that
// this node has not used for the longest time, or -1 if it has used all within
// exploreAfter. Cold servers don't count: they get their rate when warm ones have no room.
func (p *Picker) longestUnused(now time.Time) int {
	best := scorer.Best(p.scores)
	if best < 0 {
		return -1
	}
	distance := p.scores[best].Distance
	longest, since := -1, now.Add(-exploreAfter)
	for i, c := range p.candidates {
		if p.scores[i].Distance != distance || p.isCold(c.server, now) {
			continue
		}
		var at time.Time
		if r := p.records[c.server.ID]; r != nil {
			at = r.chosenAt
		}
		if !at.After(since) {
			longest, since = i, at
		}
	}
	return longest
}

func (p *Picker) isCold(s *lister.Server, now time.Time) bool {
	return now.Before(s.ColdUntil) || p.hasColdRate(s)
}

// evaluate sets p.candidates to the eligible servers and p.scores to their predictions.
func (p *Picker) evaluate(servers []*lister.Server, tried map[string]bool, rq Request, now time.Time) {
	p.candidates, p.scores = p.candidates[:0], p.scores[:0]
	pool := scorer.Pool{}
	for _, s := range servers {
		if !p.maySelect(s, tried, rq, now) {
			continue
		}
		p.candidates = append(p.candidates, candidate{s, p.view(s, now)})
		pool.Add(&p.candidates[len(p.candidates)-1].view)
	}
	for i := range p.candidates {
		p.scores = append(p.scores, scorer.Evaluate(&p.candidates[i].view, rq.Cost, &pool))
	}
}

// view returns what this node knows of a server.
func (p *Picker) view(s *lister.Server, now time.Time) scorer.View {
	r := p.records[s.ID]
	if r == nil {
		r = &serverRecord{}
	}
	slots := usableSlots(s, r, now)
	d := p.distance(s)
	v := scorer.View{
		Occupied:    float64(r.load),
		Slots:       slots,
		SentLate:    float64(r.sentLate),
		InFlight:    float64(r.inFlight),
		Age:         -1,
		Backlog:     r.backlog,
		Ratio:       r.ratio,
		Slowdown:    r.slowdown,
		FailureRate: r.recentFailureRate(now),
		Distance:    d,
		Travel:      p.travel[d],
	}
	if !r.reportedAt.IsZero() {
		v.Age = now.Sub(r.reportedAt) + p.travel[d]/2
	}
	if r.rateUtilisation > 0 {
		v.Occupied = max(v.Occupied, r.rateUtilisation*slots)
	}
	if p.hasColdRate(s) {
		v.Occupied = max(v.Occupied, coldUtilisation*slots)
	}
	if now.Before(r.fullUntil) {
		v.Occupied = max(v.Occupied, slots*(1+fullPenalty))
	}
	return v
}

// learnTravel records the part of an exchange in which the request occupied no slot. The
// least of these is the travel time.
func (p *Picker) learnTravel(distance int, rest time.Duration) {
	rest = max(0, min(maxTravel, rest))
	grown := time.Duration(float64(p.travel[distance])*travelGrowth) + time.Microsecond
	if p.travel[distance] == 0 {
		grown = maxTravel
	}
	p.travel[distance] = min(rest, grown)
}
