// Package merkle keeps digests of a set of keyed entries by ranges of their keys, which are hashes, so that two replicas
// find their differences with little traffic. It is a Merkle tree of two levels, a root over RangeCount leaves:
//
//	mine.Add(key, digest)                     // at each change, in constant time
//	if mine.Root() != theirs {
//		for _, r := range merkle.DifferingRanges(mine.Leaves(), leaves) { ...exchange the keys with merkle.RangeOf(key) == r... }
//	}
//
// A leaf is the sum of the digests of its entries, so entries can be added and removed in any order. The digests detect
// accidental differences, not forgery. The zero Tree is empty.
package merkle

import "emberquay/coordination/hashing"

// RangeCount is the number of leaves, chosen so that one difference among 100,000 entries leads to the exchange of fewer
// than 2,000 keys.
const RangeCount = 64

// rangeShift is the shift that leaves the high bits of a key, which select its leaf.
const rangeShift = 64 - 6

// Tree holds the digests of a set of entries.
type Tree struct {
	leaves [RangeCount]uint64
}

// RangeOf returns the index of the leaf of a key.
func RangeOf(key uint64) int { return int(key >> rangeShift) }

// Add adds an entry. An entry added twice counts twice.
func (t *Tree) Add(key, value uint64) { t.leaves[RangeOf(key)] += EntryDigest(key, value) }

// Remove removes an entry that was added.
func (t *Tree) Remove(key, value uint64) { t.leaves[RangeOf(key)] -= EntryDigest(key, value) }

// Root returns the digest of the whole set.
func (t *Tree) Root() uint64 {
	root := uint64(0)
	for index, leaf := range t.leaves {
		root += hashing.Mix(leaf + uint64(index)*hashing.GoldenGamma)
	}
	return root
}

// Leaves returns a copy of the digests of all ranges.
func (t *Tree) Leaves() []uint64 { return append([]uint64(nil), t.leaves[:]...) }

// DifferingRanges returns the ranges in which two lists of leaves differ. If either list does not have RangeCount leaves,
// all ranges differ.
func DifferingRanges(a, b []uint64) []int {
	var differing []int
	for index := range RangeCount {
		if len(a) != RangeCount || len(b) != RangeCount || a[index] != b[index] {
			differing = append(differing, index)
		}
	}
	return differing
}

// EntryDigest returns the digest of one entry.
func EntryDigest(key, value uint64) uint64 { return hashing.Pair(key, value) }
