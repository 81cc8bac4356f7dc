package hollow_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"emberquay/coordination/budget"
	"emberquay/internal/storeclient"
)

// heap gives the bytes that live.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkLedgerMemory tells what a program's budget takes at one store, by its turns.
func BenchmarkLedgerMemory(b *testing.B) {
	const programs = 4000
	for _, turns := range []int{1, 7, 25, 100, 260} {
		b.Run(fmt.Sprint("turns=", turns), func(b *testing.B) {
			var ledgers []*budget.Ledger
			before := heap()
			for b.Loop() {
				ledgers = make([]*budget.Ledger, programs)
				for i := range ledgers {
					ledgers[i] = &budget.Ledger{}
					for turn := range turns {
						ledgers[i].Reserve(budget.Key(i*1000+turn+1), 1000)
					}
				}
			}
			b.ReportMetric((heap()-before)/programs, "heap-B/program")
			runtime.KeepAlive(ledgers)
		})
	}
}

// BenchmarkTurnMemory tells what a turn takes in the memory of the two stores that hold it, texts apart.
func BenchmarkTurnMemory(b *testing.B) {
	const turns = 10_000
	fleet := startStores(b, 2)
	c := storeclient.New(storeclient.Options{Caller: fleet.caller, Zone: "zone-0", CacheBytes: 1})
	b.Cleanup(c.Close)
	c.SetView(fleet.view)
	first := heap()
	round := 0
	for b.Loop() {
		for i := range turns {
			id := fmt.Sprintf("conversation-%d-turn-%d", round, i)
			if err := c.Commit(context.Background(), storeclient.Turn{ID: id, Program: "program", Input: []byte("a"), Output: []byte("b"), Retention: time.Hour}); err != nil {
				b.Fatal(err)
			}
		}
		round++
	}
	b.ReportMetric((heap()-first)/float64(round*turns)/2, "heap-B/turn")
}
