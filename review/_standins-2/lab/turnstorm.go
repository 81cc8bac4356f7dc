package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// turnStorm runs programs with budgets and conversations against kills, freezes and lost disks of stores and proxies.
func turnStorm(record *Record, trouble bool) ([]string, error) {
	w, err := NewWorld(record)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	bad := func(f string, a ...any) {
		mu.Lock()
		broken = append(broken, fmt.Sprintf(f, a...))
		mu.Unlock()
		record.Printf("BAD "+f, a...)
	}
	counts := map[string]int{}
	end := time.Now().Add(80 * time.Second)
	var group sync.WaitGroup
	for range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(end) {
				program := newID()
				const budget, most = 60, 9
				var pm sync.Mutex
				tokens, spent := 0, false
				var lines sync.WaitGroup
				var done []Turn
				for range 3 {
					lines.Add(1)
					go func() {
						defer lines.Done()
						var last Turn
						misses := 0
						for time.Now().Before(end.Add(5*time.Second)) && misses < 12 {
							pm.Lock()
							if spent {
								pm.Unlock()
								return
							}
							from := last
							if len(done) > 0 && rand.IntN(3) == 0 {
								from = done[rand.IntN(len(done))]
							}
							pm.Unlock()
							t := Turn{ID: newID()}
							t.Input = "in-" + t.ID + "\n"
							t.Conversation = t.Input
							if from.ID != "" {
								t.Previous = from.ID
								t.Conversation = from.Conversation + outputOf(from.ID) + t.Input
							}
							header := map[string]string{
								"Emberquay-Request-Id": t.ID, "Emberquay-Model-Name": "m", "Emberquay-Token-Usage": fmt.Sprintf("200,%d", most),
								"Program": program, "Session": program[:4], "Finish-Ms": "20000", "Budget": fmt.Sprint(budget),
							}
							if t.Previous != "" {
								header["Previous"] = t.Previous
							}
							a := send(w.Front(rand.IntN(4)), "POST", turnPath+"1", header, t.Input, 3*time.Second)
							events := strings.Count(a.Body, "data: ")
							pm.Lock()
							tokens += events * 3
							now := tokens
							if a.Status == 200 && a.Whole {
								done = append(done, t)
								last = t
							}
							pm.Unlock()
							mu.Lock()
							counts[fmt.Sprintf("%d %v", a.Status, a.Whole)]++
							mu.Unlock()
							if now > budget+most {
								bad("BUDGET program %s got %d tokens", program, now)
							}
							if a.Status == 200 && a.Whole {
								misses = 0
								if f := w.foreignRun(t); f != "" {
									bad("%s", f)
								}
								if events != outputEvents {
									bad("ORDER turn %s has %d events", t.ID, events)
								}
								continue
							}
							if a.Status == 402 {
								for _, r := range w.Receivers {
									if _, ran := r.Ran(t.ID); ran {
										bad("REFUSED 402 but ran %s", t.ID)
									}
								}
								pm.Lock()
								spent = true
								pm.Unlock()
								return
							}
							if a.Status == 503 || a.Status == 429 {
								for _, r := range w.Receivers {
									if _, ran := r.Ran(t.ID); ran {
										bad("REFUSED %d but ran %s", a.Status, t.ID)
									}
								}
							}
							if a.Status == 404 {
								bad("LOST 404 turn %s previous %s", t.ID, t.Previous)
								return
							}
							misses++
							time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
						}
					}()
				}
				lines.Wait()
			}
		}()
	}
	if trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			extra := 0
			for time.Now().Before(end.Add(-6 * time.Second)) {
				s := w.Stores[rand.IntN(len(w.Stores))]
				p := w.Proxies[rand.IntN(4)]
				switch k := rand.IntN(9); {
				case k < 2:
					w.Tier.Kill(s)
					time.Sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
					_ = w.Tier.Start(s)
					time.Sleep(catchUp)
				case k < 4:
					w.Tier.Signal(s, syscall.SIGSTOP)
					time.Sleep(time.Duration(200+rand.IntN(4800)) * time.Millisecond)
					w.Tier.Signal(s, syscall.SIGCONT)
					time.Sleep(catchUp)
				case k < 6:
					w.Tier.Kill(s)
					_ = w.Tier.LoseDisk(s)
					time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
					_ = w.Tier.Start(s)
					time.Sleep(catchUp)
				case k < 7:
					w.Tier.Kill(p)
					time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
					_ = w.Tier.Start(p)
				case k < 8:
					w.Tier.Signal(s, syscall.SIGTERM)
					<-s.done
					time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
					_ = w.Tier.Start(s)
					time.Sleep(catchUp)
				default:
					extra++
					if extra < 4 {
						n, err := w.Tier.NewProcess(Machine{Name: fmt.Sprintf("store-x-%d", extra), Class: "store", Zone: w.Tier.Zones[extra%4],
							IP: w.Tier.Address(extra%4, 5+extra), Disk: true}, "store", false)
						if err == nil && w.Tier.Start(n) == nil {
							w.Stores = append(w.Stores, n)
							time.Sleep(catchUp)
						}
					}
				}
				time.Sleep(time.Duration(100+rand.IntN(800)) * time.Millisecond)
			}
		}()
	}
	group.Wait()
	fmt.Println("answers", counts)
	return broken, nil
}
