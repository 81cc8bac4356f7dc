package dataplane

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"emberquay/admission/dispatch"
)

// assignment decides which receivers' reports this proxy polls. Each poll is charged for, and all proxies need the
// same reports: each receiver is polled by one proxy, which publishes the report to the others.
//
// Receivers are assigned by rendezvous hashing: to the proxy with the highest hash of both names, among the proxies of
// the receiver's zone if there are any. Proxies that know the same nodes compute the same assignment. A proxy that joins
// or leaves costs about one hash for each receiver, and a receiver one hash for each proxy of its zone: in a large
// fleet both happen continuously.
type assignment struct {
	self string

	mutex     sync.Mutex
	proxies   map[string]string          // guarded by mutex; the zone of each live proxy, by the proxy's name
	byZone    map[string]map[string]bool // guarded by mutex; the names of the live proxies, by zone
	receivers map[string]assignedProxy   // guarded by mutex; by the receiver's id
}

// assignedProxy is the proxy that polls a receiver's reports, with the zone and the hash that it was chosen by.
type assignedProxy struct {
	receiverZone string
	name         string // empty: no proxy is live
	hash         uint64
}

func newAssignment(self string) *assignment {
	return &assignment{self: self, proxies: map[string]string{}, byZone: map[string]map[string]bool{}, receivers: map[string]assignedProxy{}}
}

// assigned reports whether this proxy polls a receiver's reports.
func (a *assignment) assigned(id dispatch.InstanceID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	chosen, known := a.receivers[string(id)]
	return known && chosen.name == a.self
}

// liveCount returns the number of live proxies.
func (a *assignment) liveCount() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.proxies)
}

// setProxy records whether a proxy is live, and reassigns the receivers that this affects.
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
		case c.receiverZone == zone && first: // until now it was assigned to a proxy of another zone
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

// setReceiver adds a receiver, or removes it if it is gone.
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

// withCandidate returns the assignment to whichever of the present proxy and the candidate has the higher hash.
func (c assignedProxy) withCandidate(id, candidate string) assignedProxy {
	hash := xxhash.Sum64String(id + "/" + candidate)
	if c.name == "" || hash > c.hash || hash == c.hash && candidate < c.name {
		c.name, c.hash = candidate, hash
	}
	return c
}
