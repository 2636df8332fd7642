package policer

import (
	"context"
	"net/netip"
	"sync"

	"apricotrudder.dev/wire/linkwire"
)

type (
	// A borrower batches the token requests of one organisation. At most one
	// Borrow exchange is in progress; requests that arrive meanwhile share the
	// next one.
	borrower struct {
		policer      *Policer
		organisation string

		mu      sync.Mutex
		waiting []chan *linkwire.Grant
		busy    bool
	}
)

func (p *Policer) borrowerFor(organisation string) *borrower {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.borrowers == nil {
		p.borrowers = make(map[string]*borrower)
	}
	b := p.borrowers[organisation]
	if b == nil {
		b = &borrower{policer: p, organisation: organisation}
		p.borrowers[organisation] = b
	}
	return b
}

// borrow requests one token from the bucket owner. It returns false if the
// owner does not answer or ctx is done.
func (b *borrower) borrow(ctx context.Context, owner netip.Addr) (*linkwire.Grant, bool) {
	reply := make(chan *linkwire.Grant, 1)
	b.mu.Lock()
	b.waiting = append(b.waiting, reply)
	if !b.busy {
		b.busy = true
		go b.exchange(owner)
	}
	b.mu.Unlock()
	select {
	case g := <-reply:
		return g, g != nil
	case <-ctx.Done():
		return nil, false
	}
}

// exchange borrows tokens for the waiting requests until none are left or the
// owner does not answer. In the latter case the waiting requests fail and their
// callers select an owner again.
func (b *borrower) exchange(owner netip.Addr) {
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
		grant, err := b.policer.Borrow(ctx, owner, &linkwire.Borrow{Organisation: b.organisation, Wanted: uint32(len(waiting))})
		cancel()
		if err != nil {
			b.policer.startBackoff(owner)
			b.failWaiting(waiting)
			return
		}
		distribute(waiting, grant)
	}
}

// failWaiting sends nil to the given requests and to those queued since.
func (b *borrower) failWaiting(waiting []chan *linkwire.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, reply := range append(waiting, b.waiting...) {
		reply <- nil
	}
	b.waiting, b.busy = nil, false
}

// distribute hands out the granted tokens in order of arrival.
func distribute(waiting []chan *linkwire.Grant, grant *linkwire.Grant) {
	for i, reply := range waiting {
		switch {
		case grant.Unknown:
			reply <- grant
		case i < int(grant.Granted):
			reply <- &linkwire.Grant{Granted: 1}
		default:
			reply <- &linkwire.Grant{RetryAfterMs: grant.RetryAfterMs}
		}
	}
}
