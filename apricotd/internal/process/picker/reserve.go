package picker

import (
	"time"

	"apricotrudder.dev/apricotd/internal/process/decayer"
	"apricotrudder.dev/apricotd/version/lister"
)

const (
	// homeHalfLife is the half-life of the counts of requests by home region.
	homeHalfLife = 2 * time.Second
	// minHomeCount is the count below which the requests to a pool are forgotten.
	minHomeCount = 0.01
)

type (
	// homeDemand counts this node's recent requests to one pool.
	homeDemand struct {
		all   decayingCount
		bound map[string]*decayingCount // by region, those that may only be served there
	}

	decayingCount struct {
		n  float64
		at time.Time
	}

	// A spillover holds the utilisation above which a request leaves the local region,
	// and that below which another region takes it.
	spillover struct{ local, other float64 }
)

func (c *decayingCount) value(now time.Time) float64 {
	return c.n * decayer.Factor(now.Sub(c.at), homeHalfLife)
}

func (c *decayingCount) add(now time.Time) { c.n, c.at = c.value(now)+1, now }

// recordHomes counts a request to a pool. It keeps nothing until one is bound to a
// region.
func (p *Picker) recordHomes(pool string, rq Request, now time.Time) {
	d := p.homes[pool]
	if d == nil {
		if len(rq.Regions) != 1 {
			return
		}
		if p.homes == nil {
			p.homes = make(map[string]*homeDemand)
		}
		d = &homeDemand{bound: make(map[string]*decayingCount)}
		p.homes[pool] = d
	}
	d.all.add(now)
	if len(rq.Regions) == 1 {
		region := rq.Regions[0]
		if d.bound[region] == nil {
			d.bound[region] = &decayingCount{}
		}
		d.bound[region].add(now)
	}
}

// spilloverFor returns the limits for a request that could also go to a server of
// another region, which may be nil. A request that is bound to one region has no choice;
// others leave room in each region in proportion to the demand that is bound to it. This
// node's own requests stand for those of all nodes.
func (p *Picker) spilloverFor(other *lister.Server, rq Request, now time.Time) spillover {
	limits := spillover{regionSpillover, crossRegionLimit}
	if other == nil {
		return limits
	}
	d := p.homes[other.Pool]
	if d == nil || len(rq.Regions) == 1 {
		return limits
	}
	limits.local -= p.HomeReserve * d.boundFraction(p.Region, now)
	limits.other -= p.HomeReserve * d.boundFraction(other.Region, now)
	return limits
}

func (d *homeDemand) boundFraction(region string, now time.Time) float64 {
	if d.bound[region] == nil {
		return 0
	}
	return d.bound[region].value(now) / d.all.value(now)
}

// pruneHomes forgets the pools to which this node has long sent nothing.
func (p *Picker) pruneHomes(now time.Time) {
	for pool, d := range p.homes {
		if d.all.value(now) < minHomeCount {
			delete(p.homes, pool)
		}
	}
}
