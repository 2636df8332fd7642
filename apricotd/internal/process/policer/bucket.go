package policer

import (
	"math"
	"net/netip"
	"time"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/process/decayer"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// demandHalfLife is the half-life of the decaying demand estimate.
	demandHalfLife = 2 * time.Second
	// reportTTL is how long a demand report from another region stays valid.
	reportTTL = 4 * time.Second
	// overshootDepthFraction is the fraction of the tolerated overrun that is
	// added to the depth of the buckets. The part of the overrun that neither this
	// nor overshootRefillFraction uses covers excess admissions while nodes
	// disagree on demand or bucket owners.
	overshootDepthFraction = 0.3
	// equalSplitFraction is the fraction of the rate that is divided among the
	// regions by number of nodes instead of demand, so that the first requests of
	// a region are admitted.
	equalSplitFraction = 0.1
	// initialFillFraction is the fraction of its depth with which a bucket
	// starts. A full bucket would grant the burst again after each restart.
	initialFillFraction = 0.2
	// minDepth lets a bucket with a small share admit single requests.
	minDepth = 1.0
	// settleTime is how long a new bucket uses the region's fraction of the nodes
	// as its share, until the regions have exchanged reports on the organisation.
	settleTime = 1500 * time.Millisecond
	// minReportedDemand is the lowest demand that is reported, in requests per
	// second.
	minReportedDemand = 0.05
	// refusedHalfLife is the half-life of the count of refused requests.
	refusedHalfLife = 500 * time.Millisecond
)

type (
	bucket struct {
		tokens           float64
		refilledAt       time.Time
		demand           float64 // requests per second at demandUpdatedAt
		demandUpdatedAt  time.Time
		reportedDemand   float64 // demand as last reported to other regions
		createdAt        time.Time
		refused          float64 // decaying count of refused requests
		refusedUpdatedAt time.Time
	}

	// A demandReport is the demand for an organisation that one bucket owner of
	// another region reported. A region has several owners of one bucket while
	// its nodes disagree on which nodes are reachable.
	demandReport struct {
		receivedAt time.Time
		demand     float64
	}

	regionOrganisation struct{ region, organisation string }
)

// refill adds the tokens accrued since the last refill, up to depth.
func (b *bucket) refill(rate, depth float64, now time.Time) {
	depth = max(minDepth, depth)
	if b.refilledAt.IsZero() {
		b.tokens = depth * initialFillFraction
	} else {
		b.tokens += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.tokens = min(b.tokens, depth)
	b.refilledAt = now
}

// take removes up to wanted tokens and returns how many.
func (b *bucket) take(wanted uint32) uint32 {
	n := min(wanted, converter.Count(b.tokens))
	b.tokens -= float64(n)
	return n
}

// retryAfter counts n refused requests and returns the time after which tokens
// for them are available, allowing for requests refused earlier.
func (b *bucket) retryAfter(rate float64, n uint32, now time.Time) time.Duration {
	b.refused = b.refused*decayer.Factor(now.Sub(b.refusedUpdatedAt), refusedHalfLife) + float64(n)
	b.refusedUpdatedAt = now
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, converter.Seconds((b.refused-b.tokens)/rate))
}

// recordDemand adds n requests to the estimate, which converges to the request
// rate if that is steady.
func (b *bucket) recordDemand(n float64, now time.Time) {
	b.demand = b.demandAt(now) + n*math.Ln2/demandHalfLife.Seconds()
	b.demandUpdatedAt = now
}

func (b *bucket) demandAt(now time.Time) float64 {
	return b.demand * decayer.Factor(now.Sub(b.demandUpdatedAt), demandHalfLife)
}

// bucketFor returns the organisation's bucket and creates it if needed. p.mu
// must be held.
func (p *Policer) bucketFor(name string) *bucket {
	if p.buckets == nil {
		p.buckets = make(map[string]*bucket)
	}
	b := p.buckets[name]
	if b == nil {
		b = &bucket{createdAt: time.Now()}
		p.buckets[name] = b
	}
	return b
}

// Shares returns the local region's share of the rate of each organisation whose
// bucket this node owns.
func (p *Policer) Shares() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make(map[string]float64, len(p.buckets))
	for name, b := range p.buckets {
		if b.demandAt(now) >= minReportedDemand {
			out[name] = p.share(name, b, now)
		}
	}
	return out
}

// share returns the local region's share of an organisation's rate, 0 to 1. It
// uses the local demand as last reported to the other regions, so that the
// shares of all regions do not add up to more than one while demand rises. A
// region without a valid report keeps its fraction of the nodes.
func (p *Policer) share(name string, b *bucket, now time.Time) float64 {
	list := p.List()
	if list == nil || list.VMCount() == 0 {
		return 1
	}
	localFraction := p.nodeFraction(list, p.Region)
	if b.demandUpdatedAt.IsZero() || now.Sub(b.createdAt) < settleTime {
		return localFraction
	}
	reportingFraction, totalDemand := localFraction, b.reportedDemand
	for _, region := range list.Regions() {
		if demand, ok := p.remoteDemand(region, name, now); ok && region != p.Region {
			totalDemand += demand
			reportingFraction += p.nodeFraction(list, region)
		}
	}
	if totalDemand <= 0 || reportingFraction <= localFraction {
		return localFraction
	}
	return equalSplitFraction*localFraction + (1-equalSplitFraction)*min(1, reportingFraction)*b.reportedDemand/totalDemand
}

// remoteDemand returns the sum of the valid reports from a region's bucket
// owners and drops expired ones.
func (p *Policer) remoteDemand(region, organisation string, now time.Time) (demand float64, ok bool) {
	reports := p.remoteReports[regionOrganisation{region, organisation}]
	for owner, report := range reports {
		if now.Sub(report.receivedAt) >= reportTTL {
			delete(reports, owner)
			continue
		}
		demand += report.demand
	}
	return demand, len(reports) > 0
}

// nodeFraction returns the fraction of all nodes that are in a region.
func (p *Policer) nodeFraction(list *lister.List, region string) float64 {
	return float64(list.VMCountIn(region)) / float64(list.VMCount())
}

// ReceiveUsage records the demand that a bucket owner of another region reports.
// It returns a reply with the local region's demand for the same organisations, as
// far as this node owns their buckets. It returns nil if it owns none of them or u
// is itself a reply.
func (p *Policer) ReceiveUsage(owner netip.Addr, u *linkwire.Usage) *linkwire.Usage {
	now := time.Now()
	p.mu.Lock()
	if p.remoteReports == nil {
		p.remoteReports = make(map[regionOrganisation]map[netip.Addr]demandReport)
	}
	for _, d := range u.Demands {
		key := regionOrganisation{u.Region, d.Organisation}
		if p.remoteReports[key] == nil {
			p.remoteReports[key] = make(map[netip.Addr]demandReport)
		}
		p.remoteReports[key][owner] = demandReport{receivedAt: now, demand: float64(d.Rate)}
	}
	p.mu.Unlock()
	if u.Reply {
		return nil
	}
	reply := &linkwire.Usage{Region: p.Region, Reply: true}
	for _, d := range u.Demands {
		if local, ok := p.owner(d.Organisation); ok && local == p.Self {
			reply.Demands = append(reply.Demands, &linkwire.Demand{Organisation: d.Organisation, Rate: float32(p.reportDemand(d.Organisation, now))})
		}
	}
	if len(reply.Demands) == 0 {
		return nil
	}
	return reply
}

// reportDemand returns the demand of a bucket and records it as reported.
func (p *Policer) reportDemand(name string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[name]
	if b == nil {
		return 0
	}
	b.reportedDemand = b.demandAt(now)
	return b.reportedDemand
}
