package budget_test

import (
	"testing"

	"pgregory.net/rapid"

	"emberquay/coordination/budget"
)

func granted(m *model) int {
	count := 0
	for _, t := range m.turns {
		if t.verdict == budget.Granted {
			count++
		}
	}
	return count
}

func TestBudgetHolds(t *testing.T) {
	shapes := []struct{ stores, tolerance int }{{3, 1}, {5, 2}, {4, 1}, {2, 0}}
	several := 0
	rapid.Check(t, func(t *rapid.T) {
		shape := rapid.SampledFrom(shapes).Draw(t, "shape")
		m := newModel(t, shape.stores, shape.tolerance)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.step()
		}
		m.check()
		if granted(m) > 1 {
			several++
		}
	})
	if several == 0 {
		t.Fatal("no run granted more than one turn")
	}
}

// Three turns that race, each with room for one only: whatever the order, not all of them are granted.
func TestThreeRacingReservations(t *testing.T) {
	all := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3, 1)
		m.budget = 5
		for range 3 {
			m.begin()
			m.turns[len(m.turns)-1].most = 4
		}
		for at := range m.messages {
			m.messages[at].most = 4
		}
		for range 120 {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				turn := m.turns[rapid.IntRange(0, 2).Draw(t, "turn")]
				if !turn.over && turn.verdict == budget.Pending && turn.attempt.HasQuorum() && turn.round%10 == 0 {
					m.recheck(turn)
				}
			case 1:
				m.stores[rapid.IntRange(0, 2).Draw(t, "store")].sync(m)
			default:
				m.deliverSome()
			}
		}
		if granted(m) > 2 {
			t.Fatalf("three of 4 tokens each are granted of a budget of %d", m.budget)
		}
		if granted(m) == 2 {
			all++
		}
	})
	if all == 0 {
		t.Fatal("no run granted two")
	}
}

// attemptAt has a turn reserve at some of the stores only, in two rounds if needed.
func (m *model) attemptAt(t *modelTurn, reach []int) {
	for range 2 {
		for _, at := range reach {
			m.exchangeTurn(t, m.stores[at])
		}
		if t.verdict != budget.Pending || !t.attempt.HasQuorum() || t.round%10 != 0 {
			return
		}
		m.recheck(t)
	}
}

// Turns that reserve one after the other at some of the stores each, while disks are lost and stores catch up.
func TestBudgetHoldsOverLostDisks(t *testing.T) {
	wiped, twice := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "stores"), 1)
		if len(m.stores) == 5 {
			m.tolerance = 2
		}
		places := make([]int, len(m.stores))
		for at := range places {
			places[at] = at
		}
		for range rapid.IntRange(2, 12).Draw(t, "turns") {
			if len(m.turns) == 0 || rapid.IntRange(0, 2).Draw(t, "new") > 0 {
				m.begin()
			}
			reach := rapid.Permutation(places).Draw(t, "reach")
			turn := rapid.SampledFrom(m.turns).Draw(t, "turn") // an old one goes on by its old view
			m.attemptAt(turn, reach[:rapid.IntRange(1, len(reach)).Draw(t, "count")])
			if rapid.IntRange(0, 2).Draw(t, "lose") > 0 {
				epoch := m.view.epoch
				m.wipe(m.stores[rapid.SampledFrom(places).Draw(t, "lost")])
				wiped += m.view.epoch - epoch
			}
			for range rapid.IntRange(0, 4).Draw(t, "comparisons") {
				m.catchUp(m.stores[rapid.SampledFrom(places).Draw(t, "store")], m.stores[rapid.SampledFrom(places).Draw(t, "other")])
			}
			for range rapid.IntRange(0, 3).Draw(t, "late") {
				m.deliverSome()
			}
		}
		m.check()
		if granted(m) > 1 {
			twice++
		}
	})
	if wiped == 0 || twice == 0 {
		t.Fatalf("%d disks lost, %d runs with more than one turn granted", wiped, twice)
	}
}
