package budget_test

import (
	"fmt"
	"testing"

	"emberquay/coordination/budget"
)

// racer is one of two concurrent reservations at three stores. Its next events are the calls of the first round to the
// stores, then those of the second round.
type racer struct {
	firstRound, secondRound [3]bool // by store: the call was answered
	round                   int
	reports                 [3]budget.Report // of the current round
	decision                budget.Decision
}

// race is a state of three stores and two racers.
type race struct {
	ledgers [3]budget.Ledger
	racers  [2]racer
}

const (
	raceBudget    = 10
	raceMaxTokens = 10
)

// attempt rebuilds the attempt of a racer from the reports it has received.
func (r *racer) attempt() *budget.Attempt {
	attempt := budget.NewAttempt(raceBudget, 3, 2)
	if r.round == 1 {
		attempt.AddReport(0, budget.Report{Whole: true})
		attempt.AddReport(1, budget.Report{Whole: true})
		attempt.StartSecondRound()
	}
	answered := r.firstRound
	if r.round == 1 {
		answered = r.secondRound
	}
	for store, hasAnswered := range answered {
		if hasAnswered {
			attempt.AddReport(store, r.reports[store])
		}
	}
	return attempt
}

// answer returns the state after a racer's call to a store and the store's answer.
func (s race) answer(racerIndex, store int) race {
	s.ledgers[store] = copyOf(&s.ledgers[store])
	r := &s.racers[racerIndex]
	key := budget.TurnKey(racerIndex + 1)
	if r.round == 0 {
		s.ledgers[store].Reserve(key, raceMaxTokens)
		r.firstRound[store] = true
	} else {
		r.secondRound[store] = true
	}
	r.reports[store] = s.ledgers[store].Report(key, true)
	r.decision = r.attempt().Decide()
	return s
}

func copyOf(l *budget.Ledger) budget.Ledger {
	var c budget.Ledger
	for _, e := range l.Entries(nil) {
		c.Merge(e)
	}
	return c
}

// explore visits all interleavings. A racer may start its second round as soon as a quorum has answered.
func (s race) explore(t *testing.T, seen map[string]bool, outcomes map[string]int) {
	stateKey := fmt.Sprint(s.racers, s.ledgers[0].Len(), s.ledgers[1].Len(), s.ledgers[2].Len())
	if seen[stateKey] {
		return
	}
	seen[stateKey] = true
	if s.racers[0].decision == budget.Granted && s.racers[1].decision == budget.Granted {
		t.Fatalf("both reservations are granted: %+v", s.racers)
	}
	hasNextState := false
	for racerIndex := range s.racers {
		r := &s.racers[racerIndex]
		if r.decision != budget.Pending {
			continue
		}
		for store := range 3 {
			if r.round == 0 && !r.firstRound[store] || r.round == 1 && !r.secondRound[store] {
				hasNextState = true
				s.answer(racerIndex, store).explore(t, seen, outcomes)
			}
		}
		if r.round == 0 && r.attempt().HasQuorum() {
			hasNextState = true
			next := s
			next.racers[racerIndex].round = 1
			next.racers[racerIndex].reports = [3]budget.Report{}
			next.explore(t, seen, outcomes)
		}
	}
	if !hasNextState {
		outcomes[fmt.Sprint(s.racers[0].decision, s.racers[1].decision)]++
	}
}

// Of two concurrent reservations, of which the budget allows only one, at most one is granted in every interleaving of
// their calls.
func TestTwoRacingReservations(t *testing.T) {
	seen := map[string]bool{}
	outcomes := map[string]int{}
	race{}.explore(t, seen, outcomes)
	if len(seen) < 1000 {
		t.Fatalf("explored only %d states", len(seen))
	}
	if outcomes[fmt.Sprint(budget.Granted, budget.Undecided)] == 0 || outcomes[fmt.Sprint(budget.Undecided, budget.Granted)] == 0 {
		t.Fatalf("some reservation is granted in no interleaving: %v", outcomes)
	}
}
