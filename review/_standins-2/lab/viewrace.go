package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// viewRace kills one store for 5 s and continues many conversations at the moment at which it is removed from the view.
func viewRace(record *Record, trouble bool) ([]string, error) {
	w, err := NewWorld(record)
	if err != nil {
		return nil, err
	}
	turns := w.firstTurns(4000, 64)
	record.Printf("%d conversations have a turn that was answered whole", len(turns))
	time.Sleep(time.Second)
	killedAt := time.Now()
	if trouble {
		down := w.Stores[0]
		w.Tier.Kill(down)
		restart := time.AfterFunc(downTime, func() { _ = w.Tier.Start(down) })
		defer restart.Stop()
	}
	time.Sleep(time.Until(killedAt.Add(4050 * time.Millisecond)))
	var mu sync.Mutex
	var broken []string
	var next64 atomic.Int64
	counts := map[int]int{}
	var group sync.WaitGroup
	for range 96 {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(killedAt) < 5200*time.Millisecond {
				i := int(next64.Add(1)) - 1
				if i >= len(turns) {
					return
				}
				t := next(turns[i])
				a := sendTurn(w.Front(i+2), t, 3*time.Second)
				mu.Lock()
				counts[a.Status]++
				if a.Status == 404 {
					broken = append(broken, fmt.Sprintf("LOST: turn %s got 404 %.3f s after the kill; its Previous %s", t.ID, time.Since(killedAt).Seconds(), t.Previous))
				}
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	fmt.Println(counts)
	record.Printf("%v", counts)
	return broken, nil
}
