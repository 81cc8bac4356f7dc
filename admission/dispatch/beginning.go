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
	// initialAdmitShare is each share before anything is observed: a sender that starts does not know what the pool bears.
	initialAdmitShare = 0.3
	// minAdmitShare is admitted whatever is observed, as what is not tried is never seen to go well again.
	minAdmitShare = 0.05
	// lightLoad is the part of a service's places up to which every program is admitted.
	lightLoad = 1.0 / 3
	// onTimeFraction is the part of the objective within which a turn begins in time: one that uses all of it leaves its
	// program nothing for the turns to come.
	onTimeFraction = 0.5
	// programRetention is for how long a program counts as under way after its last turn, up to twice that, unless more than
	// mostPrograms come meanwhile.
	programRetention = 30 * time.Second
	maxPrograms      = 4096
)

// admitShares are the shares of a service's programs that begin while places are scarce.
type admitShares struct {
	local, remote float64 // far goes on where near ends
}

func newAdmitShares() admitShares {
	return admitShares{local: initialAdmitShare, remote: initialAdmitShare}
}

// place says where a program that draws a number from 0 to 1 is served, and false if it is refused. The draw is of the
// program's name, so that all senders that know the same decide alike, and none is admitted late by coming again.
func (a admitShares) place(draw float64, hasRemote bool) (placement, bool) {
	switch {
	case draw < a.local:
		return localZone, true
	case hasRemote && draw < a.local+a.remote:
		return remoteZone, true
	}
	return localZone, false
}

// recordLate and inTime take how a turn began that was served in a zone.
func (a *admitShares) recordLate(at placement) {
	if at == remoteZone {
		a.remote = max(minAdmitShare, a.remote*(1-overflowDecrease))
		return
	}
	a.local = max(minAdmitShare, a.local*(1-admitDecrease))
}

func (a *admitShares) recordOnTime(at placement) {
	if at == remoteZone {
		a.remote = min(1, a.remote+admitIncrease)
		return
	}
	a.local = min(1, a.local+admitIncrease)
}

// placement says in which zones a program's receivers are looked for first.
type placement bool

const (
	localZone  placement = false // the sender's own
	remoteZone placement = true  // the others
)

// admits places a request and says whether it is taken in at arrival. Only a program that begins is refused.
func (d *Dispatcher) admits(s *service, q *request) bool {
	if !q.IsTurn || q.programKey == 0 {
		return true
	}
	if placed, active := d.activePrograms.get(q.programKey); active {
		q.placement = placed
		return true
	}
	if s.admit.local >= 1 || s.lightlyLoaded(d.now) {
		return true
	}
	draw := float64(q.programKey>>11) / (1 << 53)
	placed, admitted := s.admit.place(draw, d.hasRemoteReceivers(s))
	q.placement = placed
	return admitted || q.ProgramStarted
}

// hasRemoteReceivers: the service has receivers in other zones than the sender's, beside some in it.
func (d *Dispatcher) hasRemoteReceivers(s *service) bool {
	local, remote := false, false
	for _, e := range s.endpoints {
		if e.usable() && e.Engine != nil {
			local = local || e.Zone == d.zone
			remote = remote || e.Zone != d.zone
		}
	}
	return local && remote
}

// lightlyLoaded: so few places are taken that nothing speaks against a program more.
func (s *service) lightlyLoaded(now Instant) bool {
	used, total := s.slotUsage(now)
	return used < lightLoad*float64(total)
}

// observeStart takes how long after its arrival a turn began to be answered.
func (d *Dispatcher) observeStart(s *service, q *request) {
	if !q.IsTurn {
		return
	}
	d.activePrograms.add(d.now, q.programKey, q.placement)
	switch {
	case q.startCounted:
	case q.startsLate(d.now):
		s.admit.recordLate(d.servedZone(q))
	default:
		s.admit.recordOnTime(d.servedZone(q))
	}
	q.startCounted = true
}

// observeEnd takes the end of a turn that was never answered: by then it is as late as one that begins.
func (d *Dispatcher) observeEnd(s *service, q *request) {
	if q.IsTurn && !q.responseStarted && !q.startCounted && q.startsLate(d.now) {
		s.admit.recordLate(d.servedZone(q))
		q.startCounted = true
	}
}

// servedZone is where a turn was served; where it was to be if it was not.
func (d *Dispatcher) servedZone(q *request) placement {
	if q.endpoint == nil {
		return q.placement
	}
	return placement(q.endpoint.Zone != d.zone)
}

// startsLate: an answer that begins now is late.
func (q *request) startsLate(now Instant) bool {
	return q.TargetLatency > 0 && now.Sub(q.submittedAt) > time.Duration(onTimeFraction*float64(q.TargetLatency))
}

// programSet remembers where the programs are placed that were seen of late, by the hash of their names, in two
// generations: the older one is dropped when the younger is full, or old enough itself.
type programSet struct {
	current, previous map[uint64]placement
	currentSince      Instant // when the young generation began
}

func (p *programSet) get(program uint64) (placement, bool) {
	if placed, found := p.current[program]; found {
		return placed, true
	}
	placed, found := p.previous[program]
	return placed, found
}

func (p *programSet) add(now Instant, program uint64, placed placement) {
	if p.current == nil || len(p.current) >= maxPrograms || now.Sub(p.currentSince) >= programRetention {
		p.previous, p.current, p.currentSince = p.current, map[uint64]placement{}, now
	}
	p.current[program] = placed
}
