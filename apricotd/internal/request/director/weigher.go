package director

import (
	"math/rand/v2"
	"sync"

	"apricotrudder.dev/apricotd/version/resolver"
)

// maxWeighed bounds the routes of past versions that are kept.
const maxWeighed = 1024

// A weigher divides the requests of a route among its pools by weight. Each
// node goes round by itself (smooth weighted round robin) and begins at a
// random place, so the fleet keeps the weights also where a node has few
// requests.
type weigher struct {
	mu     sync.Mutex
	credit map[*resolver.Route][]float64
}

func (w *weigher) pick(route *resolver.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Pool
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	credit := w.credits(route)
	best, total := 0, 0.0
	for i, p := range route.Parts {
		credit[i] += p.Weight
		total += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return route.Parts[best].Pool
}

// credits starts anew with each version of a route, whose weights may differ.
func (w *weigher) credits(route *resolver.Route) []float64 {
	credit, ok := w.credit[route]
	if ok {
		return credit
	}
	if w.credit == nil || len(w.credit) > maxWeighed {
		w.credit = make(map[*resolver.Route][]float64)
	}
	credit = make([]float64, len(route.Parts))
	for i, p := range route.Parts {
		credit[i] = p.Weight * rand.Float64()
	}
	w.credit[route] = credit
	return credit
}
