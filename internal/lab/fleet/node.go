package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/lab/world"
)

// sender is one simulated sender: a control module and the texts that its data folder would hold.
type sender struct {
	sim      *Simulation
	index    int
	kills    int // number of times it was killed; tells its processes apart
	down     bool
	downAt   time.Duration
	module   *control.Sender
	texts    map[string]*heldText
	deferred []func() // work requested by the module that calls it again
}

// heldText is a text that a sender has accepted and not yet finished.
type heldText struct {
	text         *world.Text
	handInNo     int // number of the hand-in, from 0
	id           string
	nextSubmitNo int // number of the next submit, as the module counts
	submits      int // total, across restarts
	firstRunAt   control.Time
	pending      *call
	replyDue     bool // the hand-in's reply has not been sent yet
	ended        bool
	reply        world.ClientReply // set once ended
	retryAfter   time.Duration
}

// call is one submit.
type call struct {
	id       int64
	kills    int // of the sender when it sent the call
	textID   string
	receiver *world.Receiver
	sentAt   time.Duration
	arrived  bool // reached a listening receiver
	closed   bool
	answered bool // its answer is in transit to the sender
	state    world.Call
}

// epoch is the module's time at the start of the day. It is well above zero, as in a sender process.
const epoch = 1000 * control.Second

// moduleTime converts a time of the day to the module's time.
func moduleTime(at time.Duration) control.Time { return epoch + protocol.Ticks(at) }

// start gives the sender a new module, the receiver list and the texts it held before.
func (s *sender) start() error {
	if s.sim.now > 0 {
		s.sim.Referee.SenderStarted(s.sim.now, s.index)
	}
	var err error
	if s.module, err = control.New(s.sim.day.Seed*1000+uint64(s.index)+uint64(s.kills)<<32, s.sim.settings, s); err != nil {
		return err
	}
	s.down = false
	var entries []control.ReceiverEntry
	version := s.sim.day.Version(s.index, s.sim.now)
	for _, r := range s.sim.day.Receivers {
		if state := s.sim.day.State(r, version); state == world.Active || state == world.Leaving {
			entries = append(entries, receiverEntry(r, state))
			s.sim.Referee.ReceiverStateNotified(s.sim.now, s.index, r.No, state)
		}
	}
	s.callModule(func() {
		s.module.UpdateReceivers(true, entries)
		for _, ht := range s.heldTexts() {
			s.deliverArrival(ht, false)
		}
	})
	s.sim.Referee.SenderReady(s.sim.now, s.index)
	return nil
}

// heldTexts returns the sender's texts in a deterministic order.
func (s *sender) heldTexts() []*heldText {
	return slices.SortedFunc(maps.Values(s.texts), func(a, b *heldText) int { return cmp.Or(a.text.No-b.text.No, a.handInNo-b.handInNo) })
}

// kill stops the sender as SIGKILL does: its texts stay in its data folder, and its connections are reset.
func (s *sender) kill() {
	s.sim.Referee.SenderDown(s.sim.now, s.index)
	s.kills++
	s.down, s.downAt = true, s.sim.now
	for _, ht := range s.heldTexts() {
		if c := ht.pending; c != nil {
			if ht.firstRunAt == 0 {
				ht.firstRunAt = moduleTime(c.sentAt)
			}
			s.closeCall(c)
		}
		ht.nextSubmitNo, ht.pending = ht.submits, nil // the next module continues the count
	}
}

// closeCall closes the connection of a call. An answer in transit stays unread.
func (s *sender) closeCall(c *call) {
	switch {
	case c.answered:
		s.sim.Referee.CallAnswerUnread(s.sim.now, c.id)
	case !c.closed && c.arrived:
		s.sim.Referee.CallEnded(s.sim.now, c.id, true)
	}
	c.closed = true
}

func receiverEntry(r *world.Receiver, state string) control.ReceiverEntry {
	destination := r.Destination()
	moduleState := map[string]control.ReceiverState{world.Active: control.Up, world.Leaving: control.Draining, world.Left: control.Removed}[state]
	return control.ReceiverEntry{Receiver: control.ReceiverID(r.No + 1), Rate: r.Rate, Destination: int64(destination.No), Kind: destination.Kind.Name,
		State: moduleState}
}

// receiverChanged passes a change of the receiver list to the module.
func (s *sender) receiverChanged(change *world.Change) {
	if s.down {
		return
	}
	s.sim.Referee.ReceiverStateNotified(s.sim.now, s.index, change.Receiver, change.State)
	s.callModule(func() {
		s.module.UpdateReceivers(false, []control.ReceiverEntry{receiverEntry(s.sim.day.Receivers[change.Receiver], change.State)})
	})
}

// callModule runs one call on the module as a batch of its own, then the deferred work that it leads to.
func (s *sender) callModule(do func()) {
	s.module.SetTime(moduleTime(s.sim.now))
	do()
	s.module.Schedule()
	for len(s.deferred) > 0 {
		batch := s.deferred
		s.deferred = nil
		for _, do := range batch {
			do()
		}
		s.module.Schedule()
	}
}

func (s *sender) deliverArrival(ht *heldText, retry bool) {
	s.module.HandleArrival(control.Arrival{ID: ht.id, Product: ht.text.Product.Name, Destination: int64(ht.text.Destination), Key: ht.text.Key,
		TimeLeft: moduleTime(ht.text.Validity()) - moduleTime(s.sim.now), Retry: retry, Attempts: ht.submits, FirstRunAt: ht.firstRunAt})
}

// Submit sends a text to a receiver.
func (s *sender) Submit(id string, receiver control.ReceiverID, timeout control.Time) {
	sim, ht := s.sim, s.texts[id]
	sim.lastCallID++
	c := &call{id: sim.lastCallID, kills: s.kills, textID: id, receiver: sim.day.Receivers[receiver-1], sentAt: sim.now}
	submitNo := ht.nextSubmitNo
	ht.nextSubmitNo, ht.submits, ht.pending = ht.nextSubmitNo+1, ht.submits+1, c
	sim.currentSecond().Calls++
	sim.schedule(sim.now+oneWayDelay, func() { s.callArrived(ht, c, submitNo) })
	deadline := ht.text.Validity()
	if timeout > 0 {
		deadline = min(deadline, sim.now+protocol.Duration(timeout))
	}
	sim.schedule(deadline, func() {
		if ht.pending == c && s.kills == c.kills {
			s.closeCall(c)
			s.handleResult(ht, c, submitNo, control.Result{Outcome: control.NoAnswer})
		}
	})
}

// callArrived handles the arrival of a call's bytes at the receiver, which may not be listening.
func (s *sender) callArrived(ht *heldText, c *call, submitNo int) {
	sim := s.sim
	if c.closed {
		return
	}
	if !c.receiver.Listens(sim.now) {
		c.closed = true
		sim.Referee.IdleConnectionBroken(sim.now, s.index, c.receiver.No)
		sim.currentSecond().ConnectFailed++
		sim.schedule(sim.now+oneWayDelay, func() {
			s.handleResult(ht, c, submitNo, control.Result{Outcome: control.NoConnection, NotListening: true})
		})
		return
	}
	c.arrived = true
	c.state = world.Call{Sender: s.index, Text: ht.text, SubmitNo: sim.submitCounts[ht.text]}
	sim.submitCounts[ht.text]++
	sim.Referee.CallBegan(sim.now, sim.now, c.id, ht.id, s.index, c.receiver.No)
	sim.Referee.CallArrived(sim.now, c.id)
	previousFall := c.receiver.Overload
	endAt, ends := c.receiver.Begin(sim.now, &c.state)
	if c.receiver.Overload != previousFall {
		sim.Referee.ReceiverOverloaded(sim.now, c.receiver.No, c.receiver.Overload)
	}
	if ends {
		sim.schedule(endAt, func() { s.callEnded(ht, c, submitNo) })
	}
}

// callEnded handles the end of a call at the receiver.
func (s *sender) callEnded(ht *heldText, c *call, submitNo int) {
	sim := s.sim
	answer := c.receiver.End(sim.now, &c.state)
	if answer.Executed || answer.Duplicate {
		sim.Referee.CallExecuted(c.id, answer.Duplicate)
	}
	if c.closed || answer.Action == world.NeverAnswer {
		return
	}
	c.closed = true
	if answer.Action == world.Reset {
		sim.Referee.CallEnded(sim.now, c.id, false)
		sim.schedule(sim.now+oneWayDelay, func() { s.handleResult(ht, c, submitNo, control.Result{Outcome: control.ConnectionLost}) })
		return
	}
	c.answered = true
	sim.Referee.CallAnswered(sim.now, c.id, answer.Status, answer.RetryAfter)
	result := control.Result{Outcome: control.Errored, RetryAfter: protocol.Ticks(answer.RetryAfter + protocol.Tick - 1)}
	switch answer.Status {
	case 200:
		result.Outcome, result.Final = control.Delivered, true
	case 429, 503:
		result.Outcome = control.Refused
		sim.currentSecond().Refused++
	}
	if answer.Report.Present {
		result.Report = []float64{answer.Report.Share, answer.Report.PerSecond}
	}
	sim.schedule(sim.now+oneWayDelay, func() { s.handleResult(ht, c, submitNo, result) })
}

// handleResult passes the result of a submit to the module.
func (s *sender) handleResult(ht *heldText, c *call, submitNo int, result control.Result) {
	sim := s.sim
	if s.kills != c.kills || ht.pending != c {
		return // the process that sent it was killed, or the call was given up
	}
	ht.pending = nil
	result.Took = moduleTime(sim.now) - moduleTime(c.sentAt)
	if result.Outcome.MayHaveRun() && ht.firstRunAt == 0 {
		ht.firstRunAt = moduleTime(c.sentAt)
	}
	if result.Final {
		delete(s.texts, ht.id)
		sim.currentSecond().Delivered++
	}
	s.callModule(func() { s.module.HandleResult(ht.id, submitNo, result) })
}

// Cancel cancels a submit that is still pending.
func (s *sender) Cancel(id string, submitNo int) {
	if ht := s.texts[id]; ht != nil && ht.pending != nil && ht.nextSubmitNo == submitNo+1 {
		c := ht.pending
		s.closeCall(c)
		s.deferred = append(s.deferred, func() { s.handleResult(ht, c, submitNo, control.Result{Outcome: control.Cancelled}) })
	}
}

// Nack ends a text that its client may hand in again.
func (s *sender) Nack(id string, retryAfter control.Time) {
	s.endText(id, world.Nacked, protocol.Duration(retryAfter))
}

// MarkUndeliverable ends a text that its client must not hand in again.
func (s *sender) MarkUndeliverable(id string) { s.endText(id, world.Failed, 0) }

func (s *sender) endText(id string, reply world.ClientReply, retryAfter time.Duration) {
	sim, ht := s.sim, s.texts[id]
	if ht == nil {
		return
	}
	delete(s.texts, id)
	ht.ended, ht.reply, ht.retryAfter = true, reply, retryAfter
	sim.currentSecond().GivenUp++
	if ht.replyDue { // the client gets it as the reply to the hand-in
		return
	}
	sim.Referee.NoticeSent(sim.now, s.index, id, reply == world.Nacked)
	sim.scheduleRetry(ht.text, ht.handInNo, reply, retryAfter)
}

// WakeAt schedules a call on the module.
func (s *sender) WakeAt(at control.Time, _ int64) {
	kills := s.kills
	s.sim.schedule(protocol.Duration(at-epoch), func() {
		if s.kills == kills && !s.down {
			s.callModule(func() {})
		}
	})
}

// CloseIdle does nothing: connections are not simulated.
func (s *sender) CloseIdle(control.ReceiverID) {}

// WatchReceivers does nothing: the simulation reports list changes unasked.
func (s *sender) WatchReceivers() {}

// Broadcast does nothing: modules of senders send no broadcasts.
func (s *sender) Broadcast([]byte) {}

// Log discards the message.
func (s *sender) Log(string) {}
