// Package lister indexes the backend servers of one revision of the platform's
// list.
//
// # Usage
//
//	l := lister.New(revision, servers)
//	for _, s := range l.Pool("licensing") { ... }
//
// A List is immutable and safe for concurrent use.
package lister

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// AbsentTTL is how long an absent VM may be one that is only cut off. Cuts last an hour
// at most.
const AbsentTTL = time.Hour

// States of a backend server.
const (
	Ready   State = iota // accepts new requests
	Leaving              // draining: finishes running requests and accepts no new ones
)

type (
	// A State determines whether a backend server accepts new requests.
	State int

	// A Server is one backend server as the platform lists it.
	Server struct {
		ID         string
		Pool       string
		DataCentre string
		Region     string
		// Address is where the server listens. Only the node on the same VM can
		// connect to it.
		Address netip.AddrPort
		Slots   int // maximum number of concurrent requests
		State   State
		// ColdUntil is when the server has warmed up to full speed.
		ColdUntil time.Time
		// StartedAt is when the server started, by its own clock; zero if it does not
		// state that.
		StartedAt time.Time
		// Sequence increases with each statement of the server since its start.
		Sequence uint64
	}

	place struct{ region, dataCentre string }

	// An AbsentVM is a VM without a listed backend server whose last one was Ready when
	// its entry expired. It may be gone, or only cut off from the platform.
	AbsentVM struct {
		Address netip.Addr
		Region  string
		Since   time.Time
		// From is the number of VMs that were listed or absent before, this one
		// included; 0 if unknown. The list of a VM that is cut off contains as many.
		From int
	}

	// A List is one revision of the platform's list.
	List struct {
		Revision uint64

		servers        map[string]*Server // by id
		pools          map[string][]*Server
		byAddress      map[netip.AddrPort]*Server // the likeliest there
		placeByVM      map[netip.Addr]place       // by VM address
		vmsPerRegion   map[string]int             // by region
		absentByRegion map[string][]AbsentVM      // sorted by address
		evacuations    []Evacuation               // sorted by data centre
	}

	// An Evacuation is an operator's request that the backend servers of a data centre
	// get no requests.
	Evacuation struct {
		DataCentre string
		// Era and Revision are those of the operator's request in the store.
		Era      int64
		Revision uint64
		// Since is when a node of the fleet that passed it on, or this one, learned of it.
		Since time.Time
	}
)

// CompareStatement compares when two entries of one server were stated: it is
// negative if s was stated before o, positive if after, and 0 if they are one
// statement. ok is false if the entries do not tell.
func (s *Server) CompareStatement(o *Server) (order int, ok bool) {
	if s.StartedAt.IsZero() || o.StartedAt.IsZero() {
		return 0, false
	}
	return cmp.Or(s.StartedAt.Compare(o.StartedAt), cmp.Compare(s.Sequence, o.Sequence)), true
}

// New returns the list of the given servers, whose ids must be unique.
func New(revision uint64, servers []*Server) *List {
	l := &List{
		Revision:     revision,
		servers:      make(map[string]*Server, len(servers)),
		pools:        make(map[string][]*Server),
		byAddress:    make(map[netip.AddrPort]*Server, len(servers)),
		placeByVM:    make(map[netip.Addr]place, len(servers)),
		vmsPerRegion: make(map[string]int),
	}
	for _, s := range servers {
		l.servers[s.ID] = s
		l.pools[s.Pool] = append(l.pools[s.Pool], s)
		if found := l.byAddress[s.Address]; found == nil || s.isLikelierThan(found) {
			l.byAddress[s.Address] = s
		}
		if _, known := l.placeByVM[s.Address.Addr()]; !known {
			l.placeByVM[s.Address.Addr()] = place{region: s.Region, dataCentre: s.DataCentre}
			l.vmsPerRegion[s.Region]++
		}
	}
	return l
}

// SetAbsent sets the absent VMs, whose addresses must be unique. It must be called
// before the list is used by others.
func (l *List) SetAbsent(vms []AbsentVM) {
	l.absentByRegion = make(map[string][]AbsentVM)
	for _, vm := range vms {
		if _, isListed := l.placeByVM[vm.Address]; !isListed {
			l.absentByRegion[vm.Region] = append(l.absentByRegion[vm.Region], vm)
		}
	}
	for _, vms := range l.absentByRegion {
		slices.SortFunc(vms, func(a, b AbsentVM) int { return a.Address.Compare(b.Address) })
	}
}

// SetEvacuations sets the evacuations in force, at most one for each data centre. It must
// be called before the list is used by others.
func (l *List) SetEvacuations(evacuations []Evacuation) {
	l.evacuations = slices.SortedFunc(slices.Values(evacuations), func(a, b Evacuation) int {
		return cmp.Compare(a.DataCentre, b.DataCentre)
	})
}

// Evacuations returns the evacuations in force, sorted by data centre.
func (l *List) Evacuations() []Evacuation { return l.evacuations }

// IsEvacuated reports whether the backend servers of a data centre may get no requests.
func (l *List) IsEvacuated(dataCentre string) bool {
	return slices.ContainsFunc(l.evacuations, func(e Evacuation) bool { return e.DataCentre == dataCentre })
}

// AbsentRegions returns the sorted names of the regions that have absent VMs.
func (l *List) AbsentRegions() []string {
	return slices.Sorted(maps.Keys(l.absentByRegion))
}

// AbsentCount returns the number of absent VMs.
func (l *List) AbsentCount() int {
	n := 0
	for _, vms := range l.absentByRegion {
		n += len(vms)
	}
	return n
}

// AbsentIn returns the absent VMs of a region, sorted by address.
func (l *List) AbsentIn(region string) []AbsentVM { return l.absentByRegion[region] }

// Server returns the server with the given id.
func (l *List) Server(id string) (*Server, bool) {
	s, ok := l.servers[id]
	return s, ok
}

// Pool returns the servers of a pool in any state.
func (l *List) Pool(name string) []*Server {
	return l.pools[name]
}

// VMCount returns the number of VMs with a listed backend server.
func (l *List) VMCount() int {
	return len(l.placeByVM)
}

// VMCountIn returns the number of VMs with a listed backend server in a region.
func (l *List) VMCountIn(region string) int {
	return l.vmsPerRegion[region]
}

// Regions returns the sorted names of the regions that have VMs with a listed
// backend server.
func (l *List) Regions() []string {
	return slices.Sorted(maps.Keys(l.vmsPerRegion))
}

// Addresses is an iterator over the addresses of the VMs with a listed backend
// server, in no particular order.
func (l *List) Addresses(yield func(netip.Addr) bool) {
	for a := range l.placeByVM {
		if !yield(a) {
			return
		}
	}
}

// RegionOf returns the region of the VM with the given address, or "" if it has no
// listed backend server.
func (l *List) RegionOf(a netip.Addr) string {
	return l.placeByVM[a].region
}

// DataCentreOf returns the data centre of the VM with the given address, or "" if it
// has no listed backend server.
func (l *List) DataCentreOf(a netip.Addr) string {
	return l.placeByVM[a].dataCentre
}

// ServerAt returns the server that listens on an address. If several are listed
// with the address, as after it has passed from one to another, it is one in state Ready
// and among those the one that started last.
func (l *List) ServerAt(address netip.AddrPort) (*Server, bool) {
	s, ok := l.byAddress[address]
	return s, ok
}

// isLikelierThan reports whether s rather than o listens on the address of both.
func (s *Server) isLikelierThan(o *Server) bool {
	return cmp.Or(cmp.Compare(o.State, s.State), s.StartedAt.Compare(o.StartedAt), cmp.Compare(s.ID, o.ID)) > 0
}
