package gossip

import "cmp"

// Stamp is the version of an entry. Stamps are ordered by epoch, then sequence, then origin; the zero stamp is
// the lowest.
type Stamp struct {
	Epoch    uint64
	Sequence uint64
	Origin   string
}

// Compare returns -1, 0 or 1 as s is lower than, equal to or higher than other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Epoch, other.Epoch),
		cmp.Compare(s.Sequence, other.Sequence),
		cmp.Compare(s.Origin, other.Origin),
	)
}

// After reports whether s is newer than other.
func (s Stamp) After(other Stamp) bool { return s.Compare(other) > 0 }

// IsZero reports whether s is the zero stamp, which no entry may have.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Entry is a key of the table with its value and version. A value must not be modified once it is in an entry.
type Entry struct {
	Key   string
	Value []byte
	Stamp Stamp
}
