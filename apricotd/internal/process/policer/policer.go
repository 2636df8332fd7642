// Package policer enforces the request rates of organisations across the fleet.
//
// In each region one node owns the token bucket of an organisation. Rendezvous
// hashing puts the nodes of the region into a candidate order for each
// organisation, and the first reachable node is the owner. The other nodes borrow
// one token per request; requests that arrive while an exchange with the owner is
// in progress share the next one. Each region has a part of the rate in proportion
// to its number of nodes. It divides most of it among the regions in proportion to
// demand, which the bucket owners report to each other, and tells them what it lends
// them. A loan ends unless it is renewed, so regions that have lost each other return
// to their parts, and the parts add up to the rate whoever hears whom. No request
// waits for another region.
//
// The part of nodes whose entries have expired is left unused as long as they may be
// cut off: until they are listed again, refuse connections or have been absent for
// lister.AbsentTTL.
//
// A node that is asked for tokens although other nodes precede it in the
// candidate order grants them from its own fallback bucket while it probes those
// nodes: a lost packet on one link must not give the region a second bucket.
//
// A node that reaches no bucket owner also admits requests from its fallback
// bucket, which refills at a fraction of an equal split of the rate and is
// shallow, so that isolated nodes cannot exceed the rate together.
//
// # Usage
//
//	p := &policer.Policer{Self: address, Region: region, List: list, Borrow: borrow, ...}
//	refusal := p.Admit(ctx, organisation) // nil: admitted
//	grant := p.GrantTokens(organisation, wanted)
//	reply := p.ReceiveUsage(owner, usage)
//	for _, report := range p.UsageReports() { ... } // at intervals
//	p.ProbePeers()                                  // at intervals
//
// Rates may be exceeded, within the configured overshoot, while demand shifts
// between regions and while nodes disagree on the owner of a bucket. Memory use
// is one bucket per owned organisation and one small record per organisation
// seen.
package policer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
	"apricotrudder.dev/wire/linkwire"
)

const (
	// borrowTimeout bounds one exchange with a bucket owner, which is in the same
	// region.
	borrowTimeout = 100 * time.Millisecond
	// isolationTimeout is how long a node may hear no other node of its region
	// before it stops owning buckets, since it may be isolated. Nodes normally
	// hear each other several times per second.
	isolationTimeout = 1200 * time.Millisecond
	// maxOwnersTried bounds the owners that are asked for one request. An owner
	// that does not answer is backed off, so the next attempt goes to another.
	maxOwnersTried = 2
	// minBackoff and maxBackoff bound how long an owner that did not answer is
	// excluded from selection. The time doubles with each further failure.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// takeoverTimeout is how long a probed owner may stay silent before the next
	// candidate takes over. It allows for two losses of one packet.
	takeoverTimeout = 400 * time.Millisecond
	// ownerProbeInterval is the minimum time between probes of one owner.
	ownerProbeInterval = 100 * time.Millisecond
	// overshootRefillFraction is the fraction of the configured overshoot by
	// which buckets refill faster than the rate, so that requests within the rate
	// are not refused when they are spread unevenly over the regions.
	overshootRefillFraction = 0.35
	// isolatedFallbackFraction is the fraction of its equal split of the rate
	// that an isolated node admits. It is below one because owners take seconds
	// to notice the isolation and until then grant the node's part to others.
	isolatedFallbackFraction = 0.5
	// connectedFallbackFraction is the same for a node that hears its region but
	// gets some answers too late. Owners do not notice this and grant the whole
	// rate to others, so the fallback admissions of all nodes come on top of it.
	connectedFallbackFraction = 0.1
	// maxRetryAfter bounds the retry time returned to a refused caller.
	maxRetryAfter = 2 * time.Second
)

type (
	// A Policer admits the requests of one node and owns buckets for its region.
	// Its exported fields must be set before use.
	Policer struct {
		Self   netip.Addr
		Region string
		List   func() *lister.List
		// Organisation looks up an organisation in the tables in force.
		Organisation func(name string) (*resolver.Organisation, bool)
		// Borrow requests tokens from a bucket owner.
		Borrow func(ctx context.Context, owner netip.Addr, b *linkwire.Borrow) (*linkwire.Grant, error)
		// LastHeard returns when a frame last arrived from a node.
		LastHeard func(netip.Addr) time.Time
		// IsUnreachable reports whether a node is known to be unreachable.
		IsUnreachable func(netip.Addr) bool
		// IsDown reports whether a node refuses connections.
		IsDown func(netip.Addr) bool
		// Probe asks a node for any frame. It must not block.
		Probe func(netip.Addr)
		// RegionSilence returns the time since a frame last arrived from any other
		// node of the region.
		RegionSilence func() time.Duration
		// Within one Window, the fleet may admit at most
		// (1+Overshoot)*(Rate*Window+Burst) + Slack requests of an organisation.
		Overshoot float64
		Slack     float64
		Window    time.Duration

		mu              sync.Mutex
		buckets         map[string]*bucket                                // owned for the region
		fallbackBuckets map[string]*bucket                                // for this node's own use
		borrowers       map[string]*borrower                              // by organisation
		remoteReports   map[string]map[string]map[netip.Addr]demandReport // by organisation, region and reporting owner
		backoffs        map[netip.Addr]ownerBackoff
		probes          map[netip.Addr]ownerProbe
		orders          map[regionOrganisation][]netip.Addr // candidate orders for ordersList
		ordersList      *lister.List
		refusedAt       time.Time                // when this node last refused tokens of a bucket that it owns
		unanswered      map[netip.Addr]time.Time // since when a node has left probes unanswered
		left            map[netip.Addr]bool      // by absent VM that was heard since its entry was removed
		reach           reachEstimate
	}

	// An ownerBackoff excludes a node from owner selection for a time.
	ownerBackoff struct {
		since    time.Time
		until    time.Time
		duration time.Duration
	}

	// An ownerProbe tracks whether a node that precedes this one in a candidate
	// order responds.
	ownerProbe struct {
		silentSince time.Time // start of the current silence
		sentAt      time.Time // when the last probe was sent
	}

	// A Refusal describes a refused request.
	Refusal struct {
		Organisation string
		Rate         float64 // of the organisation, in requests per second
		Owner        string  // address of the node that refused; "none" for the fallback bucket
		// RetryAfter is the time after which a retry is likely to be admitted.
		RetryAfter time.Duration
	}
)

// Admit decides on one request of the organisation. It returns nil if the request
// is admitted, else a description of the refusal.
func (p *Policer) Admit(ctx context.Context, o *resolver.Organisation) *Refusal {
	if o.Rate <= 0 {
		return nil
	}
	for range maxOwnersTried {
		owner, ok := p.owner(o.Name)
		if !ok {
			break
		}
		grant := p.requestToken(ctx, owner, o.Name)
		switch {
		case grant == nil: // no answer: try the next owner
		case grant.Unknown:
			// The owner has just started and holds no tables yet.
			return p.admitFallback(o)
		default:
			return p.refusal(o, owner.String(), grant)
		}
	}
	return p.admitFallback(o)
}

// requestToken requests one token from a bucket owner. It returns nil if the owner
// does not answer.
func (p *Policer) requestToken(ctx context.Context, owner netip.Addr, organisation string) *linkwire.Grant {
	if owner == p.Self {
		return p.GrantTokens(organisation, 1)
	}
	grant, _ := p.borrowerFor(organisation).borrow(ctx, owner)
	return grant
}

// refusal returns nil if g grants a token, otherwise why the request is refused.
func (p *Policer) refusal(o *resolver.Organisation, owner string, g *linkwire.Grant) *Refusal {
	if g.Granted > 0 {
		return nil
	}
	return &Refusal{
		Organisation: o.Name,
		Rate:         o.Rate,
		Owner:        owner,
		RetryAfter:   time.Duration(g.RetryAfterMs) * time.Millisecond,
	}
}

// GrantTokens grants tokens from the organisation's bucket if this node owns it,
// else from the fallback bucket.
func (p *Policer) GrantTokens(name string, wanted uint32) *linkwire.Grant {
	o, ok := p.Organisation(name)
	if !ok {
		return &linkwire.Grant{Unknown: true}
	}
	if !p.ownsBucket(name) {
		return p.grantFallback(o, wanted)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	b := p.bucketFor(name)
	b.recordDemand(float64(wanted), now)
	share := p.share(name, b, now)
	rate := o.Rate * (1 + overshootRefillFraction*p.Overshoot) * share
	b.refill(rate, p.depth(o)*share, now)
	granted := b.take(wanted)
	g := &linkwire.Grant{Granted: granted}
	if granted < wanted {
		p.refusedAt = now
		g.RetryAfterMs = uint32(b.retryAfter(rate, wanted-granted, now).Milliseconds())
	}
	return g
}

// depth returns the total depth of the buckets of all regions: the burst plus a
// fraction of the overrun that is tolerated within one window.
func (p *Policer) depth(o *resolver.Organisation) float64 {
	overrun := p.Overshoot*(o.Rate*p.Window.Seconds()+o.Burst) + p.Slack
	return o.Burst + overshootDepthFraction*overrun
}

// admitFallback admits one request from this node's fallback bucket.
func (p *Policer) admitFallback(o *resolver.Organisation) *Refusal {
	return p.refusal(o, "none", p.grantFallback(o, 1))
}

// grantFallback grants tokens from this node's fallback bucket, which refills at
// a fraction of an equal split of the rate over all nodes.
func (p *Policer) grantFallback(o *resolver.Organisation, wanted uint32) *linkwire.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, nodes := time.Now(), 1.0
	if list := p.List(); list != nil {
		_, total := p.nodesInReach(list, now)
		nodes = max(1, total)
	}
	if p.fallbackBuckets == nil {
		p.fallbackBuckets = make(map[string]*bucket)
	}
	b := p.fallbackBuckets[o.Name]
	if b == nil {
		b = &bucket{}
		p.fallbackBuckets[o.Name] = b
	}
	fraction := connectedFallbackFraction
	if p.RegionSilence() >= isolationTimeout {
		fraction = isolatedFallbackFraction
	}
	rate := fraction * o.Rate / nodes
	b.refill(rate, rate, now)
	g := &linkwire.Grant{Granted: b.take(wanted)}
	if g.Granted < wanted {
		g.RetryAfterMs = uint32(b.retryAfter(rate, wanted-g.Granted, now).Milliseconds())
	}
	return g
}
