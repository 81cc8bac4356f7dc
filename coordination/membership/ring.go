package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MonitorCount is how many nodes watch each one.
	MonitorCount = 3
	// watchWalk is how far back a node looks for those that it watches. The two roles of a machine count as
	// one monitor, so some more than Monitors come into question.
	watchWalk = 4 * MonitorCount
)

// place is a node's place on the ring.
type place struct {
	hash uint64
	id   ID
	name string // of the machine
}

// ring holds the nodes that count as running in the order of the hashes of their ids.
type ring []place

func placeOf(n Node) place {
	id := n.ID()
	return place{hash: xxhash.Sum64String(string(id)), id: id, name: n.Name}
}

func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

func (r *ring) add(n Node) {
	p := placeOf(n)
	if at, found := slices.BinarySearchFunc(*r, p, comparePlaces); !found {
		*r = slices.Insert(*r, at, p)
	}
}

func (r *ring) remove(n Node) {
	if at, found := slices.BinarySearchFunc(*r, placeOf(n), comparePlaces); found {
		*r = slices.Delete(*r, at, at+1)
	}
}

// monitors gives the nodes that watch one: its successors, of different machines and none of its own.
func (r ring) monitors(n Node) []ID {
	p := placeOf(n)
	at, found := slices.BinarySearchFunc(r, p, comparePlaces)
	if found {
		at++
	}
	var chosen []place
	for i := 0; i < len(r) && len(chosen) < MonitorCount; i++ {
		next := r[(at+i)%len(r)]
		taken := func(c place) bool { return c.name == next.name }
		if next.name != p.name && !slices.ContainsFunc(chosen, taken) {
			chosen = append(chosen, next)
		}
	}
	ids := make([]ID, len(chosen))
	for i, c := range chosen {
		ids[i] = c.id
	}
	return ids
}

// predecessors gives the ids before a node's place, the nearest first: among them are all that it watches.
func (r ring) predecessors(n Node) []ID {
	at, _ := slices.BinarySearchFunc(r, placeOf(n), comparePlaces)
	var ids []ID
	for i := 1; i <= min(len(r), watchWalk); i++ {
		p := r[(at-i+2*len(r))%len(r)]
		if p.id != n.ID() {
			ids = append(ids, p.id)
		}
	}
	return ids
}
