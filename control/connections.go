package control

import "emberquay/admission"

// Idle connections: which are worth their place, and for how long they are trusted.

// hangUp closes an idle connection that is not worth its place: a receiver may take few, idle ones counted.
// It is kept where one for each sender is within what is served at once, or where none of the kind was
// refused, once six were opened or if the next text is due before it would close.
func (s *Sender) hangUp(r *receiver) {
	each, idle := float64(len(r.dest.receivers)), float64(s.span("Permissions.ConnIdleUs", 0))
	due := r.dest.arrived*idle > each*float64(s.now-s.began+s.longestSLA) || s.opened[r.kind] >= 6
	few := s.senders() <= max(admission.InitialWindow, s.capacity(r)*r.dest.pace/float64(Second)/each)
	scarce := !few && (s.crowded[r.kind] || !due)
	if r.connected && len(r.calls) == 0 && (scarce || s.now-r.idleSince >= s.keep()) {
		s.close(r)
	}
}

func (s *Sender) close(r *receiver) {
	r.connected = false
	s.out.CloseIdle(r.id)
}

// keep is how long an idle connection is trusted: until it closes by itself, but once one that had been idle
// for some time broke, or swallowed what was sent on it, half that time, doubled each quarter of a minute.
func (s *Sender) keep() Time {
	if s.stale == 0 {
		return s.idleTime()
	}
	return min(s.idleTime(), s.stale/2<<min(20, (s.now-s.staleAt)/(15*Second)))
}

// broke takes notice of an idle connection that was dropped unseen. The texts that would go on the others are
// worth more than a handshake each, above all those that must not be sent twice.
func (s *Sender) broke(idle Time) {
	s.stale, s.staleAt = min(idle, s.keep()), s.now
	for _, d := range s.destinations {
		s.attend(d)
	}
}
