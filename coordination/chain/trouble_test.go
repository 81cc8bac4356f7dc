package chain_test

import (
	"fmt"
	"time"
)

// recoveryTime is how long after the last trouble a disk may be lost: what is tolerated is one at a time.
const recoveryTime = 4500 * time.Millisecond

// faultInjector strikes a world.
type faultInjector struct {
	*simulation
	faultsEnd    time.Duration // end of the newest trouble but disks
	lastDiskLoss time.Duration // when a host without its disk was back
	replaced     int
}

func (t *faultInjector) randomHost() *host {
	for {
		if h := t.hosts[t.random.IntN(len(t.hosts))]; !h.removed {
			return h
		}
	}
}

// extendFaults notes that something goes on until then.
func (t *faultInjector) extendFaults(d time.Duration) time.Duration {
	t.faultsEnd = max(t.faultsEnd, t.now+d)
	return d
}

// chooseRates draws what goes on all the time.
func (t *faultInjector) chooseRates() {
	t.lossRate = []float64{0, 0, 0.05, 0.2}[t.random.IntN(4)]
	t.duplicateRate = []float64{0, 0.03, 0.1}[t.random.IntN(3)]
	t.delayRate = []float64{0, 0.02, 0.2}[t.random.IntN(3)]
	t.maxDelay = []time.Duration{400 * time.Millisecond, 3 * time.Second}[t.random.IntN(2)]
	t.crashRate = []float64{0, 0.0005, 0.005, 0.02}[t.random.IntN(4)]
	t.maxRestartDelay = []time.Duration{200 * time.Millisecond, 2 * time.Second}[t.random.IntN(2)]
}

func (t *faultInjector) injectFault() {
	switch t.random.IntN(12) {
	case 0, 1:
		t.kill(t.randomHost())
	case 2:
		t.killAll()
	case 3:
		h := t.randomHost()
		t.trace("%v freeze %s", t.now, h.address)
		t.freeze(h, t.extendFaults(t.between(300*time.Millisecond, 5*time.Second)))
	case 4:
		for _, h := range t.hosts {
			t.freeze(h, t.extendFaults(t.between(300*time.Millisecond, 3*time.Second)))
		}
	case 5, 6:
		t.isolate()
	case 7:
		t.blockOneLink()
	case 8:
		t.partition()
	case 9, 10, 11:
		t.loseDisk()
	}
}

func (t *faultInjector) kill(h *host) {
	t.trace("%v kill %s", t.now, h.address)
	t.stop(h)
	t.after(t.extendFaults(t.between(50*time.Millisecond, 3*time.Second)), func() { t.start(h) })
}

func (t *faultInjector) killAll() {
	for _, h := range t.hosts {
		if !h.removed {
			t.kill(h)
		}
	}
}

func (t *faultInjector) blockLink(from, to *host, d time.Duration) {
	key := [2]string{from.address, to.address}
	t.trace("%v cut %s -> %s for %v", t.now, key[0], key[1], d)
	t.blocked[key] = true
	t.after(t.extendFaults(d), func() { delete(t.blocked, key) })
}

// isolate cuts one host off, in one direction or both.
func (t *faultInjector) isolate() {
	one, d, way := t.randomHost(), t.between(500*time.Millisecond, 6*time.Second), t.random.IntN(3)
	for _, h := range t.hosts {
		if h == one {
			continue
		}
		if way != 0 {
			t.blockLink(one, h, d)
		}
		if way != 1 {
			t.blockLink(h, one, d)
		}
	}
}

func (t *faultInjector) blockOneLink() {
	a, b, d := t.randomHost(), t.randomHost(), t.between(500*time.Millisecond, 6*time.Second)
	if a == b {
		return
	}
	t.blockLink(a, b, d)
	if t.random.IntN(2) == 0 {
		t.blockLink(b, a, d)
	}
}

// partition cuts the hosts into two sides, with clients on both.
func (t *faultInjector) partition() {
	side, d := map[*host]bool{}, t.between(500*time.Millisecond, 6*time.Second)
	for _, h := range t.hosts {
		side[h] = t.random.IntN(2) == 0
	}
	for _, a := range t.hosts {
		for _, b := range t.hosts {
			if side[a] != side[b] {
				t.blockLink(a, b, d)
			}
		}
	}
}

// loseDisk takes one disk, with all others losing power at the same time, or replaces a host. It waits until what was
// before is over for long enough.
func (t *faultInjector) loseDisk() {
	loss, slow, crash := t.lossRate, t.delayRate, t.crashRate
	t.lossRate, t.delayRate, t.crashRate = min(loss, 0.05), min(slow, 0.02), 0
	t.runClients(max(0, max(t.faultsEnd, t.lastDiskLoss)+recoveryTime-t.now))
	h := t.randomHost()
	back := t.between(50*time.Millisecond, 1500*time.Millisecond)
	switch t.random.IntN(3) {
	case 0:
		t.trace("%v all lose power", t.now)
		t.killAll()
	case 1:
		h = t.replace(h)
	}
	t.trace("%v wipe %s", t.now, h.address)
	t.wipe(h)
	t.after(back, func() { t.start(h) })
	t.lastDiskLoss = t.now + back
	t.runClients(max(back, t.faultsEnd-t.now) + recoveryTime)
	t.lossRate, t.delayRate, t.crashRate = loss, slow, crash
}

// replace takes a host away for good and brings another.
func (t *faultInjector) replace(h *host) *host {
	t.stop(h)
	h.removed = true
	t.replaced++
	next := &host{address: fmt.Sprintf("other%d", t.replaced)}
	t.hosts = append(t.hosts, next)
	return next
}

func (t *faultInjector) heal() {
	t.crashRate, t.lossRate, t.duplicateRate, t.delayRate = 0, 0, 0, 0
	clear(t.blocked)
	for _, h := range t.hosts {
		if h.frozen {
			t.unfreeze(h)
		}
	}
	for _, h := range t.hosts {
		if h.node == nil {
			t.start(h)
		}
	}
}
