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

// node is one sender: a module and what its folder would hold.
type node struct {
	play   *Play
	no     int
	life   int
	down   bool
	downAt time.Duration
	module *control.Sender
	texts  map[string]*held
	later  []func() // what the module wants done that leads to a call on it
}

// held is a text that a sender has in hand.
type held struct {
	text     *world.Text
	n        int // which hand-in of it
	id       string
	no       int // of the next submit, as the module counts
	submits  int // in all
	ranSince control.Time
	out      *call
	fresh    bool // its client has yet to hear
	ended    bool
	verdict  world.Heard // what its client hears, if it ended at once
	advice   time.Duration
}

// call is one submit.
type call struct {
	no       int64
	life     int
	id       string
	to       *world.Receiver
	sent     time.Duration
	began    bool // the receiver has it
	over     bool
	answered bool // and its answer is on its way
	receiver world.Call
}

// epoch is the module's time at the start of the day: well above nought, as a sender's is.
const epoch = 1000 * control.Second

// ticks is the module's time at an instant of the day.
func ticks(at time.Duration) control.Time { return epoch + protocol.Ticks(at) }

// start gives the sender a new module, its list and what it had taken on before.
func (n *node) start() error {
	if n.play.now > 0 {
		n.play.Referee.SenderStarted(n.play.now, n.no)
	}
	var err error
	if n.module, err = control.New(n.play.day.Seed*1000+uint64(n.no)+uint64(n.life)<<32, n.play.set, n); err != nil {
		return err
	}
	n.down = false
	var list []control.ReceiverEntry
	version := n.play.day.Version(n.no, n.play.now)
	for _, r := range n.play.day.Receivers {
		if state := n.play.day.State(r, version); state == world.Active || state == world.Leaving {
			list = append(list, entryOf(r, state))
			n.play.Referee.ReceiverStateNotified(n.play.now, n.no, r.No, state)
		}
	}
	n.step(func() {
		n.module.UpdateReceivers(true, list)
		for _, h := range n.inHand() {
			n.take(h, false)
		}
	})
	n.play.Referee.SenderReady(n.play.now, n.no)
	return nil
}

// inHand lists the texts that it holds, alike each time.
func (n *node) inHand() []*held {
	return slices.SortedFunc(maps.Values(n.texts), func(a, b *held) int { return cmp.Or(a.text.No-b.text.No, a.n-b.n) })
}

// kill ends the sender as SIGKILL does; its texts stay in its folder, and its connections are reset.
func (n *node) kill() {
	n.play.Referee.SenderDown(n.play.now, n.no)
	n.life++
	n.down, n.downAt = true, n.play.now
	for _, h := range n.inHand() {
		if c := h.out; c != nil {
			if h.ranSince == 0 {
				h.ranSince = ticks(c.sent)
			}
			n.drop(c)
		}
		h.no, h.out = h.submits, nil // a module that takes it over counts on
	}
}

// drop closes the connection of a call; an answer that is on its way is read by nobody.
func (n *node) drop(c *call) {
	switch {
	case c.answered:
		n.play.Referee.CallAnswerUnread(n.play.now, c.no)
	case !c.over && c.began:
		n.play.Referee.CallEnded(n.play.now, c.no, true)
	}
	c.over = true
}

func entryOf(r *world.Receiver, state string) control.ReceiverEntry {
	d := r.Destination()
	listing := map[string]control.ReceiverState{world.Active: control.Up, world.Leaving: control.Draining, world.Left: control.Removed}[state]
	return control.ReceiverEntry{Receiver: control.ReceiverID(r.No + 1), Rate: r.Rate, Destination: int64(d.No), Kind: d.Kind.Name,
		State: listing}
}

// told hands on a change of the list.
func (n *node) told(ch *world.Change) {
	if n.down {
		return
	}
	n.play.Referee.ReceiverStateNotified(n.play.now, n.no, ch.Receiver, ch.State)
	n.step(func() {
		n.module.UpdateReceivers(false, []control.ReceiverEntry{entryOf(n.play.day.Receivers[ch.Receiver], ch.State)})
	})
}

// step makes one batch of one call on the module.
func (n *node) step(do func()) {
	n.module.SetTime(ticks(n.play.now))
	do()
	n.module.Schedule()
	for len(n.later) > 0 {
		todo := n.later
		n.later = nil
		for _, do := range todo {
			do()
		}
		n.module.Schedule()
	}
}

func (n *node) take(h *held, retry bool) {
	n.module.HandleArrival(control.Arrival{ID: h.id, Product: h.text.Product.Name, Destination: int64(h.text.Destination), Key: h.text.Key,
		TimeLeft: ticks(h.text.Validity()) - ticks(n.play.now), Retry: retry, Attempts: h.submits, FirstRunAt: h.ranSince})
}

// Submit sends a call on its way.
func (n *node) Submit(id string, to control.ReceiverID, timeout control.Time) {
	p, h := n.play, n.texts[id]
	p.calls++
	c := &call{no: p.calls, life: n.life, id: id, to: p.day.Receivers[to-1], sent: p.now}
	no := h.no
	h.no, h.submits, h.out = h.no+1, h.submits+1, c
	p.second().Calls++
	p.at(p.now+hop, func() { n.arrive(h, c, no) })
	end := h.text.Validity()
	if timeout > 0 {
		end = min(end, p.now+protocol.Duration(timeout))
	}
	p.at(end, func() {
		if h.out == c && n.life == c.life {
			n.drop(c)
			n.hear(h, c, no, control.Result{Outcome: control.NoAnswer})
		}
	})
}

// arrive: the call's bytes reach the receiver, if it listens.
func (n *node) arrive(h *held, c *call, no int) {
	p := n.play
	if c.over {
		return
	}
	if !c.to.Listens(p.now) {
		c.over = true
		p.Referee.IdleConnectionBroken(p.now, n.no, c.to.No)
		p.second().NoConnection++
		p.at(p.now+hop, func() { n.hear(h, c, no, control.Result{Outcome: control.NoConnection, NotListening: true}) })
		return
	}
	c.began = true
	c.receiver = world.Call{Sender: n.no, Text: h.text, Submit: p.submits[h.text]}
	p.submits[h.text]++
	p.Referee.CallBegan(p.now, p.now, c.no, h.id, n.no, c.to.No)
	p.Referee.CallArrived(p.now, c.no)
	fell := c.to.Fell
	due, ever := c.to.Begin(p.now, &c.receiver)
	if c.to.Fell != fell {
		p.Referee.ReceiverOverloaded(p.now, c.to.No, c.to.Fell)
	}
	if ever {
		p.at(due, func() { n.answer(h, c, no) })
	}
}

// answer: the receiver is done with the call.
func (n *node) answer(h *held, c *call, no int) {
	p := n.play
	a := c.to.End(p.now, &c.receiver)
	if a.Ran || a.Known {
		p.Referee.CallExecuted(c.no, a.Known)
	}
	if c.over || a.Do == world.Nothing {
		return
	}
	c.over = true
	if a.Do == world.Reset {
		p.Referee.CallEnded(p.now, c.no, false)
		p.at(p.now+hop, func() { n.hear(h, c, no, control.Result{Outcome: control.ConnectionLost}) })
		return
	}
	c.answered = true
	p.Referee.CallAnswered(p.now, c.no, a.Status, a.Wait)
	r := control.Result{Outcome: control.Errored, RetryAfter: protocol.Ticks(a.Wait + protocol.Tick - 1)}
	switch a.Status {
	case 200:
		r.Outcome, r.Final = control.Delivered, true
	case 429, 503:
		r.Outcome = control.Refused
		p.second().Full++
	}
	if a.Report.OK {
		r.Report = []float64{a.Report.Share, a.Report.PerSecond}
	}
	p.at(p.now+hop, func() { n.hear(h, c, no, r) })
}

// hear hands the result of a submit to the module.
func (n *node) hear(h *held, c *call, no int, r control.Result) {
	p := n.play
	if n.life != c.life || h.out != c {
		return // the process that sent it is gone, or has given it up
	}
	h.out = nil
	r.Took = ticks(p.now) - ticks(c.sent)
	if r.Outcome.MayHaveRun() && h.ranSince == 0 {
		h.ranSince = ticks(c.sent)
	}
	if r.Final {
		delete(n.texts, h.id)
		p.second().Delivered++
	}
	n.step(func() { n.module.HandleResult(h.id, no, r) })
}

// Cancel gives a call up.
func (n *node) Cancel(id string, no int) {
	if h := n.texts[id]; h != nil && h.out != nil && h.no == no+1 {
		c := h.out
		n.drop(c)
		n.later = append(n.later, func() { n.hear(h, c, no, control.Result{Outcome: control.Cancelled}) })
	}
}

// Nack ends a text that may be handed in again.
func (n *node) Nack(id string, comeBack control.Time) {
	n.end(id, world.Nacked, protocol.Duration(comeBack))
}

// MarkUndeliverable ends a text for good.
func (n *node) MarkUndeliverable(id string) { n.end(id, world.Failed, 0) }

func (n *node) end(id string, v world.Heard, advice time.Duration) {
	p, h := n.play, n.texts[id]
	if h == nil {
		return
	}
	delete(n.texts, id)
	h.ended, h.verdict, h.advice = true, v, advice
	p.second().GivenUp++
	if h.fresh { // its client hears it as the answer
		return
	}
	p.Referee.NoticeSent(p.now, n.no, id, v == world.Nacked)
	p.again(h.text, h.n, v, advice)
}

// WakeAt has the module called again.
func (n *node) WakeAt(at control.Time, _ int64) {
	life := n.life
	n.play.at(protocol.Duration(at-epoch), func() {
		if n.life == life && !n.down {
			n.step(func() {})
		}
	})
}

// CloseIdle, WatchReceivers, Broadcast and Log have nothing to do here.
func (n *node) CloseIdle(control.ReceiverID) {}

// WatchReceivers: the world tells its list by itself.
func (n *node) WatchReceivers() {}

// Broadcast is sent by no module.
func (n *node) Broadcast([]byte) {}

// Log is dropped.
func (n *node) Log(string) {}
