package spreader

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"apricotrudder.dev/wire/peerwire"
)

// TestDeltas checks that a follower which receives deltas, and skips an arbitrary
// subset of the versions, ends up with exactly the published rows, and that a
// delta with a wrong digest is rejected.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := &rowset{}, &rowset{}
		published := make(map[string][]byte)
		for version := uint64(1); version <= 12; version++ {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				key := fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key"))
				if rapid.Bool().Draw(t, "remove") {
					delete(published, key)
				} else {
					published[key] = []byte(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value")))
				}
			}
			mustApply(t, source, source.diff(version, maps.Clone(published)))
			if rapid.Bool().Draw(t, "follow") {
				mustApply(t, follower, source.since(follower.version))
				if !maps.EqualFunc(follower.rows, published, slices.Equal) {
					t.Fatalf("version %d: got %v, want %v", version, follower.rows, published)
				}
			}
		}
		broken := source.since(0)
		broken.Digest = []byte("wrong")
		if err := follower.check(broken); err == nil {
			t.Fatal("check of a delta with a wrong digest: got no error, want one")
		}
	})
}

func mustApply(t *rapid.T, s *rowset, d *peerwire.Delta) {
	if err := s.check(d); err != nil {
		t.Fatalf("check of a valid delta: got error %v, want none", err)
	}
	s.apply(d)
}
