package cluster

import (
	"slices"
	"time"

	"emberquay/internal/tier/cluster/core"
)

// commandQueueCapacity is the number of commands that may wait for the owner. Callers block while the queue is full.
const commandQueueCapacity = 256

// command is a function that the owner executes.
type command func(o *owner, now time.Time)

// owner is the state of the goroutine that owns the node.
type owner struct {
	cluster *Cluster
	core    *core.Core
	isReady bool
}

// submit queues a command for the owner. It blocks while the queue is full, and returns false if the cluster is closed.
func (c *Cluster) submit(f command) bool {
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
		o.applyPendingEffects()
		timer.Reset(time.Until(o.core.Due()))
	}
}

// applyPendingEffects carries out the effects of all calls of the node since the last time.
func (o *owner) applyPendingEffects() { o.applyEffects(o.core.Take()) }

func (o *owner) applyEffects(effects core.Effects) {
	o.updateSnapshots(effects)
	for _, e := range effects.Changed {
		o.cluster.notifier.entryChanged(e.Key)
	}
	for _, id := range effects.ChangedNodes {
		o.cluster.notifier.nodeChanged(id)
	}
	for _, out := range effects.Messages {
		if out.Address != "" {
			o.cluster.sender.send(out)
		}
	}
	if !o.isReady && o.core.Ready() {
		o.isReady = true
		close(o.cluster.ready)
	}
}

// updateSnapshots replaces the snapshots that other goroutines read. It must run before the watchers are notified.
func (o *owner) updateSnapshots(effects core.Effects) {
	if len(effects.Changed)+len(effects.Expired) > 0 {
		table := o.cluster.table.Load().Txn()
		for _, e := range effects.Changed {
			table.Insert([]byte(e.Key), e)
		}
		for _, key := range effects.Expired {
			if _, exists := o.core.Get(key); !exists {
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

// receiveAndAnswer passes an envelope to the node and returns the answer for its sender. If the envelope is itself an
// answer, calledAddress is the address that was called.
func (o *owner) receiveAndAnswer(now time.Time, e core.Envelope, calledAddress string) core.Envelope {
	o.applyPendingEffects() // earlier messages to the sender must not be part of the answer
	o.core.Receive(now, e, calledAddress)
	effects := o.core.Take()
	index := slices.IndexFunc(effects.Messages, func(out core.Outgoing) bool { return out.To == e.From })
	answer := core.Envelope{From: o.core.Self().ID(), Incarnation: o.core.Self().Incarnation, Syncing: !o.core.Ready()}
	if index >= 0 {
		answer = effects.Messages[index].Envelope
		effects.Messages = slices.Delete(effects.Messages, index, index+1)
	}
	o.applyEffects(effects)
	return answer
}
