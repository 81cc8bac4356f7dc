package membership

import (
	"slices"
	"time"
)

// Tick sends the heartbeats that are due and checks the nodes that this node monitors.
func (m *Membership) Tick(now time.Time) {
	m.refreshMonitoring(now)
	m.detectPause(now)
	if !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = now.Add(HeartbeatInterval)
		if !m.leaving {
			m.effects.Heartbeats = append(m.effects.Heartbeats, m.monitors...)
		}
	}
	for _, peer := range m.watched {
		m.checkMember(now, peer)
	}
}

// refreshMonitoring recomputes the monitors of this node and the nodes that it watches, if the ring has changed.
func (m *Membership) refreshMonitoring(now time.Time) {
	if !m.ringChanged {
		return
	}
	m.ringChanged = false
	m.monitors = m.ring.monitors(m.self)
	before := m.watched
	m.watched = nil
	for _, id := range m.ring.predecessors(m.self) {
		peer := m.members[id]
		if !slices.Contains(m.ring.monitors(peer.node), m.self.ID()) {
			continue
		}
		if !slices.Contains(before, peer) {
			peer.watchedSince = now
		}
		m.watched = append(m.watched, peer)
	}
	for _, peer := range before {
		if !slices.Contains(m.watched, peer) {
			m.clearSuspicion(peer)
		}
	}
}

// detectPause restarts the timeouts of all watched nodes if this process was paused: it heard nothing because it was
// not receiving.
func (m *Membership) detectPause(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > pauseThreshold {
		m.resumedAt = now
		for _, peer := range m.watched {
			m.clearSuspicion(peer)
		}
	}
	m.lastTick = now
}

// checkMember suspects a watched node that was silent for too long, and follows up on a suspicion.
func (m *Membership) checkMember(now time.Time, peer *member) {
	switch {
	case !peer.node.Live():
	case peer.node.State == Suspect:
		m.checkSuspect(now, peer)
	case now.Sub(m.lastActivity(peer)) > peer.suspectTimeout(now):
		peer.node.State = Suspect
		m.recordChange(peer.id)
		m.probe(now, peer)
	}
}

// lastActivity returns when the timeout of a member started: when it was last heard from, when this node began to watch
// it, or when this process resumed from a pause, whichever is latest.
func (m *Membership) lastActivity(peer *member) time.Time {
	last := peer.lastHeard
	for _, other := range [...]time.Time{peer.watchedSince, m.resumedAt} {
		if other.After(last) {
			last = other
		}
	}
	return last
}

// checkSuspect declares a suspect node down if no answer has arrived in time, neither directly nor through another node.
// A monitor that hears from no other machine is itself disconnected, so it probes again instead.
func (m *Membership) checkSuspect(now time.Time, peer *member) {
	switch {
	case now.Sub(peer.suspectedAt) < ProbeTimeout:
	case m.hasRecentContactExcept(now, peer.node.Name):
		m.declareDown(peer)
	default:
		m.probe(now, peer)
	}
}

func (m *Membership) declareDown(peer *member) {
	m.ring.remove(peer.node)
	m.ringChanged = true
	peer.node.State = Down
	m.declare(peer.node)
	m.recordChange(peer.id)
}

// probe pings a suspect node directly and through other nodes.
func (m *Membership) probe(now time.Time, peer *member) {
	peer.suspectedAt = now
	m.send(peer.id, Message{Ping: &Ping{}})
	for _, helper := range m.helpers(peer.node) {
		m.send(helper, Message{Probe: &Probe{Target: peer.id}})
	}
}

// helpers returns the other monitors of a node and, if these are too few, random other nodes.
func (m *Membership) helpers(n Node) []ID {
	chosen := slices.DeleteFunc(m.ring.monitors(n), func(id ID) bool { return id == m.self.ID() })
	for range 2 * probeHelpers {
		if len(chosen) >= probeHelpers || len(m.ring) == 0 {
			break
		}
		p := m.ring[m.random.IntN(len(m.ring))]
		if p.machine != m.self.Name && p.machine != n.Name && !slices.Contains(chosen, p.id) {
			chosen = append(chosen, p.id)
		}
	}
	return chosen
}

// Receive handles a message from another node.
func (m *Membership) Receive(now time.Time, from ID, message Message) {
	if message.Ping != nil && !m.leaving {
		m.send(from, Message{Ack: &Ack{Subject: m.self.ID(), Incarnation: m.self.Incarnation, Requester: message.Ping.Requester}})
	}
	if message.Probe != nil {
		m.send(message.Probe.Target, Message{Ping: &Ping{Requester: from}})
	}
	if message.Ack != nil {
		m.handleAck(now, *message.Ack)
	}
}

// handleAck processes an answer, or forwards it to the node that requested it.
func (m *Membership) handleAck(now time.Time, ack Ack) {
	if ack.Requester != "" && ack.Requester != m.self.ID() {
		m.send(ack.Requester, Message{Ack: &ack})
		return
	}
	peer := m.members[ack.Subject]
	if peer == nil || ack.Incarnation < peer.node.Incarnation {
		return
	}
	if peer.node.State == Suspect && ack.Requester != "" {
		peer.recordFalseSuspicion(now) // the node is running, but its heartbeats don't reach this monitor
	}
	peer.lastHeard = now
	m.clearSuspicion(peer)
}
