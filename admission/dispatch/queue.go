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
	// shedThreshold of a service's places taken is the least at which anything is refused for its objective.
	shedThreshold = 0.5
	// programWaitDivisor of what a program has left is what one wait may take: there are more turns to come.
	programWaitDivisor = 3
	// freeWaitDivisor is the part of the objective for which a request may be held at no price where it is refused
	// after all.
	freeWaitDivisor = 4
	// minTimeLeftDivisor is the part of the objective that a call must have: with less, no receiver can be said to be
	// offered it.
	minTimeLeftDivisor = 10
	// healthyDivisor is the part of a pool that must be good for the rest to be done without.
	healthyDivisor = 3
	// retryAfterJitter of the told wait is added by chance, so that those refused together do not come back together.
	retryAfterJitter = 0.25
	// minWakeDelay is the least time to the next wake: time alone changes nothing in less.
	minWakeDelay = time.Millisecond
)

// waitEstimate is how long the held requests of a service have to wait.
type waitEstimate struct {
	blocked     time.Duration // until any receiver takes calls at all
	interval    time.Duration // between releases from then on
	usable      int           // receivers that take calls now or later
	hasCapacity bool          // under roomShare of the places are taken
}

// wait estimates the time until the request at a place in the queue goes, the head's being 0.
func (e waitEstimate) wait(position int) time.Duration {
	return e.blocked + time.Duration(position+1)*e.interval
}

// estimateWait: each call out frees its place after a usual call.
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

// slotUsage gives how many of a service's places are thought to be taken, and how many there are.
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

// schedule decides for a service what goes, what is refused and when time alone next changes something.
func (d *Dispatcher) schedule(s *service) {
	if len(s.queue) == 0 {
		return
	}
	d.sendQueued(s)
	d.refuseUnservable(s)
	d.shed(s)
	d.planWake(s)
}

// sendQueued sends from the head on while receivers are free. A request that can use none of them lets others
// by, as each bucket has its own order.
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

// hasNoTime: a usual call passes the time that the request has, or hardly any is left. Where nothing is out
// one goes in spite of its usual call: an old mean must not refuse all for ever.
func (d *Dispatcher) hasNoTime(s *service, q *request) bool {
	remaining := q.expiresAt.Sub(d.now)
	return remaining < max(minWakeDelay, q.TargetLatency/minTimeLeftDivisor) || s.inFlight > 0 && d.missesDeadline(s, q, 0)
}

// freeEndpoints finds the receivers that may get a call now. Never is most of a pool done without: then the
// least bad are tried.
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

// missesDeadline: the wait and a usual call pass the time that the request has.
func (d *Dispatcher) missesDeadline(s *service, q *request, wait time.Duration) bool {
	return d.now.Add(wait+d.estimate(s, q).total()) > q.expiresAt
}

// refuseUnservable refuses what cannot be answered in time, and what no receiver can run; where no receiver is
// known at all, after as long as a request may be held for nothing, as one may be a moment late.
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

// hasCandidate: some receiver may still run the request.
func (d *Dispatcher) hasCandidate(s *service, q *request) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.usable() && !q.mayHaveRunOn(e) })
}

// shed bounds a queue that outgrows its receivers. Where a request would wait longer than its objective
// bears, the least urgent before it, or itself, is refused, those of programs under way last and the newest
// first: a less urgent kind must not be served more often than a more urgent one. Nothing is refused while
// there is room.
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

// firstOverLimit finds the first place in the queue that waits longer than its request bears; below 0 if none
// does.
func (d *Dispatcher) firstOverLimit(s *service, estimate waitEstimate) int {
	for i, q := range s.queue {
		if i >= maxQueueLength || !estimate.hasCapacity && d.now.Add(estimate.wait(i)) > q.mayWaitUntil {
			return i
		}
	}
	return -1
}

// leastUrgent finds whom to refuse; nil if all may have run, as what they have cost would be lost.
func leastUrgent(queue []*request) *request {
	var candidate *request
	for _, q := range queue {
		if !q.mayHaveRun && (candidate == nil || q.compareUrgency(candidate) <= 0) {
			candidate = q
		}
	}
	return candidate
}

// compareUrgency orders requests by urgency: below 0 if q is refused before o.
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

// refuse answers a request at once. What has not run is told when to come back; what may have run is not told
// that it has not.
func (d *Dispatcher) refuse(s *service, q *request, wait time.Duration, reason Reason) {
	s.removeQueued(q)
	refusal := Refusal{Request: q.ID, Status: q.failureStatus, MayHaveRun: q.mayHaveRun, Reason: reason}
	if !q.mayHaveRun {
		refusal.Status = StatusServiceUnavailable
		spread := 1 + retryAfterJitter*d.random.Unit()
		refusal.RetryAfter = time.Duration(spread * float64(max(wait, minWakeDelay)))
	}
	d.effects.Refusals = append(d.effects.Refusals, refusal)
	d.removeRequest(q)
}

// planWake asks to be woken when time alone next changes what may be done for a service.
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
