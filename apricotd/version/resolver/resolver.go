// Package resolver finds the route, the organisation and the limits that one
// version of the tables gives a request.
//
// It serves fleets whose tables select a route by host and longest prefix.
// Tables that select by method and pattern are package checker's.
//
// # Usage
//
//	r := resolver.New(tables)
//	route, ok := r.Route("music.example", "/catalogue/42")
//	organisation, ok := r.Organisation(key)
//
// A Resolver never changes after New. A look-up costs one map access for each
// slash of the path.
package resolver

import (
	"strings"
	"time"
)

type (
	// Tables is one checked version of the tables.
	Tables struct {
		Version       uint64
		Routes        []*Route
		Pools         map[string]*Pool
		Organisations []*Organisation
		Limits        Limits
		// Raw is what was published, as nodes pass it on to one another.
		Raw []byte
	}

	// A Route tells what to do with the requests of one host and prefix.
	Route struct {
		Name       string
		Host       string // lower case, without port
		Prefix     string // begins and ends with a slash
		Idempotent bool
		// Timeout is the longest time that a request is kept waiting.
		Timeout time.Duration
		// Target is the time within which an answer has its full use.
		Target time.Duration
		// Rank is the urgency; 0 is the most urgent.
		Rank int
		// Open routes need no key.
		Open bool
		// MaxAttempts bounds the backend servers that one request may reach.
		MaxAttempts int
		// Parts are the pools that share the requests; there is at least one.
		Parts []Part
	}

	// A Part is the share of a route's requests that one pool gets.
	Part struct {
		Pool   string
		Weight float64
	}

	// A Pool describes the backend servers of one service.
	Pool struct {
		Name string
		// HealthPath is where its backend servers answer health checks.
		HealthPath string
	}

	// An Organisation is a customer whose callers present its keys.
	Organisation struct {
		Name string
		Keys []string
		// Rate and Burst bound the organisation's requests over the whole
		// fleet, in requests per second and requests; a Rate of 0 does not.
		Rate  float64
		Burst float64
		// Rank orders the organisation's requests among others of the same
		// route rank, if HasRank is set; 0 goes first.
		Rank    int
		HasRank bool
	}

	// Limits bounds what a caller may send and how long it may take.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// A Resolver answers look-ups in one version of the tables.
	Resolver struct {
		Tables *Tables

		routes map[string]map[string]*Route // by host and prefix
		keys   map[string]*Organisation
		names  map[string]*Organisation
	}
)

// New prepares the look-ups of a version.
func New(t *Tables) *Resolver {
	r := &Resolver{
		Tables: t,
		routes: make(map[string]map[string]*Route),
		keys:   make(map[string]*Organisation),
		names:  make(map[string]*Organisation),
	}
	for _, route := range t.Routes {
		if r.routes[route.Host] == nil {
			r.routes[route.Host] = make(map[string]*Route)
		}
		r.routes[route.Host][route.Prefix] = route
	}
	for _, o := range t.Organisations {
		r.names[o.Name] = o
		for _, key := range o.Keys {
			r.keys[key] = o
		}
	}
	return r
}

// Route returns the route of the host with the longest prefix that begins the
// path.
func (r *Resolver) Route(host, path string) (*Route, bool) {
	prefixes := r.routes[normalHost(host)]
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

// Organisation returns the holder of a key.
func (r *Resolver) Organisation(key string) (*Organisation, bool) {
	o, ok := r.keys[key]
	return o, ok
}

// Named returns the organisation with a name.
func (r *Resolver) Named(name string) (*Organisation, bool) {
	o, ok := r.names[name]
	return o, ok
}

// NeedsKeys tells whether routes that are not open need a key.
func (r *Resolver) NeedsKeys() bool {
	return len(r.Tables.Organisations) > 0
}

func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
