// Package tracker holds the requests that the node's own backend server is
// running now, so that the calls it makes can be tied to them.
//
// It guarantees that a call context cannot be forged or replayed: the token
// that the backend server receives is random, means nothing outside this
// process, and stops working when its request ends. The retry tokens of a
// request are conserved: a retry or a sub-call takes them out of one balance
// and only what a sub-call did not use comes back.
//
// # Usage
//
//	p := t.Begin(ctx, call)
//	defer t.End(p)
//	header.Set(tracker.Header, p.Token)
//	...
//	parent, ok := t.Find(header.Get(tracker.Header))
//
// State is one small record for each running request.
package tracker

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"apricotrudder.dev/apricotd/version/checker"
)

// Header is the field in which a backend server receives the token of a
// request and sends it with the calls that it makes for that request.
const Header = "Apricot-Context"

type (
	// A Call is what the nodes know of one request.
	Call struct {
		RequestID      string
		Organisation   string
		Class          checker.Class
		Deadline       time.Time
		IdempotencyKey string // empty on idempotent routes
		Depth          uint32
		KeyDigest      []byte // empty on open and internal routes
	}

	// A Balance holds retry tokens. Its zero value is empty.
	Balance struct {
		mu     sync.Mutex
		tokens uint32
	}

	// A Parent is a request that the backend server is running.
	Parent struct {
		Call
		Balance
		Token string
		// Context ends with the request.
		Context context.Context

		cancel   context.CancelFunc
		mu       sync.Mutex
		ordinals map[string]int
	}

	// A Tracker holds the running requests.
	Tracker struct {
		mu      sync.Mutex
		parents map[string]*Parent
	}
)

// NewBalance returns a balance of n retry tokens.
func NewBalance(n uint32) *Balance {
	return &Balance{tokens: n}
}

// Spend takes one token, if there is one.
func (b *Balance) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	return true
}

// Withdraw takes all tokens.
func (b *Balance) Withdraw() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.tokens
	b.tokens = 0
	return n
}

// Deposit returns tokens that a sub-call did not use. More than were given is
// never accepted, so that a faulty peer cannot create tokens.
func (b *Balance) Deposit(n, given uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += min(n, given)
}

// Begin registers a request and returns it with its token set. The parent's
// context ends with ctx, at the call's deadline, or with End.
func (t *Tracker) Begin(ctx context.Context, call Call, tokens uint32) *Parent {
	p := &Parent{Call: call, Token: rand.Text()}
	p.tokens = tokens
	p.Context, p.cancel = context.WithDeadline(ctx, call.Deadline)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parents == nil {
		t.parents = make(map[string]*Parent)
	}
	t.parents[p.Token] = p
	return p
}

// End forgets a request, cancels its sub-calls and returns the retry tokens
// that it did not use.
func (t *Tracker) End(p *Parent) uint32 {
	t.mu.Lock()
	delete(t.parents, p.Token)
	t.mu.Unlock()
	p.cancel()
	return p.Withdraw()
}

// Find returns the running request of a token.
func (t *Tracker) Find(token string) (*Parent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parents[token]
	return p, ok
}

// Len returns the number of running requests.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.parents)
}

// ChildKey derives the idempotency key of a sub-call from its parent and from
// its place in the parent, so that a repeated parent does not double its
// children. The place is the backend server's own key for the call if it sent
// one, and else the ordinal among the parent's calls to the same target.
func (p *Parent) ChildKey(target, own string) string {
	place := "key " + own
	if own == "" {
		place = fmt.Sprintf("ordinal %d", p.nextOrdinal(target))
	}
	root := p.IdempotencyKey
	if root == "" {
		root = p.RequestID
	}
	sum := sha256.Sum256([]byte(root + "\x00" + target + "\x00" + place))
	return hex.EncodeToString(sum[:16])
}

func (p *Parent) nextOrdinal(target string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordinals == nil {
		p.ordinals = make(map[string]int)
	}
	p.ordinals[target]++
	return p.ordinals[target]
}
