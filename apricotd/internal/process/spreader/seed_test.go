package spreader

import "flag"

// A fixed seed makes rapid generate the same examples, and thus give the same
// result, in every run.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
