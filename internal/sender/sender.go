// Package sender is the module's actor. Whatever happens becomes a call on the module, made by one
// goroutine; what the module wants done becomes messages to the receivers, the platform and the clients.
// It decides nothing about texts itself.
package sender

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"emberquay/control"
	"emberquay/internal/config"
	"emberquay/internal/directory"
	"emberquay/internal/learnt"
	"emberquay/internal/ledger"
	"emberquay/internal/protocol"
	"emberquay/internal/receivers"
)

// Verdict is what a client hears of the text that it hands in.
type Verdict int

// The verdicts.
const (
	Taken  Verdict = iota
	Nacked         // handing it in again is harmless
	Failed
)

// Answer is a verdict and, with a nack, advice when to come back; 0: none.
type Answer struct {
	Verdict  Verdict
	ComeBack control.Time
}

// Desk takes notices to the platform.
type Desk interface{ Post(*ledger.Notice) bool }

// Sender runs one instance of the module.
type Sender struct {
	limits config.Limits
	began  time.Time // with a monotonic reading, so that the module's time never steps
	mail   chan func()
	timer  *time.Timer
	wakeAt control.Time // 0: no wake is asked for

	module *control.Sender
	ledger *ledger.Ledger
	fleet  *receivers.Fleet
	desk   Desk

	texts    map[string]*held
	left     map[string]*held // withdrawn, and a call of theirs is out
	over     recent           // ids of texts that were taken on and have their end
	listed   map[control.ReceiverID]control.Entry
	at       map[string]control.ReceiverID // by address, those listed
	recall   map[string]learnt.Receiver    // of a process before, by address; until the list names them
	fresh    []*held                       // their clients have yet to hear
	later    []func()                      // calls on the module that came up during one
	leaving  []effect                      // what may leave once the ledger is synced
	unsynced bool                          // it was not: the fresh ones must not be taken on
	owed     int                           // notices
	counts   Counts
	tally    tally
	stopping bool
	frozen   bool // nothing new goes out
	idle     chan struct{}
}

// Counts is what a sender has done since its start, and what it has in hand.
type Counts struct {
	Taken         int `json:"taken"`
	Refused       int `json:"refused"` // at once
	Delivered     int `json:"delivered"`
	Nacked        int `json:"nacked"` // later
	Undeliverable int `json:"undeliverable"`
	Submits       int `json:"submits"`
	Calls

	Held      int `json:"held"`
	Out       int `json:"out"`  // submits
	Owed      int `json:"owed"` // notices
	Receivers int `json:"receivers"`
	Open      int `json:"receiver_conns"`
}

// held is a text that has no end yet.
type held struct {
	*ledger.Text
	no    int             // of the next submit, as the module counts
	call  *receivers.Call // out; nil if none
	waits []chan<- Answer // clients that wait; none once they have heard
	from  []*ledger.Text  // its hand-ins that hear that it is taken on
}

// mostFrom bounds the hand-ins of one id that are remembered; more cannot withdraw it.
const mostFrom = 8

// heldOf makes what is kept of a text; a process before may have taken it on.
func heldOf(t *ledger.Text) *held { return &held{Text: t, no: t.Submits, from: []*ledger.Text{t}} }

// tell answers the clients that wait.
func (h *held) tell(a Answer) {
	for _, reply := range h.waits {
		reply <- a
	}
	h.waits = nil
}

// recent remembers so many ids, the latest.
type recent struct {
	ids   map[string]bool
	order []string
}

func (r *recent) add(id string, most int) {
	if r.ids == nil {
		r.ids = map[string]bool{}
	}
	if !r.ids[id] {
		r.ids[id], r.order = true, append(r.order, id)
	}
	for ; len(r.order) > most; r.order = r.order[1:] {
		delete(r.ids, r.order[0])
	}
}

// New makes the actor, takes over what the ledger owes and tells the module. Run then lets it act.
func New(c *config.Config, l *ledger.Ledger, f *receivers.Fleet) (*Sender, error) {
	s := &Sender{
		limits: c.Limits, began: time.Now(), mail: make(chan func(), c.Limits.Mailbox),
		timer: time.NewTimer(time.Hour), ledger: l, fleet: f,
		texts: map[string]*held{}, left: map[string]*held{}, listed: map[control.ReceiverID]control.Entry{},
		at: map[string]control.ReceiverID{}, idle: make(chan struct{}),
	}
	var err error
	if s.module, err = control.New(c.Seed, c.Settings, s); err != nil {
		return nil, err
	}
	s.module.Clock(s.now())
	return s, nil
}

// now is the clock in whole tenths of a millisecond, rounded down.
func (s *Sender) now() control.Time {
	return protocol.At(s.began) + protocol.Ticks(time.Since(s.began))
}

// Start takes over what is owed from before, once the list as last known has been told. Notices that are
// due go to the desk.
func (s *Sender) Start(desk Desk) {
	s.desk = desk
	s.ledger.Now(s.now())
	texts, due := s.ledger.Owed()
	for _, t := range texts {
		s.texts[t.ID] = heldOf(t)
		s.take(t, true)
	}
	for _, n := range due {
		s.over.add(n.ID, s.limits.Texts)
		if n.Key != "" {
			s.module.Untold(n.Key)
		}
		s.post(n)
	}
}

// Run makes calls on the module until stop is closed. Nothing new goes out then, but what has come by then is heard:
// a text whose delivery lies in the mailbox would else be sent again after the start.
func (s *Sender) Run(stop <-chan struct{}) {
	s.settle()
	for {
		select {
		case <-stop:
			s.frozen = true
			for len(s.mail) > 0 {
				s.step(<-s.mail)
			}
			s.settle()
			return
		case do := <-s.mail:
			s.step(do)
			for more := len(s.mail); more > 0; more-- { // what has gathered settles together
				s.step(<-s.mail)
			}
		case <-s.timer.C:
			s.wakeAt = 0
		}
		s.settle()
		s.count()
	}
}

func (s *Sender) step(do func()) {
	s.module.Clock(s.now())
	do()
}

// settle lets the module release what may go, and answers the clients that wait.
func (s *Sender) settle() {
	for again := true; again; again = len(s.later) > 0 {
		s.module.Clock(s.now())
		todo := s.later
		s.later = nil
		for _, do := range todo {
			do()
		}
		if !s.frozen {
			s.module.Settle()
		}
		s.commit()
	}
	for _, h := range s.fresh {
		switch {
		case h.waits == nil:
		case s.texts[h.ID] != h: // withdrawn since
			h.tell(Answer{Verdict: Nacked})
		case s.unsynced: // it might be forgotten
			s.withdraw(h)
			s.counts.Refused++
			h.tell(Answer{Verdict: Nacked})
		default:
			h.tell(Answer{Verdict: Taken})
			s.counts.Taken++
		}
	}
	s.fresh, s.unsynced = s.fresh[:0], false
	if s.stopping && s.counts.Out == 0 && (s.frozen || len(s.texts)+s.owed == 0) {
		s.stopping = false
		close(s.idle)
	}
}

// effect is something that leaves the sender, and what is done if it must not.
type effect struct{ do, instead func() }

// leave lets something leave once what it rests on is kept: at once where the process is all that may end, else after
// the sync that everything of this batch shares.
func (s *Sender) leave(do, instead func()) {
	if !s.ledger.Durable() {
		do()
		return
	}
	s.leaving = append(s.leaving, effect{do, instead})
}

// commit has what was written on the disk, and lets go what waited for it.
func (s *Sender) commit() {
	err := s.ledger.Sync()
	if err != nil {
		slog.Error("not_synced", "part", "sender", "err", err)
		s.unsynced = true
	}
	todo := s.leaving
	s.leaving = nil
	for _, e := range todo {
		if err != nil && e.instead != nil {
			e.instead()
		} else {
			e.do()
		}
	}
}

// Tell posts a call on the module; it waits while the mailbox is full.
func (s *Sender) Tell(do func()) { s.mail <- do }

// Hand posts a text that a client hands in; the answer comes on reply, which must not block. It gives up
// after the time for an answer.
func (s *Sender) Hand(t *ledger.Text, reply chan<- Answer) bool {
	do := func() { s.hand(t, reply) }
	select {
	case s.mail <- do:
		return true
	default:
	}
	timer := time.NewTimer(s.limits.Answer / 2)
	defer timer.Stop()
	select {
	case s.mail <- do:
		return true
	case <-timer.C:
		return false
	}
}

func (s *Sender) hand(t *ledger.Text, reply chan<- Answer) {
	// A client whose connection ended under its request sends that once more: it is the same hand-in.
	switch h := s.texts[t.ID]; {
	case h != nil:
		if t.Body = nil; len(h.from) < mostFrom {
			h.from = append(h.from, t)
		}
		if h.waits != nil {
			h.waits = append(h.waits, reply)
		} else {
			reply <- Answer{Verdict: Taken}
		}
		return
	case s.over.ids[t.ID]: // it has its end, and its notice may be on its way
		reply <- Answer{Verdict: Taken}
		return
	case s.left[t.ID] != nil: // what is still out would be taken for its own
		s.counts.Refused++
		reply <- Answer{Verdict: Nacked}
		return
	}
	h := heldOf(t)
	h.waits = []chan<- Answer{reply}
	s.texts[t.ID] = h
	t.TakenAt = s.now()
	full := len(s.texts) > s.limits.Texts || s.owed >= s.limits.Texts
	if !full {
		if s.take(t, false); s.texts[t.ID] != h {
			return // refused before it cost anything
		}
		if err := s.ledger.Taken(t); err != nil {
			slog.Error("not_kept", "part", "sender", "text", t.ID, "err", err)
			s.module.Withdrawn(t.ID)
			full = true
		}
	}
	if full {
		delete(s.texts, t.ID)
		s.counts.Refused++
		reply <- Answer{Verdict: Nacked}
		return
	}
	s.fresh = append(s.fresh, h)
}

// take tells the module of a text and of all that was done for it; owed: a process before took it on.
func (s *Sender) take(t *ledger.Text, owed bool) {
	s.module.Take(control.Arrival{
		ID: t.ID, Product: t.Product, Destination: t.Destination, TimeLeft: t.ValidUntil - s.now(), Key: t.Key, Brand: t.Brand,
		Retry: t.Retry, Returned: t.Returned, Owed: owed, Submits: t.Submits, RanSince: t.RanSince, RanZone: t.RanZone,
	})
}

// Withdraw posts that a client went without an answer. The text stays where another hand-in of it was answered.
func (s *Sender) Withdraw(t *ledger.Text) {
	s.Tell(func() {
		h := s.texts[t.ID]
		if h == nil || !slices.Contains(h.from, t) {
			return
		}
		if h.from = slices.DeleteFunc(h.from, func(o *ledger.Text) bool { return o == t }); len(h.from) == 0 {
			s.withdraw(h)
		}
	})
}

func (s *Sender) withdraw(h *held) {
	s.module.Withdrawn(h.ID)
	if h.call != nil {
		s.left[h.ID] = h
	}
	s.forget(h.ID)
}

// forget: nothing more is owed for a text.
func (s *Sender) forget(id string) {
	delete(s.texts, id)
	s.noted(id, s.ledger.Ended(id))
}

// noted logs what the ledger could not keep. At worst a text is looked at again after a restart.
func (s *Sender) noted(id string, err error) {
	if err != nil {
		slog.Error("not_noted", "part", "sender", "text", id, "err", err)
	}
}

// Listed posts news of the list.
func (s *Sender) Listed(news directory.News) { s.Tell(func() { s.hear(news) }) }

// Known tells the list as it was last known, before Run.
func (s *Sender) Known(news directory.News) { s.hear(news) }

func (s *Sender) hear(news directory.News) {
	named := map[control.ReceiverID]bool{}
	entries := make([]control.Entry, 0, len(news.Hosts))
	for _, h := range news.Hosts {
		before, taken := s.at[h.Addr]
		switch taken = taken && before != h.Receiver; {
		case h.Listing == control.Removed:
			s.drop(h.Receiver)
		case taken && h.Listing == control.Draining: // another has its place already
			h.Listing = control.Removed
			s.drop(h.Receiver)
		default:
			// An address is that of whoever came there last. What is sent to one that was there before would reach
			// the new one, perhaps of another destination.
			if taken {
				s.drop(before)
				entries = append(entries, control.Entry{Receiver: before, Listing: control.Removed})
			}
			named[h.Receiver] = true
			s.place(h)
		}
		entries = append(entries, h.Entry)
	}
	if news.Whole {
		for id := range s.listed {
			if !named[id] {
				s.drop(id)
			}
		}
	}
	s.module.Listed(news.Whole, entries)
	for _, h := range news.Hosts {
		if l, ok := s.recall[h.Addr]; ok && s.at[h.Addr] == h.Receiver {
			delete(s.recall, h.Addr)
			if l.Destination == h.Destination && l.Kind == h.Kind {
				l.Lesson.Receiver = h.Receiver
				s.module.Recall(l.Lesson)
			}
		}
	}
}

// Recall takes over what a process before has learnt, as its receivers are listed; before the list is told.
func (s *Sender) Recall(all []learnt.Receiver) {
	s.recall = map[string]learnt.Receiver{}
	for _, l := range all {
		s.recall[l.Addr] = l
	}
}

// Learnt gives what the module has learnt, for the process after this one; after Run. What was taken over of
// receivers that were not listed yet goes on.
func (s *Sender) Learnt() (control.Time, []learnt.Receiver) {
	addr := map[control.ReceiverID]string{}
	for a, id := range s.at {
		addr[id] = a
	}
	all := slices.SortedFunc(maps.Values(s.recall), func(a, b learnt.Receiver) int { return cmp.Compare(a.Addr, b.Addr) })
	for _, l := range s.module.Learnt() {
		if e, ok := s.listed[l.Receiver]; ok && addr[l.Receiver] != "" {
			all = append(all, learnt.Receiver{Addr: addr[l.Receiver], Destination: e.Destination, Kind: e.Kind, Lesson: l})
		}
	}
	return s.now(), all
}

// place keeps where a receiver is.
func (s *Sender) place(h directory.Host) {
	s.vacate(h.Receiver)
	s.listed[h.Receiver], s.at[h.Addr] = h.Entry, h.Receiver
	s.fleet.Listed(h.Receiver, h.Addr)
}

// vacate frees the address of a receiver.
func (s *Sender) vacate(id control.ReceiverID) {
	maps.DeleteFunc(s.at, func(_ string, at control.ReceiverID) bool { return at == id })
}

func (s *Sender) drop(id control.ReceiverID) {
	s.vacate(id)
	delete(s.listed, id)
	s.fleet.Gone(id)
}

// Told posts that notices have arrived.
func (s *Sender) Told(all []*ledger.Notice) {
	s.Tell(func() {
		for _, n := range all {
			s.owed--
			s.noted(n.ID, s.ledger.Ended(n.ID))
			if n.Key != "" {
				s.module.Told(n.Key)
			}
		}
	})
}

// answered hands the result of a submit to the module.
func (s *Sender) answered(id string, no int, r control.Result) {
	s.counts.add(r)
	if h := s.left[id]; h != nil && h.no == no+1 {
		delete(s.left, id)
	}
	if h := s.texts[id]; h != nil && h.call != nil && h.no == no+1 {
		h.call = nil
		if r.Outcome == control.Delivered {
			s.counts.Delivered++
		}
		if r.Closed {
			s.over.add(id, s.limits.Texts)
			s.forget(id)
		} else {
			s.noted(id, s.ledger.Answered(id, r.Outcome.MayHaveRun()))
		}
	}
	s.module.Ended(id, no, r)
}

// Stop posts that the process is to end: what is owed is worked on, and Idle tells once nothing is left.
func (s *Sender) Stop() { s.Tell(func() { s.stopping = true }) }

// Freeze posts that nothing new goes out; Idle then tells once no call is out. Calls that wait for their connections are
// kept back: out at the end they would count as such that may have run.
func (s *Sender) Freeze() {
	s.Tell(func() {
		s.frozen = true
		for _, h := range s.texts {
			if h.call != nil {
				h.call.KeepBack()
			}
		}
	})
}

// Idle is closed once a sender that stops has nothing left to do.
func (s *Sender) Idle() <-chan struct{} { return s.idle }

// Status asks for the counts; false if the actor has no time.
func (s *Sender) Status() (Counts, bool) {
	counts := make(chan Counts, 1)
	select {
	case s.mail <- func() {
		counts <- s.counted()
	}:
		return <-counts, true
	default:
		return Counts{}, false
	}
}

// CloseLedger ends the use of the ledger, after Run.
func (s *Sender) CloseLedger() error {
	return s.ledger.Close()
}
