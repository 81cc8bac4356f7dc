package world

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Destination is another firm's system: one to some receivers that share its limit and its memory of marks.
type Destination struct {
	No        int
	Kind      *Kind
	Share     float64 // of the traffic
	Traffic   float64 // texts a second
	PerSecond float64 // calls that it can answer a second, by service and limit
	Limit     *Limit  // nil: none
	Receivers []*Receiver

	rules       *Rules
	phase       time.Duration
	reportEvery time.Duration
	reported    time.Duration // the report's instant
	report      Report
	known       map[string]time.Duration // marks, since when
	forget      []marked
}

type marked struct {
	mark  string
	until time.Duration
}

// Report is what an answer tells of the limit.
type Report struct {
	Share, PerSecond float64
	OK               bool // whether it tells anything
}

// remember says whether a mark is known, and knows it from now on.
func (d *Destination) remember(now time.Duration, mark string, window time.Duration) bool {
	for len(d.forget) > 0 && d.forget[0].until <= now {
		delete(d.known, d.forget[0].mark)
		d.forget = d.forget[1:]
	}
	if since, ok := d.known[mark]; ok && now < since+window {
		return true
	}
	d.known[mark] = now
	d.forget = append(d.forget, marked{mark, now + window})
	return false
}

// reports gives the report of an instant: as fresh as the last time it was made.
func (d *Destination) reports(now time.Duration) Report {
	if !d.Kind.Reports || d.Limit == nil {
		return Report{}
	}
	made := now - (now-d.phase+1000*d.reportEvery)%d.reportEvery
	if !d.report.OK || made > d.reported {
		d.reported = made
		left := d.Limit.leftAt(max(made, d.Limit.at)) / d.Limit.burst(made)
		d.report = Report{Share: max(0, min(1, left)), PerSecond: d.Limit.PerSecond(made), OK: true}
	}
	return d.report
}

// Call is one submit as a receiver sees it.
type Call struct {
	Sender int
	Text   *Text // nil: nobody handed it in
	Submit int   // of the text, from 0, as the receivers count them

	starts  time.Duration
	refused bool
	wait    time.Duration
	why     string
}

// Do says what becomes of a connection on which a call came.
type Do int

// What a receiver does.
const (
	Respond Do = iota
	Reset      // the connection is reset
	Nothing    // nothing, ever
)

// Answer is what becomes of a call.
type Answer struct {
	Do     Do
	Status int
	Wait   time.Duration // told; 0: none
	Report Report
	Ran    bool // the text had its effect
	Known  bool // it was dropped as a repeat: no second effect
	Why    string
}

// Receiver is one endpoint of a destination.
type Receiver struct {
	No       int
	ID       string
	Place    int // receivers of one place share an address, one after the other
	Rate     float64
	Service  time.Duration
	Cores    int
	ComesAt  time.Duration // 0: there from the start
	LeavesAt time.Duration // 0: never
	GoneAt   time.Duration

	dest      *Destination
	seed      uint64
	strikes   []*Strike
	free      []time.Duration // when each core is
	conns     int
	mostConns int // 0: any number
	mostQueue int
	waiting   []time.Duration // when each call in the queue starts

	up       bool      // by the last look
	arrivals []arrival // while cold
	fallen   bool
	Fell     *Fall // set once it falls over
}

type arrival struct {
	at     time.Duration
	sender int
}

// Fall says how a receiver was pushed over: who sent how much in the window before it.
type Fall struct {
	At       time.Duration
	From     time.Duration // the outage began
	Window   time.Duration
	Borne    float64
	BySender map[int]int
}

// Destination is whose receiver it is.
func (r *Receiver) Destination() *Destination { return r.dest }

// strike finds a trouble that lasts.
func (r *Receiver) strike(now time.Duration, what ...string) *Strike {
	for _, s := range r.strikes {
		if now >= s.From && now < s.To && slices.Contains(what, s.What) {
			return s
		}
	}
	return nil
}

// Listens says whether connections come up.
func (r *Receiver) Listens(now time.Duration) bool {
	return now >= r.ComesAt && (r.GoneAt == 0 || now < r.GoneAt) && r.strike(now, "refuse") == nil
}

// Outage is the outage that lasts at an instant, or nil: down, silent, shut, or most calls fail.
func (r *Receiver) Outage(now time.Duration) *Strike {
	if s := r.strike(now, "refuse", "reset", "silent", "full"); s != nil {
		return s
	}
	if s := r.strike(now, "errors"); s != nil && s.Factor >= 0.5 {
		return s
	}
	return nil
}

// lastOutage is the latest that ended by an instant.
func (r *Receiver) lastOutage(now time.Duration) *Strike {
	var last *Strike
	for _, s := range r.strikes {
		if s.To <= now && (last == nil || s.To > last.To) && r.Outage(s.From) != nil {
			last = s
		}
	}
	return last
}

// Warmth is the share of its capacity that a receiver has: less after an outage, rising until it is warm.
func (r *Receiver) Warmth(now time.Duration) float64 {
	s := r.lastOutage(now)
	ramp := seconds(r.dest.rules.ColdS)
	if s == nil || now >= s.To+ramp {
		return 1
	}
	from := r.dest.rules.ColdFrom
	return from + (1-from)*float64(now-s.To)/float64(ramp)
}

// Capacity is how many calls a second it can answer just now: its even part of what its destination lets through,
// or what it serves.
func (r *Receiver) Capacity(now time.Duration) float64 {
	c := float64(r.Cores) / r.Service.Seconds()
	if r.dest.Limit != nil {
		c = min(c, r.dest.Limit.PerSecond(now)/float64(len(r.dest.Receivers)))
	}
	return c * r.Warmth(now)
}

// Connect takes a place in the connection table; false if there is none.
func (r *Receiver) Connect() bool {
	if r.mostConns > 0 && r.conns >= r.mostConns {
		return false
	}
	r.conns++
	return true
}

// Disconnect frees the place.
func (r *Receiver) Disconnect() { r.conns-- }

// draw is the chance of one step of one submit of a text here.
func (r *Receiver) draw(step string, c *Call) *rand.Rand {
	text := uint64(0)
	if c.Text != nil {
		text = uint64(c.Text.No)
	}
	return chance(r.seed, step, uint64(r.No), text, uint64(c.Submit))
}

// weigh counts a call against a cold receiver, and says whether it falls over by it.
func (r *Receiver) weigh(now time.Duration, sender int) {
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
	borne := rules.FallMultiple*r.Capacity(now)*rules.FallS + rules.FallSlack
	if float64(len(r.arrivals)) <= borne || r.fallen {
		return
	}
	r.fallen = true
	r.Fell = &Fall{At: now, From: s.From, Window: window, Borne: borne, BySender: map[int]int{}}
	for _, a := range r.arrivals {
		r.Fell.BySender[a.sender]++
	}
}

// Begin takes a call whose last byte has come, and says when its End is due; never where nothing will come.
func (r *Receiver) Begin(now time.Duration, c *Call) (due time.Duration, ever bool) {
	c.starts = now
	r.weigh(now, c.Sender)
	chance := r.draw("begin", c)
	refuse := func(why string, room time.Duration) (time.Duration, bool) {
		c.refused, c.why = true, why
		if room > 0 && chance.Float64() < r.dest.Kind.TellsWait {
			c.wait = room
		}
		return now + time.Millisecond, true
	}
	if r.fallen || r.strike(now, "silent") != nil {
		c.why = "silent"
		return 0, false
	}
	if s := r.strike(now, "full"); s != nil {
		return refuse("shut", s.To-now)
	}
	if l := r.dest.Limit; l != nil && !l.take(now, r.dest.Kind.RefusedCount) {
		room := l.room(now)
		if l.span == 0 {
			room = max(room, millis(between(chance, r.dest.Kind.WaitMs)))
		}
		return refuse("limit", room)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(at time.Duration) bool { return at <= now })
	core := 0
	for i, at := range r.free {
		if at < r.free[core] {
			core = i
		}
	}
	c.starts = max(now, r.free[core])
	if c.starts > now {
		if len(r.waiting) >= r.mostQueue {
			return refuse("queue", 0)
		}
		r.waiting = append(r.waiting, c.starts)
	}
	work := 1.0
	if c.Text != nil {
		work = c.Text.Work
	}
	took := float64(r.Service) * work * lognormal(chance, attemptNoise) / r.Warmth(c.starts)
	if s := r.strike(c.starts, "slow"); s != nil {
		took *= max(1, s.Factor)
	}
	due = c.starts + time.Duration(took)
	if s := r.strike(due, "pause"); s != nil { // each second of it begins with a standstill
		if into := (due - s.From) % time.Second; into < millis(s.Factor) {
			due += millis(s.Factor) - into
		}
	}
	r.free[core] = due
	return due, true
}

// attemptNoise is how far two submits of one text differ in work.
const attemptNoise = 0.2

// End says what becomes of a call whose answer is due. A call that was given up may have run on.
func (r *Receiver) End(now time.Duration, c *Call) Answer {
	report := r.dest.reports(now)
	if c.refused {
		status := 503
		if c.wait > 0 {
			status = 429
		}
		return Answer{Status: status, Wait: c.wait, Report: report, Why: c.why}
	}
	u := r.draw("end", c).Float64()
	if r.strike(now, "refuse") != nil { // it died meanwhile
		return Answer{Do: Reset, Ran: u < 0.5 && r.run(now, c), Why: "down"}
	}
	if r.fallen || r.strike(now, "silent") != nil {
		return Answer{Do: Nothing, Ran: u < 0.5 && r.run(now, c), Why: "silent"}
	}
	if r.strike(now, "reset") != nil {
		return Answer{Do: Reset, Ran: u < 0.5 && r.run(now, c), Why: "reset"}
	}
	errs := r.dest.Kind.Errors
	if s := r.strike(now, "errors"); s != nil {
		errs = max(errs, s.Factor)
	}
	if u < errs {
		return Answer{Status: 500, Report: report, Why: "error", Ran: u < errs/4 && r.run(now, c)}
	}
	known := c.Text != nil && c.Text.Mark != "" && r.dest.remember(now, c.Text.Mark, seconds(c.Text.Product.WindowS))
	return Answer{Status: 200, Report: report, Ran: !known, Known: known}
}

// run has a text take effect without its sender being told; it says so unless it was a repeat.
func (r *Receiver) run(now time.Duration, c *Call) bool {
	return c.Text == nil || c.Text.Mark == "" || !r.dest.remember(now, c.Text.Mark, seconds(c.Text.Product.WindowS))
}
