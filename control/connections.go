package control

import "emberquay/admission"

// Idle connections: which are worth their place, and for how long they are trusted.

// closeUnneeded closes an idle connection that is not worth its place: a receiver may take few, idle ones counted.
// It is kept where one for each sender is within what is served at once, or where none of the kind was
// refused, once six were opened or if the next text is due before it would close.
func (s *Sender) closeUnneeded(r *receiver) {
	receivers, idleTimeout := float64(len(r.dest.receivers)), float64(s.duration("Permissions.ConnIdleUs", 0))
	reuseLikely := r.dest.arrivals*idleTimeout > receivers*float64(s.now-s.startedAt+s.longestSLA) || s.connsOpened[r.kind] >= 6
	fewSenders := s.senderCount() <= max(admission.InitialWindow, s.capacity(r)*r.dest.callDuration/float64(Second)/receivers)
	unneeded := !fewSenders && (s.connLimited[r.kind] || !reuseLikely)
	if r.connected && len(r.calls) == 0 && (unneeded || s.now-r.idleSince >= s.maxIdle()) {
		s.closeIdle(r)
	}
}

func (s *Sender) closeIdle(r *receiver) {
	r.connected = false
	s.actions.CloseIdle(r.id)
}

// maxIdle is how long an idle connection is trusted: until it closes by itself, but once one that had been idle
// for some time broke, or swallowed what was sent on it, half that time, doubled each quarter of a minute.
func (s *Sender) maxIdle() Time {
	if s.brokenIdle == 0 {
		return s.connIdleTimeout()
	}
	return min(s.connIdleTimeout(), s.brokenIdle/2<<min(20, (s.now-s.brokenIdleAt)/(15*Second)))
}

// recordBrokenIdle takes notice of an idle connection that was dropped unseen. The texts that would go on the others are
// worth more than a handshake each, above all those that must not be sent twice.
func (s *Sender) recordBrokenIdle(idle Time) {
	s.brokenIdle, s.brokenIdleAt = min(idle, s.maxIdle()), s.now
	for _, d := range s.destinations {
		s.activate(d)
	}
}
