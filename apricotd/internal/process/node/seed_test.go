package node

import "flag"

// init fixes the seed of rapid, so that property tests draw the same examples in
// every run and their results are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
