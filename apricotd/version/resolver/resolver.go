// Package resolver looks up the route, organisation and limits of a request in
// one version of the tables.
//
// It is for tables that select a route by host and longest path prefix. Package
// checker is for tables that select by method and path pattern.
//
// # Usage
//
//	r := resolver.New(tables)
//	route, ok := r.Route("music.example", "/catalogue/42")
//	organisation, ok := r.OrganisationByKey(key)
//	regions := resolver.Homes(route, organisation)
//
// A Resolver is immutable and safe for concurrent use. A route look-up costs at
// most one map access for each slash in the path.
package resolver

import (
	"strings"
	"time"
)

type (
	// Tables is one validated version of the tables.
	Tables struct {
		Version       uint64
		Routes        []*Route
		Pools         map[string]*Pool
		Organisations []*Organisation
		Limits        Limits
		// Raw is the published document, which nodes forward to their peers.
		Raw []byte
	}

	// A Route is the policy for requests to one host and path prefix.
	Route struct {
		Name       string
		Host       string // lower case, without port
		Prefix     string // starts and ends with a slash
		Idempotent bool
		// Timeout bounds the time until a request is answered; 0 means no bound.
		Timeout time.Duration
		// TargetLatency is the latency within which an answer has its full value.
		TargetLatency time.Duration
		// Rank is the priority; 0 is the highest.
		Rank int
		// Public reports whether requests need no key.
		Public bool
		// MaxAttempts bounds the number of backend servers that one request may
		// be sent to.
		MaxAttempts int
		// WeightedPools are the pools between which requests are split, at least
		// one.
		WeightedPools []WeightedPool
		// Homes are the only regions in which requests may be served; none
		// means any.
		Homes []string
	}

	// A WeightedPool is one pool of a route's traffic split with its weight.
	WeightedPool struct {
		Pool   string
		Weight float64
	}

	// A Pool describes the backend servers of one service.
	Pool struct {
		Name string
		// HealthPath is the path of the health check of its backend servers.
		HealthPath string
		// ColdStart is how long a backend server stays cold after its start.
		ColdStart time.Duration
		// ColdRate is the number of requests per second that a cold backend server
		// tolerates; 0 means no limit.
		ColdRate float64
	}

	// An Organisation is a customer. Its callers authenticate with its keys.
	Organisation struct {
		Name string
		Keys []string
		// Rate and Burst limit the organisation's requests across the fleet, in
		// requests per second and requests. A Rate of 0 means no limit.
		Rate  float64
		Burst float64
		// Rank is the organisation's priority among requests of the same route
		// rank if HasRank is set; 0 is the highest.
		Rank    int
		HasRank bool
		// Homes are the only regions in which its requests may be served; none
		// means any.
		Homes []string
	}

	// Limits bounds the size of requests, the time a caller takes to send the
	// header, and the time a connection may be idle.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// A Resolver indexes one version of the tables for look-ups.
	Resolver struct {
		Tables *Tables

		routes             map[string]map[string]*Route // by host and prefix
		routeByName        map[string]*Route
		organisationByKey  map[string]*Organisation
		organisationByName map[string]*Organisation
		hasRanks           bool
	}
)

// New returns a Resolver for the tables, which must not be modified afterwards.
func New(t *Tables) *Resolver {
	r := &Resolver{
		Tables:             t,
		routes:             make(map[string]map[string]*Route),
		routeByName:        make(map[string]*Route, len(t.Routes)),
		organisationByKey:  make(map[string]*Organisation),
		organisationByName: make(map[string]*Organisation),
	}
	for _, route := range t.Routes {
		if r.routes[route.Host] == nil {
			r.routes[route.Host] = make(map[string]*Route)
		}
		r.routes[route.Host][route.Prefix] = route
		r.routeByName[route.Name] = route
		r.hasRanks = r.hasRanks || route.Rank != t.Routes[0].Rank
	}
	for _, o := range t.Organisations {
		r.organisationByName[o.Name] = o
		for _, key := range o.Keys {
			r.organisationByKey[key] = o
		}
	}
	return r
}

// HasRanks reports whether routes have different ranks.
func (r *Resolver) HasRanks() bool { return r.hasRanks }

// Route returns the route of the host with the longest prefix of the path.
func (r *Resolver) Route(host, path string) (*Route, bool) {
	prefixes := r.routes[normaliseHost(host)]
	if prefixes == nil {
		return nil, false
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if route := prefixes[path[:slash+1]]; route != nil {
			return route, true
		}
		end = slash
	}
	return nil, false
}

// OrganisationByKey returns the organisation that a key belongs to.
func (r *Resolver) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := r.organisationByKey[key]
	return o, ok
}

// OrganisationByName returns the organisation with the given name.
func (r *Resolver) OrganisationByName(name string) (*Organisation, bool) {
	o, ok := r.organisationByName[name]
	return o, ok
}

// RequiresKeys reports whether routes that are not public require a key, which is
// the case if the tables have any organisations.
func (r *Resolver) RequiresKeys() bool {
	return len(r.Tables.Organisations) > 0
}

// normaliseHost removes the port and converts the host to lower case.
func normaliseHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
