// Package placement assigns records to stores by rendezvous hashing (Thaler and Ravishankar): all callers with the same
// members compute the same order, and a change of members moves no more records than necessary.
//
//	table := placement.NewTable(members)
//	order := table.AppendOrder(placement.KeyOf(root), homeZone, nil)
//	chosen := order[:copies]
//
// The order alternates between zones: first the member of greatest weight of each zone, then the second of each zone, and
// so on; in each of these groups the home zone comes first. Retiring members are left out. A Table is immutable.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"emberquay/coordination/hashing"
)

// Member is a store that records can be assigned to.
type Member struct {
	Name     string // unchanged if the member returns with an empty disk
	Zone     string
	Retiring bool
}

// Table assigns keys to members.
type Table struct {
	members    []Member
	nameHashes []uint64
}

// NewTable returns a table of a copy of the members.
func NewTable(members []Member) *Table {
	t := &Table{members: slices.Clone(members), nameHashes: make([]uint64, len(members))}
	for index, m := range members {
		t.nameHashes[index] = xxhash.Sum64String(m.Name)
	}
	return t
}

// KeyOf returns the key of a record: the hash of its name.
func KeyOf(name string) uint64 { return xxhash.Sum64String(name) }

// candidate is a member with its sort criteria for one key.
type candidate struct {
	index           int
	weight          uint64
	zoneRank        int // number of members of its zone with greater weight
	outsideHomeZone bool
}

// AppendOrder appends to dst the indexes of all members that are not retiring, in the order for a key and a home zone.
// A home zone without members has no effect.
func (t *Table) AppendOrder(key uint64, homeZone string, dst []int) []int {
	var buffer [16]candidate // avoids an allocation for common numbers of members
	candidates := buffer[:0]
	for index, m := range t.members {
		if !m.Retiring {
			candidates = append(candidates, candidate{index: index, weight: hashing.Mix(key ^ t.nameHashes[index]), outsideHomeZone: m.Zone != homeZone})
		}
	}
	slices.SortFunc(candidates, compareWeight)
	for index := range candidates {
		candidates[index].zoneRank = t.countSameZone(candidates[:index], candidates[index])
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if c := cmp.Compare(a.zoneRank, b.zoneRank); c != 0 {
			return c
		}
		if a.outsideHomeZone != b.outsideHomeZone {
			if b.outsideHomeZone {
				return -1
			}
			return 1
		}
		return compareWeight(a, b)
	})
	for _, c := range candidates {
		dst = append(dst, c.index)
	}
	return dst
}

// countSameZone returns the number of members of c's zone among those of greater weight.
func (t *Table) countSameZone(heavier []candidate, c candidate) int {
	count := 0
	for _, g := range heavier {
		if t.members[g.index].Zone == t.members[c.index].Zone {
			count++
		}
	}
	return count
}

// compareWeight orders by descending weight, and equal weights by index, so that the order is total.
func compareWeight(a, b candidate) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}
