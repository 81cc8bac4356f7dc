package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
)

// run is the main loop of the goroutine that owns the node and the journal.
func (r *Replica) run(first chain.Output) {
	defer r.shutDown()
	r.handleOutput(first)
	timer := time.NewTimer(0)
	defer timer.Stop()
	timerAt := r.now()
	for {
		select {
		case command := <-r.commands:
			command()
		case <-timer.C:
			timerAt = noDeadline
			r.handleOutput(r.node.Tick(r.now()))
		case <-r.closing:
			return
		}
		// The timer is reset only if it would fire too late: messages arrive far more often than deadlines.
		if deadline := r.node.Deadline(); deadline < timerAt {
			timerAt = deadline
			timer.Reset(max(0, timerAt-r.now()))
		}
	}
}

// noDeadline is later than any deadline.
const noDeadline = time.Duration(1<<63 - 1)

func (r *Replica) shutDown() {
	r.closed.Store(true)
	r.sender.close()
	r.commitNotifier.close()
	r.closeJournal()
	close(r.stopped)
}

// receive queues a message from the network. It drops the message if the queue is full: the protocol tolerates loss.
func (r *Replica) receive(_ context.Context, w wireEnvelope) {
	envelope, err := w.decode()
	if err != nil {
		r.log.WithError(err).Warn("replica: cannot decode a received message")
		return
	}
	select {
	case r.commands <- func() { r.handleOutput(r.node.Step(r.now(), envelope)) }:
	default:
	}
}

// handleOutput executes the output of the node in the required order: nothing is sent before the records are synced.
func (r *Replica) handleOutput(out chain.Output) {
	if len(out.Persist) > 0 && !r.persist(out.Persist) {
		return
	}
	for _, c := range out.Committed {
		r.commitNotifier.notify(c)
	}
	for _, e := range out.Send {
		r.sendEnvelope(e)
	}
	for _, reply := range out.Replies {
		if replies, ok := r.pendingCalls[reply.Number]; ok {
			delete(r.pendingCalls, reply.Number)
			replies <- reply
		}
	}
	r.publishStatus()
}

func (r *Replica) sendEnvelope(e chain.Envelope) {
	w, err := encodeEnvelope(e)
	if err != nil {
		r.log.WithError(err).Error("replica: cannot encode a message to send")
		return
	}
	r.sender.send(e.To.Address, w)
}

// publishStatus stores and logs the status if it changed.
func (r *Replica) publishStatus() {
	old := r.status.Load()
	self, v, member := r.node.Self(), r.node.View(), r.node.IsMember()
	if old != nil && old.Self == self && old.View.Epoch == v.Epoch && old.IsMember == member {
		return
	}
	r.status.Store(&Status{Self: self, View: v, IsMember: member})
	r.log.WithField("epoch", v.Epoch).WithField("members", len(v.Members)).WithField("chain", len(v.Chain)).
		WithField("member", member).Info("replica: view")
}

// randomSeed seeds ids and delays. It must not repeat: ids must be unique among all disks ever used.
func randomSeed() [2]uint64 {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(eris.Wrap(err, "replica: reading random numbers"))
	}
	return [2]uint64{binary.LittleEndian.Uint64(b[:8]), binary.LittleEndian.Uint64(b[8:])}
}
