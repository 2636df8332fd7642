package router

import (
	"sync"

	"apricotrudder.dev/apricotd/version/checker"
)

const (
	// DefaultRatio is the number of retries that one answer earns.
	DefaultRatio = 0.1
	// DefaultMax bounds the retries that a quiet pool can save up.
	DefaultMax = 10.0
)

// A Budget bounds the retries into each pool to a fraction of its answers, so
// that retries cannot keep an overloaded pool overloaded. Each class has its
// own, so that lower classes cannot use up what higher ones need. Its exported
// fields must be set before use.
type Budget struct {
	Ratio float64 // retries that one answer earns
	Max   float64 // retries that a pool can save up

	mu       sync.Mutex
	balances map[poolClass]float64
}

type poolClass struct {
	pool  string
	class checker.Class
}

// Earn adds to a pool's budget after an answer.
func (b *Budget) Earn(pool string, class checker.Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.balance(poolClass{pool, class})
	b.balances[poolClass{pool, class}] = min(n+b.Ratio, b.Max)
}

// Spend takes one retry out of a pool's budget, if there is one.
func (b *Budget) Spend(pool string, class checker.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.balance(poolClass{pool, class})
	if n < 1 {
		return false
	}
	b.balances[poolClass{pool, class}] = n - 1
	return true
}

func (b *Budget) balance(key poolClass) float64 {
	if b.balances == nil {
		b.balances = make(map[poolClass]float64)
	}
	n, ok := b.balances[key]
	if !ok {
		return b.Max
	}
	return n
}
