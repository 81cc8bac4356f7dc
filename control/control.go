// Package control makes the delivery decisions of a sender. They are in the files that `policy` in deploy/balancer.toml
// names, this one first; the types and the Actions interface are in interface.go, the state in state.go.
//
// Usage: call New once per instance. For each batch of events call SetTime, then a method per event
// (HandleArrival, HandleResult, Withdraw, UpdateReceivers, HandlePeerNote, HandleResponseStart), then Schedule,
// which sends what may go. All effects go through Actions. The package reads no clock and shares no state.
//
// The basic algorithm is that of the design: a bucket keeps the allowance that responses report and the
// Retry-After delays, texts are queued in order of arrival, calls in flight never exceed the remaining allowance, and a
// text whose wait plus a typical call exceeds its validity period is rejected. Everything else here enforces a rule or
// addresses an observed failure, and says which.
package control

import (
	"cmp"
	"math"
	"slices"

	"emberquay/admission"
)

const (
	defaultPause   = Second      // of an exhausted or refusing bucket if no Retry-After delay is given; set by the design
	maxBuckets     = 1024        // buckets kept, as many as the design document keeps bearer queues
	reservedShare  = 0.125       // share of a limit left for calls of other senders that this one has not seen yet
	retention      = 60 * Second // how long a removed receiver is kept if its state may matter again
	slaToCallRatio = 10          // an SLA time over the typical call that is assumed until the first response
)

// SetTime sets the time of the calls that follow; it never goes back.
func (s *Sender) SetTime(now Time) {
	s.startedAt = cmp.Or(s.startedAt, now)
	s.now = max(s.now, now)
}

// HandleArrival accepts a text, which from here on gets exactly one final answer. If receivers are listed but none for
// its destination, it is rejected before any state is kept, unless it was accepted before a restart.
func (s *Sender) HandleArrival(a Arrival) {
	if s.destinations[a.Destination] == nil && len(s.receivers) > 0 && !a.Recovered {
		s.actions.Nack(a.ID, s.retryAdvice(defaultPause))
		return
	}
	p := s.products[a.Product]
	if p == nil { // not in the settings: must not be repeated
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
		if t.mayHaveRun { // its call was cut off when the previous process ended
			k.pausedUntil = s.now + s.duration("Contract.KeyRestUs", 0) + 1
		}
	}
	s.enqueue(t)
}

// Withdraw ends a text that its client no longer wants and cancels an attempt in flight if that is permitted.
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

// HandleResponseStart records that the response has begun: the client has its answer, the result still follows.
func (s *Sender) HandleResponseStart(id string) {
	if t := s.texts[id]; t != nil {
		t.finished = true
	}
}

// HandleResult passes the result of an attempt to the step that waits for it.
func (s *Sender) HandleResult(id string, number int, r Result) {
	if t := s.texts[id]; t != nil && t.current != nil && t.current.number == number {
		t.onResult(r)
	}
}

// Schedule sends what may go now; call it once after all events of a batch. It visits only the destinations that
// have texts or calls: a sender may know thousands and have texts for a few.
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

// scheduleWake asks to be woken when the passage of time alone next changes what may be done.
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
