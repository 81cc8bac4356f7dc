// Package sender runs a control.Sender as an actor: one goroutine turns events into calls on it, and its
// decisions into calls to receivers, notices to the platform and answers to clients.
// The package makes no delivery decisions itself.
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

// Verdict tells a client what became of the text that it handed in.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota
	Nacked           // rejected; handing it in again is safe
	Undeliverable
)

// Answer is a verdict and, with a nack, an optional Retry-After delay; 0: none.
type Answer struct {
	Verdict    Verdict
	RetryAfter control.Time
}

// Notifier delivers notices to the platform.
type Notifier interface{ Post(*ledger.Notice) bool }

// wakeUpsPerCall is how many times a goroutine has to be scheduled from the decision to send a call until its response is
// read, each with the observed lateness of the process: the receiver's actor, the call, its dial, the connection's writer,
// the receiver's reader and its handler (which may share the machine), the connection's reader, the call again.
const wakeUpsPerCall = 8

// Sender runs one control.Sender.
type Sender struct {
	limits    config.Limits
	startedAt time.Time // with a monotonic reading, so that the time given to control never steps
	mailbox   chan func()
	wakeTimer *time.Timer
	wakeAt    control.Time // 0: no wake is pending

	control   *control.Sender
	ledger    *ledger.Ledger
	receivers *receivers.Pool
	notifier  Notifier

	lateness *lateness.Monitor // set by Run

	texts             map[string]*heldText
	withdrawnInFlight map[string]*heldText // withdrawn while a call is in flight
	ended             recentIDs            // IDs of accepted texts that have their final answer
	entries           map[control.ReceiverID]control.ReceiverEntry
	receiverAt        map[string]control.ReceiverID // by address, of listed receivers
	pendingHistory    map[string]warmstart.Receiver // from the previous process, by address; until the receiver is listed
	newTexts          []*heldText                   // not answered yet
	deferred          []func()                      // calls on control that arose during another one
	pendingEffects    []effect                      // to run once the ledger is synced
	syncFailed        bool                          // newTexts must not be accepted
	pendingNotices    int
	counts            Counts
	countLog          countLog
	stopping          bool
	sendingStopped    bool // no new attempts
	idle              chan struct{}
}

// Counts holds totals since the start, then the current state.
type Counts struct {
	Accepted      int `json:"taken"`
	Rejected      int `json:"refused"` // in the answer to the client
	Delivered     int `json:"delivered"`
	Nacked        int `json:"nacked"` // by a notice, after acceptance
	Undeliverable int `json:"undeliverable"`
	Attempts      int `json:"submits"`
	AttemptCounts

	Held           int `json:"held"`
	InFlight       int `json:"out"`  // attempts
	PendingNotices int `json:"owed"` // to the platform
	Receivers      int `json:"receivers"`
	ReceiverConns  int `json:"receiver_conns"`
}

// New returns a sender that holds no texts yet; Recover adds those of the ledger, Run starts the actor.
func New(c *config.Config, l *ledger.Ledger, pool *receivers.Pool) (*Sender, error) {
	s := &Sender{
		limits: c.Limits, startedAt: time.Now(), mailbox: make(chan func(), c.Limits.MailboxSize),
		wakeTimer: time.NewTimer(time.Hour), ledger: l, receivers: pool,
		texts: map[string]*heldText{}, withdrawnInFlight: map[string]*heldText{}, entries: map[control.ReceiverID]control.ReceiverEntry{},
		receiverAt: map[string]control.ReceiverID{}, idle: make(chan struct{}),
	}
	var err error
	if s.control, err = control.New(c.Seed, c.Settings, s); err != nil {
		return nil, err
	}
	s.control.SetTime(s.now())
	return s, nil
}

// now returns the time in ticks of a tenth of a millisecond, rounded down.
func (s *Sender) now() control.Time {
	return protocol.UnixTicks(s.startedAt) + protocol.Ticks(time.Since(s.startedAt))
}

// Recover passes the texts that the ledger holds to control and the pending notices to the notifier. Call it after
// LoadReceivers and before Run.
func (s *Sender) Recover(notifier Notifier) {
	s.notifier = notifier
	s.ledger.CheckClock(s.now())
	texts, due := s.ledger.Unfinished()
	for _, t := range texts {
		s.texts[t.ID] = newHeldText(t)
		s.handleArrival(t, true)
	}
	for _, n := range due {
		s.ended.add(n.ID, s.limits.MaxTexts)
		if n.Key != "" {
			s.control.NoticePending(n.Key)
		}
		s.postNotice(n)
	}
}

// Run processes events until stop is closed. Then no attempt is sent any more, but events already in the mailbox are
// processed: a text whose delivery is among them would otherwise be sent again after the restart.
func (s *Sender) Run(stop <-chan struct{}) {
	s.lateness = lateness.StartMonitor(stop)
	s.finishBatch()
	for {
		select {
		case <-stop:
			s.sendingStopped = true
			for len(s.mailbox) > 0 {
				s.execute(<-s.mailbox)
			}
			s.finishBatch()
			return
		case do := <-s.mailbox:
			s.execute(do)
			for more := len(s.mailbox); more > 0; more-- { // queued events form one batch
				s.execute(<-s.mailbox)
			}
		case <-s.wakeTimer.C:
			s.wakeAt = 0
		}
		s.finishBatch()
		s.logCountsIfDue()
	}
}

func (s *Sender) execute(do func()) {
	s.control.SetTime(s.now())
	do()
}

// finishBatch lets control send what may go, syncs the ledger and answers the waiting clients.
func (s *Sender) finishBatch() {
	for again := true; again; again = len(s.deferred) > 0 {
		s.control.SetTime(s.now())
		calls := s.deferred
		s.deferred = nil
		for _, do := range calls {
			do()
		}
		if !s.sendingStopped {
			s.control.SetProcessLateness(protocol.Ticks(wakeUpsPerCall * s.lateness.Max()))
			s.control.Schedule()
		}
		s.syncLedger()
	}
	for _, h := range s.newTexts {
		switch {
		case h.waiting == nil:
		case s.texts[h.ID] != h: // withdrawn in the meantime
			h.reply(Answer{Verdict: Nacked})
		case s.syncFailed: // a power loss might lose it
			s.withdraw(h)
			s.counts.Rejected++
			h.reply(Answer{Verdict: Nacked})
		default:
			h.reply(Answer{Verdict: Accepted})
			s.counts.Accepted++
		}
	}
	s.newTexts, s.syncFailed = s.newTexts[:0], false
	if s.stopping && s.counts.InFlight == 0 && (s.sendingStopped || len(s.texts)+s.pendingNotices == 0) {
		s.stopping = false
		close(s.idle)
	}
}

// effect is an action visible outside the process; onSyncFailure, if not nil, runs instead if the sync failed.
type effect struct{ run, onSyncFailure func() }

// runAfterSync runs an effect once the records it depends on are durable: at once if the ledger only has to survive the
// process, else after the sync at the end of the batch.
func (s *Sender) runAfterSync(run, onSyncFailure func()) {
	if !s.ledger.RequiresSync() {
		run()
		return
	}
	s.pendingEffects = append(s.pendingEffects, effect{run, onSyncFailure})
}

// syncLedger syncs the records of the batch and runs the effects that waited for that.
func (s *Sender) syncLedger() {
	err := s.ledger.Sync()
	if err != nil {
		slog.Error("not_synced", "part", "sender", "err", err)
		s.syncFailed = true
	}
	effects := s.pendingEffects
	s.pendingEffects = nil
	for _, e := range effects {
		if err != nil && e.onSyncFailure != nil {
			e.onSyncFailure()
		} else {
			e.run()
		}
	}
}

// Enqueue adds a call for the actor to the mailbox; it blocks while the mailbox is full.
func (s *Sender) Enqueue(do func()) { s.mailbox <- do }

// NoticesDelivered records that the platform has received notices.
func (s *Sender) NoticesDelivered(notices []*ledger.Notice) {
	s.Enqueue(func() {
		for _, n := range notices {
			s.pendingNotices--
			s.logUnrecorded(n.ID, s.ledger.RecordEnd(n.ID))
			if n.Key != "" {
				s.control.NoticeDelivered(n.Key)
			}
		}
	})
}

// handleResult records the result of an attempt and passes it to control.
func (s *Sender) handleResult(id string, number int, r control.Result) {
	s.counts.record(r)
	if h := s.withdrawnInFlight[id]; h != nil && h.nextNumber == number+1 {
		delete(s.withdrawnInFlight, id)
	}
	if h := s.texts[id]; h != nil && h.call != nil && h.nextNumber == number+1 {
		h.call = nil
		if r.Outcome == control.Delivered {
			s.counts.Delivered++
		}
		if r.Final {
			s.ended.add(id, s.limits.MaxTexts)
			s.forget(id)
		} else {
			s.logUnrecorded(id, s.ledger.RecordResult(id, r.Outcome.MayHaveRun()))
		}
	}
	s.control.HandleResult(id, number, r)
}

// Stop announces the end of the process: delivery goes on, and Idle is closed once no texts or notices are left.
func (s *Sender) Stop() { s.Enqueue(func() { s.stopping = true }) }

// StopSending stops new attempts; after Stop, Idle is then closed once no call is in flight. Calls that wait for their
// connection are cancelled unsent: if still in flight at the end of the process, they would count as possibly run.
func (s *Sender) StopSending() {
	s.Enqueue(func() {
		s.sendingStopped = true
		for _, h := range s.texts {
			if h.call != nil {
				h.call.CancelUnsent()
			}
		}
	})
}

// Idle returns a channel that is closed once a stopping sender has nothing left to do.
func (s *Sender) Idle() <-chan struct{} { return s.idle }

// Status returns the counts; false if the mailbox is full.
func (s *Sender) Status() (Counts, bool) {
	counts := make(chan Counts, 1)
	select {
	case s.mailbox <- func() {
		counts <- s.currentCounts()
	}:
		return <-counts, true
	default:
		return Counts{}, false
	}
}

// CloseLedger closes the ledger; call it after Run has returned.
func (s *Sender) CloseLedger() error {
	return s.ledger.Close()
}
