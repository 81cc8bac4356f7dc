package sim

import "time"

// link is one direction between two addresses.
type link struct{ from, to string }

// outside is the address of clients, receivers and operators.
const outside = "outside"

// network carries messages.
type network struct {
	world  *world
	cuts   map[link]int // how many troubles cut it
	loss   float64
	repeat float64
	slow   float64                // chance that a message takes long
	lag    map[link]time.Duration // further delay of some directions
}

// Delays of messages.
const (
	leastDelay = 500 * time.Microsecond
	mostDelay  = 8 * time.Millisecond
	slowDelay  = 700 * time.Millisecond
)

// carry brings something from one address to another: not at all, once or twice, in any order.
func (n *network) carry(from, to string, deliver func()) {
	w := n.world
	copies := 1
	if w.random.Float64() < n.loss {
		copies = 0
	}
	if w.random.Float64() < n.repeat {
		copies++
	}
	for range copies {
		delay := w.between(leastDelay, mostDelay)
		if w.random.Float64() < n.slow {
			delay += w.between(0, slowDelay)
		}
		if len(n.lag) > 0 {
			delay += n.lag[link{from, to}]
		}
		w.after(delay, func() {
			if n.cuts[link{from, to}] == 0 {
				deliver()
			}
		})
	}
}

// lagFor delays one direction further, for a time.
func (n *network) lagFor(l link, lag, d time.Duration) {
	n.lag[l] += lag
	n.world.after(d, func() {
		n.lag[l] -= lag
		if n.lag[l] == 0 {
			delete(n.lag, l)
		}
	})
}

// cut cuts or joins one direction.
func (n *network) cut(from, to string, by int) { n.cuts[link{from, to}] += by }

// cutFor cuts directions for a time, and then does something.
func (n *network) cutFor(links []link, d time.Duration, then func()) {
	for _, l := range links {
		n.cut(l.from, l.to, 1)
	}
	n.world.after(d, func() {
		for _, l := range links {
			n.cut(l.from, l.to, -1)
		}
		then()
	})
}

// exchange carries a call to the process at an address and its answer back. serve runs at the called process as it is then,
// and may answer later or never; answered runs at the caller if it still lives.
func exchange[A any](w *world, from *life, to string, serve func(h *life, reply func(A)), answered func(A)) {
	w.network.carry(from.host.address, to, func() {
		h := w.at(to)
		if h == nil {
			return
		}
		h.step(func(l *life) {
			serve(l, func(a A) {
				w.network.carry(to, from.host.address, func() { from.step(func() { answered(a) }) })
			})
		})
	})
}

// callFromOutside does the same for a caller outside of the cluster.
func callFromOutside[A any](w *world, to string, serve func(h *life, reply func(A)), answered func(A)) {
	w.network.carry(outside, to, func() {
		h := w.at(to)
		if h == nil {
			return
		}
		h.step(func(l *life) {
			serve(l, func(a A) {
				w.network.carry(to, outside, func() { answered(a) })
			})
		})
	})
}
