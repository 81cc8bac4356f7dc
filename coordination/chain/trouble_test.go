package chain_test

import (
	"fmt"
	"time"
)

// recovered is how long after the last trouble a disk may be lost: what is tolerated is one at a time.
const recovered = 4500 * time.Millisecond

// trouble strikes a world.
type trouble struct {
	*world
	last     time.Duration // end of the newest trouble but disks
	lostDisk time.Duration // when a host without its disk was back
	replaced int
}

func (t *trouble) any() *host {
	for {
		if h := t.hosts[t.random.IntN(len(t.hosts))]; !h.gone {
			return h
		}
	}
}

// lasts notes that something goes on until then.
func (t *trouble) lasts(d time.Duration) time.Duration {
	t.last = max(t.last, t.now+d)
	return d
}

// begin draws what goes on all the time.
func (t *trouble) begin() {
	t.loss = []float64{0, 0, 0.05, 0.2}[t.random.IntN(4)]
	t.repeat = []float64{0, 0.03, 0.1}[t.random.IntN(3)]
	t.slow = []float64{0, 0.02, 0.2}[t.random.IntN(3)]
	t.slowest = []time.Duration{400 * time.Millisecond, 3 * time.Second}[t.random.IntN(2)]
	t.crash = []float64{0, 0.0005, 0.005, 0.02}[t.random.IntN(4)]
	t.pause = []time.Duration{200 * time.Millisecond, 2 * time.Second}[t.random.IntN(2)]
}

func (t *trouble) strike() {
	switch t.random.IntN(12) {
	case 0, 1:
		t.kill(t.any())
	case 2:
		t.killAll()
	case 3:
		h := t.any()
		t.trace("%v freeze %s", t.now, h.address)
		t.freeze(h, t.lasts(t.between(300*time.Millisecond, 5*time.Second)))
	case 4:
		for _, h := range t.hosts {
			t.freeze(h, t.lasts(t.between(300*time.Millisecond, 3*time.Second)))
		}
	case 5, 6:
		t.isolate()
	case 7:
		t.cutOne()
	case 8:
		t.split()
	case 9, 10, 11:
		t.loseDisk()
	}
}

func (t *trouble) kill(h *host) {
	t.trace("%v kill %s", t.now, h.address)
	t.stop(h)
	t.after(t.lasts(t.between(50*time.Millisecond, 3*time.Second)), func() { t.start(h) })
}

func (t *trouble) killAll() {
	for _, h := range t.hosts {
		if !h.gone {
			t.kill(h)
		}
	}
}

func (t *trouble) setCut(from, to *host, d time.Duration) {
	key := [2]string{from.address, to.address}
	t.trace("%v cut %s -> %s for %v", t.now, key[0], key[1], d)
	t.cut[key] = true
	t.after(t.lasts(d), func() { delete(t.cut, key) })
}

// isolate cuts one host off, in one direction or both.
func (t *trouble) isolate() {
	one, d, way := t.any(), t.between(500*time.Millisecond, 6*time.Second), t.random.IntN(3)
	for _, h := range t.hosts {
		if h == one {
			continue
		}
		if way != 0 {
			t.setCut(one, h, d)
		}
		if way != 1 {
			t.setCut(h, one, d)
		}
	}
}

func (t *trouble) cutOne() {
	a, b, d := t.any(), t.any(), t.between(500*time.Millisecond, 6*time.Second)
	if a == b {
		return
	}
	t.setCut(a, b, d)
	if t.random.IntN(2) == 0 {
		t.setCut(b, a, d)
	}
}

// split cuts the hosts into two sides, with clients on both.
func (t *trouble) split() {
	side, d := map[*host]bool{}, t.between(500*time.Millisecond, 6*time.Second)
	for _, h := range t.hosts {
		side[h] = t.random.IntN(2) == 0
	}
	for _, a := range t.hosts {
		for _, b := range t.hosts {
			if side[a] != side[b] {
				t.setCut(a, b, d)
			}
		}
	}
}

// loseDisk takes one disk, with all others losing power at the same time, or replaces a host. It waits until what was
// before is over for long enough.
func (t *trouble) loseDisk() {
	loss, slow, crash := t.loss, t.slow, t.crash
	t.loss, t.slow, t.crash = min(loss, 0.05), min(slow, 0.02), 0
	t.clients(max(0, max(t.last, t.lostDisk)+recovered-t.now))
	h := t.any()
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
	t.lostDisk = t.now + back
	t.clients(max(back, t.last-t.now) + recovered)
	t.loss, t.slow, t.crash = loss, slow, crash
}

// replace takes a host away for good and brings another.
func (t *trouble) replace(h *host) *host {
	t.stop(h)
	h.gone = true
	t.replaced++
	next := &host{address: fmt.Sprintf("other%d", t.replaced)}
	t.hosts = append(t.hosts, next)
	return next
}

func (t *trouble) heal() {
	t.crash, t.loss, t.repeat, t.slow = 0, 0, 0, 0
	clear(t.cut)
	for _, h := range t.hosts {
		if h.frozen {
			t.thaw(h)
		}
	}
	for _, h := range t.hosts {
		if h.node == nil {
			t.start(h)
		}
	}
}
