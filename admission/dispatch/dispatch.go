// Package dispatch decides for one proxy where and when each request is sent to a receiver, and which are
// refused.
//
// It is pure: time comes in with each event, chance from a seed, and what is to be done goes out as Effects.
// One goroutine owns a Dispatcher, tells it what happens and carries out what it returns:
//
//	d := dispatch.New(seed, zone)
//	d.SetReceivers(now, list)                      // the whole list, whenever it changes
//	d.ApplyReport(now, instance, report)           // for each report of a receiver
//	effects := d.Submit(now, request)              // forward each Send, answer each Refusal at once
//	effects = d.ResponseStarted(now, id)           // the first byte or event of the response arrived
//	effects = d.AttemptEnded(now, id, attempt, o)  // exactly once for each Send
//	effects = d.Tick(now)                          // at the most recent Effects.WakeAt
//	effects = d.StopBy(now, end)                   // the process stops at end; no call is started that would outlast it
//
// The ordinary path is the design's: one bucket a receiver endpoint, whose allowance is its slots less what
// it last reported and own calls sent since; requests held in order of arrival; nothing during a told wait;
// one call out until the first answer; a request refused once its wait plus a usual call would pass its
// deadline.
//
// Invariants: of a request at most one call is out; it runs on at most MaxAttempts receivers; one that may
// have run goes again only if its kind allows it, to another receiver; each arrival has exactly one end, be
// it an answer, a refusal or a withdrawal.
package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"emberquay/admission"
)

// New makes a dispatcher of a proxy that stands in a zone; the same seed and events give the same decisions.
func New(seed uint64, zone string) *Dispatcher {
	return &Dispatcher{zone: zone, chance: admission.NewPCG(seed), services: map[string]*service{},
		buckets: map[InstanceID]*bucket{}, requests: map[RequestID]*request{}, usuals: map[usualKey]*usual{}}
}

// begin opens an event.
func (d *Dispatcher) begin(now Instant) {
	d.now = max(d.now, now)
	d.wake = math.MaxInt64
	d.effects = Effects{Sends: d.effects.Sends[:0], Refusals: d.effects.Refusals[:0]}
}

// done closes an event; a wake is asked for only if none is due by then. One that is due already is made
// good, as the caller may replace it by the next.
func (d *Dispatcher) done() Effects {
	if d.wakeAt > 0 && d.wakeAt <= d.now {
		d.wakeAt = 0
		d.settleAll()
	}
	if d.wake < math.MaxInt64 && (d.wakeAt == 0 || d.wake < d.wakeAt) {
		d.wakeAt = d.wake
		d.effects.WakeAt = d.wake
	}
	return d.effects
}

// SetReceivers takes the whole list. What it leaves out gets nothing any more; calls that are out there still
// end, and what binds is remembered, as the list may name it again.
func (d *Dispatcher) SetReceivers(now Instant, list []Receiver) Effects {
	d.begin(now)
	for _, s := range d.services {
		s.buckets = s.buckets[:0]
	}
	buckets := make(map[InstanceID]*bucket, len(list))
	for _, r := range list {
		if buckets[r.ID] != nil {
			continue
		}
		b := d.buckets[r.ID]
		if b == nil {
			b = newBucket(r)
		}
		b.list(r)
		buckets[r.ID] = b
		s := d.service(r.Service)
		s.buckets = append(s.buckets, b)
	}
	for id, b := range d.buckets {
		if buckets[id] == nil && b.binds(d.now) {
			buckets[id] = b
		}
	}
	d.buckets = buckets
	d.settleAll()
	for name, s := range d.services {
		if len(s.buckets)+len(s.queue)+s.out == 0 {
			delete(d.services, name)
		}
	}
	return d.done()
}

// settleAll goes through the services by name, so that runs repeat.
func (d *Dispatcher) settleAll() {
	held := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		if len(s.queue) > 0 {
			held = append(held, s)
		}
	}
	slices.SortFunc(held, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	for _, s := range held {
		d.settle(s)
	}
}

// ApplyReport takes what a receiver told of itself.
func (d *Dispatcher) ApplyReport(now Instant, instance InstanceID, told Report) Effects {
	d.begin(now)
	if b := d.buckets[instance]; b != nil && b.report(d.now, told) {
		d.settle(d.service(b.Service))
	}
	return d.done()
}

// Submit takes a request in; it has exactly one end. The id must not be one of an unfinished request.
func (d *Dispatcher) Submit(now Instant, r Request) Effects {
	d.begin(now)
	if d.requests[r.ID] != nil {
		panic(fmt.Sprintf("dispatch: request %q arrived while one of that id is unfinished", r.ID))
	}
	q := d.newRequest(r)
	s := d.service(r.Service)
	s.hold(q)
	if !d.admits(s, q) {
		d.giveUp(s, q, defaultPause, NotAdmitted)
	}
	d.settle(s)
	return d.done()
}

func (d *Dispatcher) newRequest(r Request) *request {
	d.arrivals++
	q := d.record()
	*q = request{Request: r, usualKey: keyOf(&r), seq: d.arrivals, arrived: d.now, ran: q.ran[:0],
		end: math.MaxInt64, mayWaitUntil: math.MaxInt64}
	for _, p := range r.Prefix {
		q.prompt += p.Tokens
	}
	q.prompt = max(q.prompt, r.InputTokens)
	if r.Program != "" {
		q.programKey = xxhash.Sum64String(r.Program)
	}
	if r.Deadline > 0 {
		q.end = r.Deadline
	}
	if r.Timeout > 0 {
		q.end = min(q.end, d.now.Add(r.Timeout))
	}
	if d.endBy > 0 {
		q.end = min(q.end, d.endBy)
	}
	q.mayWaitUntil = d.bears(q)
	d.requests[q.ID] = q
	return q
}

// bears says until when a request may be held for its objective's sake: a part of what its program has left,
// else what the objective leaves beside a usual call's start.
func (d *Dispatcher) bears(q *request) Instant {
	least := q.TargetLatency / heldFree
	switch {
	case q.ProgramTimeLeft > 0:
		return d.now.Add(max(least, q.ProgramTimeLeft/finishShare))
	case q.TargetLatency > 0:
		start := d.usual(d.service(q.Service), q).start()
		return d.now.Add(max(least, q.TargetLatency-start))
	}
	return math.MaxInt64
}

// send passes a request on.
func (d *Dispatcher) send(s *service, q *request, b *bucket) {
	q.to, q.sent = b, d.now
	q.overdue = d.now.Add(overdueTimes*d.usual(s, q).start() + leastOverdue)
	q.attempt++
	if b.Engine != nil {
		q.unread = q.missing(d.now, b)
		admission.Smooth(&s.fresh, q.least)
		b.parts.add(d.now, q.Prefix, b.Engine.KVCapacityTokens)
	}
	b.sent(q)
	s.out++
	d.effects.Sends = append(d.effects.Sends, Send{Request: q.ID, Attempt: q.attempt, Instance: b.ID,
		Address: b.Address, Timeout: d.timeout(s, q), Priority: d.priority(s, q)})
}

// ResponseStarted notes the first byte or event of an answer, which has gone to the client.
func (d *Dispatcher) ResponseStarted(now Instant, id RequestID) Effects {
	d.begin(now)
	if q := d.requests[id]; q != nil && q.to != nil {
		q.started = true
		d.observeStart(d.service(q.Service), q)
		q.to.unread -= q.unread
		q.unread = 0
		q.to.lives(d.now)
		d.settle(d.service(q.Service))
	}
	return d.done()
}

// Cancel notes that the client waits no more. A call that is out is called off by the caller, and its end
// told with AttemptEnded like any other.
func (d *Dispatcher) Cancel(now Instant, id RequestID) Effects {
	d.begin(now)
	if q := d.requests[id]; q != nil {
		s := d.service(q.Service)
		q.over = true
		d.observeEnd(s, q)
		if q.to == nil {
			s.unhold(q)
			d.forget(q)
		}
		d.settle(s)
	}
	return d.done()
}

// StopBy tells that the sender's process ends at an instant. It is a deadline of every request from then on: what is
// held is refused once its wait plus a usual call would pass it.
func (d *Dispatcher) StopBy(now, end Instant) Effects {
	d.begin(now)
	d.endBy = end
	for _, q := range d.requests {
		q.end = min(q.end, end)
	}
	d.settleAll()
	return d.done()
}

// Tick tells the time.
func (d *Dispatcher) Tick(now Instant) Effects {
	d.begin(now)
	d.wakeAt = d.now
	return d.done()
}

// timeout bounds an attempt: by the time that the request has, or sooner where another receiver may run it
// after a machine that has fallen silent.
func (d *Dispatcher) timeout(s *service, q *request) time.Duration {
	left := q.end.Sub(d.now)
	whole := d.usual(s, q).whole()
	long := max(leastPatience, patience*whole)
	if q.idempotent() && len(q.ran)+1 < q.attempts() && left-long >= 2*whole {
		return long
	}
	return left
}
