package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawn plays receivers and clients at random and keeps its own account of what the design and the rules
// demand of each send. It knows nothing of how the dispatcher keeps its state.
type drawn struct {
	t        *rapid.T
	d        *Dispatcher
	now      Instant
	wake     Instant
	list     map[InstanceID]Receiver
	places   map[InstanceID]*drawnPlace
	requests map[RequestID]*drawnRequest
	arrived  int
	starts   int
}

// drawnPlace is what the account holds of a receiver.
type drawnPlace struct {
	out       []*drawnRequest
	calls     []endedCall // that have ended
	told      *Report
	toldAt    Instant
	answered  bool
	waitUntil Instant
}

type drawnRequest struct {
	Request
	seq     int
	to      InstanceID // "": none is out
	attempt int
	sent    Instant
	ran     []InstanceID
	wentOn  bool
	ended   bool
	over    bool
}

var drawnServices = []string{"one", "two"}

func (w *drawn) receivers() {
	w.list = map[InstanceID]Receiver{}
	var list []Receiver
	for i := range rapid.IntRange(0, 5).Draw(w.t, "receivers") {
		id := InstanceID(fmt.Sprint("r", i))
		if rapid.IntRange(0, 9).Draw(w.t, "other incarnation") == 0 {
			w.starts++
			id = InstanceID(fmt.Sprint("r", i, ".", w.starts))
		}
		r := Receiver{ID: id, Service: rapid.SampledFrom(drawnServices).Draw(w.t, "service"), Address: "a",
			Zone: rapid.SampledFrom([]string{"here", "there"}).Draw(w.t, "zone"), Slots: rapid.IntRange(1, 4).Draw(w.t, "slots"),
			Draining: rapid.IntRange(0, 4).Draw(w.t, "draining") == 0, Silent: rapid.IntRange(0, 4).Draw(w.t, "silent") == 0}
		if rapid.Bool().Draw(w.t, "engine") {
			r.Engine = &EngineInfo{KVCapacityTokens: 5000}
		}
		w.list[id] = r
		list = append(list, r)
		if w.places[id] == nil {
			w.places[id] = &drawnPlace{}
		}
	}
	w.take(w.d.SetReceivers(w.now, list))
}

func (w *drawn) report() {
	ids := slices.Sorted(maps.Keys(w.list))
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(w.t, "reporter")
	r := Report{Running: rapid.IntRange(0, 4).Draw(w.t, "running"), Queued: rapid.IntRange(0, 1).Draw(w.t, "queued"),
		KVUsedTokens: rapid.IntRange(0, 5000).Draw(w.t, "used"), KVTotalTokens: 5000,
		Age: time.Duration(rapid.IntRange(0, 1200).Draw(w.t, "age")) * time.Millisecond}
	p := w.places[id]
	if at := w.now.Add(-r.Age); r.Age < time.Second && (p.told == nil || at > p.toldAt) {
		p.told, p.toldAt = &r, at
	}
	w.take(w.d.ApplyReport(w.now, id, r))
}

func (w *drawn) arrive() {
	w.arrived++
	r := Request{ID: RequestID(fmt.Sprint("q", w.arrived)), Service: rapid.SampledFrom(drawnServices).Draw(w.t, "service"),
		Kind: rapid.SampledFrom([]Kind{Unsafe, Safe, Streaming}).Draw(w.t, "kind"), Resumable: rapid.Bool().Draw(w.t, "resumable"),
		Priority: rapid.IntRange(0, 2).Draw(w.t, "priority"), MaxAttempts: rapid.IntRange(0, 3).Draw(w.t, "attempts"),
		Deadline:        w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "deadline")) * time.Millisecond),
		TargetLatency:   time.Duration(rapid.IntRange(0, 500).Draw(w.t, "objective")) * time.Millisecond,
		ProgramTimeLeft: time.Duration(rapid.IntRange(0, 1).Draw(w.t, "finish")) * time.Second,
		ProgramStarted:  rapid.Bool().Draw(w.t, "begun")}
	for range rapid.IntRange(0, 3).Draw(w.t, "parts") {
		r.Prefix = append(r.Prefix, PrefixPart{ID: rapid.Uint64Range(0, 5).Draw(w.t, "part"), Tokens: 500})
	}
	w.requests[r.ID] = &drawnRequest{Request: r, seq: w.arrived}
	w.take(w.d.Submit(w.now, r))
}

func (w *drawn) outstanding() []RequestID {
	var out []RequestID
	for id, q := range w.requests {
		if q.to != "" {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (w *drawn) start() {
	if out := w.outstanding(); len(out) > 0 {
		q := w.requests[rapid.SampledFrom(out).Draw(w.t, "started")]
		q.wentOn = true
		w.places[q.to].answered = true
		w.take(w.d.ResponseStarted(w.now, q.ID))
	}
}

func (w *drawn) answer() {
	if out := w.outstanding(); len(out) > 0 {
		q := w.requests[rapid.SampledFrom(out).Draw(w.t, "answered")]
		o := Outcome{Kind: OutcomeKind(rapid.IntRange(int(Success), int(Cancelled)).Draw(w.t, "outcome")), Duration: w.now.Sub(q.sent)}
		if o.Kind == Full {
			o.RetryAfter = time.Duration(rapid.IntRange(0, 400).Draw(w.t, "retry after")) * time.Millisecond
		}
		w.end(q, o)
	}
}

func (w *drawn) end(q *drawnRequest, o Outcome) {
	p := w.places[q.to]
	p.out = slices.DeleteFunc(p.out, func(other *drawnRequest) bool { return other == q })
	p.calls = append(p.calls, endedCall{q.sent, w.now})
	switch o.Kind {
	case Full:
		wait := o.RetryAfter
		if wait == 0 {
			wait = time.Second
		}
		p.waitUntil = max(p.waitUntil, w.now.Add(wait))
	case Success, ErrorResponse:
		p.answered = true
	}
	if o.Kind.MayHaveRun() {
		q.ran = append(q.ran, q.to)
	}
	q.to = ""
	if q.over || o.Kind == Success || o.Kind == ErrorResponse || o.Kind == Cancelled {
		q.ended = true
	}
	w.take(w.d.AttemptEnded(w.now, q.ID, q.attempt, o))
}

func (w *drawn) withdraw() {
	var wanted []RequestID
	for id, q := range w.requests {
		if !q.ended && !q.over {
			wanted = append(wanted, id)
		}
	}
	slices.Sort(wanted)
	if len(wanted) > 0 {
		q := w.requests[rapid.SampledFrom(wanted).Draw(w.t, "withdrawn")]
		q.over, q.ended = true, q.to == ""
		w.take(w.d.Cancel(w.now, q.ID))
	}
}

func (w *drawn) pass() {
	w.passFor(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
}

func (w *drawn) passFor(span time.Duration) {
	end := w.now.Add(span)
	for w.wake > w.now && w.wake <= end {
		w.now = w.wake
		w.take(w.d.Tick(w.now))
	}
	w.now = end
}

// take checks what is asked for.
func (w *drawn) take(e Effects) {
	if e.WakeAt != 0 {
		if e.WakeAt <= w.now {
			w.t.Fatalf("a wake at %v, which is past %v", e.WakeAt, w.now)
		}
		w.wake = e.WakeAt
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

func (w *drawn) checkSend(s Send) {
	q, r, p := w.requests[s.Request], w.list[s.Instance], w.places[s.Instance]
	switch {
	case q.ended || q.over:
		w.t.Fatalf("%s is sent after its end", q.ID)
	case q.to != "":
		w.t.Fatalf("%s is sent while a call of it is out", q.ID)
	case r.ID == "" || r.Draining || r.Service != q.Service:
		w.t.Fatalf("%s goes to %s, which is gone, drains or serves another", q.ID, s.Instance)
	case w.now < p.waitUntil:
		w.t.Fatalf("%s goes to %s during a told wait", q.ID, s.Instance)
	case len(q.ran) >= max(1, q.MaxAttempts):
		w.t.Fatalf("%s goes out for more than its %d attempts", q.ID, q.MaxAttempts)
	case slices.Contains(q.ran, s.Instance):
		w.t.Fatalf("%s goes to %s again, which may have run it", q.ID, s.Instance)
	case len(q.ran) > 0 && !(q.Kind == Safe && !q.wentOn || q.Kind == Streaming && q.Resumable):
		w.t.Fatalf("%s goes again, and must not run twice", q.ID)
	case w.now.Add(s.Timeout) > q.Deadline || s.Timeout <= 0:
		w.t.Fatalf("%s has a timeout of %v with %v left", q.ID, s.Timeout, q.Deadline.Sub(w.now))
	case s.Priority < 0 || s.Priority > 9:
		w.t.Fatalf("%s has priority %d", q.ID, s.Priority)
	}
	w.checkAllowance(r, p)
	q.to, q.sent, q.attempt = s.Instance, w.now, s.Attempt
	p.out = append(p.out, q)
}

func (w *drawn) checkAllowance(r Receiver, p *drawnPlace) {
	if len(p.out) >= r.Slots || !p.answered && len(p.out) > 0 {
		w.t.Fatalf("%d calls are out to %s, which has %d slots (answered: %v)", len(p.out), r.ID, r.Slots, p.answered)
	}
	if p.told == nil || w.now >= p.toldAt.Add(time.Second) {
		return
	}
	left := r.Slots - p.told.Running - p.told.Queued
	for _, q := range p.out {
		if q.sent > p.toldAt {
			left--
		}
	}
	for _, c := range p.calls {
		if c.sent <= p.toldAt && c.ended > p.toldAt {
			left++
		}
	}
	if left < 1 {
		w.t.Fatalf("a call goes to %s, whose allowance is %d", r.ID, left)
	}
}

// checkOrder: no request that arrived before this one and could go where it went is still held.
func (w *drawn) checkOrder(sent *drawnRequest, to InstanceID) {
	for _, q := range w.requests {
		held := !q.ended && q.to == ""
		if held && q.Service == sent.Service && q.seq < sent.seq && !slices.Contains(q.ran, to) {
			w.t.Fatalf("%s went to %s before %s", sent.ID, to, q.ID)
		}
	}
}

func (w *drawn) checkRefusal(r Refusal) {
	q := w.requests[r.Request]
	ran := len(q.ran) > 0
	switch {
	case q.ended || q.over || q.to != "":
		w.t.Fatalf("%s is refused after its end or with a call out", q.ID)
	case r.MayHaveRun != ran || (r.Status == StatusServiceUnavailable) == ran:
		w.t.Fatalf("%s is refused with %d (executed: %v), and ran at %v", q.ID, r.Status, r.MayHaveRun, q.ran)
	case !ran && r.RetryAfter <= 0:
		w.t.Fatalf("%s is refused without a time to come back", q.ID)
	}
	q.ended = true
}

// finish lets all that is out end and time pass: by its deadline each request has had its end.
func (w *drawn) finish() {
	for range 100 {
		for _, id := range w.outstanding() {
			w.end(w.requests[id], Outcome{Kind: Success, Duration: time.Millisecond})
		}
		w.passFor(100 * time.Millisecond)
	}
	for id, q := range w.requests {
		if !q.ended {
			w.t.Fatalf("%s has no end", id)
		}
	}
	if len(w.d.requests) > 0 {
		w.t.Fatalf("%d requests are kept after their end", len(w.d.requests))
	}
	for _, s := range w.d.services {
		if s.out+len(s.queue) != 0 {
			w.t.Fatalf("service %s keeps %d calls and %d held", s.name, s.out, len(s.queue))
		}
	}
}

func TestDrawnRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &drawn{t: t, d: New(rapid.Uint64().Draw(t, "seed"), "here"), now: start,
			places: map[InstanceID]*drawnPlace{}, requests: map[RequestID]*drawnRequest{}}
		w.receivers()
		t.Repeat(map[string]func(*rapid.T){
			"receivers": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "now") == 0 {
					w.receivers()
				}
			},
			"report":   func(*rapid.T) { w.report() },
			"arrive":   func(*rapid.T) { w.arrive() },
			"arrive 2": func(*rapid.T) { w.arrive() },
			"start":    func(*rapid.T) { w.start() },
			"answer":   func(*rapid.T) { w.answer() },
			"answer 2": func(*rapid.T) { w.answer() },
			"withdraw": func(*rapid.T) { w.withdraw() },
			"pass":     func(*rapid.T) { w.pass() },
		})
		w.finish()
	})
}

// TestRunsRepeat: the same seed and events give the same effects.
func TestRunsRepeat(t *testing.T) {
	play := func() string {
		s := newScript(plain("a", 3), plain("b", 3), engine("c"), plain("d", 2, zone("there")))
		for i := range 300 {
			id := RequestID(fmt.Sprint(i))
			s.arrive(id, kind(Kind(i%3), 2), objective(100*ms), priority(i%4), prompt(PrefixPart{ID: uint64(i % 7), Tokens: 300}))
			if i%2 == 1 {
				old := s.sends[len(s.sends)/2]
				s.take(s.AttemptEnded(s.now, old.Request, old.Attempt, Outcome{Kind: OutcomeKind(i % 7), Duration: 20 * ms}))
			}
			s.pass(7 * ms)
		}
		return fmt.Sprint(s.sends, s.refusals)
	}
	first := play()
	for range 5 {
		if again := play(); again != first {
			t.Fatal("the same events gave other effects")
		}
	}
}
