package budget_test

import (
	"testing"

	"pgregory.net/rapid"

	"emberquay/coordination/budget"
)

func grantedCount(m *model) int {
	count := 0
	for _, t := range m.turns {
		if t.decision == budget.Granted {
			count++
		}
	}
	return count
}

func TestBudgetHolds(t *testing.T) {
	shapes := []struct{ stores, tolerance int }{{3, 1}, {5, 2}, {4, 1}, {2, 0}}
	multipleGrants := 0
	rapid.Check(t, func(t *rapid.T) {
		shape := rapid.SampledFrom(shapes).Draw(t, "shape")
		m := newModel(t, shape.stores, shape.tolerance)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.randomStep()
		}
		m.checkInvariant()
		if grantedCount(m) > 1 {
			multipleGrants++
		}
	})
	if multipleGrants == 0 {
		t.Fatal("no run granted more than one turn")
	}
}

// Of three concurrent turns at most two are granted in any order: two already exceed the budget of 5 tokens.
func TestThreeRacingReservations(t *testing.T) {
	twoGrants := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3, 1)
		m.budget = 5
		for range 3 {
			m.startTurn()
			m.turns[len(m.turns)-1].maxTokens = 4
		}
		for index := range m.messages {
			m.messages[index].tokens = 4
		}
		for range 120 {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				turn := m.turns[rapid.IntRange(0, 2).Draw(t, "turn")]
				if !turn.finished && turn.decision == budget.Pending && turn.attempt.HasQuorum() && turn.round%10 == 0 {
					m.recheck(turn)
				}
			case 1:
				m.stores[rapid.IntRange(0, 2).Draw(t, "store")].sync(m)
			default:
				m.deliverRandom()
			}
		}
		if grantedCount(m) > 2 {
			t.Fatalf("three turns of 4 tokens each are granted from a budget of %d", m.budget)
		}
		if grantedCount(m) == 2 {
			twoGrants++
		}
	})
	if twoGrants == 0 {
		t.Fatal("no run granted two turns")
	}
}

// reserveAt exchanges the messages of a turn with the reachable stores only, in two rounds if needed.
func (m *model) reserveAt(t *modelTurn, reachable []int) {
	for range 2 {
		for _, store := range reachable {
			m.exchange(t, m.stores[store])
		}
		if t.decision != budget.Pending || !t.attempt.HasQuorum() || t.round%10 != 0 {
			return
		}
		m.recheck(t)
	}
}

// Turns reserve one after the other, each at some of the stores only, while disks are lost and stores catch up.
func TestBudgetHoldsOverLostDisks(t *testing.T) {
	lostDisks, multipleGrants := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "stores"), 1)
		if len(m.stores) == 5 {
			m.tolerance = 2
		}
		stores := make([]int, len(m.stores))
		for index := range stores {
			stores[index] = index
		}
		for range rapid.IntRange(2, 12).Draw(t, "turns") {
			if len(m.turns) == 0 || rapid.IntRange(0, 2).Draw(t, "new") > 0 {
				m.startTurn()
			}
			reachable := rapid.Permutation(stores).Draw(t, "reach")
			turn := rapid.SampledFrom(m.turns).Draw(t, "turn") // an earlier turn continues with its earlier view
			m.reserveAt(turn, reachable[:rapid.IntRange(1, len(reachable)).Draw(t, "count")])
			if rapid.IntRange(0, 2).Draw(t, "lose") > 0 {
				epoch := m.view.epoch
				m.loseDisk(m.stores[rapid.SampledFrom(stores).Draw(t, "lost")])
				lostDisks += m.view.epoch - epoch
			}
			for range rapid.IntRange(0, 4).Draw(t, "comparisons") {
				m.catchUp(m.stores[rapid.SampledFrom(stores).Draw(t, "store")], m.stores[rapid.SampledFrom(stores).Draw(t, "other")])
			}
			for range rapid.IntRange(0, 3).Draw(t, "late") {
				m.deliverRandom()
			}
		}
		m.checkInvariant()
		if grantedCount(m) > 1 {
			multipleGrants++
		}
	})
	if lostDisks == 0 || multipleGrants == 0 {
		t.Fatalf("%d disks lost, %d runs with more than one turn granted", lostDisks, multipleGrants)
	}
}
