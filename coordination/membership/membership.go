package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is how often a node sends heartbeats to its monitors.
	HeartbeatInterval = 400 * time.Millisecond
	// SuspectTimeout is the silence after which a monitor suspects a node. It tolerates several lost heartbeats, and a
	// pause of a small machine.
	SuspectTimeout = 1600 * time.Millisecond
	// ProbeTimeout is how long a suspect node, pinged directly and through others, may take to answer.
	ProbeTimeout = 800 * time.Millisecond
	// pauseThreshold is the gap between its own ticks above which a node assumes that its process was paused.
	pauseThreshold = time.Second
	// maxTimeoutDoublings bounds how often SuspectTimeout is doubled for a node that was wrongly suspected.
	maxTimeoutDoublings = 3
	// falseSuspicionMemory is the time after the last false suspicion of a node at which its count is reset.
	falseSuspicionMemory = 30 * time.Second
	// probeHelpers is the number of other nodes asked to ping a suspect node.
	probeHelpers = 3
)

// member is this node's view of another node.
type member struct {
	id                 ID
	node               Node // last known record; State is Suspect during a local suspicion
	lastHeard          time.Time
	watchedSince       time.Time // when this node began to monitor it
	suspectedAt        time.Time // when the current suspicion began or was renewed
	falseSuspicions    int       // recent suspicions that proved wrong although no heartbeat had arrived
	lastFalseSuspicion time.Time
}

// Membership is a node's view of itself and all other nodes.
type Membership struct {
	self    Node
	leaving bool
	random  *rand.Rand
	members map[ID]*member
	order   []*member // all members, sorted by id
	ring    ring

	ringChanged bool // monitors and watched are out of date
	monitors    []ID
	watched     []*member

	lastTick      time.Time
	resumedAt     time.Time
	nextHeartbeat time.Time

	effects Effects
}

// New returns the view of a node that knows only itself. The first heartbeats are due at first.
func New(first time.Time, self Node, seed uint64) *Membership {
	m := &Membership{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, 1)),
		members: map[ID]*member{},
	}
	m.ring.add(self)
	m.ringChanged = true
	m.nextHeartbeat = first
	return m
}

// Self returns this node as it declares itself.
func (m *Membership) Self() Node { return m.self }

// Node returns the node with an id, if it is known.
func (m *Membership) Node(id ID) (Node, bool) {
	if id == m.self.ID() {
		return m.self, true
	}
	peer := m.members[id]
	if peer == nil {
		return Node{}, false
	}
	return peer.node, true
}

// Nodes returns all known nodes including this one, sorted by id.
func (m *Membership) Nodes() []Node {
	nodes := make([]Node, 0, len(m.order)+1)
	ownID := m.self.ID()
	index, _ := m.orderIndex(ownID)
	for _, peer := range m.order[:index] {
		nodes = append(nodes, peer.node)
	}
	nodes = append(nodes, m.self)
	for _, peer := range m.order[index:] {
		nodes = append(nodes, peer.node)
	}
	return nodes
}

// EachOther calls f with each node except this one, in the order of their ids, until f returns false.
func (m *Membership) EachOther(f func(ID, *Node) bool) {
	for _, peer := range m.order {
		if !f(peer.id, &peer.node) {
			return
		}
	}
}

// orderIndex returns the index in order at which an id is or would be inserted, and whether it is there.
func (m *Membership) orderIndex(id ID) (int, bool) {
	return slices.BinarySearchFunc(m.order, id, func(peer *member, id ID) int { return cmp.Compare(peer.id, id) })
}

// addMember adds a node to the members.
func (m *Membership) addMember(id ID) *member {
	peer := &member{id: id}
	m.members[id] = peer
	index, _ := m.orderIndex(id)
	m.order = slices.Insert(m.order, index, peer)
	return peer
}

// ApplyRecord applies a record of a node received by gossip. It ignores a record that is not newer than the known one.
func (m *Membership) ApplyRecord(now time.Time, n Node) {
	id := n.ID()
	if id == m.self.ID() {
		m.applyOwnRecord(n)
		return
	}
	peer := m.members[id]
	if peer != nil && !newer(n, peer.node) {
		return
	}
	if peer == nil {
		peer = m.addMember(id)
	}
	if peer.node.Name != "" && peer.node.Live() {
		m.ring.remove(peer.node)
	}
	m.countRefutation(now, peer, n)
	peer.node = n
	peer.lastHeard = now
	peer.suspectedAt = time.Time{}
	if n.Live() {
		m.ring.add(n)
	}
	m.ringChanged = true
	m.recordChange(id)
}

// newer reports whether a record supersedes the known one: it has a higher incarnation, or a later state of the same
// incarnation.
func newer(n, known Node) bool {
	knownState := known.State
	if knownState == Suspect {
		knownState = Alive
	}
	return n.Incarnation > known.Incarnation || n.Incarnation == known.Incarnation && n.State > knownState
}

// countRefutation counts a false suspicion of a node that refutes that it is down. Without the longer timeout, a
// one-way network partition would have it declared down again and again.
func (m *Membership) countRefutation(now time.Time, peer *member, n Node) {
	if peer.node.State == Down && n.State == Alive && peer.node.Address == n.Address {
		peer.recordFalseSuspicion(now)
	}
}

func (p *member) recordFalseSuspicion(now time.Time) {
	if now.Sub(p.lastFalseSuspicion) > falseSuspicionMemory {
		p.falseSuspicions = 0
	}
	p.falseSuspicions = min(p.falseSuspicions+1, maxTimeoutDoublings)
	p.lastFalseSuspicion = now
}

// suspectTimeout returns how long the member may be silent before it is suspected.
func (p *member) suspectTimeout(now time.Time) time.Duration {
	if now.Sub(p.lastFalseSuspicion) > falseSuspicionMemory {
		return SuspectTimeout
	}
	return SuspectTimeout << p.falseSuspicions
}

// applyOwnRecord refutes a record of this node that contradicts its own. The record may have a higher incarnation, from an
// earlier start of the process, if the clock was set back since then.
func (m *Membership) applyOwnRecord(n Node) {
	isOwn := n.Incarnation < m.self.Incarnation || n.Incarnation == m.self.Incarnation && n.State == m.self.State
	if isOwn || m.leaving && n.Incarnation <= m.self.Incarnation {
		return
	}
	m.self.Incarnation = n.Incarnation + 1
	m.declare(m.self)
	m.recordChange(m.self.ID())
}

// Leave declares that this node shuts down as planned.
func (m *Membership) Leave() {
	m.leaving = true
	m.self.State = Left
	m.declare(m.self)
	m.recordChange(m.self.ID())
}

// Remove removes a node that is down or has left. It ignores other nodes.
func (m *Membership) Remove(id ID) {
	peer := m.members[id]
	if peer == nil || peer.node.Live() {
		return
	}
	delete(m.members, id)
	if index, found := m.orderIndex(id); found {
		m.order = slices.Delete(m.order, index, index+1)
	}
}

// MarkReplaced declares a node down because another process answers at its address, so it cannot be running there.
func (m *Membership) MarkReplaced(id ID) {
	if peer := m.members[id]; peer != nil && peer.node.Live() {
		m.declareDown(peer)
	}
}

// RecordContact records that a message arrived from a node, which counts as a heartbeat.
func (m *Membership) RecordContact(now time.Time, from ID, incarnation uint64) {
	peer := m.members[from]
	if peer == nil || incarnation < peer.node.Incarnation {
		return
	}
	peer.lastHeard = now
	m.clearSuspicion(peer)
}

// clearSuspicion sets a suspect member back to alive.
func (m *Membership) clearSuspicion(peer *member) {
	if peer.node.State != Suspect {
		return
	}
	peer.node.State = Alive
	peer.suspectedAt = time.Time{}
	m.recordChange(peer.id)
}

// HasRecentContact reports whether this node has recently heard from another machine, or knows of no other.
func (m *Membership) HasRecentContact(now time.Time) bool { return m.hasRecentContactExcept(now, "") }

// hasRecentContactExcept is HasRecentContact disregarding one machine.
func (m *Membership) hasRecentContactExcept(now time.Time, machine string) bool {
	others := 0
	for _, peer := range m.order {
		if !peer.node.Live() || peer.node.Name == m.self.Name || peer.node.Name == machine {
			continue
		}
		others++
		if now.Sub(peer.lastHeard) <= SuspectTimeout {
			return true
		}
	}
	return others == 0
}

// Due returns when Tick must next be called.
func (m *Membership) Due() time.Time {
	due := m.nextHeartbeat
	for _, peer := range m.watched {
		if timeout := peer.suspectedAt.Add(ProbeTimeout); peer.node.State == Suspect && timeout.Before(due) {
			due = timeout
		}
	}
	return due
}

// Take returns the effects of all calls since the last Take.
func (m *Membership) Take() Effects {
	taken := m.effects
	m.effects = Effects{}
	return taken
}

func (m *Membership) recordChange(id ID) { m.effects.Changed = append(m.effects.Changed, id) }

func (m *Membership) declare(n Node) { m.effects.Declared = append(m.effects.Declared, n) }

func (m *Membership) send(to ID, message Message) {
	m.effects.Messages = append(m.effects.Messages, Outgoing{To: to, Message: message})
}
