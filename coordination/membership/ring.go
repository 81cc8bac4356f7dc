package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MonitorCount is the number of monitors of each node.
	MonitorCount = 3
	// watchSearchLimit is the number of predecessors among which a node looks for those that it watches. It exceeds
	// MonitorCount because several nodes on one machine count as one monitor.
	watchSearchLimit = 4 * MonitorCount
)

// ringPosition is a node's position on the ring.
type ringPosition struct {
	hash    uint64
	id      ID
	machine string // name of the machine
}

// ring holds the nodes that count as running, sorted by the hashes of their ids.
type ring []ringPosition

func ringPositionOf(n Node) ringPosition {
	id := n.ID()
	return ringPosition{hash: xxhash.Sum64String(string(id)), id: id, machine: n.Name}
}

func compareRingPositions(a, b ringPosition) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

func (r *ring) add(n Node) {
	p := ringPositionOf(n)
	if index, found := slices.BinarySearchFunc(*r, p, compareRingPositions); !found {
		*r = slices.Insert(*r, index, p)
	}
}

func (r *ring) remove(n Node) {
	if index, found := slices.BinarySearchFunc(*r, ringPositionOf(n), compareRingPositions); found {
		*r = slices.Delete(*r, index, index+1)
	}
}

// monitors returns the nodes that watch a node: its nearest successors on distinct machines other than its own.
func (r ring) monitors(n Node) []ID {
	p := ringPositionOf(n)
	start, found := slices.BinarySearchFunc(r, p, compareRingPositions)
	if found {
		start++
	}
	var chosen []ringPosition
	for i := 0; i < len(r) && len(chosen) < MonitorCount; i++ {
		next := r[(start+i)%len(r)]
		sameMachine := func(c ringPosition) bool { return c.machine == next.machine }
		if next.machine != p.machine && !slices.ContainsFunc(chosen, sameMachine) {
			chosen = append(chosen, next)
		}
	}
	ids := make([]ID, len(chosen))
	for i, c := range chosen {
		ids[i] = c.id
	}
	return ids
}

// predecessors returns the ids before a node's position, nearest first. They include all nodes that it watches.
func (r ring) predecessors(n Node) []ID {
	start, _ := slices.BinarySearchFunc(r, ringPositionOf(n), compareRingPositions)
	var ids []ID
	for i := 1; i <= min(len(r), watchSearchLimit); i++ {
		p := r[(start-i+2*len(r))%len(r)]
		if p.id != n.ID() {
			ids = append(ids, p.id)
		}
	}
	return ids
}
