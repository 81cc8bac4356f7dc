package dispatch

import "emberquay/coordination/hashing"

// homeShare is the part of a prompt's unknown tokens that is taken to be kept at its program's home. All senders find
// the same home without asking, so a program that comes by another sender, or after all have been started again, finds
// the receiver that has read it. It is high for prompts that begin too: where they are read is where the rest of their
// program is looked for.
const homeShare = 0.9

// home finds the receiver on which all senders of a zone agree for a program: the one with the highest weight of those
// that stand in the zone, in the others for a program that is placed there, or of all where none does (Thaler and
// Ravishankar's rendezvous hashing). A receiver that comes
// or goes moves the programs of no other. nil: the request has no program or the service no engines.
func (d *Dispatcher) home(s *service, q *request) *bucket {
	if q.programKey == 0 {
		return nil
	}
	var home *bucket
	var weight uint64
	some := false // in the zones where it is placed
	for _, b := range s.buckets {
		placed := placement(b.Zone != d.zone) == q.placed
		if b.Engine == nil || !b.usable() || some && !placed {
			continue
		}
		w := hashing.Pair(b.key, q.programKey)
		if home == nil || placed && !some || w > weight {
			home, weight, some = b, w, placed
		}
	}
	return home
}
