package claimer

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

type (
	// records are the claims of one shard that a node holds, as owner or as
	// witness.
	records struct {
		byID      map[string]*record
		nextSweep time.Time
	}

	record struct {
		claimant    string
		round       uint32
		fingerprint []byte
		expiresAt   time.Time
		deadline    time.Time // after which the claimant cannot be running; zero: not known
		released    bool      // the claimant released the claim without running the request
		withdrawn   bool      // this node, as owner, did not grant the claim
		granted     bool      // a majority stores the claim
		unknown     bool      // the outcome is not known
		answered    bool
		answer      *peerwire.Answer
	}
)

// merge adds a record received from another node. The record of the later round
// replaces that of an earlier one. Within a round, a released claim stays released,
// and two claimants make the outcome unknown. merge is commutative and idempotent,
// so late and repeated messages do no harm.
func (rs *records) merge(claim *peerwire.ClaimRecord) {
	rec := rs.byID[string(claim.Id)]
	if rec != nil && rec.round > claim.Round {
		return
	}
	if rec == nil || rec.round < claim.Round {
		rs.byID[string(claim.Id)] = &record{
			claimant:    claim.Claimant,
			round:       claim.Round,
			fingerprint: claim.Fingerprint,
			expiresAt:   time.Now().Add(claim.KeptFor.AsDuration()),
			released:    claim.Released && !claim.Unknown,
			unknown:     claim.Unknown,
		}
		return
	}
	rec.withdrawn = false
	rec.unknown = rec.unknown || claim.Unknown || rec.claimant != claim.Claimant
	rec.released = !rec.unknown && (rec.released || claim.Released)
}

func (r *record) nextRound() uint32 {
	if r == nil {
		return 1
	}
	return r.round + 1
}

func (c *Claimer) records(id sharder.Shard) *records {
	if c.shards == nil {
		c.shards = make(map[sharder.Shard]*records)
	}
	rs := c.shards[id]
	if rs == nil {
		rs = &records{byID: make(map[string]*record)}
		c.shards[id] = rs
	}
	c.sweep(rs)
	return rs
}

// sweep deletes the records whose retention period has passed.
func (c *Claimer) sweep(rs *records) {
	now := time.Now()
	if now.Before(rs.nextSweep) {
		return
	}
	rs.nextSweep = now.Add(sweepInterval)
	for key, rec := range rs.byID {
		if now.After(rec.expiresAt) {
			if rec.answer != nil {
				c.answerBytes -= len(rec.answer.Body)
			}
			delete(rs.byID, key)
		}
	}
}

func toWire(id []byte, rec *record) *peerwire.ClaimRecord {
	return &peerwire.ClaimRecord{
		Id:          id,
		Claimant:    rec.claimant,
		Fingerprint: rec.fingerprint,
		KeptFor:     durationpb.New(time.Until(rec.expiresAt)),
		Released:    rec.released,
		Round:       rec.round,
		Unknown:     rec.unknown && !rec.answered,
	}
}
