package world

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Day is one day drawn from a world: everything that does not depend on what the senders do.
type Day struct {
	World        *World
	Seed         uint64
	Length       time.Duration // period in which texts arrive
	End          time.Duration // by then every text handed in has ended
	Texts        []*Text       // ordered by time
	Destinations []*Destination
	Receivers    []*Receiver // including those added during the day
	Incidents    []Incident  // ordered by time
	Changes      []Change    // of the receiver list, ordered by time
	Fates        []Fate      // ordered by time
}

// Text is a text that a client wants delivered. Each of its hand-ins has an id of its own.
type Text struct {
	No          int
	At          time.Duration // time of the first hand-in
	Product     *Product
	Destination int
	Mark        string // deduplication mark of a referenced product
	Key         string // ordering key of an ordered product
	BodyBytes   int    // length
	WorkFactor  float64
}

// Validity returns the time until which the text may be delivered.
func (t *Text) Validity() time.Duration { return t.At + seconds(t.Product.ValidityS) }

// Worth returns the revenue of a delivery at a time.
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

// ID returns the id of hand-in number handInNo (from 0) of a text.
func (d *Day) ID(t *Text, handInNo int) string {
	return fmt.Sprintf("%016x", newRand(d.Seed, "id", uint64(t.No), uint64(handInNo)).Uint64())
}

// Incident is a trouble with its period and the destinations and receivers that it affects.
type Incident struct {
	Trouble
	From, To     time.Duration
	Destinations []int
	Receivers    []int
}

// Change is a version of the receiver list: the state it gives a receiver, and when each sender is notified. Version 1 is
// the list at the start of the day, so changes count from 2.
type Change struct {
	Version  int
	At       time.Duration
	Receiver int
	State    string          // Active, Leaving or Left
	NotifyAt []time.Duration // by sender
}

// States of a receiver in the list.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// Draw draws the day of a seed.
func (w *World) Draw(seed uint64) (*Day, error) {
	if err := w.validate(); err != nil {
		return nil, err
	}
	d := &Day{World: w, Seed: seed, Length: seconds(w.Seconds)}
	d.drawDestinations()
	d.drawIncidents()
	d.drawListChanges()
	d.drawArrivals()
	if len(d.Texts) > maxTexts {
		return nil, fmt.Errorf("load: %d texts in a day are drawn, %d at most", len(d.Texts), maxTexts)
	}
	d.Fates = slices.Clone(w.Fate)
	for i := range d.Fates {
		d.Fates[i].AtS += d.Fates[i].LaterS * newRand(seed, "fate", uint64(i)).Float64()
	}
	d.drawFateSenders()
	slices.SortStableFunc(d.Fates, func(a, b Fate) int { return cmp.Compare(a.AtS, b.AtS) })
	longest := 0.0
	for _, p := range w.Product {
		longest = max(longest, p.ValidityS)
	}
	d.End = d.Length + seconds(longest) + millis(w.Rules.EndMs+w.Rules.SlackMs)
	return d, nil
}

// drawFateSenders replaces each fate of a share of the senders by one fate for each sender drawn.
func (d *Day) drawFateSenders() {
	var fates []Fate
	for i, f := range d.Fates {
		if f.Share == 0 {
			fates = append(fates, f)
			continue
		}
		permutation := newRand(d.Seed, "befall", uint64(i)).Perm(d.World.Senders)
		for _, no := range permutation[:int(math.Round(f.Share*float64(d.World.Senders)))] {
			f.Sender = no
			fates = append(fates, f)
		}
	}
	d.Fates = fates
}

// maxTexts bounds the number of texts in a day.
const maxTexts = 2_000_000

// drawDestinations draws the destinations and their receivers.
func (d *Day) drawDestinations() {
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
	for _, weight := range weights {
		sum += weight
	}
	for i, k := range kinds {
		kind := &w.Kind[k]
		rnd := newRand(d.Seed, "destination", uint64(i))
		traffic := w.Load.PerSecond * weights[i] / sum
		receiverCount := int(math.Round(drawBetween(rnd, kind.Endpoints)))
		service := millis(drawBetween(rnd, kind.ServiceMs))
		cores := max(1, int(math.Ceil(drawBetween(rnd, kind.Spare)*traffic*service.Seconds()/float64(receiverCount))))
		dest := &Destination{No: i, Kind: kind, Share: weights[i] / sum, TextsPerSecond: traffic, rules: &w.Rules,
			marksSeen: map[string]time.Duration{}, phase: time.Duration(rnd.Float64() * float64(time.Second))}
		serviceRate := float64(receiverCount*cores) / service.Seconds()
		dest.PerSecond = serviceRate
		if kind.Limit != "none" {
			dest.Limit = newLimit(kind, max(kind.LeastPerS, drawBetween(rnd, kind.Headroom)*traffic), dest.phase)
			dest.PerSecond = min(serviceRate, dest.Limit.PerSecond(0))
		}
		dest.reportInterval = max(time.Millisecond, millis(drawBetween(rnd, kind.ReportMs)))
		for range receiverCount {
			d.addReceiver(dest, service, cores)
		}
		d.Destinations = append(d.Destinations, dest)
	}
	// The rates in the list; rough ones are up to half too high or too low.
	for _, r := range d.Receivers {
		switch w.List.Rate {
		case "nominal":
			r.Rate = r.dest.PerSecond
		case "rough":
			r.Rate = r.dest.PerSecond * (0.5 + newRand(d.Seed, "rough", uint64(r.dest.No)).Float64())
		default:
			r.Rate = 1
		}
	}
}

// addReceiver adds a receiver to a destination.
func (d *Day) addReceiver(dest *Destination, service time.Duration, cores int) *Receiver {
	no := len(d.Receivers)
	r := &Receiver{No: no, ID: fmt.Sprintf("s-%08x", newRand(d.Seed, "receiver", uint64(no)).Uint32()), AddressNo: no,
		ServiceTime: service, Cores: cores, dest: dest, seed: d.Seed, up: true, coreFreeAt: make([]time.Duration, cores)}
	if dest.Kind.Conns > 0 {
		r.maxConns = max(4, int(dest.Kind.Conns*float64(cores)))
	}
	r.maxQueue = int(dest.Kind.Queue * float64(cores))
	dest.Receivers = append(dest.Receivers, r)
	d.Receivers = append(d.Receivers, r)
	return r
}

// drawIncidents draws what each trouble affects: destinations of its kind until they have its share of the traffic.
func (d *Day) drawIncidents() {
	for i, t := range d.World.Trouble {
		rnd := newRand(d.Seed, "trouble", uint64(i))
		delay := t.LaterS * newRand(d.Seed, "later", uint64(i)).Float64()
		s := Incident{Trouble: t, From: seconds(t.AtS + delay), To: seconds(t.AtS + delay + t.ForS)}
		share := 0.0
		for _, no := range rnd.Perm(len(d.Destinations)) {
			dest := d.Destinations[no]
			if t.Kind != "" && dest.Kind.Name != t.Kind || share >= t.Share && len(s.Destinations) > 0 {
				continue
			}
			share += dest.Share
			s.Destinations = append(s.Destinations, no)
			firstOnly := t.What == "drain" || t.What == "replace" // the other receivers keep serving
			for _, r := range dest.Receivers {
				if !firstOnly || r == dest.Receivers[0] {
					s.Receivers = append(s.Receivers, r.No)
				}
			}
		}
		switch t.What {
		case "list_silent", "list_cut", "flash":
			s.Destinations, s.Receivers = nil, nil
		}
		d.Incidents = append(d.Incidents, s)
	}
	slices.SortStableFunc(d.Incidents, func(a, b Incident) int { return cmp.Compare(a.From, b.From) })
	for i, s := range d.Incidents {
		for _, no := range s.Destinations {
			if l := d.Destinations[no].Limit; s.What == "cut" && l != nil {
				l.reductions = append(l.reductions, &d.Incidents[i])
			}
		}
		for _, no := range s.Receivers {
			r := d.Receivers[no]
			switch s.What {
			case "drain":
				r.LeavesAt, r.RemovedAt = s.From, s.To
			case "replace": // a new receiver takes over the address
				r.LeavesAt, r.RemovedAt = s.From, s.To
				replacement := d.addReceiver(r.dest, r.ServiceTime, r.Cores)
				replacement.AddressNo, replacement.Rate, replacement.AddedAt = r.AddressNo, r.Rate, s.To+replaceAfter
			default:
				r.incidents = append(r.incidents, &d.Incidents[i])
			}
		}
	}
}

// replaceAfter is the time between the removal of a receiver and the arrival of its replacement at the same address.
const replaceAfter = 200 * time.Millisecond

// drawListChanges collects the changes of the receiver list and draws when each sender is notified.
func (d *Day) drawListChanges() {
	for _, r := range d.Receivers {
		if r.AddedAt > 0 {
			d.Changes = append(d.Changes, Change{At: r.AddedAt, Receiver: r.No, State: Active})
		}
		if r.RemovedAt > 0 {
			d.Changes = append(d.Changes, Change{At: r.LeavesAt, Receiver: r.No, State: Leaving},
				Change{At: r.RemovedAt, Receiver: r.No, State: Left})
		}
	}
	slices.SortStableFunc(d.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	lastNotified := make([]time.Duration, d.World.Senders)
	for i := range d.Changes {
		change := &d.Changes[i]
		change.Version = i + 2 // version 1 is the list at the start
		for s := range d.World.Senders {
			at := change.At + seconds(drawBetween(newRand(d.Seed, "lag", uint64(i), uint64(s)), d.World.List.LagS))
			for _, t := range d.Incidents {
				if t.What == "list_silent" && at >= t.From && at < t.To {
					at = t.To
				}
			}
			lastNotified[s] = max(lastNotified[s], at) // senders get changes in order
			change.NotifyAt = append(change.NotifyAt, lastNotified[s])
		}
	}
}

// Version returns the newest list version that a sender may have been notified of.
func (d *Day) Version(sender int, now time.Duration) int {
	v := 1
	for _, c := range d.Changes {
		if c.NotifyAt[sender] <= now {
			v = c.Version
		}
	}
	return v
}

// State returns the state of a receiver in a version of the list, or "" if it is not listed.
func (d *Day) State(r *Receiver, version int) string {
	state := Active
	if r.AddedAt > 0 {
		state = ""
	}
	for _, c := range d.Changes {
		if c.Version <= version && c.Receiver == r.No {
			state = c.State
		}
	}
	return state
}

// ListSilent reports whether the platform sends no list updates.
func (d *Day) ListSilent(now time.Duration) bool { return d.incidentActive("list_silent", now) }

// ListCut reports whether the platform ends watches of the list at once.
func (d *Day) ListCut(now time.Duration) bool { return d.incidentActive("list_cut", now) }

func (d *Day) incidentActive(kind string, now time.Duration) bool {
	return slices.ContainsFunc(d.Incidents, func(s Incident) bool { return s.What == kind && now >= s.From && now < s.To })
}

// drawArrivals draws the texts and the times of their first hand-in.
func (d *Day) drawArrivals() {
	w, rnd := d.World, newRand(d.Seed, "arrivals")
	maxRate := w.Load.PerSecond * (1 + w.Load.Swing)
	for _, s := range d.Incidents {
		if s.What == "flash" {
			maxRate += w.Load.PerSecond * s.Factor
		}
	}
	phase := rnd.Float64()
	rate := func(at time.Duration) float64 {
		wave := math.Sin(2 * math.Pi * (at.Seconds()/w.Load.WaveS + phase))
		r := w.Load.PerSecond * (1 + w.Load.Swing*wave)
		for _, s := range d.Incidents {
			if s.What == "flash" && at >= s.From && at < s.To {
				r += w.Load.PerSecond * s.Factor
			}
		}
		return r * (1 - w.Load.Clumps)
	}
	for at := time.Duration(0); ; {
		at += seconds(rnd.ExpFloat64() / maxRate)
		if at >= d.Length || len(d.Texts) > maxTexts {
			break
		}
		if rnd.Float64()*maxRate >= rate(at) {
			continue
		}
		dest := d.drawDestination(rnd.Float64())
		d.addText(at, dest)
		size := max(2, d.Destinations[dest].PerSecond*drawBetween(rnd, w.Load.ClumpS))
		if rnd.Float64()*size < w.Load.Clumps/(1-w.Load.Clumps) {
			for range int(size) {
				d.addText(at+time.Duration(rnd.Float64()*float64(clumpWithin)), dest)
			}
		}
	}
	for i, s := range d.Incidents { // hot: additional texts for the affected destinations
		rnd := newRand(d.Seed, "hot", uint64(i))
		if s.What != "hot" || s.Factor == 0 {
			continue
		}
		for at := s.From; ; {
			at += seconds(rnd.ExpFloat64() / (w.Load.PerSecond * s.Factor))
			if at >= min(s.To, d.Length) || len(d.Texts) > maxTexts {
				break
			}
			d.addText(at, s.Destinations[rnd.IntN(len(s.Destinations))])
		}
	}
	slices.SortStableFunc(d.Texts, func(a, b *Text) int { return cmp.Compare(a.At, b.At) })
}

// clumpWithin is the period in which the texts of a clump are handed in.
const clumpWithin = 200 * time.Millisecond

func (d *Day) drawDestination(draw float64) int {
	for i, dest := range d.Destinations {
		if draw -= dest.Share; draw < 0 {
			return i
		}
	}
	return len(d.Destinations) - 1
}

func (d *Day) addText(at time.Duration, dest int) {
	no := len(d.Texts)
	rnd := newRand(d.Seed, "text", uint64(no))
	t := &Text{No: no, At: at, Destination: dest, BodyBytes: int(drawBetween(rnd, d.World.Load.BodyBytes))}
	sum := 0.0
	for _, p := range d.World.Product {
		sum += p.Share
	}
	draw := rnd.Float64() * sum
	for i := range d.World.Product {
		if t.Product = &d.World.Product[i]; draw < t.Product.Share {
			break
		}
		draw -= t.Product.Share
	}
	if t.Product.Repeat == "referenced" {
		t.Mark = fmt.Sprintf("%016x%016x", rnd.Uint64(), rnd.Uint64())
	}
	if t.Product.Ordered {
		t.Key = fmt.Sprintf("k%d-%d", dest, rnd.IntN(t.Product.Keys)) // a key belongs to one destination: no other's outage delays it
	}
	t.WorkFactor = lognormal(rnd, d.Destinations[dest].Kind.ServiceCV)
	d.Texts = append(d.Texts, t)
}
