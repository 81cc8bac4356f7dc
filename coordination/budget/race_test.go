package budget_test

import (
	"fmt"
	"testing"

	"emberquay/coordination/budget"
)

// A racer is one of two reservations that race at three stores. What it does next is the event of its number: the
// first round's call to a store, then the second round's.
type racer struct {
	first, second [3]bool // calls that have been answered
	round         int
	reports       [3]budget.Report // of the round
	verdict       budget.Decision
}

// race is a state of two racers.
type race struct {
	ledgers [3]budget.Ledger
	racers  [2]racer
}

const (
	raceBudget = 10
	raceMost   = 10
)

// attempt works out what a racer knows by now.
func (r *racer) attempt() *budget.Attempt {
	attempt := budget.NewAttempt(raceBudget, 3, 2)
	if r.round == 1 {
		attempt.AddReport(0, budget.Report{Whole: true})
		attempt.AddReport(1, budget.Report{Whole: true})
		attempt.StartSecondRound()
	}
	answered := r.first
	if r.round == 1 {
		answered = r.second
	}
	for store, yes := range answered {
		if yes {
			attempt.AddReport(store, r.reports[store])
		}
	}
	return attempt
}

// answer delivers a racer's call to a store and its answer.
func (s race) answer(who, store int) race {
	s.ledgers[store] = copyOf(&s.ledgers[store])
	r := &s.racers[who]
	key := budget.TurnKey(who + 1)
	if r.round == 0 {
		s.ledgers[store].Reserve(key, raceMost)
		r.first[store] = true
	} else {
		r.second[store] = true
	}
	r.reports[store] = s.ledgers[store].Report(key, true)
	r.verdict = r.attempt().Decide()
	return s
}

func copyOf(l *budget.Ledger) budget.Ledger {
	var c budget.Ledger
	for _, e := range l.Entries(nil) {
		c.Merge(e)
	}
	return c
}

// explore runs through all interleavings. Each racer may begin its second round as soon as a quorum has answered.
func (s race) explore(t *testing.T, seen map[string]bool, ends map[string]int) {
	name := fmt.Sprint(s.racers, s.ledgers[0].Len(), s.ledgers[1].Len(), s.ledgers[2].Len())
	if seen[name] {
		return
	}
	seen[name] = true
	if s.racers[0].verdict == budget.Granted && s.racers[1].verdict == budget.Granted {
		t.Fatalf("both granted: %+v", s.racers)
	}
	moved := false
	for who := range s.racers {
		r := &s.racers[who]
		if r.verdict != budget.Pending {
			continue
		}
		for store := range 3 {
			if r.round == 0 && !r.first[store] || r.round == 1 && !r.second[store] {
				moved = true
				s.answer(who, store).explore(t, seen, ends)
			}
		}
		if r.round == 0 && r.attempt().HasQuorum() {
			moved = true
			next := s
			next.racers[who].round = 1
			next.racers[who].reports = [3]budget.Report{}
			next.explore(t, seen, ends)
		}
	}
	if !moved {
		ends[fmt.Sprint(s.racers[0].verdict, s.racers[1].verdict)]++
	}
}

// Of two reservations that race, in every interleaving of their calls, at most one is granted where the budget holds
// only one.
func TestTwoRacingReservations(t *testing.T) {
	seen := map[string]bool{}
	ends := map[string]int{}
	race{}.explore(t, seen, ends)
	if len(seen) < 1000 {
		t.Fatalf("only %d states", len(seen))
	}
	if ends[fmt.Sprint(budget.Granted, budget.Undecided)] == 0 || ends[fmt.Sprint(budget.Undecided, budget.Granted)] == 0 {
		t.Fatalf("no interleaving grants one: %v", ends)
	}
}
