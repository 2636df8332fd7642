// Package matcher finds the route of a request.
//
// A literal segment goes before a {name} segment, and both before a final *.
// The order of the rows in the table has no influence.
//
// # Usage
//
//	m := matcher.New(cfg.Routes)
//	route, ok := m.Match("GET", "/catalogue/42")
//
// A match visits each segment of the path once for every kind of segment that
// fits, without allocating. A Matcher never changes after New.
package matcher

import (
	"strings"

	"apricotrudder.dev/apricotd/version/checker"
)

type (
	// A Matcher holds the patterns of one version of the routes table.
	Matcher struct {
		methods map[string]*place
	}

	// A place is one position in a path.
	place struct {
		literal  map[string]*place
		wildcard *place
		rest     *checker.Route // route of a final *
		end      *checker.Route // route of a path that ends here
	}
)

// New builds the Matcher of checked routes.
func New(routes map[string]*checker.Route) *Matcher {
	m := &Matcher{methods: make(map[string]*place)}
	for _, r := range routes {
		root := m.methods[r.Method]
		if root == nil {
			root = &place{}
			m.methods[r.Method] = root
		}
		root.insert(checker.Segments(r.Path), r)
	}
	return m
}

// Match returns the route of a method and path.
func (m *Matcher) Match(method, path string) (*checker.Route, bool) {
	root := m.methods[method]
	if root == nil || !strings.HasPrefix(path, "/") {
		return nil, false
	}
	r := root.find(path[1:])
	return r, r != nil
}

func (p *place) insert(segments []string, r *checker.Route) {
	if len(segments) == 0 {
		p.end = r
		return
	}
	head := segments[0]
	if head == "*" {
		p.rest = r
		return
	}
	p.child(head).insert(segments[1:], r)
}

func (p *place) child(segment string) *place {
	if checker.IsWildcard(segment) {
		if p.wildcard == nil {
			p.wildcard = &place{}
		}
		return p.wildcard
	}
	if p.literal == nil {
		p.literal = make(map[string]*place)
	}
	if p.literal[segment] == nil {
		p.literal[segment] = &place{}
	}
	return p.literal[segment]
}

// find matches the rest of a path whose leading slash is already consumed.
func (p *place) find(rest string) *checker.Route {
	head, tail, more := strings.Cut(rest, "/")
	for _, next := range []*place{p.literal[head], p.wildcardFor(head)} {
		if next == nil {
			continue
		}
		if !more {
			if next.end != nil {
				return next.end
			}
			continue
		}
		if r := next.find(tail); r != nil {
			return r
		}
	}
	return p.rest
}

// wildcardFor returns the {name} place, which stands for no empty segment.
func (p *place) wildcardFor(segment string) *place {
	if segment == "" {
		return nil
	}
	return p.wildcard
}
