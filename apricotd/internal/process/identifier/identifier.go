// Package identifier knows which backend server runs beside this node.
//
// It guarantees that a request goes to a server only under an id whose pool is
// known: from the list, or from the node's settings for a server that the list
// does not name yet. A server that starts anew has another id at the same
// address, and the list may name the old one for seconds.
//
// # Usage
//
//	i := &identifier.Identifier{Address: address, Pool: pool, List: list}
//	id, pool, ok := i.Identity()
//	i.Learn(id) // as the server itself stated
//	i.Forget()  // after the server could not be reached
package identifier

import (
	"net/netip"
	"sync"

	"apricotrudder.dev/apricotd/version/lister"
)

// An Identifier knows one backend server. Its exported fields must be set
// before use.
type Identifier struct {
	Address netip.AddrPort
	// Pool returns the pool of the settings.
	Pool func() string
	List func() *lister.List

	mu      sync.Mutex
	learned string
	listed  string // the last id that the list had
}

// Identity returns the id and the pool of the server, if they are known.
func (i *Identifier) Identity() (id, pool string, ok bool) {
	i.mu.Lock()
	id = i.learned
	i.mu.Unlock()
	list := i.List()
	if id == "" {
		if list == nil {
			return "", "", false
		}
		s, found := list.At(i.Address)
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

// IsLearned tells whether the server itself has stated its id.
func (i *Identifier) IsLearned() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.learned != ""
}

// Listed returns the server's entry, if the list has it, and tells whether it
// had it before.
func (i *Identifier) Listed() (s *lister.Server, listed, before bool) {
	id, _, ok := i.Identity()
	list := i.List()
	if !ok || list == nil {
		return nil, false, false
	}
	s, listed = list.Server(id)
	i.mu.Lock()
	defer i.mu.Unlock()
	if listed {
		i.listed = id
	}
	return s, listed, i.listed == id
}

// Learn records the id that the server stated. It reports whether it is new.
func (i *Identifier) Learn(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if id == "" || i.learned == id {
		return false
	}
	i.learned = id
	return true
}

// Forget drops the stated id, since another server may have the address next.
func (i *Identifier) Forget() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.learned = ""
}
