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
	// borrowTimeout bounds one exchange with an owner.
	borrowTimeout = 150 * time.Millisecond
	// ownerPause separates the questions to members of a group without owner.
	ownerPause = 20 * time.Millisecond
	// dryPause is the longest pause after the owner had no token.
	dryPause = 50 * time.Millisecond
	// shortWait is how long a request waits for a token that is not there yet.
	shortWait         = 100 * time.Millisecond
	unavailableRetry  = time.Second
	borrowWaitersHint = 16
)

type (
	// A borrower gets the tokens of one bucket for all of this node's requests.
	borrower struct {
		limiter      *Limiter
		organisation string
		index        int
		shard        sharder.Shard
		lastUsed     time.Time // guarded by the limiter

		mu      sync.Mutex
		waiting []*waiter
		running bool
	}

	waiter struct {
		since time.Time
		done  chan error // receives the verdict, once
	}
)

func (b *borrower) take(ctx context.Context) error {
	w := &waiter{since: time.Now(), done: make(chan error, 1)}
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
		// The token that w may still get is lost.
		return &UnavailableError{Organisation: b.organisation}
	}
}

// run exchanges messages with the owner while requests wait.
func (b *borrower) run() {
	for {
		wanted := b.waiters()
		if wanted == 0 {
			return
		}
		asked := timekeeper.Now()
		r, err := b.ask(uint32(wanted))
		switch {
		case err != nil || r.NotOwner:
			b.refuse(maxWait, &UnavailableError{Organisation: b.organisation, RetryAfter: unavailableRetry})
			time.Sleep(ownerPause)
		case asked.Age() > r.ValidFor.AsDuration():
			// Too late to be spent; the owner no longer counts the tokens.
			b.refuse(maxWait, &UnavailableError{Organisation: b.organisation, RetryAfter: unavailableRetry})
		default:
			b.grant(int(r.Granted))
			b.rest(r, wanted)
		}
	}
}

// rest deals with the requests for which there was no token: they wait for the
// next one, but not long.
func (b *borrower) rest(r *peerwire.BorrowResponse, wanted int) {
	if int(r.Granted) >= wanted {
		return
	}
	after := r.RetryAfter.AsDuration()
	limit := shortWait
	if after > shortWait {
		limit = 0
	}
	b.refuse(limit, &ExceededError{Organisation: b.organisation, RetryAfter: after})
	time.Sleep(min(after, dryPause))
	b.refuse(limit, &ExceededError{Organisation: b.organisation, RetryAfter: after})
}

// waiters returns the number of requests that wait, and ends the run if there
// are none.
func (b *borrower) waiters() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running = false
	}
	return len(b.waiting)
}

// grant lets the requests that have waited longest go.
func (b *borrower) grant(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, len(b.waiting))
	for _, w := range b.waiting[:n] {
		w.done <- nil
	}
	b.waiting = append(make([]*waiter, 0, borrowWaitersHint), b.waiting[n:]...)
}

// refuse ends the wait of requests that have waited for at least limit.
func (b *borrower) refuse(limit time.Duration, verdict error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []*waiter
	for _, w := range b.waiting {
		if time.Since(w.since) < limit {
			kept = append(kept, w)
			continue
		}
		w.done <- verdict
	}
	b.waiting = kept
}

func (b *borrower) ask(wanted uint32) (*peerwire.BorrowResponse, error) {
	r := &peerwire.BorrowRequest{
		Shard:        uint32(b.shard),
		Organisation: b.organisation,
		Bucket:       uint32(b.index),
		Wanted:       wanted,
	}
	finder := b.limiter.Finder
	vm, ok := finder.Target(b.shard)
	if !ok {
		return nil, fmt.Errorf("borrow for %s: got no group of shard %d", b.organisation, b.shard)
	}
	response, err := b.askVM(vm, r)
	switch {
	case err != nil:
		finder.RecordMiss(b.shard, vm, "")
		return nil, err
	case response.NotOwner:
		finder.RecordMiss(b.shard, vm, response.Owner)
	default:
		finder.RecordOwner(b.shard, vm)
	}
	return response, nil
}

func (b *borrower) askVM(vm string, r *peerwire.BorrowRequest) (*peerwire.BorrowResponse, error) {
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
