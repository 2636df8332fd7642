package proxier

import (
	"fmt"
	"slices"
	"time"

	"apricotrudder.dev/apricotd/internal/process/picker"
	"apricotrudder.dev/apricotd/internal/request/invoker"
	"apricotrudder.dev/apricotd/version/lister"
)

// noHomeRetryAfter is the retry delay of a request without any home region, which only
// new tables can change.
const noHomeRetryAfter = 5 * time.Second

// noHome returns the refusal of a request whose route and organisation have home
// regions, but none in common.
func noHome(rq *request) refused {
	return refused{
		reason: reasonNoHome,
		detail: fmt.Sprintf("the home regions of the route are %v, those of organisation %s are %v",
			rq.route.Homes, rq.organisation.Name, rq.organisation.Homes),
		retryAfter: noHomeRetryAfter,
	}
}

// regions returns the regions whose servers may be tried now; nil means any. New tables
// apply to the next attempt of a request that began under older ones. A region whose
// node has refused the request as outside its homes is left out: its other nodes must
// not get the body either.
func (p *Proxier) regions(rq *request, servers []*lister.Server) []string {
	if tables := p.Resolver(); tables != nil && tables.Tables.Version > rq.version {
		organisation := ""
		if rq.organisation != nil {
			organisation = rq.organisation.Name
		}
		if homes, ok := tables.HomesByName(rq.route.Name, organisation); ok {
			rq.homes = homes
		}
	}
	if len(rq.refusedRegions) == 0 {
		return rq.homes
	}
	left := []string{}
	for _, s := range servers {
		isHome := rq.homes == nil || slices.Contains(rq.homes, s.Region)
		if isHome && !slices.Contains(rq.refusedRegions, s.Region) && !slices.Contains(left, s.Region) {
			left = append(left, s.Region)
		}
	}
	return left
}

// noServer returns the refusal of a request for which no server is usable. A request
// with homes is not sent elsewhere, so it learns when one of them may have room.
// Evacuations last until an operator ends them.
func (p *Proxier) noServer(rq *request, servers []*lister.Server, wanted picker.Request) refused {
	o := refused{
		reason:     reasonNoServer,
		detail:     fmt.Sprintf("no usable server of pool %s: %s", rq.pool, p.Picker.Describe(servers, nil, wanted)),
		retryAfter: noServerRetryAfter,
	}
	if p.Picker.IsEachEvacuated(servers, wanted) {
		o.reason, o.retryAfter = invoker.Evacuated, invoker.EvacuatedRetryAfter
		return o
	}
	if rq.homes == nil {
		return o
	}
	o.reason = reasonNoHomeServer
	o.detail = fmt.Sprintf("home regions %v: %s", rq.homes, o.detail)
	if wait, ok := p.Picker.NextRoom(servers, wanted); ok {
		o.retryAfter = wait
	}
	return o
}

// countHomeRefusal counts a refusal that is due to home regions, and returns it.
func (p *Proxier) countHomeRefusal(o refused) outcome {
	if o.reason == reasonNoHome || o.reason == reasonNoHomeServer {
		p.Metrics.GetOrCreateCounter(fmt.Sprintf(`apricot_home_refusals_total{reason=%q}`, o.reason)).Inc()
	}
	return o
}
