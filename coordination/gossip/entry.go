package gossip

import "cmp"

// Stamp orders the values of a key: by epoch, then sequence, then origin. The zero stamp is below all others.
type Stamp struct {
	Epoch    uint64
	Sequence uint64
	Origin   string
}

// Compare gives -1, 0 or 1 as s is below, equal to or above other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Epoch, other.Epoch),
		cmp.Compare(s.Sequence, other.Sequence),
		cmp.Compare(s.Origin, other.Origin),
	)
}

// After tells whether s replaces other.
func (s Stamp) After(other Stamp) bool { return s.Compare(other) > 0 }

// IsZero tells whether s is the stamp of nothing.
func (s Stamp) IsZero() bool { return s == Stamp{} }

// Entry is one value of the table. Values are not changed once they are in an entry.
type Entry struct {
	Key   string
	Value []byte
	Stamp Stamp
}
