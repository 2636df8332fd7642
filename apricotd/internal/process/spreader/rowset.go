package spreader

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"apricotrudder.dev/wire/peerwire"
)

// maxRecentChanges bounds the number of changes kept for deltas. A watcher that is
// further behind receives all rows.
const maxRecentChanges = 512

type (
	// A digest is the XOR of the hashes of all rows. A change of one row thus
	// costs at most two hashes, however many rows there are.
	digest [sha256.Size]byte

	// A rowset is a versioned set of rows that is replicated by deltas. Except
	// for the first transfer, the cost depends only on the number of changed
	// rows.
	rowset struct {
		version uint64
		rows    map[string][]byte
		digest  digest
		recent  []change // oldest first
	}

	// A change holds the keys of the rows that differ between two versions.
	change struct {
		from, to uint64
		keys     []string
	}
)

func (d *digest) toggle(key string, value []byte) {
	h := sha256.New()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write(value)
	var sum [sha256.Size]byte
	for i, b := range h.Sum(sum[:0]) {
		d[i] ^= b
	}
}

// diff returns the delta from s to the given rows.
func (s *rowset) diff(version uint64, rows map[string][]byte) *peerwire.Delta {
	d := &peerwire.Delta{FromVersion: s.version, ToVersion: version}
	for key, value := range rows {
		if old, ok := s.rows[key]; !ok || !bytes.Equal(old, value) {
			d.Rows = append(d.Rows, &peerwire.Row{Key: key, Value: value})
		}
	}
	for key := range s.rows {
		if _, ok := rows[key]; !ok {
			d.Removed = append(d.Removed, key)
		}
	}
	sum := s.digestAfter(d)
	d.Digest = sum[:]
	return d
}

// since returns the delta from the given version to the current one. If that
// version is 0, too old or perhaps of another history, the delta holds all rows.
func (s *rowset) since(version uint64) *peerwire.Delta {
	d := &peerwire.Delta{ToVersion: s.version, Digest: bytes.Clone(s.digest[:])}
	if len(s.recent) == 0 || version == 0 || version < s.recent[0].from || !s.mayFollow(version) {
		for key, value := range s.rows {
			d.Rows = append(d.Rows, &peerwire.Row{Key: key, Value: value})
		}
		return d
	}
	d.FromVersion = version
	seen := make(map[string]bool)
	for _, c := range s.recent {
		if c.to <= version {
			continue
		}
		for _, key := range c.keys {
			if !seen[key] {
				seen[key] = true
				s.appendRow(d, key)
			}
		}
	}
	return d
}

// mayFollow reports whether the changes since a version apply to it. A node without
// eras may hold one that the restored platform gave out again.
func (s *rowset) mayFollow(version uint64) bool {
	return version/versionsPerEra == s.version/versionsPerEra ||
		slices.ContainsFunc(s.recent, func(c change) bool { return c.from == version || c.to == version })
}

// appendRow adds the current value of a row, or its removal, to a delta.
func (s *rowset) appendRow(d *peerwire.Delta, key string) {
	if value, ok := s.rows[key]; ok {
		d.Rows = append(d.Rows, &peerwire.Row{Key: key, Value: value})
		return
	}
	d.Removed = append(d.Removed, key)
}

// check returns an error if the delta does not apply to s or if the resulting rows
// would not match its digest. Its cost depends only on the size of the delta.
func (s *rowset) check(d *peerwire.Delta) error {
	if d.FromVersion > s.version {
		return fmt.Errorf("check delta: got base version %d, want at most %d", d.FromVersion, s.version)
	}
	if got := s.digestAfter(d); !bytes.Equal(got[:], d.Digest) {
		return fmt.Errorf("check delta: got digest %x at version %d, want %x", got[:4], d.ToVersion, d.Digest[:min(4, len(d.Digest))])
	}
	return nil
}

func (s *rowset) digestAfter(d *peerwire.Delta) digest {
	var sum digest
	if d.FromVersion > 0 {
		sum = s.digest
	}
	isReplaced := func(key string) bool {
		_, ok := s.rows[key]
		return ok && d.FromVersion > 0
	}
	for _, r := range d.Rows {
		if isReplaced(r.Key) {
			sum.toggle(r.Key, s.rows[r.Key])
		}
		sum.toggle(r.Key, r.Value)
	}
	for _, key := range d.Removed {
		if isReplaced(key) {
			sum.toggle(key, s.rows[key])
		}
	}
	return sum
}

// apply applies a delta, for which check must have succeeded.
func (s *rowset) apply(d *peerwire.Delta) {
	s.digest = s.digestAfter(d)
	c := change{from: s.version, to: d.ToVersion}
	if d.FromVersion == 0 {
		s.rows = make(map[string][]byte, len(d.Rows))
		s.recent = nil
	}
	for _, r := range d.Rows {
		s.rows[r.Key] = r.Value
		c.keys = append(c.keys, r.Key)
	}
	for _, key := range d.Removed {
		delete(s.rows, key)
		c.keys = append(c.keys, key)
	}
	s.version = d.ToVersion
	if d.FromVersion == 0 {
		return
	}
	s.recent = append(s.recent, c)
	if len(s.recent) > maxRecentChanges {
		s.recent = slices.Delete(s.recent, 0, maxRecentChanges/2)
	}
}

// changedRows returns the rows that a delta sets and the keys that it removes. A
// delta with FromVersion 0 replaces the whole set, so it also removes every row
// that it does not contain.
func (s *rowset) changedRows(d *peerwire.Delta) (changed map[string][]byte, removed []string) {
	changed = make(map[string][]byte, len(d.Rows))
	for _, r := range d.Rows {
		changed[r.Key] = r.Value
	}
	if d.FromVersion > 0 {
		return changed, d.Removed
	}
	for key := range s.rows {
		if _, ok := changed[key]; !ok {
			removed = append(removed, key)
		}
	}
	return changed, removed
}
