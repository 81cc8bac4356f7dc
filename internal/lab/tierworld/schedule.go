package tierworld

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Strike is a trouble with its instants, on the clock of the traffic.
type Strike struct {
	What     What
	From, To time.Duration // alike: it has no length of its own
	On       string        // a role, a service or a kind of arrivals; may be empty
	No       int           // which of them, from 0
	Share    float64
	Factor   float64
	Next     string // service that takes the address of a receiver
}

// Lasts is how long the strike goes on.
func (s Strike) Lasts() time.Duration { return s.To - s.From }

// acts says whether the strike goes on at an instant.
func (s Strike) acts(at time.Duration) bool { return at >= s.From && at < s.To }

// String names the strike as a world does.
func (s Strike) String() string {
	parts := []string{string(s.What)}
	k, _ := kindOf(s.What)
	if s.On != "" && k.all {
		parts = append(parts, "of "+s.On)
	} else if s.On != "" {
		parts = append(parts, fmt.Sprintf("%s %d", s.On, s.No))
	}
	switch k.strength {
	case byShare:
		parts = append(parts, fmt.Sprintf("share %g", s.Share))
	case byFactor:
		parts = append(parts, fmt.Sprintf("factor %g", s.Factor))
	}
	if s.Next != "" && s.Next != s.On {
		parts = append(parts, "then "+s.Next)
	}
	if s.Lasts() > 0 {
		parts = append(parts, fmt.Sprintf("for %gs", s.Lasts().Seconds()))
	}
	return strings.Join(parts, " ")
}

// Schedule is all that strikes on a day, in the order of its instants.
type Schedule []Strike

// Schedule lays the troubles of a world out in time.
func (w *World) Schedule() Schedule {
	list := make(Schedule, 0, len(w.Trouble))
	for _, t := range w.Trouble {
		from := span(t.AtS)
		next := t.Next
		if k, _ := kindOf(t.What); k.next && next == "" {
			next = t.On
		}
		list = append(list, Strike{What: t.What, From: from, To: from + span(t.ForS), On: t.On, No: t.No,
			Share: t.Share, Factor: t.Factor, Next: next})
	}
	slices.SortStableFunc(list, func(a, b Strike) int { return cmp.Compare(a.From, b.From) })
	return list
}

// Conduct is how a receiver treats a request that reaches it at an instant.
type Conduct struct {
	Lose   float64       // share of answers whose connection breaks
	Errors float64       // share of requests that get a 500
	Hang   float64       // share of requests that are not answered before Until
	Until  time.Duration // the hanging is over
	Slow   float64       // its work takes so many times as long; 1 usually
}

// Conduct is that of a service's receiver of a number. Of strikes at once the strongest counts, and slowness
// multiplies.
func (s Schedule) Conduct(service string, no int, at time.Duration) Conduct {
	c := Conduct{Slow: 1}
	for _, strike := range s {
		if strike.On != service || strike.No != no || !strike.acts(at) {
			continue
		}
		switch strike.What {
		case LoseAnswers:
			c.Lose = max(c.Lose, strike.Share)
		case Errors:
			c.Errors = max(c.Errors, strike.Share)
		case Hang:
			c.Hang = max(c.Hang, strike.Share)
			c.Until = max(c.Until, strike.To)
		case Slow:
			c.Slow *= strike.Factor
		}
	}
	return c
}

// Rate is by how much the arrivals of a kind exceed the usual at an instant. Bursts at once multiply.
func (s Schedule) Rate(arrivals string, at time.Duration) float64 {
	rate := 1.0
	for _, strike := range s {
		if strike.What == Burst && (strike.On == "" || strike.On == arrivals) && strike.acts(at) {
			rate *= strike.Factor
		}
	}
	return rate
}

// MostRate is the highest Rate of the day. The rate only rises where a burst begins.
func (s Schedule) MostRate(arrivals string) float64 {
	most := 1.0
	for _, strike := range s {
		most = max(most, s.Rate(arrivals, strike.From))
	}
	return most
}
