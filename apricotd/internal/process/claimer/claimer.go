// Package claimer runs a non-idempotent request at most once.
//
// Of all attempts with the same key, on whatever nodes and however late, at most
// one is granted the right to run the request until the retention period has
// passed. Before an attempt is granted, a majority of the shard's group stores its
// claim, and every later owner of the shard reads the claims from a majority. This
// does not depend on clocks. An attempt that is paused after it was granted may run
// late, but no other attempt is granted.
//
// Other attempts wait for the one that is running and receive its recorded answer,
// or are told that its outcome is not known.
//
// # Usage
//
//	claim, decision := c.Claim(ctx, key, fingerprint, deadline)
//	switch d := decision.(type) {
//	case claimer.Granted:  // run it, then claim.Settle(answer, notRun)
//	case claimer.Recorded: // d.Answer
//	case claimer.Denied:   // d.State
//	}
//
// A claim costs one call to the shard's owner, and the owner one call to each
// member of the group, of which it awaits a majority. Records are kept in memory for
// the retention period. Only the owner keeps answers, and only small ones. If all
// members of a group lose their memory at the same time, the claims of its shards
// are lost.
package claimer

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/internal/process/leaser"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

const (
	// retention is how long a claim is kept after the deadline of its request.
	retention = 10 * time.Minute
	// pollInterval is the pause between the requests of an attempt that waits
	// for another one to finish.
	pollInterval = 30 * time.Millisecond
	// ownerRetryInterval is the pause between requests while the shard's owner is
	// not known.
	ownerRetryInterval = 20 * time.Millisecond
	claimTimeout       = 500 * time.Millisecond
	settleTimeout      = time.Second
	// ownerSearchTimeout is how long an attempt looks for the shard's owner.
	ownerSearchTimeout = 4 * time.Second
)

type (
	// A Decision is the answer to a claim: Granted, Recorded or Denied.
	Decision interface{ decision() }

	// Granted gives the attempt the exclusive right to run the request.
	Granted struct{}

	// Recorded holds the answer that another attempt received.
	Recorded struct{ Answer *peerwire.Answer }

	// Denied gives the reason why the attempt may not run the request.
	Denied struct{ State peerwire.ClaimState }

	// A Claimer requests claims for this node's backend server and decides on
	// the claims of the shards that this node owns. Its exported fields must be
	// set before use.
	Claimer struct {
		Self       string // VM id
		Process    string // unique to each start of the process
		Leaser     *leaser.Leaser
		OwnerCache *leaser.OwnerCache
		Peer       func(vm string) peerwireconnect.PeerServiceClient

		mu     sync.Mutex
		shards map[sharder.Shard]*records
		// answerBytes is the total size of the bodies of all recorded answers.
		answerBytes int
	}

	// A Claim is a granted right to run a request.
	Claim struct {
		claimer  *Claimer
		shard    sharder.Shard
		id       []byte
		claimant string
	}
)

var (
	_ Decision       = Granted{}
	_ Decision       = Recorded{}
	_ Decision       = Denied{}
	_ leaser.Replica = (*Claimer)(nil)
)

func (Granted) decision()  {}
func (Recorded) decision() {}
func (Denied) decision()   {}

// ShardOf returns the shard that holds the claims of a key.
func ShardOf(key string) sharder.Shard {
	id := sha256.Sum256([]byte(key))
	return sharder.ShardOf("claim/" + hex.EncodeToString(id[:]))
}

// Claim requests the right to run a request with the given deadline. It retries
// until the context ends or no owner of the shard is found in time.
func (c *Claimer) Claim(ctx context.Context, key string, fingerprint []byte, deadline time.Time) (*Claim, Decision) {
	id := sha256.Sum256([]byte(key))
	claim := &Claim{
		claimer:  c,
		shard:    ShardOf(key),
		id:       id[:],
		claimant: c.Process + "/" + rand.Text(),
	}
	state := peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE
	start := time.Now()
	for ctx.Err() == nil {
		r := c.requestClaim(ctx, claim, fingerprint, time.Until(deadline))
		wait := pollInterval
		switch r.State {
		case peerwire.ClaimState_CLAIM_STATE_GRANTED:
			return claim, Granted{}
		case peerwire.ClaimState_CLAIM_STATE_DONE:
			return nil, Recorded{Answer: r.Answer}
		case peerwire.ClaimState_CLAIM_STATE_REUSED, peerwire.ClaimState_CLAIM_STATE_UNKNOWN:
			return nil, Denied{State: r.State}
		case peerwire.ClaimState_CLAIM_STATE_RUNNING:
			state = r.State
		default:
			wait = ownerRetryInterval
			if time.Since(start) > ownerSearchTimeout {
				claim.abandon()
				return nil, Denied{State: state}
			}
		}
		sleep(ctx, wait)
	}
	claim.abandon()
	return nil, Denied{State: state}
}

// requestClaim sends the claim to the shard's owner, or to a VM that may be the
// owner. It may be repeated with the same claimant.
func (c *Claimer) requestClaim(ctx context.Context, claim *Claim, fingerprint []byte, remaining time.Duration) *peerwire.ClaimResponse {
	request := &peerwire.ClaimRequest{
		Shard:       uint32(claim.shard),
		Id:          claim.id,
		Claimant:    claim.claimant,
		Fingerprint: fingerprint,
		Remaining:   durationpb.New(remaining),
	}
	vm, ok := c.OwnerCache.Target(claim.shard)
	if !ok {
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	if vm == c.Self {
		r := c.HandleClaim(ctx, request)
		c.recordOwner(claim.shard, vm, r.State == peerwire.ClaimState_CLAIM_STATE_NOT_OWNER, r.Owner)
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := c.Peer(vm).Claim(ctx, connect.NewRequest(request))
	if err != nil {
		c.recordOwner(claim.shard, vm, true, "")
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	r := response.Msg
	c.recordOwner(claim.shard, vm, r.State == peerwire.ClaimState_CLAIM_STATE_NOT_OWNER, r.Owner)
	return r
}

// Settle records the outcome of the request. If answer is nil, notRun reports
// whether the request is certain not to have run; another attempt may then claim
// it.
func (cl *Claim) Settle(answer *peerwire.Answer, notRun bool) {
	request := &peerwire.SettleRequest{
		Shard:    uint32(cl.shard),
		Id:       cl.id,
		Claimant: cl.claimant,
		Answer:   answer,
		NotRun:   notRun,
	}
	// Not the caller's context, which may have ended: the record is for later
	// attempts.
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if cl.trySettle(ctx, request) {
			return
		}
		sleep(ctx, ownerRetryInterval)
	}
}

func (cl *Claim) trySettle(ctx context.Context, r *peerwire.SettleRequest) bool {
	c := cl.claimer
	vm, ok := c.OwnerCache.Target(cl.shard)
	if !ok {
		return false
	}
	if vm == c.Self {
		response := c.HandleSettle(ctx, r)
		c.recordOwner(cl.shard, vm, response.NotOwner, response.Owner)
		return !response.NotOwner
	}
	response, err := c.Peer(vm).Settle(ctx, connect.NewRequest(r))
	if err != nil {
		c.recordOwner(cl.shard, vm, true, "")
		return false
	}
	c.recordOwner(cl.shard, vm, response.Msg.NotOwner, response.Msg.Owner)
	return !response.Msg.NotOwner
}

// abandon releases a claim that may have been granted without this node having
// received the response. It does not wait for the result.
func (cl *Claim) abandon() {
	go cl.Settle(nil, true)
}

// recordOwner records that vm answered as the owner, or that it did not and named
// hint as the owner, if it knew one.
func (c *Claimer) recordOwner(id sharder.Shard, vm string, missed bool, hint string) {
	if missed {
		c.OwnerCache.RecordMiss(id, vm, hint)
		return
	}
	c.OwnerCache.RecordOwner(id, vm)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
