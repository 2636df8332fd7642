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
	"maps"
	"net/netip"
	"slices"
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
		regions map[netip.Addr]string // of VMs
		sizes   map[string]int        // VMs in each region
	}
)

// New builds a list of servers, each with an id of its own.
func New(revision uint64, servers []*Server) *List {
	l := &List{
		Revision: revision,
		servers:  make(map[string]*Server, len(servers)),
		pools:    make(map[string][]*Server),
		regions:  make(map[netip.Addr]string, len(servers)),
		sizes:    make(map[string]int),
	}
	for _, s := range servers {
		l.servers[s.ID] = s
		l.pools[s.Pool] = append(l.pools[s.Pool], s)
		if _, known := l.regions[s.Address.Addr()]; !known {
			l.regions[s.Address.Addr()] = s.Region
			l.sizes[s.Region]++
		}
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
	return len(l.regions)
}

// NodesIn returns the number of VMs with a listed backend server in a region.
func (l *List) NodesIn(region string) int {
	return l.sizes[region]
}

// Regions returns the regions that have VMs.
func (l *List) Regions() []string {
	return slices.Sorted(maps.Keys(l.sizes))
}

// Addresses calls yield with the address of each VM that has a listed server.
func (l *List) Addresses(yield func(netip.Addr) bool) {
	for a := range l.regions {
		if !yield(a) {
			return
		}
	}
}

// Region returns the region of a VM, empty if it is not listed.
func (l *List) Region(a netip.Addr) string {
	return l.regions[a]
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
