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

// TestLateRelease checks that a release which arrives after a later vouch does
// not end the support that the owner relies on.
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
		ask := func(kind peerwire.WitnessKind, vm string, round uint64) bool {
			return l.Witness(t.Context(), &peerwire.WitnessRequest{
				Shard: uint32(testShard), Kind: kind, Vm: vm, Process: vm + "/1", Group: wireGroup(group), Round: round,
			}).Granted
		}
		const vouch, release = peerwire.WitnessKind_WITNESS_KIND_VOUCH, peerwire.WitnessKind_WITNESS_KIND_RELEASE
		if !ask(vouch, "a", 1) || !ask(vouch, "a", 2) {
			t.Fatal("got no support, want it twice")
		}
		ask(release, "a", 1)
		if ask(vouch, "b", 1) {
			t.Error("got support for a second owner after a late release, want none")
		}
		ask(release, "a", 2)
		if !ask(vouch, "b", 2) {
			t.Error("got no support after the release, want it")
		}
	})
}

// countingReplica counts how often a group was given what the owner keeps.
type countingReplica struct{ synced int }

func (r *countingReplica) Claims(sharder.Shard) []*peerwire.ClaimRecord  { return nil }
func (r *countingReplica) Absorb(sharder.Shard, []*peerwire.ClaimRecord) {}
func (r *countingReplica) Sync(context.Context, sharder.Shard, sharder.Group) bool {
	r.synced++
	return true
}

// TestSyncAfterPrepare checks that a group which had an owner before another
// group did is given the claims again when it comes back.
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
			if !l.prepare(s, group) || !l.renew(s, group) || !l.renew(s, group) {
				t.Fatal("got no lease, want one")
			}
			if replica.synced != round {
				t.Errorf("round %d: got %d times synced, want %d", round, replica.synced, round)
			}
		}
	})
}
