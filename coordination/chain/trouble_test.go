package chain_test

import (
	"fmt"
	"time"
)

// recoveryTime is the minimum time between the end of the last fault and the loss of a disk, as only one loss at a time is
// tolerated.
const recoveryTime = 4500 * time.Millisecond

// faultInjector injects random faults into a simulation.
type faultInjector struct {
	*simulation
	faultsEnd    time.Duration // end of the latest fault other than a disk loss
	lastDiskLoss time.Duration // when the host that last lost its disk starts again
	replaced     int
}

func (f *faultInjector) randomHost() *host {
	for {
		if h := f.hosts[f.random.IntN(len(f.hosts))]; !h.removed {
			return h
		}
	}
}

// extendFaults records that a fault starting now lasts for d.
func (f *faultInjector) extendFaults(d time.Duration) time.Duration {
	f.faultsEnd = max(f.faultsEnd, f.now+d)
	return d
}

// chooseRates picks the rates of the faults that occur throughout the run.
func (f *faultInjector) chooseRates() {
	f.lossRate = []float64{0, 0, 0.05, 0.2}[f.random.IntN(4)]
	f.duplicateRate = []float64{0, 0.03, 0.1}[f.random.IntN(3)]
	f.delayRate = []float64{0, 0.02, 0.2}[f.random.IntN(3)]
	f.maxDelay = []time.Duration{400 * time.Millisecond, 3 * time.Second}[f.random.IntN(2)]
	f.crashRate = []float64{0, 0.0005, 0.005, 0.02}[f.random.IntN(4)]
	f.maxRestartDelay = []time.Duration{200 * time.Millisecond, 2 * time.Second}[f.random.IntN(2)]
}

func (f *faultInjector) injectFault() {
	switch f.random.IntN(12) {
	case 0, 1:
		f.kill(f.randomHost())
	case 2:
		f.killAll()
	case 3:
		h := f.randomHost()
		f.trace("%v freeze %s", f.now, h.address)
		f.freeze(h, f.extendFaults(f.between(300*time.Millisecond, 5*time.Second)))
	case 4:
		for _, h := range f.hosts {
			f.freeze(h, f.extendFaults(f.between(300*time.Millisecond, 3*time.Second)))
		}
	case 5, 6:
		f.isolate()
	case 7:
		f.blockOneLink()
	case 8:
		f.partition()
	case 9, 10, 11:
		f.loseDisk()
	}
}

func (f *faultInjector) kill(h *host) {
	f.trace("%v kill %s", f.now, h.address)
	f.stop(h)
	f.after(f.extendFaults(f.between(50*time.Millisecond, 3*time.Second)), func() { f.start(h) })
}

func (f *faultInjector) killAll() {
	for _, h := range f.hosts {
		if !h.removed {
			f.kill(h)
		}
	}
}

func (f *faultInjector) blockLink(from, to *host, d time.Duration) {
	key := [2]string{from.address, to.address}
	f.trace("%v block %s -> %s for %v", f.now, key[0], key[1], d)
	f.blocked[key] = true
	f.after(f.extendFaults(d), func() { delete(f.blocked, key) })
}

// isolate blocks all links of one host, in one direction or both.
func (f *faultInjector) isolate() {
	isolated, d, direction := f.randomHost(), f.between(500*time.Millisecond, 6*time.Second), f.random.IntN(3)
	for _, h := range f.hosts {
		if h == isolated {
			continue
		}
		if direction != 0 {
			f.blockLink(isolated, h, d)
		}
		if direction != 1 {
			f.blockLink(h, isolated, d)
		}
	}
}

func (f *faultInjector) blockOneLink() {
	a, b, d := f.randomHost(), f.randomHost(), f.between(500*time.Millisecond, 6*time.Second)
	if a == b {
		return
	}
	f.blockLink(a, b, d)
	if f.random.IntN(2) == 0 {
		f.blockLink(b, a, d)
	}
}

// partition splits the hosts into two sides, with clients on both.
func (f *faultInjector) partition() {
	side, d := map[*host]bool{}, f.between(500*time.Millisecond, 6*time.Second)
	for _, h := range f.hosts {
		side[h] = f.random.IntN(2) == 0
	}
	for _, a := range f.hosts {
		for _, b := range f.hosts {
			if side[a] != side[b] {
				f.blockLink(a, b, d)
			}
		}
	}
}

// loseDisk wipes the disk of a host, in some cases while all hosts lose power or by replacing the host. It first waits until
// earlier faults have been over for recoveryTime.
func (f *faultInjector) loseDisk() {
	lossRate, delayRate, crashRate := f.lossRate, f.delayRate, f.crashRate
	f.lossRate, f.delayRate, f.crashRate = min(lossRate, 0.05), min(delayRate, 0.02), 0
	f.runClients(max(0, max(f.faultsEnd, f.lastDiskLoss)+recoveryTime-f.now))
	h := f.randomHost()
	restartDelay := f.between(50*time.Millisecond, 1500*time.Millisecond)
	switch f.random.IntN(3) {
	case 0:
		f.trace("%v all lose power", f.now)
		f.killAll()
	case 1:
		h = f.replace(h)
	}
	f.trace("%v wipe %s", f.now, h.address)
	f.wipe(h)
	f.after(restartDelay, func() { f.start(h) })
	f.lastDiskLoss = f.now + restartDelay
	f.runClients(max(restartDelay, f.faultsEnd-f.now) + recoveryTime)
	f.lossRate, f.delayRate, f.crashRate = lossRate, delayRate, crashRate
}

// replace removes a host permanently and adds another.
func (f *faultInjector) replace(h *host) *host {
	f.stop(h)
	h.removed = true
	f.replaced++
	next := &host{address: fmt.Sprintf("other%d", f.replaced)}
	f.hosts = append(f.hosts, next)
	return next
}

func (f *faultInjector) heal() {
	f.crashRate, f.lossRate, f.duplicateRate, f.delayRate = 0, 0, 0, 0
	clear(f.blocked)
	for _, h := range f.hosts {
		if h.frozen {
			f.unfreeze(h)
		}
	}
	for _, h := range f.hosts {
		if h.node == nil {
			f.start(h)
		}
	}
}
