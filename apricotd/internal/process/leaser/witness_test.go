package leaser

import (
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
