package tierworld

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ScheduledTrouble is a trouble with its start and end, as durations since the start of traffic.
type ScheduledTrouble struct {
	Kind     TroubleKind
	From, To time.Duration // equal if the trouble has no duration
	Target   string        // role, service or kind of arrivals; may be empty
	Index    int           // number of the process or receiver, from 0
	Share    float64
	Factor   float64
	Next     string // service of the receiver that takes over the address
}

// Duration returns the time from the start to the end of the trouble.
func (s ScheduledTrouble) Duration() time.Duration { return s.To - s.From }

// activeAt reports whether the trouble is in progress at a time.
func (s ScheduledTrouble) activeAt(at time.Duration) bool { return at >= s.From && at < s.To }

// String describes the trouble in the terms of a world file.
func (s ScheduledTrouble) String() string {
	parts := []string{string(s.Kind)}
	k, _ := kindSpecOf(s.Kind)
	if s.Target != "" && k.defaultsToAll {
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

// Schedule lists the troubles of a day in order of their start.
type Schedule []ScheduledTrouble

// Schedule returns the troubles of the world sorted by start; those that start together keep the order of the file.
func (w *World) Schedule() Schedule {
	list := make(Schedule, 0, len(w.Trouble))
	for _, t := range w.Trouble {
		from := secondsToDuration(t.AtS)
		next := t.Next
		if k, _ := kindSpecOf(t.Kind); k.takesSuccessor && next == "" {
			next = t.Target
		}
		list = append(list, ScheduledTrouble{Kind: t.Kind, From: from, To: from + secondsToDuration(t.ForS),
			Target: t.Target, Index: t.Index, Share: t.Share, Factor: t.Factor, Next: next})
	}
	slices.SortStableFunc(list, func(a, b ScheduledTrouble) int { return cmp.Compare(a.From, b.From) })
	return list
}

// ReceiverBehavior describes how a receiver treats a request that arrives at a given time.
type ReceiverBehavior struct {
	LoseShare  float64       // share of answers whose connection is broken
	ErrorShare float64       // share of requests answered with a 500
	HangShare  float64       // share of requests that are not answered before HangEnd
	HangEnd    time.Duration // end of the last active hang
	Slowdown   float64       // factor on the duration of the work; 1 without a trouble
}

// ReceiverBehavior returns the behavior of a receiver of a service at a time. Of simultaneous troubles the largest
// share applies; slowdown factors multiply.
func (s Schedule) ReceiverBehavior(service string, index int, at time.Duration) ReceiverBehavior {
	behavior := ReceiverBehavior{Slowdown: 1}
	for _, trouble := range s {
		if trouble.Target != service || trouble.Index != index || !trouble.activeAt(at) {
			continue
		}
		switch trouble.Kind {
		case LoseAnswers:
			behavior.LoseShare = max(behavior.LoseShare, trouble.Share)
		case Errors:
			behavior.ErrorShare = max(behavior.ErrorShare, trouble.Share)
		case Hang:
			behavior.HangShare = max(behavior.HangShare, trouble.Share)
			behavior.HangEnd = max(behavior.HangEnd, trouble.To)
		case Slow:
			behavior.Slowdown *= trouble.Factor
		}
	}
	return behavior
}

// ArrivalFactor returns the factor on the arrival rate of a kind at a time. Simultaneous bursts multiply.
func (s Schedule) ArrivalFactor(arrivals string, at time.Duration) float64 {
	factor := 1.0
	for _, trouble := range s {
		if trouble.Kind == Burst && (trouble.Target == "" || trouble.Target == arrivals) && trouble.activeAt(at) {
			factor *= trouble.Factor
		}
	}
	return factor
}

// MaxArrivalFactor returns the highest ArrivalFactor of the day. It only looks at the starts of troubles, since the
// factor rises only where a burst starts.
func (s Schedule) MaxArrivalFactor(arrivals string) float64 {
	maxFactor := 1.0
	for _, trouble := range s {
		maxFactor = max(maxFactor, s.ArrivalFactor(arrivals, trouble.From))
	}
	return maxFactor
}
