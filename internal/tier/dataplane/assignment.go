package dataplane

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"emberquay/admission/dispatch"
)

// assignment says which receivers' reports this proxy asks for. A report is priced, and all proxies want the
// same ones: each is asked for by one proxy, which spreads it.
//
// A receiver goes to the proxy with the highest hash of both names (rendezvous), among those of its own zone
// where there are any. All proxies that know the same nodes come to the same. A proxy that comes or goes costs
// one hash a receiver, and a receiver one hash a proxy of its zone: in a large fleet both come all the time.
type assignment struct {
	self string

	mutex     sync.Mutex
	proxies   map[string]string          // guarded by mutex; the zone of each live proxy, by name
	byZone    map[string]map[string]bool // guarded by mutex; names of the live proxies of a zone
	receivers map[string]assignedProxy   // guarded by mutex
}

// assignedProxy is the proxy that asks for a receiver's reports, and what it was chosen by.
type assignedProxy struct {
	receiverZone string // of the receiver
	name         string // empty: none
	hash         uint64
}

func newAssignment(self string) *assignment {
	return &assignment{self: self, proxies: map[string]string{}, byZone: map[string]map[string]bool{}, receivers: map[string]assignedProxy{}}
}

// assigned tells whether this proxy asks for a receiver's reports.
func (a *assignment) assigned(id dispatch.InstanceID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	chosen, known := a.receivers[string(id)]
	return known && chosen.name == a.self
}

// liveCount is the number of live proxies.
func (a *assignment) liveCount() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.proxies)
}

// setProxy notes whether a proxy is live.
func (a *assignment) setProxy(name, zone string, live bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	oldZone, found := a.proxies[name]
	if found && (!live || oldZone != zone) {
		a.removeProxy(name, oldZone)
		found = false
	}
	if live && !found {
		a.addProxy(name, zone)
	}
}

func (a *assignment) addProxy(name, zone string) {
	first := len(a.byZone[zone]) == 0
	a.proxies[name] = zone
	if first {
		a.byZone[zone] = map[string]bool{}
	}
	a.byZone[zone][name] = true
	for id, c := range a.receivers {
		switch {
		case c.receiverZone == zone && first: // until now those of other zones stood in
			a.receivers[id] = assignedProxy{receiverZone: zone}.withCandidate(id, name)
		case c.receiverZone == zone || len(a.byZone[c.receiverZone]) == 0:
			a.receivers[id] = c.withCandidate(id, name)
		}
	}
}

func (a *assignment) removeProxy(name, zone string) {
	delete(a.proxies, name)
	delete(a.byZone[zone], name)
	if len(a.byZone[zone]) == 0 {
		delete(a.byZone, zone)
	}
	for id, c := range a.receivers {
		if c.name == name {
			a.receivers[id] = a.choose(id, c.receiverZone)
		}
	}
}

// setReceiver notes a receiver, or that it is gone.
func (a *assignment) setReceiver(id, zone string, gone bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	previous, found := a.receivers[id]
	switch {
	case gone:
		delete(a.receivers, id)
	case !found || previous.receiverZone != zone:
		a.receivers[id] = a.choose(id, zone)
	}
}

func (a *assignment) choose(id, zone string) assignedProxy {
	chosen := assignedProxy{receiverZone: zone}
	if sameZone := a.byZone[zone]; len(sameZone) > 0 {
		for name := range sameZone {
			chosen = chosen.withCandidate(id, name)
		}
		return chosen
	}
	for name := range a.proxies {
		chosen = chosen.withCandidate(id, name)
	}
	return chosen
}

// withCandidate gives the choice between the present proxy and another.
func (c assignedProxy) withCandidate(id, candidate string) assignedProxy {
	hash := xxhash.Sum64String(id + "/" + candidate)
	if c.name == "" || hash > c.hash || hash == c.hash && candidate < c.name {
		c.name, c.hash = candidate, hash
	}
	return c
}
