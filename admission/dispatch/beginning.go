package dispatch

// Programs that begin are admitted by shares that follow what is observed. An overload that is met turn by turn wastes
// what it serves: each program waits a little at every turn, so all of them end late, and turns that are given up and sent
// again make the load that keeps the pool slow after its cause has gone (a metastable failure; Bronson and others,
// "Metastable Failures in Distributed Systems", 2021). So programs under way go first, and what the pool does not bear is
// refused where it has cost nothing: at a program's first turn (trunk reservation; Gibbens, Hunt and Kelly, "Bistability in
// Communication Networks", 1990).
//
// There are two shares of each service: of programs that are served in the sender's own zone, and of those beyond it that
// are served in other zones. What is left is refused.

import "time"

const (
	// admitDecrease is the part by which a share falls with a turn that begins late, admitIncrease what it gains with one
	// that begins in time (additive increase, multiplicative decrease).
	admitDecrease = 0.1
	admitIncrease = 0.01
	// overflowDecrease is admitDecrease for programs that go to other zones: these serve their own first.
	overflowDecrease = 0.2
	// firstAdmitShare is each share before anything is observed: a sender that starts does not know what the pool bears.
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

// admitShares are the shares of a service's programs that begin while places are scarce.
type admitShares struct {
	near, far float64 // far goes on where near ends
}

func newAdmitShares() admitShares { return admitShares{near: firstAdmitShare, far: firstAdmitShare} }

// place says where a program that draws a number from 0 to 1 is served, and false if it is refused. The draw is of the
// program's name, so that all senders that know the same decide alike, and none is admitted late by coming again.
func (a admitShares) place(draw float64, elsewhere bool) (placement, bool) {
	switch {
	case draw < a.near:
		return placedNear, true
	case elsewhere && draw < a.near+a.far:
		return placedFar, true
	}
	return placedNear, false
}

// late and inTime take how a turn began that was served in a zone.
func (a *admitShares) late(at placement) {
	if at == placedFar {
		a.far = max(leastAdmitShare, a.far*(1-overflowDecrease))
		return
	}
	a.near = max(leastAdmitShare, a.near*(1-admitDecrease))
}

func (a *admitShares) inTime(at placement) {
	if at == placedFar {
		a.far = min(1, a.far+admitIncrease)
		return
	}
	a.near = min(1, a.near+admitIncrease)
}

// placement says in which zones a program's receivers are looked for first.
type placement bool

const (
	placedNear placement = false // the sender's own
	placedFar  placement = true  // the others
)

// admits places a request and says whether it is taken in at arrival. Only a program that begins is refused.
func (d *Dispatcher) admits(s *service, q *request) bool {
	if !q.IsTurn || q.programKey == 0 {
		return true
	}
	if known, underWay := d.underWay.get(q.programKey); underWay {
		q.placed = known
		return true
	}
	if s.admit.near >= 1 || s.lightlyLoaded(d.now) {
		return true
	}
	draw := float64(q.programKey>>11) / (1 << 53)
	placed, admitted := s.admit.place(draw, d.reachesFar(s))
	q.placed = placed
	return admitted || q.ProgramStarted
}

// reachesFar: the service has receivers in other zones than the sender's, beside some in it.
func (d *Dispatcher) reachesFar(s *service) bool {
	near, far := false, false
	for _, b := range s.buckets {
		if b.usable() && b.Engine != nil {
			near = near || b.Zone == d.zone
			far = far || b.Zone != d.zone
		}
	}
	return near && far
}

// lightlyLoaded: so few places are taken that nothing speaks against a program more.
func (s *service) lightlyLoaded(now Instant) bool {
	taken, limits := s.places(now)
	return taken < lightLoad*float64(limits)
}

// observeStart takes how long after its arrival a turn began to be answered.
func (d *Dispatcher) observeStart(s *service, q *request) {
	if !q.IsTurn {
		return
	}
	d.underWay.add(d.now, q.programKey, q.placed)
	switch {
	case q.judged:
	case q.startsLate(d.now):
		s.admit.late(d.servedAt(q))
	default:
		s.admit.inTime(d.servedAt(q))
	}
	q.judged = true
}

// observeEnd takes the end of a turn that was never answered: by then it is as late as one that begins.
func (d *Dispatcher) observeEnd(s *service, q *request) {
	if q.IsTurn && !q.started && !q.judged && q.startsLate(d.now) {
		s.admit.late(d.servedAt(q))
		q.judged = true
	}
}

// servedAt is where a turn was served; where it was to be if it was not.
func (d *Dispatcher) servedAt(q *request) placement {
	if q.to == nil {
		return q.placed
	}
	return placement(q.to.Zone != d.zone)
}

// startsLate: an answer that begins now is late.
func (q *request) startsLate(now Instant) bool {
	return q.TargetLatency > 0 && now.Sub(q.arrived) > time.Duration(startMargin*float64(q.TargetLatency))
}

// programSet remembers where the programs are placed that were seen of late, by the hash of their names, in two
// generations: the older one is dropped when the younger is full, or old enough itself.
type programSet struct {
	young, old map[uint64]placement
	since      Instant // when the young generation began
}

func (p *programSet) get(program uint64) (placement, bool) {
	if placed, young := p.young[program]; young {
		return placed, true
	}
	placed, old := p.old[program]
	return placed, old
}

func (p *programSet) add(now Instant, program uint64, placed placement) {
	if p.young == nil || len(p.young) >= mostPrograms || now.Sub(p.since) >= programKept {
		p.old, p.young, p.since = p.young, map[uint64]placement{}, now
	}
	p.young[program] = placed
}
