package world

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Day is one draw of a world: all that does not hang on what the senders do.
type Day struct {
	World        *World
	Seed         uint64
	Length       time.Duration // texts arrive for so long
	End          time.Duration // by then all that was handed in is over
	Texts        []*Text       // by time
	Destinations []*Destination
	Receivers    []*Receiver // those that come in the course of the day, too
	Strikes      []Strike    // by time
	Changes      []Change    // of the list, by time
	Fates        []Fate      // by time
}

// Text is what a client wants delivered. It may be handed in several times, each under an id of its own.
type Text struct {
	No          int
	At          time.Duration // first handed in
	Product     *Product
	Destination int
	Mark        string // for referenced
	Key         string // for ordered
	Body        int    // bytes
	Work        float64
}

// Validity is until when the text may be delivered.
func (t *Text) Validity() time.Duration { return t.At + seconds(t.Product.ValidityS) }

// Worth is the revenue of a delivery at an instant.
func (t *Text) Worth(at time.Duration) float64 {
	late := at - t.At
	sla := seconds(t.Product.SLAS)
	switch {
	case late <= sla:
		return t.Product.Revenue
	case late > seconds(t.Product.ValidityS):
		return 0
	}
	halves := math.Ceil(float64(late-sla) / float64(sla))
	return t.Product.Revenue * max(t.Product.LateShare, math.Pow(0.5, halves))
}

// ID is the id under which a text is handed in for the n-th time, from 0.
func (d *Day) ID(t *Text, n int) string {
	return fmt.Sprintf("%016x", chance(d.Seed, "id", uint64(t.No), uint64(n)).Uint64())
}

// Strike is a trouble with what it strikes.
type Strike struct {
	Trouble
	From, To     time.Duration
	Destinations []int
	Receivers    []int
}

// Change is one of the list's versions, from 1: what it says of a receiver, and when each sender is told.
type Change struct {
	Version  int
	At       time.Duration
	Receiver int
	State    string          // active, leaving, left
	Told     []time.Duration // a sender each
}

// The states in which the list names a receiver.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// Draw draws a day.
func (w *World) Draw(seed uint64) (*Day, error) {
	if err := w.check(); err != nil {
		return nil, err
	}
	d := &Day{World: w, Seed: seed, Length: seconds(w.Seconds)}
	d.places()
	d.strikes()
	d.list()
	d.arrivals()
	if len(d.Texts) > mostTexts {
		return nil, fmt.Errorf("load: %d texts in a day are drawn, %d at most", len(d.Texts), mostTexts)
	}
	d.Fates = slices.Clone(w.Fate)
	for i := range d.Fates {
		d.Fates[i].AtS += d.Fates[i].LaterS * chance(seed, "fate", uint64(i)).Float64()
	}
	d.befall()
	slices.SortStableFunc(d.Fates, func(a, b Fate) int { return cmp.Compare(a.AtS, b.AtS) })
	longest := 0.0
	for _, p := range w.Product {
		longest = max(longest, p.ValidityS)
	}
	d.End = d.Length + seconds(longest) + millis(w.Rules.EndMs+w.Rules.SlackMs)
	return d, nil
}

// befall draws the senders of a fate that strikes a share of them.
func (d *Day) befall() {
	var all []Fate
	for i, f := range d.Fates {
		if f.Share == 0 {
			all = append(all, f)
			continue
		}
		struck := chance(d.Seed, "befall", uint64(i)).Perm(d.World.Senders)
		for _, no := range struck[:int(math.Round(f.Share*float64(d.World.Senders)))] {
			f.Sender = no
			all = append(all, f)
		}
	}
	d.Fates = all
}

// mostTexts bounds a day.
const mostTexts = 2_000_000

// places draws destinations and their receivers.
func (d *Day) places() {
	w := d.World
	var weights []float64
	var kinds []int
	for k := range w.Kind {
		for range w.Kind[k].Destinations {
			weights = append(weights, 1/math.Pow(float64(len(weights)+1), w.Load.Zipf))
			kinds = append(kinds, k)
		}
	}
	sum := 0.0
	for _, x := range weights {
		sum += x
	}
	for i, k := range kinds {
		kind := &w.Kind[k]
		c := chance(d.Seed, "destination", uint64(i))
		traffic := w.Load.PerSecond * weights[i] / sum
		n := int(math.Round(between(c, kind.Endpoints)))
		service := millis(between(c, kind.ServiceMs))
		cores := max(1, int(math.Ceil(between(c, kind.Spare)*traffic*service.Seconds()/float64(n))))
		dest := &Destination{No: i, Kind: kind, Share: weights[i] / sum, Traffic: traffic, rules: &w.Rules,
			known: map[string]time.Duration{}, phase: time.Duration(c.Float64() * float64(time.Second))}
		served := float64(n*cores) / service.Seconds()
		dest.PerSecond = served
		if kind.Limit != "none" {
			dest.Limit = newLimit(kind, max(kind.LeastPerS, between(c, kind.Headroom)*traffic), dest.phase)
			dest.PerSecond = min(served, dest.Limit.PerSecond(0))
		}
		dest.reportEvery = max(time.Millisecond, millis(between(c, kind.ReportMs)))
		for range n {
			d.add(dest, service, cores)
		}
		d.Destinations = append(d.Destinations, dest)
	}
	// What the list tells of the rates, up to half too high or too low.
	for _, r := range d.Receivers {
		switch w.List.Rate {
		case "nominal":
			r.Rate = r.dest.PerSecond
		case "rough":
			r.Rate = r.dest.PerSecond * (0.5 + chance(d.Seed, "rough", uint64(r.dest.No)).Float64())
		default:
			r.Rate = 1
		}
	}
}

// add makes a receiver.
func (d *Day) add(dest *Destination, service time.Duration, cores int) *Receiver {
	no := len(d.Receivers)
	r := &Receiver{No: no, ID: fmt.Sprintf("s-%08x", chance(d.Seed, "receiver", uint64(no)).Uint32()), Place: no,
		Service: service, Cores: cores, dest: dest, seed: d.Seed, up: true, free: make([]time.Duration, cores)}
	if dest.Kind.Conns > 0 {
		r.mostConns = max(4, int(dest.Kind.Conns*float64(cores)))
	}
	r.mostQueue = int(dest.Kind.Queue * float64(cores))
	dest.Receivers = append(dest.Receivers, r)
	d.Receivers = append(d.Receivers, r)
	return r
}

// strikes says what each trouble strikes: destinations of its kind, drawn until they have its share of the traffic.
func (d *Day) strikes() {
	for i, t := range d.World.Trouble {
		c := chance(d.Seed, "trouble", uint64(i))
		later := t.LaterS * chance(d.Seed, "later", uint64(i)).Float64()
		s := Strike{Trouble: t, From: seconds(t.AtS + later), To: seconds(t.AtS + later + t.ForS)}
		share := 0.0
		for _, no := range c.Perm(len(d.Destinations)) {
			dest := d.Destinations[no]
			if t.Kind != "" && dest.Kind.Name != t.Kind || share >= t.Share && len(s.Destinations) > 0 {
				continue
			}
			share += dest.Share
			s.Destinations = append(s.Destinations, no)
			one := t.What == "drain" || t.What == "replace" // the others go on serving
			for _, r := range dest.Receivers {
				if !one || r == dest.Receivers[0] {
					s.Receivers = append(s.Receivers, r.No)
				}
			}
		}
		switch t.What {
		case "list_silent", "list_cut", "flash":
			s.Destinations, s.Receivers = nil, nil
		}
		d.Strikes = append(d.Strikes, s)
	}
	slices.SortStableFunc(d.Strikes, func(a, b Strike) int { return cmp.Compare(a.From, b.From) })
	for i, s := range d.Strikes {
		for _, no := range s.Destinations {
			if l := d.Destinations[no].Limit; s.What == "cut" && l != nil {
				l.cuts = append(l.cuts, &d.Strikes[i])
			}
		}
		for _, no := range s.Receivers {
			r := d.Receivers[no]
			switch s.What {
			case "drain":
				r.LeavesAt, r.GoneAt = s.From, s.To
			case "replace": // another comes to the address of one that is gone
				r.LeavesAt, r.GoneAt = s.From, s.To
				next := d.add(r.dest, r.Service, r.Cores)
				next.Place, next.Rate, next.ComesAt = r.Place, r.Rate, s.To+replaceAfter
			default:
				r.strikes = append(r.strikes, &d.Strikes[i])
			}
		}
	}
}

// replaceAfter is how long an address stands empty before another receiver has it.
const replaceAfter = 200 * time.Millisecond

// list draws what the list says, and when it says it to whom.
func (d *Day) list() {
	for _, r := range d.Receivers {
		if r.ComesAt > 0 {
			d.Changes = append(d.Changes, Change{At: r.ComesAt, Receiver: r.No, State: Active})
		}
		if r.GoneAt > 0 {
			d.Changes = append(d.Changes, Change{At: r.LeavesAt, Receiver: r.No, State: Leaving},
				Change{At: r.GoneAt, Receiver: r.No, State: Left})
		}
	}
	slices.SortStableFunc(d.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	last := make([]time.Duration, d.World.Senders)
	for i := range d.Changes {
		ch := &d.Changes[i]
		ch.Version = i + 2 // 1 is the list at the start
		for s := range d.World.Senders {
			at := ch.At + seconds(between(chance(d.Seed, "lag", uint64(i), uint64(s)), d.World.List.LagS))
			for _, t := range d.Strikes {
				if t.What == "list_silent" && at >= t.From && at < t.To {
					at = t.To
				}
			}
			last[s] = max(last[s], at) // in order
			ch.Told = append(ch.Told, last[s])
		}
	}
}

// Version is the newest version that a sender may be told at an instant.
func (d *Day) Version(sender int, now time.Duration) int {
	v := 1
	for _, c := range d.Changes {
		if c.Told[sender] <= now {
			v = c.Version
		}
	}
	return v
}

// State is how a version of the list names a receiver; empty if it does not.
func (d *Day) State(r *Receiver, version int) string {
	state := Active
	if r.ComesAt > 0 {
		state = ""
	}
	for _, c := range d.Changes {
		if c.Version <= version && c.Receiver == r.No {
			state = c.State
		}
	}
	return state
}

// ListSilent says whether the platform has fallen silent, and ListCut until when watches end at once.
func (d *Day) ListSilent(now time.Duration) bool { return d.struck("list_silent", now) }

// ListCut says whether watches are cut.
func (d *Day) ListCut(now time.Duration) bool { return d.struck("list_cut", now) }

func (d *Day) struck(what string, now time.Duration) bool {
	return slices.ContainsFunc(d.Strikes, func(s Strike) bool { return s.What == what && now >= s.From && now < s.To })
}

// arrivals draws what clients hand in.
func (d *Day) arrivals() {
	w, c := d.World, chance(d.Seed, "arrivals")
	most := w.Load.PerSecond * (1 + w.Load.Swing)
	for _, s := range d.Strikes {
		if s.What == "flash" {
			most += w.Load.PerSecond * s.Factor
		}
	}
	phase := c.Float64()
	rate := func(at time.Duration) float64 {
		wave := math.Sin(2 * math.Pi * (at.Seconds()/w.Load.WaveS + phase))
		r := w.Load.PerSecond * (1 + w.Load.Swing*wave)
		for _, s := range d.Strikes {
			if s.What == "flash" && at >= s.From && at < s.To {
				r += w.Load.PerSecond * s.Factor
			}
		}
		return r * (1 - w.Load.Clumps)
	}
	for at := time.Duration(0); ; {
		at += seconds(c.ExpFloat64() / most)
		if at >= d.Length || len(d.Texts) > mostTexts {
			break
		}
		if c.Float64()*most >= rate(at) {
			continue
		}
		dest := d.drawDestination(c.Float64())
		d.text(at, dest)
		size := max(2, d.Destinations[dest].PerSecond*between(c, w.Load.ClumpS))
		if c.Float64()*size < w.Load.Clumps/(1-w.Load.Clumps) {
			for range int(size) {
				d.text(at+time.Duration(c.Float64()*float64(clumpWithin)), dest)
			}
		}
	}
	for i, s := range d.Strikes { // hot: more for those struck
		c := chance(d.Seed, "hot", uint64(i))
		if s.What != "hot" || s.Factor == 0 {
			continue
		}
		for at := s.From; ; {
			at += seconds(c.ExpFloat64() / (w.Load.PerSecond * s.Factor))
			if at >= min(s.To, d.Length) || len(d.Texts) > mostTexts {
				break
			}
			d.text(at, s.Destinations[c.IntN(len(s.Destinations))])
		}
	}
	slices.SortStableFunc(d.Texts, func(a, b *Text) int { return cmp.Compare(a.At, b.At) })
}

// clumpWithin is the time in which the texts of a clump are handed in.
const clumpWithin = 200 * time.Millisecond

func (d *Day) drawDestination(u float64) int {
	for i, dest := range d.Destinations {
		if u -= dest.Share; u < 0 {
			return i
		}
	}
	return len(d.Destinations) - 1
}

func (d *Day) text(at time.Duration, dest int) {
	no := len(d.Texts)
	c := chance(d.Seed, "text", uint64(no))
	t := &Text{No: no, At: at, Destination: dest, Body: int(between(c, d.World.Load.BodyBytes))}
	sum := 0.0
	for _, p := range d.World.Product {
		sum += p.Share
	}
	u := c.Float64() * sum
	for i := range d.World.Product {
		if t.Product = &d.World.Product[i]; u < t.Product.Share {
			break
		}
		u -= t.Product.Share
	}
	if t.Product.Repeat == "referenced" {
		t.Mark = fmt.Sprintf("%016x%016x", c.Uint64(), c.Uint64())
	}
	if t.Product.Ordered {
		t.Key = fmt.Sprintf("k%d-%d", dest, c.IntN(t.Product.Keys)) // of one destination: another's outage does not hold it up
	}
	t.Work = lognormal(c, d.Destinations[dest].Kind.ServiceCV)
	d.Texts = append(d.Texts, t)
}
