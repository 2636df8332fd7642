package limiter

import (
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/internal/process/leaser"
	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

const (
	// rateChangeDelay is how long after a change of rate or burst the lower of
	// the old and the new value applies, because other nodes may not have the
	// new one yet.
	rateChangeDelay  = 4 * time.Second
	minTokenLifetime = 20 * time.Millisecond
	// minRetryAfter prevents an immediate retry when a rounding error leaves the
	// bucket just short of a token.
	minRetryAfter    = time.Millisecond
	maxTokenLifetime = 250 * time.Millisecond
)

type (
	// A bucket is the owner's state of one token bucket.
	bucket struct {
		term        *leaser.Term
		level       float64
		refilledAt  timekeeper.Instant // tokens have been added up to this time
		outstanding []loan
		configured  share              // according to the current tables
		previous    share              // in effect before the last change
		changedAt   timekeeper.Instant // when configured last changed; zero: never
	}

	// A loan is a number of borrowed tokens that can still be spent.
	loan struct {
		lentAt timekeeper.Instant
		tokens float64
	}

	// A share is the part of an organisation's rate and burst that one bucket
	// has.
	share struct {
		rate  float64 // tokens per second
		burst float64 // tokens
	}
)

// Lend handles a node's request for tokens of a bucket.
func (l *Limiter) Lend(r *peerwire.BorrowRequest) *peerwire.BorrowResponse {
	id := sharder.Shard(r.Shard)
	term := l.Leaser.TryAcquire(id)
	cfg := l.Config()
	if term == nil || cfg == nil {
		return &peerwire.BorrowResponse{NotOwner: true, Owner: l.Leaser.Owner(id)}
	}
	o := cfg.Organisations[r.Organisation]
	if o == nil {
		return &peerwire.BorrowResponse{RetryAfter: durationpb.New(rateChangeDelay), ValidFor: durationpb.New(maxTokenLifetime)}
	}
	response := l.lend(term, o, int(r.Bucket), float64(r.Wanted))
	// The term must be checked after the decision: if the process was paused
	// before the check, the term has expired. If it is paused after the check,
	// the response arrives too late for the tokens to be spent.
	if !term.IsValid() {
		return &peerwire.BorrowResponse{NotOwner: true}
	}
	return response
}

func (l *Limiter) lend(term *leaser.Term, o *checker.Organisation, index int, wanted float64) *peerwire.BorrowResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(term, o, index)
	current := b.effectiveShare()
	lifetime := current.tokenLifetime()
	b.refill(current, lifetime)
	granted := math.Floor(min(wanted, b.level))
	if granted > 0 {
		b.level -= granted
		b.outstanding = append(b.outstanding, loan{timekeeper.Now(), granted})
	}
	response := &peerwire.BorrowResponse{Granted: uint32(granted), ValidFor: durationpb.New(lifetime)}
	if granted < wanted {
		response.RetryAfter = durationpb.New(current.refillTime(1 - b.level))
	}
	return response
}

// bucket returns the bucket of an organisation. If another node may have owned it
// since it was last used, it starts empty at the beginning of the term.
func (l *Limiter) bucket(term *leaser.Term, o *checker.Organisation, index int) *bucket {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	key := bucketKey(o.Name, index)
	current := shareOf(o, index)
	b := l.buckets[key]
	if b == nil || b.term != term {
		b = &bucket{term: term, refilledAt: term.StartedAt, configured: current}
		l.buckets[key] = b
	}
	if b.configured != current {
		b.previous = b.effectiveShare()
		b.configured = current
		b.changedAt = timekeeper.Now()
	}
	return b
}

func shareOf(o *checker.Organisation, index int) share {
	n := bucketCount(o)
	if index < 0 || index >= n {
		return share{}
	}
	return share{rate: o.Rate / float64(n), burst: o.Burst / float64(n)}
}

// effectiveShare returns the rate and burst that currently apply.
func (b *bucket) effectiveShare() share {
	if b.changedAt.IsZero() || b.changedAt.Age() > rateChangeDelay {
		return b.configured
	}
	return share{
		rate:  min(b.configured.rate, b.previous.rate),
		burst: min(b.configured.burst, b.previous.burst),
	}
}

// refill adds the tokens for the time since the last call. Tokens in the bucket and
// outstanding tokens together never exceed the burst.
func (b *bucket) refill(s share, lifetime time.Duration) {
	now := timekeeper.Now()
	elapsed := max(0, now.Sub(b.refilledAt))
	b.refilledAt = now
	outstanding := 0.0
	kept := b.outstanding[:0]
	for _, o := range b.outstanding {
		if now.Sub(o.lentAt) <= lifetime {
			kept = append(kept, o)
			outstanding += o.tokens
		}
	}
	b.outstanding = kept
	b.level = max(0, min(b.level+s.rate*elapsed.Seconds(), s.burst-outstanding))
}

// tokenLifetime returns how long a borrowed token can be spent: short enough that
// tokens borrowed at the full rate keep at most half of the burst outstanding.
func (s share) tokenLifetime() time.Duration {
	if s.rate <= 0 {
		return maxTokenLifetime
	}
	halfBurstTime := time.Duration(s.burst / s.rate / 2 * float64(time.Second))
	return min(max(halfBurstTime, minTokenLifetime), maxTokenLifetime)
}

// refillTime returns the time in which that many tokens are added.
func (s share) refillTime(tokens float64) time.Duration {
	if s.rate <= 0 {
		return rateChangeDelay
	}
	return max(minRetryAfter, time.Duration(tokens/s.rate*float64(time.Second)))
}
