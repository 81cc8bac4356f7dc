package cluster

import (
	"slices"
	"time"

	"emberquay/internal/tier/cluster/core"
)

// commandBound is how many commands may wait for the owner; callers beyond it wait.
const commandBound = 256

// command is a step of the owner.
type command func(o *owner, now time.Time)

// owner is the one goroutine that steps the node.
type owner struct {
	cluster *Cluster
	core    *core.Core
	isReady bool
}

// do hands a command to the owner. It waits while the queue is full, and tells whether the owner runs.
func (c *Cluster) do(f command) bool {
	select {
	case c.commands <- f:
		return true
	case <-c.done:
		return false
	}
}

func (o *owner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-o.cluster.commands:
			f(o, time.Now())
		case <-timer.C:
		case <-o.cluster.done:
			return
		}
		now := time.Now()
		if !now.Before(o.core.Due()) {
			o.core.Tick(now)
		}
		o.carryOut()
		timer.Reset(time.Until(o.core.Due()))
	}
}

// carryOut does what the steps have asked for.
func (o *owner) carryOut() { o.carryOutThese(o.core.Take()) }

func (o *owner) carryOutThese(effects core.Effects) {
	o.snapshot(effects)
	for _, e := range effects.Changed {
		o.cluster.notify.entry(e.Key)
	}
	for _, id := range effects.ChangedNodes {
		o.cluster.notify.node(id)
	}
	for _, out := range effects.Messages {
		if out.Address != "" {
			o.cluster.senders.send(out)
		}
	}
	if !o.isReady && o.core.Ready() {
		o.isReady = true
		close(o.cluster.ready)
	}
}

// snapshot publishes the state that others read: before they are told of it.
func (o *owner) snapshot(effects core.Effects) {
	if len(effects.Changed)+len(effects.Expired) > 0 {
		table := o.cluster.table.Load().Txn()
		for _, e := range effects.Changed {
			table.Insert([]byte(e.Key), e)
		}
		for _, key := range effects.Expired {
			if _, there := o.core.Get(key); !there {
				table.Delete([]byte(key))
			}
		}
		o.cluster.table.Store(table.Commit())
	}
	if len(effects.ChangedNodes) > 0 || o.cluster.nodes.Load() == nil {
		nodes := o.core.Nodes()
		o.cluster.nodes.Store(&nodes)
	}
}

// receive steps the node with an envelope and gives what goes back to its sender. At is the address that was
// called if the envelope is an answer.
func (o *owner) receive(now time.Time, e core.Envelope, at string) core.Envelope {
	o.carryOut() // what waits must not go out as this answer
	o.core.Receive(now, e, at)
	effects := o.core.Take()
	index := slices.IndexFunc(effects.Messages, func(out core.Outgoing) bool { return out.To == e.From })
	answer := core.Envelope{From: o.core.Self().ID(), Incarnation: o.core.Self().Incarnation, Syncing: !o.core.Ready()}
	if index >= 0 {
		answer = effects.Messages[index].Envelope
		effects.Messages = slices.Delete(effects.Messages, index, index+1)
	}
	o.carryOutThese(effects)
	return answer
}
