// Package sender is the module's actor. Whatever happens becomes a call on the module, made by one
// goroutine; what the module wants done becomes messages to the receivers, the platform and the clients.
// It decides nothing about texts itself.
package sender

import (
	"log/slog"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/delivery/receivers"
	"emberquay/internal/delivery/warmstart"
	"emberquay/internal/lateness"
)

// Verdict is what a client hears of the text that it hands in.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota
	Nacked           // handing it in again is harmless
	Undeliverable
)

// Answer is a verdict and, with a nack, advice when to come back; 0: none.
type Answer struct {
	Verdict    Verdict
	RetryAfter control.Time
}

// Notifier takes notices to the platform.
type Notifier interface{ Post(*ledger.Notice) bool }

// wakeUps is how many times a call waits for a processor from its release until its answer is read, each as late as the
// process is observed to be: the receiver's actor, the call, its dial, the connection's writer, the receiver's reader and
// its handler (which may share the machine), the connection's reader, the call again.
const wakeUps = 8

// Sender runs one instance of the module.
type Sender struct {
	limits config.Limits
	began  time.Time // with a monotonic reading, so that the module's time never steps
	mail   chan func()
	timer  *time.Timer
	wakeAt control.Time // 0: no wake is asked for

	module *control.Sender
	ledger *ledger.Ledger
	fleet  *receivers.Pool
	desk   Notifier

	lateness *lateness.Monitor // from Run on

	texts    map[string]*held
	left     map[string]*held // withdrawn, and a call of theirs is out
	over     recent           // ids of texts that were taken on and have their end
	listed   map[control.ReceiverID]control.ReceiverEntry
	at       map[string]control.ReceiverID // by address, those listed
	recall   map[string]warmstart.Receiver // of a process before, by address; until the list names them
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
	Accepted      int `json:"taken"`
	Rejected      int `json:"refused"` // at once
	Delivered     int `json:"delivered"`
	Nacked        int `json:"nacked"` // later
	Undeliverable int `json:"undeliverable"`
	Attempts      int `json:"submits"`
	AttemptCounts

	Held           int `json:"held"`
	InFlight       int `json:"out"`  // submits
	PendingNotices int `json:"owed"` // notices
	Receivers      int `json:"receivers"`
	ReceiverConns  int `json:"receiver_conns"`
}

// New makes the actor, takes over what the ledger owes and tells the module. Run then lets it act.
func New(c *config.Config, l *ledger.Ledger, f *receivers.Pool) (*Sender, error) {
	s := &Sender{
		limits: c.Limits, began: time.Now(), mail: make(chan func(), c.Limits.MailboxSize),
		timer: time.NewTimer(time.Hour), ledger: l, fleet: f,
		texts: map[string]*held{}, left: map[string]*held{}, listed: map[control.ReceiverID]control.ReceiverEntry{},
		at: map[string]control.ReceiverID{}, idle: make(chan struct{}),
	}
	var err error
	if s.module, err = control.New(c.Seed, c.Settings, s); err != nil {
		return nil, err
	}
	s.module.SetTime(s.now())
	return s, nil
}

// now is the clock in whole tenths of a millisecond, rounded down.
func (s *Sender) now() control.Time {
	return protocol.UnixTicks(s.began) + protocol.Ticks(time.Since(s.began))
}

// Recover takes over what is owed from before, once the list as last known has been told. Notices that are
// due go to the desk.
func (s *Sender) Recover(desk Notifier) {
	s.desk = desk
	s.ledger.CheckClock(s.now())
	texts, due := s.ledger.Unfinished()
	for _, t := range texts {
		s.texts[t.ID] = heldOf(t)
		s.take(t, true)
	}
	for _, n := range due {
		s.over.add(n.ID, s.limits.MaxTexts)
		if n.Key != "" {
			s.module.NoticePending(n.Key)
		}
		s.post(n)
	}
}

// Run makes calls on the module until stop is closed. Nothing new goes out then, but what has come by then is heard:
// a text whose delivery lies in the mailbox would else be sent again after the start.
func (s *Sender) Run(stop <-chan struct{}) {
	s.lateness = lateness.StartMonitor(stop)
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
	s.module.SetTime(s.now())
	do()
}

// settle lets the module release what may go, and answers the clients that wait.
func (s *Sender) settle() {
	for again := true; again; again = len(s.later) > 0 {
		s.module.SetTime(s.now())
		todo := s.later
		s.later = nil
		for _, do := range todo {
			do()
		}
		if !s.frozen {
			s.module.SetProcessLateness(protocol.Ticks(wakeUps * s.lateness.Max()))
			s.module.Schedule()
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
			s.counts.Rejected++
			h.tell(Answer{Verdict: Nacked})
		default:
			h.tell(Answer{Verdict: Accepted})
			s.counts.Accepted++
		}
	}
	s.fresh, s.unsynced = s.fresh[:0], false
	if s.stopping && s.counts.InFlight == 0 && (s.frozen || len(s.texts)+s.owed == 0) {
		s.stopping = false
		close(s.idle)
	}
}

// effect is something that leaves the sender, and what is done if it must not.
type effect struct{ do, instead func() }

// leave lets something leave once what it rests on is kept: at once where the process is all that may end, else after
// the sync that everything of this batch shares.
func (s *Sender) leave(do, instead func()) {
	if !s.ledger.RequiresSync() {
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

// Enqueue posts a call on the module; it waits while the mailbox is full.
func (s *Sender) Enqueue(do func()) { s.mail <- do }

// NoticesDelivered posts that notices have arrived.
func (s *Sender) NoticesDelivered(all []*ledger.Notice) {
	s.Enqueue(func() {
		for _, n := range all {
			s.owed--
			s.noted(n.ID, s.ledger.RecordEnd(n.ID))
			if n.Key != "" {
				s.module.NoticeDelivered(n.Key)
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
		if r.Final {
			s.over.add(id, s.limits.MaxTexts)
			s.forget(id)
		} else {
			s.noted(id, s.ledger.RecordResult(id, r.Outcome.MayHaveRun()))
		}
	}
	s.module.HandleResult(id, no, r)
}

// Stop posts that the process is to end: what is owed is worked on, and Idle tells once nothing is left.
func (s *Sender) Stop() { s.Enqueue(func() { s.stopping = true }) }

// StopSending posts that nothing new goes out; Idle then tells once no call is out. Calls that wait for their connections are
// kept back: out at the end they would count as such that may have run.
func (s *Sender) StopSending() {
	s.Enqueue(func() {
		s.frozen = true
		for _, h := range s.texts {
			if h.call != nil {
				h.call.CancelUnsent()
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
