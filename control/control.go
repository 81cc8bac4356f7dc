// Package control: this file holds every decision of a sender. Its types and the Outlet that it calls are
// in interface.go, its state in state.go.
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
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	defaultPause = Second      // of a bucket that reads nought or refuses, where no wait is told: the design's
	bucketCap    = 1024        // buckets remembered, as many as the document keeps bearer queues
	firstWindow  = 8.0         // calls at once where nothing else bounds them, until experience does
	smoothing    = 0.2         // weight of the newest of a series: about the last ten count
	spare        = 0.125       // share of a limit left for the calls of others that a sender has not seen yet
	goneFor      = 60 * Second // what is listed no more is remembered so long, if it may matter again
)

// New makes an instance. Settings that make no sense are an error that names them.
func New(seed uint64, set Settings, out Outlet) (*Sender, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("setting %w", err)
	}
	s := newState(seed, set, out)
	for _, name := range slices.Sorted(maps.Keys(set)) {
		if strings.HasSuffix(name, "Us") && s.number(name, 0) < 0 {
			return nil, fmt.Errorf("setting %s is a negative time", name)
		}
	}
	for _, name := range []string{"Specifics.MaxCalls", "Permissions.TryLimit", "RequestClasses.count"} {
		if s.number(name, 0) < 1 {
			return nil, fmt.Errorf("setting %s is less than 1 or no number", name)
		}
	}
	s.slots = int(s.number("Specifics.MaxCalls", 1))
	s.readProducts()
	for _, p := range s.products {
		s.longestSLA = max(s.longestSLA, p.sla)
		s.shortestSLA = min(cmp.Or(s.shortestSLA, p.sla), p.sla)
		p.pace = float64(p.sla) / 10 // a guess until the first answer
	}
	s.readBrands()
	return s, nil
}

// Clock tells the time of the calls that follow.
func (s *Sender) Clock(now Time) {
	s.began = cmp.Or(s.began, now)
	s.now = max(s.now, now)
}

// watch asks for the list's changes where they do not come by themselves, at a moment of this sender's: the
// list cannot answer a whole fleet that starts at once. Without a watch drains count as told that were not.
func (s *Sender) watch() {
	switch {
	case s.set["RegistryMode"] != "ask":
	case s.askAt == 0:
		s.askAt = s.now + 1 + s.askApart()
	case s.now >= s.askAt:
		s.askAt = math.MaxInt64
		s.out.Watch()
	}
}

// askApart draws when to ask, within the time in which all senders may, doubled with each try in vain.
func (s *Sender) askApart() Time {
	apart := min(s.span("Contract.AskEveryUs", 10*Second)/2, Time(s.senders())*Second/10)
	return Time(s.chance.unit() * float64(apart<<min(s.asks, 2)))
}

// Unwatched: the list could not be asked, or the watch has ended; what was listed still holds.
func (s *Sender) Unwatched() {
	s.asks++
	s.askAt = s.now + 1 + s.askApart()
}

// Listed takes news of the list; whole: what is not in it is gone.
func (s *Sender) Listed(whole bool, entries []Entry) {
	s.asks = 0
	if whole {
		for _, r := range s.receivers {
			r.listing = Removed
		}
	}
	for _, e := range entries {
		r := s.receivers[e.Receiver]
		if r == nil {
			if e.Listing == Removed {
				continue
			}
			r = &receiver{id: e.Receiver, dest: s.destination(e.Destination), kind: e.Kind, rank: s.chance.unit(),
				apart: s.perKind("Specifics.RoutesApart", e.Kind) == "true"}
			r.bundle, _ = strconv.Atoi(s.perKind("Specifics.BundleMax", e.Kind))
			s.receivers[e.Receiver] = r
			byID := func(o *receiver, id ReceiverID) int { return cmp.Compare(o.id, id) }
			at, _ := slices.BinarySearchFunc(r.dest.receivers, r.id, byID)
			r.dest.receivers = slices.Insert(r.dest.receivers, at, r)
		}
		if e.Listing == Removed && r.listing != Removed {
			s.gone = append(s.gone, r)
		}
		r.listing, r.rate, r.zone = e.Listing, e.Rate, e.Zone
		if r.apart {
			r.fee, _ = strconv.ParseFloat(s.perName("Specifics.Carriage", "FailureDomains", r.zone), 64)
		}
	}
	if whole {
		s.gone = slices.Collect(maps.Values(s.receivers))
	}
	s.forget()
}

// forget drops the receivers that are gone, so that nothing outlives them in a sender that runs for long: at
// once, or after a time where an outage is to be remembered, as they may be listed again, or where the
// destination has no other, as its next one may be a moment late. Texts and calls keep theirs.
func (s *Sender) forget() {
	s.gone = slices.DeleteFunc(s.gone, func(r *receiver) bool {
		d, b, last := r.dest, s.bucketOf(r), len(r.dest.receivers) == 1
		warm := r.fails == 0 && s.now > r.cold+s.span("Contract.RampTimeUs", 0) && !s.shut(b)
		r.left = cmp.Or(r.left, s.now)
		switch {
		case r.listing != Removed:
			r.left = 0
			return true
		case len(r.calls) > 0 || s.now < b.waitUntil || last && d.busy || (last || !warm) && s.now < r.left+goneFor:
			return false
		}
		delete(s.receivers, r.id)
		d.receivers = slices.DeleteFunc(d.receivers, func(o *receiver) bool { return o == r })
		if r.apart || last {
			delete(s.buckets, b.key)
		}
		if last {
			delete(s.destinations, d.id)
		}
		return true
	})
}

// bucketOf gives a receiver's bucket: its destination's, or its own where routes are apart. Past the cap
// the least recently used goes, unless a wait, a hold or a call still hangs on it.
func (s *Sender) bucketOf(r *receiver) *bucket {
	key := bucketKey{dest: r.dest.id}
	if r.apart {
		key.route = r.id
	}
	b := s.buckets[key]
	if b == nil {
		if len(s.buckets) >= bucketCap {
			var oldest *bucket
			for _, o := range s.buckets {
				idle := o.flight == 0 && s.now >= max(o.waitUntil, o.heldUntil)
				if idle && (oldest == nil || o.used < oldest.used) { // no two were used last by one text
					oldest = o
				}
			}
			if oldest != nil {
				delete(s.buckets, oldest.key)
			}
		}
		b = &bucket{key: key, window: firstWindow}
		s.buckets[key] = b
	}
	return b
}

// Take takes a text in; from here on it is owed one final answer. Where the list names other destinations but
// not its own, it is refused before anything is kept of it, unless it was taken on before a restart.
func (s *Sender) Take(a Arrival) {
	if s.destinations[a.Destination] == nil && len(s.receivers) > 0 && !a.Owed {
		s.out.Nack(a.ID, s.advice(defaultPause))
		return
	}
	p := s.products[a.Product]
	if p == nil { // not in the settings: nothing allows a repeat
		p = &product{name: a.Product, pace: float64(Second) / 10}
		s.products[a.Product] = p
	}
	s.seq++
	t := &text{id: a.ID, seq: s.seq, product: p, dest: s.destination(a.Destination), key: a.Key,
		validUntil: s.now + a.TimeLeft, wantedBy: s.now + p.sla - max(0, p.validity-a.TimeLeft),
		submits: a.Submits, mayHaveRun: a.RanSince > 0, ranSince: a.RanSince, ranZone: a.RanZone,
		within: s.within(s.brands[a.Brand]), owed: a.Owed}
	s.texts[t.id] = t
	t.dest.arrived++
	smooth(&s.meanValue, p.value)
	if p.inOrder && t.key != "" {
		k := s.line(t.key)
		k.texts = append(k.texts, t)
		if t.mayHaveRun { // its call broke with the process before
			k.restUntil = s.now + s.span("Contract.KeyRestUs", 0) + 1
		}
	}
	s.hold(t)
}

// within is how much of a text's revenue counts, as its brand sends over its share of late, as far as this
// sender's even part of either shows: beyond a share little does.
func (s *Sender) within(b *brand) float64 {
	if b == nil || b.part <= 0 {
		return 1
	}
	span, over := float64(max(1, s.longestSLA)), s.number("OverShareWorth", 1)
	return over + (1-over)*min(1, (1+b.part*span/float64(Second))/b.sent.add(1, s.now, span))
}

// hold puts a text in its destination's queue, by arrival: one that comes back stands at the head again.
func (s *Sender) hold(t *text) {
	bySeq := func(o *text, seq int64) int { return cmp.Compare(o.seq, seq) }
	i, _ := slices.BinarySearchFunc(t.dest.queue, t.seq, bySeq)
	t.dest.queue = slices.Insert(t.dest.queue, i, t)
	s.attend(t.dest)
}

// Withdrawn: nobody wants the text any more; a submit of it that is out is called off.
func (s *Sender) Withdrawn(id string) {
	t := s.texts[id]
	if t == nil {
		return
	}
	if t.out != nil && s.set["Permissions.MayCancel"] == "true" {
		s.out.Cancel(t.id, t.out.no)
	}
	s.finish(t)
}

// Started: the answer has begun, the submit is the client's now; its end is still told.
func (s *Sender) Started(id string) {
	if t := s.texts[id]; t != nil {
		t.over = true
	}
}

// finish closes a text; while a submit of it is out it is remembered, so that its end can be told apart.
func (s *Sender) finish(t *text) {
	t.over = true
	t.dest.queue = slices.DeleteFunc(t.dest.queue, func(o *text) bool { return o == t })
	if t.out != nil {
		return
	}
	delete(s.texts, t.id)
	if k := s.keys[t.key]; k != nil && t.product.inOrder {
		k.texts = slices.DeleteFunc(k.texts, func(o *text) bool { return o == t })
		if len(k.texts) == 0 {
			s.forgetKeys()
		}
	}
}

// giveUp ends a text at once: nacked where handing it in again does no harm, else undeliverable.
func (s *Sender) giveUp(t *text, wait Time) {
	p := t.product
	if !t.mayHaveRun || p.repeat == "safe" || (p.repeat == "keyed" && !p.zoned) {
		s.out.Nack(t.id, s.advice(wait))
	} else {
		s.out.Undeliverable(t.id)
	}
	s.finish(t)
}

// mayRepeat is rule 2, for every send: never two submits out, no more than the settings allow, and after
// one that may have run only what the product's kind allows, to where a repeat is known, while it is known.
func (s *Sender) mayRepeat(t *text, r *receiver) bool {
	switch {
	case t.over || t.out != nil || t.submits >= int(s.number("Permissions.TryLimit", 1)):
		return false
	case !t.mayHaveRun || t.product.repeat == "safe":
		return true
	case t.product.repeat == "keyed":
		return s.now < s.repeatEnd(t) && (r == nil || !t.product.zoned || r.zone == t.ranZone)
	}
	return false
}

// repeatEnd is when a text can no longer be sent again; one tenth early, as the clock is rounded down.
func (s *Sender) repeatEnd(t *text) Time {
	if t.mayHaveRun && t.product.repeat == "keyed" {
		return t.ranSince + t.product.window - 1
	}
	return math.MaxInt64
}

// hisTurn is rule 5, for every send: texts of a key one at a time, in order, with the rest between them, and
// none before the platform has heard how the one before it ended.
func (s *Sender) hisTurn(t *text) bool {
	k := s.keys[t.key]
	rested := k == nil || k.untold == 0 && (s.now >= k.restUntil || t.submits > 0)
	return !t.product.inOrder || k == nil || k.texts[0] == t && rested
}

// mayReach is the gate of rules 3, 4 and 6 that every call passes: nothing to a receiver that
// drains or is gone, nothing before a told wait is over, nothing past the budget of one that comes back.
func (s *Sender) mayReach(r *receiver) bool { return s.open(r) && s.withinBudget(r) }

func (s *Sender) open(r *receiver) bool { return r.listing == Up && s.now >= r.bucket.waitUntil }

// Still is asked before a submit that had to wait for its connection leaves. A second's wait for one is
// enough for a repeat to come when it is known no more, and for news of a drain or a wait, which bind it too.
func (s *Sender) Still(id string, no int) bool {
	t := s.texts[id]
	out := t != nil && !t.over && t.out != nil && t.out.no == no
	return out && s.open(t.out.call.to) && s.now < s.repeatEnd(t)
}

// withinBudget is rule 4. A receiver that came back bears a multiple of its present capacity over a window;
// this sender keeps to its part of that. With hundreds of senders that part is a fraction of a call: then a
// draw, new each window, says whether the one call goes, so that all together they send what is borne.
func (s *Sender) withinBudget(r *receiver) bool {
	if !s.struck(r) {
		return true
	}
	if s.now >= r.drawAt {
		r.drawAt, r.draw = s.now+s.span("Contract.FallUs", 2*Second), s.chance.unit()
	}
	return float64(s.recent(r)+1) <= s.budget(r)+r.draw
}

// struck: the receiver is in an outage or back from one, as far as this sender saw. One failure says little,
// or a refusal with the allowance untouched; where the budget is part of a call one of each is too much.
func (s *Sender) struck(r *receiver) bool {
	from := s.now - s.span("Contract.RampTimeUs", 0)
	cold, once := r.cold > 0 && r.cold >= from, r.fails > 0 || r.bucket.refusedFree > max(0, from)
	return r.fails > 1 || once && s.budget(r) < 0.5-spare || cold || s.shut(r.bucket)
}

// shut: refusals are an outage, of all receivers that share the bucket, only if they go on, or bar it, with
// no delivery, for the time in which a cold destination falls; after the last of them, or the end of a told
// wait, it is as warm as one that came back then. All who were told one wait would else come back at once.
func (s *Sender) shut(b *bucket) bool {
	last := max(b.refusedAt, b.waitUntil)
	return b.refusedSince > 0 && last-b.refusedSince > s.span("Contract.FallUs", 2*Second) &&
		s.now <= last+s.span("Contract.RampTimeUs", 0)
}

// budget is how many calls this sender may have sent to a receiver within the window: its even part of what
// is borne, less a quarter for those who saw no outage; where no capacity is known, of its own usual traffic.
func (s *Sender) budget(r *receiver) float64 {
	part := s.capacity(r) / s.senders()
	if part == 0 {
		part = r.dest.arrived * float64(Second) / float64(max(1, s.now-s.began+s.longestSLA))
	}
	if !r.apart {
		part /= float64(len(r.dest.receivers))
	}
	share := s.number("Contract.ColdFrom", 0)
	if ramp := s.span("Contract.RampTimeUs", 0); r.cold > 0 && ramp > 0 {
		share += (1 - share) * float64(s.now-r.cold) / float64(ramp)
	}
	seconds := float64(s.span("Contract.FallUs", 0)) / float64(Second)
	return (1 - 2*spare) * s.number("Contract.FallMultiple", 1) * part * share * seconds
}

// room says how many calls a bucket bears at once: none while it reads nought, one until its first answer
// or after a hold, else the allowance left, or where there is no limit what experience bears.
func (s *Sender) room(b *bucket) int {
	switch {
	case s.now < b.heldUntil:
		return 0
	case !b.known:
		return 1
	case b.limit == 0:
		return int(b.window)
	}
	b.left = max(1, b.left) // the hold is over: one call looks
	return int(min(float64(b.flight)+b.left, max(1, b.window)))
}

// Settle decides what goes now; call it once after all news of a batch. It walks the destinations that
// have texts or calls, not the list: a sender may know thousands and have texts for a few.
func (s *Sender) Settle() {
	s.watch()
	for _, d := range s.busy {
		for _, r := range d.receivers {
			r.bucket = s.bucketOf(r)
		}
		s.refuseLate(d)
	}
	for s.callsOut < s.slots {
		var best *receiver
		for _, d := range s.busy {
			if r := s.pick(d); r != nil && (best == nil || d.flight < best.dest.flight) {
				best = r
			}
		}
		if best == nil {
			break
		}
		s.send(best)
	}
	s.busy = slices.DeleteFunc(s.busy, func(d *destination) bool {
		d.busy = len(d.queue)+d.flight > 0
		for _, r := range d.receivers {
			s.hangUp(r)
			d.busy = d.busy || r.connected && s.keep() < s.idleTime()
		}
		if !d.busy && len(d.receivers) == 0 { // never listed
			delete(s.destinations, d.id)
		}
		return !d.busy
	})
	s.plan()
}

// hangUp closes an idle connection that is not worth its place: a receiver may take few, idle ones counted.
// It is kept where one for each sender is within what is served at once, or where none of the kind was
// refused, once six were opened or if the next text is due before it would close.
func (s *Sender) hangUp(r *receiver) {
	each, idle := float64(len(r.dest.receivers)), float64(s.span("Permissions.ConnIdleUs", 0))
	due := r.dest.arrived*idle > each*float64(s.now-s.began+s.longestSLA) || s.opened[r.kind] >= 6
	few := s.senders() <= max(firstWindow, s.capacity(r)*r.dest.pace/float64(Second)/each)
	scarce := !few && (s.crowded[r.kind] || !due)
	if r.connected && len(r.calls) == 0 && (scarce || s.now-r.idleSince >= s.keep()) {
		s.close(r)
	}
}

func (s *Sender) close(r *receiver) {
	r.connected = false
	s.out.Close(r.id)
}

// keep is how long an idle connection is trusted: until it closes by itself, but once one that had been idle
// for some time broke, or swallowed what was sent on it, half that time, doubled each quarter of a minute.
func (s *Sender) keep() Time {
	if s.stale == 0 {
		return s.idleTime()
	}
	return min(s.idleTime(), s.stale/2<<min(20, (s.now-s.staleAt)/(15*Second)))
}

// broke takes notice of an idle connection that was dropped unseen. The texts that would go on the others are
// worth more than a handshake each, above all those that must not be sent twice.
func (s *Sender) broke(idle Time) {
	s.stale, s.staleAt = min(idle, s.keep()), s.now
	for _, d := range s.destinations {
		s.attend(d)
	}
}

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

// drain is how many texts a second this sender may hope to get through to a destination: what got through
// of late, and at least its part of the capacity, or where none is told what the window lets through. It is
// nought before the first answer.
func (s *Sender) drain(d *destination) float64 {
	rate := s.flow(d, 0)
	for _, r := range d.receivers {
		if capacity := s.capacity(r); capacity > 0.01 {
			rate = max(rate, capacity/s.senders())
		} else if d.pace > 0 {
			rate = max(rate, r.bucket.window*float64(Second)/d.pace)
		}
	}
	return rate
}

// flow keeps the texts a second that got through over the longest SLA time or so.
func (s *Sender) flow(d *destination, delivered float64) float64 {
	span := float64(max(1, s.longestSLA))
	return d.through.add(delivered, s.now, span) * float64(Second) / span
}

// capacity is the calls a second that a receiver's bucket surely takes: the reported limit, else the listed
// rate at its worst.
func (s *Sender) capacity(r *receiver) float64 {
	switch {
	case r.bucket.limit > 0:
		return r.bucket.limit
	case s.set["WeightSource"] == "nominal":
		return r.rate
	case s.set["WeightSource"] == "rough":
		return r.rate / 1.5 // told up to half too high
	}
	return 0
}

// usual is how long a call for the text takes as a rule.
func (s *Sender) usual(t *text) Time { return Time(cmp.Or(t.dest.pace, t.product.pace)) }

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

// timeout bounds a submit where giving up on it leaves time for another; else it may take its time. On the
// last free slot, which all others wait for, no answer is waited for long, unless giving up is final.
func (s *Sender) timeout(t *text) Time {
	usual, end := s.usual(t), t.validUntil
	most := 15.0
	if s.callsOut+1 >= s.slots && t.product.repeat != "unsafe" {
		most = 6
	}
	long := Time(most * float64(usual))
	if t.product.repeat != "safe" {
		end = min(end, s.repeatEnd(t), s.now+t.product.window) // no window: no repeat
	}
	if long = min(long, end-s.now-2*usual); long < 3*usual {
		return 0
	}
	return long
}

// Ended hands the result of a submit to the step that waits for it.
func (s *Sender) Ended(id string, no int, r Result) {
	if t := s.texts[id]; t != nil && t.out != nil && t.out.no == no {
		t.next(r)
	}
}

// answered closes a submit and says what becomes of its text.
func (s *Sender) answered(t *text, sub *submit, r Result) {
	c := sub.call
	t.out, t.next = nil, nil
	if r.Outcome == Full && r.Wait > 0 { // one tenth longer, as the clock is rounded down; all of a bundle bind
		c.to.bucket.waitUntil = max(c.to.bucket.waitUntil, s.now+r.Wait+1)
	}
	if !c.heard {
		c.heard = true
		s.learn(c, r)
	}
	c.texts = slices.DeleteFunc(c.texts, func(o *text) bool { return o == t })
	if len(c.texts) == 0 {
		c.to.calls = slices.DeleteFunc(c.to.calls, func(o *call) bool { return o == c })
		c.to.idleSince = s.now
		c.to.bucket.flight--
		c.to.dest.flight--
		s.callsOut--
	}
	if r.Outcome == Delivered {
		s.flow(t.dest, 1)
		smooth(&t.dest.pace, float64(r.Took))
		smooth(&t.product.pace, float64(r.Took))
	}
	if r.Outcome.MayHaveRun() && !t.mayHaveRun {
		t.mayHaveRun, t.ranSince, t.ranZone = true, c.sent, c.to.zone
	}
	mayRunOn := r.Outcome == NoAnswer || r.Outcome == Lost || r.Outcome == Cancelled
	if k := s.keys[t.key]; k != nil && t.product.inOrder && mayRunOn {
		k.restUntil = s.now + s.span("Contract.KeyRestUs", 0) + 1
	}
	switch {
	case r.Closed || t.over:
		s.finish(t)
	case s.mayRepeat(t, nil):
		s.hold(t)
	default:
		s.giveUp(t, max(0, c.to.bucket.waitUntil-s.now))
	}
}

// MayHaveRun: the outcome does not prove that the submit had no effect.
func (o Outcome) MayHaveRun() bool { return o != Full && o != NoConnection && o != Unsent }

// learn takes from one call what it tells of a receiver and its bucket.
func (s *Sender) learn(c *call, res Result) {
	r, sent := c.to, c.sent
	b := r.bucket
	s.reported(b, res.Report)
	switch {
	case c.idle > 0 && (res.Outcome == Lost || res.Outcome == NoAnswer):
		s.close(r)
		if res.Outcome == NoAnswer || res.Kept { // the receiver's fault or the connection's: a new one will tell
			r.swallowed = c.idle
		} else {
			s.broke(c.idle)
		}
	case r.swallowed > 0 && c.idle == 0 && res.Outcome != NoAnswer:
		if res.Outcome == Delivered && float64(res.Took) < 2*r.pace {
			s.broke(r.swallowed)
		}
		r.swallowed = 0
	}
	if res.Kept && r.fails == 0 { // kept connections break beside a healthy receiver; a new one will tell
		return
	}
	switch res.Outcome {
	case Unsent: // no slot was free after all: not at once again
		r.restUntil = s.now + Second/8
	case Cancelled:
	case Full:
		r.answered = s.now
		barred := res.Wait > s.span("Contract.FallUs", 2*Second)
		if b.limit == 0 || b.left >= 1 || barred || res.Crowded { // not for its limit: shut, or something is full
			b.refusedSince, b.refusedAt = cmp.Or(b.refusedSince, s.now), s.now
			if b.share >= 0.9 {
				b.refusedFree = s.now
			}
		}
		if res.Crowded {
			s.crowd(r)
			return
		}
		if sent > b.fullAt { // those refused together count once
			b.fulls, b.fullAt = b.fulls+1, s.now
			b.heldUntil = max(b.heldUntil, b.waitUntil, s.now) + s.pause(r, res.Wait > 0)
		}
		b.strain += smoothing * (1 - b.strain)
		s.strain += smoothing / 4 * (1 - s.strain)
		b.window = max(1, min(b.window, float64(b.flight))/2)
	case Delivered:
		b.known = true
		if c.idle == 0 {
			s.opened[r.kind]++
		}
		smooth(&r.pace, float64(res.Took))
		r.answered = s.now
		if r.fails > 1 {
			s.out.Log(fmt.Sprintf("receiver %d back", r.id))
		}
		long := r.fails > 0 && s.now-r.failedSince > s.span("Contract.FallUs", 2*Second)
		for _, o := range r.dest.receivers { // back from an outage, or not out of it yet
			if o.bucket == b && s.shut(b) || o == r && (r.fails > 1 || long || r.ill > 0.5) {
				o.cold = s.now
			}
		}
		r.fails, r.crowds, b.refusedSince, b.refusedFree, b.fulls = 0, 0, 0, 0, b.fulls/2
		r.ill -= smoothing * r.ill
		b.window += 1 / b.window
		b.strain -= smoothing * b.strain
		s.strain -= smoothing / 4 * s.strain
	case NoConnection:
		if !res.Nobody { // its connections may all be taken, and are if it answers others; who is down holds none
			s.crowded[r.kind] = true
			if r.answered >= sent {
				s.crowd(r)
				return
			}
		}
		s.failed(r)
	default:
		if res.Outcome == NoAnswer && r.answered > sent { // it answers others, so it is not silent
			return
		}
		if res.Outcome == Errored {
			r.answered = s.now
		}
		s.failed(r)
	}
}

// crowd: a receiver's connections are all taken, which says nothing of its limit. The next try is for whoever
// comes first once one is free: at a random part of a usual call, twice that each further time.
func (s *Sender) crowd(r *receiver) {
	s.crowded[r.kind] = true
	r.bucket.window = max(1, r.bucket.window/2)
	r.restUntil = s.now + Time(s.chance.unit()*float64(backOff(r, r.crowds)))
	r.crowds++
}

// backOff is a usual call, doubled so many times, the default pause at most.
func backOff(r *receiver, times int) Time {
	return min(defaultPause, cmp.Or(Time(r.dest.pace), defaultPause)<<min(times, 9))
}

// reported takes a reported allowance: at nought the bucket holds.
func (s *Sender) reported(b *bucket, report []float64) {
	share, limit, ok := s.reading(report)
	if !ok || b.known && b.share == share && b.limit == limit { // the same knows nothing of what was sent since
		return
	}
	b.known, b.share, b.limit, b.left = true, share, limit, min(1, share)*limit
	if b.left < 1 {
		s.holdAtNought(b)
	}
}

// pause is how long a bucket holds after a refusal, past the wait that it told, which is trusted once: the
// time in which this sender's part of the limit frees a call, more or less by half, twice that from the
// second on; a usual call where there is no limit, doubled each time. Refused calls may use the limit up:
// were it shorter for some, all senders' looks together would take what frees. Where answers hold no
// reports the listed rate stands in for the limit.
func (s *Sender) pause(r *receiver, told bool) Time {
	b, limit := r.bucket, s.capacity(r)
	limited := limit > 0 && (b.limit > 0 || !s.reports())
	switch {
	case told && (b.fulls < 2 || !limited):
		return 0
	case limited:
		return Time((0.5 + s.chance.unit()) * float64(s.freeing(limit, 1)<<min(b.fulls-1, 1)))
	}
	return backOff(r, b.fulls-1)
}

// holdAtNought holds a bucket that has no whole call left, until this sender's part of the limit has freed
// one: were all to look each second, many senders would use up a small limit by looking. As far as calls
// are being refused it spaces them too. And where less is left than a call for each other sender, it
// spaces them by what is left, up to the time of its part once that is the spare: else all would send
// until they are refused, as none sees the others' calls before its next answer.
func (s *Sender) holdAtNought(b *bucket) {
	need := max(1-b.left, 2*b.strain)
	if b.left < s.senders()-1 {
		need = max(need, spare/max(spare, b.share)-spare)
	}
	if b.limit > 0 && need > 0 {
		b.heldUntil = max(b.heldUntil, s.now+s.freeing(b.limit, need))
	}
}

// freeing is the time in which this sender's even part of a limit frees so many calls, half of the shortest
// SLA time at most, and up to all of it as calls are refused everywhere: where most senders have no text for
// it far more than the part is free, and a small limit must not hold a bucket for ever. Up to the longest
// where nothing is reported: there a look is all that tells.
func (s *Sender) freeing(limit, calls float64) Time {
	most := min(1, 0.5+2*s.strain) * float64(s.shortestSLA)
	if !s.reports() {
		most = float64(s.longestSLA)
	}
	return Time(min(most, calls*s.senders()/limit*float64(Second)))
}

// failed notes a call that failed; two in a row, and the receiver is looked at before it gets more texts.
func (s *Sender) failed(r *receiver) {
	if r.fails++; r.fails == 1 {
		r.failedSince = s.now
	}
	r.ill += smoothing * (1 - r.ill)
	if r.fails == 2 {
		s.out.Log(fmt.Sprintf("receiver %d down: 2 failures in a row", r.id))
	}
	if r.fails > 1 {
		r.restUntil = s.now + Time((0.75+0.5*s.chance.unit())*float64(Second/8<<min(r.fails, 4)))
	}
}

// patience is how long a receiver with calls out may show no sign of life.
func (s *Sender) patience(r *receiver) Time {
	return Time(3*cmp.Or(r.pace, max(r.dest.pace, float64(Second)/2))) + Second/2
}

// suspect: calls are out, and for longer than patience nothing has come back.
func (s *Sender) suspect(r *receiver) bool {
	return len(r.calls) > 0 && s.now-max(r.calls[0].sent, r.answered) > s.patience(r)
}

// plan asks to be woken when time alone next changes what may be done.
func (s *Sender) plan() {
	at := Time(math.MaxInt64)
	due := func(t Time) {
		if t > s.now {
			at = min(at, t)
		}
	}
	due(s.askAt)
	for _, d := range s.busy {
		for _, t := range d.queue {
			due(t.validUntil - s.usual(t) + 1)
			due(s.repeatEnd(t))
			if k := s.keys[t.key]; k != nil {
				due(k.restUntil)
			}
		}
		for _, r := range d.receivers {
			if len(r.calls) > 0 {
				due(max(r.calls[0].sent, r.answered) + s.patience(r) + 1)
			}
			if len(r.calls)+len(d.queue) > 0 {
				due(r.restUntil)
				due(r.bucket.waitUntil)
				due(r.bucket.heldUntil)
				if s.struck(r) {
					due(r.drawAt)
					if len(r.weighed) > 0 {
						due(r.weighed[0] + s.span("Contract.FallUs", 2*Second))
					}
				}
			}
		}
	}
	if at < math.MaxInt64 && (s.wakeAt <= s.now || at < s.wakeAt) {
		s.wakeAt = at
		s.marks++
		s.out.Wake(at, s.marks)
	}
}
