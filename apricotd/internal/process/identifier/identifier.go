// Package identifier tracks the identity of the local backend server: its id and the
// pool that it belongs to.
//
// A request names the id of the server that it is meant for, and no other server runs
// it. So a request reaches a server of its pool if the id that it names belongs to
// that pool. An Identifier guarantees that it states a pool for an id only on evidence
// about that id. What is known about the address proves little, because the platform
// assigns it to a server of another pool some time after its server has ended, and the
// node may outlive its server or start before the next one.
//
// The evidence, in the order of preference:
//
//   - The server list has the id, or had it. An id belongs to one pool for good.
//   - A server of the pool answered at the address less than AddressReuse, with a margin,
//     before the id was first seen, so the address cannot have passed to another pool in
//     between.
//   - The settings name the pool, and were read SettingsLag or more after the id was first
//     reported, or reported again after another one, so they would name another pool by
//     then. This ends when they name another one all the same; then the settings are no
//     evidence about the id until it is reported again after another one. A node that is
//     stopping does not begin to use this evidence, since its server may have ended and its
//     settings be the last ones.
//
// A response to a request that was sent before the last id was first reported may be that
// of an earlier server. The id in it is ignored.
//
// While no id has been reported, the id is that of a listed server at the address.
//
// # Usage
//
//	i := &identifier.Identifier{Address: address, Settings: settings, List: list, ...}
//	identity, ok := i.Identify()   // once for each request, which must name identity.Server
//	i.SetReported(id, sentAt)      // the server reported its id in response to a request
//	i.Confirm(identity, sentAt)    // the server ran a request that named the id
//	i.Reset()                      // the server could not be reached
//
// The methods take constant time, apart from Identify: while no id is reported it searches
// the list for the address, and once for each new list the removed entries for an id that
// has never been listed. It calls List, ListAge, Settings and RemovedEntry with its lock
// held.
package identifier

import (
	"net/netip"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/lister"
)

// What shows to which pool a server belongs.
const (
	Listed        Evidence = "listed"        // the list has the id
	WasListed     Evidence = "wasListed"     // the list had the id
	ListedAddress Evidence = "listedAddress" // the list has a server at the address; no id is reported
	Successor     Evidence = "successor"     // it followed a server of the pool too soon to be of another one
	Settings      Evidence = "settings"      // the settings name the pool, some time after the id was first seen
	None          Evidence = "none"          // the pool is not known
)

const (
	// maxSightings bounds the ids that are remembered.
	maxSightings = 8
	// reuseMarginDivisor is the divisor of AddressReuse that gives the time for which a
	// server may still answer after the platform has taken it as ended.
	reuseMarginDivisor = 10
)

type (
	// Evidence is what shows to which pool a server belongs.
	Evidence string

	// An Identity is the server that requests are sent to.
	Identity struct {
		Server string // id
		// Pool is empty if there is no evidence yet to which pool the server belongs.
		Pool     string
		Evidence Evidence
		// Age is how old the evidence is: the time since the list was known to be
		// current, since the settings were read, or since the server before it answered.
		Age time.Duration
	}

	// An Identifier tracks the identity of one backend server. Its exported fields
	// must be set before use.
	Identifier struct {
		Address netip.AddrPort
		// AddressReuse is the least time between the end of a server and the start of
		// one of another pool at its address; 0: none is known.
		AddressReuse time.Duration
		// SettingsLag is how long after the start of a server the settings may still
		// name the pool of the one before it at the address.
		SettingsLag time.Duration
		// Settings returns the pool in the node's settings, and when they were read.
		Settings func() (pool string, readAt timekeeper.Instant)
		List     func() *lister.List
		// ListAge returns the time since the list was known to be current.
		ListAge func() time.Duration
		// RemovedEntry returns the pool in the entry of a server that was removed from
		// the list. It may be nil.
		RemovedEntry func(id string) (pool string, ok bool)

		mu       sync.Mutex
		reported string
		// lastReported is the id that was reported last, also after Reset.
		lastReported string
		sightings    map[string]*sighting // by id
		uses         uint64               // of sightings; orders them by their last use
		stopping     bool
		lastListed   string // last id that was found on the list
	}

	// A sighting is what is known about a server that has been at the address.
	sighting struct {
		firstSeen timekeeper.Instant
		// presentSince is when the id was first reported, or reported again after another
		// one; zero: never.
		presentSince timekeeper.Instant
		aliveAt      timekeeper.Instant // when the last request that it answered was sent; zero: none
		pool         string             // empty: not known
		evidence     Evidence
		since        timekeeper.Instant // of the evidence
		searched     *lister.List       // list with which RemovedEntry was last asked
		lastUse      uint64
		// contradicted says that the settings have named several pools since presentSince,
		// the first of which was taken for that of the server.
		contradicted bool
	}
)

// Identify returns the identity of the server. ok is false if no id is known.
func (i *Identifier) Identify() (identity Identity, ok bool) {
	list := i.List()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reported == "" {
		if list == nil {
			return Identity{}, false
		}
		s, found := list.ServerAt(i.Address)
		if !found {
			return Identity{}, false
		}
		return Identity{Server: s.ID, Pool: s.Pool, Evidence: ListedAddress, Age: i.ListAge()}, true
	}
	known := i.sightings[i.reported]
	if list != nil {
		if s, found := list.Server(i.reported); found {
			known.establish(s.Pool, Listed, timekeeper.Now())
			return Identity{Server: s.ID, Pool: s.Pool, Evidence: Listed, Age: i.ListAge()}, true
		}
	}
	if known.evidence != Listed {
		i.searchRemoved(known, list)
	}
	i.dropContradicted(known)
	if known.pool == "" {
		i.inferPool(known)
	}
	identity = Identity{Server: i.reported, Pool: known.pool, Evidence: known.evidence, Age: known.since.Age()}
	switch {
	case known.pool == "":
		identity.Evidence, identity.Age = None, known.firstSeen.Age()
	case known.evidence == Listed:
		identity.Evidence = WasListed
	}
	return identity, true
}

// searchRemoved looks for a removed entry of the reported server. i.mu must be held.
func (i *Identifier) searchRemoved(s *sighting, list *lister.List) {
	if i.RemovedEntry == nil || list != nil && s.searched == list {
		return
	}
	s.searched = list
	if pool, ok := i.RemovedEntry(i.reported); ok {
		s.establish(pool, Listed, timekeeper.Now())
	}
}

// inferPool looks for evidence of the pool of a server that has never been listed. i.mu
// must be held.
func (i *Identifier) inferPool(s *sighting) {
	for _, before := range i.sightings {
		if before == s || before.pool == "" || before.aliveAt.IsZero() {
			continue
		}
		if gap := s.firstSeen.Since(before.aliveAt); gap >= 0 && gap < i.minReuse() {
			s.establish(before.pool, Successor, before.aliveAt)
			return
		}
	}
	if pool, readAt := i.Settings(); !i.stopping && !s.contradicted && readAt.Sub(s.presentSince) >= i.SettingsLag {
		s.establish(pool, Settings, readAt)
	}
}

// dropContradicted ends the evidence of settings that have changed. i.mu must be held.
func (i *Identifier) dropContradicted(s *sighting) {
	if pool, readAt := i.Settings(); s.evidence == Settings && pool != s.pool {
		s.establish("", None, readAt)
		// Settings that are read earlier may be those of the server before this one.
		s.contradicted = readAt.Sub(s.presentSince) >= i.SettingsLag
	}
}

func (s *sighting) establish(pool string, evidence Evidence, since timekeeper.Instant) {
	s.pool, s.evidence, s.since = pool, evidence, since
}

// AwaitsSettings reports whether settings that are read anew may show the pool of the
// server, or contradict earlier ones, and the time that is left until then.
func (i *Identifier) AwaitsSettings() (left time.Duration, ok bool) {
	identity, _ := i.Identify()
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.sightings[identity.Server]
	switch {
	case s == nil || i.stopping:
		return 0, false
	case identity.Evidence == None && !s.contradicted:
		return max(0, i.SettingsLag-timekeeper.Now().Sub(s.presentSince)), true
	}
	return 0, identity.Evidence == Settings
}

// IsReported reports whether the server has reported its id.
func (i *Identifier) IsReported() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reported != ""
}

// Listed returns the entry for an id that Identify has returned. isListed reports
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

// SetReported records the id that the server reported in response to a request that was
// sent at a time, and returns whether it is new. An empty id is ignored, and one that an
// earlier server may have reported.
func (i *Identifier) SetReported(id string, sentAt time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if id == "" || i.reported == id {
		return false
	}
	if id != i.lastReported {
		if last := i.sightings[i.lastReported]; last != nil && timekeeper.At(sentAt).Sub(last.presentSince) < 0 {
			return false
		}
		i.lastReported = id
		s := i.sight(id)
		s.presentSince, s.contradicted = timekeeper.Now(), false
	}
	i.reported = id
	return true
}

// Confirm records that the server with an identity has answered a request that was sent
// at a time. What the identity says of the pool is kept if it was about the id.
func (i *Identifier) Confirm(identity Identity, sentAt time.Time) {
	at := timekeeper.At(sentAt)
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.sight(identity.Server)
	if s.aliveAt.IsZero() || at.Sub(s.aliveAt) > 0 {
		s.aliveAt = at
	}
	switch identity.Evidence {
	case Listed, WasListed, ListedAddress:
		s.establish(identity.Pool, Listed, at)
	}
}

// LastConfirmed returns the time since a request was sent that the last known server at
// the address has answered. ok is false if none has.
func (i *Identifier) LastConfirmed() (age time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range i.sightings {
		if s.aliveAt.IsZero() {
			continue
		}
		if since := s.aliveAt.Age(); !ok || since < age {
			age, ok = since, true
		}
	}
	return age, ok
}

// CurrentPool returns the pool of the server that is at the address now. ok is false if
// that is not known, or if a server of another pool may have taken over the address since
// the last answer.
func (i *Identifier) CurrentPool() (pool string, ok bool) {
	identity, _ := i.Identify()
	confirmed, isConfirmed := i.LastConfirmed()
	return identity.Pool, identity.Pool != "" && isConfirmed && confirmed < i.minReuse()
}

// minReuse returns the least time from the last answer of a server to the start of one of
// another pool at the address.
func (i *Identifier) minReuse() time.Duration {
	return i.AddressReuse - i.AddressReuse/reuseMarginDivisor
}

// Stop tells that the node is stopping.
func (i *Identifier) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping = true
}

// Reset discards the reported id after the server could not be reached, because the next
// one at the address may have another id.
func (i *Identifier) Reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reported = ""
}

// sight returns the sighting of an id, which it adds if there is none. i.mu must be
// held.
func (i *Identifier) sight(id string) *sighting {
	i.uses++
	if s := i.sightings[id]; s != nil {
		s.lastUse = i.uses
		return s
	}
	if i.sightings == nil {
		i.sightings = make(map[string]*sighting)
	}
	for len(i.sightings) >= maxSightings {
		i.forgetLeastRecent()
	}
	s := &sighting{firstSeen: timekeeper.Now(), lastUse: i.uses}
	i.sightings[id] = s
	return s
}

func (i *Identifier) forgetLeastRecent() {
	least := ""
	for id, s := range i.sightings {
		if id != i.lastReported && (least == "" || s.lastUse < i.sightings[least].lastUse) {
			least = id
		}
	}
	delete(i.sightings, least)
}
