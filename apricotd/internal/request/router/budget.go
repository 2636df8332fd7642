package router

import "sync"

const (
	// budgetRatio is the number of retries that one answer earns.
	budgetRatio = 0.1
	// budgetMax bounds the retries that a quiet pool can save up.
	budgetMax = 10.0
)

// A Budget bounds the retries into each pool to a fraction of its answers, so
// that retries cannot keep an overloaded pool overloaded.
type Budget struct {
	mu    sync.Mutex
	pools map[string]float64
}

// Earn adds to a pool's budget after an answer.
func (b *Budget) Earn(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.balance(pool)
	b.pools[pool] = min(n+budgetRatio, budgetMax)
}

// Spend takes one retry out of a pool's budget, if there is one.
func (b *Budget) Spend(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.balance(pool)
	if n < 1 {
		return false
	}
	b.pools[pool] = n - 1
	return true
}

func (b *Budget) balance(pool string) float64 {
	if b.pools == nil {
		b.pools = make(map[string]float64)
	}
	n, ok := b.pools[pool]
	if !ok {
		return budgetMax
	}
	return n
}
