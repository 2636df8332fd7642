package checker

import (
	"fmt"
	"time"

	"apricotrudder.dev/apricotd/decoder"
)

const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxColdStart   = 10 * time.Minute
	maxQueueWait   = 10 * time.Second

	defaultQueueWait    = 50 * time.Millisecond
	defaultBodyLimit    = 1 << 20  // bytes
	maxBodyLimit        = 64 << 20 // bytes
	nameWanted          = "1 to 64 letters, digits, '-', '_' or '.'"
	maxNameLength       = 64
	crossRegionAccepted = `"never", "critical" or "always"`
)

// Which requests may be sent to backend servers of another region while the
// own region has none with room.
const (
	CrossRegionNever    CrossRegion = "never"
	CrossRegionCritical CrossRegion = "critical"
	CrossRegionAlways   CrossRegion = "always"
)

type (
	// A CrossRegion tells which requests may use the link between regions.
	CrossRegion string

	// A Pool is one row of the pools table: the backend servers of a service.
	Pool struct {
		Name string `toml:"name" json:"name"`
		// Slots is the number of requests that one backend server runs at once.
		Slots uint32 `toml:"slots" json:"slots"`
		// Connections is the number of connections that one backend server accepts.
		Connections uint32 `toml:"connections" json:"connections"`
		// QueueWait is the longest time that a request waits for a slot.
		QueueWait decoder.Duration `toml:"queueWait" json:"queueWait"`
		// ColdStart is the time over which a started backend server is given
		// its full share of requests.
		ColdStart decoder.Duration `toml:"coldStart" json:"coldStart"`
		// BodyLimit bounds request and answer bodies, in bytes.
		BodyLimit   uint32      `toml:"bodyLimit" json:"bodyLimit"`
		CrossRegion CrossRegion `toml:"crossRegion" json:"crossRegion"`
	}
)

func checkPool(f *faults, p *Pool, i int, pools map[string]*Pool) {
	place := fmt.Sprintf("pool %q (row %d)", p.Name, i+1)
	fault := func(key, got, want string) { f.add(PoolsTable, place, key, got, want) }
	setPoolDefaults(p)
	if !isName(p.Name) {
		fault("name", fmt.Sprintf("%q", p.Name), nameWanted)
	}
	if _, ok := pools[p.Name]; ok {
		fault("name", fmt.Sprintf("%q twice", p.Name), "a name used once")
	}
	pools[p.Name] = p
	if p.Slots == 0 || p.Slots > maxSlots {
		fault("slots", fmt.Sprint(p.Slots), fmt.Sprintf("1 to %d", maxSlots))
	}
	if p.Connections < p.Slots || p.Connections > maxConnections {
		fault("connections", fmt.Sprint(p.Connections), fmt.Sprintf("at least the slots and at most %d", maxConnections))
	}
	if p.BodyLimit > maxBodyLimit {
		fault("bodyLimit", fmt.Sprint(p.BodyLimit), fmt.Sprintf("at most %d bytes", maxBodyLimit))
	}
	checkRange(fault, "queueWait", p.QueueWait, maxQueueWait)
	checkRange(fault, "coldStart", p.ColdStart, maxColdStart)
	switch p.CrossRegion {
	case CrossRegionNever, CrossRegionCritical, CrossRegionAlways:
	default:
		fault("crossRegion", fmt.Sprintf("%q", p.CrossRegion), crossRegionAccepted)
	}
}

func setPoolDefaults(p *Pool) {
	if p.QueueWait == 0 {
		p.QueueWait = decoder.Duration(defaultQueueWait)
	}
	if p.BodyLimit == 0 {
		p.BodyLimit = defaultBodyLimit
	}
	if p.CrossRegion == "" {
		p.CrossRegion = CrossRegionCritical
	}
}

func checkRange(fault func(key, got, want string), key string, d decoder.Duration, limit time.Duration) {
	if d < 0 || time.Duration(d) > limit {
		fault(key, fmt.Sprintf("%q", time.Duration(d)), fmt.Sprintf("0s to %v", limit))
	}
}

func isName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, c := range name {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}
