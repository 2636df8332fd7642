package admitter

import (
	"time"
)

const (
	// minTokens and burstTime determine the tokens that accumulate while no
	// requests start: minTokens, and those of burstTime at the limited rate.
	minTokens = 1
	burstTime = 250 * time.Millisecond
	// maxTokenWait bounds the computed waits, which are infinite at a rate of 0.
	maxTokenWait = time.Hour
	// TokenTolerance is the fraction of a token that may be missing, so that
	// rounding does not delay a request whose time has come.
	TokenTolerance = 1e-6
)

// A pacer is the token bucket of a limited rate. It is empty when the limit comes
// into force, because the server is still busy with earlier requests. The zero
// value does not limit the rate.
type pacer struct {
	limited    bool
	rate       float64 // tokens per second
	tokens     float64
	refilledAt time.Time
}

// set changes the rate. Tokens that were received at the old rate remain.
func (p *pacer) set(limited bool, rate float64, now time.Time) {
	switch {
	case !limited:
		*p = pacer{}
	case !p.limited:
		*p = pacer{limited: true, rate: rate, refilledAt: now}
	default:
		p.refill(now)
		p.rate = rate
	}
}

func (p *pacer) refill(now time.Time) {
	p.tokens = min(p.capacity(), p.tokens+p.rate*now.Sub(p.refilledAt).Seconds())
	p.refilledAt = now
}

func (p *pacer) capacity() float64 { return minTokens + p.rate*burstTime.Seconds() }

// untilToken returns the time until n requests may start.
func (p *pacer) untilToken(now time.Time, n int) time.Duration {
	if !p.limited {
		return 0
	}
	p.refill(now)
	return UntilTokens(float64(n)-p.tokens, p.rate)
}

// UntilTokens returns the time in which a token bucket gets the tokens that it lacks, at a
// rate in tokens per second.
func UntilTokens(missing, rate float64) time.Duration {
	if missing <= TokenTolerance {
		return 0
	}
	if missing >= rate*maxTokenWait.Seconds() {
		return maxTokenWait
	}
	return max(1, time.Duration(missing/rate*float64(time.Second)))
}

// take uses the token of a request that starts.
func (p *pacer) take(now time.Time) {
	if !p.limited {
		return
	}
	p.refill(now)
	p.tokens--
}

// utilisation returns the fraction of the bucket that is used up, counting one
// token for each waiting request. It is 1 if no request may start now.
func (p *pacer) utilisation(now time.Time, waiting int) float64 {
	p.refill(now)
	used := p.capacity() - p.tokens + float64(waiting)
	if p.tokens < minTokens-TokenTolerance {
		return max(1, used/p.capacity())
	}
	return used / p.capacity()
}
