package resolver

import (
	"slices"
	"strings"
)

// A HomeConflict is a set of routes and organisations that have home regions, but none
// in common, so that requests of these organisations on these routes are refused.
type HomeConflict struct {
	Route, Organisation string // one of the pairs
	Count               int    // of pairs of a route and an organisation
}

// Homes returns the only regions in which requests on a route for an organisation may
// be served: those of both if both have home regions. nil means any region, an empty
// slice that is not nil means none. The organisation may be nil.
func Homes(route *Route, o *Organisation) []string {
	switch {
	case o == nil || len(o.Homes) == 0:
		return nonEmpty(route.Homes)
	case len(route.Homes) == 0:
		return o.Homes
	}
	return intersection(route.Homes, o.Homes)
}

// HomesByName is Homes for names. It returns false if the tables have no such route. An
// organisation that they do not have counts as one without home regions.
func (r *Resolver) HomesByName(route, organisation string) ([]string, bool) {
	found, ok := r.routeByName[route]
	if !ok {
		return nil, false
	}
	return Homes(found, r.organisationByName[organisation]), true
}

// HomeConflict returns the routes and organisations without a common home region.
// Public routes are left out, since their requests have no organisation. It costs one
// comparison for each pair of different sets of regions.
func (r *Resolver) HomeConflict() HomeConflict {
	var c HomeConflict
	organisations := make(map[string][]*Organisation)
	for _, o := range r.Tables.Organisations {
		if len(o.Homes) > 0 {
			key := setKey(o.Homes)
			organisations[key] = append(organisations[key], o)
		}
	}
	checked := make(map[string]int) // organisations in conflict, by set of a route
	for _, route := range r.Tables.Routes {
		if len(route.Homes) == 0 || route.Public {
			continue
		}
		key := setKey(route.Homes)
		count, ok := checked[key]
		if !ok {
			for _, group := range organisations {
				if len(intersection(route.Homes, group[0].Homes)) > 0 {
					continue
				}
				count += len(group)
				if c.Route == "" || c.Route == route.Name && group[0].Name < c.Organisation {
					c.Route, c.Organisation = route.Name, group[0].Name
				}
			}
			checked[key] = count
		}
		c.Count += count
	}
	return c
}

func nonEmpty(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

// intersection returns the regions in both, and an empty slice if there are none.
func intersection(a, b []string) []string {
	out := make([]string, 0, min(len(a), len(b)))
	for _, region := range a {
		if slices.Contains(b, region) {
			out = append(out, region)
		}
	}
	return out
}

func setKey(regions []string) string {
	return strings.Join(slices.Sorted(slices.Values(regions)), "\x00")
}
