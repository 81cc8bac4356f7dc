package tierworld

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ScheduledTrouble is a trouble with its instants, on the clock of the traffic.
type ScheduledTrouble struct {
	Kind     TroubleKind
	From, To time.Duration // alike: it has no length of its own
	Target   string        // a role, a service or a kind of arrivals; may be empty
	Index    int           // which of them, from 0
	Share    float64
	Factor   float64
	Next     string // service that takes the address of a receiver
}

// Duration is how long the strike goes on.
func (s ScheduledTrouble) Duration() time.Duration { return s.To - s.From }

// activeAt says whether the strike goes on at an instant.
func (s ScheduledTrouble) activeAt(at time.Duration) bool { return at >= s.From && at < s.To }

// String names the strike as a world does.
func (s ScheduledTrouble) String() string {
	parts := []string{string(s.Kind)}
	k, _ := kindSpecOf(s.Kind)
	if s.Target != "" && k.strikesAllTargets {
		parts = append(parts, "of "+s.Target)
	} else if s.Target != "" {
		parts = append(parts, fmt.Sprintf("%s %d", s.Target, s.Index))
	}
	switch k.strength {
	case byShare:
		parts = append(parts, fmt.Sprintf("share %g", s.Share))
	case byFactor:
		parts = append(parts, fmt.Sprintf("factor %g", s.Factor))
	}
	if s.Next != "" && s.Next != s.Target {
		parts = append(parts, "then "+s.Next)
	}
	if s.Duration() > 0 {
		parts = append(parts, fmt.Sprintf("for %gs", s.Duration().Seconds()))
	}
	return strings.Join(parts, " ")
}

// Schedule is all that strikes on a day, in the order of its instants.
type Schedule []ScheduledTrouble

// Schedule lays the troubles of a world out in time.
func (w *World) Schedule() Schedule {
	list := make(Schedule, 0, len(w.Trouble))
	for _, t := range w.Trouble {
		from := secondsToDuration(t.AtS)
		next := t.Next
		if k, _ := kindSpecOf(t.Kind); k.takesSuccessor && next == "" {
			next = t.Target
		}
		list = append(list, ScheduledTrouble{Kind: t.Kind, From: from, To: from + secondsToDuration(t.ForS), Target: t.Target, Index: t.Index,
			Share: t.Share, Factor: t.Factor, Next: next})
	}
	slices.SortStableFunc(list, func(a, b ScheduledTrouble) int { return cmp.Compare(a.From, b.From) })
	return list
}

// ReceiverBehavior is how a receiver treats a request that reaches it at an instant.
type ReceiverBehavior struct {
	LoseShare  float64       // share of answers whose connection breaks
	ErrorShare float64       // share of requests that get a 500
	HangShare  float64       // share of requests that are not answered before Until
	HangEnd    time.Duration // the hanging is over
	Slowdown   float64       // its work takes so many times as long; 1 usually
}

// ReceiverBehavior is that of a service's receiver of a number. Of strikes at once the strongest counts, and slowness
// multiplies.
func (s Schedule) ReceiverBehavior(service string, index int, at time.Duration) ReceiverBehavior {
	behavior := ReceiverBehavior{Slowdown: 1}
	for _, strike := range s {
		if strike.Target != service || strike.Index != index || !strike.activeAt(at) {
			continue
		}
		switch strike.Kind {
		case LoseAnswers:
			behavior.LoseShare = max(behavior.LoseShare, strike.Share)
		case Errors:
			behavior.ErrorShare = max(behavior.ErrorShare, strike.Share)
		case Hang:
			behavior.HangShare = max(behavior.HangShare, strike.Share)
			behavior.HangEnd = max(behavior.HangEnd, strike.To)
		case Slow:
			behavior.Slowdown *= strike.Factor
		}
	}
	return behavior
}

// ArrivalFactor is by how much the arrivals of a kind exceed the usual at an instant. Bursts at once multiply.
func (s Schedule) ArrivalFactor(arrivals string, at time.Duration) float64 {
	factor := 1.0
	for _, strike := range s {
		if strike.Kind == Burst && (strike.Target == "" || strike.Target == arrivals) && strike.activeAt(at) {
			factor *= strike.Factor
		}
	}
	return factor
}

// MaxArrivalFactor is the highest Rate of the day. The rate only rises where a burst begins.
func (s Schedule) MaxArrivalFactor(arrivals string) float64 {
	maxFactor := 1.0
	for _, strike := range s {
		maxFactor = max(maxFactor, s.ArrivalFactor(arrivals, strike.From))
	}
	return maxFactor
}
