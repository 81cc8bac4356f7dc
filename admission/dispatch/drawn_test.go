package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomRun simulates receivers and clients at random. It derives what the design requires of each send from the
// events alone, not from the dispatcher's state.
type randomRun struct {
	t            *rapid.T
	d            *Dispatcher
	now          Instant
	wakeAt       Instant
	listed       map[InstanceID]Receiver
	accounts     map[InstanceID]*receiverAccount
	requests     map[RequestID]*requestAccount
	submitted    int
	incarnations int
}

// receiverAccount records what is known of a receiver.
type receiverAccount struct {
	inFlight     []*requestAccount
	endedCalls   []endedCall
	lastReport   *Report
	measuredAt   Instant
	responded    bool
	blockedUntil Instant
}

type requestAccount struct {
	Request
	seq             int
	sentTo          InstanceID // "": no call in flight
	attempt         int
	sentAt          Instant
	ranOn           []InstanceID
	responseStarted bool
	ended           bool
	cancelled       bool
}

var randomServices = []string{"one", "two"}

func (w *randomRun) changeReceivers() {
	w.listed = map[InstanceID]Receiver{}
	var list []Receiver
	for i := range rapid.IntRange(0, 5).Draw(w.t, "receivers") {
		id := InstanceID(fmt.Sprint("r", i))
		if rapid.IntRange(0, 9).Draw(w.t, "other incarnation") == 0 {
			w.incarnations++
			id = InstanceID(fmt.Sprint("r", i, ".", w.incarnations))
		}
		r := Receiver{ID: id, Service: rapid.SampledFrom(randomServices).Draw(w.t, "service"), Address: "a",
			Zone: rapid.SampledFrom([]string{"here", "there"}).Draw(w.t, "zone"), Slots: rapid.IntRange(1, 4).Draw(w.t, "slots"),
			Draining: rapid.IntRange(0, 4).Draw(w.t, "draining") == 0, Silent: rapid.IntRange(0, 4).Draw(w.t, "silent") == 0}
		if rapid.Bool().Draw(w.t, "engine") {
			r.Engine = &EngineInfo{KVCapacityTokens: 5000}
		}
		w.listed[id] = r
		list = append(list, r)
		if w.accounts[id] == nil {
			w.accounts[id] = &receiverAccount{}
		}
	}
	w.check(w.d.SetReceivers(w.now, list))
}

func (w *randomRun) sendReport() {
	ids := slices.Sorted(maps.Keys(w.listed))
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(w.t, "reporter")
	r := Report{Running: rapid.IntRange(0, 4).Draw(w.t, "running"), Queued: rapid.IntRange(0, 1).Draw(w.t, "queued"),
		KVUsedTokens: rapid.IntRange(0, 5000).Draw(w.t, "used"), KVTotalTokens: 5000,
		Age: time.Duration(rapid.IntRange(0, 1200).Draw(w.t, "age")) * time.Millisecond}
	a := w.accounts[id]
	if at := w.now.Add(-r.Age); r.Age < time.Second && (a.lastReport == nil || at > a.measuredAt) {
		a.lastReport, a.measuredAt = &r, at
	}
	w.check(w.d.ApplyReport(w.now, id, r))
}

func (w *randomRun) submit() {
	w.submitted++
	r := Request{ID: RequestID(fmt.Sprint("q", w.submitted)), Service: rapid.SampledFrom(randomServices).Draw(w.t, "service"),
		Kind: rapid.SampledFrom([]Kind{Unsafe, Safe, Streaming}).Draw(w.t, "kind"), Resumable: rapid.Bool().Draw(w.t, "resumable"),
		Priority: rapid.IntRange(0, 2).Draw(w.t, "priority"), MaxAttempts: rapid.IntRange(0, 3).Draw(w.t, "attempts"),
		Deadline:        w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "deadline")) * time.Millisecond),
		TargetLatency:   time.Duration(rapid.IntRange(0, 500).Draw(w.t, "target latency")) * time.Millisecond,
		ProgramTimeLeft: time.Duration(rapid.IntRange(0, 1).Draw(w.t, "program time left")) * time.Second,
		ProgramStarted:  rapid.Bool().Draw(w.t, "program started")}
	for range rapid.IntRange(0, 3).Draw(w.t, "parts") {
		r.Prefix = append(r.Prefix, PrefixPart{ID: rapid.Uint64Range(0, 5).Draw(w.t, "part"), Tokens: 500})
	}
	w.requests[r.ID] = &requestAccount{Request: r, seq: w.submitted}
	w.check(w.d.Submit(w.now, r))
}

func (w *randomRun) inFlight() []RequestID {
	var ids []RequestID
	for id, q := range w.requests {
		if q.sentTo != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *randomRun) startResponse() {
	if ids := w.inFlight(); len(ids) > 0 {
		q := w.requests[rapid.SampledFrom(ids).Draw(w.t, "started")]
		q.responseStarted = true
		w.accounts[q.sentTo].responded = true
		w.check(w.d.ResponseStarted(w.now, q.ID))
	}
}

func (w *randomRun) endSomeAttempt() {
	if ids := w.inFlight(); len(ids) > 0 {
		q := w.requests[rapid.SampledFrom(ids).Draw(w.t, "ended")]
		o := Outcome{Kind: OutcomeKind(rapid.IntRange(int(Success), int(Cancelled)).Draw(w.t, "outcome")), Duration: w.now.Sub(q.sentAt)}
		if o.Kind == Full {
			o.RetryAfter = time.Duration(rapid.IntRange(0, 400).Draw(w.t, "retry after")) * time.Millisecond
		}
		w.endAttempt(q, o)
	}
}

func (w *randomRun) endAttempt(q *requestAccount, o Outcome) {
	a := w.accounts[q.sentTo]
	a.inFlight = slices.DeleteFunc(a.inFlight, func(other *requestAccount) bool { return other == q })
	a.endedCalls = append(a.endedCalls, endedCall{q.sentAt, w.now})
	switch o.Kind {
	case Full:
		retryAfter := o.RetryAfter
		if retryAfter == 0 {
			retryAfter = time.Second
		}
		a.blockedUntil = max(a.blockedUntil, w.now.Add(retryAfter))
	case Success, ErrorResponse:
		a.responded = true
	}
	if o.Kind.MayHaveRun() {
		q.ranOn = append(q.ranOn, q.sentTo)
	}
	q.sentTo = ""
	if q.cancelled || o.Kind == Success || o.Kind == ErrorResponse || o.Kind == Cancelled {
		q.ended = true
	}
	w.check(w.d.AttemptEnded(w.now, q.ID, q.attempt, o))
}

func (w *randomRun) cancel() {
	var open []RequestID
	for id, q := range w.requests {
		if !q.ended && !q.cancelled {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	if len(open) > 0 {
		q := w.requests[rapid.SampledFrom(open).Draw(w.t, "cancelled")]
		q.cancelled, q.ended = true, q.sentTo == ""
		w.check(w.d.Cancel(w.now, q.ID))
	}
}

func (w *randomRun) advance() {
	w.advanceBy(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
}

func (w *randomRun) advanceBy(span time.Duration) {
	end := w.now.Add(span)
	for w.wakeAt > w.now && w.wakeAt <= end {
		w.now = w.wakeAt
		w.check(w.d.Tick(w.now))
	}
	w.now = end
}

// check verifies the effects of an event.
func (w *randomRun) check(e Effects) {
	if e.WakeAt != 0 {
		if e.WakeAt <= w.now {
			w.t.Fatalf("the wake-up at %v is not after the present %v", e.WakeAt, w.now)
		}
		w.wakeAt = e.WakeAt
	}
	for _, s := range e.Sends {
		w.checkSend(s)
	}
	for _, r := range e.Refusals {
		w.checkRefusal(r)
	}
	for _, s := range e.Sends {
		w.checkOrder(w.requests[s.Request], s.Instance)
	}
}

func (w *randomRun) checkSend(s Send) {
	q, r, a := w.requests[s.Request], w.listed[s.Instance], w.accounts[s.Instance]
	switch {
	case q.ended || q.cancelled:
		w.t.Fatalf("%s is sent after its end", q.ID)
	case q.sentTo != "":
		w.t.Fatalf("%s is sent while it has a call in flight", q.ID)
	case r.ID == "" || r.Draining || r.Service != q.Service:
		w.t.Fatalf("%s is sent to %s, which is not listed, draining or of another service", q.ID, s.Instance)
	case w.now < a.blockedUntil:
		w.t.Fatalf("%s is sent to %s before its Retry-After has passed", q.ID, s.Instance)
	case len(q.ranOn) >= max(1, q.MaxAttempts):
		w.t.Fatalf("%s is sent for more than its %d attempts", q.ID, q.MaxAttempts)
	case slices.Contains(q.ranOn, s.Instance):
		w.t.Fatalf("%s is sent to %s again, which may have run it", q.ID, s.Instance)
	case len(q.ranOn) > 0 && !(q.Kind == Safe && !q.responseStarted || q.Kind == Streaming && q.Resumable):
		w.t.Fatalf("%s is sent again, but must not run twice", q.ID)
	case w.now.Add(s.Timeout) > q.Deadline || s.Timeout <= 0:
		w.t.Fatalf("%s has a timeout of %v with %v remaining", q.ID, s.Timeout, q.Deadline.Sub(w.now))
	case s.Priority < 0 || s.Priority > 9:
		w.t.Fatalf("%s has priority %d", q.ID, s.Priority)
	}
	w.checkAllowance(r, a)
	q.sentTo, q.sentAt, q.attempt = s.Instance, w.now, s.Attempt
	a.inFlight = append(a.inFlight, q)
}

func (w *randomRun) checkAllowance(r Receiver, a *receiverAccount) {
	if len(a.inFlight) >= r.Slots || !a.responded && len(a.inFlight) > 0 {
		w.t.Fatalf("%d calls are in flight to %s, which has %d slots (responded: %v)", len(a.inFlight), r.ID, r.Slots, a.responded)
	}
	if a.lastReport == nil || w.now >= a.measuredAt.Add(time.Second) {
		return
	}
	remaining := r.Slots - a.lastReport.Running - a.lastReport.Queued
	for _, q := range a.inFlight {
		if q.sentAt > a.measuredAt {
			remaining--
		}
	}
	for _, c := range a.endedCalls {
		if c.sent <= a.measuredAt && c.ended > a.measuredAt {
			remaining++
		}
	}
	if remaining < 1 {
		w.t.Fatalf("a call is sent to %s, whose allowance is %d", r.ID, remaining)
	}
}

// checkOrder verifies that no earlier request that could have gone to the same receiver is still queued.
func (w *randomRun) checkOrder(sent *requestAccount, to InstanceID) {
	for _, q := range w.requests {
		queued := !q.ended && q.sentTo == ""
		if queued && q.Service == sent.Service && q.seq < sent.seq && !slices.Contains(q.ranOn, to) {
			w.t.Fatalf("%s is sent to %s before %s", sent.ID, to, q.ID)
		}
	}
}

func (w *randomRun) checkRefusal(r Refusal) {
	q := w.requests[r.Request]
	ran := len(q.ranOn) > 0
	switch {
	case q.ended || q.cancelled || q.sentTo != "":
		w.t.Fatalf("%s is refused after its end or with a call in flight", q.ID)
	case r.MayHaveRun != ran || (r.Status == StatusServiceUnavailable) == ran:
		w.t.Fatalf("%s is refused with %d (may have run: %v), and may have run on %v", q.ID, r.Status, r.MayHaveRun, q.ranOn)
	case !ran && r.RetryAfter <= 0:
		w.t.Fatalf("%s is refused without a Retry-After", q.ID)
	}
	q.ended = true
}

// finish ends all calls in flight and lets time pass until all deadlines are over: each request must then have ended.
func (w *randomRun) finish() {
	for range 100 {
		for _, id := range w.inFlight() {
			w.endAttempt(w.requests[id], Outcome{Kind: Success, Duration: time.Millisecond})
		}
		w.advanceBy(100 * time.Millisecond)
	}
	for id, q := range w.requests {
		if !q.ended {
			w.t.Fatalf("%s has not ended", id)
		}
	}
	if len(w.d.requests) > 0 {
		w.t.Fatalf("%d requests are retained after their end", len(w.d.requests))
	}
	for _, s := range w.d.services {
		if s.inFlight+len(s.queue) != 0 {
			w.t.Fatalf("service %s retains %d calls and %d queued requests", s.name, s.inFlight, len(s.queue))
		}
	}
}

func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomRun{t: t, d: New(rapid.Uint64().Draw(t, "seed"), "here"), now: start,
			accounts: map[InstanceID]*receiverAccount{}, requests: map[RequestID]*requestAccount{}}
		w.changeReceivers()
		t.Repeat(map[string]func(*rapid.T){
			"receivers": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "now") == 0 {
					w.changeReceivers()
				}
			},
			"report":   func(*rapid.T) { w.sendReport() },
			"arrive":   func(*rapid.T) { w.submit() },
			"arrive 2": func(*rapid.T) { w.submit() },
			"start":    func(*rapid.T) { w.startResponse() },
			"answer":   func(*rapid.T) { w.endSomeAttempt() },
			"answer 2": func(*rapid.T) { w.endSomeAttempt() },
			"withdraw": func(*rapid.T) { w.cancel() },
			"pass":     func(*rapid.T) { w.advance() },
		})
		w.finish()
	})
}

// TestRunsAreReproducible verifies that the same seed and events lead to the same effects.
func TestRunsAreReproducible(t *testing.T) {
	run := func() string {
		s := newDriver(plain("a", 3), plain("b", 3), engine("c"), plain("d", 2, zone("there")))
		for i := range 300 {
			id := RequestID(fmt.Sprint(i))
			s.submit(id, kind(Kind(i%3), 2), objective(100*ms), priority(i%4), prompt(PrefixPart{ID: uint64(i % 7), Tokens: 300}))
			if i%2 == 1 {
				old := s.sends[len(s.sends)/2]
				s.collect(s.AttemptEnded(s.now, old.Request, old.Attempt, Outcome{Kind: OutcomeKind(i % 7), Duration: 20 * ms}))
			}
			s.advance(7 * ms)
		}
		return fmt.Sprint(s.sends, s.refusals)
	}
	firstRun := run()
	for range 5 {
		if again := run(); again != firstRun {
			t.Fatal("the same events led to different effects")
		}
	}
}
