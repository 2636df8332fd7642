package rationer

import (
	"math"
	"net/netip"
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// demandHalfLife is how fast past demand is forgotten.
	demandHalfLife = 2 * time.Second
	// heardFor is how long a region's word counts.
	heardFor = 4 * time.Second
	// tolerated is the part of the agreed overrun that goes into the depth of
	// the buckets. What is left beside spareRate covers what is admitted while
	// regions or keepers differ.
	tolerated = 0.3
	// evenPart of each share goes by the number of nodes, not by demand, so
	// that a region's first requests find some rate.
	evenPart = 0.1
	// startFill is the part of its depth with which a bucket begins. A full
	// one would grant the burst again after each restart.
	startFill = 0.2
	// minDepth lets a bucket with a small share pass single requests.
	minDepth = 1.0
	// settleTime is how long a new bucket keeps to the region's equal part, until
	// the regions have told each other of the organisation.
	settleTime = 1500 * time.Millisecond
	// minDemand is the least demand that is worth telling, in requests per
	// second.
	minDemand = 0.05
	// waitHalfLife is how fast the callers that were asked to wait are
	// forgotten.
	waitHalfLife = 500 * time.Millisecond
)

type (
	bucket struct {
		tokens  float64
		filled  time.Time
		demand  float64 // requests per second, decaying
		asked   time.Time
		told    float64 // demand as the other regions were last told
		begun   time.Time
		refused float64 // callers asked to wait, decaying
		waited  time.Time
	}

	// A report is what one keeper of another region is asked of an
	// organisation's rate. A region has several keepers while its nodes differ
	// on who can be reached.
	report struct {
		at     time.Time
		demand float64
	}

	// regionOrganisation is what a report is about.
	regionOrganisation struct{ region, organisation string }
)

func (b *bucket) fill(rate, depth float64, now time.Time) {
	depth = max(minDepth, depth)
	if b.filled.IsZero() {
		b.tokens = depth * startFill
	} else {
		b.tokens += rate * now.Sub(b.filled).Seconds()
	}
	b.tokens = min(b.tokens, depth)
	b.filled = now
}

func (b *bucket) take(wanted uint32) uint32 {
	n := min(wanted, uint32(max(0, b.tokens)))
	b.tokens -= float64(n)
	return n
}

// wait is when the tokens for those who are refused will have come, counting
// those that were asked to wait before.
func (b *bucket) wait(rate float64, n uint32, now time.Time) time.Duration {
	b.refused = b.refused*decayer.Left(now.Sub(b.waited), waitHalfLife) + float64(n)
	b.waited = now
	if rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration((b.refused-b.tokens)/rate*float64(time.Second)))
}

// ask counts requests. A steady rate of requests settles at that rate.
func (b *bucket) ask(n float64, now time.Time) {
	b.demand = b.demandAt(now) + n*math.Ln2/demandHalfLife.Seconds()
	b.asked = now
}

func (b *bucket) demandAt(now time.Time) float64 {
	return b.demand * decayer.Left(now.Sub(b.asked), demandHalfLife)
}

func (r *Rationer) bucket(name string) *bucket {
	if r.buckets == nil {
		r.buckets = make(map[string]*bucket)
	}
	b := r.buckets[name]
	if b == nil {
		b = &bucket{begun: time.Now()}
		r.buckets[name] = b
	}
	return b
}

// Shares returns the own region's part of the rate of each organisation whose
// bucket this node keeps.
func (r *Rationer) Shares() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	out := make(map[string]float64, len(r.buckets))
	for name, b := range r.buckets {
		if b.demandAt(now) >= minDemand {
			out[name] = r.share(name, b, now)
		}
	}
	return out
}

// share returns the own region's part of an organisation's rate. Computing
// with what the others were told keeps the shares of all regions from adding
// up to more than one while demand rises. A region that says nothing counts by
// its part of the nodes.
func (r *Rationer) share(name string, b *bucket, now time.Time) float64 {
	list := r.List()
	if list == nil || list.Nodes() == 0 {
		return 1
	}
	own := r.part(list, r.Region)
	if b.asked.IsZero() || now.Sub(b.begun) < settleTime {
		return own
	}
	known, total := own, b.told
	for _, region := range list.Regions() {
		if demand, ok := r.demandOf(region, name, now); ok && region != r.Region {
			total += demand
			known += r.part(list, region)
		}
	}
	if total <= 0 || known <= own {
		return own
	}
	return evenPart*own + (1-evenPart)*min(1, known)*b.told/total
}

// demandOf adds up what the keepers of a region have reported.
func (r *Rationer) demandOf(region, organisation string, now time.Time) (demand float64, ok bool) {
	reports := r.heard[regionOrganisation{region, organisation}]
	for keeper, report := range reports {
		if now.Sub(report.at) >= heardFor {
			delete(reports, keeper)
			continue
		}
		demand += report.demand
	}
	return demand, len(reports) > 0
}

// part returns a region's part of all nodes.
func (r *Rationer) part(list *lister.List, region string) float64 {
	return float64(list.NodesIn(region)) / float64(list.Nodes())
}

// Hear takes another region's demand from one of its keepers. It returns the
// own region's for the same organisations, as far as this node keeps their
// buckets, or nil.
func (r *Rationer) Hear(keeper netip.Addr, u *linkwire.Usage) *linkwire.Usage {
	now := time.Now()
	r.mu.Lock()
	if r.heard == nil {
		r.heard = make(map[regionOrganisation]map[netip.Addr]report)
	}
	for _, d := range u.Demands {
		about := regionOrganisation{u.Region, d.Organisation}
		if r.heard[about] == nil {
			r.heard[about] = make(map[netip.Addr]report)
		}
		r.heard[about][keeper] = report{at: now, demand: float64(d.Rate)}
	}
	r.mu.Unlock()
	if u.Reply {
		return nil
	}
	reply := &linkwire.Usage{Region: r.Region, Reply: true}
	for _, d := range u.Demands {
		if own, ok := r.keeper(d.Organisation); ok && own == r.Self {
			reply.Demands = append(reply.Demands, &linkwire.Demand{Organisation: d.Organisation, Rate: float32(r.tell(d.Organisation, now))})
		}
	}
	if len(reply.Demands) == 0 {
		return nil
	}
	return reply
}

// tell returns the demand of a bucket and notes that others know it now.
func (r *Rationer) tell(name string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[name]
	if b == nil {
		return 0
	}
	b.told = b.demandAt(now)
	return b.told
}
