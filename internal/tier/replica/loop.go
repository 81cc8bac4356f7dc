package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
)

// own is the goroutine that owns the node and the journal.
func (r *Replica) own(first chain.Output) {
	defer r.finish()
	r.carryOut(first)
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := r.now()
	for {
		select {
		case do := <-r.commands:
			do()
		case <-timer.C:
			due = never
			r.carryOut(r.node.Tick(r.now()))
		case <-r.closing:
			return
		}
		// The timer is set only where it would be late: messages come more often than anything is due.
		if wanted := r.node.Deadline(); wanted < due {
			due = wanted
			timer.Reset(max(0, due-r.now()))
		}
	}
}

// never is after any deadline.
const never = time.Duration(1<<63 - 1)

func (r *Replica) finish() {
	r.closed.Store(true)
	r.peers.close()
	r.commits.close()
	r.closeJournal()
	close(r.ended)
}

// receive takes a message off the network. One that finds the queue full is lost, as the network may lose it.
func (r *Replica) receive(_ context.Context, w wire) {
	envelope, err := w.open()
	if err != nil {
		r.log.WithError(err).Warn("replica: message not understood")
		return
	}
	select {
	case r.commands <- func() { r.carryOut(r.node.Step(r.now(), envelope)) }:
	default:
	}
}

// carryOut does what the node asks for, in the order that it demands. Nothing leaves before the disk has it.
func (r *Replica) carryOut(out chain.Output) {
	if len(out.Persist) > 0 && !r.persist(out.Persist) {
		return
	}
	for _, c := range out.Committed {
		r.commits.tell(c)
	}
	for _, e := range out.Send {
		r.post(e)
	}
	for _, reply := range out.Replies {
		if answer, ok := r.waiting[reply.Number]; ok {
			delete(r.waiting, reply.Number)
			answer <- reply
		}
	}
	r.publish()
}

func (r *Replica) post(e chain.Envelope) {
	w, err := seal(e)
	if err != nil {
		r.log.WithError(err).Error("replica: message not sent")
		return
	}
	r.peers.send(e.To.Address, w)
}

// publish tells the status where it is another.
func (r *Replica) publish() {
	old := r.status.Load()
	self, v, member := r.node.Self(), r.node.View(), r.node.IsMember()
	if old != nil && old.Self == self && old.View.Epoch == v.Epoch && old.IsMember == member {
		return
	}
	r.status.Store(&Status{Self: self, View: v, IsMember: member})
	r.log.WithField("epoch", v.Epoch).WithField("members", len(v.Members)).WithField("chain", len(v.Chain)).
		WithField("member", member).Info("replica: view")
}

// randomSeed is for ids and delays; ids have to differ between all disks there ever are.
func randomSeed() [2]uint64 {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(eris.Wrap(err, "replica: no random numbers"))
	}
	return [2]uint64{binary.LittleEndian.Uint64(b[:8]), binary.LittleEndian.Uint64(b[8:])}
}
