package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another process that takes part.
type Peer struct {
	ID   string
	Zone string
	// Hub marks one of the few that every other compares with often.
	Hub bool
}

const (
	// allContacts is up to how many peers are all contacts. Beyond it a node keeps to a few, so that its
	// connections stay few.
	allContacts = 16
	// nearContacts and farContacts are how many contacts it keeps in its own and in other zones, hubs apart.
	nearContacts = 6
	farContacts  = 4
	// contactTurn is how often one contact is exchanged for another, so that no part stays apart.
	contactTurn = 30 * time.Second

	// nearFanOut is how many peers of the own zone news is pushed to: the successor on the ring of the zone's
	// ids, so that without losses all of a zone hear of it, and others at random, so that they soon do.
	nearFanOut = 3
	// crossings is how many pushes of one news leave a zone, expected: bytes between zones are priced.
	crossings = 4

	// hubComparisons bounds the comparisons a second that each hub is expected to take from all others.
	hubComparisons = 20
)

// contacts are the peers that a node talks to.
type contacts struct {
	self     string
	zone     string
	next     Peer // the successor in the own zone; empty if there is none
	random   *rand.Rand
	all      []Peer
	near     []Peer // chosen, of the own zone
	far      []Peer // chosen, of other zones
	hubs     []Peer // all of them
	zoneSize int    // peers of the own zone, this one included
	turnAt   time.Time
}

// set takes the present peers. Chosen ones that are still there stay chosen.
func (c *contacts) set(now time.Time, peers []Peer) {
	c.all = peers
	c.hubs = c.hubs[:0]
	c.zoneSize = 1
	present := make(map[string]Peer, len(peers))
	for _, p := range peers {
		present[p.ID] = p
		if p.Hub {
			c.hubs = append(c.hubs, p)
		}
		if p.Zone == c.zone {
			c.zoneSize++
		}
	}
	c.near = keep(c.near, present, func(p Peer) bool { return p.Zone == c.zone })
	c.far = keep(c.far, present, func(p Peer) bool { return p.Zone != c.zone })
	c.next = c.successor()
	c.fill()
	if c.turnAt.IsZero() {
		c.turnAt = now.Add(contactTurn)
	}
}

// successor is the peer of the own zone whose hashed id follows that of this node.
func (c *contacts) successor() Peer {
	var next Peer
	var least uint64
	own := xxhash.Sum64String(c.self)
	for _, p := range c.all {
		distance := xxhash.Sum64String(p.ID) - own // modulo 2^64: around the ring
		if p.Zone == c.zone && (next.ID == "" || distance < least) {
			next, least = p, distance
		}
	}
	return next
}

func keep(chosen []Peer, present map[string]Peer, belongs func(Peer) bool) []Peer {
	kept := chosen[:0]
	for _, old := range chosen {
		if p, there := present[old.ID]; there && belongs(p) {
			kept = append(kept, p)
		}
	}
	return kept
}

// fill chooses contacts until there are enough.
func (c *contacts) fill() {
	near, far := nearContacts, farContacts
	if len(c.all) <= allContacts {
		near, far = allContacts, allContacts
	}
	if c.zoneSize-1 < near {
		far += near - (c.zoneSize - 1)
	}
	c.near = c.choose(c.near, near, func(p Peer) bool { return p.Zone == c.zone })
	c.far = c.choose(c.far, far, func(p Peer) bool { return p.Zone != c.zone })
}

func (c *contacts) choose(chosen []Peer, want int, belongs func(Peer) bool) []Peer {
	if len(chosen) >= want {
		return chosen
	}
	var free []Peer
	for _, p := range c.all {
		if belongs(p) && !slices.ContainsFunc(chosen, func(q Peer) bool { return q.ID == p.ID }) {
			free = append(free, p)
		}
	}
	c.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	return append(chosen, free[:min(len(free), want-len(chosen))]...)
}

// turn exchanges one contact once its time has come.
func (c *contacts) turn(now time.Time) {
	if now.Before(c.turnAt) || len(c.all) <= allContacts {
		return
	}
	c.turnAt = now.Add(contactTurn)
	c.near = c.without(c.near)
	c.far = c.without(c.far)
	c.fill()
}

func (c *contacts) without(chosen []Peer) []Peer {
	if len(chosen) == 0 {
		return chosen
	}
	i := c.random.IntN(len(chosen))
	return slices.Delete(chosen, i, i+1)
}

// targets chooses whom to push news to. An originator crosses to several zones for certain; a forwarder
// crosses with a chance that lets few copies leave its zone.
func (c *contacts) targets(originator bool) []Peer {
	chosen := c.some(c.near, nearFanOut)
	if len(chosen) > 0 && c.next.ID != "" && !slices.ContainsFunc(chosen, func(p Peer) bool { return p.ID == c.next.ID }) {
		chosen[len(chosen)-1] = c.next
	}
	switch {
	case originator:
		return append(chosen, c.onePerZone(crossings)...)
	case len(c.near) == 0 || c.random.Float64()*float64(c.zoneSize) < crossings:
		return append(chosen, c.some(c.far, 1)...)
	}
	return chosen
}

// some draws up to n of the peers.
func (c *contacts) some(peers []Peer, n int) []Peer {
	drawn := slices.Clone(peers)
	c.random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}

// onePerZone draws up to n far contacts of different zones.
func (c *contacts) onePerZone(n int) []Peer {
	var chosen []Peer
	for _, p := range c.some(c.far, len(c.far)) {
		if len(chosen) < n && !slices.ContainsFunc(chosen, func(q Peer) bool { return q.Zone == p.Zone }) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// partner chooses whom to compare with: a hub every other time, less often where that would be too much for
// the hubs, any contact otherwise.
func (c *contacts) partner(interval time.Duration) (Peer, bool) {
	if len(c.hubs) > 0 && c.random.Float64() < c.hubShare(interval) {
		return c.hubs[c.random.IntN(len(c.hubs))], true
	}
	n := len(c.near) + len(c.far)
	if n == 0 {
		return Peer{}, false
	}
	i := c.random.IntN(n)
	if i < len(c.near) {
		return c.near[i], true
	}
	return c.far[i-len(c.near)], true
}

func (c *contacts) hubShare(interval time.Duration) float64 {
	perSecond := float64(len(c.all)+1) / interval.Seconds()
	return min(0.5, hubComparisons*float64(len(c.hubs))/perSecond)
}

// zoneOf gives the zone of a peer, if it is known.
func (c *contacts) zoneOf(id string) (string, bool) {
	for _, list := range [...][]Peer{c.near, c.far, c.hubs, c.all} {
		for _, p := range list {
			if p.ID == id {
				return p.Zone, true
			}
		}
	}
	return "", false
}
