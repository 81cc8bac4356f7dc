package world

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Destination is an external system: one or more receivers that share its limit and its record of deduplication marks.
type Destination struct {
	No             int
	Kind           *Kind
	Share          float64 // of all traffic
	TextsPerSecond float64 // mean demand
	PerSecond      float64 // calls that it can answer per second, given service times and limit
	Limit          *Limit  // nil: none
	Receivers      []*Receiver

	rules          *Rules
	phase          time.Duration
	reportInterval time.Duration
	reportedAt     time.Duration // time at which report was made
	report         Report
	marksSeen      map[string]time.Duration // time at which each mark was recorded
	markExpiries   []markExpiry
}

type markExpiry struct {
	mark  string
	until time.Duration
}

// Report is the state of the limit that an answer carries.
type Report struct {
	Share, PerSecond float64
	Present          bool // whether the answer carries one
}

// recordMark reports whether a mark was recorded within the window, and records it otherwise.
func (d *Destination) recordMark(now time.Duration, mark string, window time.Duration) bool {
	for len(d.markExpiries) > 0 && d.markExpiries[0].until <= now {
		delete(d.marksSeen, d.markExpiries[0].mark)
		d.markExpiries = d.markExpiries[1:]
	}
	if seenAt, ok := d.marksSeen[mark]; ok && now < seenAt+window {
		return true
	}
	d.marksSeen[mark] = now
	d.markExpiries = append(d.markExpiries, markExpiry{mark, now + window})
	return false
}

// currentReport returns the report as of its last refresh, once per reportInterval.
func (d *Destination) currentReport(now time.Duration) Report {
	if !d.Kind.Reports || d.Limit == nil {
		return Report{}
	}
	madeAt := now - (now-d.phase+1000*d.reportInterval)%d.reportInterval
	if !d.report.Present || madeAt > d.reportedAt {
		d.reportedAt = madeAt
		left := d.Limit.remainingAt(max(madeAt, d.Limit.updatedAt)) / d.Limit.burst(madeAt)
		d.report = Report{Share: max(0, min(1, left)), PerSecond: d.Limit.PerSecond(madeAt), Present: true}
	}
	return d.report
}

// Call is one submit as seen by a receiver.
type Call struct {
	Sender   int
	Text     *Text // nil: a text that no client handed in
	SubmitNo int   // submits of the text that reached receivers before this one

	startsAt   time.Duration
	refused    bool
	retryAfter time.Duration
	reason     string
}

// AnswerAction is what a receiver does on the connection of a call.
type AnswerAction int

// Actions of a receiver.
const (
	Respond     AnswerAction = iota
	Reset                    // resets the connection
	NeverAnswer              // never writes anything
)

// Answer is the result of a call at a receiver.
type Answer struct {
	Action     AnswerAction
	Status     int
	RetryAfter time.Duration // sent with a refusal; 0: none
	Report     Report
	Executed   bool // the text took effect
	Duplicate  bool // it was recognized as a repeat and had no second effect
	Reason     string
}

// Receiver is one endpoint of a destination.
type Receiver struct {
	No          int
	ID          string
	AddressNo   int // a receiver and its replacement have the same address, one after the other
	Rate        float64
	ServiceTime time.Duration
	Cores       int
	AddedAt     time.Duration // 0: present from the start
	LeavesAt    time.Duration // start of its drain; 0: never
	RemovedAt   time.Duration

	dest         *Destination
	seed         uint64
	incidents    []*Incident
	coreFreeAt   []time.Duration // time at which each core becomes free
	conns        int
	maxConns     int // 0: unlimited
	maxQueue     int
	queuedStarts []time.Duration // start of service of each queued call

	up         bool      // set at creation only
	arrivals   []arrival // recent calls while cold
	overloaded bool
	Overload   *Overload // set once overloaded
}

type arrival struct {
	at     time.Duration
	sender int
}

// Overload records why a cold receiver failed: how many calls each sender sent in the window before it.
type Overload struct {
	At         time.Duration
	OutageFrom time.Duration // start of the outage after which it was cold
	Window     time.Duration
	Allowed    float64
	BySender   map[int]int
}

// Destination returns the destination that the receiver belongs to.
func (r *Receiver) Destination() *Destination { return r.dest }

// activeIncident returns an incident of one of the given kinds that is in progress, or nil.
func (r *Receiver) activeIncident(now time.Duration, kinds ...string) *Incident {
	for _, s := range r.incidents {
		if now >= s.From && now < s.To && slices.Contains(kinds, s.What) {
			return s
		}
	}
	return nil
}

// Listens reports whether the receiver accepts connections.
func (r *Receiver) Listens(now time.Duration) bool {
	return now >= r.AddedAt && (r.RemovedAt == 0 || now < r.RemovedAt) && r.activeIncident(now, "refuse") == nil
}

// Outage returns the outage in progress, or nil. An outage is a receiver that is down, resets, is silent, refuses all
// calls or fails at least half of them.
func (r *Receiver) Outage(now time.Duration) *Incident {
	if s := r.activeIncident(now, "refuse", "reset", "silent", "full"); s != nil {
		return s
	}
	if s := r.activeIncident(now, "errors"); s != nil && s.Factor >= 0.5 {
		return s
	}
	return nil
}

// lastOutage returns the outage that ended last, at or before now.
func (r *Receiver) lastOutage(now time.Duration) *Incident {
	var last *Incident
	for _, s := range r.incidents {
		if s.To <= now && (last == nil || s.To > last.To) && r.Outage(s.From) != nil {
			last = s
		}
	}
	return last
}

// CapacityShare returns the available share of a receiver's capacity. It is reduced after an outage and rises linearly
// until the receiver is warm.
func (r *Receiver) CapacityShare(now time.Duration) float64 {
	s := r.lastOutage(now)
	ramp := seconds(r.dest.rules.ColdS)
	if s == nil || now >= s.To+ramp {
		return 1
	}
	from := r.dest.rules.ColdFrom
	return from + (1-from)*float64(now-s.To)/float64(ramp)
}

// Capacity returns the calls per second that the receiver can answer now: its service rate, at most an even part of its
// destination's limit, times CapacityShare.
func (r *Receiver) Capacity(now time.Duration) float64 {
	rate := float64(r.Cores) / r.ServiceTime.Seconds()
	if r.dest.Limit != nil {
		rate = min(rate, r.dest.Limit.PerSecond(now)/float64(len(r.dest.Receivers)))
	}
	return rate * r.CapacityShare(now)
}

// Connect takes an entry of the connection table and reports whether one was free.
func (r *Receiver) Connect() bool {
	if r.maxConns > 0 && r.conns >= r.maxConns {
		return false
	}
	r.conns++
	return true
}

// Disconnect frees an entry of the connection table.
func (r *Receiver) Disconnect() { r.conns-- }

// randFor returns the random source for one step of one submit of a text at this receiver.
func (r *Receiver) randFor(step string, c *Call) *rand.Rand {
	text := uint64(0)
	if c.Text != nil {
		text = uint64(c.Text.No)
	}
	return newRand(r.seed, step, uint64(r.No), text, uint64(c.SubmitNo))
}

// checkOverload counts a call to a cold receiver, and marks the receiver overloaded if the calls in the window exceed what
// the rules allow.
func (r *Receiver) checkOverload(now time.Duration, sender int) {
	rules := r.dest.rules
	s := r.lastOutage(now)
	if s == nil || r.Outage(now) != nil || now >= s.To+seconds(rules.ColdS) {
		r.arrivals = r.arrivals[:0]
		return
	}
	window := seconds(rules.FallS)
	r.arrivals = append(r.arrivals, arrival{now, sender})
	for len(r.arrivals) > 0 && (r.arrivals[0].at <= now-window || r.arrivals[0].at < s.To) {
		r.arrivals = r.arrivals[1:]
	}
	allowed := rules.FallMultiple*r.Capacity(now)*rules.FallS + rules.FallSlack
	if float64(len(r.arrivals)) <= allowed || r.overloaded {
		return
	}
	r.overloaded = true
	r.Overload = &Overload{At: now, OutageFrom: s.From, Window: window, Allowed: allowed, BySender: map[int]int{}}
	for _, a := range r.arrivals {
		r.Overload.BySender[a.sender]++
	}
}

// Begin accepts a call whose last byte has arrived, and returns when its End is due. ends is false if no answer will come.
func (r *Receiver) Begin(now time.Duration, c *Call) (endAt time.Duration, ends bool) {
	c.startsAt = now
	r.checkOverload(now, c.Sender)
	rnd := r.randFor("begin", c)
	refuse := func(reason string, retryAfter time.Duration) (time.Duration, bool) {
		c.refused, c.reason = true, reason
		if retryAfter > 0 && rnd.Float64() < r.dest.Kind.TellsWait {
			c.retryAfter = retryAfter
		}
		return now + time.Millisecond, true
	}
	if r.overloaded || r.activeIncident(now, "silent") != nil {
		c.reason = "silent"
		return 0, false
	}
	if s := r.activeIncident(now, "full"); s != nil {
		return refuse("shut", s.To-now)
	}
	if l := r.dest.Limit; l != nil && !l.tryTake(now, r.dest.Kind.RefusedCount) {
		retryAfter := l.timeToNext(now)
		if l.span == 0 {
			retryAfter = max(retryAfter, millis(drawBetween(rnd, r.dest.Kind.WaitMs)))
		}
		return refuse("limit", retryAfter)
	}
	r.queuedStarts = slices.DeleteFunc(r.queuedStarts, func(at time.Duration) bool { return at <= now })
	freeCore := 0
	for i, at := range r.coreFreeAt {
		if at < r.coreFreeAt[freeCore] {
			freeCore = i
		}
	}
	c.startsAt = max(now, r.coreFreeAt[freeCore])
	if c.startsAt > now {
		if len(r.queuedStarts) >= r.maxQueue {
			return refuse("queue", 0)
		}
		r.queuedStarts = append(r.queuedStarts, c.startsAt)
	}
	work := 1.0
	if c.Text != nil {
		work = c.Text.WorkFactor
	}
	serviceTime := float64(r.ServiceTime) * work * lognormal(rnd, attemptNoise) / r.CapacityShare(c.startsAt)
	if s := r.activeIncident(c.startsAt, "slow"); s != nil {
		serviceTime *= max(1, s.Factor)
	}
	endAt = c.startsAt + time.Duration(serviceTime)
	if s := r.activeIncident(endAt, "pause"); s != nil { // each second of the incident begins with a pause
		if into := (endAt - s.From) % time.Second; into < millis(s.Factor) {
			endAt += millis(s.Factor) - into
		}
	}
	r.coreFreeAt[freeCore] = endAt
	return endAt, true
}

// attemptNoise is the coefficient of variation of the service time between submits of one text.
const attemptNoise = 0.2

// End returns the result of a call whose answer is due. A call that its sender gave up may still have run.
func (r *Receiver) End(now time.Duration, c *Call) Answer {
	report := r.dest.currentReport(now)
	if c.refused {
		status := 503
		if c.retryAfter > 0 {
			status = 429
		}
		return Answer{Status: status, RetryAfter: c.retryAfter, Report: report, Reason: c.reason}
	}
	draw := r.randFor("end", c).Float64()
	if r.activeIncident(now, "refuse") != nil { // it went down after Begin
		return Answer{Action: Reset, Executed: draw < 0.5 && r.execute(now, c), Reason: "down"}
	}
	if r.overloaded || r.activeIncident(now, "silent") != nil {
		return Answer{Action: NeverAnswer, Executed: draw < 0.5 && r.execute(now, c), Reason: "silent"}
	}
	if r.activeIncident(now, "reset") != nil {
		return Answer{Action: Reset, Executed: draw < 0.5 && r.execute(now, c), Reason: "reset"}
	}
	errorShare := r.dest.Kind.Errors
	if s := r.activeIncident(now, "errors"); s != nil {
		errorShare = max(errorShare, s.Factor)
	}
	if draw < errorShare {
		return Answer{Status: 500, Report: report, Reason: "error", Executed: draw < errorShare/4 && r.execute(now, c)}
	}
	known := c.Text != nil && c.Text.Mark != "" && r.dest.recordMark(now, c.Text.Mark, seconds(c.Text.Product.WindowS))
	return Answer{Status: 200, Report: report, Executed: !known, Duplicate: known}
}

// execute applies a text whose sender gets no success answer. It returns false if the text was a repeat.
func (r *Receiver) execute(now time.Duration, c *Call) bool {
	return c.Text == nil || c.Text.Mark == "" || !r.dest.recordMark(now, c.Text.Mark, seconds(c.Text.Product.WindowS))
}
