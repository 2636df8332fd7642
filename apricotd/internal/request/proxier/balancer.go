package proxier

import (
	"math/rand/v2"
	"sync"

	"apricotrudder.dev/apricotd/version/resolver"
)

// maxBalancedRoutes bounds the stored routes, including those of past versions
// of the tables.
const maxBalancedRoutes = 1024

// A poolBalancer distributes the requests of a route over its pools by weight,
// with smooth weighted round robin. Each node runs its own round robin from a
// random starting point, so that the fleet keeps to the weights even if each
// node has few requests.
type poolBalancer struct {
	mu             sync.Mutex
	currentWeights map[*resolver.Route][]float64
}

func (b *poolBalancer) pick(route *resolver.Route) string {
	if len(route.WeightedPools) == 1 {
		return route.WeightedPools[0].Pool
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	weights := b.routeWeights(route)
	best, total := 0, 0.0
	for i, p := range route.WeightedPools {
		weights[i] += p.Weight
		total += p.Weight
		if weights[i] > weights[best] {
			best = i
		}
	}
	weights[best] -= total
	return route.WeightedPools[best].Pool
}

// routeWeights returns the current weights of a route. They start anew with
// each version of a route, since its weights may have changed.
func (b *poolBalancer) routeWeights(route *resolver.Route) []float64 {
	weights, ok := b.currentWeights[route]
	if ok {
		return weights
	}
	if b.currentWeights == nil || len(b.currentWeights) > maxBalancedRoutes {
		b.currentWeights = make(map[*resolver.Route][]float64)
	}
	weights = make([]float64, len(route.WeightedPools))
	for i, p := range route.WeightedPools {
		weights[i] = p.Weight * rand.Float64()
	}
	b.currentWeights[route] = weights
	return weights
}
