package dispatch

// Programs that begin are admitted by a share that follows what is observed. An overload that is met turn by turn wastes
// what it serves: each program waits a little at every turn, so all of them end late, and turns that are given up and sent
// again make the load that keeps the pool slow after its cause has gone (a metastable failure; Bronson and others,
// "Metastable Failures in Distributed Systems", 2021). So programs under way go first, and what the pool does not bear is
// refused where it has cost nothing: at a program's first turn (trunk reservation; Gibbens, Hunt and Kelly, "Bistability in
// Communication Networks", 1990).

import "time"

const (
	// admitDecrease is the part by which the share falls with a turn that begins late, admitIncrease what it gains with one
	// that begins in time (additive increase, multiplicative decrease).
	admitDecrease = 0.1
	admitIncrease = 0.01
	// firstAdmitShare is the share before anything is observed: a sender that starts does not know what the pool bears.
	firstAdmitShare = 0.3
	// leastAdmitShare is admitted whatever is observed, as what is not tried is never seen to go well again.
	leastAdmitShare = 0.05
	// lightLoad is the part of a service's places up to which every program is admitted.
	lightLoad = 1.0 / 3
	// startMargin is the part of the objective within which a turn begins in time: one that uses all of it leaves its
	// program nothing for the turns to come.
	startMargin = 0.5
	// programKept is for how long a program counts as under way after its last turn, up to twice that, unless more than
	// mostPrograms come meanwhile.
	programKept  = 30 * time.Second
	mostPrograms = 4096
)

// begins: the turn is the first of its program, as far as this sender can tell.
func (d *Dispatcher) begins(q *request) bool {
	return q.Turn && !q.Begun && !d.underWay.has(q.programKey)
}

// admits says whether a request is taken in at arrival. What is drawn for a program is drawn from its name, so that all
// senders refuse the same ones, and no program is let in late by coming again.
func (d *Dispatcher) admits(s *service, q *request) bool {
	if s.admitShare >= 1 || !d.begins(q) {
		return true
	}
	draw := float64(q.programKey>>11) / (1 << 53)
	return draw < s.admitShare || s.lightlyLoaded(d.now)
}

// lightlyLoaded: so few places are taken that nothing speaks against a program more.
func (s *service) lightlyLoaded(now Instant) bool {
	taken, limits := s.places(now)
	return taken < lightLoad*float64(limits)
}

// observeStart takes how long after its arrival a turn began to be answered.
func (d *Dispatcher) observeStart(s *service, q *request) {
	if !q.Turn {
		return
	}
	d.underWay.add(d.now, q.programKey)
	if q.startsLate(d.now) {
		s.turnLate(q)
		return
	}
	if !q.judged {
		q.judged = true
		s.admitShare = min(1, s.admitShare+admitIncrease)
	}
}

// observeEnd takes the end of a turn that was never answered: by then it is as late as one that begins.
func (d *Dispatcher) observeEnd(s *service, q *request) {
	if q.Turn && !q.started && q.startsLate(d.now) {
		s.turnLate(q)
	}
}

// startsLate: an answer that begins now is late.
func (q *request) startsLate(now Instant) bool {
	return q.TargetLatency > 0 && now.Sub(q.arrived) > time.Duration(startMargin*float64(q.TargetLatency))
}

// turnLate counts a turn as late, once.
func (s *service) turnLate(q *request) {
	if q.judged {
		return
	}
	q.judged = true
	s.admitShare = max(leastAdmitShare, s.admitShare*(1-admitDecrease))
}

// programSet remembers the programs that were seen of late, by the hash of their names, in two generations: the older one
// is dropped when the younger is full, or old enough itself.
type programSet struct {
	young, old map[uint64]struct{}
	since      Instant // when the young generation began
}

func (p *programSet) has(program uint64) bool {
	if _, young := p.young[program]; young {
		return true
	}
	_, old := p.old[program]
	return old
}

func (p *programSet) add(now Instant, program uint64) {
	if p.young == nil || len(p.young) >= mostPrograms || now.Sub(p.since) >= programKept {
		p.old, p.young, p.since = p.young, map[uint64]struct{}{}, now
	}
	p.young[program] = struct{}{}
}
