// Package limiter holds organisations to their rates across the whole fleet.
//
// It guarantees that in any interval an organisation has no more requests
// admitted, on all nodes together, than its burst plus its rate times the
// interval. The tokens of an organisation are minted in one place at a time:
// the owner of the bucket's shard (see package leaser). Every other node
// borrows, and a token that is lost on the way is lost.
//
// A borrowed token must be spent within a short time of asking. The owner
// counts a token as outstanding for that long, and never lets the tokens in
// the bucket and those outstanding exceed the burst together; so tokens in
// flight cannot add to the burst. A new owner begins with an empty bucket.
//
// # Usage
//
//	l := &limiter.Limiter{Leaser: leaser, Finder: finder, Group: group, Peer: peer, Config: config, Self: id}
//	go l.Run(ctx)
//	err := l.Take(ctx, organisation) // nil, *ExceededError or *UnavailableError
//	response := l.Lend(request)      // for peers
//
// Requests that arrive while an exchange with the owner is under way share the
// next one, so a node exchanges at most one message at a time for each bucket.
package limiter

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/internal/process/leaser"
	"apricotrudder.dev/apricotd/version/checker"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

const (
	// bucketRate is the rate above which an organisation's rate is divided
	// over several buckets, so that no owner is asked too often.
	bucketRate = 500.0 // requests per second
	// maxWait is how long a request waits for its token.
	maxWait = 400 * time.Millisecond
	// borrowerIdle is how long an unused borrower is kept.
	borrowerIdle = time.Minute
	// holdInterval is how often the node confirms that it wants the shards
	// that it should own; every holdRounds times it computes them anew.
	holdInterval = 500 * time.Millisecond
	holdRounds   = 4
)

type (
	// A Limiter borrows tokens for this node's callers and lends those of the
	// shards that this node owns. Its exported fields must be set before use.
	Limiter struct {
		Self   string // VM
		Leaser *leaser.Leaser
		Finder *leaser.Finder
		// Group returns the group of a shard by the VM list in force.
		Group func(sharder.Shard) (sharder.Group, bool)
		Peer  func(vm string) peerwireconnect.PeerServiceClient
		// Config returns the tables in force, nil before the first.
		Config func() *checker.Config

		mu        sync.Mutex
		borrowers map[string]*borrower
		buckets   map[string]*bucket
		nextSweep time.Time
	}

	// An ExceededError reports that the organisation has used its rate.
	ExceededError struct {
		Organisation string
		RetryAfter   time.Duration
	}

	// An UnavailableError reports that no owner of the organisation's tokens
	// answered in time.
	UnavailableError struct {
		Organisation string
		RetryAfter   time.Duration
	}
)

// Error returns the organisation and the cause.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("organisation %s has used its rate", e.Organisation)
}

// Error returns the organisation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the tokens of organisation %s cannot be reached", e.Organisation)
}

// Take takes one token of the organisation.
func (l *Limiter) Take(ctx context.Context, o *checker.Organisation) error {
	n := bucketsOf(o)
	first := int(hash(l.Self) % uint64(n))
	err := l.borrower(o.Name, first).take(ctx)
	if _, exceeded := err.(*ExceededError); exceeded && n > 1 {
		return l.borrower(o.Name, (first+1)%n).take(ctx)
	}
	return err
}

// Run keeps the buckets that this node should own, so that they have an owner
// before they are needed, until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	var owned []sharder.Shard
	for round := 0; ; round++ {
		if round%holdRounds == 0 {
			owned = l.shouldOwn()
		}
		for _, id := range owned {
			l.Leaser.TryAcquire(id)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shouldOwn returns the shards of which this node is the first member.
func (l *Limiter) shouldOwn() []sharder.Shard {
	cfg := l.Config()
	if cfg == nil {
		return nil
	}
	var out []sharder.Shard
	for _, o := range cfg.Organisations {
		for index := range bucketsOf(o) {
			id := sharder.ShardOf(bucketKey(o.Name, index))
			group, ok := l.Group(id)
			if ok && len(group.Members) > 0 && group.Members[0] == l.Self {
				out = append(out, id)
			}
		}
	}
	return out
}

// bucketsOf returns the number of buckets over which a rate is divided. Each
// keeps a burst of at least one request.
func bucketsOf(o *checker.Organisation) int {
	n := math.Ceil(o.Rate / bucketRate)
	return int(max(1, min(n, math.Floor(o.Burst))))
}

func (l *Limiter) borrower(organisation string, index int) *borrower {
	key := bucketKey(organisation, index)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.borrowers == nil {
		l.borrowers = make(map[string]*borrower)
	}
	l.sweep()
	b := l.borrowers[key]
	if b == nil {
		b = &borrower{limiter: l, organisation: organisation, index: index, shard: sharder.ShardOf(key)}
		l.borrowers[key] = b
	}
	b.lastUsed = time.Now()
	return b
}

// sweep forgets borrowers that have not been used for a while.
func (l *Limiter) sweep() {
	now := time.Now()
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(borrowerIdle)
	for key, b := range l.borrowers {
		if now.Sub(b.lastUsed) > borrowerIdle {
			delete(l.borrowers, key)
		}
	}
}

func bucketKey(organisation string, index int) string {
	return fmt.Sprintf("organisation/%s/%d", organisation, index)
}
