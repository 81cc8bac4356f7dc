package control

import "emberquay/admission"

// Idle connections: which are worth keeping, and for how long they are trusted.

// closeUnneeded closes an idle connection that is not worth keeping: a receiver may accept few, idle ones included.
// It is kept if one per sender is within what the receiver serves at once, or if no receiver of the kind refused
// a connection and six were opened or the next text is due before the connection would time out.
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

// maxIdle returns how long an idle connection is trusted: until its idle timeout, but after one that had been idle for
// some time broke, or gave no response to what was sent on it, half that time, doubled every 15 seconds.
func (s *Sender) maxIdle() Time {
	if s.brokenIdle == 0 {
		return s.connIdleTimeout()
	}
	return min(s.connIdleTimeout(), s.brokenIdle/2<<min(20, (s.now-s.brokenIdleAt)/(15*Second)))
}

// recordBrokenIdle records that an idle connection was dropped without notice, and has the others checked: the texts that
// they would carry are worth more than a handshake each, above all those that must not be sent twice.
func (s *Sender) recordBrokenIdle(idle Time) {
	s.brokenIdle, s.brokenIdleAt = min(idle, s.maxIdle()), s.now
	for _, d := range s.destinations {
		s.activate(d)
	}
}
