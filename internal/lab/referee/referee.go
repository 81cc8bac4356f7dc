// Package referee checks the senders against six rules, from what can be observed outside of them. It does no I/O and
// reads no clock: it is given each event with its instant (the time since the day began, never decreasing) and checks
// the rules after each one. How to use it:
//
//	r := referee.New(rules, senders, destinationOf)
//	r.HandedIn(now, referee.HandIn{ID: id, Sender: 0, Text: text, ValidUntil: validUntil})
//	r.ClientAnswered(now, id, world.Accepted, 0)
//	r.CallBegan(now, first, call, id, sender, receiver)
//	r.CallArrived(now, call)                        // its last byte
//	r.CallAnswered(now, call, 200, 0)
//	r.Finish(end)                                   // unfinished texts are lost
//	for _, b := range r.Breaches { fmt.Println(b) }
//	account := r.Account()
//
// A breach names the rule, the sender, the text, the figures and the last events of the text. Messages may cross on the
// way: if a rule compares two events observed at different places, it allows the slack of the rules, and a sender
// counts as not informed if it cannot be known whether a message reached it.
package referee

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"emberquay/internal/lab/world"
)

// Breach is one violation of a rule.
type Breach struct {
	Rule   int
	At     time.Duration
	Text   string // its id, if the breach is about one
	Sender int
	Why    string
	Last   []string // the last events of the text before it
}

func (b Breach) String() string {
	s := fmt.Sprintf("rule %d (%s) at %s: sender %d", b.Rule, RuleNames[b.Rule], formatInstant(b.At), b.Sender)
	if b.Text != "" {
		s += ", text " + b.Text
	}
	return s + ": " + b.Why
}

// RuleNames are the short names of the rules, by number.
var RuleNames = [...]string{1: "one final answer", 2: "no effect twice", 3: "drains kept", 4: "none pushed over", 5: "order kept", 6: "waits heeded"}

// maxBreaches limits the breaches that are kept; further ones are only counted.
const maxBreaches = 100

// HandIn is one submission of a text by a client to a sender, with an id of its own.
type HandIn struct {
	ID         string
	Sender     int
	Text       *world.Text
	ValidUntil time.Duration // the end of its validity period
}

// Referee holds the observations and the breaches found.
type Referee struct {
	Breaches        []Breach
	OmittedBreaches int // breaches beyond maxBreaches

	rules           world.Rules
	slack           time.Duration
	destination     func(receiver int) int
	now             time.Duration
	senders         []*sender
	texts           map[string]*text
	calls           map[int64]*call
	keyQueues       map[queueKey][]*text // the texts of a key accepted by a sender, in order
	pendingBreaches []pendingBreach      // breaches unless a later event clears them in time
	account         tally
}

type sender struct {
	no             int
	incarnation    int // counts its starts
	stopping       bool
	down           bool
	graceEnd       time.Duration // no text is overdue before
	unfinished     []*text       // accepted texts, sorted by the end of their validity
	notified       map[int]stateNotice
	pendingNotices map[int]stateNotice // count as received from their instant on, at the latest
	waits          map[int]wait        // by destination
	failedAt       map[int]time.Duration
}

type stateNotice struct {
	state string
	at    time.Duration
}

type wait struct {
	call         int64
	toldAt, ends time.Duration
}

type text struct {
	HandIn
	handedInAt  time.Duration
	incarnation int // of its sender
	answered    bool
	accepted    bool
	acceptedAt  time.Duration
	abandonedAt time.Duration // its client stopped waiting without an answer; 0: it did not
	calls       []*call
	outcome     string // its final outcome; empty while it is unfinished
	endedAt     time.Duration
	deliveredBy *call // the call that was answered with 200
	firstRunAt  time.Duration
	mayHaveRun  bool // one of its calls may have run
	restUntil   time.Duration
	recent      eventTrail
}

type call struct {
	no          int64
	text        *text
	sender      int
	incarnation int
	receiver    int
	began       time.Duration
	received    bool
	ended       bool
	outcome     string
}

type queueKey struct {
	sender, incarnation int
	key                 string
}

// pendingBreach becomes a breach at its due instant unless cleared returns true by then.
type pendingBreach struct {
	due     time.Duration
	cleared func() bool
	breach  Breach
}

// eventTrail holds the last events of a text.
type eventTrail []string

func (t *eventTrail) add(now time.Duration, format string, args ...any) {
	if len(*t) >= 8 {
		*t = slices.Delete(*t, 0, 1)
	}
	*t = append(*t, formatInstant(now)+" "+fmt.Sprintf(format, args...))
}

func formatInstant(d time.Duration) string { return fmt.Sprintf("%.4fs", d.Seconds()) }

// New returns a referee for a number of senders; destination returns the destination of a receiver.
func New(rules world.Rules, senders int, destination func(receiver int) int) *Referee {
	r := &Referee{rules: rules, slack: millis(rules.SlackMs), destination: destination, texts: map[string]*text{},
		calls: map[int64]*call{}, keyQueues: map[queueKey][]*text{}, account: newTally()}
	for i := range senders {
		r.senders = append(r.senders, &sender{no: i, notified: map[int]stateNotice{}, pendingNotices: map[int]stateNotice{},
			waits: map[int]wait{}, failedAt: map[int]time.Duration{}})
	}
	return r
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// addBreach records a breach, with the last events of its text.
func (r *Referee) addBreach(b Breach) {
	if t := r.texts[b.Text]; t != nil && b.Last == nil {
		b.Last = slices.Clone(t.recent)
	}
	if len(r.Breaches) >= maxBreaches {
		r.OmittedBreaches++
		return
	}
	r.Breaches = append(r.Breaches, b)
}

// Advance moves the time forward: whatever is overdue by now is a breach. All methods that record an event call it.
func (r *Referee) Advance(now time.Duration) {
	r.now = max(r.now, now)
	r.pendingBreaches = slices.DeleteFunc(r.pendingBreaches, func(d pendingBreach) bool {
		if d.cleared() {
			return true
		}
		if r.now < d.due {
			return false
		}
		r.addBreach(d.breach)
		return true
	})
	for _, s := range r.senders {
		r.checkOverdue(s)
	}
}

// checkOverdue records the loss of a sender's texts that should have ended. A sender that is stopping, down or within
// the grace time after its restart has no overdue texts.
func (r *Referee) checkOverdue(s *sender) {
	if s.stopping || s.down || r.now < s.graceEnd {
		return
	}
	after := millis(r.rules.EndMs) + r.slack
	for len(s.unfinished) > 0 && s.unfinished[0].ValidUntil+after <= r.now {
		t := s.unfinished[0]
		s.unfinished = s.unfinished[1:]
		if t.outcome == "" {
			r.recordLoss(t, fmt.Sprintf("taken on at %s, valid until %s, and no end by %s", formatInstant(t.acceptedAt), formatInstant(t.ValidUntil), formatInstant(r.now)))
		}
	}
}

func (r *Referee) recordLoss(t *text, why string) {
	r.setEnd(t, "lost")
	r.addBreach(Breach{Rule: 1, At: r.now, Text: t.ID, Sender: t.Sender, Why: why})
}

func (r *Referee) addUnfinished(t *text) {
	s := r.senders[t.Sender]
	i, _ := slices.BinarySearchFunc(s.unfinished, t.ValidUntil, func(o *text, at time.Duration) int { return cmp.Compare(o.ValidUntil, at) })
	s.unfinished = slices.Insert(s.unfinished, i, t)
}

// HandedIn records that a client hands in a text.
func (r *Referee) HandedIn(now time.Duration, h HandIn) {
	r.Advance(now)
	t := &text{HandIn: h, handedInAt: now, incarnation: r.senders[h.Sender].incarnation}
	r.texts[h.ID] = t
	t.recent.add(now, "handed in to sender %d, %s, valid until %s", h.Sender, h.Text.Product.Name, formatInstant(h.ValidUntil))
	r.account.handedIn(t)
}

// SenderUnavailable records that a client finds no sender to hand in a text to.
func (r *Referee) SenderUnavailable(now time.Duration, t *world.Text) {
	r.Advance(now)
	r.account.ended(&text{HandIn: HandIn{Text: t}}, "unheard", 0)
}

// ClientAnswered records that a client reads the answer to its hand-in, or closes the connection after waiting for one
// in vain (world.NoAnswer).
func (r *Referee) ClientAnswered(now time.Duration, id string, answer world.ClientReply, advice time.Duration) {
	r.Advance(now)
	t := r.texts[id]
	if t == nil || t.answered {
		return
	}
	t.answered = true
	t.recent.add(now, "client heard %s", [...]string{"taken", "nacked", "failed", "nothing"}[answer])
	switch answer {
	case world.Accepted:
		t.accepted, t.acceptedAt = true, now
		if t.Text.Key != "" {
			k := queueKey{t.Sender, t.incarnation, t.Text.Key}
			r.keyQueues[k] = append(r.keyQueues[k], t)
		}
		if t.deliveredBy != nil { // the receiver's 200 was observed first
			r.recordDelivery(t, t.endedAt)
		} else if t.outcome == "" {
			r.addUnfinished(t)
		}
	case world.Nacked:
		r.recordNack(t, "refused to its client")
	case world.Failed:
		r.recordEnd(t, "failed", "failed to its client")
	case world.NoAnswer:
		t.abandonedAt = now
		r.account.unanswered(t)
	}
}

// ClientConnectionClosed records that a sender closed a client's connection without an answer; after is the time since
// the request's last byte. Within the slack the sender may not have read the request, so that nothing is lost.
func (r *Referee) ClientConnectionClosed(now time.Duration, id string, after time.Duration) {
	r.Advance(now)
	t := r.texts[id]
	if t == nil || t.answered {
		return
	}
	s := r.senders[t.Sender]
	t.recent.add(now, "sender ended the client's connection without an answer, %s after the request", after)
	if after > r.slack && !s.down && s.incarnation == t.incarnation {
		r.addBreach(Breach{Rule: 1, At: now, Text: id, Sender: t.Sender,
			Why: fmt.Sprintf("the client's connection ended with no answer %s after the request was written", after)})
	}
	t.answered, t.abandonedAt = true, now
	r.account.unanswered(t)
}

// recordNack records a nack, which guarantees that a text may be handed in again without harm.
func (r *Referee) recordNack(t *text, reason string) {
	if t.mayHaveRun && t.Text.Product.Repeat == "once-only" {
		r.addBreach(Breach{Rule: 2, At: r.now, Text: t.ID, Sender: t.Sender,
			Why: fmt.Sprintf("%s, though a submit that may have run was sent at %s and it must not run twice", reason, formatInstant(t.firstRunAt))})
	}
	r.recordEnd(t, "nacked", reason)
}

// recordEnd sets the final outcome of a text; a second, different outcome is a breach.
func (r *Referee) recordEnd(t *text, outcome, reason string) {
	if t.outcome == "" {
		r.setEnd(t, outcome)
		return
	}
	// A delivered text may end once more, since its sender may not have read the 200. A notice may come twice.
	if t.outcome != outcome && t.outcome != "delivered" && t.outcome != "lost" {
		r.addBreach(Breach{Rule: 1, At: r.now, Text: t.ID, Sender: t.Sender, Why: fmt.Sprintf("%s, after it had ended as %s at %s", reason, t.outcome, formatInstant(t.endedAt))})
	}
}

func (r *Referee) setEnd(t *text, outcome string) {
	t.outcome, t.endedAt = outcome, r.now
	r.account.ended(t, outcome, r.now)
}

// NoticeSent records that a sender notifies the platform how a text ended: handed back (a nack) or given up.
func (r *Referee) NoticeSent(now time.Duration, sender int, id string, handedBack bool) {
	r.Advance(now)
	t := r.texts[id]
	if t == nil {
		r.addBreach(Breach{Rule: 1, At: now, Text: id, Sender: sender, Why: "a notice for a text that nobody handed in"})
		return
	}
	outcome := map[bool]string{true: "handed back", false: "given up"}[handedBack]
	t.recent.add(now, "noticed as %s", outcome)
	if t.abandonedAt > 0 {
		return // its client no longer waits
	}
	if handedBack {
		r.recordNack(t, "noticed as "+outcome)
	} else {
		r.recordEnd(t, "failed", "noticed as "+outcome)
	}
}

// SenderDown records that a sender got SIGKILL or has ended. With RestartClears the waits that it was told end with it.
func (r *Referee) SenderDown(now time.Duration, no int) {
	r.Advance(now)
	s := r.senders[no]
	s.down, s.stopping = true, false
	if r.rules.RestartClears {
		clear(s.waits)
	}
	clear(s.failedAt)
}

// SenderStopping records that a sender got SIGTERM.
func (r *Referee) SenderStopping(now time.Duration, no int) {
	r.Advance(now)
	r.senders[no].stopping = true
}

// SenderStarted records that a sender's process is started; it may work on texts that it stored before.
func (r *Referee) SenderStarted(now time.Duration, no int) {
	r.Advance(now)
	r.senders[no].incarnation++
	r.senders[no].down = true // so that no text is overdue until it is ready
}

// SenderReady records that a sender serves, for the first time or again.
func (r *Referee) SenderReady(now time.Duration, no int) {
	r.Advance(now)
	s := r.senders[no]
	if s.incarnation > 1 {
		s.graceEnd = now + millis(r.rules.RestartMs)
	}
	s.down, s.stopping = false, false
}

// OpenTexts counts the accepted texts that have not ended.
func (r *Referee) OpenTexts() int {
	n := 0
	for _, s := range r.senders {
		for _, t := range s.unfinished {
			if t.outcome == "" {
				n++
			}
		}
	}
	return n
}

// ReceiverStateChanged records a change of a receiver's state in the list. Each sender counts as notified after
// ListLatestS, whether or not it was.
func (r *Referee) ReceiverStateChanged(now time.Duration, receiver int, state string) {
	r.Advance(now)
	for _, s := range r.senders {
		s.pendingNotices[receiver] = stateNotice{state, now + time.Duration(r.rules.ListLatestS*float64(time.Second))}
	}
}

// ReceiverStateNotified records that the list notified a sender of a receiver's state.
func (r *Referee) ReceiverStateNotified(now time.Duration, no, receiver int, state string) {
	r.Advance(now)
	s := r.senders[no]
	if p, ok := s.pendingNotices[receiver]; ok && p.state == state {
		delete(s.pendingNotices, receiver)
	}
	previous, drains := s.notified[receiver], func(state string) bool { return state == world.Leaving || state == world.Left }
	if previous.state != state && !(drains(previous.state) && drains(state)) { // a drain counts from its first notice
		s.notified[receiver] = stateNotice{state, now}
	}
}

// Finish ends the day: accepted texts that have not ended are lost.
func (r *Referee) Finish(now time.Duration) {
	r.Advance(now)
	for _, s := range r.senders {
		for _, t := range s.unfinished {
			if t.outcome == "" {
				r.recordLoss(t, "no end by the end of the day")
			}
		}
		s.unfinished = nil
	}
}

// Verdict returns one line for each rule.
func (r *Referee) Verdict() string {
	var out strings.Builder
	for rule := 1; rule < len(RuleNames); rule++ {
		n := 0
		for _, b := range r.Breaches {
			if b.Rule == rule {
				n++
			}
		}
		result := "kept"
		if n > 0 {
			result = fmt.Sprintf("BROKEN %d times", n)
		}
		fmt.Fprintf(&out, "rule %d  %-18s %s\n", rule, RuleNames[rule], result)
	}
	return out.String()
}
