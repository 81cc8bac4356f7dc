// Package merkle keeps digests of a set of keyed entries, by ranges of the key's hash, so that two holders find what
// they don't share by few bytes (Merkle trees; here of two levels, a root over Ranges leaves):
//
//	mine.Add(key, digest)                     // at each change, in constant time
//	if mine.Root() != theirs {
//		for _, r := range merkle.Differing(mine.Leaves(), leaves) { ...exchange the keys with merkle.Range(key) == r... }
//	}
//
// A leaf is a sum over its entries, so entries can be added and removed in any order. The digests guard against
// differences by chance, not against forgery. The zero Tree is empty.
package merkle

import "emberquay/coordination/hashing"

// RangeCount is the number of leaves: enough that one difference among 100,000 entries brings under 2,000 keys up.
const RangeCount = 64

// rangeShift leaves the bits of a key that choose its leaf.
const rangeShift = 64 - 6

// Tree holds the digests.
type Tree struct {
	leaves [RangeCount]uint64
}

// RangeOf is the leaf of a key.
func RangeOf(key uint64) int { return int(key >> rangeShift) }

// Add takes an entry in. Adding the same twice counts twice.
func (t *Tree) Add(key, value uint64) { t.leaves[RangeOf(key)] += EntryDigest(key, value) }

// Remove takes out what Add took in.
func (t *Tree) Remove(key, value uint64) { t.leaves[RangeOf(key)] -= EntryDigest(key, value) }

// Root is the digest of the whole set.
func (t *Tree) Root() uint64 {
	root := uint64(0)
	for at, leaf := range t.leaves {
		root += hashing.Mix(leaf + uint64(at)*hashing.GoldenGamma)
	}
	return root
}

// Leaves gives a copy of the digests of all ranges.
func (t *Tree) Leaves() []uint64 { return append([]uint64(nil), t.leaves[:]...) }

// DifferingRanges lists the ranges where two sets of leaves differ. Lists of other lengths than Ranges differ everywhere.
func DifferingRanges(a, b []uint64) []int {
	var differing []int
	for at := range RangeCount {
		if len(a) != RangeCount || len(b) != RangeCount || a[at] != b[at] {
			differing = append(differing, at)
		}
	}
	return differing
}

// EntryDigest is the digest of one entry.
func EntryDigest(key, value uint64) uint64 { return hashing.Pair(key, value) }
