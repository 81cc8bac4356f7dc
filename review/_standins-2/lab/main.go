// Command lab plays the cases of this review on loopback: it starts the tier's processes with the commands of the deploy
// file, stand-ins for receivers, clients and the operator, and judges one rule by what clients and receivers saw.
//
//	lab CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment it
// does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken, if it was.
var cases = map[string]func(record *Record, trouble bool) ([]string, error){
	"replaced-store":      replacedStore,
	"two-stores-down":     twoStoresDown,
	"large-configuration": largeConfig,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(115 * time.Second):
		}
		record.Printf("cannot run: the time is over")
		closeAll()
		os.Exit(2)
	}()
	defer closeAll()
	broken, err := cases[name](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Printf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		record.Printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	record.Printf("the rule was kept")
	fmt.Println("the rule was kept")
	return 0
}

// World is a running deployment: four zones, in each a front machine with a disk (control plane and proxy) and a store.
type World struct {
	Tier      *Tier
	Record    *Record
	Controls  []*Process
	Proxies   []*Process
	Stores    []*Process
	Receivers []*Receiver
	lost      []Turn // turns whose continuation was answered with 404 or 410
}

// NewWorld starts the deployment and waits until it serves.
func NewWorld(record *Record) (*World, error) {
	tier, err := NewTier([]string{"st-jerome", "ste-adele", "mont-tremblant", "val-david"}, record)
	if err != nil {
		return nil, err
	}
	w := &World{Tier: tier, Record: record}
	worldsMutex.Lock()
	worlds = append(worlds, w)
	worldsMutex.Unlock()
	for zone := range 3 {
		tier.Seeds = append(tier.Seeds, fmt.Sprintf("%s:%d", tier.Address(zone, 1), controlPort))
	}
	for zone, name := range tier.Zones {
		front := Machine{Name: "front-" + name + "-1", Class: "front", Zone: name, IP: tier.Address(zone, 1), Disk: true}
		store := Machine{Name: "store-" + name + "-1", Class: "store", Zone: name, IP: tier.Address(zone, 2), Disk: true}
		for _, part := range []struct {
			machine Machine
			role    string
			list    *[]*Process
		}{{front, "control-plane", &w.Controls}, {front, "proxy", &w.Proxies}, {store, "store", &w.Stores}} {
			p, err := tier.NewProcess(part.machine, part.role, true)
			if err != nil {
				return w, err
			}
			if err := tier.Start(p); err != nil {
				return w, err
			}
			*part.list = append(*part.list, p)
		}
	}
	// From now on no start is the first one of the whole system.
	for _, list := range [][]*Process{w.Controls, w.Proxies, w.Stores} {
		for _, p := range list {
			time.AfterFunc(time.Second, func() { _ = tier.writeSettings(p, false) })
		}
	}
	for zone, name := range tier.Zones {
		for at, service := range []string{"model", "plain"} {
			r, err := NewReceiver(fmt.Sprintf("i-%s-%d", service, zone), service, tier.Address(zone, 20+at), name,
				service == "model", w.ControlAddresses(), record)
			if err != nil {
				return w, err
			}
			w.Receivers = append(w.Receivers, r)
		}
	}
	until := time.Now().Add(15 * time.Second)
	if err := replaceConfiguration(w.ControlAddresses(), 0, configuration(1, 60), record, until); err != nil {
		return w, err
	}
	for _, p := range w.Proxies {
		for !isReady(p.Machine.IP) {
			if time.Now().After(until) {
				return w, fmt.Errorf("%s is not ready", p.Machine.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Conversations can be kept once enough stores are in the view.
	for {
		id := newID()
		if a := sendTurn(w.Front(0), Turn{ID: id, Input: "first\n"}, 2*time.Second); a.Status == 200 && a.Whole {
			break
		}
		if time.Now().After(until) {
			return w, fmt.Errorf("no turn is served")
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	record.Printf("the tier serves")
	return w, nil
}

// worlds are all worlds that were started.
var (
	worldsMutex sync.Mutex
	worlds      []*World
)

// closeAll ends all processes that were started.
func closeAll() {
	worldsMutex.Lock()
	defer worldsMutex.Unlock()
	for _, w := range worlds {
		w.Close()
	}
}

// Close ends the deployment: its processes and its receivers.
func (w *World) Close() {
	w.Tier.Close()
	for _, r := range w.Receivers {
		r.Close()
	}
}

// ControlAddresses returns the addresses of the control API.
func (w *World) ControlAddresses() []string {
	var addresses []string
	for _, p := range w.Controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", p.Machine.IP, controlPort))
	}
	return addresses
}

// Front returns the address for clients of the proxy of a zone.
func (w *World) Front(zone int) string {
	return fmt.Sprintf("%s:%d", w.Proxies[zone%len(w.Proxies)].Machine.IP, frontPort)
}

// firstTurns starts conversations, the first turn of number i through the proxy of zone i, and returns those that were
// answered whole.
func (w *World) firstTurns(count, parallel int) []Turn {
	turns := make([]Turn, count)
	each(count, parallel, func(i int) {
		id := newID()
		t := Turn{ID: id, Input: "in-" + id + "\n"}
		t.Conversation = t.Input
		a := sendTurn(w.Front(i), t, 3*time.Second)
		w.Record.Printf("client: turn %s to %s: %v", t.ID, w.Proxies[i%4].Machine.Name, a)
		if a.Status == 200 && a.Whole {
			turns[i] = t
		}
	})
	kept := turns[:0]
	for _, t := range turns {
		if t.ID != "" {
			kept = append(kept, t)
		}
	}
	return kept
}

// next returns a turn that continues t.
func next(t Turn) Turn {
	id := newID()
	n := Turn{ID: id, Previous: t.ID, Input: "in-" + id + "\n"}
	n.Conversation = t.Conversation + outputOf(t.ID) + n.Input
	return n
}

// each calls f with 0 to count-1, several calls at once.
func each(count, parallel int, f func(int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range count {
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			f(i)
			<-slots
		}()
	}
	group.Wait()
}

// foreignRun returns how a receiver ran a turn with another body than the conversation's, if one did.
func (w *World) foreignRun(t Turn) string {
	for _, r := range w.Receivers {
		if body, ran := r.Ran(t.ID); ran && string(body) != t.Conversation {
			return fmt.Sprintf("UNASKED: turn %s ran at %s with %q, not %q", t.ID, r.ID, body, t.Conversation)
		}
	}
	return ""
}
