package sim

import (
	"container/heap"
	"time"
)

// event is something that happens later.
type event struct {
	at    time.Duration
	order uint64 // of two at the same instant the one that was set first comes first
	do    func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scheduler runs events in the order of their instants.
type scheduler struct {
	now    time.Duration
	events eventHeap
	order  uint64
	steps  int
}

// after has something happen later.
func (s *scheduler) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + max(0, d), order: s.order, do: do})
}

// run lets time pass, or until stop says so after a step.
func (s *scheduler) run(until time.Duration, stop func() bool) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.steps++
		e.do()
		if stop() {
			return
		}
	}
	s.now = max(s.now, until)
}
