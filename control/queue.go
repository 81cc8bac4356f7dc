package control

import (
	"cmp"
	"math"
	"slices"
)

// The queue: what is refused because it cannot be delivered in time, or would earn least.

// refuseLate refuses what cannot be delivered in time: wait plus a usual call passes the validity period,
// or the time for a repeat ends before the wait does. At a contended destination the SLA time is the end: a
// call spent on a late text is one that a fresh text of some other sender is refused.
func (s *Sender) refuseLate(d *destination) {
	wait, contended := Time(math.MaxInt64), true
	for _, r := range d.receivers {
		if r.listing == Up {
			wait = min(wait, max(0, r.bucket.waitUntil-s.now, r.bucket.heldUntil-s.now))
			contended = contended && r.bucket.fulls > 0 && s.smallPart(r) // the last call was refused
		}
	}
	if wait == math.MaxInt64 { // the list names no receiver now; a later one may
		wait, contended = 0, false
	}
	for _, t := range slices.Clone(d.queue) {
		end := t.validUntil
		if contended && !t.untried() {
			end = min(end, t.wantedBy)
		}
		if s.now+wait+s.usual(t) > end || !s.mayRepeat(t, nil) || s.now+wait >= s.repeatEnd(t) {
			s.giveUp(t, wait)
		}
	}
	s.shed(d, wait)
}

// untried: a restart found it taken on, and nothing was sent for it yet: it is tried for as long as its time
// allows, as its client has been told that it will be.
func (t *text) untried() bool { return t.owed && t.submits == 0 }

// smallPart: this sender's part of the limit is under a call an SLA time: what frees mostly goes to others.
func (s *Sender) smallPart(r *receiver) bool {
	return s.capacity(r)*float64(s.longestSLA) < s.senders()*float64(Second)
}

// shed bounds a queue that outgrows its destination: what would wait past the longest SLA time only makes
// everything behind it late too. The texts that would earn least by then are refused at once, and the
// client told when to come back, while the rest keep their order.
func (s *Sender) shed(d *destination, wait Time) {
	if s.strain < 0.2 && len(d.receivers) > 0 && s.smallPart(d.receivers[0]) {
		return
	}
	rate, free := s.drain(d), 0 // what may go now does not wait
	for i, r := range d.receivers {
		if (i == 0 || r.apart) && s.now >= r.restUntil && s.mayReach(r) {
			free += max(0, s.room(r.bucket)-r.bucket.flight)
		}
	}
	for rate > 0 {
		var least *text
		queued, worth := 0, math.Inf(1)
		for _, t := range d.queue {
			if !s.hisTurn(t) { // it waits for its key, not for the allowance
				continue
			}
			queued++
			at := s.now + wait + Time(float64(queued)/rate*float64(Second)) + s.usual(t)
			if w := s.worth(t, at); w <= worth && !t.untried() {
				least, worth = t, w
			}
		}
		if least == nil || queued-free < 2 || float64(queued-free) <= rate*float64(s.longestSLA)/float64(Second) {
			return
		}
		s.giveUp(least, wait+Time(float64(queued)/rate*float64(Second))-s.longestSLA)
	}
}

// worth is the revenue of a text delivered at a time: full by its SLA time, then less and less.
func (s *Sender) worth(t *text, at Time) float64 {
	p := t.product
	value, late := p.value*t.within, float64(at-t.wantedBy)
	switch {
	case at > t.validUntil:
		return 0
	case late <= 0:
		return value
	case s.set["Specifics.Fades"] == "halves":
		return value * max(p.lateKeep, math.Pow(0.5, late/float64(p.sla)))
	}
	return value * (1 - (1-p.lateKeep)*late/float64(max(1, t.validUntil-t.wantedBy)))
}

// within is how much of a text's revenue counts, as its brand sends over its share of late, as far as this
// sender's even part of either shows: beyond a share little does.
func (s *Sender) within(b *brand) float64 {
	if b == nil || b.part <= 0 {
		return 1
	}
	span, over := float64(max(1, s.longestSLA)), s.number("OverShareWorth", 1)
	return over + (1-over)*min(1, (1+b.part*span/float64(Second))/b.sent.Add(1, int64(s.now), span))
}

// drain is how many texts a second this sender may hope to get through to a destination: what got through
// of late, and at least its part of the capacity, or where none is told what the window lets through. It is
// nought before the first answer.
func (s *Sender) drain(d *destination) float64 {
	rate := s.flow(d, 0)
	for _, r := range d.receivers {
		if capacity := s.capacity(r); capacity > 0.01 {
			rate = max(rate, capacity/s.senders())
		} else if d.pace > 0 {
			rate = max(rate, float64(r.bucket.window)*float64(Second)/d.pace)
		}
	}
	return rate
}

// flow keeps the texts a second that got through over the longest SLA time or so.
func (s *Sender) flow(d *destination, delivered float64) float64 {
	span := float64(max(1, s.longestSLA))
	return d.through.Add(delivered, int64(s.now), span) * float64(Second) / span
}

// usual is how long a call for the text takes as a rule.
func (s *Sender) usual(t *text) Time { return Time(cmp.Or(t.dest.pace, t.product.pace)) }
