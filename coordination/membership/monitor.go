package membership

import (
	"slices"
	"time"
)

// Tick sends the heartbeats that are due and looks at the nodes that this one watches.
func (m *Membership) Tick(now time.Time) {
	m.refresh(now)
	m.noticeGap(now)
	if !now.Before(m.nextTick) {
		m.nextTick = now.Add(HeartbeatInterval)
		if !m.leaving {
			m.effects.Heartbeats = append(m.effects.Heartbeats, m.monitors...)
		}
	}
	for _, known := range m.watched {
		m.look(now, known)
	}
}

// refresh works out whom this node tells and watches, after the ring has changed.
func (m *Membership) refresh(now time.Time) {
	if !m.stale {
		return
	}
	m.stale = false
	m.monitors = m.ring.monitors(m.self)
	before := m.watched
	m.watched = nil
	for _, id := range m.ring.predecessors(m.self) {
		known := m.members[id]
		if !slices.Contains(m.ring.monitors(known.node), m.self.ID()) {
			continue
		}
		if !slices.Contains(before, known) {
			known.since = now
		}
		m.watched = append(m.watched, known)
	}
	for _, known := range before {
		if !slices.Contains(m.watched, known) {
			m.clear(known)
		}
	}
}

// noticeGap starts the patience with all anew when this process was stopped: it has heard nobody because it
// did not listen.
func (m *Membership) noticeGap(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > wakeGap {
		m.wokenAt = now
		for _, known := range m.watched {
			m.clear(known)
		}
	}
	m.lastTick = now
}

// look judges one watched node.
func (m *Membership) look(now time.Time, known *member) {
	switch {
	case !known.node.Live():
	case known.node.State == Suspect:
		m.lookSuspect(now, known)
	case now.Sub(m.lastSign(known)) > known.patience(now):
		known.node.State = Suspect
		m.changed(known.id)
		m.probe(now, known)
	}
}

// lastSign is when a node was heard last, or when the patience with it began.
func (m *Membership) lastSign(known *member) time.Time {
	last := known.heard
	for _, other := range [...]time.Time{known.since, m.wokenAt} {
		if other.After(last) {
			last = other
		}
	}
	return last
}

// lookSuspect declares a suspect node down once neither it nor another has answered in time. A monitor that
// hears from nobody else is itself cut off: it asks again.
func (m *Membership) lookSuspect(now time.Time, known *member) {
	switch {
	case now.Sub(known.suspect) < ProbeTimeout:
	case m.inTouchBut(now, known.node.Name):
		m.declareDown(known)
	default:
		m.probe(now, known)
	}
}

func (m *Membership) declareDown(known *member) {
	m.ring.remove(known.node)
	m.stale = true
	known.node.State = Down
	m.declare(known.node)
	m.changed(known.id)
}

// probe asks a suspect node directly and through others.
func (m *Membership) probe(now time.Time, known *member) {
	known.suspect = now
	m.send(known.id, Message{Ping: &Ping{}})
	for _, helper := range m.helpers(known.node) {
		m.send(helper, Message{Probe: &Probe{Target: known.id}})
	}
}

// helpers chooses the other monitors of a node and some that are not.
func (m *Membership) helpers(n Node) []ID {
	chosen := slices.DeleteFunc(m.ring.monitors(n), func(id ID) bool { return id == m.self.ID() })
	for range 2 * probeHelpers {
		if len(chosen) >= probeHelpers || len(m.ring) == 0 {
			break
		}
		p := m.ring[m.random.IntN(len(m.ring))]
		if p.name != m.self.Name && p.name != n.Name && !slices.Contains(chosen, p.id) {
			chosen = append(chosen, p.id)
		}
	}
	return chosen
}

// Receive handles a message of another node.
func (m *Membership) Receive(now time.Time, from ID, message Message) {
	if message.Ping != nil && !m.leaving {
		m.send(from, Message{Ack: &Ack{Subject: m.self.ID(), Incarnation: m.self.Incarnation, Requester: message.Ping.Requester}})
	}
	if message.Probe != nil {
		m.send(message.Probe.Target, Message{Ping: &Ping{Requester: from}})
	}
	if message.Ack != nil {
		m.acknowledged(now, *message.Ack)
	}
}

// acknowledged takes an answer, or passes it on to the node that asked for it.
func (m *Membership) acknowledged(now time.Time, ack Ack) {
	if ack.Requester != "" && ack.Requester != m.self.ID() {
		m.send(ack.Requester, Message{Ack: &ack})
		return
	}
	known := m.members[ack.Subject]
	if known == nil || ack.Incarnation < known.node.Incarnation {
		return
	}
	if known.node.State == Suspect && ack.Requester != "" {
		known.strike(now) // it runs, only not for this monitor
	}
	known.heard = now
	m.clear(known)
}
