package sim

import (
	"runtime"
	"slices"
	"sync"
)

// mostBreaches bounds the breaches that a Total keeps, so that a range of any length takes the same memory.
const mostBreaches = 100

// Total is what a range of seeds came to.
type Total struct {
	Seeds    int
	Steps    int
	Counts   Counts
	Broken   int          // seeds that broke a rule
	Breaches []*Breach    // those with the lowest seeds, in their order, mostBreaches at most
	Rules    []RuleBroken // in the order of their first seeds
}

// RuleBroken is a rule that seeds broke.
type RuleBroken struct {
	Rule  string
	Seeds int
	First *Breach // with the lowest seed
}

// add counts the result of a seed.
func (t *Total) add(r Result) {
	t.Seeds++
	t.Steps += r.Steps
	t.Counts.add(r.Counts)
	if r.Breach == nil {
		return
	}
	t.Broken++
	t.addRule(r.Breach)
	at, _ := slices.BinarySearchFunc(t.Breaches, r.Breach, bySeed)
	t.Breaches = slices.Insert(t.Breaches, at, r.Breach)
	t.Breaches = t.Breaches[:min(len(t.Breaches), mostBreaches)]
}

func (t *Total) addRule(b *Breach) {
	at := slices.IndexFunc(t.Rules, func(r RuleBroken) bool { return r.Rule == b.Rule })
	if at < 0 {
		at = len(t.Rules)
		t.Rules = append(t.Rules, RuleBroken{Rule: b.Rule, First: b})
	}
	rule := &t.Rules[at]
	rule.Seeds++
	if b.Seed < rule.First.Seed {
		rule.First = b
	}
	slices.SortFunc(t.Rules, func(a, b RuleBroken) int { return bySeed(a.First, b.First) })
}

func bySeed(a, b *Breach) int {
	switch {
	case a.Seed < b.Seed:
		return -1
	case a.Seed > b.Seed:
		return 1
	}
	return 0
}

// RunRange plays seeds from first on, several at once. Each is a world of its own, so their order decides
// nothing. stop, if not nil, is asked before each seed; progress, if not nil, is told what all came to so far
// after each that is over, one at a time; it must not keep it.
func RunRange(first uint64, seeds, atOnce int, stop func() bool, progress func(*Total)) Total {
	return runRange(first, seeds, atOnce, none, stop, progress)
}

func runRange(first uint64, seeds, atOnce int, fault Fault, stop func() bool, progress func(*Total)) Total {
	if atOnce <= 0 {
		atOnce = runtime.GOMAXPROCS(0)
	}
	var total Total
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan uint64)
	for range atOnce {
		all.Go(func() {
			for seed := range next {
				r := Run(Options{Seed: seed, fault: fault})
				mu.Lock()
				total.add(r)
				if progress != nil {
					progress(&total)
				}
				mu.Unlock()
			}
		})
	}
	for seed := first; seed < first+uint64(seeds); seed++ {
		if stop != nil && stop() {
			break
		}
		next <- seed
	}
	close(next)
	all.Wait()
	return total
}

// TotalOf is the total of one result.
func TotalOf(r Result) Total {
	var t Total
	t.add(r)
	return t
}
