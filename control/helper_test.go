package control

import (
	"fmt"
	"slices"
	"strconv"
)

// world is the outlet of the tests: it plays the destinations and checks the six rules at every call.
type world struct {
	s        *Sender
	now      Time
	set      Settings
	texts    map[string]*sent
	order    []string
	to       map[ReceiverID]*place
	closed   []ReceiverID
	wakes    []Time
	asked    []Time // for the list's changes
	broken   []string
	nacks    int
	failed   int
	sends    int
	rests    map[string]Time
	lastNack Time
	kept     bool // what ends just now was on kept connections
	crowded  bool // and what is full is so for want of connections
	nobody   bool // and where no connection is made nobody listens
}

// sent is what the world knows of a text.
type sent struct {
	id, product, key string
	dest             int64
	until            Time
	submits          int
	out              ReceiverID // 0: none is out
	outAt, outUntil  Time
	ranSince         Time
	ran, over        bool
}

type place struct {
	ReceiverEntry
	toldAt    Time // when the list said it drains or is gone
	waitUntil Time
	calls     []Time
	good      Time // its last answer
	failAt    Time // when the last call that failed was sent
	failing   bool // its last call failed
	since     Time // it has been back, cold, since then; 0 if warm
	outage    bool
}

var testSettings = Settings{
	"Contract.ColdFrom": "0.2", "Contract.FallMultiple": "2.0", "Contract.FallUs": "2000000",
	"Contract.KeyRestUs": "300000", "Contract.RampTimeUs": "8000000", "Contract.StopSendingWithinUs": "250000",
	"Instances": "2", "Kinds": "one,two,apart", "Permissions.MayCancel": "true", "Permissions.Probes": "true",
	"Permissions.RetryAfter": "true", "Permissions.MaxRetryAfterUs": "3000000", "Permissions.TryLimit": "6",
	"Report.Names": "x0,x1", "RequestClasses.count": "4", "ResolutionUs": "5000", "Specifics.BundleMax": "1,3,1",
	"RequestClasses.0.Name": "free", "RequestClasses.0.Repeat": "safe",
	"RequestClasses.1.Name": "marked", "RequestClasses.1.Repeat": "keyed", "RequestClasses.1.Group": "all",
	"RequestClasses.2.Name": "once", "RequestClasses.2.Repeat": "unsafe",
	"RequestClasses.3.Name": "queued", "RequestClasses.3.Repeat": "keyed", "RequestClasses.3.Group": "zone",
	"RequestClasses.3.SerialByKey": "true", "Specifics.Fades": "halves", "Specifics.MaxCalls": "12",
	"Specifics.RoutesApart": "false,false,true", "WeightSource": "nominal",
}

func init() {
	for i := range 4 {
		at := fmt.Sprintf("RequestClasses.%d.", i)
		testSettings[at+"ObjectiveUs"], testSettings[at+"HardLimitUs"] = "2000000", "8000000"
		testSettings[at+"RepeatWindowUs"], testSettings[at+"Value"] = "3000000", strconv.Itoa(i+1)
		testSettings[at+"LateShare"] = "0.3"
	}
}

// newWorld starts a sender; destinations 1 and 2 have two receivers each, 3 has two routes apart.
func newWorld(seed uint64, change Settings) *world {
	w := &world{now: 1000 * Second, set: Settings{}, texts: map[string]*sent{}, to: map[ReceiverID]*place{},
		rests: map[string]Time{}}
	for _, from := range []Settings{testSettings, change} {
		for k, v := range from {
			w.set[k] = v
		}
	}
	s, err := New(seed, w.set, w)
	if err != nil {
		panic(err)
	}
	w.s = s
	kinds := []string{"one", "two", "apart"}
	for i := range 6 {
		id := ReceiverID(11 + i)
		w.to[id] = &place{ReceiverEntry: ReceiverEntry{id, 10, int64(1 + i/2), kinds[i/2], []string{"z1", "z2"}[i%2], Up}}
	}
	w.step(func() { s.UpdateReceivers(true, w.entries()) })
	return w
}

func (w *world) entries() []ReceiverEntry {
	var all []ReceiverEntry
	for i := range 6 {
		all = append(all, w.to[ReceiverID(11+i)].ReceiverEntry)
	}
	return all
}

func (w *world) fault(format string, parts ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, parts...))
}

// step makes one batch of one call.
func (w *world) step(do func()) {
	w.s.SetTime(w.now)
	do()
	w.s.Schedule()
}

func (w *world) take(id, product string, dest int64, key string, left Time) *sent {
	w.hand(Arrival{ID: id, Product: product, Destination: dest, Key: key, TimeLeft: left})
	return w.texts[id]
}

// hand has texts handed in in one batch.
func (w *world) hand(all ...Arrival) {
	w.step(func() {
		for _, a := range all {
			w.texts[a.ID] = &sent{id: a.ID, product: a.Product, key: a.Key, dest: a.Destination, until: w.now + a.TimeLeft}
			w.order = append(w.order, a.ID)
			w.s.HandleArrival(a)
		}
	})
}

// give has one more text handed in for a destination.
func (w *world) give(dest int64) *sent {
	return w.take(fmt.Sprint("x", len(w.order)), "free", dest, "", 8*Second)
}

// deliver has one delivered there.
func (w *world) deliver(dest int64, report ...float64) {
	x := w.give(dest)
	w.advance(500)
	w.answer(x, Delivered, 0, report...)
}

// out lists the texts with a submit out, in the order they were taken.
func (w *world) outs() []*sent {
	var all []*sent
	for _, id := range w.order {
		if t := w.texts[id]; t.out != 0 {
			all = append(all, t)
		}
	}
	return all
}

// answer ends the submit of a text.
func (w *world) answer(t *sent, o Outcome, wait Time, report ...float64) {
	p := w.to[t.out]
	at := t.outAt
	t.out = 0
	if !t.ran && o != Refused && o != NoConnection && o != Unsent {
		t.ran, t.ranSince = true, at
	}
	if o == Delivered {
		t.over = true
	}
	if t.product == "queued" && (o == NoAnswer || o == ConnectionLost || o == Cancelled) {
		w.rests[t.key] = w.now + 3000
	}
	w.hear(p, o, wait, at)
	w.step(func() {
		w.s.HandleResult(t.id, t.submits-1, Result{Outcome: o, Final: t.over, Took: w.now - at, RetryAfter: wait, StaleConn: w.kept,
			ConnLimitReached: w.crowded && o == Refused, NotListening: w.nobody && o == NoConnection, Report: report})
	})
}

// hear keeps what a sender must remember of an outcome: told waits, and who failed before it came back.
func (w *world) hear(p *place, o Outcome, wait, at Time) {
	if o == Refused || o == Errored || o == Delivered {
		p.good = w.now
	}
	switch {
	case o == Refused:
		for _, q := range w.to {
			if wait > 0 && (q == p || q.Destination == p.Destination && p.Kind != "apart") {
				q.waitUntil = max(q.waitUntil, w.now+wait)
			}
		}
	case o == Delivered:
		if p.outage {
			p.outage, p.since, p.calls = false, w.now, nil
		}
		p.failing = false
	case o == NoConnection && at > p.good: // else only its connections are taken
		p.outage = p.outage || p.failing && at != p.failAt // texts of one call fail once
		p.failing, p.failAt = true, at
	}
}

// advance lets time pass, waking the sender when it asked and ending submits whose time is up.
func (w *world) advance(by Time) {
	for end := w.now + by; w.now < end; {
		next := end
		for _, at := range w.wakes {
			next = min(next, max(at, w.now+1))
		}
		for _, t := range w.outs() {
			next = min(next, max(t.outUntil, w.now+1))
		}
		w.now = next
		w.wakes = slices.DeleteFunc(w.wakes, func(at Time) bool { return at <= w.now })
		for _, t := range w.outs() {
			if w.now >= t.outUntil {
				w.answer(t, NoAnswer, 0)
			}
		}
		w.step(func() {})
		w.check()
	}
}

// check is rule 1: no text of a running sender without its final answer once its time is up. What is out may leave late,
// its connection having been made only now, just where rules 2, 3 and 6 let it.
func (w *world) check() {
	for _, id := range w.order {
		if t := w.texts[id]; !t.over && w.now > t.until {
			w.fault("rule 1: %s has no answer", id)
			t.over = true
		}
	}
	for _, t := range w.outs() {
		p, may := w.to[t.out], w.s.MayStillSend(t.id, t.submits-1)
		known := !t.ran || t.product == "free" || w.now < t.ranSince+3*Second-1
		if may != (p.State == Up && w.now > p.waitUntil && !t.over && known) {
			w.fault("%s may leave late for %d: %v", t.id, t.out, may)
		}
	}
}

// reach checks the rules that bind every call, probes too: 3, 4 and 6.
func (w *world) reach(p *place, sameCall bool) {
	if p.State != Up && w.now > p.toldAt+2500 {
		w.fault("rule 3: call to %d, which drains", p.Receiver)
	}
	if w.now < p.waitUntil {
		w.fault("rule 6: call to %d before the wait is over", p.Receiver)
	}
	if sameCall {
		return
	}
	p.calls = append(p.calls, w.now)
	p.calls = slices.DeleteFunc(p.calls, func(at Time) bool { return at <= w.now-2*Second })
	if p.since > 0 && w.now < p.since+8*Second { // half of 2 x rate x 2 s: two senders
		rate := 10.0
		for _, q := range w.to { // they share what the destination takes
			if q != p && q.Destination == p.Destination && q.Kind != "apart" && q.State != Removed {
				rate /= 2
			}
		}
		bound := 2 * rate * (0.2 + 0.8*float64(w.now-p.since)/float64(8*Second))
		if float64(len(p.calls)) > max(1, bound)+1 {
			w.fault("rule 4: %d calls to %d, bound %.1f", len(p.calls), p.Receiver, bound)
		}
	}
}

func (w *world) Submit(id string, to ReceiverID, timeout Time) {
	t, p := w.texts[id], w.to[to]
	sameCall := slices.ContainsFunc(w.outs(), func(o *sent) bool {
		return o.out == to && o.outAt == w.now && p.Kind == "two" && len(p.calls) > 0 && p.calls[len(p.calls)-1] == w.now
	})
	w.reach(p, sameCall)
	switch {
	case t.over:
		w.fault("rule 1: %s sent after its answer", id)
	case t.out != 0:
		w.fault("rule 2: %s is out already", id)
	case t.ran && t.product == "once":
		w.fault("rule 2: %s may have run", id)
	case t.ran && t.product != "free" && w.now > t.ranSince+3*Second:
		w.fault("rule 2: %s past its window", id)
	case p.Destination != t.dest || t.submits >= 6:
		w.fault("%s to %d, submit %d", id, to, t.submits)
	}
	if t.product == "queued" && t.key != "" {
		for _, o := range w.order[:slices.Index(w.order, id)] {
			if e := w.texts[o]; e.product == "queued" && e.key == t.key && (!e.over || e.out != 0) {
				w.fault("rule 5: %s before %s", id, o)
			}
		}
		if t.submits == 0 && w.now < w.rests[t.key] {
			w.fault("rule 5: %s while its key rests", id)
		}
	}
	t.submits++
	w.sends++
	t.out, t.outAt, t.outUntil = to, w.now, t.until
	if timeout > 0 {
		t.outUntil = min(t.until, w.now+timeout)
	}
}

func (w *world) finish(id string, nack bool) {
	t := w.texts[id]
	if t.over {
		w.fault("rule 1: a second answer for %s", id)
	}
	if nack && (t.out != 0 || t.ran && (t.product == "once" || t.product == "queued")) {
		w.fault("rule 2: %s nacked though it may have run", id)
	}
	t.over = true
}

func (w *world) Nack(id string, comeBack Time) {
	w.nacks++
	w.lastNack = comeBack
	w.finish(id, true)
}

func (w *world) MarkUndeliverable(id string) {
	w.failed++
	w.finish(id, false)
}

func (w *world) Cancel(id string, no int) {
	if t := w.texts[id]; no >= t.submits {
		w.fault("cancel of submit %d of %s, never made", no, id)
	}
}

func (w *world) WakeAt(at Time, _ int64) { w.wakes = append(w.wakes, at) }
func (w *world) WatchReceivers()         { w.asked = append(w.asked, w.now) }
func (w *world) Broadcast([]byte)        {}
func (w *world) Log(string)              {}
func (w *world) CloseIdle(to ReceiverID) { w.closed = append(w.closed, to) }
