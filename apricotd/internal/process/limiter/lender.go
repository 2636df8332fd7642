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
	// settling is the time after a change of rate or burst for which the lower
	// of the old and the new value applies, because other nodes may not know
	// the new one yet.
	settling = 4 * time.Second
	minValid = 20 * time.Millisecond
	// minPause keeps a borrower from asking again at once for a token that is
	// missing by a rounding error.
	minPause = time.Millisecond
	maxValid = 250 * time.Millisecond
)

type (
	// A bucket is the owner's account of the tokens of one bucket.
	bucket struct {
		term        *leaser.Term
		level       float64
		minted      timekeeper.Moment // up to when tokens have been minted
		outstanding []loan
		rate        share
		previous    share             // in force before the last change
		changed     timekeeper.Moment // zero: never
	}

	// A loan is a number of tokens that may still be spent.
	loan struct {
		at     timekeeper.Moment
		tokens float64
	}

	// A share is what one bucket has of an organisation's rate and burst.
	share struct {
		rate  float64 // tokens per second
		burst float64 // tokens
	}
)

// Lend answers a node that wants tokens of a bucket.
func (l *Limiter) Lend(r *peerwire.BorrowRequest) *peerwire.BorrowResponse {
	id := sharder.Shard(r.Shard)
	term := l.Leaser.TryAcquire(id)
	cfg := l.Config()
	if term == nil || cfg == nil {
		return &peerwire.BorrowResponse{NotOwner: true, Owner: l.Leaser.Owner(id)}
	}
	o := cfg.Organisations[r.Organisation]
	if o == nil {
		return &peerwire.BorrowResponse{RetryAfter: durationpb.New(settling), ValidFor: durationpb.New(maxValid)}
	}
	response := l.lend(term, o, int(r.Bucket), float64(r.Wanted))
	// The check comes after the decision: if the process was paused before it,
	// the term has run out; if it is paused after it, the answer comes too
	// late to be spent.
	if !term.IsValid() {
		return &peerwire.BorrowResponse{NotOwner: true}
	}
	return response
}

func (l *Limiter) lend(term *leaser.Term, o *checker.Organisation, index int, wanted float64) *peerwire.BorrowResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(term, o, index)
	current := b.share()
	valid := current.validFor()
	b.mint(current, valid)
	granted := math.Floor(min(wanted, b.level))
	if granted > 0 {
		b.level -= granted
		b.outstanding = append(b.outstanding, loan{timekeeper.Now(), granted})
	}
	response := &peerwire.BorrowResponse{Granted: uint32(granted), ValidFor: durationpb.New(valid)}
	if granted < wanted {
		response.RetryAfter = durationpb.New(current.timeFor(1 - b.level))
	}
	return response
}

// bucket returns the account. If another node may have owned it, it begins
// empty with the term.
func (l *Limiter) bucket(term *leaser.Term, o *checker.Organisation, index int) *bucket {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	key := bucketKey(o.Name, index)
	now := shareOf(o, index)
	b := l.buckets[key]
	if b == nil || b.term != term {
		b = &bucket{term: term, minted: term.StartedAt, rate: now}
		l.buckets[key] = b
	}
	if b.rate != now {
		b.previous = b.share()
		b.rate = now
		b.changed = timekeeper.Now()
	}
	return b
}

func shareOf(o *checker.Organisation, index int) share {
	n := bucketsOf(o)
	if index < 0 || index >= n {
		return share{}
	}
	return share{rate: o.Rate / float64(n), burst: o.Burst / float64(n)}
}

// share returns the rate and burst that apply now.
func (b *bucket) share() share {
	if b.changed.IsZero() || b.changed.Age() > settling {
		return b.rate
	}
	return share{
		rate:  min(b.rate.rate, b.previous.rate),
		burst: min(b.rate.burst, b.previous.burst),
	}
}

// mint adds the tokens of the time that has passed. Tokens in the bucket and
// outstanding ones together never exceed the burst.
func (b *bucket) mint(s share, valid time.Duration) {
	at := timekeeper.Now()
	elapsed := max(0, at.Sub(b.minted))
	b.minted = at
	outstanding := 0.0
	kept := b.outstanding[:0]
	for _, o := range b.outstanding {
		if at.Sub(o.at) <= valid {
			kept = append(kept, o)
			outstanding += o.tokens
		}
	}
	b.outstanding = kept
	b.level = max(0, min(b.level+s.rate*elapsed.Seconds(), s.burst-outstanding))
}

// validFor is how long a borrowed token may be spent: short enough that the
// tokens which are outstanding at the full rate leave half of the burst.
func (s share) validFor() time.Duration {
	if s.rate <= 0 {
		return maxValid
	}
	half := time.Duration(s.burst / s.rate / 2 * float64(time.Second))
	return min(max(half, minValid), maxValid)
}

// timeFor is the time in which so many tokens are minted.
func (s share) timeFor(tokens float64) time.Duration {
	if s.rate <= 0 {
		return settling
	}
	return max(minPause, time.Duration(tokens/s.rate*float64(time.Second)))
}
