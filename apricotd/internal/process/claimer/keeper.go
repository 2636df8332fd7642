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
	// ownerWait is how long a claim waits for this node to become owner.
	ownerWait = 150 * time.Millisecond
	// maxAnswer bounds the answers that are recorded, in bytes; of larger ones
	// only the fact that they were given is kept.
	maxAnswer = 16 << 10
	// maxAnswers bounds the recorded answers of a node together, in bytes.
	maxAnswers    = 4 << 20
	sweepInterval = time.Minute
)

// Decide answers a claim as the shard's owner.
func (c *Claimer) Decide(ctx context.Context, r *peerwire.ClaimRequest) *peerwire.ClaimResponse {
	id := sharder.Shard(r.Shard)
	if c.Leaser.Acquire(ctx, id, ownerWait) == nil {
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_NOT_OWNER, Owner: c.Leaser.Owner(id)}
	}
	state, answer := c.enter(id, r)
	if state != peerwire.ClaimState_CLAIM_STATE_UNSPECIFIED {
		return &peerwire.ClaimResponse{State: state, Answer: answer}
	}
	stored := c.replicate(ctx, id, c.Leaser.EstablishedGroup(id), c.present(id, r.Id))
	if !stored {
		c.withdraw(id, r)
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	if !c.confirm(id, r) {
		return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_UNAVAILABLE}
	}
	return &peerwire.ClaimResponse{State: peerwire.ClaimState_CLAIM_STATE_GRANTED}
}

// enter records a new claim, or tells what is known of an earlier one.
func (c *Claimer) enter(id sharder.Shard, r *peerwire.ClaimRequest) (peerwire.ClaimState, *peerwire.Answer) {
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
			until:       now.Add(r.Remaining.AsDuration() + retention),
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
		// An earlier question of the same attempt was not answered.
		return peerwire.ClaimState_CLAIM_STATE_UNSPECIFIED, nil
	case rec.deadline.IsZero() || now.After(rec.deadline):
		return peerwire.ClaimState_CLAIM_STATE_UNKNOWN, nil
	}
	return peerwire.ClaimState_CLAIM_STATE_RUNNING, nil
}

// present returns the record of an id for the witnesses.
func (c *Claimer) present(id sharder.Shard, key []byte) []*peerwire.ClaimRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(key)]
	if rec == nil {
		return nil
	}
	return []*peerwire.ClaimRecord{wireRecord(key, rec)}
}

// confirm marks a claim that a majority remembers, if it still stands.
func (c *Claimer) confirm(id sharder.Shard, r *peerwire.ClaimRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(r.Id)]
	if rec == nil || rec.claimant != r.Claimant || rec.released || rec.withdrawn {
		return false
	}
	rec.granted = true
	return true
}

// withdraw takes back a claim that too few witnesses remember. It binds only
// this node, for as long as it hears of the claim from nobody else: another
// owner may have granted the same claim.
func (c *Claimer) withdraw(id sharder.Shard, r *peerwire.ClaimRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(r.Id)]
	if rec != nil && rec.claimant == r.Claimant && !rec.granted {
		rec.withdrawn = true
	}
}

// Settled records what came of a claimed request, as the shard's owner.
func (c *Claimer) Settled(ctx context.Context, r *peerwire.SettleRequest) *peerwire.SettleResponse {
	id := sharder.Shard(r.Shard)
	if c.Leaser.TryAcquire(id) == nil {
		return &peerwire.SettleResponse{NotOwner: true, Owner: c.Leaser.Owner(id)}
	}
	if c.settle(id, r) {
		c.replicate(ctx, id, c.Leaser.EstablishedGroup(id), c.present(id, r.Id))
	}
	return &peerwire.SettleResponse{}
}

// settle changes the record and tells whether witnesses must learn of it:
// they keep that a right was given back, but no answers.
func (c *Claimer) settle(id sharder.Shard, r *peerwire.SettleRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.records(id).byID[string(r.Id)]
	if rec == nil || rec.claimant != r.Claimant || rec.unknown {
		return false
	}
	switch {
	case r.Answer != nil:
		rec.answered = true
		c.keepAnswer(rec, r.Answer)
	case r.NotRun:
		rec.released = true
		return true
	default:
		rec.unknown = true
	}
	return false
}

func (c *Claimer) keepAnswer(rec *record, a *peerwire.Answer) {
	if size := len(a.Body); size <= maxAnswer && c.answers+size <= maxAnswers {
		rec.answer = a
		c.answers += size
	}
}

// Sync implements leaser.Replica: it makes a majority of a new group remember
// all claims of a shard.
func (c *Claimer) Sync(ctx context.Context, id sharder.Shard, group sharder.Group) bool {
	claims := c.Claims(id)
	return len(claims) == 0 || c.replicate(ctx, id, group, claims)
}

// replicate makes a majority of the group remember records.
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
	count := 0
	for range group.Members {
		if <-stored {
			count++
		}
		if count >= group.Majority() {
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

// Store remembers records for the shard's owner, as a witness.
func (c *Claimer) Store(r *peerwire.StoreRequest) *peerwire.StoreResponse {
	id := sharder.Shard(r.Shard)
	stored := c.Leaser.Store(id, r.Vm, r.Process, func() {
		c.remember(id, r.Claims)
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
		out = append(out, wireRecord([]byte(key), rec))
	}
	return out
}

// Merge implements leaser.Replica.
func (c *Claimer) Merge(id sharder.Shard, claims []*peerwire.ClaimRecord) {
	if len(claims) > 0 {
		c.remember(id, claims)
	}
}

func (c *Claimer) remember(id sharder.Shard, claims []*peerwire.ClaimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rs := c.records(id)
	for _, claim := range claims {
		rs.merge(claim)
	}
}
