package proxier

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/cost/appraiser"
	"apricotrudder.dev/apricotd/observer"
	"apricotrudder.dev/apricotd/version/resolver"
)

// Errors of Where.
var (
	ErrStarting = errors.New("the node has no tables yet")
	ErrNotFound = errors.New("not found in the tables")
)

// Where returns what this node would do with a request now. It sends nothing, takes no
// rate token, and leaves all state as it is.
func (p *Proxier) Where(q observer.WhereQuery) (observer.Where, error) {
	tables := p.Resolver()
	if tables == nil || p.List() == nil {
		return observer.Where{}, ErrStarting
	}
	rq := &request{Request: &acceptor.Request{Request: &parser.Request{Target: q.Target, Host: q.Host}, Received: time.Now()}}
	if !rq.findRoute(tables) {
		return observer.Where{}, errors.Wrapf(ErrNotFound, "route for host %q and target %q", q.Host, q.Target)
	}
	organisation, ok := tables.OrganisationByName(q.Organisation)
	if q.Organisation != "" && !ok {
		return observer.Where{}, errors.Wrapf(ErrNotFound, "organisation %q", q.Organisation)
	}
	isKeyKnown := rq.identify(tables, !q.Call, func() (*resolver.Organisation, bool) { return organisation, true })
	p.prepare(rq, tables)
	w := p.where(rq)
	if !isKeyKnown {
		w.Refusal = reasonKeyUnknown
	}
	return w, nil
}

func (p *Proxier) where(rq *request) observer.Where {
	_, current := p.StateAge()
	w := observer.Where{
		Route:     rq.route.Name,
		Rank:      rq.rank,
		TreeRank:  rq.hasTreeRank,
		Version:   rq.version,
		AgeMs:     current.Milliseconds(),
		Homes:     rq.homes,
		LostRatio: p.Postponer.LostFraction(rq.route.Name),
	}
	fraction, overload := p.Throttler.Fraction(rq.route.Name, rq.rank)
	if !rq.isCall {
		w.ThrottledRatio = fraction
		w.PostponedRatio = p.Postponer.PostponedFraction(rq.route.Name, rq.route.Idempotent, rq.route.TargetLatency)
		w.OtherPools = p.Throttler.OtherPools(rq.route.Name)
	}
	w.Excess, w.Bottleneck, w.Reporter, w.ReportAgeMs = overload.Excess, overload.Bottleneck, overload.Reporter, overload.Age.Milliseconds()
	if rq.cost.Level > appraiser.ByNothing {
		w.ExpectedMs = converter.Milliseconds(rq.cost.Mean)
		w.ExpectedBy = rq.cost.Level.String()
	}
	total := 0.0
	for _, pool := range rq.route.WeightedPools {
		total += pool.Weight
	}
	for _, pool := range rq.route.WeightedPools {
		w.Pools = append(w.Pools, p.wherePool(rq, pool.Pool, pool.Weight/total))
	}
	w.Refusal = p.whereRefusal(rq, w.Pools)
	return w
}

func (p *Proxier) wherePool(rq *request, pool string, share float64) observer.WherePool {
	servers := p.List().Pool(pool)
	explanations, byCompletion := p.Picker.Explain(servers, nil, p.wanted(rq, servers))
	out := observer.WherePool{Pool: pool, Share: share, ByCompletion: byCompletion}
	for _, e := range explanations {
		age := int64(-1)
		if e.Age >= 0 {
			age = e.Age.Milliseconds()
		}
		out.Servers = append(out.Servers, observer.WhereServer{
			Server: e.Server.ID, DataCentre: e.Server.DataCentre, Region: e.Server.Region,
			Share: e.Share, Reason: e.Reason, AgeMs: age, Utilisation: e.Utilisation,
			WaitMs: 1000 * e.Score.Wait, ServiceMs: 1000 * e.Score.Service,
			TravelMs: 1000 * e.Score.Travel, PenaltyMs: 1000 * e.Score.Penalty,
		})
	}
	return out
}

// whereRefusal returns the reason for which no such request would be sent, or "".
func (p *Proxier) whereRefusal(rq *request, pools []observer.WherePool) string {
	if o, ok := p.refuseEach(rq); ok {
		return o.reason
	}
	reason := reasonNoServer
	for _, pool := range pools {
		if slices.ContainsFunc(pool.Servers, func(s observer.WhereServer) bool { return s.Reason == "" }) {
			if left := p.coldLeft(pool.Pool); rq.isCall || left == 0 || p.trier.Wait(rq.route.Name, left) == 0 {
				return ""
			}
			reason = reasonThrottled
			continue
		}
		servers := p.List().Pool(pool.Pool)
		reason = p.noServer(rq, servers, p.wanted(rq, servers)).reason
	}
	return reason
}
