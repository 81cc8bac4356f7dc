package sim

import (
	"runtime"
	"sync"
)

// Total is what a range of seeds came to.
type Total struct {
	Seeds    int
	Steps    int
	Counts   Counts
	Breaches []*Breach // in the order of their seeds
}

// RunRange plays seeds from first on, several at once. Each is a world of its own, so their order decides nothing. stop, if
// not nil, is asked before each seed; progress, if not nil, is told of each that is over, one at a time.
func RunRange(first uint64, seeds, atOnce int, stop func() bool, progress func(Result)) Total {
	return runRange(first, seeds, atOnce, none, stop, progress)
}

func runRange(first uint64, seeds, atOnce int, fault Fault, stop func() bool, progress func(Result)) Total {
	if atOnce <= 0 {
		atOnce = runtime.GOMAXPROCS(0)
	}
	var total Total
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan uint64)
	breaches := map[uint64]*Breach{}
	for range atOnce {
		all.Go(func() {
			for seed := range next {
				r := Run(Options{Seed: seed, fault: fault})
				mu.Lock()
				total.Seeds++
				total.Steps += r.Steps
				total.Counts.add(r.Counts)
				if r.Breach != nil {
					breaches[seed] = r.Breach
				}
				if progress != nil {
					progress(r)
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
	for seed := first; seed < first+uint64(seeds); seed++ {
		if b := breaches[seed]; b != nil {
			total.Breaches = append(total.Breaches, b)
		}
	}
	return total
}
