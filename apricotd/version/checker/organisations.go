package checker

import (
	"encoding/hex"
	"fmt"
	"math"
)

const (
	maxRate  = 1e6 // requests per second
	maxBurst = 1e6 // requests
)

// An Organisation is one row of the organisations table.
type Organisation struct {
	Name string `toml:"name" json:"name"`
	// Rate is the allowed number of requests per second across the fleet.
	Rate float64 `toml:"rate" json:"rate"`
	// Burst is the number of requests allowed at once.
	Burst float64 `toml:"burst" json:"burst"`
	// Keys are the SHA-256 digests of the organisation's keys, in hexadecimal.
	Keys []string `toml:"keys" json:"keys"`
}

func checkOrganisation(errs *errorList, o *Organisation, i int, cfg *Config) {
	position := fmt.Sprintf("organisation %q (row %d)", o.Name, i+1)
	report := func(key, got, want string) { errs.add(OrganisationsTable, position, key, got, want) }
	if !isValidName(o.Name) {
		report("name", fmt.Sprintf("%q", o.Name), wantName)
	}
	if _, ok := cfg.Organisations[o.Name]; ok {
		report("name", fmt.Sprintf("%q twice", o.Name), "a name used once")
	}
	cfg.Organisations[o.Name] = o
	if !isInRange(o.Rate, 0, maxRate) {
		report("rate", fmt.Sprint(o.Rate), fmt.Sprintf("0 to %g requests per second", maxRate))
	}
	if !isInRange(o.Burst, 1, maxBurst) {
		report("burst", fmt.Sprint(o.Burst), fmt.Sprintf("1 to %g requests", maxBurst))
	}
	for _, hexDigest := range o.Keys {
		checkKey(report, hexDigest, o.Name, cfg.Keys)
	}
}

func checkKey(report func(key, got, want string), hexDigest, organisation string, keys map[KeyDigest]string) {
	var d KeyDigest
	if n, err := hex.Decode(d[:], []byte(truncate(hexDigest, 2*len(d)))); err != nil || n != len(d) || len(hexDigest) != 2*len(d) {
		report("keys", fmt.Sprintf("%q", truncate(hexDigest, 80)), "a SHA-256 digest as 64 hexadecimal digits")
		return
	}
	if other, ok := keys[d]; ok {
		report("keys", fmt.Sprintf("%s…, granted to %q as well", hexDigest[:8], other), "a key granted to one organisation")
		return
	}
	keys[d] = organisation
}

func isInRange(v, low, high float64) bool {
	return !math.IsNaN(v) && v >= low && v <= high
}

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return s[:n]
}
