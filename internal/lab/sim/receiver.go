package sim

import (
	"fmt"
	"time"

	"emberquay/coordination/gossip"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/cluster/records"
	table "emberquay/internal/tier/registration"
)

const (
	beatInterval = time.Second
	// beatPatience is after how long a receiver asks another control node.
	beatPatience = time.Second
	// watchInterval and the two below are as in internal/tier/controlplane and internal/tier/cluster.
	watchInterval  = 500 * time.Millisecond
	confirmTimeout = 600 * time.Millisecond
	confirmRetry   = 100 * time.Millisecond
)

// registration is what a control node does for receivers.
type registration struct {
	life  *life
	table *table.Table
}

func (l *life) startRegistration() {
	l.watch = &registration{life: l, table: table.New(l.host.name, beatInterval)}
	l.watch.tick()
}

// known gives what the cluster knows of a receiver.
func (r *registration) known(id string) *records.ReceiverRecord {
	entry, ok := r.life.core.Get(core.ReceiverPrefix + id)
	if !ok {
		return nil
	}
	record, err := records.ReceiverCodec.Decode(entry.Value)
	if err != nil {
		return nil
	}
	return &record
}

// tick looks for silent receivers.
func (r *registration) tick() {
	w := r.life.host.world
	living := map[string]bool{}
	for _, n := range r.life.core.Nodes() {
		if n.Role == controlRole && n.Live() {
			living[n.Name] = true
		}
	}
	var all []records.ReceiverRecord
	for _, receiver := range w.receivers {
		if record := r.known(receiver.id); record != nil {
			all = append(all, *record)
		}
	}
	if w.has(silenceIgnored) {
		return
	}
	for _, change := range r.table.Tick(w.now, all, func(owner string) bool { return living[owner] }) {
		r.spread(change, func(bool) {})
	}
	r.life.later(watchInterval, r.tick)
}

// heartbeat takes one and answers whether it is acknowledged.
func (r *registration) heartbeat(id string, beat table.Heartbeat, reply func(bool)) {
	w := r.life.host.world
	r.spread(r.table.Heartbeat(w.now, id, beat, r.known(id)), reply)
}

func (r *registration) leave(id string, reply func(bool)) {
	r.spread(r.table.Leave(id, r.known(id)), reply)
}

// spread publishes a change. That a receiver ends is acknowledged once a majority of the control nodes know it, as the
// control plane does.
func (r *registration) spread(change table.Change, reply func(bool)) {
	w := r.life.host.world
	if !change.Publish && !change.NeedsConfirmation {
		reply(true)
		return
	}
	if w.has(drainUnconfirmed) && change.NeedsConfirmation {
		reply(true)
		return
	}
	entry, ok := r.entryOf(change)
	if !ok {
		reply(false)
		return
	}
	if !change.NeedsConfirmation {
		r.life.core.Publish(w.clock(), entry)
		r.life.settleCore()
		reply(true)
		return
	}
	r.life.core.PublishWithoutPush(w.clock(), entry)
	r.life.settleCore()
	confirmed := func(ok bool) {
		if ok {
			r.table.MarkConfirmed(change.Record)
		}
		reply(ok)
	}
	c := &confirming{life: r.life, entry: entry, until: w.now + confirmTimeout, reply: confirmed}
	c.begin()
}

// entryOf is what is to be spread of a change: news, or what the cluster has already.
func (r *registration) entryOf(change table.Change) (gossip.Entry, bool) {
	key := core.ReceiverPrefix + change.Record.ID
	if !change.Publish {
		return r.life.core.Get(key)
	}
	value, err := records.ReceiverCodec.Encode(change.Record)
	return gossip.Entry{Key: key, Value: value, Stamp: change.Stamp}, err == nil
}

// confirming brings an entry to all live control nodes and proxies, as cluster.PublishConfirmed does.
type confirming struct {
	life  *life
	entry gossip.Entry
	until time.Duration
	reply func(bool)
	over  bool
	open  int
	has   []string // addresses
}

func (c *confirming) begin() {
	own := c.life.core.Self().ID()
	for _, n := range c.life.core.Nodes() {
		if n.ID() != own && n.Live() && n.Role != storeRole {
			c.open++
			c.bring(n.Address)
		}
	}
	c.has = append(c.has, c.life.host.address)
	if c.open == 0 {
		c.end(c.enough())
		return
	}
	c.life.later(confirmTimeout, func() { c.end(c.enough()) })
}

// enough says whether a majority of the voters have it, as far as this node knows the voters.
func (c *confirming) enough() bool {
	if c.life.host.world.has(drainOfOne) {
		return len(c.has) > 1
	}
	var voters []string
	for _, m := range c.life.replica.node.View().Members {
		voters = append(voters, m.Address)
	}
	return table.HasMajority(voters, c.has)
}

func (c *confirming) end(ok bool) {
	if !c.over {
		c.over = true
		c.reply(ok)
	}
}

// bring delivers it to one node, again and again.
func (c *confirming) bring(address string) {
	w := c.life.host.world
	if c.over || w.now >= c.until {
		return
	}
	told := false
	from := c.life.core.Self().ID()
	exchange(w, c.life, address, func(to *life, reply func(bool)) {
		to.core.ReceiveEntry(w.clock(), from, c.entry, false)
		to.settleCore()
		reply(to.core.Has(c.entry.Key, c.entry.Stamp))
	}, func(has bool) {
		if told || !has {
			return
		}
		told = true
		c.has = append(c.has, address)
		c.open--
		if c.open == 0 {
			c.end(c.enough())
		}
	})
	c.life.later(confirmRetry, func() {
		if !told {
			c.bring(address)
		}
	})
}

// receiver is one outside, with its heartbeats.
type receiver struct {
	world    *world
	id       string
	sequence uint64
	draining bool
	left     bool
	crashed  time.Duration // it ended without a word; 0: not
	target   string
	acked    time.Duration // that it drains; 0: not
	ackedBy  string
}

func (w *world) addReceiver() {
	r := &receiver{world: w, id: fmt.Sprintf("i-%d", len(w.receivers))}
	w.receivers = append(w.receivers, r)
	w.after(w.between(0, beatInterval), r.beat)
}

// beat sends heartbeats until the receiver has left.
func (r *receiver) beat() {
	if r.left || r.crashed > 0 {
		return
	}
	r.tell(3)
	r.world.after(r.world.between(beatInterval*9/10, beatInterval*11/10), r.beat)
}

// tell sends one heartbeat, to other control nodes where there is no acknowledgement.
func (r *receiver) tell(tries int) {
	w := r.world
	all := w.of(controlRole)
	if tries == 0 || r.left || r.crashed > 0 || len(all) == 0 {
		return
	}
	target := r.target
	if w.at(target) == nil {
		target = pick(w, all).address
	}
	r.sequence++
	beat := table.Heartbeat{Service: "s", Address: "10.9.9.9:80", Zone: "a", Version: "v", Slots: 4, Draining: r.draining, Sequence: r.sequence}
	heard := false
	callFromOutside(w, target, func(l *life, reply func(bool)) {
		if l.watch == nil {
			return
		}
		l.watch.heartbeat(r.id, beat, reply)
	}, func(ok bool) {
		if heard || !ok {
			return
		}
		heard = true
		r.target = target
		if beat.Draining && r.acked == 0 {
			r.acked, r.ackedBy = w.now, target
			w.judge.drainAcked(r)
			if w.one(2) {
				w.after(drainBound+w.between(0, 4*time.Second), func() { r.leave(3) })
			}
		}
	})
	w.after(beatPatience, func() {
		if !heard {
			r.target = ""
			r.tell(tries - 1)
		}
	})
}

// leave has the receiver end, some time after its draining was acknowledged.
func (r *receiver) leave(tries int) {
	w := r.world
	all := w.of(controlRole)
	if tries == 0 || len(all) == 0 {
		return
	}
	r.left = true
	heard := false
	callFromOutside(w, pick(w, all).address, func(l *life, reply func(bool)) {
		if l.watch != nil {
			l.watch.leave(r.id, reply)
		}
	}, func(ok bool) { heard = heard || ok })
	w.after(beatPatience, func() {
		if !heard {
			r.leave(tries - 1)
		}
	})
}

// crash ends it without a word.
func (r *receiver) crash() {
	r.world.trace("receiver %s crashes", r.id)
	r.crashed = r.world.now
}

// drain has the receiver say that it will end.
func (r *receiver) drain() {
	r.world.trace("receiver %s drains", r.id)
	r.draining = true
	r.tell(3)
}
