package proxier

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/converter"
	"apricotrudder.dev/apricotd/internal/connection/acceptor"
	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/picker"
	"apricotrudder.dev/apricotd/internal/request/invoker"
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
	path, _, _ := strings.Cut(q.Target, "?")
	route, ok := tables.Route(q.Host, path)
	if !ok {
		return observer.Where{}, errors.Wrapf(ErrNotFound, "route for host %q and path %q", q.Host, path)
	}
	var organisation *resolver.Organisation
	if q.Organisation != "" {
		if organisation, ok = tables.OrganisationByName(q.Organisation); !ok {
			return observer.Where{}, errors.Wrapf(ErrNotFound, "organisation %q", q.Organisation)
		}
	}
	rq := &request{
		Request:      &acceptor.Request{Request: &parser.Request{Target: q.Target, Host: q.Host}, Received: time.Now()},
		route:        route,
		rank:         route.Rank,
		organisation: organisation,
		isCall:       q.Call,
		version:      tables.Tables.Version,
		homes:        resolver.Homes(route, organisation),
	}
	rq.deadline = p.deadline(rq)
	return p.where(rq), nil
}

func (p *Proxier) where(rq *request) observer.Where {
	if rank, ok := p.Ranker.Rank(rq.route.Name); rq.isCall && ok {
		rq.rank = rank
	}
	_, current := p.StateAge()
	w := observer.Where{
		Route:     rq.route.Name,
		Rank:      rq.rank,
		Version:   rq.version,
		AgeMs:     current.Milliseconds(),
		Homes:     rq.homes,
		LostRatio: p.Postponer.LostFraction(rq.route.Name),
	}
	fraction, overload := p.Throttler.Fraction(rq.route.Name, rq.rank)
	if !rq.isCall {
		w.ThrottledRatio = fraction
	}
	w.Excess, w.Bottleneck, w.Reporter, w.ReportAgeMs = overload.Excess, overload.Bottleneck, overload.Reporter, overload.Age.Milliseconds()
	if cost, ok := p.Appraiser.Estimate(rq.properties()); ok {
		rq.cost = cost
		w.ExpectedMs = converter.Milliseconds(cost.Mean)
		w.ExpectedBy = cost.Level.String()
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
	wanted := picker.Request{Call: rq.isCall, Rank: rq.rank, Regions: rq.homes, Cost: rq.costRequest()}
	explanations, byCompletion := p.Picker.Explain(servers, nil, wanted)
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
	if rq.homes != nil && len(rq.homes) == 0 {
		return reasonNoHome
	}
	if p.mayOutlast(rq) {
		return reasonStopping
	}
	for _, pool := range pools {
		for _, s := range pool.Servers {
			if s.Reason == "" {
				return ""
			}
		}
	}
	for _, pool := range pools {
		if p.Picker.IsEachEvacuated(p.List().Pool(pool.Pool), picker.Request{Call: rq.isCall, Rank: rq.rank, Regions: rq.homes}) {
			return invoker.Evacuated
		}
	}
	if rq.homes != nil {
		return reasonNoHomeServer
	}
	return reasonNoServer
}
