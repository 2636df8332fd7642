package checker

import "flag"

// Fixes the seed, so that every run draws the same examples.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
