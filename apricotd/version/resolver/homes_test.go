package resolver

import (
	"fmt"
	"testing"
)

// Guards against operators who are not told which requests the tables cause to be refused.
func TestHomeConflict(t *testing.T) {
	r := New(&Tables{
		Routes: []*Route{
			{Name: "a"}, {Name: "b", HomeRegions: []string{"x", "y"}}, {Name: "c", HomeRegions: []string{"y", "x"}},
			{Name: "d", HomeRegions: []string{"z"}}, {Name: "e", HomeRegions: []string{"z"}, Public: true},
		},
		Organisations: []*Organisation{
			{Name: "m"}, {Name: "n", HomeRegions: []string{"z"}}, {Name: "o", HomeRegions: []string{"x"}}, {Name: "p", HomeRegions: []string{"x"}},
		},
	})
	if got, want := fmt.Sprint(r.HomeConflict()), "{b n 4}"; got != want {
		t.Errorf("conflict: got %s, want %s: b and c against n, d against o and p", got, want)
	}
}

// Guards against a cost of home regions for requests that have none.
func TestHomesAllocateOnlyForBoth(t *testing.T) {
	free, bound, o := &Route{}, &Route{HomeRegions: []string{"x"}}, &Organisation{HomeRegions: []string{"x"}}
	if n := testing.AllocsPerRun(100, func() { Homes(free, nil); Homes(free, o); Homes(bound, &Organisation{}) }); n != 0 {
		t.Errorf("allocations: got %v, want 0", n)
	}
}
