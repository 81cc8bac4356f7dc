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
	defaultPause     = Second      // of a bucket that reads nought or refuses, where no wait is told: the design's
	maxBuckets       = 1024        // buckets remembered, as many as the document keeps bearer queues
	reservedShare    = 0.125       // share of a limit left for the calls of others that a sender has not seen yet
	removedRetention = 60 * Second // what is listed no more is remembered so long, if it may matter again
	slaPerFirstCall  = 10          // parts of an SLA time: a guess at a usual call until the first answer
)

// SetTime tells the time of the calls that follow.
func (s *Sender) SetTime(now Time) {
	s.startedAt = cmp.Or(s.startedAt, now)
	s.now = max(s.now, now)
}

// HandleArrival takes a text in; from here on it is owed one final answer. Where the list names other destinations but
// not its own, it is refused before anything is kept of it, unless it was taken on before a restart.
func (s *Sender) HandleArrival(a Arrival) {
	if s.destinations[a.Destination] == nil && len(s.receivers) > 0 && !a.Recovered {
		s.actions.Nack(a.ID, s.retryAdvice(defaultPause))
		return
	}
	p := s.products[a.Product]
	if p == nil { // not in the settings: nothing allows a repeat
		p = &product{name: a.Product, callDuration: float64(Second) / 10}
		s.products[a.Product] = p
	}
	s.lastSeq++
	t := &text{id: a.ID, seq: s.lastSeq, product: p, dest: s.destination(a.Destination), key: a.Key,
		validUntil: s.now + a.TimeLeft, slaDeadline: s.now + p.sla - max(0, p.validity-a.TimeLeft),
		attempts: a.Attempts, mayHaveRun: a.FirstRunAt > 0, firstRunAt: a.FirstRunAt, firstRunZone: a.FirstRunZone,
		revenueShare: s.brandRevenueShare(s.brands[a.Brand]), recovered: a.Recovered}
	s.texts[t.id] = t
	t.dest.arrivals++
	admission.UpdateEWMA(&s.meanValue, p.value)
	if p.inOrder && t.key != "" {
		k := s.keyQueue(t.key)
		k.texts = append(k.texts, t)
		if t.mayHaveRun { // its call broke with the process before
			k.pausedUntil = s.now + s.duration("Contract.KeyRestUs", 0) + 1
		}
	}
	s.enqueue(t)
}

// Withdraw: nobody wants the text any more; a submit of it that is out is called off.
func (s *Sender) Withdraw(id string) {
	t := s.texts[id]
	if t == nil {
		return
	}
	if t.current != nil && s.settings["Permissions.MayCancel"] == "true" {
		s.actions.Cancel(t.id, t.current.number)
	}
	s.finish(t)
}

// HandleResponseStart: the answer has begun, the submit is the client's now; its end is still told.
func (s *Sender) HandleResponseStart(id string) {
	if t := s.texts[id]; t != nil {
		t.finished = true
	}
}

// HandleResult hands the result of a submit to the step that waits for it.
func (s *Sender) HandleResult(id string, number int, r Result) {
	if t := s.texts[id]; t != nil && t.current != nil && t.current.number == number {
		t.onResult(r)
	}
}

// Schedule decides what goes now; call it once after all news of a batch. It walks the destinations that
// have texts or calls, not the list: a sender may know thousands and have texts for a few.
func (s *Sender) Schedule() {
	s.startWatch()
	for _, d := range s.active {
		for _, r := range d.receivers {
			r.bucket = s.bucketOf(r)
		}
		s.rejectLate(d)
	}
	for s.callsInFlight < s.maxCalls {
		var best *receiver
		for _, d := range s.active {
			if r := s.selectReceiver(d); r != nil && (best == nil || d.inFlight < best.dest.inFlight) {
				best = r
			}
		}
		if best == nil {
			break
		}
		s.sendCall(best)
	}
	s.active = slices.DeleteFunc(s.active, func(d *destination) bool {
		d.active = len(d.queue)+d.inFlight > 0
		for _, r := range d.receivers {
			s.closeUnneeded(r)
			d.active = d.active || r.connected && s.maxIdle() < s.connIdleTimeout()
		}
		if !d.active && len(d.receivers) == 0 { // never listed
			delete(s.destinations, d.id)
		}
		return !d.active
	})
	s.scheduleWake()
}

// scheduleWake asks to be woken when time alone next changes what may be done.
func (s *Sender) scheduleWake() {
	next := Time(math.MaxInt64)
	consider := func(t Time) {
		if t > s.now {
			next = min(next, t)
		}
	}
	consider(s.watchAt)
	for _, d := range s.active {
		for _, t := range d.queue {
			consider(t.validUntil - s.typicalDuration(t) + 1)
			consider(s.repeatDeadline(t))
			if k := s.keys[t.key]; k != nil {
				consider(k.pausedUntil)
			}
		}
		for _, r := range d.receivers {
			if len(r.calls) > 0 {
				consider(max(r.calls[0].sentAt, r.respondedAt) + s.silenceLimit(r) + 1)
			}
			if len(r.calls)+len(d.queue) > 0 {
				consider(r.backoffUntil)
				consider(r.bucket.retryAfterUntil)
				consider(r.bucket.pausedUntil)
				if s.needsRecoveryBudget(r) {
					consider(r.redrawAt)
					if len(r.callTimes) > 0 {
						consider(r.callTimes[0] + s.duration("Contract.FallUs", 2*Second))
					}
				}
			}
		}
	}
	if next < math.MaxInt64 && (s.wakeAt <= s.now || next < s.wakeAt) {
		s.wakeAt = next
		s.lastMark++
		s.actions.WakeAt(next, s.lastMark)
	}
}
