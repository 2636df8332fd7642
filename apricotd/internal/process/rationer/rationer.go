// Package rationer holds organisations to their rates across the fleet.
//
// In each region one node keeps the bucket of an organisation: the first by
// rendezvous hash among the nodes that can be reached. The other nodes of the
// region borrow a token for each request, and requests that arrive together
// share one exchange. The regions divide the rate by demand, of which their
// keepers tell each other; a region that is not heard counts by the number of
// its nodes. So no request waits for another region.
//
// A node that is asked although another goes before it lends from its own equal
// part while it finds out whether that one lives: a lost packet on one link must
// not give the region a second bucket.
//
// A node that reaches no keeper admits from its equal part of the rate, with
// almost no depth, so that nodes which are cut off cannot overrun the rate
// together.
//
// # Usage
//
//	r := &rationer.Rationer{Self: address, Region: region, List: list, Borrow: borrow, ...}
//	excess := r.Take(ctx, organisation) // nil: admitted
//	grant := r.Lend(organisation, wanted)
//	reply := r.Hear(keeper, usage)
//	for _, n := range r.Notices() { ... } // at intervals
//
// Rates are exceeded, within what is agreed, while demand moves between
// regions and while nodes differ on who keeps a bucket. Memory is one bucket
// for each organisation kept and one small record for each seen.
package rationer

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
	// borrowTimeout bounds one exchange with a keeper; it lies in the region.
	borrowTimeout = 100 * time.Millisecond
	// keeperSilence is the silence of its region from which a node keeps no
	// bucket, since it may be cut off. Nodes are heard several times a second.
	keeperSilence = 1200 * time.Millisecond
	// keepersAsked bounds the keepers that are asked for one request. One that
	// does not answer is passed over by the next question.
	keepersAsked = 2
	// avoidFor is how long a keeper that did not answer is passed over; it
	// doubles with each further time, up to maxAvoid.
	avoidFor = time.Second
	maxAvoid = 8 * time.Second
	// takeOverAfter is how long a keeper whom others passed over may give no
	// sign of life before the next one takes over: two losses of a packet.
	takeOverAfter = 400 * time.Millisecond
	// askInterval separates questions for a sign of life.
	askInterval = 100 * time.Millisecond
	// spareRate is the part of the agreed overshoot by which buckets fill faster
	// than the rate, so that requests within the rate that come unevenly to the
	// regions are not refused.
	spareRate = 0.35
	// fallbackPart of its equal part is what a node admits that reaches no
	// keeper, since the keepers take seconds to notice that it is cut off and
	// grant its part to others until then.
	fallbackPart = 0.5
	// strayPart is the same for a node that hears its region, of whose requests
	// some get no word in time. The keepers do not know of it and grant the whole
	// rate to others, so that the parts of all nodes must fit beside it.
	strayPart = 0.1
	// maxWait bounds the time that a refused caller is asked to wait.
	maxWait = 2 * time.Second
)

type (
	// A Rationer admits the requests of one node and keeps buckets for its
	// region. Its exported fields must be set before use.
	Rationer struct {
		Self   netip.Addr
		Region string
		List   func() *lister.List
		// Organisation returns an organisation of the tables in force.
		Organisation func(name string) (*resolver.Organisation, bool)
		// Borrow asks a keeper for tokens.
		Borrow func(ctx context.Context, keeper netip.Addr, b *linkwire.Borrow) (*linkwire.Grant, error)
		// Heard returns when a node was last heard on any matter.
		Heard func(netip.Addr) time.Time
		// IsSilent tells whether a node gives no answer at all.
		IsSilent func(netip.Addr) bool
		// Silence returns for how long no node of the region has been heard.
		Silence func() time.Duration
		// Overshoot and Slack are what the fleet may admit within one Window
		// beyond what the rate and the burst allow: a fraction of that, and
		// requests besides.
		Overshoot float64
		Slack     float64
		Window    time.Duration

		mu        sync.Mutex
		buckets   map[string]*bucket                           // kept for the region
		fallbacks map[string]*bucket                           // of this node alone
		borrowers map[string]*borrower                         // by organisation
		heard     map[regionOrganisation]map[netip.Addr]report // by keeper
		avoided   map[netip.Addr]avoidance
		doubted   map[netip.Addr]doubt
		orders    map[regionOrganisation][]netip.Addr // of keepers, for one list
		ordered   *lister.List
	}

	// An avoidance passes over a keeper.
	avoidance struct {
		since time.Time
		until time.Time
		span  time.Duration
	}

	// A doubt is about a keeper whom others passed over.
	doubt struct {
		since time.Time // not heard since
		asked time.Time // when it was last asked for a sign of life
	}

	// An Excess says why a request is not admitted.
	Excess struct {
		Organisation string
		Rate         float64 // of the organisation, in requests per second
		Keeper       string  // who decided
		// Wait is after what time a request is likely to be admitted.
		Wait time.Duration
	}
)

// Take admits one request of the organisation and returns nil, or says why not.
func (r *Rationer) Take(ctx context.Context, o *resolver.Organisation) *Excess {
	if o.Rate <= 0 {
		return nil
	}
	for range keepersAsked {
		keeper, ok := r.keeper(o.Name)
		if !ok {
			break
		}
		grant := r.ask(ctx, keeper, o.Name)
		switch {
		case grant == nil:
		case grant.Unknown:
			// The keeper has just started and holds no tables yet.
			return r.takeFallback(o)
		default:
			return r.excess(o, keeper.String(), grant)
		}
	}
	return r.takeFallback(o)
}

// ask returns the word of a keeper on one request, or nil if it does not answer.
func (r *Rationer) ask(ctx context.Context, keeper netip.Addr, organisation string) *linkwire.Grant {
	if keeper == r.Self {
		return r.Lend(organisation, 1)
	}
	grant, _ := r.borrower(organisation).take(ctx, keeper)
	return grant
}

func (r *Rationer) excess(o *resolver.Organisation, keeper string, g *linkwire.Grant) *Excess {
	if g.Granted > 0 {
		return nil
	}
	return &Excess{
		Organisation: o.Name,
		Rate:         o.Rate,
		Keeper:       keeper,
		Wait:         time.Duration(g.RetryAfterMs) * time.Millisecond,
	}
}

// Lend takes tokens out of a bucket that this node keeps.
func (r *Rationer) Lend(name string, wanted uint32) *linkwire.Grant {
	o, ok := r.Organisation(name)
	if !ok {
		return &linkwire.Grant{Unknown: true}
	}
	if !r.isKeeper(name) {
		return r.lendOwnPart(o, wanted)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b := r.bucket(name)
	b.ask(float64(wanted), now)
	share := r.share(name, b, now) * r.answering()
	rate := o.Rate * (1 + spareRate*r.Overshoot) * share
	b.fill(rate, r.depth(o)*share, now)
	granted := b.take(wanted)
	g := &linkwire.Grant{Granted: granted}
	if granted < wanted {
		g.RetryAfterMs = uint32(b.wait(rate, wanted-granted, now).Milliseconds())
	}
	return g
}

// depth returns what the buckets of all regions hold together when full: the
// burst, and most of what may be overrun within one window.
func (r *Rationer) depth(o *resolver.Organisation) float64 {
	overrun := r.Overshoot*(o.Rate*r.Window.Seconds()+o.Burst) + r.Slack
	return o.Burst + tolerated*overrun
}

// takeFallback admits from this node's equal part of the rate.
func (r *Rationer) takeFallback(o *resolver.Organisation) *Excess {
	return r.excess(o, "none", r.lendOwnPart(o, 1))
}

// lendOwnPart takes tokens out of this node's equal part of the rate.
func (r *Rationer) lendOwnPart(o *resolver.Organisation, wanted uint32) *linkwire.Grant {
	nodes := 1
	if list := r.List(); list != nil {
		nodes = max(1, list.Nodes())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fallbacks == nil {
		r.fallbacks = make(map[string]*bucket)
	}
	b := r.fallbacks[o.Name]
	if b == nil {
		b = &bucket{}
		r.fallbacks[o.Name] = b
	}
	now := time.Now()
	part := strayPart
	if r.Silence() >= keeperSilence {
		part = fallbackPart
	}
	rate := part * o.Rate / float64(nodes)
	b.fill(rate, rate, now)
	g := &linkwire.Grant{Granted: b.take(wanted)}
	if g.Granted < wanted {
		g.RetryAfterMs = uint32(b.wait(rate, wanted-g.Granted, now).Milliseconds())
	}
	return g
}
