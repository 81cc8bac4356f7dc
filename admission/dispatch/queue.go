package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxQueueLength bounds a service's queue.
	maxQueueLength = 1024
	// shedThreshold is the fraction of a service's slots in use below which nothing is refused for its latency
	// objective.
	shedThreshold = 0.5
	// programWaitDivisor divides a program's remaining time to give the longest wait of one turn: more turns follow.
	programWaitDivisor = 3
	// freeWaitDivisor divides the target latency to give the wait that costs a request nothing even if it is refused
	// in the end.
	freeWaitDivisor = 4
	// minTimeLeftDivisor divides the target latency to give the least time that a call must have left: with less, no
	// receiver has a real chance to run it.
	minTimeLeftDivisor = 10
	// healthyDivisor is the inverse of the fraction of a pool that must be healthy for the rest to be left out.
	healthyDivisor = 3
	// retryAfterJitter is the largest fraction that is added to a refusal's Retry-After at random, so that requests
	// refused together do not return together.
	retryAfterJitter = 0.25
	// minWakeDelay is the least time until the next wake-up: nothing changes by time alone in less.
	minWakeDelay = time.Millisecond
)

// waitEstimate estimates how long the queued requests of a service have to wait.
type waitEstimate struct {
	blocked     time.Duration // until the first endpoint takes calls
	interval    time.Duration // between sends from then on
	usable      int           // endpoints that take calls now or later
	hasCapacity bool          // the slots in use are below shedThreshold
}

// wait estimates the time until the request at a queue position is sent; the head has position 0.
func (e waitEstimate) wait(position int) time.Duration {
	return e.blocked + time.Duration(position+1)*e.interval
}

// estimateWait assumes that each call in flight frees its slot after the mean call duration.
func (s *service) estimateWait(now Instant) waitEstimate {
	estimate := waitEstimate{blocked: time.Duration(math.MaxInt64)}
	parallelCalls := 0
	for _, e := range s.endpoints {
		if !e.usable() {
			continue
		}
		estimate.usable++
		blocked := max(0, e.blockedUntil.Sub(now), e.backoffUntil.Sub(now))
		estimate.blocked = min(estimate.blocked, blocked)
		if blocked <= defaultPause {
			parallelCalls += max(1, len(e.inFlight))
		}
	}
	used, total := s.slotUsage(now)
	if estimate.usable == 0 {
		estimate.blocked = defaultPause
	}
	estimate.interval = time.Duration(s.meanDuration / float64(max(1, parallelCalls)))
	estimate.hasCapacity = estimate.usable == 0 || used < shedThreshold*float64(total)
	return estimate
}

// slotUsage estimates how many of a service's slots are in use, and returns their total.
func (s *service) slotUsage(now Instant) (used float64, total int) {
	assumed := s.assumedLoad(now)
	for _, e := range s.endpoints {
		if e.usable() {
			used += e.load(now, assumed)
			total += e.concurrencyLimit()
		}
	}
	return used, total
}

// schedule decides which queued requests of a service are sent or refused, and when to look at them again.
func (d *Dispatcher) schedule(s *service) {
	if len(s.queue) == 0 {
		return
	}
	d.sendQueued(s)
	d.refuseUnservable(s)
	d.shed(s)
	d.planWake(s)
}

// sendQueued sends requests from the head of the queue while endpoints are free. A request that can use none of them
// does not block those behind it, as order is kept per endpoint.
func (d *Dispatcher) sendQueued(s *service) {
	free := d.freeEndpoints(s)
	for i := 0; i < len(s.queue) && len(free) > 0; {
		q := s.queue[i]
		if d.hasNoTime(s, q) {
			d.refuse(s, q, 0, TooLate)
			continue
		}
		e := d.chooseEndpoint(s, q, free)
		if e == nil {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		d.send(s, q, e)
		if e.allowance(d.now) == 0 || !e.healthy(d.now) && !e.usableAsFallback(d.now) {
			free = slices.DeleteFunc(free, func(other *endpoint) bool { return other == e })
		}
	}
}

// hasNoTime reports whether an expected call exceeds the request's remaining time, or hardly any time remains. If no
// call is in flight, the expected duration is ignored: an outdated estimate must not refuse everything for ever.
func (d *Dispatcher) hasNoTime(s *service, q *request) bool {
	remaining := q.expiresAt.Sub(d.now)
	return remaining < max(minWakeDelay, q.TargetLatency/minTimeLeftDivisor) || s.inFlight > 0 && d.missesDeadline(s, q, 0)
}

// freeEndpoints returns the endpoints that may get a call now. If too few of the pool are healthy, it includes those
// that are usable as a fallback.
func (d *Dispatcher) freeEndpoints(s *service) []*endpoint {
	healthy, usable := 0, 0
	for _, e := range s.endpoints {
		if e.healthy(d.now) {
			healthy++
		}
		if e.usable() {
			usable++
		}
	}
	fewHealthy := healthy*healthyDivisor < usable
	d.free = d.free[:0]
	for _, e := range s.endpoints {
		if e.allowance(d.now) > 0 && (e.healthy(d.now) || fewHealthy && e.usableAsFallback(d.now)) {
			d.free = append(d.free, e)
		}
	}
	return d.free
}

// missesDeadline reports whether the wait and an expected call exceed the request's remaining time.
func (d *Dispatcher) missesDeadline(s *service, q *request, wait time.Duration) bool {
	return d.now.Add(wait+d.estimate(s, q).total()) > q.expiresAt
}

// refuseUnservable refuses requests that cannot be answered in time or that no receiver can run. While no receiver is
// known at all, a request first waits as long as that costs it nothing, as the list may be about to arrive.
func (d *Dispatcher) refuseUnservable(s *service) {
	estimate := s.estimateWait(d.now)
	for i := 0; i < len(s.queue); {
		q := s.queue[i]
		wait := estimate.wait(i)
		noReceivers := estimate.usable == 0 && d.now >= q.submittedAt.Add(q.TargetLatency/freeWaitDivisor)
		if noReceivers || d.missesDeadline(s, q, wait) || !d.hasCandidate(s, q) && estimate.usable > 0 {
			d.refuse(s, q, wait, TooLate)
			continue
		}
		i++
	}
}

// hasCandidate reports whether some receiver may still run the request.
func (d *Dispatcher) hasCandidate(s *service, q *request) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.usable() && !q.mayHaveRunOn(e) })
}

// shed bounds the queue by refusing requests. Where a request would wait longer than its objective allows, the least
// urgent one up to its position is refused; requests of running programs are refused last and the newest first. So
// less urgent requests are not served more often than more urgent ones. Nothing is refused for its objective while
// the service has capacity.
func (d *Dispatcher) shed(s *service) {
	for len(s.queue) > 0 {
		estimate := s.estimateWait(d.now)
		index := d.firstOverLimit(s, estimate)
		if index < 0 {
			return
		}
		victim := leastUrgent(s.queue[:index+1])
		if victim == nil {
			return
		}
		d.refuse(s, victim, max(estimate.interval, estimate.wait(len(s.queue)-1)-victim.mayWaitUntil.Sub(victim.submittedAt)), Overloaded)
	}
}

// firstOverLimit returns the first queue position that exceeds the length limit or whose wait exceeds what its
// request allows, or -1.
func (d *Dispatcher) firstOverLimit(s *service, estimate waitEstimate) int {
	for i, q := range s.queue {
		if i >= maxQueueLength || !estimate.hasCapacity && d.now.Add(estimate.wait(i)) > q.mayWaitUntil {
			return i
		}
	}
	return -1
}

// leastUrgent returns the request to refuse, or nil if all may have run already: what those have cost would be lost.
func leastUrgent(queue []*request) *request {
	var candidate *request
	for _, q := range queue {
		if !q.mayHaveRun && (candidate == nil || q.compareUrgency(candidate) <= 0) {
			candidate = q
		}
	}
	return candidate
}

// compareUrgency orders requests by urgency; it is negative if q is refused before other.
func (q *request) compareUrgency(other *request) int {
	if c := cmp.Compare(other.Priority, q.Priority); c != 0 {
		return c
	}
	if q.ProgramStarted != other.ProgramStarted {
		if other.ProgramStarted {
			return -1
		}
		return 1
	}
	return cmp.Compare(other.seq, q.seq)
}

// refuse answers a request at once. A request that has not run gets a Retry-After; one that may have run is not
// reported as unexecuted.
func (d *Dispatcher) refuse(s *service, q *request, wait time.Duration, reason Reason) {
	s.removeQueued(q)
	refusal := Refusal{Request: q.ID, Status: q.failureStatus, MayHaveRun: q.mayHaveRun, Reason: reason}
	if !q.mayHaveRun {
		refusal.Status = StatusServiceUnavailable
		spread := 1 + retryAfterJitter*d.random.Float64()
		refusal.RetryAfter = time.Duration(spread * float64(max(wait, minWakeDelay)))
	}
	d.effects.Refusals = append(d.effects.Refusals, refusal)
	d.removeRequest(q)
}

// planWake requests a wake-up for the next time at which time alone changes what can be done for a service.
func (d *Dispatcher) planWake(s *service) {
	if len(s.queue) == 0 {
		return
	}
	next := Instant(math.MaxInt64)
	consider := func(at Instant) {
		if at > d.now {
			next = min(next, at)
		}
	}
	for _, e := range s.endpoints {
		if e.usable() {
			consider(e.blockedUntil)
			consider(e.backoffUntil)
			if e.reported.valid {
				consider(e.reported.measuredAt.Add(defaultPause))
			}
		}
	}
	estimate := s.estimateWait(d.now)
	for i, q := range s.queue {
		consider(q.expiresAt.Add(-estimate.wait(i) - d.estimate(s, q).total() + 1))
		consider(q.mayWaitUntil.Add(-estimate.wait(i) + 1))
		if estimate.usable == 0 {
			consider(q.submittedAt.Add(q.TargetLatency / freeWaitDivisor))
		}
	}
	d.nextWake = min(d.nextWake, max(next, d.now.Add(minWakeDelay)))
}
