// Package identifier tracks the identity of the local backend server.
//
// It guarantees that a request is sent to the server only under an id whose pool
// is known: from the server list, or from the node's settings if the list does
// not contain the id yet. A restarted server has a new id at the same address, and
// the list may contain the old one for some seconds.
//
// # Usage
//
//	i := &identifier.Identifier{Address: address, Pool: pool, List: list}
//	id, pool, ok := i.Identity()
//	i.SetReported(id) // the server reported its id
//	i.Reset()         // the server could not be reached
package identifier

import (
	"net/netip"
	"sync"

	"apricotrudder.dev/apricotd/version/lister"
)

// An Identifier tracks the identity of one backend server. Its exported fields
// must be set before use.
type Identifier struct {
	Address netip.AddrPort
	// Pool returns the pool in the node's settings.
	Pool func() string
	List func() *lister.List

	mu         sync.Mutex
	reported   string
	lastListed string // last id that was found on the list
}

// Identity returns the id and the pool of the server. ok is false if they are not
// known.
func (i *Identifier) Identity() (id, pool string, ok bool) {
	i.mu.Lock()
	id = i.reported
	i.mu.Unlock()
	list := i.List()
	if id == "" {
		if list == nil {
			return "", "", false
		}
		s, found := list.ServerAt(i.Address)
		if !found {
			return "", "", false
		}
		return s.ID, s.Pool, true
	}
	if list != nil {
		if s, found := list.Server(id); found {
			return id, s.Pool, true
		}
	}
	return id, i.Pool(), true
}

// IsReported reports whether the server has reported its id.
func (i *Identifier) IsReported() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reported != ""
}

// Listed returns the entry for an id that Identity has returned. isListed reports
// whether there is one, and everListed whether there is or was one.
func (i *Identifier) Listed(id string) (s *lister.Server, isListed, everListed bool) {
	list := i.List()
	if id == "" || list == nil {
		return nil, false, false
	}
	s, isListed = list.Server(id)
	i.mu.Lock()
	defer i.mu.Unlock()
	if isListed {
		i.lastListed = id
	}
	return s, isListed, i.lastListed == id
}

// SetReported records the id that the server reported and returns whether it is
// new. An empty id is ignored.
func (i *Identifier) SetReported(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if id == "" || i.reported == id {
		return false
	}
	i.reported = id
	return true
}

// Reset discards the reported id, because the next server at the address may
// have another one.
func (i *Identifier) Reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reported = ""
}
