package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Peer is another process that takes part in the gossip.
type Peer struct {
	ID   string
	Zone string
	// Hub marks one of the few peers with which all others compare often.
	Hub bool
}

const (
	// fullMeshPeers is the number of peers up to which a node talks to all of them. Beyond it, a node talks only
	// to a few contacts, to keep its connections few.
	fullMeshPeers = 16
	// sameZoneContacts and otherZoneContacts are the numbers of contacts in the own zone and in other zones, not
	// counting hubs.
	sameZoneContacts  = 6
	otherZoneContacts = 4
	// contactRotationInterval is how often a contact is replaced by another, so that no group of nodes stays
	// disconnected.
	contactRotationInterval = 30 * time.Second

	// sameZoneFanOut is the number of peers of the own zone that a new entry is pushed to: the successor on the ring
	// of the zone's hashed ids, so that it reaches the whole zone if no message is lost, and others at random, so
	// that it does so quickly.
	sameZoneFanOut = 3
	// crossZonePushes is the expected number of pushes of a new entry that leave a zone. It is low because traffic
	// between zones is charged by the byte.
	crossZonePushes = 4

	// hubComparesPerSecond bounds the expected number of comparisons per second at each hub.
	hubComparesPerSecond = 20
)

// contacts holds the peers of a node and those among them that it talks to.
type contacts struct {
	self         string
	zone         string
	successor    Peer // the next peer of the own zone on the ring; zero if there is none
	random       *rand.Rand
	peers        []Peer
	sameZone     []Peer // contacts in the own zone
	otherZones   []Peer // contacts in other zones
	hubs         []Peer // all hubs
	zoneSize     int    // nodes of the own zone, this one included
	nextRotation time.Time
}

// setPeers replaces the peers. Contacts that are still present remain contacts.
func (c *contacts) setPeers(now time.Time, peers []Peer) {
	c.peers = peers
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
	c.sameZone = retain(c.sameZone, present, func(p Peer) bool { return p.Zone == c.zone })
	c.otherZones = retain(c.otherZones, present, func(p Peer) bool { return p.Zone != c.zone })
	c.successor = c.findSuccessor()
	c.fill()
	if c.nextRotation.IsZero() {
		c.nextRotation = now.Add(contactRotationInterval)
	}
}

// findSuccessor returns the peer of the own zone whose hashed id follows that of this node on the ring.
func (c *contacts) findSuccessor() Peer {
	var next Peer
	var shortest uint64
	ownHash := xxhash.Sum64String(c.self)
	for _, p := range c.peers {
		distance := xxhash.Sum64String(p.ID) - ownHash // modulo 2^64: around the ring
		if p.Zone == c.zone && (next.ID == "" || distance < shortest) {
			next, shortest = p, distance
		}
	}
	return next
}

func retain(chosen []Peer, present map[string]Peer, belongs func(Peer) bool) []Peer {
	kept := chosen[:0]
	for _, old := range chosen {
		if p, found := present[old.ID]; found && belongs(p) {
			kept = append(kept, p)
		}
	}
	return kept
}

// fill adds random contacts until there are enough.
func (c *contacts) fill() {
	sameZone, otherZones := sameZoneContacts, otherZoneContacts
	if len(c.peers) <= fullMeshPeers {
		sameZone, otherZones = fullMeshPeers, fullMeshPeers
	}
	if c.zoneSize-1 < sameZone {
		otherZones += sameZone - (c.zoneSize - 1)
	}
	c.sameZone = c.topUp(c.sameZone, sameZone, func(p Peer) bool { return p.Zone == c.zone })
	c.otherZones = c.topUp(c.otherZones, otherZones, func(p Peer) bool { return p.Zone != c.zone })
}

func (c *contacts) topUp(chosen []Peer, count int, belongs func(Peer) bool) []Peer {
	if len(chosen) >= count {
		return chosen
	}
	var candidates []Peer
	for _, p := range c.peers {
		if belongs(p) && !slices.ContainsFunc(chosen, func(q Peer) bool { return q.ID == p.ID }) {
			candidates = append(candidates, p)
		}
	}
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return append(chosen, candidates[:min(len(candidates), count-len(chosen))]...)
}

// rotate replaces a contact in the own zone and one in another zone when the rotation is due.
func (c *contacts) rotate(now time.Time) {
	if now.Before(c.nextRotation) || len(c.peers) <= fullMeshPeers {
		return
	}
	c.nextRotation = now.Add(contactRotationInterval)
	c.sameZone = c.dropRandom(c.sameZone)
	c.otherZones = c.dropRandom(c.otherZones)
	c.fill()
}

func (c *contacts) dropRandom(chosen []Peer) []Peer {
	if len(chosen) == 0 {
		return chosen
	}
	i := c.random.IntN(len(chosen))
	return slices.Delete(chosen, i, i+1)
}

// pushTargets chooses the peers to push new entries to. Entries published by this node always go to several other
// zones; forwarded ones leave the zone with a probability that keeps the number of such pushes low.
func (c *contacts) pushTargets(published bool) []Peer {
	chosen := c.sample(c.sameZone, sameZoneFanOut)
	if len(chosen) > 0 && c.successor.ID != "" && !slices.ContainsFunc(chosen, func(p Peer) bool { return p.ID == c.successor.ID }) {
		chosen[len(chosen)-1] = c.successor
	}
	switch {
	case published:
		return append(chosen, c.onePerZone(crossZonePushes)...)
	case len(c.sameZone) == 0 || c.random.Float64()*float64(c.zoneSize) < crossZonePushes:
		return append(chosen, c.sample(c.otherZones, 1)...)
	}
	return chosen
}

// sample draws up to n of the peers at random.
func (c *contacts) sample(peers []Peer, n int) []Peer {
	drawn := slices.Clone(peers)
	c.random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}

// onePerZone draws up to n contacts in distinct other zones.
func (c *contacts) onePerZone(n int) []Peer {
	var chosen []Peer
	for _, p := range c.sample(c.otherZones, len(c.otherZones)) {
		if len(chosen) < n && !slices.ContainsFunc(chosen, func(q Peer) bool { return q.Zone == p.Zone }) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// comparePeer chooses a peer to compare with: half of the time a hub, less often if that would overload the hubs, and
// otherwise a random contact.
func (c *contacts) comparePeer(interval time.Duration) (Peer, bool) {
	if len(c.hubs) > 0 && c.random.Float64() < c.hubProbability(interval) {
		return c.hubs[c.random.IntN(len(c.hubs))], true
	}
	n := len(c.sameZone) + len(c.otherZones)
	if n == 0 {
		return Peer{}, false
	}
	i := c.random.IntN(n)
	if i < len(c.sameZone) {
		return c.sameZone[i], true
	}
	return c.otherZones[i-len(c.sameZone)], true
}

func (c *contacts) hubProbability(interval time.Duration) float64 {
	perSecond := float64(len(c.peers)+1) / interval.Seconds()
	return min(0.5, hubComparesPerSecond*float64(len(c.hubs))/perSecond)
}

// zoneOf returns the zone of a peer, if it is known.
func (c *contacts) zoneOf(id string) (string, bool) {
	for _, list := range [...][]Peer{c.sameZone, c.otherZones, c.hubs, c.peers} {
		for _, p := range list {
			if p.ID == id {
				return p.Zone, true
			}
		}
	}
	return "", false
}
