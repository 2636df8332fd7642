package rationer

import (
	"context"
	"net/netip"
	"sync"

	"apricotrudder.dev/wire/linkwire"
)

type (
	// A borrower makes one exchange at a time for one organisation. Requests
	// that arrive meanwhile share the next one.
	borrower struct {
		rationer     *Rationer
		organisation string

		mu      sync.Mutex
		waiting []chan *linkwire.Grant
		busy    bool
	}
)

func (r *Rationer) borrower(organisation string) *borrower {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.borrowers == nil {
		r.borrowers = make(map[string]*borrower)
	}
	b := r.borrowers[organisation]
	if b == nil {
		b = &borrower{rationer: r, organisation: organisation}
		r.borrowers[organisation] = b
	}
	return b
}

// take returns the keeper's word on one request; it reports false if the
// keeper did not answer.
func (b *borrower) take(ctx context.Context, keeper netip.Addr) (*linkwire.Grant, bool) {
	word := make(chan *linkwire.Grant, 1)
	b.mu.Lock()
	b.waiting = append(b.waiting, word)
	if !b.busy {
		b.busy = true
		go b.exchange(keeper)
	}
	b.mu.Unlock()
	select {
	case g := <-word:
		return g, g != nil
	case <-ctx.Done():
		return nil, false
	}
}

// exchange borrows for all that wait, until nobody does or the keeper does not
// answer. Those who wait then choose again.
func (b *borrower) exchange(keeper netip.Addr) {
	for {
		b.mu.Lock()
		waiting := b.waiting
		b.waiting = nil
		if len(waiting) == 0 {
			b.busy = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		grant, err := b.rationer.Borrow(ctx, keeper, &linkwire.Borrow{Organisation: b.organisation, Wanted: uint32(len(waiting))})
		cancel()
		if err != nil {
			b.rationer.avoid(keeper)
			b.giveUp(waiting)
			return
		}
		share(waiting, grant)
	}
}

func (b *borrower) giveUp(waiting []chan *linkwire.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, word := range append(waiting, b.waiting...) {
		word <- nil
	}
	b.waiting, b.busy = nil, false
}

// share gives the tokens to those who have waited longest.
func share(waiting []chan *linkwire.Grant, grant *linkwire.Grant) {
	for i, word := range waiting {
		switch {
		case grant.Unknown:
			word <- grant
		case i < int(grant.Granted):
			word <- &linkwire.Grant{Granted: 1}
		default:
			word <- &linkwire.Grant{RetryAfterMs: grant.RetryAfterMs}
		}
	}
}
