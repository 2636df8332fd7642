// Package lister holds the backend servers of one revision of the platform's
// list.
//
// # Usage
//
//	l := lister.New(revision, servers, dataCentres)
//	for _, s := range l.Pool("licensing") { ... }
//
// A List never changes after New.
package lister

import (
	"net/netip"
	"time"
)

// States of a backend server.
const (
	Ready   State = iota // takes new requests
	Leaving              // finishes what it has
)

type (
	// A State tells whether a backend server takes new requests.
	State int

	// A Server is one backend server as the platform lists it.
	Server struct {
		ID         string
		Pool       string
		DataCentre string
		Region     string
		// Address is where the server listens. Only its own node reaches it.
		Address netip.AddrPort
		Slots   int // requests that it runs at once
		State   State
		// ColdUntil is when the server reaches its full speed.
		ColdUntil time.Time
	}

	// A List is one revision of the platform's list.
	List struct {
		Revision uint64

		servers map[string]*Server // by id
		pools   map[string][]*Server
		nodes   map[netip.Addr]struct{}
	}
)

// New builds a list of servers, each with an id of its own.
func New(revision uint64, servers []*Server) *List {
	l := &List{
		Revision: revision,
		servers:  make(map[string]*Server, len(servers)),
		pools:    make(map[string][]*Server),
		nodes:    make(map[netip.Addr]struct{}, len(servers)),
	}
	for _, s := range servers {
		l.servers[s.ID] = s
		l.pools[s.Pool] = append(l.pools[s.Pool], s)
		l.nodes[s.Address.Addr()] = struct{}{}
	}
	return l
}

// Server returns the server with the id.
func (l *List) Server(id string) (*Server, bool) {
	s, ok := l.servers[id]
	return s, ok
}

// Pool returns the servers of a pool, whatever their state.
func (l *List) Pool(name string) []*Server {
	return l.pools[name]
}

// Nodes returns the number of VMs with a listed backend server.
func (l *List) Nodes() int {
	return len(l.nodes)
}

// Addresses calls yield with the address of each VM that has a listed server.
func (l *List) Addresses(yield func(netip.Addr) bool) {
	for a := range l.nodes {
		if !yield(a) {
			return
		}
	}
}

// At returns the server that listens on an address. If the list names several,
// it returns one that is ready.
func (l *List) At(address netip.AddrPort) (*Server, bool) {
	var found *Server
	for _, s := range l.servers {
		if s.Address != address {
			continue
		}
		if found == nil || found.State != Ready {
			found = s
		}
	}
	return found, found != nil
}
