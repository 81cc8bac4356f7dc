package store

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against turns that a list leaves out or repeats between its pages, and with that a copy that is never made.
func TestPagesListEachTurnOnce(t *testing.T) {
	for _, count := range []int{0, 1, listPageTurns - 1, listPageTurns, listPageTurns + 1, 5 * listPageTurns / 2} {
		held := tableWithTurns(count, uint64(count))
		var listed []uint64
		for first, more := uint64(0), true; more; {
			var page []*heldTurn
			page, more = held.listPage(first)
			if len(page) > listPageTurns || more && len(page) == 0 {
				t.Fatalf("%d turns: a page of %d, more: %v", count, len(page), more)
			}
			for _, turn := range page {
				listed = append(listed, turn.key)
				first = turn.key + 1
			}
		}
		if len(listed) != count || !slices.IsSorted(listed) || len(slices.Compact(listed)) != count {
			t.Errorf("%d turns: %d listed", count, len(listed))
		}
	}
}

// tableWithTurns returns a table that holds turns with random keys, of which two are the lowest and the highest.
func tableWithTurns(count int, seed uint64) *table {
	random := rand.New(rand.NewPCG(seed, 1))
	held := &table{turns: map[uint64]*heldTurn{}}
	for _, key := range []uint64{0, math.MaxUint64} {
		if len(held.turns) < count {
			held.turns[key] = &heldTurn{key: key}
		}
	}
	for len(held.turns) < count {
		key := random.Uint64()
		held.turns[key] = &heldTurn{key: key}
	}
	return held
}

func BenchmarkListAllPages(b *testing.B) {
	held := tableWithTurns(maxTurns, 1)
	b.ReportAllocs()
	for b.Loop() {
		for first, more := uint64(0), true; more; {
			var page []*heldTurn
			page, more = held.listPage(first)
			first = page[len(page)-1].key + 1
		}
	}
}
