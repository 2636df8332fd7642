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

	defaultQueueWait = 50 * time.Millisecond
	defaultBodyLimit = 1 << 20  // bytes
	maxBodyLimit     = 64 << 20 // bytes
	wantName         = "1 to 64 letters, digits, '-', '_' or '.'"
	maxNameLength    = 64
	wantCrossRegion  = `"never", "critical" or "always"`
)

// Values of CrossRegion.
const (
	CrossRegionNever    CrossRegion = "never"
	CrossRegionCritical CrossRegion = "critical"
	CrossRegionAlways   CrossRegion = "always"
)

type (
	// A CrossRegion determines which requests may be sent to backend servers in
	// another region while none in the local region has free capacity.
	CrossRegion string

	// A Pool is one row of the pools table and describes the backend servers of a
	// service.
	Pool struct {
		Name string `toml:"name" json:"name"`
		// Slots is the maximum number of concurrent requests of a backend server.
		Slots uint32 `toml:"slots" json:"slots"`
		// Connections is the maximum number of connections that a backend server
		// accepts.
		Connections uint32 `toml:"connections" json:"connections"`
		// QueueWait is the longest time a request is queued for a slot.
		QueueWait decoder.Duration `toml:"queueWait" json:"queueWait"`
		// ColdStart is the slow-start period during which a new backend server's
		// share of requests is raised to its full value.
		ColdStart decoder.Duration `toml:"coldStart" json:"coldStart"`
		// BodyLimit bounds the size of request and response bodies, in bytes.
		BodyLimit   uint32      `toml:"bodyLimit" json:"bodyLimit"`
		CrossRegion CrossRegion `toml:"crossRegion" json:"crossRegion"`
	}
)

func checkPool(errs *errorList, p *Pool, i int, pools map[string]*Pool) {
	position := fmt.Sprintf("pool %q (row %d)", p.Name, i+1)
	report := func(key, got, want string) { errs.add(PoolsTable, position, key, got, want) }
	setPoolDefaults(p)
	if !isValidName(p.Name) {
		report("name", fmt.Sprintf("%q", p.Name), wantName)
	}
	if _, ok := pools[p.Name]; ok {
		report("name", fmt.Sprintf("%q twice", p.Name), "a name used once")
	}
	pools[p.Name] = p
	if p.Slots == 0 || p.Slots > maxSlots {
		report("slots", fmt.Sprint(p.Slots), fmt.Sprintf("1 to %d", maxSlots))
	}
	if p.Connections < p.Slots || p.Connections > maxConnections {
		report("connections", fmt.Sprint(p.Connections), fmt.Sprintf("at least the slots and at most %d", maxConnections))
	}
	if p.BodyLimit > maxBodyLimit {
		report("bodyLimit", fmt.Sprint(p.BodyLimit), fmt.Sprintf("at most %d bytes", maxBodyLimit))
	}
	checkDuration(report, "queueWait", p.QueueWait, maxQueueWait)
	checkDuration(report, "coldStart", p.ColdStart, maxColdStart)
	switch p.CrossRegion {
	case CrossRegionNever, CrossRegionCritical, CrossRegionAlways:
	default:
		report("crossRegion", fmt.Sprintf("%q", p.CrossRegion), wantCrossRegion)
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

func checkDuration(report func(key, got, want string), key string, d decoder.Duration, limit time.Duration) {
	if d < 0 || time.Duration(d) > limit {
		report(key, fmt.Sprintf("%q", time.Duration(d)), fmt.Sprintf("0s to %v", limit))
	}
}

func isValidName(name string) bool {
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
