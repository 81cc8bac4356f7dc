package main

import (
	"fmt"
	"time"
)

const (
	// downTime is how long the killed stores stay down, from before the kill to their start: the page of kinds has 5 s.
	downTime = 4900 * time.Millisecond
	// downRounds bounds the rounds; the first one that loses something ends the case.
	downRounds = 7
)

// twoStoresDown plays rounds of: a deployment starts, and a store machine is added to its four; then two of the five store
// processes are killed at the same moment and return after 4.9 s with their disks. No conversation may be lost by that. Each
// round has a new deployment, since the tier is slower to take a process for dead that was taken for dead before.
func twoStoresDown(record *Record, trouble bool) ([]string, error) {
	for round := range downRounds {
		record.Printf("round %d", round+1)
		w, err := NewWorld(record)
		if err != nil {
			return nil, err
		}
		broken, err := w.killTwoStores(trouble)
		w.Close()
		if len(broken) > 0 || err != nil {
			return broken, err
		}
	}
	return nil, nil
}

func (w *World) killTwoStores(trouble bool) ([]string, error) {
	added, err := w.Tier.NewProcess(Machine{Name: "store-st-jerome-2", Class: "store", Zone: w.Tier.Zones[0],
		IP: w.Tier.Address(0, 3), Disk: true}, "store", false)
	if err != nil {
		return nil, err
	}
	if err := w.Tier.Start(added); err != nil {
		return nil, err
	}
	time.Sleep(catchUp)
	turns := w.firstTurns(200, 20)
	answeredAt := time.Now()
	w.Record.Printf("%d conversations have a turn that was answered whole", len(turns))
	if len(turns) < 100 {
		return nil, fmt.Errorf("only %d turns were served", len(turns))
	}
	time.Sleep(500 * time.Millisecond)
	killedAt := time.Now()
	if trouble {
		down := []*Process{w.Stores[1], w.Stores[2]}
		for _, p := range down {
			w.Tier.Kill(p)
		}
		restart := time.AfterFunc(time.Until(killedAt.Add(downTime)), func() {
			for _, p := range down {
				_ = w.Tier.Start(p)
			}
		})
		defer restart.Stop()
	}
	time.Sleep(time.Until(killedAt.Add(4 * time.Second)))
	broken := w.continueAll(turns, answeredAt)
	if len(broken) == 0 {
		return nil, nil
	}
	// Once the stores are back, what was answered with 404 is asked for once more: this is no part of the verdict.
	time.Sleep(time.Until(killedAt.Add(downTime + catchUp)))
	served := 0
	for i, t := range w.lost {
		a := sendTurn(w.Front(i), next(t), 3*time.Second)
		w.Record.Printf("client: after the return of both stores, a turn after %s: %v", t.ID, a)
		if a.Status == 200 {
			served++
		}
	}
	w.Record.Printf("%d of %d that got 404 are served after the return of both stores", served, len(w.lost))
	return broken, nil
}
