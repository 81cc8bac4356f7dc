// Package fleet simulates a day of package world with hundreds of control modules in place of sender processes. It is a
// discrete-event simulation with no socket, clock or goroutine. The referee checks it as it checks senders on sockets.
// Usage:
//
//	day, err := w.Draw(seed)
//	sim, err := fleet.New(day)
//	sim.Run()
//	fmt.Println(sim.Referee.Verdict(), sim.Seconds)
//
// The environment of a module is simplified: each direction takes oneWayDelay, a connection to a listening receiver
// opens at once, a started sender knows its receiver list, the texts a sender accepted survive its restart, and every
// fate is a kill. The same day gives the same run each time.
package fleet

import (
	"container/heap"
	"encoding/json"
	"math/rand/v2"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/lab/referee"
	"emberquay/internal/lab/world"
)

// oneWayDelay is the network delay from a sender to a receiver, and back.
const oneWayDelay = 5 * time.Millisecond

// SecondTotals counts what all senders together did in one second of the day.
type SecondTotals struct {
	HandedIn, Delivered, GivenUp  int
	Calls, Refused, ConnectFailed int
}

// Simulation is the run of one day.
type Simulation struct {
	Referee *referee.Referee
	Seconds []SecondTotals

	day          *world.Day
	settings     control.Settings
	random       *rand.Rand
	now          time.Duration
	events       eventQueue
	lastSeq      int64 // sequence number of the last event; orders events of the same instant
	senders      []*sender
	lastCallID   int64
	submitCounts map[*world.Text]int
}

// New returns a simulation of a day, with all senders started.
func New(day *world.Day) (*Simulation, error) {
	raw, err := json.Marshal(day.Settings())
	if err != nil {
		return nil, err
	}
	settings, err := config.Flatten(raw)
	if err != nil {
		return nil, err
	}
	sim := &Simulation{day: day, settings: settings, random: rand.New(rand.NewPCG(day.Seed, 1)), submitCounts: map[*world.Text]int{},
		Seconds: make([]SecondTotals, int(day.End/time.Second)+2)}
	destinationOf := func(receiver int) int { return day.Receivers[receiver].Destination().No }
	sim.Referee = referee.New(day.World.Rules, day.World.Senders, destinationOf)
	for index := range day.World.Senders {
		s := &sender{sim: sim, index: index, texts: map[string]*heldText{}}
		sim.senders = append(sim.senders, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	return sim, nil
}

// Run runs the simulation to the end of the day.
func (sim *Simulation) Run() {
	for _, text := range sim.day.Texts {
		sim.schedule(text.At, func() { sim.handIn(text, 0, "") })
	}
	for _, fate := range sim.day.Fates {
		s := sim.senders[fate.Sender]
		killAt := time.Duration(fate.AtS * float64(time.Second))
		sim.schedule(killAt, s.kill)
		sim.schedule(killAt+time.Duration(fate.DownS*float64(time.Second)), func() { s.start() })
	}
	for i := range sim.day.Changes {
		change := &sim.day.Changes[i]
		sim.schedule(change.At, func() { sim.Referee.ReceiverStateChanged(sim.now, change.Receiver, change.State) })
		for sender, notifyAt := range change.NotifyAt {
			sim.schedule(notifyAt, func() { sim.senders[sender].receiverChanged(change) })
		}
	}
	for len(sim.events) > 0 && sim.events[0].at <= sim.day.End {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = sim.day.End
	sim.Referee.Finish(sim.now)
}

// schedule queues an event for the given time, or for now if that has passed.
func (sim *Simulation) schedule(at time.Duration, run func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{max(at, sim.now), sim.lastSeq, run})
}

func (sim *Simulation) currentSecond() *SecondTotals {
	return &sim.Seconds[min(int(sim.now/time.Second), len(sim.Seconds)-1)]
}

type event struct {
	at  time.Duration
	seq int64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// handIn simulates a client's hand-in of a text, number handInNo from 0, to a random sender that is not known to be down.
func (sim *Simulation) handIn(text *world.Text, handInNo int, mark string) {
	var candidates []*sender
	for _, o := range sim.senders {
		if !o.down || sim.now < o.downAt+sim.day.DeathNoticeDelay(o.index, o.kills) {
			candidates = append(candidates, o)
		}
	}
	if len(candidates) == 0 {
		sim.Referee.SenderUnavailable(sim.now, text)
		return
	}
	o := candidates[sim.random.IntN(len(candidates))]
	if o.down {
		sim.scheduleRetry(text, handInNo, world.NoAnswer, 0)
		return
	}
	sim.currentSecond().HandedIn++
	ht := &heldText{text: text, handInNo: handInNo, id: sim.day.ID(text, handInNo), replyDue: true}
	sim.Referee.HandedIn(sim.now, referee.HandIn{ID: ht.id, Sender: o.index, Text: text, ValidUntil: text.Validity()})
	o.texts[ht.id] = ht
	o.callModule(func() { o.deliverArrival(ht, mark != "") })
	ht.replyDue = false
	reply := world.Accepted
	if ht.ended {
		reply = ht.reply
	}
	sim.Referee.ClientAnswered(sim.now, ht.id, reply, ht.retryAfter)
	if ht.ended {
		sim.scheduleRetry(text, handInNo, reply, ht.retryAfter)
	}
}

// scheduleRetry schedules the client's next hand-in of the text, if it makes one.
func (sim *Simulation) scheduleRetry(text *world.Text, handInNo int, reply world.ClientReply, retryAfter time.Duration) {
	if next, retries := sim.day.NextHandIn(sim.now, text, handInNo, reply, retryAfter); retries {
		sim.schedule(next.At, func() { sim.handIn(text, handInNo+1, next.Mark) })
	}
}
