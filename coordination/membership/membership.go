package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is how often a node tells its monitors that it runs.
	HeartbeatInterval = 400 * time.Millisecond
	// SuspectTimeout is a monitor's patience: some lost heartbeats, and a pause of a small machine, fit into it.
	SuspectTimeout = 1600 * time.Millisecond
	// ProbeTimeout is how long a suspect node, asked directly and through others, may take to answer.
	ProbeTimeout = 800 * time.Millisecond
	// wakeGap is from which gap between its own ticks on a node takes itself to have been stopped.
	wakeGap = time.Second
	// maxStrikes bounds how often the patience with a node is doubled that was suspected for nothing.
	maxStrikes = 3
	// strikeLife is after what time without a new one a node's strikes are forgotten.
	strikeLife = 30 * time.Second
	// probeHelpers is how many others are asked to ping a suspect node.
	probeHelpers = 3
)

// member is what is known of another node.
type member struct {
	id       ID
	node     Node // State is Alive, Suspect, Down or Left
	heard    time.Time
	since    time.Time // when this node began to watch it
	suspect  time.Time // when the present suspicion began, or was renewed
	strikes  int       // suspicions that proved wrong though no heartbeat had come
	strikeAt time.Time
}

// Membership is a node's view of all others.
type Membership struct {
	self    Node
	leaving bool
	random  *rand.Rand
	members map[ID]*member
	order   []*member // all of them, in the order of their ids
	ring    ring

	stale    bool // the ring has changed
	monitors []ID
	watched  []*member

	lastTick time.Time
	wokenAt  time.Time
	nextTick time.Time

	effects Effects
}

// New makes the view of a node that knows only itself. The first heartbeats are due at first.
func New(first time.Time, self Node, seed uint64) *Membership {
	m := &Membership{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, 1)),
		members: map[ID]*member{},
	}
	m.ring.add(self)
	m.stale = true
	m.nextTick = first
	return m
}

// Self is this node as it tells of itself.
func (m *Membership) Self() Node { return m.self }

// Node gives a node by its id.
func (m *Membership) Node(id ID) (Node, bool) {
	if id == m.self.ID() {
		return m.self, true
	}
	known := m.members[id]
	if known == nil {
		return Node{}, false
	}
	return known.node, true
}

// Nodes gives all known nodes, this one among them, in the order of their ids.
func (m *Membership) Nodes() []Node {
	nodes := make([]Node, 0, len(m.order)+1)
	own := m.self.ID()
	at, _ := m.position(own)
	for _, known := range m.order[:at] {
		nodes = append(nodes, known.node)
	}
	nodes = append(nodes, m.self)
	for _, known := range m.order[at:] {
		nodes = append(nodes, known.node)
	}
	return nodes
}

// EachOther calls f with each other node in the order of their ids, until f returns false.
func (m *Membership) EachOther(f func(ID, *Node) bool) {
	for _, known := range m.order {
		if !f(known.id, &known.node) {
			return
		}
	}
}

// position is where an id is, or belongs, in the order.
func (m *Membership) position(id ID) (int, bool) {
	return slices.BinarySearchFunc(m.order, id, func(known *member, id ID) int { return cmp.Compare(known.id, id) })
}

// meet begins to know a node.
func (m *Membership) meet(id ID) *member {
	known := &member{id: id}
	m.members[id] = known
	at, _ := m.position(id)
	m.order = slices.Insert(m.order, at, known)
	return known
}

// ApplyRecord takes a record of a node that has been spread. What is not newer than what is known changes nothing.
func (m *Membership) ApplyRecord(now time.Time, n Node) {
	id := n.ID()
	if id == m.self.ID() {
		m.learnSelf(n)
		return
	}
	known := m.members[id]
	if known != nil && !newer(n, known.node) {
		return
	}
	if known == nil {
		known = m.meet(id)
	}
	if known.node.Name != "" && known.node.Live() {
		m.ring.remove(known.node)
	}
	m.countStrike(now, known, n)
	known.node = n
	known.heard = now
	known.suspect = time.Time{}
	if n.Live() {
		m.ring.add(n)
	}
	m.stale = true
	m.changed(id)
}

// newer tells whether a record replaces what is known: a higher incarnation, or a later state of the same.
func newer(n, known Node) bool {
	rank := known.State
	if rank == Suspect {
		rank = Alive
	}
	return n.Incarnation > known.Incarnation || n.Incarnation == known.Incarnation && n.State > rank
}

// countStrike lengthens the patience with a node that refutes that it is down: a cut in one direction only
// would otherwise have it declared down again and again.
func (m *Membership) countStrike(now time.Time, known *member, n Node) {
	if known.node.State == Down && n.State == Alive && known.node.Address == n.Address {
		known.strike(now)
	}
}

func (k *member) strike(now time.Time) {
	if now.Sub(k.strikeAt) > strikeLife {
		k.strikes = 0
	}
	k.strikes = min(k.strikes+1, maxStrikes)
	k.strikeAt = now
}

// patience is how long a member may be silent.
func (k *member) patience(now time.Time) time.Duration {
	if now.Sub(k.strikeAt) > strikeLife {
		return SuspectTimeout
	}
	return SuspectTimeout << k.strikes
}

// learnSelf refutes what is said of this node unless it is what the node says itself. An earlier start of the
// process may have had a higher incarnation, where the clock was set back since.
func (m *Membership) learnSelf(n Node) {
	ours := n.Incarnation < m.self.Incarnation || n.Incarnation == m.self.Incarnation && n.State == m.self.State
	if ours || m.leaving && n.Incarnation <= m.self.Incarnation {
		return
	}
	m.self.Incarnation = n.Incarnation + 1
	m.declare(m.self)
	m.changed(m.self.ID())
}

// Leave marks this node as one that ends as planned.
func (m *Membership) Leave() {
	m.leaving = true
	m.self.State = Left
	m.declare(m.self)
	m.changed(m.self.ID())
}

// Remove drops a node that is down or has left.
func (m *Membership) Remove(id ID) {
	known := m.members[id]
	if known == nil || known.node.Live() {
		return
	}
	delete(m.members, id)
	if at, found := m.position(id); found {
		m.order = slices.Delete(m.order, at, at+1)
	}
}

// MarkReplaced tells that another process answers at a node's address: it cannot run there any more.
func (m *Membership) MarkReplaced(id ID) {
	if known := m.members[id]; known != nil && known.node.Live() {
		m.declareDown(known)
	}
}

// RecordContact notes that a message came from a node: as good as a heartbeat.
func (m *Membership) RecordContact(now time.Time, from ID, incarnation uint64) {
	known := m.members[from]
	if known == nil || incarnation < known.node.Incarnation {
		return
	}
	known.heard = now
	m.clear(known)
}

// clear ends a suspicion.
func (m *Membership) clear(known *member) {
	if known.node.State != Suspect {
		return
	}
	known.node.State = Alive
	known.suspect = time.Time{}
	m.changed(known.id)
}

// HasRecentContact tells whether this node has lately heard from another machine than its own, or knows of none.
func (m *Membership) HasRecentContact(now time.Time) bool { return m.inTouchBut(now, "") }

// inTouchBut tells the same without the machine of that name.
func (m *Membership) inTouchBut(now time.Time, name string) bool {
	others := 0
	for _, known := range m.order {
		if !known.node.Live() || known.node.Name == m.self.Name || known.node.Name == name {
			continue
		}
		others++
		if now.Sub(known.heard) <= SuspectTimeout {
			return true
		}
	}
	return others == 0
}

// Due is when Tick wants to be called next.
func (m *Membership) Due() time.Time {
	due := m.nextTick
	for _, known := range m.watched {
		if end := known.suspect.Add(ProbeTimeout); known.node.State == Suspect && end.Before(due) {
			due = end
		}
	}
	return due
}

// Take gives the effects of the steps since the last Take.
func (m *Membership) Take() Effects {
	taken := m.effects
	m.effects = Effects{}
	return taken
}

func (m *Membership) changed(id ID) { m.effects.Changed = append(m.effects.Changed, id) }

func (m *Membership) declare(n Node) { m.effects.Declared = append(m.effects.Declared, n) }

func (m *Membership) send(to ID, message Message) {
	m.effects.Messages = append(m.effects.Messages, Outgoing{To: to, Message: message})
}
