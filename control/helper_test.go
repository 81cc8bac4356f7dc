package control

import (
	"fmt"
	"slices"
	"strconv"
)

// harness is the outlet of the tests: it plays the destinations and checks the six rules at every call.
type harness struct {
	sender           *Sender
	now              Time
	settings         Settings
	texts            map[string]*sentText
	order            []string
	receivers        map[ReceiverID]*fakeReceiver
	closed           []ReceiverID
	wakes            []Time
	watchRequests    []Time // for the list's changes
	violations       []string
	nacks            int
	undeliverable    int
	sends            int
	keyPausedUntil   map[string]Time
	lastRetryAfter   Time
	staleConn        bool // what ends just now was on kept connections
	connLimitReached bool // and what is full is so for want of connections
	notListening     bool // and where no connection is made nobody listens
}

// sentText is what the world knows of a text.
type sentText struct {
	id, product, key     string
	dest                 int64
	validUntil           Time
	attempts             int
	receiver             ReceiverID // 0: none is out
	sentAt, timeoutAt    Time
	firstRunAt           Time
	mayHaveRun, finished bool
}

type fakeReceiver struct {
	ReceiverEntry
	stateAt         Time // when the list said it drains or is gone
	retryAfterUntil Time
	callTimes       []Time
	respondedAt     Time // its last answer
	failedCallAt    Time // when the last call that failed was sent
	failing         bool // its last call failed
	recoveredAt     Time // it has been back, cold, since then; 0 if warm
	outage          bool
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

// newHarness starts a sender; destinations 1 and 2 have two receivers each, 3 has two routes apart.
func newHarness(seed uint64, overrides Settings) *harness {
	w := &harness{now: 1000 * Second, settings: Settings{}, texts: map[string]*sentText{}, receivers: map[ReceiverID]*fakeReceiver{},
		keyPausedUntil: map[string]Time{}}
	for _, from := range []Settings{testSettings, overrides} {
		for k, v := range from {
			w.settings[k] = v
		}
	}
	s, err := New(seed, w.settings, w)
	if err != nil {
		panic(err)
	}
	w.sender = s
	kinds := []string{"one", "two", "apart"}
	for i := range 6 {
		id := ReceiverID(11 + i)
		w.receivers[id] = &fakeReceiver{ReceiverEntry: ReceiverEntry{id, 10, int64(1 + i/2), kinds[i/2], []string{"z1", "z2"}[i%2], Up}}
	}
	w.step(func() { s.UpdateReceivers(true, w.entries()) })
	return w
}

func (w *harness) entries() []ReceiverEntry {
	var all []ReceiverEntry
	for i := range 6 {
		all = append(all, w.receivers[ReceiverID(11+i)].ReceiverEntry)
	}
	return all
}

func (w *harness) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

// step makes one batch of one call.
func (w *harness) step(call func()) {
	w.sender.SetTime(w.now)
	call()
	w.sender.Schedule()
}

func (w *harness) arrive(id, product string, dest int64, key string, left Time) *sentText {
	w.arriveTogether(Arrival{ID: id, Product: product, Destination: dest, Key: key, TimeLeft: left})
	return w.texts[id]
}

// arriveTogether has texts handed in in one batch.
func (w *harness) arriveTogether(arrivals ...Arrival) {
	w.step(func() {
		for _, a := range arrivals {
			w.texts[a.ID] = &sentText{id: a.ID, product: a.Product, key: a.Key, dest: a.Destination, validUntil: w.now + a.TimeLeft}
			w.order = append(w.order, a.ID)
			w.sender.HandleArrival(a)
		}
	})
}

// arriveFree has one more text handed in for a destination.
func (w *harness) arriveFree(dest int64) *sentText {
	return w.arrive(fmt.Sprint("x", len(w.order)), "free", dest, "", 8*Second)
}

// deliver has one delivered there.
func (w *harness) deliver(dest int64, report ...float64) {
	x := w.arriveFree(dest)
	w.advance(500)
	w.respond(x, Delivered, 0, report...)
}

// out lists the texts with a submit out, in the order they were taken.
func (w *harness) inFlight() []*sentText {
	var all []*sentText
	for _, id := range w.order {
		if t := w.texts[id]; t.receiver != 0 {
			all = append(all, t)
		}
	}
	return all
}

// respond ends the submit of a text.
func (w *harness) respond(t *sentText, o Outcome, wait Time, report ...float64) {
	p := w.receivers[t.receiver]
	at := t.sentAt
	t.receiver = 0
	if !t.mayHaveRun && o != Refused && o != NoConnection && o != Unsent {
		t.mayHaveRun, t.firstRunAt = true, at
	}
	if o == Delivered {
		t.finished = true
	}
	if t.product == "queued" && (o == NoAnswer || o == ConnectionLost || o == Cancelled) {
		w.keyPausedUntil[t.key] = w.now + 3000
	}
	w.trackOutcome(p, o, wait, at)
	w.step(func() {
		w.sender.HandleResult(t.id, t.attempts-1, Result{Outcome: o, Final: t.finished, Took: w.now - at, RetryAfter: wait, StaleConn: w.staleConn,
			ConnLimitReached: w.connLimitReached && o == Refused, NotListening: w.notListening && o == NoConnection, Report: report})
	})
}

// trackOutcome keeps what a sender must remember of an outcome: told waits, and who failed before it came back.
func (w *harness) trackOutcome(p *fakeReceiver, o Outcome, wait, at Time) {
	if o == Refused || o == Errored || o == Delivered {
		p.respondedAt = w.now
	}
	switch {
	case o == Refused:
		for _, q := range w.receivers {
			if wait > 0 && (q == p || q.Destination == p.Destination && p.Kind != "apart") {
				q.retryAfterUntil = max(q.retryAfterUntil, w.now+wait)
			}
		}
	case o == Delivered:
		if p.outage {
			p.outage, p.recoveredAt, p.callTimes = false, w.now, nil
		}
		p.failing = false
	case o == NoConnection && at > p.respondedAt: // else only its connections are taken
		p.outage = p.outage || p.failing && at != p.failedCallAt // texts of one call fail once
		p.failing, p.failedCallAt = true, at
	}
}

// advance lets time pass, waking the sender when it asked and ending submits whose time is up.
func (w *harness) advance(duration Time) {
	for until := w.now + duration; w.now < until; {
		next := until
		for _, at := range w.wakes {
			next = min(next, max(at, w.now+1))
		}
		for _, t := range w.inFlight() {
			next = min(next, max(t.timeoutAt, w.now+1))
		}
		w.now = next
		w.wakes = slices.DeleteFunc(w.wakes, func(at Time) bool { return at <= w.now })
		for _, t := range w.inFlight() {
			if w.now >= t.timeoutAt {
				w.respond(t, NoAnswer, 0)
			}
		}
		w.step(func() {})
		w.checkTexts()
	}
}

// checkTexts is rule 1: no text of a running sender without its final answer once its time is up. What is out may leave late,
// its connection having been made only now, just where rules 2, 3 and 6 let it.
func (w *harness) checkTexts() {
	for _, id := range w.order {
		if t := w.texts[id]; !t.finished && w.now > t.validUntil {
			w.violation("rule 1: %s has no answer", id)
			t.finished = true
		}
	}
	for _, t := range w.inFlight() {
		p, allowed := w.receivers[t.receiver], w.sender.MayStillSend(t.id, t.attempts-1)
		repeatable := !t.mayHaveRun || t.product == "free" || w.now < t.firstRunAt+3*Second-1
		if allowed != (p.State == Up && w.now > p.retryAfterUntil && !t.finished && repeatable) {
			w.violation("%s may leave late for %d: %v", t.id, t.receiver, allowed)
		}
	}
}

// checkCall checks the rules that bind every call, probes too: 3, 4 and 6.
func (w *harness) checkCall(p *fakeReceiver, sameCall bool) {
	if p.State != Up && w.now > p.stateAt+2500 {
		w.violation("rule 3: call to %d, which drains", p.Receiver)
	}
	if w.now < p.retryAfterUntil {
		w.violation("rule 6: call to %d before the wait is over", p.Receiver)
	}
	if sameCall {
		return
	}
	p.callTimes = append(p.callTimes, w.now)
	p.callTimes = slices.DeleteFunc(p.callTimes, func(at Time) bool { return at <= w.now-2*Second })
	if p.recoveredAt > 0 && w.now < p.recoveredAt+8*Second { // half of 2 x rate x 2 s: two senders
		rate := 10.0
		for _, q := range w.receivers { // they share what the destination takes
			if q != p && q.Destination == p.Destination && q.Kind != "apart" && q.State != Removed {
				rate /= 2
			}
		}
		bound := 2 * rate * (0.2 + 0.8*float64(w.now-p.recoveredAt)/float64(8*Second))
		if float64(len(p.callTimes)) > max(1, bound)+1 {
			w.violation("rule 4: %d calls to %d, bound %.1f", len(p.callTimes), p.Receiver, bound)
		}
	}
}

func (w *harness) Submit(textID string, receiver ReceiverID, timeout Time) {
	t, p := w.texts[textID], w.receivers[receiver]
	sameCall := slices.ContainsFunc(w.inFlight(), func(o *sentText) bool {
		return o.receiver == receiver && o.sentAt == w.now && p.Kind == "two" && len(p.callTimes) > 0 && p.callTimes[len(p.callTimes)-1] == w.now
	})
	w.checkCall(p, sameCall)
	switch {
	case t.finished:
		w.violation("rule 1: %s sent after its answer", textID)
	case t.receiver != 0:
		w.violation("rule 2: %s is out already", textID)
	case t.mayHaveRun && t.product == "once":
		w.violation("rule 2: %s may have run", textID)
	case t.mayHaveRun && t.product != "free" && w.now > t.firstRunAt+3*Second:
		w.violation("rule 2: %s past its window", textID)
	case p.Destination != t.dest || t.attempts >= 6:
		w.violation("%s to %d, submit %d", textID, receiver, t.attempts)
	}
	if t.product == "queued" && t.key != "" {
		for _, o := range w.order[:slices.Index(w.order, textID)] {
			if e := w.texts[o]; e.product == "queued" && e.key == t.key && (!e.finished || e.receiver != 0) {
				w.violation("rule 5: %s before %s", textID, o)
			}
		}
		if t.attempts == 0 && w.now < w.keyPausedUntil[t.key] {
			w.violation("rule 5: %s while its key rests", textID)
		}
	}
	t.attempts++
	w.sends++
	t.receiver, t.sentAt, t.timeoutAt = receiver, w.now, t.validUntil
	if timeout > 0 {
		t.timeoutAt = min(t.validUntil, w.now+timeout)
	}
}

func (w *harness) checkFinish(id string, nack bool) {
	t := w.texts[id]
	if t.finished {
		w.violation("rule 1: a second answer for %s", id)
	}
	if nack && (t.receiver != 0 || t.mayHaveRun && (t.product == "once" || t.product == "queued")) {
		w.violation("rule 2: %s nacked though it may have run", id)
	}
	t.finished = true
}

func (w *harness) Nack(textID string, retryAfter Time) {
	w.nacks++
	w.lastRetryAfter = retryAfter
	w.checkFinish(textID, true)
}

func (w *harness) MarkUndeliverable(textID string) {
	w.undeliverable++
	w.checkFinish(textID, false)
}

func (w *harness) Cancel(textID string, number int) {
	if t := w.texts[textID]; number >= t.attempts {
		w.violation("cancel of submit %d of %s, never made", number, textID)
	}
}

func (w *harness) WakeAt(at Time, _ int64) { w.wakes = append(w.wakes, at) }
func (w *harness) WatchReceivers()         { w.watchRequests = append(w.watchRequests, w.now) }
func (w *harness) Broadcast([]byte)        {}
func (w *harness) Log(string)              {}
func (w *harness) CloseIdle(to ReceiverID) { w.closed = append(w.closed, to) }
