package world

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Best is what could have been earned by capacity alone, with everything known ahead: each destination's calls are
// laid out as places in time (a count in each span, or evenly), fewer while its receivers are struck, and the texts
// take them, the highest revenue first, each the earliest free place that still serves it. Nothing else holds it up:
// no slots, no lag, no dead sender, no refusal. It gives the revenue by product.
//
// It is a greedy layout, not a proof; a real sender may come near it and on a day of much chance pass it by little.
func (d *Day) Best() map[string]float64 {
	earned := map[string]float64{}
	byDest := make([][]*Text, len(d.Destinations))
	for _, t := range d.Texts {
		byDest[t.Destination] = append(byDest[t.Destination], t)
	}
	for i, dest := range d.Destinations {
		places := dest.places(d.End)
		next := make([]int, len(places)+1) // the next place that is free, found by following and shortening
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
			first, _ := slices.BinarySearchFunc(places, t.At, func(p place, at time.Duration) int { return cmp.Compare(p.end, at+1) })
			k := find(first)
			if k == len(places) {
				continue
			}
			if worth := t.Worth(max(t.At, places[k].start) + dest.Receivers[0].Service); worth > 0 {
				earned[t.Product.Name] += worth
				next[k] = k + 1
			}
		}
	}
	return earned
}

// place is one call that a destination can take, at any time from start to end.
type place struct{ start, end time.Duration }

// places lays out what a destination takes until the end of a day.
func (d *Destination) places(end time.Duration) []place {
	var all []place
	step := 10 * time.Millisecond
	if d.Limit != nil && d.Limit.span > 0 {
		step = d.Limit.span
	}
	credit := 0.0
	for at := time.Duration(0); at < end; at += step {
		// What the receivers that are up serve, looked at in the middle of the step.
		mid := at + step/2
		served, fraction := 0.0, 1.0
		for _, r := range d.Receivers {
			if r.Listens(mid) && r.strike(mid, "refuse", "reset", "silent", "full") == nil {
				c := float64(r.Cores) / r.Service.Seconds() * r.Warmth(mid)
				if s := r.strike(mid, "slow"); s != nil {
					c /= max(1, s.Factor)
				}
				if s := r.strike(mid, "errors"); s != nil {
					fraction = min(fraction, 1-s.Factor)
				}
				served += c * fraction
			}
		}
		if d.Limit != nil {
			served = min(served, d.Limit.PerSecond(mid))
		}
		credit += served * step.Seconds()
		n := math.Floor(credit + 1e-9)
		credit -= n
		for range int(n) {
			all = append(all, place{at, at + step})
		}
	}
	return all
}
