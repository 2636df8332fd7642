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
	// loanTTL is how long a part of the rate that another region lends may be used.
	// It ends before the report that it answers, so that the lender does not use the
	// part again before.
	loanTTL = reportTTL - time.Second
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
	// settleTime is how long a new bucket divides the region's part by the demand that it
	// has seen, until the regions have exchanged reports on the organisation. It uses no
	// loans, and the whole part if no other region has reported demand.
	settleTime = 1500 * time.Millisecond
	// minDemandAge is the age from which the requests that a new bucket has seen give an
	// estimate of the demand.
	minDemandAge = 200 * time.Millisecond
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
		lent       float64 // part of the rate that the owner lends to this node
		lentAt     time.Time
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

// earlyDemandAt returns the demand of a bucket that is too new for the estimate to have
// converged.
func (b *bucket) earlyDemandAt(now time.Time) float64 {
	age := max(minDemandAge, now.Sub(b.createdAt))
	return b.demandAt(now) / (1 - decayer.Factor(age, demandHalfLife))
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

// share returns the local region's share of an organisation's rate, 0 to 1: what it
// keeps of its own part, and what other regions lend it. It uses the local demand as
// last reported to the other regions, so that the shares of all regions do not add up
// to more than one while demand rises. A new owner has reported none, but the owner before
// it has lent by its reports, which the next candidates get as well.
func (p *Policer) share(name string, b *bucket, now time.Time) float64 {
	list := p.List()
	if list == nil || list.VMCount() == 0 {
		return 1
	}
	part := p.localPart(list, now)
	remoteDemand, lent, isReported := p.remoteUsage(name, now)
	demand := b.reportedDemand
	if b.demandUpdatedAt.IsZero() || now.Sub(b.createdAt) < settleTime {
		demand, lent = b.earlyDemandAt(now), 0
	}
	if total := demand + remoteDemand; isReported && total > 0 {
		part *= equalSplitFraction + (1-equalSplitFraction)*demand/total
	}
	return min(1, part+lent)
}

// localPart returns the part of all rates that the local region divides: the fraction
// of the nodes that may admit requests which are in the region and in reach. p.mu must
// be held.
func (p *Policer) localPart(list *lister.List, now time.Time) float64 {
	if list == nil || list.VMCount() == 0 {
		return 1
	}
	reached, total := p.nodesInReach(list, now)
	return reached / total
}

// remoteUsage returns the demand of the other regions and the part of the rate that
// they lend to this node. It drops expired reports. p.mu must be held.
func (p *Policer) remoteUsage(organisation string, now time.Time) (demand, lent float64, isReported bool) {
	for _, reports := range p.remoteReports[organisation] {
		// While a region has several owners, each lends the part of the region.
		fromRegion := -1.0
		for owner, report := range reports {
			if now.Sub(report.receivedAt) >= reportTTL {
				delete(reports, owner)
				continue
			}
			demand += report.demand
			isReported = true
			if now.Sub(report.lentAt) < loanTTL && (fromRegion < 0 || report.lent < fromRegion) {
				fromRegion = report.lent
			}
		}
		lent += max(0, fromRegion)
	}
	return demand, lent, isReported
}

// ReceiveUsage records the demand that a bucket owner of another region reports, and
// what it lends if u is a reply. It returns a reply with the local region's demand for
// the same organisations, as far as this node owns their buckets, and what the region
// lends. It returns nil if it owns none of them or u is itself a reply.
func (p *Policer) ReceiveUsage(owner netip.Addr, u *linkwire.Usage) *linkwire.Usage {
	now := time.Now()
	p.mu.Lock()
	for _, d := range u.Demands {
		p.recordReport(owner, u, d, now)
	}
	p.mu.Unlock()
	if u.Reply {
		return nil
	}
	reply := &linkwire.Usage{Region: p.Region, Reply: true}
	for _, d := range u.Demands {
		if local, ok := p.owner(d.Organisation); ok && local == p.Self {
			reply.Demands = append(reply.Demands, p.answer(d, now))
		}
	}
	if len(reply.Demands) == 0 {
		return nil
	}
	return reply
}

// recordReport records one demand of u. p.mu must be held.
func (p *Policer) recordReport(owner netip.Addr, u *linkwire.Usage, d *linkwire.Demand, now time.Time) {
	if p.remoteReports == nil {
		p.remoteReports = make(map[string]map[string]map[netip.Addr]demandReport)
	}
	byRegion := p.remoteReports[d.Organisation]
	if byRegion == nil {
		byRegion = make(map[string]map[netip.Addr]demandReport)
		p.remoteReports[d.Organisation] = byRegion
	}
	if byRegion[u.Region] == nil {
		byRegion[u.Region] = make(map[netip.Addr]demandReport)
	}
	report := byRegion[u.Region][owner]
	report.receivedAt, report.demand = now, float64(d.Rate)
	if u.Reply {
		report.lent, report.lentAt = float64(d.Lent), now
	}
	byRegion[u.Region][owner] = report
}

// answer returns the demand of a bucket, which it records as reported, and what the
// region lends to the owner that reports d.
func (p *Policer) answer(d *linkwire.Demand, now time.Time) *linkwire.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := &linkwire.Demand{Organisation: d.Organisation}
	if b := p.buckets[d.Organisation]; b != nil {
		b.reportedDemand = b.demandAt(now)
		out.Rate = float32(b.reportedDemand)
	}
	remoteDemand, _, _ := p.remoteUsage(d.Organisation, now)
	if total := float64(out.Rate) + remoteDemand; total > 0 {
		part := p.localPart(p.List(), now)
		out.Lent = float32(part * (1 - equalSplitFraction) * float64(d.Rate) / total)
	}
	return out
}
