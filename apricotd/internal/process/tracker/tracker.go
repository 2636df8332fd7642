// Package tracker records the requests that the node's own backend server is
// running, so that calls which the server makes can be attributed to them.
//
// It guarantees that a call context cannot be forged or replayed: the token
// that the backend server receives is random, has no meaning outside this
// process, and becomes invalid when its request ends. The retry tokens of a
// request are conserved: retries and sub-calls take them from one count, and
// only the tokens that a sub-call did not use are returned to it.
//
// # Usage
//
//	r := t.Begin(ctx, call)
//	defer t.End(r)
//	header.Set(tracker.Header, r.Token)
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

	// RetryTokens is a count of retry tokens. The zero value holds none.
	RetryTokens struct {
		mu     sync.Mutex
		tokens uint32
	}

	// A RunningRequest is a request that the backend server is running and that
	// may make sub-calls.
	RunningRequest struct {
		Call
		RetryTokens
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
		running map[string]*RunningRequest // by token
	}
)

// NewRetryTokens returns n retry tokens.
func NewRetryTokens(n uint32) *RetryTokens {
	return &RetryTokens{tokens: n}
}

// TryTake takes one token and reports whether there was one.
func (r *RetryTokens) TryTake() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens == 0 {
		return false
	}
	r.tokens--
	return true
}

// TakeAll takes all tokens and returns their number.
func (r *RetryTokens) TakeAll() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.tokens
	r.tokens = 0
	return n
}

// Refund adds the n tokens that a sub-call did not use. It adds at most granted,
// the number that the sub-call received, so that a faulty peer cannot create
// tokens.
func (r *RetryTokens) Refund(n, granted uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += min(n, granted)
}

// Begin registers a request and assigns its token. The context of the returned
// RunningRequest is cancelled when ctx is, at the call's deadline, or by End.
func (t *Tracker) Begin(ctx context.Context, call Call, tokens uint32) *RunningRequest {
	r := &RunningRequest{Call: call, Token: rand.Text()}
	r.tokens = tokens
	r.Context, r.cancel = context.WithDeadline(ctx, call.Deadline)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = make(map[string]*RunningRequest)
	}
	t.running[r.Token] = r
	return r
}

// End removes a request, cancels its sub-calls and returns the number of retry
// tokens that it did not use.
func (t *Tracker) End(r *RunningRequest) uint32 {
	t.mu.Lock()
	delete(t.running, r.Token)
	t.mu.Unlock()
	r.cancel()
	return r.TakeAll()
}

// Find returns the running request that has the token, if any.
func (t *Tracker) Find(token string) (*RunningRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.running[token]
	return r, ok
}

// Len returns the number of running requests.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// SubcallKey derives the idempotency key of a sub-call from the parent's key, or
// its request ID if it has none, and from the position of the sub-call within
// the parent, so that a retried parent does not execute its sub-calls twice. The
// position is callerKey, the key that the backend server sent with the call. If
// it is empty, the position is the ordinal of the call among the parent's calls
// to the same target.
func (r *RunningRequest) SubcallKey(target, callerKey string) string {
	position := "key " + callerKey
	if callerKey == "" {
		position = fmt.Sprintf("ordinal %d", r.nextOrdinal(target))
	}
	parentKey := r.IdempotencyKey
	if parentKey == "" {
		parentKey = r.RequestID
	}
	sum := sha256.Sum256([]byte(parentKey + "\x00" + target + "\x00" + position))
	return hex.EncodeToString(sum[:16])
}

func (r *RunningRequest) nextOrdinal(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callCounts == nil {
		r.callCounts = make(map[string]int)
	}
	r.callCounts[target]++
	return r.callCounts[target]
}
