package dispatch

import "emberquay/coordination/hashing"

// homeCachedShare is the fraction of a prompt's otherwise uncached tokens that is assumed to be cached at its
// program's home receiver. All proxies compute the same home without communicating, so a program that arrives through
// another proxy, or after a restart of all proxies, finds the receiver that has read its prompt. The fraction is high
// also for new prompts: where a prompt is read first, the rest of its program is looked for.
const homeCachedShare = 0.9

// home returns the receiver on which all proxies of a zone agree for a program: the one with the highest weight among
// those in the zones of the program's placement, or among all if there are none (rendezvous hashing; Thaler and
// Ravishankar). A receiver that is added or removed moves only the programs that are, or were, its own. It returns
// nil if the request has no program or the service has no engines.
func (d *Dispatcher) home(s *service, q *request) *endpoint {
	if q.programKey == 0 {
		return nil
	}
	var home *endpoint
	var weight uint64
	inZone := false // home is in a zone of the program's placement
	for _, e := range s.endpoints {
		placed := placement(e.Zone != d.zone) == q.placement
		if e.Engine == nil || !e.usable() || inZone && !placed {
			continue
		}
		w := hashing.Pair(e.idHash, q.programKey)
		if home == nil || placed && !inZone || w > weight {
			home, weight, inZone = e, w, placed
		}
	}
	return home
}
