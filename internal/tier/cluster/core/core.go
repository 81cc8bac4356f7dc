package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
)

// Options of a Core.
type Options struct {
	Self  membership.Node // with the incarnation of this start
	Seeds []string        // internal addresses of control planes; the own one may be among them
	Seed  uint64          // of all choices
}

// Core is one node.
type Core struct {
	id         membership.ID
	address    string
	random     *rand.Rand
	gossip     *gossip.Disseminator
	membership *membership.Membership
	join       join
	rejoin     rejoin
	peersStale bool

	effects Effects
	outbox  []Outgoing
}

// New makes a node that knows only itself and the seeds.
func New(now time.Time, options Options) (*Core, error) {
	self := options.Self
	self.State = membership.Alive
	entry, err := nodeEntry(self)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 2))
	// A phase of its own: nodes that start together must not all speak at the same moments.
	first := now.Add(time.Duration(random.Int64N(int64(membership.HeartbeatInterval))))
	c := &Core{
		id:         self.ID(),
		address:    self.Address,
		random:     random,
		gossip:     gossip.New(now, gossip.Options{Self: string(self.ID()), Zone: self.Zone, Kinds: kinds(), FirstCompare: first}, options.Seed),
		membership: membership.New(first, self, options.Seed),
	}
	c.join.start(now)
	c.SetSeeds(options.Seeds)
	c.gossip.SetSyncing(true)
	c.gossip.Publish(now, entry)
	c.settle(now)
	return c, nil
}

// SetSeeds replaces the seeds' addresses.
func (c *Core) SetSeeds(seeds []string) {
	c.rejoin.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == c.address })
	c.random.Shuffle(len(c.rejoin.seeds), func(i, j int) {
		c.rejoin.seeds[i], c.rejoin.seeds[j] = c.rejoin.seeds[j], c.rejoin.seeds[i]
	})
}

// Publish takes an entry and spreads it. A zero stamp is replaced by one above what is known of the key. The
// entry with its stamp is returned, and whether it was above what was known.
func (c *Core) Publish(now time.Time, e gossip.Entry) (gossip.Entry, bool) {
	return c.publish(now, e, c.gossip.Publish)
}

// PublishWithoutPush does the same without pushing the entry to others: the caller brings it to all.
func (c *Core) PublishWithoutPush(now time.Time, e gossip.Entry) (gossip.Entry, bool) {
	return c.publish(now, e, c.gossip.Put)
}

func (c *Core) publish(now time.Time, e gossip.Entry, put func(time.Time, gossip.Entry) bool) (gossip.Entry, bool) {
	if e.Stamp.IsZero() {
		e.Stamp = c.gossip.NextStamp(now, e.Key)
	}
	news := put(now, e)
	c.settle(now)
	return e, news
}

// ReceiveEntry takes an entry that a peer has brought directly. Forward has it pushed on.
func (c *Core) ReceiveEntry(now time.Time, from membership.ID, e gossip.Entry, forward bool) {
	if forward {
		c.gossip.Receive(now, string(from), gossip.Message{Push: []gossip.Entry{e}})
	} else {
		c.gossip.Put(now, e)
	}
	c.settle(now)
}

// Has tells whether the entry of a key with that stamp, or a newer one, is or was here.
func (c *Core) Has(key string, stamp gossip.Stamp) bool {
	known, some := c.gossip.GetWithTombstones(key)
	return some && !stamp.After(known.Stamp)
}

// Get gives the entry of a key.
func (c *Core) Get(key string) (gossip.Entry, bool) { return c.gossip.Get(key) }

// Each calls f with every entry of the table, in no order.
func (c *Core) Each(f func(gossip.Entry)) { c.gossip.Each(f) }

// Root is the digest of the table.
func (c *Core) Root() uint64 { return c.gossip.Root() }

// Nodes gives all known nodes in the order of their ids.
func (c *Core) Nodes() []membership.Node { return c.membership.Nodes() }

// Self is this node as it tells of itself.
func (c *Core) Self() membership.Node { return c.membership.Self() }

// Ready tells whether the table was compared with enough others, see join.
func (c *Core) Ready() bool { return c.join.ready }

// Leave tells the others that this node ends as planned.
func (c *Core) Leave(now time.Time) {
	c.membership.Leave()
	c.settle(now)
}

// Due is when Tick wants to be called next.
func (c *Core) Due() time.Time {
	due := c.gossip.Due()
	if other := c.membership.Due(); other.Before(due) {
		due = other
	}
	if !c.join.ready && c.join.due.Before(due) {
		due = c.join.due
	}
	return due
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) {
	c.membership.Tick(now)
	c.gossip.Tick(now)
	c.settle(now)
	if c.join.ready {
		c.tryLost(now)
	} else {
		c.tickJoin(now)
	}
}

// Receive handles an envelope. At is the address that was called if the envelope is an answer, empty if not.
func (c *Core) Receive(now time.Time, e Envelope, at string) {
	if e.From == c.id || e.From == "" {
		return
	}
	c.checkAddress(e, at)
	c.checkIncarnation(e)
	c.membership.RecordContact(now, e.From, e.Incarnation)
	for _, m := range e.Gossip {
		c.gossip.Receive(now, string(e.From), m)
	}
	for _, m := range e.Membership {
		c.membership.Receive(now, e.From, m)
	}
	compared := c.settle(now)
	c.addressAnswers(e.From, at)
	if !c.join.ready && slices.Contains(compared, string(e.From)) {
		c.compared(now, e)
	}
}

// addressAnswers sends what goes back to a node that is not known yet to the address where it has answered.
func (c *Core) addressAnswers(to membership.ID, at string) {
	if _, known := c.membership.Node(to); known {
		return
	}
	for i := range c.outbox {
		if c.outbox[i].To == to {
			c.outbox[i].Address = at
		}
	}
}

// checkAddress notices that another process answers where a node was taken to be.
func (c *Core) checkAddress(e Envelope, at string) {
	if at == "" {
		return
	}
	if n, known := c.membership.Node(e.From); known && n.Address == at && n.Incarnation == e.Incarnation {
		return // as expected; what was there before has been judged
	}
	var replaced []membership.ID
	c.membership.EachOther(func(id membership.ID, n *membership.Node) bool {
		if n.Address == at && id != e.From && n.Live() && n.Incarnation < e.Incarnation {
			replaced = append(replaced, id)
		}
		return true
	})
	for _, id := range replaced {
		c.membership.MarkReplaced(id)
	}
}

// checkIncarnation asks for the record of a sender that is unknown here or newer, and shows a sender the
// record that is above what it says of itself, so that it refutes.
func (c *Core) checkIncarnation(e Envelope) {
	key := NodeKey(e.From)
	known, some := c.gossip.GetWithTombstones(key)
	state := membership.State(known.Stamp.Sequence)
	switch {
	case !some || known.Stamp.Epoch < e.Incarnation:
		c.sendGossip(e.From, gossip.Message{Want: []string{key}})
	case known.Stamp.Epoch > e.Incarnation || state == membership.Down:
		c.sendGossip(e.From, gossip.Message{Push: []gossip.Entry{known}})
	}
}

// settle carries what gossip and membership have to tell each other until neither has more, and collects what
// goes out. It gives the ids of the peers that the table was compared with.
func (c *Core) settle(now time.Time) (compared []string) {
	for {
		g := c.gossip.Take()
		m := c.membership.Take()
		if isSettled(g, m) {
			break
		}
		compared = append(compared, g.Compared...)
		c.takeGossip(now, g)
		c.takeMembership(now, m)
	}
	if c.peersStale {
		c.peersStale = false
		c.gossip.SetPeers(now, c.peers())
	}
	return compared
}

func isSettled(g gossip.Effects, m membership.Effects) bool {
	return len(g.Messages)+len(g.Changed)+len(g.Expired)+len(g.Compared)+
		len(m.Heartbeats)+len(m.Messages)+len(m.Declared)+len(m.Changed) == 0
}

func (c *Core) takeGossip(now time.Time, effects gossip.Effects) {
	for _, out := range effects.Messages {
		c.sendGossip(membership.ID(out.To), out.Message)
	}
	for _, e := range effects.Changed {
		c.effects.Changed = append(c.effects.Changed, e)
		if n, isNode := c.asNode(e); isNode {
			c.membership.ApplyRecord(now, n)
		}
	}
	for _, key := range effects.Expired {
		c.effects.Expired = append(c.effects.Expired, key)
		if id, isNode := nodeIDOf(key); isNode {
			c.membership.Remove(id)
			c.effects.ChangedNodes = append(c.effects.ChangedNodes, id)
		}
	}
}

func (c *Core) takeMembership(now time.Time, effects membership.Effects) {
	for _, to := range effects.Heartbeats {
		c.envelopeTo(to)
	}
	for _, out := range effects.Messages {
		e := c.envelopeTo(out.To)
		e.Membership = append(e.Membership, out.Message)
	}
	for _, n := range effects.Declared {
		if entry, err := nodeEntry(n); err == nil {
			c.gossip.Publish(now, entry)
		}
	}
	for _, id := range effects.Changed {
		c.effects.ChangedNodes = append(c.effects.ChangedNodes, id)
		c.peersStale = true
		if n, known := c.membership.Node(id); known {
			c.rejoin.note(n)
		}
	}
}

func (c *Core) asNode(e gossip.Entry) (membership.Node, bool) {
	if _, isNode := nodeIDOf(e.Key); !isNode {
		return membership.Node{}, false
	}
	n, err := nodeOf(e)
	return n, err == nil
}

// peers are the live nodes besides this one.
func (c *Core) peers() []gossip.Peer {
	var peers []gossip.Peer
	c.membership.EachOther(func(id membership.ID, n *membership.Node) bool {
		if n.Live() {
			peers = append(peers, gossip.Peer{ID: string(id), Zone: n.Zone, Hub: n.Role == membership.Control})
		}
		return true
	})
	return peers
}

// sendGossip adds a message to what goes to a node.
func (c *Core) sendGossip(to membership.ID, m gossip.Message) {
	e := c.envelopeTo(to)
	e.Gossip = append(e.Gossip, m)
}

// envelopeTo gives the envelope that goes to a node with the next Take. The pointer holds until the next call.
func (c *Core) envelopeTo(to membership.ID) *Envelope {
	for i := range c.outbox {
		if c.outbox[i].To == to {
			return &c.outbox[i].Envelope
		}
	}
	c.outbox = append(c.outbox, Outgoing{To: to})
	return &c.outbox[len(c.outbox)-1].Envelope
}

// greet opens a comparison with whoever is at an address and tells it of this node.
func (c *Core) greet(address string) {
	messages := []gossip.Message{c.gossip.CompareRequest()}
	if own, some := c.gossip.Get(NodeKey(c.id)); some {
		messages = append(messages, gossip.Message{Push: []gossip.Entry{own}})
	}
	c.outbox = append(c.outbox, Outgoing{Address: address, Envelope: Envelope{Gossip: messages}})
}

// Take gives the effects of the steps since the last Take.
func (c *Core) Take() Effects {
	taken := c.effects
	taken.Messages = c.outbox
	self := c.membership.Self()
	for i := range taken.Messages {
		out := &taken.Messages[i]
		out.Envelope.From = c.id
		out.Envelope.Incarnation = self.Incarnation
		out.Envelope.Syncing = !c.join.ready
		if n, known := c.membership.Node(out.To); known && out.Address == "" {
			out.Address = n.Address
		}
	}
	c.effects = Effects{}
	c.outbox = nil
	return taken
}
