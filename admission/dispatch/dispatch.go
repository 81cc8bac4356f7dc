// Package dispatch decides for one proxy when and to which receiver each request is sent, and which requests are refused.
//
// It has no side effects: time comes in with each event, randomness from a seed, and the resulting actions are returned
// as Effects. One goroutine owns a Dispatcher, passes events to it and carries out the effects:
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
// Each receiver endpoint has an allowance: its slots minus the load that it last reported and the calls sent to it since.
// Requests are queued in order of arrival. An endpoint gets no calls until its Retry-After has passed, and one call at a
// time until its first response. A request is refused once its wait plus an expected call would exceed its deadline.
//
// Invariants: a request has at most one call in flight; it runs on at most MaxAttempts receivers; one that may have run
// is retried only if its kind allows it, and on another receiver; each submitted request ends exactly once, with a
// response, a refusal or a cancellation.
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

// New returns a dispatcher for a proxy in a zone. The same seed and events lead to the same decisions.
func New(seed uint64, zone string) *Dispatcher {
	return &Dispatcher{zone: zone, random: admission.NewPCG(seed), services: map[string]*service{},
		endpoints: map[InstanceID]*endpoint{}, requests: map[RequestID]*request{}, estimates: map[callClass]*callEstimate{}}
}

// beginEvent starts the handling of an event.
func (d *Dispatcher) beginEvent(now Instant) {
	d.now = max(d.now, now)
	d.nextWake = math.MaxInt64
	d.effects = Effects{Sends: d.effects.Sends[:0], Refusals: d.effects.Refusals[:0]}
}

// finishEvent completes the handling of an event. It requests a wake-up only if no earlier one is scheduled. A
// scheduled wake-up that is already due is handled here, as the caller may replace its timer by the next one before
// it fires.
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

// SetReceivers replaces the list of receivers. Receivers that it omits get no more calls; their calls in flight still
// end, and state that still restricts them is kept, as a later list may name them again.
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

// scheduleAll schedules all services with queued requests, in order of name, so that runs are reproducible.
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

// ApplyReport records the load that a receiver reported.
func (d *Dispatcher) ApplyReport(now Instant, instance InstanceID, report Report) Effects {
	d.beginEvent(now)
	if e := d.endpoints[instance]; e != nil && e.applyReport(d.now, report) {
		d.schedule(d.service(e.Service))
	}
	return d.finishEvent()
}

// Submit adds a request, which will end exactly once. It panics if an unfinished request has the same id.
func (d *Dispatcher) Submit(now Instant, r Request) Effects {
	d.beginEvent(now)
	if d.requests[r.ID] != nil {
		panic(fmt.Sprintf("dispatch: request %q submitted while one with that id is unfinished", r.ID))
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

// objectiveWaitLimit returns until when a request may stay queued for the sake of its latency objective: for a
// fraction of its program's remaining time, or else for what the target latency leaves beside the expected time to
// first byte.
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

// send sends a request to an endpoint.
func (d *Dispatcher) send(s *service, q *request, e *endpoint) {
	q.endpoint, q.sentAt = e, d.now
	q.overdueAt = d.now.Add(overdueFactor*d.estimate(s, q).firstByte() + minOverdueDelay)
	q.attempt++
	if e.Engine != nil {
		q.pendingPrefillTokens = q.uncachedTokens(d.now, e)
		admission.UpdateEWMA(&s.meanUncachedTokens, q.minUncachedTokens)
		e.prefixes.add(d.now, q.Prefix, e.Engine.KVCapacityTokens)
	}
	e.callSent(q)
	s.inFlight++
	d.effects.Sends = append(d.effects.Sends, Send{Request: q.ID, Attempt: q.attempt, Instance: e.ID,
		Address: e.Address, Timeout: d.timeout(s, q), Priority: d.priority(s, q)})
}

// ResponseStarted records that the first byte or event of a response has gone to the client.
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

// Cancel records that the client no longer waits for the request. The caller aborts a call in flight and reports its
// end with AttemptEnded as usual.
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

// StopBy sets the time at which the proxy's process ends. It is a deadline of every request from then on: queued
// requests are refused once their wait plus an expected call would exceed it.
func (d *Dispatcher) StopBy(now, end Instant) Effects {
	d.beginEvent(now)
	d.stopAt = end
	for _, q := range d.requests {
		q.expiresAt = min(q.expiresAt, end)
	}
	d.scheduleAll()
	return d.finishEvent()
}

// Tick advances the time.
func (d *Dispatcher) Tick(now Instant) Effects {
	d.beginEvent(now)
	d.scheduledWake = d.now
	return d.finishEvent()
}

// timeout bounds an attempt by the request's remaining time, or by less if another receiver may run the request after
// one that has stopped responding.
func (d *Dispatcher) timeout(s *service, q *request) time.Duration {
	remaining := q.expiresAt.Sub(d.now)
	expected := d.estimate(s, q).total()
	limit := max(minAttemptTimeout, attemptTimeoutFactor*expected)
	if q.idempotent() && len(q.ranOn)+1 < q.attemptLimit() && remaining-limit >= 2*expected {
		return limit
	}
	return remaining
}
