package leaser

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"apricotrudder.dev/apricotd/internal/process/auditor"
	"apricotrudder.dev/apricotd/version/sharder"
	"apricotrudder.dev/wire/peerwire"
)

// TestLateRelease checks that a release that arrives after a later lease request
// does not end the lease that the owner relies on.
func TestLateRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := sharder.Group{Version: 1, Members: []string{"a", "b", "c"}}
		l := &Leaser{
			Self:     "c",
			Process:  "c/1",
			Group:    func(sharder.Shard) (sharder.Group, bool) { return group, true },
			IsListed: func(string) bool { return true },
			StaleFor: func() time.Duration { return 0 },
			Audit:    &auditor.Auditor{},
		}
		l.Start()
		defer l.Stop()
		l.shard(testShard).learning = false
		send := func(kind peerwire.WitnessKind, vm string, round uint64) bool {
			return l.Witness(t.Context(), &peerwire.WitnessRequest{
				Shard: uint32(testShard), Kind: kind, Vm: vm, Process: vm + "/1", Group: toWire(group), Round: round,
			}).Granted
		}
		const vouch, release = peerwire.WitnessKind_WITNESS_KIND_VOUCH, peerwire.WitnessKind_WITNESS_KIND_RELEASE
		if !send(vouch, "a", 1) || !send(vouch, "a", 2) {
			t.Fatal("got no lease for the first owner, want one for each of its two requests")
		}
		send(release, "a", 1)
		if send(vouch, "b", 1) {
			t.Error("got a lease for a second owner after a late release, want none")
		}
		send(release, "a", 2)
		if !send(vouch, "b", 2) {
			t.Error("got no lease for a second owner after the release, want one")
		}
	})
}

// A countingReplica counts the calls of Sync.
type countingReplica struct{ syncs int }

func (r *countingReplica) Claims(sharder.Shard) []*peerwire.ClaimRecord { return nil }
func (r *countingReplica) Merge(sharder.Shard, []*peerwire.ClaimRecord) {}
func (r *countingReplica) Sync(context.Context, sharder.Shard, sharder.Group) bool {
	r.syncs++
	return true
}

// TestSyncAfterPrepare checks that a group receives the claims again after each
// preparation. Another group may have had an owner in between.
func TestSyncAfterPrepare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := sharder.Group{Version: 1, Members: []string{"a"}}
		replica := &countingReplica{}
		l := &Leaser{
			Self:     "a",
			Process:  "a/1",
			Group:    func(sharder.Shard) (sharder.Group, bool) { return group, true },
			IsListed: func(string) bool { return true },
			StaleFor: func() time.Duration { return 0 },
			Audit:    &auditor.Auditor{},
			Replica:  replica,
		}
		l.Start()
		defer l.Stop()
		s := l.shard(testShard)
		s.learning = false
		for round := 1; round <= 2; round++ {
			if !l.prepare(s, group) || !l.renewLease(s, group) || !l.renewLease(s, group) {
				t.Fatal("got no lease, want one")
			}
			if replica.syncs != round {
				t.Errorf("round %d: got %d calls of Sync, want %d", round, replica.syncs, round)
			}
		}
	})
}
