// Package matcher finds the route of a request by method and path pattern.
//
// At each segment a literal takes precedence over a {name} wildcard, and both
// over a final *. The order of the rows in the table is irrelevant.
//
// # Usage
//
//	m := matcher.New(cfg.Routes)
//	route, ok := m.Match("GET", "/catalogue/42")
//
// The patterns are stored in a trie of path segments. Match tries each branch
// that fits a segment, the most specific first, and does not allocate. A Matcher
// is immutable and safe for concurrent use.
package matcher

import (
	"strings"

	"apricotrudder.dev/apricotd/version/checker"
)

type (
	// A Matcher indexes the patterns of one version of the routes table.
	Matcher struct {
		methods map[string]*trieNode
	}

	// A trieNode is the state after matching a prefix of the path's segments.
	trieNode struct {
		literal  map[string]*trieNode
		wildcard *trieNode
		catchAll *checker.Route // route of a pattern that continues with a final *
		exact    *checker.Route // route of a pattern that ends here
	}
)

// New returns a Matcher for validated routes.
func New(routes map[string]*checker.Route) *Matcher {
	m := &Matcher{methods: make(map[string]*trieNode)}
	for _, r := range routes {
		root := m.methods[r.Method]
		if root == nil {
			root = &trieNode{}
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

func (n *trieNode) insert(segments []string, r *checker.Route) {
	if len(segments) == 0 {
		n.exact = r
		return
	}
	head := segments[0]
	if head == "*" {
		n.catchAll = r
		return
	}
	n.child(head).insert(segments[1:], r)
}

func (n *trieNode) child(segment string) *trieNode {
	if checker.IsWildcard(segment) {
		if n.wildcard == nil {
			n.wildcard = &trieNode{}
		}
		return n.wildcard
	}
	if n.literal == nil {
		n.literal = make(map[string]*trieNode)
	}
	if n.literal[segment] == nil {
		n.literal[segment] = &trieNode{}
	}
	return n.literal[segment]
}

// find returns the route of the rest of a path, without its leading slash, or
// nil if there is none.
func (n *trieNode) find(rest string) *checker.Route {
	head, tail, more := strings.Cut(rest, "/")
	for _, next := range []*trieNode{n.literal[head], n.wildcardFor(head)} {
		if next == nil {
			continue
		}
		if !more {
			if next.exact != nil {
				return next.exact
			}
			continue
		}
		if r := next.find(tail); r != nil {
			return r
		}
	}
	return n.catchAll
}

// wildcardFor returns the {name} branch for a segment, or nil if there is none.
// A wildcard does not match an empty segment.
func (n *trieNode) wildcardFor(segment string) *trieNode {
	if segment == "" {
		return nil
	}
	return n.wildcard
}
