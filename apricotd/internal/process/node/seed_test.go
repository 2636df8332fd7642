package node

import "flag"

// The same examples are drawn in every run, so that the verdict is the same.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
