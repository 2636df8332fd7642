package resolver

import (
	"fmt"
	"testing"
)

// Guards against operators who are not told which requests the tables cause to be refused.
func TestHomeConflict(t *testing.T) {
	r := New(&Tables{
		Routes: []*Route{
			{Name: "a"}, {Name: "b", Homes: []string{"x", "y"}}, {Name: "c", Homes: []string{"y", "x"}},
			{Name: "d", Homes: []string{"z"}}, {Name: "e", Homes: []string{"z"}, Public: true},
		},
		Organisations: []*Organisation{
			{Name: "m"}, {Name: "n", Homes: []string{"z"}}, {Name: "o", Homes: []string{"x"}}, {Name: "p", Homes: []string{"x"}},
		},
	})
	if got, want := fmt.Sprint(r.HomeConflict()), "{b n 4}"; got != want {
		t.Errorf("conflict: got %s, want %s: b and c against n, d against o and p", got, want)
	}
}

// Guards against a cost of home regions for requests that have none.
func TestHomesAllocateOnlyForBoth(t *testing.T) {
	free, bound, o := &Route{}, &Route{Homes: []string{"x"}}, &Organisation{Homes: []string{"x"}}
	if n := testing.AllocsPerRun(100, func() { Homes(free, nil); Homes(free, o); Homes(bound, &Organisation{}) }); n != 0 {
		t.Errorf("allocations: got %v, want 0", n)
	}
}
