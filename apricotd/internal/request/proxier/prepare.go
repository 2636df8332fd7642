package proxier

import (
	"strings"

	"apricotrudder.dev/apricotd/internal/connection/parser"
	"apricotrudder.dev/apricotd/internal/process/picker"
	"apricotrudder.dev/apricotd/version/lister"
	"apricotrudder.dev/apricotd/version/resolver"
)

// This file determines what the decisions about a request depend on, both for requests
// and for Where. Nothing in it counts anything or changes the state of the node.

// findRoute sets the route. It returns false if the tables have none.
func (rq *request) findRoute(tables *resolver.Resolver) bool {
	route, ok := routeOf(rq.Request.Request, tables)
	rq.route = route
	return ok
}

// routeOf returns the route of a request by its head.
func routeOf(r *parser.Request, tables *resolver.Resolver) (*resolver.Route, bool) {
	path, _, _ := strings.Cut(r.Target, "?")
	return tables.Route(r.Host, path)
}

// identify sets whether the request is a call, and its organisation, which find returns
// by the key, if the route needs one. It returns false if the key is missing or unknown.
func (rq *request) identify(tables *resolver.Resolver, hasKey bool, find func() (*resolver.Organisation, bool)) bool {
	if rq.route.Public || !tables.RequiresKeys() {
		// Only callers have keys. A request without one on a public route is a
		// call of the own backend server, or of a caller treated the same.
		rq.isCall = rq.route.Public && !hasKey
		return true
	}
	if !hasKey {
		return false
	}
	o, ok := find()
	if !ok {
		return false
	}
	rq.organisation = o
	if o != nil && o.HasRank {
		rq.preference = o.Rank
	}
	return true
}

// prepare sets the rest once it is known whose request it is.
func (p *Proxier) prepare(rq *request, tables *resolver.Resolver) {
	rq.version = tables.Tables.Version
	rq.rank = rq.route.Rank
	if rank, ok := p.treeRank(rq, tables); ok {
		rq.rank, rq.hasTreeRank = rank, true
	}
	rq.deadline = p.deadline(rq)
	rq.homes = resolver.Homes(rq.route, rq.organisation)
	rq.cost, _ = p.Appraiser.Estimate(rq.properties())
}

// refuseEach returns the refusal of each such request, whatever its pool.
func (p *Proxier) refuseEach(rq *request) (refused, bool) {
	switch {
	case rq.homes != nil && len(rq.homes) == 0:
		return noHome(rq), true
	case p.mayOutlast(rq):
		return refused{reason: reasonStopping, detail: "the node stops before the request's deadline", retryAfter: stoppingRetryAfter}, true
	}
	return refused{}, false
}

// wanted returns what the choice among the servers of a pool depends on.
func (p *Proxier) wanted(rq *request, servers []*lister.Server) picker.Request {
	return picker.Request{Call: rq.isCall, Rank: rq.rank, Regions: p.regions(rq, servers), Cost: rq.costRequest()}
}
