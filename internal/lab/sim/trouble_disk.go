package sim

import "time"

const (
	// leastDiskTrouble and mostDiskTrouble are for how long disks are slow, stalled or full.
	leastDiskTrouble = 200 * time.Millisecond
	mostDiskTrouble  = 4 * time.Second
	// stuckFor is how long one disk is stuck while nothing else happens, and leaveOutBound after how much of
	// it the others must go on: the chain leaves a silent member out after 0.7 s.
	stuckFor      = 6 * time.Second
	leaveOutBound = 2 * time.Second
	// The time of day is stepped by up to smallStep, or by up to greatStep: beyond any retention.
	smallStep = 10 * time.Second
	greatStep = 30 * 24 * time.Hour
)

// disks has some disks be slow, stalled or full. Some of the machines may lose power before it is over.
func (t *trouble) disks() {
	w := t.world
	hosts := t.someDisks()
	d := w.between(leastDiskTrouble, mostDiskTrouble)
	recover := func() {}
	switch w.random.IntN(3) {
	case 0:
		w.begins(SlowDisks, "%d disks are slow for %s", len(hosts), d)
		for _, h := range hosts {
			h.disk.slow++
		}
		recover = func() {
			for _, h := range hosts {
				h.disk.slow--
			}
		}
	case 1:
		w.begins(StalledDisks, "%d disks stall for %s", len(hosts), d)
		for _, h := range hosts {
			h.stall(d)
		}
	case 2:
		w.begins(FullDisks, "%d disks are full for %s", len(hosts), d)
		for _, h := range hosts {
			h.disk.full++
		}
		recover = func() {
			for _, h := range hosts {
				h.disk.full--
			}
		}
	}
	if w.one(2) {
		w.runProgram()
	}
	if w.one(2) {
		w.after(w.between(0, d), func() { t.kill(hosts, time.Second) })
	}
	w.after(d, func() {
		recover()
		w.ends()
	})
}

// someDisks draws a machine, a share of all, all of a role, or all.
func (t *trouble) someDisks() []*host {
	w := t.world
	switch w.random.IntN(5) {
	case 0:
		return []*host{pick(w, w.hosts)}
	case 1:
		var some []*host
		for _, h := range w.hosts {
			if w.one(3) {
				some = append(some, h)
			}
		}
		return some
	case 2:
		return w.of(controlRole)
	case 3:
		return w.of(storeRole)
	}
	return append(w.of(controlRole), w.of(storeRole)...)
}

// stuck has one disk hang where nothing else happens: the others have to go on without it.
func (t *trouble) stuck() {
	w := t.world
	if t.lost || w.now+stuckFor > t.end || !w.calmSince(w.now-settleTime) || !w.whole() {
		return
	}
	h := pick(w, append(w.of(controlRole), w.of(storeRole)...))
	w.begins(StuckMembers, "the disk of %s is stuck", h.name)
	t.lost = true
	h.stall(stuckFor)
	w.after(leaveOutBound, func() {
		if h.role == controlRole {
			w.changesWithout(h)
		} else {
			w.turnsWithout(h)
		}
	})
	w.after(stuckFor, w.ends)
	w.after(stuckFor+catchUp, func() { t.lost = false })
}

// changesWithout checks that the other control nodes take a change.
func (w *world) changesWithout(stuck *host) {
	for _, h := range w.of(controlRole) {
		if h == stuck {
			continue
		}
		c := w.operators.changeAt(h.address)
		w.after(progressBound, func() {
			if c.status == 0 {
				w.judge.breach(ProgressRule, "order %d has no answer %s after it was sent to %s, only %s's disk is stuck",
					c.no, progressBound, h.name, stuck.name)
			}
		})
	}
}

// turnsWithout checks that a turn can begin and is kept at each proxy.
func (w *world) turnsWithout(stuck *host) {
	for _, h := range w.up(proxyRole) {
		kept := false
		h.life.edge.probe(func() { kept = true })
		w.after(progressBound, func() {
			if !kept {
				w.judge.breach(ProgressRule, "a turn at %s is not kept after %s, only %s's disk is stuck",
					h.name, progressBound, stuck.name)
			}
		})
	}
}

// stepClocks sets the time of day of a share of the machines forward or back, for the rest of the run or
// until the next step.
func (t *trouble) stepClocks() {
	w := t.world
	most := smallStep
	if w.one(2) {
		most = greatStep
	}
	w.begins(ClockSteps, "time of day is stepped by up to %s", most)
	for _, h := range w.hosts {
		if w.one(3) {
			h.clockStep = w.between(-most, most)
		}
	}
	w.ends()
}

// powerAtRemoval has the other stores' disks be full while one is emptied, and these stores lose power once
// it is taken away.
func (t *trouble) powerAtRemoval(emptied *host) {
	w := t.world
	var others []*host
	for _, h := range w.of(storeRole) {
		if h != emptied {
			others = append(others, h)
			h.disk.full++
		}
	}
	w.begins(PowerAtRemoval, "%d disks are full while %s is emptied, then power", len(others), emptied.name)
	over := false
	end := func() {
		if over {
			return
		}
		over = true
		t.kill(others, 300*time.Millisecond)
		for _, h := range others {
			h.disk.full--
		}
		w.ends()
	}
	w.judge.onRemoval = append(w.judge.onRemoval, end)
	w.after(w.between(leastDiskTrouble, mostDiskTrouble), end)
}
