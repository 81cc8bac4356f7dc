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
	return &Dispatcher{zone: zone, random: admission.NewPCG(seed), services: map[string]*service{},
		endpoints: map[InstanceID]*endpoint{}, requests: map[RequestID]*request{}, estimates: map[callClass]*callEstimate{}}
}

// beginEvent opens an event.
func (d *Dispatcher) beginEvent(now Instant) {
	d.now = max(d.now, now)
	d.nextWake = math.MaxInt64
	d.effects = Effects{Sends: d.effects.Sends[:0], Refusals: d.effects.Refusals[:0]}
}

// finishEvent closes an event; a wake is asked for only if none is due by then. One that is due already is made
// good, as the caller may replace it by the next.
func (d *Dispatcher) finishEvent() Effects {
	if d.scheduledWake > 0 && d.scheduledWake <= d.now {
		d.scheduledWake = 0
		d.scheduleAll()
	}
	if d.nextWake < math.MaxInt64 && (d.scheduledWake == 0 || d.nextWake < d.scheduledWake) {
		d.scheduledWake = d.nextWake
		d.effects.WakeAt = d.nextWake
	}
	return d.effects
}

// SetReceivers takes the whole list. What it leaves out gets nothing any more; calls that are out there still
// end, and what binds is remembered, as the list may name it again.
func (d *Dispatcher) SetReceivers(now Instant, list []Receiver) Effects {
	d.beginEvent(now)
	for _, s := range d.services {
		s.endpoints = s.endpoints[:0]
	}
	listed := make(map[InstanceID]*endpoint, len(list))
	for _, r := range list {
		if listed[r.ID] != nil {
			continue
		}
		e := d.endpoints[r.ID]
		if e == nil {
			e = newEndpoint(r)
		}
		e.updateListing(r)
		listed[r.ID] = e
		s := d.service(r.Service)
		s.endpoints = append(s.endpoints, e)
	}
	for id, e := range d.endpoints {
		if listed[id] == nil && e.mustRetain(d.now) {
			listed[id] = e
		}
	}
	d.endpoints = listed
	d.scheduleAll()
	for name, s := range d.services {
		if len(s.endpoints)+len(s.queue)+s.inFlight == 0 {
			delete(d.services, name)
		}
	}
	return d.finishEvent()
}

// scheduleAll goes through the services by name, so that runs repeat.
func (d *Dispatcher) scheduleAll() {
	pending := make([]*service, 0, len(d.services))
	for _, s := range d.services {
		if len(s.queue) > 0 {
			pending = append(pending, s)
		}
	}
	slices.SortFunc(pending, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	for _, s := range pending {
		d.schedule(s)
	}
}

// ApplyReport takes what a receiver told of itself.
func (d *Dispatcher) ApplyReport(now Instant, instance InstanceID, report Report) Effects {
	d.beginEvent(now)
	if e := d.endpoints[instance]; e != nil && e.applyReport(d.now, report) {
		d.schedule(d.service(e.Service))
	}
	return d.finishEvent()
}

// Submit takes a request in; it has exactly one end. The id must not be one of an unfinished request.
func (d *Dispatcher) Submit(now Instant, r Request) Effects {
	d.beginEvent(now)
	if d.requests[r.ID] != nil {
		panic(fmt.Sprintf("dispatch: request %q arrived while one of that id is unfinished", r.ID))
	}
	q := d.newRequest(r)
	s := d.service(r.Service)
	s.enqueue(q)
	if !d.admits(s, q) {
		d.refuse(s, q, defaultPause, NotAdmitted)
	}
	d.schedule(s)
	return d.finishEvent()
}

func (d *Dispatcher) newRequest(r Request) *request {
	d.submitted++
	q := d.takeSpareRequest()
	*q = request{Request: r, class: classOf(&r), seq: d.submitted, submittedAt: d.now, ranOn: q.ranOn[:0],
		expiresAt: math.MaxInt64, mayWaitUntil: math.MaxInt64}
	for _, p := range r.Prefix {
		q.promptTokens += p.Tokens
	}
	q.promptTokens = max(q.promptTokens, r.InputTokens)
	if r.Program != "" {
		q.programKey = xxhash.Sum64String(r.Program)
	}
	if r.Deadline > 0 {
		q.expiresAt = r.Deadline
	}
	if r.Timeout > 0 {
		q.expiresAt = min(q.expiresAt, d.now.Add(r.Timeout))
	}
	if d.stopAt > 0 {
		q.expiresAt = min(q.expiresAt, d.stopAt)
	}
	q.mayWaitUntil = d.objectiveWaitLimit(q)
	d.requests[q.ID] = q
	return q
}

// objectiveWaitLimit says until when a request may be held for its objective's sake: a part of what its program has left,
// else what the objective leaves beside a usual call's start.
func (d *Dispatcher) objectiveWaitLimit(q *request) Instant {
	minWait := q.TargetLatency / freeWaitDivisor
	switch {
	case q.ProgramTimeLeft > 0:
		return d.now.Add(max(minWait, q.ProgramTimeLeft/programWaitDivisor))
	case q.TargetLatency > 0:
		expectedFirstByte := d.estimate(d.service(q.Service), q).firstByte()
		return d.now.Add(max(minWait, q.TargetLatency-expectedFirstByte))
	}
	return math.MaxInt64
}

// send passes a request on.
func (d *Dispatcher) send(s *service, q *request, e *endpoint) {
	q.endpoint, q.sentAt = e, d.now
	q.overdueAt = d.now.Add(overdueFactor*d.estimate(s, q).firstByte() + minOverdueDelay)
	q.attempt++
	if e.Engine != nil {
		q.pendingPrefillTokens = q.uncachedTokens(d.now, e)
		admission.Smooth(&s.meanUncachedTokens, q.minUncachedTokens)
		e.prefixes.add(d.now, q.Prefix, e.Engine.KVCapacityTokens)
	}
	e.callSent(q)
	s.inFlight++
	d.effects.Sends = append(d.effects.Sends, Send{Request: q.ID, Attempt: q.attempt, Instance: e.ID,
		Address: e.Address, Timeout: d.timeout(s, q), Priority: d.priority(s, q)})
}

// ResponseStarted notes the first byte or event of an answer, which has gone to the client.
func (d *Dispatcher) ResponseStarted(now Instant, id RequestID) Effects {
	d.beginEvent(now)
	if q := d.requests[id]; q != nil && q.endpoint != nil {
		q.responseStarted = true
		d.observeStart(d.service(q.Service), q)
		q.endpoint.pendingPrefillTokens -= q.pendingPrefillTokens
		q.pendingPrefillTokens = 0
		q.endpoint.recordResponse(d.now)
		d.schedule(d.service(q.Service))
	}
	return d.finishEvent()
}

// Cancel notes that the client waits no more. A call that is out is called off by the caller, and its end
// told with AttemptEnded like any other.
func (d *Dispatcher) Cancel(now Instant, id RequestID) Effects {
	d.beginEvent(now)
	if q := d.requests[id]; q != nil {
		s := d.service(q.Service)
		q.cancelled = true
		d.observeEnd(s, q)
		if q.endpoint == nil {
			s.removeQueued(q)
			d.removeRequest(q)
		}
		d.schedule(s)
	}
	return d.finishEvent()
}

// StopBy tells that the sender's process ends at an instant. It is a deadline of every request from then on: what is
// held is refused once its wait plus a usual call would pass it.
func (d *Dispatcher) StopBy(now, end Instant) Effects {
	d.beginEvent(now)
	d.stopAt = end
	for _, q := range d.requests {
		q.expiresAt = min(q.expiresAt, end)
	}
	d.scheduleAll()
	return d.finishEvent()
}

// Tick tells the time.
func (d *Dispatcher) Tick(now Instant) Effects {
	d.beginEvent(now)
	d.scheduledWake = d.now
	return d.finishEvent()
}

// timeout bounds an attempt: by the time that the request has, or sooner where another receiver may run it
// after a machine that has fallen silent.
func (d *Dispatcher) timeout(s *service, q *request) time.Duration {
	remaining := q.expiresAt.Sub(d.now)
	expected := d.estimate(s, q).total()
	limit := max(minAttemptTimeout, attemptTimeoutFactor*expected)
	if q.idempotent() && len(q.ranOn)+1 < q.attemptLimit() && remaining-limit >= 2*expected {
		return limit
	}
	return remaining
}
