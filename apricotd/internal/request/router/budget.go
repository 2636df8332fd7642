package router

import (
	"sync"

	"apricotrudder.dev/apricotd/version/checker"
)

const (
	// DefaultRatio is the number of retries added per answered request.
	DefaultRatio = 0.1
	// DefaultMax is the largest number of retries that a budget can hold.
	DefaultMax = 10.0
)

// A Budget limits the retries sent to each pool to a fraction of the requests
// that the pool answered, so that retries cannot keep an overloaded pool
// overloaded. Each class has a separate budget, so that lower classes cannot use
// up the retries of higher ones. Its exported fields must be set before use.
type Budget struct {
	Ratio float64 // retries added per answered request
	Max   float64 // limit and initial value for each pool and class

	mu       sync.Mutex
	balances map[budgetKey]float64
}

type budgetKey struct {
	pool  string
	class checker.Class
}

// Earn adds to a pool's budget after an answered request.
func (b *Budget) Earn(pool string, class checker.Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.balance(budgetKey{pool, class})
	b.balances[budgetKey{pool, class}] = min(n+b.Ratio, b.Max)
}

// Spend takes one retry from a pool's budget. It returns false if none is left.
func (b *Budget) Spend(pool string, class checker.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.balance(budgetKey{pool, class})
	if n < 1 {
		return false
	}
	b.balances[budgetKey{pool, class}] = n - 1
	return true
}

func (b *Budget) balance(key budgetKey) float64 {
	if b.balances == nil {
		b.balances = make(map[budgetKey]float64)
	}
	n, ok := b.balances[key]
	if !ok {
		return b.Max
	}
	return n
}
