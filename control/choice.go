package control

import (
	"cmp"
	"math"
	"slices"
)

// The choice of a receiver, and the call to it.

// pick finds the receiver for the first held text of a destination that may go; nil if none may.
func (s *Sender) pick(d *destination) *receiver {
	var open []*receiver
	for _, r := range d.receivers {
		if s.now >= r.restUntil && !s.suspect(r) && r.bucket.flight < s.room(r.bucket) && s.mayReach(r) {
			open = append(open, r)
		}
	}
	if len(open) > 1 && len(d.queue) > 0 {
		for _, r := range open {
			r.merit = s.merit(d.queue[0], r)
		}
	}
	slices.SortStableFunc(open, func(a, b *receiver) int {
		if c := cmp.Compare(b.merit, a.merit); c != 0 {
			return c
		}
		if a.bucket != b.bucket { // routes apart: the free one with most allowance left
			return int(math.Copysign(1, b.bucket.left-a.bucket.left))
		}
		// The latest used, whose connection is warm. The first is drawn: were it the first listed, all
		// senders would choose the same one, whose queue is full while the others stand idle.
		return cmp.Or(len(a.calls)-len(b.calls), int(b.used-a.used), cmp.Compare(a.rank, b.rank))
	})
	for _, t := range d.queue {
		for _, r := range open {
			if s.mayRepeat(t, r) && s.hisTurn(t) {
				return r
			}
		}
	}
	return nil
}

// merit is what a text brings by way of a receiver: its revenue when it would be delivered there, less a fee
// of a route of its own, which is a share of the mean text's revenue.
func (s *Sender) merit(t *text, r *receiver) float64 {
	return s.worth(t, s.now+s.expected(r)) - r.fee*s.meanValue
}

// expected is how long a call to a receiver takes just now: as its late ones did, and at least as long as one
// has been out already; as at the destination as a rule once what it told is old.
func (s *Sender) expected(r *receiver) Time {
	pace := Time(r.dest.pace)
	if s.now-r.answered < 10*Second {
		pace = Time(r.pace)
	}
	if len(r.calls) > 0 {
		pace = max(pace, s.now-r.calls[0].sent)
	}
	return pace
}

// send opens one call to a receiver and lets as many held texts ride in it as its kind bundles.
func (s *Sender) send(r *receiver) {
	c := &call{to: r, sent: s.now}
	if idle := s.now - r.idleSince; r.connected && len(r.calls) == 0 && idle < s.idleTime() {
		c.idle = idle
	}
	for _, t := range slices.Clone(r.dest.queue) {
		if len(c.texts) < max(1, r.bundle) && s.mayRepeat(t, r) && s.hisTurn(t) {
			s.submit(t, c)
		}
	}
	r.calls = append(r.calls, c)
	s.recent(r) // forgets the older ones
	r.weighed = append(r.weighed, s.now)
	r.used, r.connected = s.now, true
	r.bucket.flight++
	r.bucket.left--
	s.holdAtNought(r.bucket)
	r.bucket.used = s.seq
	r.dest.flight++
	s.callsOut++
}

// submit sends one text; what is to be done with its result is left in the text.
func (s *Sender) submit(t *text, c *call) {
	i := slices.Index(t.dest.queue, t)
	t.dest.queue = slices.Delete(t.dest.queue, i, i+1)
	sub := &submit{no: t.submits, call: c}
	t.submits++
	t.out = sub
	c.texts = append(c.texts, t)
	t.next = func(r Result) { s.answered(t, sub, r) }
	s.out.Submit(t.id, c.to.id, s.timeout(t))
}
