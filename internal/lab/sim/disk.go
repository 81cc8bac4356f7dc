package sim

import "time"

const (
	// slowFactor is by how much each sync of a slow disk takes longer: a few ms become more than 100.
	slowFactor = 30
	// longestSync bounds one sync, so that none outlasts the calm by which all has to be whole: as long as a stall.
	longestSync = 4 * time.Second
	// assumeAfter is when longSyncCounts takes a sync for done.
	assumeAfter = 150 * time.Millisecond
)

// disk is how a host's disk behaves at present. What is on it is kept by role: controlDisk, storeDisk.
type disk struct {
	slow         int           // troubles that make each sync slow
	stalledUntil time.Duration // no sync returns before
	full         int           // troubles by which writes fail for want of room
}

// syncOutcome is how a sync ended.
type syncOutcome int

const (
	onDisk  syncOutcome = iota
	refused             // ENOSPC: nothing is lost, and nothing is known to be on the disk
	assumed             // by a deliberate fault: taken for done, though nothing is on the disk
)

func (h *host) syncTime() time.Duration {
	d := h.world.syncTime()
	if h.disk.slow > 0 {
		d *= slowFactor
	}
	return min(d, longestSync)
}

// sync begins a sync of the process's disk and says once how it ended; never, if the process ends before.
func (l *life) sync(done func(syncOutcome)) {
	w := l.host.world
	told := false
	once := func(o syncOutcome) {
		if !told {
			told = true
			done(o)
		}
	}
	l.later(l.host.syncTime(), func() { l.syncReturns(once) })
	if w.has(longSyncCounts) {
		l.later(assumeAfter, func() { once(assumed) })
	}
}

// syncReturns gives a sync's outcome once the disk does not stall.
func (l *life) syncReturns(done func(syncOutcome)) {
	h := l.host
	if wait := h.disk.stalledUntil - h.world.now; wait > 0 {
		l.later(wait, func() { l.syncReturns(done) })
		return
	}
	switch {
	case h.disk.full == 0:
		done(onDisk)
	case h.world.has(fullAcknowledges):
		done(assumed)
	default:
		done(refused)
	}
}

// stall has no sync of the disk return for a time.
func (h *host) stall(d time.Duration) { h.disk.stalledUntil = max(h.disk.stalledUntil, h.world.now+d) }

// steadyNow is a clock of the host that never steps.
func (h *host) steadyNow() time.Duration { return h.world.now }

// timeOfDay is the host's clock that is stepped.
func (h *host) timeOfDay() time.Time { return h.world.clock().Add(h.clockStep) }
