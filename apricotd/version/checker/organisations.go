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
	// Rate is the number of requests per second, counted across the fleet.
	Rate float64 `toml:"rate" json:"rate"`
	// Burst is the number of requests that may come at once.
	Burst float64 `toml:"burst" json:"burst"`
	// Keys are the SHA-256 digests of the granted keys, in hexadecimal.
	Keys []string `toml:"keys" json:"keys"`
}

func checkOrganisation(f *faults, o *Organisation, i int, cfg *Config) {
	place := fmt.Sprintf("organisation %q (row %d)", o.Name, i+1)
	fault := func(key, got, want string) { f.add(OrganisationsTable, place, key, got, want) }
	if !isName(o.Name) {
		fault("name", fmt.Sprintf("%q", o.Name), nameWanted)
	}
	if _, ok := cfg.Organisations[o.Name]; ok {
		fault("name", fmt.Sprintf("%q twice", o.Name), "a name used once")
	}
	cfg.Organisations[o.Name] = o
	if !isWithin(o.Rate, 0, maxRate) {
		fault("rate", fmt.Sprint(o.Rate), fmt.Sprintf("0 to %g requests per second", maxRate))
	}
	if !isWithin(o.Burst, 1, maxBurst) {
		fault("burst", fmt.Sprint(o.Burst), fmt.Sprintf("1 to %g requests", maxBurst))
	}
	for _, text := range o.Keys {
		checkKey(fault, text, o.Name, cfg.Keys)
	}
}

func checkKey(fault func(key, got, want string), text, organisation string, keys map[KeyDigest]string) {
	var d KeyDigest
	if n, err := hex.Decode(d[:], []byte(truncate(text, 2*len(d)))); err != nil || n != len(d) || len(text) != 2*len(d) {
		fault("keys", fmt.Sprintf("%q", truncate(text, 80)), "a SHA-256 digest as 64 hexadecimal digits")
		return
	}
	if other, ok := keys[d]; ok {
		fault("keys", fmt.Sprintf("%s…, granted to %q as well", text[:8], other), "a key granted to one organisation")
		return
	}
	keys[d] = organisation
}

func isWithin(v, low, high float64) bool {
	return !math.IsNaN(v) && v >= low && v <= high
}

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return s[:n]
}
