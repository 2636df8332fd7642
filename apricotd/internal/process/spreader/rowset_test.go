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

// Guards against a watcher without eras that can never catch up, because the version
// that it holds was given out again with other rows.
func TestDeltaForOtherHistory(t *testing.T) {
	source := &rowset{}
	rows := map[string][]byte{}
	for i, version := range []uint64{1, 3, versionsPerEra + 2} {
		rows[fmt.Sprint(i)] = []byte("x")
		mustApply(t, source, source.diff(version, maps.Clone(rows)))
	}
	for version, want := range map[uint64]uint64{1: 1, 3: 3, 4: 0} {
		if got := source.since(version).FromVersion; got != want {
			t.Errorf("base of the delta after version %d: got %d, want %d", version, got, want)
		}
	}
}

// Guards against eras that would block every later version.
func TestVersionOfEra(t *testing.T) {
	for _, c := range []struct{ installed, era, version, want uint64 }{ // want 0 is an error
		{7, 0, versionsPerEra + 1, versionsPerEra + 1},
		{7, 1, 7, versionsPerEra + 7},
		{7, maxEraStep + 1, 7, 0},
		{2*versionsPerEra + 9, maxEraStep + 2, 1, (maxEraStep+2)*versionsPerEra + 1},
		{0, maxEra + 1, 1, 0},
		{7, 1, versionsPerEra, 0},
	} {
		r := &folderReader{installedVersion: func() uint64 { return c.installed }}
		got, err := r.versionOf(&Change{Era: c.era, Version: c.version})
		if got != c.want || (err == nil) != (c.want > 0) {
			t.Errorf("version %d of era %d after %d: got %d, %v, want %d", c.version, c.era, c.installed, got, err, c.want)
		}
	}
}

// Guards against changes that are applied to a version which was given out twice, by
// a platform that states eras and does not read them.
func TestChangeOfOtherHistory(t *testing.T) {
	r := &folderReader{after: Position{Version: 5}, values: map[string][]byte{}, install: func(uint64, map[string][]byte) {}}
	if r.applyChange(&Change{From: 5, Version: 6, Era: 1}, versionsPerEra+6) {
		t.Error("change of another era: got applied, want the whole folder to be read")
	}
	if !r.applyChange(&Change{Version: 6, Era: 1}, versionsPerEra+6) || !r.applyChange(&Change{From: 6, Version: 7, Era: 1}, versionsPerEra+7) {
		t.Error("whole folder and a change of its era: got not applied, want applied")
	}
}

func mustApply(t rapid.TB, s *rowset, d *peerwire.Delta) {
	if err := s.check(d); err != nil {
		t.Fatalf("check of a valid delta: got error %v, want none", err)
	}
	s.apply(d)
}
