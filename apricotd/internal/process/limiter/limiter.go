// Package limiter holds organisations to their rates.
package limiter

import (
	"context"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

type (
	// A Limiter gives out the tokens of organisations.
	Limiter struct {
		mu      sync.Mutex
		buckets map[string]*bucket
	}

	bucket struct {
		tokens float64
		at     time.Time
	}
)

// Take takes one token. If there is none it returns how long to wait.
func (l *Limiter) Take(_ context.Context, o *checker.Organisation) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	now := time.Now()
	b := l.buckets[o.Name]
	if b == nil {
		b = &bucket{tokens: o.Burst, at: now}
		l.buckets[o.Name] = b
	}
	b.tokens = min(o.Burst, b.tokens+o.Rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if o.Rate == 0 {
		return time.Minute, false
	}
	return time.Duration((1 - b.tokens) / o.Rate * float64(time.Second)), false
}
