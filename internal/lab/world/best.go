package world

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// BestRevenue returns by product the revenue that capacity alone would have allowed, with perfect foresight. The calls of
// each destination become slots in time (a count in each span, or evenly spread), fewer during an incident of its
// receivers. Texts take slots in order of falling revenue, each the earliest free slot if it still earns there. Nothing
// else limits it: no sender slots, list lag, dead sender or refusal.
//
// The assignment is greedy, so it is no proven upper bound: on a day with much randomness a sender may slightly exceed it.
func (d *Day) BestRevenue() map[string]float64 {
	earned := map[string]float64{}
	byDest := make([][]*Text, len(d.Destinations))
	for _, t := range d.Texts {
		byDest[t.Destination] = append(byDest[t.Destination], t)
	}
	for i, dest := range d.Destinations {
		slots := dest.callSlots(d.End)
		next := make([]int, len(slots)+1) // next free slot at or after each index: union-find with path compression
		for k := range next {
			next[k] = k
		}
		find := func(k int) int {
			for next[k] != k {
				next[k] = next[next[k]]
				k = next[k]
			}
			return k
		}
		texts := byDest[i]
		slices.SortStableFunc(texts, func(a, b *Text) int {
			return cmp.Or(cmp.Compare(b.Product.Revenue, a.Product.Revenue), cmp.Compare(a.At, b.At))
		})
		for _, t := range texts {
			first, _ := slices.BinarySearchFunc(slots, t.At, func(p callSlot, at time.Duration) int { return cmp.Compare(p.end, at+1) })
			k := find(first)
			if k == len(slots) {
				continue
			}
			if revenue := t.Worth(max(t.At, slots[k].start) + dest.Receivers[0].ServiceTime); revenue > 0 {
				earned[t.Product.Name] += revenue
				next[k] = k + 1
			}
		}
	}
	return earned
}

// callSlot is room for one call to a destination at any time from start to end.
type callSlot struct{ start, end time.Duration }

// callSlots returns the calls that a destination can take until the end of a day.
func (d *Destination) callSlots(end time.Duration) []callSlot {
	var slots []callSlot
	step := 10 * time.Millisecond
	if d.Limit != nil && d.Limit.span > 0 {
		step = d.Limit.span
	}
	credit := 0.0
	for at := time.Duration(0); at < end; at += step {
		// Service rate of the receivers that are up, evaluated at the middle of the step.
		mid := at + step/2
		serviceRate, successShare := 0.0, 1.0
		for _, r := range d.Receivers {
			if r.Listens(mid) && r.activeIncident(mid, "refuse", "reset", "silent", "full") == nil {
				rate := float64(r.Cores) / r.ServiceTime.Seconds() * r.CapacityShare(mid)
				if s := r.activeIncident(mid, "slow"); s != nil {
					rate /= max(1, s.Factor)
				}
				if s := r.activeIncident(mid, "errors"); s != nil {
					successShare = min(successShare, 1-s.Factor)
				}
				serviceRate += rate * successShare
			}
		}
		if d.Limit != nil {
			serviceRate = min(serviceRate, d.Limit.PerSecond(mid))
		}
		credit += serviceRate * step.Seconds()
		whole := math.Floor(credit + 1e-9)
		credit -= whole
		for range int(whole) {
			slots = append(slots, callSlot{at, at + step})
		}
	}
	return slots
}
