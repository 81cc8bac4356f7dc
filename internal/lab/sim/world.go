package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Options of a run.
type Options struct {
	Seed  uint64
	Trace func(line string) // may be nil

	fault Fault // a deliberate one, see fault.go; tests set it
}

// Result is what a run came to.
type Result struct {
	Seed    uint64
	Breach  *Breach // nil: every invariant held
	Steps   int     // of the scheduler
	Counts  Counts
	Digest  uint64 // of all that was committed and answered: equal for equal runs
	Virtual time.Duration
}

// Counts say what a run had in it.
type Counts struct {
	Acked, Refused, Open, Reads int // of operators' calls
	Drains                      int // acknowledged
	Turns, Lookups              int // committed, and found again
	Granted, Spent              int // reservations
	Troubles                    int
	Kinds                       [kindCount]int // troubles by Kind
}

// add sums counts up.
func (c *Counts) add(o Counts) {
	c.Acked += o.Acked
	c.Refused += o.Refused
	c.Open += o.Open
	c.Reads += o.Reads
	c.Drains += o.Drains
	c.Turns += o.Turns
	c.Lookups += o.Lookups
	c.Granted += o.Granted
	c.Spent += o.Spent
	c.Troubles += o.Troubles
	for k, n := range o.Kinds {
		c.Kinds[k] += n
	}
}

// world is a cluster and what befalls it.
type world struct {
	scheduler
	options Options
	random  *rand.Rand
	network network
	hosts   []*host
	seeds   []string
	judge   *judge
	counts  Counts

	operators operators
	receivers []*receiver
	programs  int
	turns     []*keptTurn

	active      int           // troubles under way
	lastTrouble time.Duration // when the last one ended
	slowDisks   int           // troubles that slow all disks
}

func newWorld(o Options) *world {
	w := &world{options: o, random: rand.New(rand.NewPCG(o.Seed, 4711))}
	w.network = network{world: w, cuts: map[link]int{}, lag: map[link]time.Duration{}}
	w.judge = newJudge(w)
	return w
}

func (w *world) has(f Fault) bool { return w.options.fault == f }

func (w *world) trace(format string, args ...any) {
	if w.options.Trace != nil {
		w.options.Trace(fmt.Sprintf("%10.4f  ", w.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

func (w *world) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// one draws: true once in so many.
func (w *world) one(in int) bool { return w.random.IntN(in) == 0 }

func pick[T any](w *world, from []T) T { return from[w.random.IntN(len(from))] }

// of lists the hosts of a role that are not gone, in the order in which they were added.
func (w *world) of(r role) []*host {
	var list []*host
	for _, h := range w.hosts {
		if h.role == r && !h.gone {
			list = append(list, h)
		}
	}
	return list
}

// up lists those that run.
func (w *world) up(r role) []*host {
	return slices.DeleteFunc(w.of(r), func(h *host) bool { return h.life == nil })
}

func (w *world) at(address string) *host {
	for _, h := range w.hosts {
		if h.address == address && !h.gone {
			return h
		}
	}
	return nil
}

// begins and ends bracket a trouble.
func (w *world) begins(kind Kind, what string, args ...any) {
	w.active++
	w.counts.Troubles++
	w.counts.Kinds[kind]++
	w.trace("TROUBLE "+what, args...)
}

func (w *world) ends() {
	w.active--
	w.lastTrouble = w.now
}

// calmSince says whether there was no trouble from an instant to now.
func (w *world) calmSince(from time.Duration) bool {
	return w.active == 0 && (w.counts.Troubles == 0 || w.lastTrouble < from)
}
