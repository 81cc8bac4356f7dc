package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// mostHeld bounds a service's queue.
	mostHeld = 1024
	// roomShare of a service's places taken is the least at which anything is refused for its objective.
	roomShare = 0.5
	// finishShare of what a program has left is what one wait may take: there are more turns to come.
	finishShare = 3
	// heldFree is the part of the objective for which a request may be held at no price where it is refused
	// after all.
	heldFree = 4
	// leastOffer is the part of the objective that a call must have: with less, no receiver can be said to be
	// offered it.
	leastOffer = 10
	// leastGood is the part of a pool that must be good for the rest to be done without.
	leastGood = 3
	// retrySpread of the told wait is added by chance, so that those refused together do not come back together.
	retrySpread = 0.25
	// wakeGrain is the least time to the next wake: time alone changes nothing in less.
	wakeGrain = time.Millisecond
)

// outlook is how long the held requests of a service have to wait.
type outlook struct {
	hold   time.Duration // until any receiver takes calls at all
	gap    time.Duration // between releases from then on
	usable int           // receivers that take calls now or later
	room   bool          // under roomShare of the places are taken
}

// wait estimates the time until the request at a place in the queue goes, the head's being 0.
func (o outlook) wait(place int) time.Duration { return o.hold + time.Duration(place+1)*o.gap }

// outlook: each call out frees its place after a usual call.
func (s *service) outlook(now Instant) outlook {
	o := outlook{hold: time.Duration(math.MaxInt64)}
	places := 0
	for _, b := range s.buckets {
		if !b.usable() {
			continue
		}
		o.usable++
		hold := max(0, b.waitUntil.Sub(now), b.restUntil.Sub(now))
		o.hold = min(o.hold, hold)
		if hold <= defaultPause {
			places += max(1, len(b.out))
		}
	}
	taken, limits := s.places(now)
	if o.usable == 0 {
		o.hold = defaultPause
	}
	o.gap = time.Duration(s.took / float64(max(1, places)))
	o.room = o.usable == 0 || taken < roomShare*float64(limits)
	return o
}

// places gives how many of a service's places are thought to be taken, and how many there are.
func (s *service) places(now Instant) (taken float64, limits int) {
	usual := s.usualLoad(now)
	for _, b := range s.buckets {
		if b.usable() {
			taken += b.load(now, usual)
			limits += b.limit()
		}
	}
	return taken, limits
}

// settle decides for a service what goes, what is refused and when time alone next changes something.
func (d *Dispatcher) settle(s *service) {
	if len(s.queue) == 0 {
		return
	}
	d.release(s)
	d.refuseLate(s)
	d.shed(s)
	d.plan(s)
}

// release sends from the head on while receivers are free. A request that can use none of them lets others
// by, as each bucket has its own order.
func (d *Dispatcher) release(s *service) {
	free := d.freeBuckets(s)
	for i := 0; i < len(s.queue) && len(free) > 0; {
		q := s.queue[i]
		if d.hopeless(s, q) {
			d.giveUp(s, q, 0, TooLate)
			continue
		}
		b := d.choose(s, q, free)
		if b == nil {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		d.send(s, q, b)
		if b.allowance(d.now) == 0 || !b.good(d.now) && !b.bearable(d.now) {
			free = slices.DeleteFunc(free, func(o *bucket) bool { return o == b })
		}
	}
}

// hopeless: a usual call passes the time that the request has, or hardly any is left. Where nothing is out
// one goes in spite of its usual call: an old mean must not refuse all for ever.
func (d *Dispatcher) hopeless(s *service, q *request) bool {
	left := q.end.Sub(d.now)
	return left < max(wakeGrain, q.TargetLatency/leastOffer) || s.out > 0 && d.late(s, q, 0)
}

// freeBuckets finds the receivers that may get a call now. Never is most of a pool done without: then the
// least bad are tried.
func (d *Dispatcher) freeBuckets(s *service) []*bucket {
	good, usable := 0, 0
	for _, b := range s.buckets {
		if b.good(d.now) {
			good++
		}
		if b.usable() {
			usable++
		}
	}
	few := good*leastGood < usable
	d.free = d.free[:0]
	for _, b := range s.buckets {
		if b.allowance(d.now) > 0 && (b.good(d.now) || few && b.bearable(d.now)) {
			d.free = append(d.free, b)
		}
	}
	return d.free
}

// late: the wait and a usual call pass the time that the request has.
func (d *Dispatcher) late(s *service, q *request, wait time.Duration) bool {
	return d.now.Add(wait+d.usual(s, q).whole()) > q.end
}

// refuseLate refuses what cannot be answered in time, and what no receiver can run; where no receiver is
// known at all, after as long as a request may be held for nothing, as one may be a moment late.
func (d *Dispatcher) refuseLate(s *service) {
	o := s.outlook(d.now)
	for i := 0; i < len(s.queue); {
		q := s.queue[i]
		wait := o.wait(i)
		none := o.usable == 0 && d.now >= q.arrived.Add(q.TargetLatency/heldFree)
		if none || d.late(s, q, wait) || !d.hasReceiver(s, q) && o.usable > 0 {
			d.giveUp(s, q, wait, TooLate)
			continue
		}
		i++
	}
}

// hasReceiver: some receiver may still run the request.
func (d *Dispatcher) hasReceiver(s *service, q *request) bool {
	return slices.ContainsFunc(s.buckets, func(b *bucket) bool { return b.usable() && !q.ranAt(b) })
}

// shed bounds a queue that outgrows its receivers. Where a request would wait longer than its objective
// bears, the least urgent before it, or itself, is refused, those of programs under way last and the newest
// first: a less urgent kind must not be served more often than a more urgent one. Nothing is refused while
// there is room.
func (d *Dispatcher) shed(s *service) {
	for len(s.queue) > 0 {
		o := s.outlook(d.now)
		over := d.firstOver(s, o)
		if over < 0 {
			return
		}
		least := leastUrgent(s.queue[:over+1])
		if least == nil {
			return
		}
		d.giveUp(s, least, max(o.gap, o.wait(len(s.queue)-1)-least.mayWaitUntil.Sub(least.arrived)), Overloaded)
	}
}

// firstOver finds the first place in the queue that waits longer than its request bears; below 0 if none
// does.
func (d *Dispatcher) firstOver(s *service, o outlook) int {
	for i, q := range s.queue {
		if i >= mostHeld || !o.room && d.now.Add(o.wait(i)) > q.mayWaitUntil {
			return i
		}
	}
	return -1
}

// leastUrgent finds whom to refuse; nil if all may have run, as what they have cost would be lost.
func leastUrgent(queue []*request) *request {
	var least *request
	for _, q := range queue {
		if !q.mayHaveRun && (least == nil || q.before(least) <= 0) {
			least = q
		}
	}
	return least
}

// before orders requests by urgency: below 0 if q is refused before o.
func (q *request) before(o *request) int {
	if c := cmp.Compare(o.Priority, q.Priority); c != 0 {
		return c
	}
	if q.ProgramStarted != o.ProgramStarted {
		if o.ProgramStarted {
			return -1
		}
		return 1
	}
	return cmp.Compare(o.seq, q.seq)
}

// giveUp answers a request at once. What has not run is told when to come back; what may have run is not told
// that it has not.
func (d *Dispatcher) giveUp(s *service, q *request, wait time.Duration, reason Reason) {
	s.unhold(q)
	refusal := Refusal{Request: q.ID, Status: q.failure, MayHaveRun: q.mayHaveRun, Reason: reason}
	if !q.mayHaveRun {
		refusal.Status = StatusServiceUnavailable
		spread := 1 + retrySpread*d.chance.Unit()
		refusal.RetryAfter = time.Duration(spread * float64(max(wait, wakeGrain)))
	}
	d.effects.Refusals = append(d.effects.Refusals, refusal)
	d.forget(q)
}

// plan asks to be woken when time alone next changes what may be done for a service.
func (d *Dispatcher) plan(s *service) {
	if len(s.queue) == 0 {
		return
	}
	next := Instant(math.MaxInt64)
	due := func(at Instant) {
		if at > d.now {
			next = min(next, at)
		}
	}
	for _, b := range s.buckets {
		if b.usable() {
			due(b.waitUntil)
			due(b.restUntil)
			if b.reading.told {
				due(b.reading.at.Add(defaultPause))
			}
		}
	}
	o := s.outlook(d.now)
	for i, q := range s.queue {
		due(q.end.Add(-o.wait(i) - d.usual(s, q).whole() + 1))
		due(q.mayWaitUntil.Add(-o.wait(i) + 1))
		if o.usable == 0 {
			due(q.arrived.Add(q.TargetLatency / heldFree))
		}
	}
	d.wake = min(d.wake, max(next, d.now.Add(wakeGrain)))
}
