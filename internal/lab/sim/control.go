package sim

import (
	"time"

	"emberquay/coordination/chain"
	"emberquay/coordination/gossip"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

type gossipEntry = gossip.Entry

// controlDisk is the disk of a control node: records in order.
type controlDisk struct {
	synced  []chain.Record
	pending []chain.Record // written, and not synced
}

// crash keeps any beginning of what was not synced.
func (d *controlDisk) crash(w *world) {
	if len(d.pending) > 0 {
		d.synced = append(d.synced, d.pending[:w.random.IntN(len(d.pending)+1)]...)
	}
	d.pending = nil
}

// wipe empties the disk.
func (d *controlDisk) wipe(w *world) {
	var kept []chain.Record
	if w.has(voteAfterWipe) {
		kept = voteless(d.synced)
	}
	*d = controlDisk{synced: kept}
}

// Syncs of a disk, and how often one stalls.
const (
	leastSync = 300 * time.Microsecond
	mostSync  = 6 * time.Millisecond
	stallOne  = 400 // one in so many
	mostStall = 500 * time.Millisecond
	slowSync  = 150 * time.Millisecond // of disks in trouble
)

func (w *world) syncTime() time.Duration {
	if w.slowDisks > 0 {
		return w.between(mostSync, slowSync)
	}
	if w.one(stallOne) {
		return w.between(mostSync, mostStall)
	}
	return w.between(leastSync, mostSync)
}

const (
	// compactAt is after how many records a disk is rewritten.
	compactAt = 60
	// orderTimeout bounds an order at a control node, as in internal/tier/controlplane.
	orderTimeout = 3 * time.Second
	// diskPause and commandBound are diskRetryDelay and commandQueueCapacity of internal/tier/replica: the rest after a write
	// that failed, and how many messages wait.
	diskPause    = 100 * time.Millisecond
	commandBound = 256
)

// replica is a control node's member of the chain, as internal/tier/replica runs it: nothing leaves before the disk has it, and
// nothing is stepped meanwhile.
type replica struct {
	life    *life
	node    *chain.Node
	machine chain.StateMachine
	busy    bool
	queue   []func()
	timer   time.Duration // when the node's timer goes off; 0: none is set
	waiting map[int64]func(chain.Reply)
	newest  int64  // sequence told
	last    []byte // newest committed snapshot

	beating   bool                           // for stalledStays
	proposers map[chain.CommandID]chain.Peer // for headAcknowledges
}

func (l *life) startControl() {
	w, h := l.host.world, l.host
	var durable chain.DurableState
	for _, r := range h.recordsAtStart() {
		if err := durable.Apply(r); err != nil {
			w.judge.breach("INTERNAL", "%s: a disk that cannot be read: %v", h.name, err)
			return
		}
	}
	r := &replica{life: l, machine: w.machine(), waiting: map[int64]func(chain.Reply){}}
	l.replica = r
	settings := chain.Settings{Name: h.name, Address: h.address, Zone: h.zone, Voter: true, Bootstrap: h.bootstrap && h.starts == 1,
		Seeds: w.seedsFor(h), Random: h.chanceOf()}
	node, out, err := chain.New(settings, &durable, r.machine, w.now)
	if err != nil {
		w.judge.breach("INTERNAL", "%s: does not start: %v", h.name, err)
		return
	}
	r.node = node
	r.carryOut(out)
	l.startRegistration()
}

// do steps the node now, or once the disk is done.
func (r *replica) do(step func() chain.Output) {
	if r.busy {
		r.queue = append(r.queue, func() { r.do(step) })
		return
	}
	r.carryOut(step())
}

// carryOut does what the node asks for, in the order that it demands.
func (r *replica) carryOut(out chain.Output) {
	w, h := r.life.host.world, r.life.host
	out.Persist = w.spoilRecords(out.Persist)
	if len(out.Persist) == 0 {
		r.finish(out)
		return
	}
	if w.has(answerBeforeSync) {
		r.finish(out)
		out = chain.Output{Persist: out.Persist}
	}
	h.control.pending = append(h.control.pending, out.Persist...)
	r.busy = true
	r.persist(out)
	r.beatWhileBusy()
}

// persist tries until the disk takes what was written.
func (r *replica) persist(out chain.Output) {
	h := r.life.host
	r.life.sync(func(o syncOutcome) {
		switch o {
		case refused:
			r.life.later(diskPause, func() { r.persist(out) })
			return
		case onDisk:
			h.control.synced = append(h.control.synced, h.control.pending...)
			h.control.pending = nil
		}
		r.busy = false
		r.finish(out)
		r.drain()
	})
}

// drain takes up what came while the disk was busy.
func (r *replica) drain() {
	queue := r.queue
	r.queue = nil
	for at, do := range queue {
		if r.busy {
			r.queue = append(r.queue, queue[at:]...)
			return
		}
		do()
	}
}

func (r *replica) finish(out chain.Output) {
	w, h := r.life.host.world, r.life.host
	for _, c := range out.Committed {
		r.committed(c)
	}
	for _, e := range w.spoilMessages(r, out.Send) {
		r.post(e)
	}
	for _, reply := range out.Replies {
		number := r.answerTo(reply.Number)
		if answer := r.waiting[number]; answer != nil {
			delete(r.waiting, number)
			answer(reply)
		}
	}
	if len(h.control.synced) > compactAt && !r.busy && len(h.control.pending) == 0 {
		h.control.synced = w.spoilRecords(r.node.Checkpoint())
	}
	r.schedule()
}

func (r *replica) post(e chain.Envelope) {
	w := r.life.host.world
	w.network.carry(e.From.Address, e.To.Address, func() {
		h := w.at(e.To.Address)
		if h == nil {
			return
		}
		h.step(func(l *life) {
			if l.replica == nil || l.replica.node == nil {
				return
			}
			to := l.replica
			if to.busy && len(to.queue) >= commandBound {
				return
			}
			to.do(func() chain.Output {
				if w.forge(to, e) {
					return chain.Output{}
				}
				return to.node.Step(w.now, e)
			})
		})
	})
}

// schedule sets the node's timer unless one goes off before it is due.
func (r *replica) schedule() {
	w := r.life.host.world
	due := max(w.now, r.node.Deadline())
	if r.timer > 0 && r.timer <= due {
		return
	}
	r.timer = due
	r.life.later(due-w.now, func() {
		if r.timer != due {
			return // an earlier one was set since
		}
		r.timer = 0
		r.do(func() chain.Output {
			if w.now < r.node.Deadline() {
				return chain.Output{}
			}
			return r.node.Tick(w.now)
		})
	})
}

// committed spreads a committed state, as the control plane does.
func (r *replica) committed(c chain.CommittedState) {
	w := r.life.host.world
	state := controlstate.New()
	if err := state.Restore(c.Snapshot); err != nil {
		w.judge.breach("INTERNAL", "%s: a committed state that cannot be read: %v", r.life.host.name, err)
		return
	}
	w.judge.committed(r, c, state)
	r.last = c.Snapshot
	version, body := state.Configuration()
	if version > 0 && r.older(core.ConfigurationKey, version) {
		if value, err := records.ConfigurationCodec.Encode(records.ConfigurationRecord{Version: version, Body: body}); err == nil {
			r.life.core.Publish(w.clock(), gossip.Entry{Key: core.ConfigurationKey, Value: value, Stamp: gossip.Stamp{Epoch: version, Sequence: 1}})
		}
	}
	stores := state.Stores()
	if stores.Epoch > 0 && r.older(core.StoresKey, stores.Epoch) {
		if entry, err := storewire.EncodeViewEntry(stores); err == nil {
			r.life.core.Publish(w.clock(), entry)
		}
	}
	r.life.settleCore()
}

// older says whether what the cluster has is older than an epoch.
func (r *replica) older(key string, epoch uint64) bool {
	known, ok := r.life.core.Get(key)
	return !ok || known.Stamp.Epoch < epoch
}

// propose brings a command into the chain; open says that its fate is not known.
func (r *replica) propose(command controlstate.Command, done func(result controlstate.Result, open bool)) {
	r.call(func() (int64, chain.Output, bool) {
		return r.node.Propose(r.life.host.world.now, controlstate.EncodeCommand(command))
	}, func(reply chain.Reply, late bool) {
		result, err := controlstate.DecodeResult(reply.Result)
		done(result, late || reply.Unknown || err != nil)
	})
}

// read gives the newest committed state.
func (r *replica) read(done func(state *controlstate.State, open bool)) {
	if state, alone := r.life.host.world.readsAlone(r); alone {
		done(state, false)
		return
	}
	r.call(func() (int64, chain.Output, bool) { return r.node.Read(r.life.host.world.now) }, func(reply chain.Reply, late bool) {
		state := controlstate.New()
		if late || reply.Unknown || state.Restore(reply.Snapshot) != nil {
			done(nil, true)
			return
		}
		done(state, false)
	})
}

// call begins a call and withdraws it where it takes too long.
func (r *replica) call(begin func() (int64, chain.Output, bool), done func(reply chain.Reply, late bool)) {
	if r.node == nil {
		done(chain.Reply{}, true)
		return
	}
	over := false
	end := func(reply chain.Reply, late bool) {
		if !over {
			over = true
			done(reply, late)
		}
	}
	r.do(func() chain.Output {
		number, out, ok := begin()
		if !ok {
			end(chain.Reply{}, true)
			return out
		}
		r.waiting[number] = func(reply chain.Reply) { end(reply, false) }
		r.life.later(orderTimeout, func() {
			delete(r.waiting, number)
			r.node.Abandon(number)
			end(chain.Reply{}, true)
		})
		return out
	})
}
