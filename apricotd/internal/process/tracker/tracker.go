// Package tracker records the requests that the node's own backend server is
// running, so that calls which the server makes can be attributed to them.
//
// It guarantees that a call context cannot be forged or replayed: the token
// that the backend server receives is random, has no meaning outside this
// process, and becomes invalid when its request ends. The retry tokens of a
// request are conserved: retries and sub-calls take them from one balance, and
// only the tokens that a sub-call did not use are returned to it.
//
// # Usage
//
//	p := t.Begin(ctx, call)
//	defer t.End(p)
//	header.Set(tracker.Header, p.Token)
//	...
//	parent, ok := t.Find(header.Get(tracker.Header))
//
// The state is one small record per running request.
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

// Header is the HTTP header that carries the token of a request. A backend server
// receives it with the request and sends it with every call that it makes on
// behalf of that request.
const Header = "Apricot-Context"

type (
	// A Call is the metadata of one request that nodes pass to each other.
	Call struct {
		RequestID      string
		Organisation   string
		Class          checker.Class
		Deadline       time.Time
		IdempotencyKey string // empty on idempotent routes
		Depth          uint32
		KeyDigest      []byte // empty on open and internal routes
	}

	// A Balance is a count of retry tokens. The zero value holds none.
	Balance struct {
		mu     sync.Mutex
		tokens uint32
	}

	// A Parent is a request that the backend server is running and that may
	// make sub-calls.
	Parent struct {
		Call
		Balance
		Token string
		// Context is cancelled when the request ends.
		Context context.Context

		cancel     context.CancelFunc
		mu         sync.Mutex
		callCounts map[string]int // number of sub-calls without a caller's key, by target
	}

	// A Tracker is the set of running requests.
	Tracker struct {
		mu      sync.Mutex
		parents map[string]*Parent // by token
	}
)

// NewBalance returns a balance of n retry tokens.
func NewBalance(n uint32) *Balance {
	return &Balance{tokens: n}
}

// Spend takes one token and reports whether there was one.
func (b *Balance) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	return true
}

// Withdraw takes all tokens and returns their number.
func (b *Balance) Withdraw() uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.tokens
	b.tokens = 0
	return n
}

// Deposit adds the n tokens that a sub-call did not use. It adds at most granted,
// the number that the sub-call received, so that a faulty peer cannot create
// tokens.
func (b *Balance) Deposit(n, granted uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += min(n, granted)
}

// Begin registers a request and assigns its token. The context of the returned
// Parent is cancelled when ctx is, at the call's deadline, or by End.
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

// End removes a request, cancels its sub-calls and returns the number of retry
// tokens that it did not use.
func (t *Tracker) End(p *Parent) uint32 {
	t.mu.Lock()
	delete(t.parents, p.Token)
	t.mu.Unlock()
	p.cancel()
	return p.Withdraw()
}

// Find returns the running request that has the token, if any.
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

// ChildKey derives the idempotency key of a sub-call from the parent's key, or
// its request ID if it has none, and from the position of the sub-call within
// the parent, so that a retried parent does not execute its sub-calls twice. The
// position is callerKey, the key that the backend server sent with the call. If
// it is empty, the position is the ordinal of the call among the parent's calls
// to the same target.
func (p *Parent) ChildKey(target, callerKey string) string {
	position := "key " + callerKey
	if callerKey == "" {
		position = fmt.Sprintf("ordinal %d", p.nextOrdinal(target))
	}
	parentKey := p.IdempotencyKey
	if parentKey == "" {
		parentKey = p.RequestID
	}
	sum := sha256.Sum256([]byte(parentKey + "\x00" + target + "\x00" + position))
	return hex.EncodeToString(sum[:16])
}

func (p *Parent) nextOrdinal(target string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.callCounts == nil {
		p.callCounts = make(map[string]int)
	}
	p.callCounts[target]++
	return p.callCounts[target]
}
