// Package limiter enforces the rate limits of organisations across the fleet.
//
// In any interval, the number of requests admitted for an organisation on all nodes
// together does not exceed its burst plus its rate times the interval. Only one
// node at a time adds tokens to a bucket of the organisation: the owner of the
// bucket's shard (see package leaser). All other nodes borrow tokens from it. A
// token that is lost in transit is not replaced.
//
// A borrowed token must be spent within a short time of the request for it. Until
// then the owner counts it as outstanding. Tokens in the bucket and outstanding
// tokens together never exceed the burst, so tokens in transit cannot add to the
// burst. A new owner starts with an empty bucket.
//
// # Usage
//
//	l := &limiter.Limiter{Leaser: leaser, OwnerCache: ownerCache, Group: group, Peer: peer, Config: config, Self: id}
//	go l.Run(ctx)
//	err := l.Take(ctx, organisation) // nil, *ExceededError or *UnavailableError
//	response := l.Lend(request)      // for peers
//
// Requests that arrive during a call to the owner share the next call, so a node has
// at most one call per bucket in progress.
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
	// maxBucketRate is the rate above which an organisation's rate is divided
	// among several buckets, to limit the load on one owner.
	maxBucketRate = 500.0 // requests per second
	// maxOwnerWait is how long a request waits while no owner answers.
	maxOwnerWait = 400 * time.Millisecond
	// borrowerIdleTimeout is how long an unused borrower is kept.
	borrowerIdleTimeout = time.Minute
	// acquireInterval is how often the node acquires the shards for which it is
	// the preferred owner. It determines these shards again every
	// recomputeRounds intervals.
	acquireInterval = 500 * time.Millisecond
	recomputeRounds = 4
)

type (
	// A Limiter borrows tokens for the requests on this node and lends the tokens
	// of the shards that this node owns. Its exported fields must be set before
	// use.
	Limiter struct {
		Self       string // VM id
		Leaser     *leaser.Leaser
		OwnerCache *leaser.OwnerCache
		// Group returns the group of a shard according to the current VM list.
		Group func(sharder.Shard) (sharder.Group, bool)
		Peer  func(vm string) peerwireconnect.PeerServiceClient
		// Config returns the current tables, or nil if there are none yet.
		Config func() *checker.Config

		mu        sync.Mutex
		borrowers map[string]*borrower
		buckets   map[string]*bucket
		nextSweep time.Time
	}

	// An ExceededError reports that an organisation has exceeded its rate.
	ExceededError struct {
		Organisation string
		RetryAfter   time.Duration
	}

	// An UnavailableError reports that no owner of an organisation's tokens
	// answered in time.
	UnavailableError struct {
		Organisation string
		RetryAfter   time.Duration
	}
)

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("organisation %s exceeded its rate", e.Organisation)
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the tokens of organisation %s cannot be reached", e.Organisation)
}

// Take takes one token of the organisation. If the rate of the bucket that this node
// uses first is exceeded, it tries the next bucket.
func (l *Limiter) Take(ctx context.Context, o *checker.Organisation) error {
	n := bucketCount(o)
	first := int(hash(l.Self) % uint64(n))
	err := l.borrower(o.Name, first).take(ctx)
	if _, exceeded := err.(*ExceededError); exceeded && n > 1 {
		return l.borrower(o.Name, (first+1)%n).take(ctx)
	}
	return err
}

// Run acquires and keeps the shards for which this node is the preferred owner, so
// that they have an owner before they are needed. It returns when the context ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(acquireInterval)
	defer ticker.Stop()
	var preferred []sharder.Shard
	for round := 0; ; round++ {
		if round%recomputeRounds == 0 {
			preferred = l.preferredShards()
		}
		for _, id := range preferred {
			l.Leaser.TryAcquire(id)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// preferredShards returns the shards of whose group this node is the first member.
func (l *Limiter) preferredShards() []sharder.Shard {
	cfg := l.Config()
	if cfg == nil {
		return nil
	}
	var out []sharder.Shard
	for _, o := range cfg.Organisations {
		for index := range bucketCount(o) {
			id := sharder.ShardOf(bucketKey(o.Name, index))
			group, ok := l.Group(id)
			if ok && len(group.Members) > 0 && group.Members[0] == l.Self {
				out = append(out, id)
			}
		}
	}
	return out
}

// bucketCount returns the number of buckets among which the organisation's rate is
// divided. Each bucket has a burst of at least one request.
func bucketCount(o *checker.Organisation) int {
	n := math.Ceil(o.Rate / maxBucketRate)
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

// sweep deletes borrowers that have not been used for borrowerIdleTimeout.
func (l *Limiter) sweep() {
	now := time.Now()
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(borrowerIdleTimeout)
	for key, b := range l.borrowers {
		if now.Sub(b.lastUsed) > borrowerIdleTimeout {
			delete(l.borrowers, key)
		}
	}
}

func bucketKey(organisation string, index int) string {
	return fmt.Sprintf("organisation/%s/%d", organisation, index)
}
