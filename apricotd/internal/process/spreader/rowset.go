package spreader

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"apricotrudder.dev/wire/peerwire"
)

// changesKept bounds the changes that are remembered. A watcher that is further
// behind gets every row.
const changesKept = 512

type (
	// A digest is the exclusive or of the hashes of all rows, so that a change
	// of one row costs one hash whatever the number of rows.
	digest [sha256.Size]byte

	// A rowset is a versioned set of rows that is spread by deltas. All costs
	// but that of the first spreading depend on the changes alone.
	rowset struct {
		version uint64
		rows    map[string][]byte
		digest  digest
		recent  []change // the newest last
	}

	// A change tells which rows differ between two versions.
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

// diff returns the delta that leads from s to the given rows.
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

// since returns the delta from an earlier version to the present one.
func (s *rowset) since(version uint64) *peerwire.Delta {
	d := &peerwire.Delta{ToVersion: s.version, Digest: bytes.Clone(s.digest[:])}
	if len(s.recent) == 0 || version == 0 || version < s.recent[0].from {
		for key, value := range s.rows {
			d.Rows = append(d.Rows, &peerwire.Row{Key: key, Value: value})
		}
		return d
	}
	d.FromVersion = version
	told := make(map[string]bool)
	for _, c := range s.recent {
		if c.to <= version {
			continue
		}
		for _, key := range c.keys {
			if !told[key] {
				told[key] = true
				s.tell(d, key)
			}
		}
	}
	return d
}

// tell adds the present state of one row to a delta.
func (s *rowset) tell(d *peerwire.Delta, key string) {
	if value, ok := s.rows[key]; ok {
		d.Rows = append(d.Rows, &peerwire.Row{Key: key, Value: value})
		return
	}
	d.Removed = append(d.Removed, key)
}

// check tells whether the delta fits and leads to the rows that it claims. Its
// cost depends on the delta alone.
func (s *rowset) check(d *peerwire.Delta) error {
	if d.FromVersion > s.version {
		return fmt.Errorf("check delta: got one from version %d, want from %d at the most", d.FromVersion, s.version)
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
	isChanged := func(key string) bool {
		_, ok := s.rows[key]
		return ok && d.FromVersion > 0
	}
	for _, r := range d.Rows {
		if isChanged(r.Key) {
			sum.toggle(r.Key, s.rows[r.Key])
		}
		sum.toggle(r.Key, r.Value)
	}
	for _, key := range d.Removed {
		if isChanged(key) {
			sum.toggle(key, s.rows[key])
		}
	}
	return sum
}

// apply carries out a delta that has passed check.
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
	if len(s.recent) > changesKept {
		s.recent = slices.Delete(s.recent, 0, changesKept/2)
	}
}

// changes returns what a delta changes: the rows that it sets and the keys that
// it removes. A whole set removes every row that it does not hold.
func (s *rowset) changes(d *peerwire.Delta) (changed map[string][]byte, removed []string) {
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
