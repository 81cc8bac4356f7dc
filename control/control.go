// Package control: the decisions of a sender stand in the files that `policy` in deploy/balancer.toml names,
// this one first. Its types and the Outlet that it calls are in interface.go, its state in state.go.
//
// How to call it: New once an instance; then, for each batch of news, Clock with the time, the calls that
// tell what happened (Take, Ended, Withdrawn, Listed, Noted, Started) and at last Settle, which
// releases what may go. All it wants done it asks of the Outlet. It reads no clock and shares nothing.
//
// The ordinary path is the design's: a bucket keeps the allowance that answers report and the waits that
// were told, texts are held in order of arrival, calls out never pass the allowance left, and a text whose
// wait plus a usual call passes its validity period is refused. What else stands here guards a rule or
// meets a symptom, and says which.
package control

import (
	"cmp"
	"math"
	"slices"

	"emberquay/admission"
)

const (
	defaultPause = Second      // of a bucket that reads nought or refuses, where no wait is told: the design's
	bucketCap    = 1024        // buckets remembered, as many as the document keeps bearer queues
	spare        = 0.125       // share of a limit left for the calls of others that a sender has not seen yet
	goneFor      = 60 * Second // what is listed no more is remembered so long, if it may matter again
	firstPace    = 10          // parts of an SLA time: a guess at a usual call until the first answer
)

// SetTime tells the time of the calls that follow.
func (s *Sender) SetTime(now Time) {
	s.began = cmp.Or(s.began, now)
	s.now = max(s.now, now)
}

// HandleArrival takes a text in; from here on it is owed one final answer. Where the list names other destinations but
// not its own, it is refused before anything is kept of it, unless it was taken on before a restart.
func (s *Sender) HandleArrival(a Arrival) {
	if s.destinations[a.Destination] == nil && len(s.receivers) > 0 && !a.Recovered {
		s.out.Nack(a.ID, s.advice(defaultPause))
		return
	}
	p := s.products[a.Product]
	if p == nil { // not in the settings: nothing allows a repeat
		p = &product{name: a.Product, pace: float64(Second) / 10}
		s.products[a.Product] = p
	}
	s.seq++
	t := &text{id: a.ID, seq: s.seq, product: p, dest: s.destination(a.Destination), key: a.Key,
		validUntil: s.now + a.TimeLeft, wantedBy: s.now + p.sla - max(0, p.validity-a.TimeLeft),
		submits: a.Attempts, mayHaveRun: a.FirstRunAt > 0, ranSince: a.FirstRunAt, ranZone: a.FirstRunZone,
		within: s.within(s.brands[a.Brand]), owed: a.Recovered}
	s.texts[t.id] = t
	t.dest.arrived++
	admission.UpdateEWMA(&s.meanValue, p.value)
	if p.inOrder && t.key != "" {
		k := s.line(t.key)
		k.texts = append(k.texts, t)
		if t.mayHaveRun { // its call broke with the process before
			k.restUntil = s.now + s.span("Contract.KeyRestUs", 0) + 1
		}
	}
	s.hold(t)
}

// Withdraw: nobody wants the text any more; a submit of it that is out is called off.
func (s *Sender) Withdraw(id string) {
	t := s.texts[id]
	if t == nil {
		return
	}
	if t.out != nil && s.set["Permissions.MayCancel"] == "true" {
		s.out.Cancel(t.id, t.out.no)
	}
	s.finish(t)
}

// HandleResponseStart: the answer has begun, the submit is the client's now; its end is still told.
func (s *Sender) HandleResponseStart(id string) {
	if t := s.texts[id]; t != nil {
		t.over = true
	}
}

// HandleResult hands the result of a submit to the step that waits for it.
func (s *Sender) HandleResult(id string, no int, r Result) {
	if t := s.texts[id]; t != nil && t.out != nil && t.out.no == no {
		t.next(r)
	}
}

// Schedule decides what goes now; call it once after all news of a batch. It walks the destinations that
// have texts or calls, not the list: a sender may know thousands and have texts for a few.
func (s *Sender) Schedule() {
	s.watch()
	for _, d := range s.busy {
		for _, r := range d.receivers {
			r.bucket = s.bucketOf(r)
		}
		s.refuseLate(d)
	}
	for s.callsOut < s.slots {
		var best *receiver
		for _, d := range s.busy {
			if r := s.pick(d); r != nil && (best == nil || d.flight < best.dest.flight) {
				best = r
			}
		}
		if best == nil {
			break
		}
		s.send(best)
	}
	s.busy = slices.DeleteFunc(s.busy, func(d *destination) bool {
		d.busy = len(d.queue)+d.flight > 0
		for _, r := range d.receivers {
			s.hangUp(r)
			d.busy = d.busy || r.connected && s.keep() < s.idleTime()
		}
		if !d.busy && len(d.receivers) == 0 { // never listed
			delete(s.destinations, d.id)
		}
		return !d.busy
	})
	s.plan()
}

// plan asks to be woken when time alone next changes what may be done.
func (s *Sender) plan() {
	at := Time(math.MaxInt64)
	due := func(t Time) {
		if t > s.now {
			at = min(at, t)
		}
	}
	due(s.askAt)
	for _, d := range s.busy {
		for _, t := range d.queue {
			due(t.validUntil - s.usual(t) + 1)
			due(s.repeatEnd(t))
			if k := s.keys[t.key]; k != nil {
				due(k.restUntil)
			}
		}
		for _, r := range d.receivers {
			if len(r.calls) > 0 {
				due(max(r.calls[0].sent, r.answered) + s.patience(r) + 1)
			}
			if len(r.calls)+len(d.queue) > 0 {
				due(r.restUntil)
				due(r.bucket.waitUntil)
				due(r.bucket.heldUntil)
				if s.struck(r) {
					due(r.drawAt)
					if len(r.weighed) > 0 {
						due(r.weighed[0] + s.span("Contract.FallUs", 2*Second))
					}
				}
			}
		}
	}
	if at < math.MaxInt64 && (s.wakeAt <= s.now || at < s.wakeAt) {
		s.wakeAt = at
		s.marks++
		s.out.WakeAt(at, s.marks)
	}
}
