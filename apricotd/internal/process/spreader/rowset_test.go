package spreader

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"apricotrudder.dev/wire/peerwire"
)

// TestDeltas holds rows that are spread by deltas, over any path of versions,
// against the rows as published.
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
			t.Fatal("got no error for a wrong digest, want one")
		}
	})
}

func mustApply(t *rapid.T, s *rowset, d *peerwire.Delta) {
	if err := s.check(d); err != nil {
		t.Fatalf("got %v, want a delta that fits", err)
	}
	s.apply(d)
}
