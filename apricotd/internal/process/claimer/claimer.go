// Package claimer lets a non-idempotent request run at most once.
//
// It guarantees that of all attempts with the same id, at whatever nodes and
// however late, at most one is granted the right to run the request, until the
// retention has passed. Before an attempt is granted, a majority of the
// shard's group remembers its claim, and every later owner of the shard has
// been told by a majority; no clock is involved. An attempt that was paused
// after its grant may run late, but remains the only one.
//
// Other attempts wait for the one that runs and get its recorded answer. If
// what came of it is not known, they are told so.
//
// # Usage
//
//	claim, verdict := c.Claim(ctx, id, fingerprint, deadline)
//	switch v := verdict.(type) {
//	case claimer.Granted:  // run it, then claim.Settle(outcome)
//	case claimer.Recorded: // v.Answer
//	case claimer.Denied:   // v.Reason
//	}
//
// A claim costs one exchange with the shard's owner, which costs it one with a
// majority of the group. Records are kept in memory for the retention; answers
// only by the owner and only if small. The owner must have kept its memory:
// when all members of a group have forgotten it together, so are the claims.
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
	// retention is how long a claim is remembered after the request's deadline.
	retention = 10 * time.Minute
	// pollPause separates the questions of an attempt that waits for another.
	pollPause = 30 * time.Millisecond
	// ownerPause separates the questions to members of a group without owner.
	ownerPause    = 20 * time.Millisecond
	claimTimeout  = 500 * time.Millisecond
	settleTimeout = time.Second
	// unclaimedWait is how long an attempt looks for an owner of the shard.
	unclaimedWait = 4 * time.Second
)

type (
	// A Verdict is the answer to a claim: Granted, Recorded or Denied.
	Verdict interface{ verdict() }

	// Granted gives the attempt the only right to run the request.
	Granted struct{}

	// Recorded carries the answer that another attempt got.
	Recorded struct{ Answer *peerwire.Answer }

	// Denied tells why the attempt may not run the request.
	Denied struct{ State peerwire.ClaimState }

	// A Claimer claims for this node's backend server and decides for the
	// shards that this node owns. Its exported fields must be set before use.
	Claimer struct {
		Self    string // VM
		Process string
		Leaser  *leaser.Leaser
		Finder  *leaser.Finder
		Peer    func(vm string) peerwireconnect.PeerServiceClient

		mu     sync.Mutex
		shards map[sharder.Shard]*records
		// answers is the size of all recorded answers, in bytes.
		answers int
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
	_ Verdict        = Granted{}
	_ Verdict        = Recorded{}
	_ Verdict        = Denied{}
	_ leaser.Replica = (*Claimer)(nil)
)

func (Granted) verdict()  {}
func (Recorded) verdict() {}
func (Denied) verdict()   {}

// ShardOf returns the shard in which the requests with a key are claimed.
func ShardOf(key string) sharder.Shard {
	id := sha256.Sum256([]byte(key))
	return sharder.ShardOf("claim/" + hex.EncodeToString(id[:]))
}

// Claim asks for the right to run a request, until the deadline.
func (c *Claimer) Claim(ctx context.Context, key string, fingerprint []byte, deadline time.Time) (*Claim, Verdict) {
	id := sha256.Sum256([]byte(key))
	claim := &Claim{
		claimer:  c,
		shard:    ShardOf(key),
		id:       id[:],
		claimant: c.Process + "/" + rand.Text(),
	}
	state := peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE
	begun := time.Now()
	for ctx.Err() == nil {
		r := c.ask(ctx, claim, fingerprint, time.Until(deadline))
		pause := pollPause
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
			pause = ownerPause
			if time.Since(begun) > unclaimedWait {
				claim.abandon()
				return nil, Denied{State: state}
			}
		}
		sleep(ctx, pause)
	}
	claim.abandon()
	return nil, Denied{State: state}
}

// ask puts the claim to the shard's owner, or to whoever may be it. Asking
// again with the same claimant is harmless.
func (c *Claimer) ask(ctx context.Context, claim *Claim, fingerprint []byte, remaining time.Duration) *peerwire.ClaimResponse {
	request := &peerwire.ClaimRequest{
		Shard:       uint32(claim.shard),
		Id:          claim.id,
		Claimant:    claim.claimant,
		Fingerprint: fingerprint,
		Remaining:   durationpb.New(remaining),
	}
	vm, ok := c.Finder.Target(claim.shard)
	if !ok {
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	if vm == c.Self {
		r := c.Decide(ctx, request)
		c.note(claim.shard, vm, r.State == peerwire.ClaimState_CLAIM_STATE_NOT_OWNER, r.Owner)
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := c.Peer(vm).Claim(ctx, connect.NewRequest(request))
	if err != nil {
		c.note(claim.shard, vm, true, "")
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	r := response.Msg
	c.note(claim.shard, vm, r.State == peerwire.ClaimState_CLAIM_STATE_NOT_OWNER, r.Owner)
	return r
}

// Settle records what came of the request. Without an answer, notRun tells
// whether it certainly has not run; then another attempt may claim it.
func (cl *Claim) Settle(answer *peerwire.Answer, notRun bool) {
	request := &peerwire.SettleRequest{
		Shard:    uint32(cl.shard),
		Id:       cl.id,
		Claimant: cl.claimant,
		Answer:   answer,
		NotRun:   notRun,
	}
	// The caller may have gone; the record is for those who ask again.
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if cl.settleOnce(ctx, request) {
			return
		}
		sleep(ctx, ownerPause)
	}
}

func (cl *Claim) settleOnce(ctx context.Context, r *peerwire.SettleRequest) bool {
	c := cl.claimer
	vm, ok := c.Finder.Target(cl.shard)
	if !ok {
		return false
	}
	if vm == c.Self {
		s := c.Settled(ctx, r)
		c.note(cl.shard, vm, s.NotOwner, s.Owner)
		return !s.NotOwner
	}
	response, err := c.Peer(vm).Settle(ctx, connect.NewRequest(r))
	if err != nil {
		c.note(cl.shard, vm, true, "")
		return false
	}
	c.note(cl.shard, vm, response.Msg.NotOwner, response.Msg.Owner)
	return !response.Msg.NotOwner
}

// abandon gives back a claim that may have been granted without this node
// having heard of it. Nothing waits for it.
func (cl *Claim) abandon() {
	go cl.Settle(nil, true)
}

// note remembers who answered as owner, or whom to ask instead.
func (c *Claimer) note(id sharder.Shard, vm string, missed bool, hint string) {
	if missed {
		c.Finder.RecordMiss(id, vm, hint)
		return
	}
	c.Finder.RecordOwner(id, vm)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
