package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"apricotrudder.dev/apricotd/internal/process/timekeeper"
	"apricotrudder.dev/apricotd/version/locator"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

const (
	// borrowTimeout limits one Borrow call to an owner.
	borrowTimeout = 150 * time.Millisecond
	// ownerRetryInterval is the pause between calls while the owner is not known.
	ownerRetryInterval = 20 * time.Millisecond
	// maxEmptyBucketPause is the longest pause after the bucket had too few
	// tokens.
	maxEmptyBucketPause = 50 * time.Millisecond
	// maxTokenWait is how long a request waits while the bucket is empty.
	maxTokenWait          = 100 * time.Millisecond
	unavailableRetryAfter = time.Second
	initialWaiterCapacity = 16
)

type (
	// A borrower obtains the tokens of one bucket for all requests on this node.
	borrower struct {
		limiter      *Limiter
		organisation string
		index        int
		shard        sharder.Shard
		lastUsed     time.Time // guarded by Limiter.mu

		mu      sync.Mutex
		waiting []*waiter
		running bool
	}

	waiter struct {
		startedAt time.Time
		done      chan error // receives the result once
	}
)

func (b *borrower) take(ctx context.Context) error {
	w := &waiter{startedAt: time.Now(), done: make(chan error, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		// A token granted to w from now on is lost.
		return &UnavailableError{Organisation: b.organisation}
	}
}

// run borrows tokens from the owner while requests are waiting.
func (b *borrower) run() {
	for {
		wanted := b.countOrStop()
		if wanted == 0 {
			return
		}
		requestedAt := timekeeper.Now()
		r, err := b.borrow(uint32(wanted))
		switch {
		case err != nil || r.NotOwner:
			b.refuse(maxOwnerWait, &UnavailableError{Organisation: b.organisation, RetryAfter: unavailableRetryAfter})
			time.Sleep(ownerRetryInterval)
		case requestedAt.Age() > r.ValidFor.AsDuration():
			// The tokens have expired; the owner no longer counts them as
			// outstanding.
			b.refuse(maxOwnerWait, &UnavailableError{Organisation: b.organisation, RetryAfter: unavailableRetryAfter})
		default:
			b.grant(int(r.Granted))
			b.handleShortage(r, wanted)
		}
	}
}

// handleShortage refuses the requests that got no token, except those that may wait
// a little longer for the next one.
func (b *borrower) handleShortage(r *peerwire.BorrowResponse, wanted int) {
	if int(r.Granted) >= wanted {
		return
	}
	retryAfter := r.RetryAfter.AsDuration()
	maxAge := maxTokenWait
	if retryAfter > maxTokenWait {
		maxAge = 0
	}
	b.refuse(maxAge, &ExceededError{Organisation: b.organisation, RetryAfter: retryAfter})
	time.Sleep(min(retryAfter, maxEmptyBucketPause))
	b.refuse(maxAge, &ExceededError{Organisation: b.organisation, RetryAfter: retryAfter})
}

// countOrStop returns the number of waiting requests. If there are none, it marks
// the borrower as stopped.
func (b *borrower) countOrStop() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running = false
	}
	return len(b.waiting)
}

// grant admits up to n requests, those that have waited longest first.
func (b *borrower) grant(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, len(b.waiting))
	for _, w := range b.waiting[:n] {
		w.done <- nil
	}
	b.waiting = append(make([]*waiter, 0, initialWaiterCapacity), b.waiting[n:]...)
}

// refuse ends the wait of requests that have waited for at least minAge with err.
func (b *borrower) refuse(minAge time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []*waiter
	for _, w := range b.waiting {
		if time.Since(w.startedAt) < minAge {
			kept = append(kept, w)
			continue
		}
		w.done <- err
	}
	b.waiting = kept
}

func (b *borrower) borrow(wanted uint32) (*peerwire.BorrowResponse, error) {
	r := &peerwire.BorrowRequest{
		Shard:        uint32(b.shard),
		Organisation: b.organisation,
		Bucket:       uint32(b.index),
		Wanted:       wanted,
	}
	ownerCache := b.limiter.OwnerCache
	vm, ok := ownerCache.Target(b.shard)
	if !ok {
		return nil, fmt.Errorf("borrow for organisation %s: no group is known for shard %d", b.organisation, b.shard)
	}
	response, err := b.borrowFrom(vm, r)
	switch {
	case err != nil:
		ownerCache.RecordMiss(b.shard, vm, "")
		return nil, err
	case response.NotOwner:
		ownerCache.RecordMiss(b.shard, vm, response.Owner)
	default:
		ownerCache.RecordOwner(b.shard, vm)
	}
	return response, nil
}

func (b *borrower) borrowFrom(vm string, r *peerwire.BorrowRequest) (*peerwire.BorrowResponse, error) {
	if vm == b.limiter.Self {
		return b.limiter.Lend(r), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	response, err := b.limiter.Peer(vm).Borrow(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, fmt.Errorf("borrow from %s: %w", vm, err)
	}
	return response.Msg, nil
}

func hash(s string) uint64 {
	return locator.Hash("borrower", s)
}
