package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
)

// Options configure a Core.
type Options struct {
	Self  membership.Node // with the incarnation of this start
	Seeds []string        // internal addresses of control nodes; may include the own address
	Seed  uint64          // random seed
}

// Core is the state machine of one node.
type Core struct {
	id         membership.ID
	address    string
	random     *rand.Rand
	gossip     *gossip.Disseminator
	membership *membership.Membership
	join       joinState
	rejoin     rejoinState
	peersStale bool

	effects Effects
	outbox  []Outgoing
}

// New returns a node that knows only itself and the seeds.
func New(now time.Time, options Options) (*Core, error) {
	self := options.Self
	self.State = membership.Alive
	entry, err := nodeToEntry(self)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 2))
	// A random phase keeps nodes that start together from sending at the same moments.
	firstDue := now.Add(time.Duration(random.Int64N(int64(membership.HeartbeatInterval))))
	c := &Core{
		id:         self.ID(),
		address:    self.Address,
		random:     random,
		gossip:     gossip.New(now, gossip.Options{Self: string(self.ID()), Zone: self.Zone, Kinds: kinds(), FirstCompare: firstDue}, options.Seed),
		membership: membership.New(firstDue, self, options.Seed),
	}
	c.join.start(now)
	c.SetSeeds(options.Seeds)
	c.gossip.SetSyncing(true)
	c.gossip.Publish(now, entry)
	c.applyEffects(now)
	return c, nil
}

// SetSeeds replaces the addresses of the seeds.
func (c *Core) SetSeeds(seeds []string) {
	c.rejoin.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == c.address })
	c.random.Shuffle(len(c.rejoin.seeds), func(i, j int) {
		c.rejoin.seeds[i], c.rejoin.seeds[j] = c.rejoin.seeds[j], c.rejoin.seeds[i]
	})
}

// SetContacts replaces the addresses of nodes that are contacted beside the seeds while no live node is known there.
func (c *Core) SetContacts(addresses []string) {
	c.rejoin.contacts = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == c.address })
}

// Publish adds an entry to the table and pushes it to other nodes. It replaces a zero stamp by one newer than the
// known stamp of the key. It returns the entry with its stamp, and whether the entry was newer than the known one.
func (c *Core) Publish(now time.Time, e gossip.Entry) (gossip.Entry, bool) {
	return c.publish(now, e, c.gossip.Publish)
}

// PublishWithoutPush is like Publish but does not push the entry: the caller delivers it to all nodes.
func (c *Core) PublishWithoutPush(now time.Time, e gossip.Entry) (gossip.Entry, bool) {
	return c.publish(now, e, c.gossip.Put)
}

func (c *Core) publish(now time.Time, e gossip.Entry, put func(time.Time, gossip.Entry) bool) (gossip.Entry, bool) {
	if e.Stamp.IsZero() {
		e.Stamp = c.gossip.NextStamp(now, e.Key)
	}
	isNew := put(now, e)
	c.applyEffects(now)
	return e, isNew
}

// ReceiveEntry adds an entry that a peer has delivered directly. If forward is set, the entry is pushed to other nodes.
func (c *Core) ReceiveEntry(now time.Time, from membership.ID, e gossip.Entry, forward bool) {
	if forward {
		c.gossip.Receive(now, string(from), gossip.Message{Push: []gossip.Entry{e}})
	} else {
		c.gossip.Put(now, e)
	}
	c.applyEffects(now)
}

// Has reports whether the table holds, or held before its expiry, the entry of a key with this stamp or a newer one.
func (c *Core) Has(key string, stamp gossip.Stamp) bool {
	known, found := c.gossip.GetWithTombstones(key)
	return found && !stamp.After(known.Stamp)
}

// Get returns the entry of a key.
func (c *Core) Get(key string) (gossip.Entry, bool) { return c.gossip.Get(key) }

// Each calls f with every entry of the table, in no particular order.
func (c *Core) Each(f func(gossip.Entry)) { c.gossip.Each(f) }

// Root returns the digest of the table.
func (c *Core) Root() uint64 { return c.gossip.Root() }

// Nodes returns all known nodes including this one, sorted by id.
func (c *Core) Nodes() []membership.Node { return c.membership.Nodes() }

// Self returns this node as it declares itself.
func (c *Core) Self() membership.Node { return c.membership.Self() }

// Ready reports whether the table was compared with enough other nodes, see joinState.
func (c *Core) Ready() bool { return c.join.ready }

// Leave declares that this node shuts down as planned.
func (c *Core) Leave(now time.Time) {
	c.membership.Leave()
	c.applyEffects(now)
}

// Due returns when Tick must next be called.
func (c *Core) Due() time.Time {
	due := c.gossip.Due()
	if membershipDue := c.membership.Due(); membershipDue.Before(due) {
		due = membershipDue
	}
	if !c.join.ready && c.join.nextRound.Before(due) {
		due = c.join.nextRound
	}
	return due
}

// Tick performs the actions that are due.
func (c *Core) Tick(now time.Time) {
	c.membership.Tick(now)
	c.gossip.Tick(now)
	c.applyEffects(now)
	if c.join.ready {
		c.tryRejoin(now)
	} else {
		c.tickJoin(now)
	}
}

// Receive handles an envelope. If the envelope is an answer, calledAddress is the address that was called; otherwise
// it is empty.
func (c *Core) Receive(now time.Time, e Envelope, calledAddress string) {
	if e.From == c.id || e.From == "" {
		return
	}
	c.markReplacedNodes(e, calledAddress)
	c.reconcileSenderRecord(e)
	c.membership.RecordContact(now, e.From, e.Incarnation)
	for _, m := range e.Gossip {
		c.gossip.Receive(now, string(e.From), m)
	}
	for _, m := range e.Membership {
		c.membership.Receive(now, e.From, m)
	}
	compared := c.applyEffects(now)
	c.setAnswerAddress(e.From, calledAddress)
	if !c.join.ready && slices.Contains(compared, string(e.From)) {
		c.recordComparison(now, e)
	}
}

// setAnswerAddress addresses envelopes for a node that is not yet known to the address at which it answered.
func (c *Core) setAnswerAddress(to membership.ID, calledAddress string) {
	if _, known := c.membership.Node(to); known {
		return
	}
	for i := range c.outbox {
		if c.outbox[i].To == to {
			c.outbox[i].Address = calledAddress
		}
	}
}

// markReplacedNodes declares older live nodes down if a newer process answers at their address.
func (c *Core) markReplacedNodes(e Envelope, calledAddress string) {
	if calledAddress == "" {
		return
	}
	if n, known := c.membership.Node(e.From); known && n.Address == calledAddress && n.Incarnation == e.Incarnation {
		return // the expected process; earlier ones at this address have already been marked
	}
	var replaced []membership.ID
	c.membership.EachOther(func(id membership.ID, n *membership.Node) bool {
		if n.Address == calledAddress && id != e.From && n.Live() && n.Incarnation < e.Incarnation {
			replaced = append(replaced, id)
		}
		return true
	})
	for _, id := range replaced {
		c.membership.MarkReplaced(id)
	}
}

// reconcileSenderRecord requests the record of a sender that is unknown or newer than its known record. It sends the
// known record to a sender with a lower incarnation or one that was declared down, so that the sender refutes it.
func (c *Core) reconcileSenderRecord(e Envelope) {
	key := NodeKey(e.From)
	known, found := c.gossip.GetWithTombstones(key)
	state := membership.State(known.Stamp.Sequence)
	switch {
	case !found || known.Stamp.Epoch < e.Incarnation:
		c.queueGossip(e.From, gossip.Message{Want: []string{key}})
	case known.Stamp.Epoch > e.Incarnation || state == membership.Down:
		c.queueGossip(e.From, gossip.Message{Push: []gossip.Entry{known}})
	}
}

// applyEffects passes the effects of gossip and membership to each other until neither has any left, and collects the
// outgoing messages. It returns the ids of the peers with which a comparison of tables is complete.
func (c *Core) applyEffects(now time.Time) (compared []string) {
	for {
		gossipEffects := c.gossip.Take()
		membershipEffects := c.membership.Take()
		if areEmpty(gossipEffects, membershipEffects) {
			break
		}
		compared = append(compared, gossipEffects.Compared...)
		c.applyGossipEffects(now, gossipEffects)
		c.applyMembershipEffects(now, membershipEffects)
	}
	if c.peersStale {
		c.peersStale = false
		c.gossip.SetPeers(now, c.peers())
	}
	return compared
}

func areEmpty(gossipEffects gossip.Effects, membershipEffects membership.Effects) bool {
	return len(gossipEffects.Messages)+len(gossipEffects.Changed)+len(gossipEffects.Expired)+len(gossipEffects.Compared)+
		len(membershipEffects.Heartbeats)+len(membershipEffects.Messages)+len(membershipEffects.Declared)+len(membershipEffects.Changed) == 0
}

func (c *Core) applyGossipEffects(now time.Time, effects gossip.Effects) {
	for _, out := range effects.Messages {
		c.queueGossip(membership.ID(out.To), out.Message)
	}
	for _, e := range effects.Changed {
		c.effects.Changed = append(c.effects.Changed, e)
		if n, isNode := c.parseNodeEntry(e); isNode {
			c.membership.ApplyRecord(now, n)
		}
	}
	for _, key := range effects.Expired {
		c.effects.Expired = append(c.effects.Expired, key)
		if id, isNode := nodeIDFromKey(key); isNode {
			c.membership.Remove(id)
			c.effects.ChangedNodes = append(c.effects.ChangedNodes, id)
		}
	}
}

func (c *Core) applyMembershipEffects(now time.Time, effects membership.Effects) {
	for _, to := range effects.Heartbeats {
		c.pendingEnvelope(to)
	}
	for _, out := range effects.Messages {
		e := c.pendingEnvelope(out.To)
		e.Membership = append(e.Membership, out.Message)
	}
	for _, n := range effects.Declared {
		if entry, err := nodeToEntry(n); err == nil {
			c.gossip.Publish(now, entry)
		}
	}
	for _, id := range effects.Changed {
		c.effects.ChangedNodes = append(c.effects.ChangedNodes, id)
		c.peersStale = true
		if n, known := c.membership.Node(id); known {
			c.rejoin.recordNode(n)
		}
	}
}

// parseNodeEntry returns the node that an entry describes; false if the entry is no valid node record.
func (c *Core) parseNodeEntry(e gossip.Entry) (membership.Node, bool) {
	if _, isNode := nodeIDFromKey(e.Key); !isNode {
		return membership.Node{}, false
	}
	n, err := nodeFromEntry(e)
	return n, err == nil
}

// peers returns the live nodes except this one.
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

// queueGossip adds a message to the pending envelope for a node.
func (c *Core) queueGossip(to membership.ID, m gossip.Message) {
	e := c.pendingEnvelope(to)
	e.Gossip = append(e.Gossip, m)
}

// pendingEnvelope returns the envelope that the next Take returns for a node. The pointer is valid until the next call.
func (c *Core) pendingEnvelope(to membership.ID) *Envelope {
	for i := range c.outbox {
		if c.outbox[i].To == to {
			return &c.outbox[i].Envelope
		}
	}
	c.outbox = append(c.outbox, Outgoing{To: to})
	return &c.outbox[len(c.outbox)-1].Envelope
}

// sendCompareRequest starts a comparison with the node at an address and sends it the record of this node.
func (c *Core) sendCompareRequest(address string) {
	messages := []gossip.Message{c.gossip.CompareRequest()}
	if own, found := c.gossip.Get(NodeKey(c.id)); found {
		messages = append(messages, gossip.Message{Push: []gossip.Entry{own}})
	}
	c.outbox = append(c.outbox, Outgoing{Address: address, Envelope: Envelope{Gossip: messages}})
}

// Take returns the effects of all calls since the last Take.
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
