package spreader

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"apricotrudder.dev/wire/peerwire"
)

// tombstonesKept bounds the removed rows that are remembered. A watcher that
// is further behind gets every row.
const tombstonesKept = 4096

type (
	// A digest is the exclusive or of the hashes of all rows, so that a change
	// of one row costs one hash whatever the number of rows.
	digest [sha256.Size]byte

	// A rowset is a versioned set of rows that is spread by deltas.
	rowset struct {
		version    uint64
		rows       map[string]row
		digest     digest
		tombstones []tombstone // in order of version
		// complete is the oldest version from which a delta can be made.
		complete uint64
	}

	row struct {
		value   []byte
		version uint64 // at which this row last changed
	}

	tombstone struct {
		key     string
		version uint64
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
	sum := s.digest
	for key, value := range rows {
		old, ok := s.rows[key]
		if ok && bytes.Equal(old.value, value) {
			continue
		}
		if ok {
			sum.toggle(key, old.value)
		}
		sum.toggle(key, value)
		d.Rows = append(d.Rows, &peerwire.Row{Key: key, Value: value})
	}
	for key, old := range s.rows {
		if _, ok := rows[key]; !ok {
			sum.toggle(key, old.value)
			d.Removed = append(d.Removed, key)
		}
	}
	d.Digest = sum[:]
	return d
}

// since returns the delta from an earlier version to the present one.
func (s *rowset) since(version uint64) *peerwire.Delta {
	d := &peerwire.Delta{ToVersion: s.version, Digest: bytes.Clone(s.digest[:])}
	if version >= s.complete {
		d.FromVersion = version
	}
	for key, r := range s.rows {
		if r.version > d.FromVersion {
			d.Rows = append(d.Rows, &peerwire.Row{Key: key, Value: r.value})
		}
	}
	if d.FromVersion == 0 {
		return d
	}
	for _, t := range s.tombstones {
		if _, back := s.rows[t.key]; t.version > version && !back {
			d.Removed = append(d.Removed, t.key)
		}
	}
	return d
}

// apply returns s changed by the delta. s itself stays as it is when the
// delta does not fit or its digest does not match.
func (s *rowset) apply(d *peerwire.Delta) (*rowset, error) {
	next := s.prepare(d)
	if next == nil {
		return nil, fmt.Errorf("apply delta: got one from version %d, want from %d at the most", d.FromVersion, s.version)
	}
	for _, r := range d.Rows {
		next.put(r.Key, r.Value)
	}
	for _, key := range d.Removed {
		next.remove(key)
	}
	if !bytes.Equal(next.digest[:], d.Digest) {
		return nil, fmt.Errorf("apply delta: got digest %x at version %d, want %x", next.digest[:4], d.ToVersion, d.Digest[:min(4, len(d.Digest))])
	}
	return next, nil
}

func (s *rowset) prepare(d *peerwire.Delta) *rowset {
	if d.FromVersion == 0 {
		return &rowset{
			version:  d.ToVersion,
			rows:     make(map[string]row, len(d.Rows)),
			complete: d.ToVersion,
		}
	}
	if d.FromVersion > s.version {
		return nil
	}
	next := &rowset{
		version:    d.ToVersion,
		rows:       make(map[string]row, len(s.rows)+len(d.Rows)),
		digest:     s.digest,
		tombstones: s.tombstones,
		complete:   s.complete,
	}
	for key, r := range s.rows {
		next.rows[key] = r
	}
	return next
}

func (s *rowset) put(key string, value []byte) {
	if old, ok := s.rows[key]; ok {
		if bytes.Equal(old.value, value) {
			return
		}
		s.digest.toggle(key, old.value)
	}
	s.digest.toggle(key, value)
	s.rows[key] = row{value: value, version: s.version}
}

func (s *rowset) remove(key string) {
	old, ok := s.rows[key]
	if !ok {
		return
	}
	s.digest.toggle(key, old.value)
	delete(s.rows, key)
	kept := s.tombstones
	if len(kept) >= tombstonesKept {
		s.complete = kept[0].version
		kept = kept[1:]
	}
	s.tombstones = append(kept[:len(kept):len(kept)], tombstone{key, s.version})
}

// values returns the rows without their versions.
func (s *rowset) values() map[string][]byte {
	out := make(map[string][]byte, len(s.rows))
	for key, r := range s.rows {
		out[key] = r.value
	}
	return out
}
