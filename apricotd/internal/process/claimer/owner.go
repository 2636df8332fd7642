package claimer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

const (
	storeTimeout = 250 * time.Millisecond
	// ownerWait is how long a claim waits for this node to become the owner.
	ownerWait = 150 * time.Millisecond
	// maxAnswerBytes limits the body of a recorded answer. Of a larger one, only
	// the fact that it was given is kept.
	maxAnswerBytes = 16 << 10
	// maxTotalAnswerBytes limits the bodies of all answers recorded on a node.
	maxTotalAnswerBytes = 4 << 20
	sweepInterval       = time.Minute
)

// HandleClaim handles a claim as the owner of its shard.
func (c *Claimer) HandleClaim(ctx context.Context, r *peerwire.ClaimRequest) *peerwire.ClaimResponse {
	id := sharder.Shard(r.Shard)
	if c.Leaser.Acquire(ctx, id, ownerWait) == nil {
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_NOT_OWNER, Owner: c.Leaser.Owner(id)}
	}
	state, answer := c.register(id, r)
	if state != peerwire.ClaimState_CLAIM_STATE_UNSPECIFIED {
		return &peerwire.ClaimResponse{State: state, Answer: answer}
	}
	stored := c.replicate(ctx, id, c.Leaser.EstablishedGroup(id), c.encodeRecord(id, r.Id))
	if !stored {
		c.withdraw(id, r)
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	if !c.markGranted(id, r) {
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_GRANTED}
}

// register records a new claim and returns CLAIM_STATE_UNSPECIFIED, or returns the
// state of an earlier claim.
func (c *Claimer) register(id sharder.Shard, r *peerwire.ClaimRequest) (peerwire.ClaimState, *peerwire.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := c.records(id)
	now := time.Now()
	rec := rs.byID[string(r.Id)]
	if rec == nil || rec.released || rec.withdrawn {
		rs.byID[string(r.Id)] = &record{
			claimant:    r.Claimant,
			round:       rec.nextRound(),
			fingerprint: r.Fingerprint,
			expiresAt:   now.Add(r.Remaining.AsDuration() + retention),
			deadline:    now.Add(r.Remaining.AsDuration()),
		}
		return peerwire.ClaimState_CLAIM_STATE_UNSPECIFIED, nil
	}
	switch {
	case !bytes.Equal(rec.fingerprint, r.Fingerprint):
		return peerwire.ClaimState_CLAIM_STATE_REUSED, nil
	case rec.answered && rec.answer != nil:
		return peerwire.ClaimState_CLAIM_STATE_DONE, rec.answer
	case rec.answered || rec.unknown:
		return peerwire.ClaimState_CLAIM_STATE_UNKNOWN, nil
	case rec.claimant == r.Claimant && rec.granted:
		return peerwire.ClaimState_CLAIM_STATE_GRANTED, nil
	case rec.claimant == r.Claimant:
		// An earlier request of the same attempt did not complete.
		return peerwire.ClaimState_CLAIM_STATE_UNSPECIFIED, nil
	case rec.deadline.IsZero() || now.After(rec.deadline):
		return peerwire.ClaimState_CLAIM_STATE_UNKNOWN, nil
	}
	return peerwire.ClaimState_CLAIM_STATE_RUNNING, nil
}

// encodeRecord returns the record of a key in the form in which members store it.
func (c *Claimer) encodeRecord(id sharder.Shard, key []byte) []*peerwire.ClaimRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(key)]
	if rec == nil {
		return nil
	}
	return []*peerwire.ClaimRecord{toWire(key, rec)}
}

// markGranted marks a claim that a majority stores as granted. It reports false if
// the claim is no longer valid.
func (c *Claimer) markGranted(id sharder.Shard, r *peerwire.ClaimRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(r.Id)]
	if rec == nil || rec.claimant != r.Claimant || rec.released || rec.withdrawn {
		return false
	}
	rec.granted = true
	return true
}

// withdraw marks a claim that too few members stored. The mark applies only on this
// node, and only until another member reports the claim: another owner may have
// granted it.
func (c *Claimer) withdraw(id sharder.Shard, r *peerwire.ClaimRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(r.Id)]
	if rec != nil && rec.claimant == r.Claimant && !rec.granted {
		rec.withdrawn = true
	}
}

// HandleSettle records the outcome of a claimed request as the owner of its shard.
func (c *Claimer) HandleSettle(ctx context.Context, r *peerwire.SettleRequest) *peerwire.SettleResponse {
	id := sharder.Shard(r.Shard)
	if c.Leaser.TryAcquire(id) == nil {
		return &peerwire.SettleResponse{NotOwner: true, Owner: c.Leaser.Owner(id)}
	}
	if c.recordOutcome(id, r) {
		c.replicate(ctx, id, c.Leaser.EstablishedGroup(id), c.encodeRecord(id, r.Id))
	}
	return &peerwire.SettleResponse{}
}

// recordOutcome updates the record and reports whether it must be replicated: the
// members store that a claim was released, but no answers.
func (c *Claimer) recordOutcome(id sharder.Shard, r *peerwire.SettleRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(r.Id)]
	if rec == nil || rec.claimant != r.Claimant || rec.unknown {
		return false
	}
	switch {
	case r.Answer != nil:
		rec.answered = true
		c.cacheAnswer(rec, r.Answer)
	case r.NotRun:
		rec.released = true
		return true
	default:
		rec.unknown = true
	}
	return false
}

func (c *Claimer) cacheAnswer(rec *record, a *peerwire.Answer) {
	if size := len(a.Body); size <= maxAnswerBytes && c.answerBytes+size <= maxTotalAnswerBytes {
		rec.answer = a
		c.answerBytes += size
	}
}

// Sync implements leaser.Replica.
func (c *Claimer) Sync(ctx context.Context, id sharder.Shard, group sharder.Group) bool {
	claims := c.Claims(id)
	return len(claims) == 0 || c.replicate(ctx, id, group, claims)
}

// replicate stores records on a majority of the group and reports whether it
// succeeded.
func (c *Claimer) replicate(ctx context.Context, id sharder.Shard, group sharder.Group, claims []*peerwire.ClaimRecord) bool {
	request := &peerwire.StoreRequest{Shard: uint32(id), Vm: c.Self, Process: c.Process, Claims: claims}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	stored := make(chan bool, len(group.Members))
	var wg sync.WaitGroup
	for _, vm := range group.Members {
		wg.Go(func() { stored <- c.storeAt(ctx, vm, request) })
	}
	go func() {
		wg.Wait()
		cancel()
	}()
	storedCount := 0
	for range group.Members {
		if <-stored {
			storedCount++
		}
		if storedCount >= group.Majority() {
			return true
		}
	}
	return false
}

func (c *Claimer) storeAt(ctx context.Context, vm string, r *peerwire.StoreRequest) bool {
	if vm == c.Self {
		return c.Store(r).Stored
	}
	response, err := c.Peer(vm).Store(ctx, connect.NewRequest(r))
	return err == nil && response.Msg.Stored
}

// Store stores records for the shard's owner, as a witness.
func (c *Claimer) Store(r *peerwire.StoreRequest) *peerwire.StoreResponse {
	id := sharder.Shard(r.Shard)
	stored := c.Leaser.Store(id, r.Vm, r.Process, func() {
		c.mergeRecords(id, r.Claims)
	})
	return &peerwire.StoreResponse{Stored: stored}
}

// Claims implements leaser.Replica.
func (c *Claimer) Claims(id sharder.Shard) []*peerwire.ClaimRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := c.records(id)
	out := make([]*peerwire.ClaimRecord, 0, len(rs.byID))
	for key, rec := range rs.byID {
		out = append(out, toWire([]byte(key), rec))
	}
	return out
}

// Merge implements leaser.Replica.
func (c *Claimer) Merge(id sharder.Shard, claims []*peerwire.ClaimRecord) {
	if len(claims) > 0 {
		c.mergeRecords(id, claims)
	}
}

func (c *Claimer) mergeRecords(id sharder.Shard, claims []*peerwire.ClaimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := c.records(id)
	for _, claim := range claims {
		rs.merge(claim)
	}
}
