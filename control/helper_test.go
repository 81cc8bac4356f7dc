package control

import (
	"fmt"
	"slices"
	"strconv"
)

// harness implements Actions for the tests: it simulates the receivers and checks the six rules at every call.
type harness struct {
	sender           *Sender
	now              Time
	settings         Settings
	texts            map[string]*sentText
	order            []string
	receivers        map[ReceiverID]*fakeReceiver
	closed           []ReceiverID
	wakes            []Time
	watchRequests    []Time // times of the requests
	violations       []string
	nacks            int
	undeliverable    int
	sends            int
	keyPausedUntil   map[string]Time
	lastRetryAfter   Time
	staleConn        bool // results from now on: of reused connections
	connLimitReached bool // refusals from now on: for want of a connection
	notListening     bool // failed connections from now on: nothing listens
}

// sentText is the harness's record of a text.
type sentText struct {
	id, product, key     string
	dest                 int64
	validUntil           Time
	attempts             int
	receiver             ReceiverID // of the attempt in flight; 0: none
	sentAt, timeoutAt    Time
	firstRunAt           Time
	mayHaveRun, finished bool
}

type fakeReceiver struct {
	ReceiverEntry
	stateAt         Time // when the list last changed its state
	retryAfterUntil Time
	callTimes       []Time
	respondedAt     Time // time of its last response
	failedCallAt    Time // when its last failed call was sent
	failing         bool // the last call failed
	recoveredAt     Time // 0: no outage yet
	outage          bool
}

var testSettings = Settings{
	"Contract.ColdFrom": "0.2", "Contract.FallMultiple": "2.0", "Contract.FallUs": "2000000",
	"Contract.KeyRestUs": "300000", "Contract.RampTimeUs": "8000000", "Contract.StopSendingWithinUs": "250000",
	"Instances": "2", "Kinds": "one,two,apart", "Permissions.MayCancel": "true", "Permissions.Probes": "true",
	"Permissions.RetryAfter": "true", "Permissions.MaxRetryAfterUs": "3000000", "Permissions.TryLimit": "6",
	"Report.Names": "x0,x1", "RequestClasses.count": "4", "ResolutionUs": "5000", "Specifics.BundleMax": "1,3,1",
	"RequestClasses.0.Name": "safe", "RequestClasses.0.Repeat": "safe",
	"RequestClasses.1.Name": "keyed", "RequestClasses.1.Repeat": "keyed", "RequestClasses.1.Group": "all",
	"RequestClasses.2.Name": "unsafe", "RequestClasses.2.Repeat": "unsafe",
	"RequestClasses.3.Name": "ordered", "RequestClasses.3.Repeat": "keyed", "RequestClasses.3.Group": "zone",
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

// newHarness starts a sender; destinations 1 and 2 have two receivers each, 3 has two routes with limits of their own.
func newHarness(seed uint64, overrides Settings) *harness {
	h := &harness{now: 1000 * Second, settings: Settings{}, texts: map[string]*sentText{}, receivers: map[ReceiverID]*fakeReceiver{},
		keyPausedUntil: map[string]Time{}}
	for _, from := range []Settings{testSettings, overrides} {
		for k, v := range from {
			h.settings[k] = v
		}
	}
	s, err := New(seed, h.settings, h)
	if err != nil {
		panic(err)
	}
	h.sender = s
	kinds := []string{"one", "two", "apart"}
	for i := range 6 {
		id := ReceiverID(11 + i)
		h.receivers[id] = &fakeReceiver{ReceiverEntry: ReceiverEntry{id, 10, int64(1 + i/2), kinds[i/2], []string{"z1", "z2"}[i%2], Up}}
	}
	h.step(func() { s.UpdateReceivers(true, h.entries()) })
	return h
}

func (h *harness) entries() []ReceiverEntry {
	var all []ReceiverEntry
	for i := range 6 {
		all = append(all, h.receivers[ReceiverID(11+i)].ReceiverEntry)
	}
	return all
}

func (h *harness) violation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%d: ", h.now)+fmt.Sprintf(format, args...))
}

// step runs one batch with one call to the sender.
func (h *harness) step(call func()) {
	h.sender.SetTime(h.now)
	call()
	h.sender.Schedule()
}

func (h *harness) arrive(id, product string, dest int64, key string, left Time) *sentText {
	h.arriveTogether(Arrival{ID: id, Product: product, Destination: dest, Key: key, TimeLeft: left})
	return h.texts[id]
}

// arriveTogether hands in texts in one batch.
func (h *harness) arriveTogether(arrivals ...Arrival) {
	h.step(func() {
		for _, a := range arrivals {
			h.texts[a.ID] = &sentText{id: a.ID, product: a.Product, key: a.Key, dest: a.Destination, validUntil: h.now + a.TimeLeft}
			h.order = append(h.order, a.ID)
			h.sender.HandleArrival(a)
		}
	})
}

// arriveSafe hands in one more text for a destination.
func (h *harness) arriveSafe(dest int64) *sentText {
	return h.arrive(fmt.Sprint("x", len(h.order)), "safe", dest, "", 8*Second)
}

// deliver hands in a text for a destination and delivers it.
func (h *harness) deliver(dest int64, report ...float64) {
	x := h.arriveSafe(dest)
	h.advance(500)
	h.respond(x, Delivered, 0, report...)
}

// inFlight returns the texts with an attempt in flight, in order of arrival.
func (h *harness) inFlight() []*sentText {
	var all []*sentText
	for _, id := range h.order {
		if t := h.texts[id]; t.receiver != 0 {
			all = append(all, t)
		}
	}
	return all
}

// respond ends the attempt of a text.
func (h *harness) respond(t *sentText, o Outcome, retryAfter Time, report ...float64) {
	receiver := h.receivers[t.receiver]
	sentAt := t.sentAt
	t.receiver = 0
	if !t.mayHaveRun && o != Refused && o != NoConnection && o != Unsent {
		t.mayHaveRun, t.firstRunAt = true, sentAt
	}
	if o == Delivered {
		t.finished = true
	}
	if t.product == "ordered" && (o == NoAnswer || o == ConnectionLost || o == Cancelled) {
		h.keyPausedUntil[t.key] = h.now + 3000
	}
	h.trackOutcome(receiver, o, retryAfter, sentAt)
	h.step(func() {
		h.sender.HandleResult(t.id, t.attempts-1, Result{Outcome: o, Final: t.finished, Took: h.now - sentAt, RetryAfter: retryAfter, StaleConn: h.staleConn,
			ConnLimitReached: h.connLimitReached && o == Refused, NotListening: h.notListening && o == NoConnection, Report: report})
	})
}

// trackOutcome records what binds a sender after an outcome: Retry-After delays, and receivers that recover from failures.
func (h *harness) trackOutcome(p *fakeReceiver, o Outcome, retryAfter, sentAt Time) {
	if o == Refused || o == Errored || o == Delivered {
		p.respondedAt = h.now
	}
	switch {
	case o == Refused:
		for _, q := range h.receivers {
			if retryAfter > 0 && (q == p || q.Destination == p.Destination && p.Kind != "apart") {
				q.retryAfterUntil = max(q.retryAfterUntil, h.now+retryAfter)
			}
		}
	case o == Delivered:
		if p.outage {
			p.outage, p.recoveredAt, p.callTimes = false, h.now, nil
		}
		p.failing = false
	case o == NoConnection && sentAt > p.respondedAt: // otherwise only its connections are taken
		p.outage = p.outage || p.failing && sentAt != p.failedCallAt // the texts of one call count as one failure
		p.failing, p.failedCallAt = true, sentAt
	}
}

// advance moves the time, waking the sender as requested and ending attempts that time out.
func (h *harness) advance(duration Time) {
	for until := h.now + duration; h.now < until; {
		next := until
		for _, at := range h.wakes {
			next = min(next, max(at, h.now+1))
		}
		for _, t := range h.inFlight() {
			next = min(next, max(t.timeoutAt, h.now+1))
		}
		h.now = next
		h.wakes = slices.DeleteFunc(h.wakes, func(at Time) bool { return at <= h.now })
		for _, t := range h.inFlight() {
			if h.now >= t.timeoutAt {
				h.respond(t, NoAnswer, 0)
			}
		}
		h.step(func() {})
		h.checkTexts()
	}
}

// checkTexts checks rule 1: no text lacks its final answer after its validity period. It also checks that an attempt in
// flight whose connection is made only now may be sent exactly if rules 2, 3 and 6 allow it.
func (h *harness) checkTexts() {
	for _, id := range h.order {
		if t := h.texts[id]; !t.finished && h.now > t.validUntil {
			h.violation("rule 1: %s has no answer", id)
			t.finished = true
		}
	}
	for _, t := range h.inFlight() {
		p, allowed := h.receivers[t.receiver], h.sender.MayStillSend(t.id, t.attempts-1)
		repeatable := !t.mayHaveRun || t.product == "safe" || h.now < t.firstRunAt+3*Second-1
		if allowed != (p.State == Up && h.now > p.retryAfterUntil && !t.finished && repeatable) {
			h.violation("%s may still be sent to %d: %v", t.id, t.receiver, allowed)
		}
	}
}

// checkCall checks the rules for every call, probes included: 3, 4 and 6.
func (h *harness) checkCall(p *fakeReceiver, sameCall bool) {
	if p.State != Up && h.now > p.stateAt+2500 {
		h.violation("rule 3: call to %d, which is not up", p.Receiver)
	}
	if h.now < p.retryAfterUntil {
		h.violation("rule 6: call to %d before its Retry-After delay is over", p.Receiver)
	}
	if sameCall {
		return
	}
	p.callTimes = append(p.callTimes, h.now)
	p.callTimes = slices.DeleteFunc(p.callTimes, func(at Time) bool { return at <= h.now-2*Second })
	if p.recoveredAt > 0 && h.now < p.recoveredAt+8*Second { // this sender's half of 2 x rate x 2 s
		rate := 10.0
		for _, q := range h.receivers { // they share the rate of the destination
			if q != p && q.Destination == p.Destination && q.Kind != "apart" && q.State != Removed {
				rate /= 2
			}
		}
		bound := 2 * rate * (0.2 + 0.8*float64(h.now-p.recoveredAt)/float64(8*Second))
		if float64(len(p.callTimes)) > max(1, bound)+1 {
			h.violation("rule 4: %d calls to %d, bound %.1f", len(p.callTimes), p.Receiver, bound)
		}
	}
}

func (h *harness) Submit(textID string, receiver ReceiverID, timeout Time) {
	t, p := h.texts[textID], h.receivers[receiver]
	sameCall := slices.ContainsFunc(h.inFlight(), func(o *sentText) bool {
		return o.receiver == receiver && o.sentAt == h.now && p.Kind == "two" && len(p.callTimes) > 0 && p.callTimes[len(p.callTimes)-1] == h.now
	})
	h.checkCall(p, sameCall)
	switch {
	case t.finished:
		h.violation("rule 1: %s sent after its final answer", textID)
	case t.receiver != 0:
		h.violation("rule 2: %s is in flight already", textID)
	case t.mayHaveRun && t.product == "unsafe":
		h.violation("rule 2: %s may have run", textID)
	case t.mayHaveRun && t.product != "safe" && h.now > t.firstRunAt+3*Second:
		h.violation("rule 2: %s repeated after its window", textID)
	case p.Destination != t.dest || t.attempts >= 6:
		h.violation("%s to %d, attempt %d", textID, receiver, t.attempts)
	}
	if t.product == "ordered" && t.key != "" {
		for _, o := range h.order[:slices.Index(h.order, textID)] {
			if e := h.texts[o]; e.product == "ordered" && e.key == t.key && (!e.finished || e.receiver != 0) {
				h.violation("rule 5: %s before %s", textID, o)
			}
		}
		if t.attempts == 0 && h.now < h.keyPausedUntil[t.key] {
			h.violation("rule 5: %s during the pause of its key", textID)
		}
	}
	t.attempts++
	h.sends++
	t.receiver, t.sentAt, t.timeoutAt = receiver, h.now, t.validUntil
	if timeout > 0 {
		t.timeoutAt = min(t.validUntil, h.now+timeout)
	}
}

func (h *harness) checkFinish(id string, nack bool) {
	t := h.texts[id]
	if t.finished {
		h.violation("rule 1: a second final answer for %s", id)
	}
	if nack && (t.receiver != 0 || t.mayHaveRun && (t.product == "unsafe" || t.product == "ordered")) {
		h.violation("rule 2: %s nacked though it may have run", id)
	}
	t.finished = true
}

func (h *harness) Nack(textID string, retryAfter Time) {
	h.nacks++
	h.lastRetryAfter = retryAfter
	h.checkFinish(textID, true)
}

func (h *harness) MarkUndeliverable(textID string) {
	h.undeliverable++
	h.checkFinish(textID, false)
}

func (h *harness) Cancel(textID string, number int) {
	if t := h.texts[textID]; number >= t.attempts {
		h.violation("cancel of attempt %d of %s, which was never made", number, textID)
	}
}

func (h *harness) WakeAt(at Time, _ int64) { h.wakes = append(h.wakes, at) }
func (h *harness) WatchReceivers()         { h.watchRequests = append(h.watchRequests, h.now) }
func (h *harness) Broadcast([]byte)        {}
func (h *harness) Log(string)              {}
func (h *harness) CloseIdle(to ReceiverID) { h.closed = append(h.closed, to) }
