package dispatch

import "emberquay/coordination/hashing"

// homeCachedShare is the part of a prompt's unknown tokens that is taken to be kept at its program's home. All senders find
// the same home without asking, so a program that comes by another sender, or after all have been started again, finds
// the receiver that has read it. It is high for prompts that begin too: where they are read is where the rest of their
// program is looked for.
const homeCachedShare = 0.9

// home finds the receiver on which all senders of a zone agree for a program: the one with the highest weight of those
// that stand in the zone, in the others for a program that is placed there, or of all where none does (Thaler and
// Ravishankar's rendezvous hashing). A receiver that comes
// or goes moves the programs of no other. nil: the request has no program or the service no engines.
func (d *Dispatcher) home(s *service, q *request) *endpoint {
	if q.programKey == 0 {
		return nil
	}
	var home *endpoint
	var weight uint64
	inZone := false // in the zones where it is placed
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
