// Package placement says at which stores a record belongs, by rendezvous hashing (Thaler and Ravishankar): every caller
// with the same members comes to the same order, and a change of members moves only what it has to.
//
//	table := placement.NewTable(members)
//	order := table.Order(placement.Key(root), home, nil)
//	places := order[:copies]
//
// The order takes distinct zones first: the member of greatest weight of each zone, the home zone's before all, then the
// second of each zone, and so on. Retiring members are left out. A Table is immutable.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"emberquay/coordination/hashing"
)

// Member is a place.
type Member struct {
	Name     string // stays the same when the member comes back without what it held
	Zone     string
	Retiring bool
}

// Table holds the members.
type Table struct {
	members []Member
	hashes  []uint64
}

// NewTable makes a table; the members are copied.
func NewTable(members []Member) *Table {
	t := &Table{members: slices.Clone(members), hashes: make([]uint64, len(members))}
	for at, m := range members {
		t.hashes[at] = xxhash.Sum64String(m.Name)
	}
	return t
}

// KeyOf is the hash of a record's name.
func KeyOf(name string) uint64 { return xxhash.Sum64String(name) }

// candidate is a member in the order of one key.
type candidate struct {
	at     int
	weight uint64
	round  int // how many of its zone come before it
	away   bool
}

// AppendOrder appends the places in members of all that are not retiring, in the order of a key. Records of the same key and
// home have the same order. A home that no member is in changes nothing.
func (t *Table) AppendOrder(key uint64, home string, into []int) []int {
	var space [16]candidate // avoids an allocation for usual numbers of members
	candidates := space[:0]
	for at, m := range t.members {
		if !m.Retiring {
			candidates = append(candidates, candidate{at: at, weight: hashing.Mix(key ^ t.hashes[at]), away: m.Zone != home})
		}
	}
	slices.SortFunc(candidates, heavier)
	for at := range candidates {
		candidates[at].round = t.before(candidates[:at], candidates[at])
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if c := cmp.Compare(a.round, b.round); c != 0 {
			return c
		}
		if a.away != b.away {
			if b.away {
				return -1
			}
			return 1
		}
		return heavier(a, b)
	})
	for _, c := range candidates {
		into = append(into, c.at)
	}
	return into
}

// before counts the members of the same zone among those of greater weight.
func (t *Table) before(greater []candidate, c candidate) int {
	count := 0
	for _, g := range greater {
		if t.members[g.at].Zone == t.members[c.at].Zone {
			count++
		}
	}
	return count
}

// heavier puts the greater weight first; the place decides between equals, so that the order is total.
func heavier(a, b candidate) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.at, b.at)
}
