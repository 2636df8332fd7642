// Package sequencer orders states of the published data, so that all parts of a
// node agree on which of two states is newer.
//
// The tables have a version of their own, which their author raises with each
// change; it is comparable whatever the store does. The server list has none. Its
// states are ordered by Position: first by the era of the store, which rises when
// the store is restored from a copy, then by the revision, which the store counts
// anew from the copy's.
//
// A later position does not mean that each entry is newer: after a restoration the
// store shows entries as they were when the copy was made. Package syncer merges
// them with what it knows.
//
// # Usage
//
//	if held.IsBehind(announced) { fetch(held) }
package sequencer

import "cmp"

// NoEra is the era of a position whose source does not state one.
const NoEra = -1

type (
	// A Position is a point in the history of the store. The zero Position means
	// that nothing is held.
	Position struct {
		// Era is the number of the history in which Revision counts, or NoEra.
		Era int64
		// Revision rises with each change within an era. The first is 1.
		Revision uint64
	}

	// Versions identifies the published state that a node holds.
	Versions struct {
		Tables  uint64 // version of the tables; 0 if there are none
		Servers Position
		// Evacuations is the sum of the positions of all evacuations that are known. Each
		// change moves the position of one of them ahead, and thereby the sum.
		Evacuations Position
	}
)

// IsZero reports whether nothing is held.
func (p Position) IsZero() bool { return p.Revision == 0 }

// Compare returns a negative number if p is before o, a positive one if p is after
// o, and 0 if they are the same. Both must have an era.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// InEra returns p with the given era if p has none.
func (p Position) InEra(era int64) Position {
	if p.Era == NoEra {
		p.Era = era
	}
	return p
}

// IsBehind reports whether any part of o is newer than in v. A position of o
// without an era is taken to be of the era of v.
func (v Versions) IsBehind(o Versions) bool {
	return o.Tables > v.Tables || !o.Servers.IsZero() && o.Servers.InEra(v.Servers.Era).Compare(v.Servers) > 0 ||
		o.Evacuations.Compare(v.Evacuations) > 0
}
