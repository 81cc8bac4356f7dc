package dispatch

// New programs are admitted by shares that adapt to observed latency. Handling an overload turn by turn wastes capacity:
// every program waits a little at each turn, so all of them finish late, and turns that are abandoned and sent again keep
// the pool overloaded after the cause has gone (a metastable failure; Bronson and others, "Metastable Failures in
// Distributed Systems", 2021). Running programs therefore have precedence, and the excess is refused where it has cost
// nothing yet: at the first turn of a program (trunk reservation; Gibbens, Hunt and Kelly, "Bistability in Communication
// Networks", 1990).
//
// Each service has two shares: one of programs served in the proxy's own zone, and one, on top of it, of programs served
// in other zones. The rest is refused.

import "time"

const (
	// admitDecrease is the fraction by which a late turn lowers a share, admitIncrease the amount by which a timely
	// one raises it (additive increase, multiplicative decrease).
	admitDecrease = 0.1
	admitIncrease = 0.01
	// overflowDecrease is admitDecrease for programs sent to other zones, which serve their own programs first.
	overflowDecrease = 0.2
	// initialAdmitShare is the initial value of both shares: a proxy that starts does not know the capacity of the
	// pool.
	initialAdmitShare = 0.3
	// minAdmitShare is the lower bound of a share: without any admitted programs, recovery could not be observed.
	minAdmitShare = 0.05
	// lightLoad is the fraction of a service's slots in use below which every program is admitted.
	lightLoad = 1.0 / 3
	// onTimeFraction is the fraction of the target latency within which the response to a turn must start to count as
	// timely: a turn that uses all of it leaves its program no time for later turns.
	onTimeFraction = 0.5
	// programRetention is how long a program counts as running after its last turn; it may be up to twice as long, or
	// shorter if more than maxPrograms are seen meanwhile.
	programRetention = 30 * time.Second
	maxPrograms      = 4096
)

// admitShares holds the shares of a service's new programs that are admitted while slots are scarce.
type admitShares struct {
	local, remote float64 // remote adds to local
}

func newAdmitShares() admitShares {
	return admitShares{local: initialAdmitShare, remote: initialAdmitShare}
}

// place returns where a program is served for a draw in [0, 1), and false if it is refused. The draw is derived from
// the program's name, so that proxies with the same shares decide alike and a refused program is not admitted merely
// by trying again.
func (a admitShares) place(draw float64, hasRemote bool) (placement, bool) {
	switch {
	case draw < a.local:
		return localZone, true
	case hasRemote && draw < a.local+a.remote:
		return remoteZone, true
	}
	return localZone, false
}

// recordLate lowers the share of a zone in which a turn started late.
func (a *admitShares) recordLate(at placement) {
	if at == remoteZone {
		a.remote = max(minAdmitShare, a.remote*(1-overflowDecrease))
		return
	}
	a.local = max(minAdmitShare, a.local*(1-admitDecrease))
}

// recordOnTime raises the share of a zone in which a turn started in time.
func (a *admitShares) recordOnTime(at placement) {
	if at == remoteZone {
		a.remote = min(1, a.remote+admitIncrease)
		return
	}
	a.local = min(1, a.local+admitIncrease)
}

// placement tells in which zones a program's receivers are preferred.
type placement bool

const (
	localZone  placement = false // the proxy's own
	remoteZone placement = true  // all others
)

// admits sets the placement of a request and reports whether it is admitted. Only turns of new programs are refused.
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

// hasRemoteReceivers reports whether the service has engines in other zones besides some in the proxy's own.
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

// lightlyLoaded reports whether so few slots are in use that every new program can be admitted.
func (s *service) lightlyLoaded(now Instant) bool {
	used, total := s.slotUsage(now)
	return used < lightLoad*float64(total)
}

// observeStart adjusts the admission shares by how long after its submission the response to a turn started.
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

// observeEnd adjusts the admission shares for a turn that ended without a response and is already late.
func (d *Dispatcher) observeEnd(s *service, q *request) {
	if q.IsTurn && !q.responseStarted && !q.startCounted && q.startsLate(d.now) {
		s.admit.recordLate(d.servedZone(q))
		q.startCounted = true
	}
}

// servedZone returns where a turn was served, or where it was placed if it has no call in flight.
func (d *Dispatcher) servedZone(q *request) placement {
	if q.endpoint == nil {
		return q.placement
	}
	return placement(q.endpoint.Zone != d.zone)
}

// startsLate reports whether a response that starts now is late.
func (q *request) startsLate(now Instant) bool {
	return q.TargetLatency > 0 && now.Sub(q.submittedAt) > time.Duration(onTimeFraction*float64(q.TargetLatency))
}

// programSet remembers the placement of recently seen programs by the hash of their names, in two generations: the
// previous one is dropped when the current one is full or has reached programRetention.
type programSet struct {
	current, previous map[uint64]placement
	currentSince      Instant // start of the current generation
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
