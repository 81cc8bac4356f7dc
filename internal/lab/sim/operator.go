package sim

import (
	"fmt"
	"slices"
	"time"

	"emberquay/internal/tier/controlstate"
)

const (
	operatorSilence = time.Second
	operatorPause   = 80 * time.Millisecond
	operatorMost    = 1200 * time.Millisecond
	// orderLife is for how long an operator repeats an order without a clear answer.
	orderLife = 15 * time.Second
	// lostAnswers: one answer in so many does not reach the operator.
	lostAnswers = 8
)

// order is a change of the configuration with all of its tries.
type order struct {
	no      int
	base    uint64
	version uint64
	body    []byte
	invalid bool
	tries   int
	sent    time.Duration
	ended   time.Duration
	status  int // the clear answer; 0: none yet
	pause   time.Duration
	pinned  string // the only node that is asked, and no answer is lost; "": any
	done    func()
}

// operators change and read the configuration.
type operators struct {
	world   *world
	orders  []*order
	reads   []*readCall
	version uint64 // the newest that an operator knows to be acknowledged or read
	calm    bool   // no answer is lost any more
}

type readCall struct {
	sent, ended time.Duration
	floor       uint64 // the newest acknowledged when it was sent
	version     uint64
	body        string
	clear       bool
}

// body is a configuration that no other order has.
func bodyOf(version uint64, no int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[{"name":"s-%d","health_path":"/h","max_connections":1,"protocol":"h1","tls":false}],"limits":{}}`, version, no)
}

// change begins a change on top of a base.
func (o *operators) change(base uint64) *order {
	w := o.world
	c := &order{no: len(o.orders), base: base, version: base + 1 + uint64(w.random.IntN(3)), sent: w.now, pause: operatorPause}
	c.body = bodyOf(c.version, c.no)
	switch {
	case w.one(12):
		c.invalid = true
		c.body = pick(w, [][]byte{[]byte(`{`), bodyOf(0, c.no), fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r"}],"services":[]}`, c.version)})
	case w.one(15) && base > 0:
		c.invalid, c.version = true, base
		c.body = bodyOf(base, c.no)
	}
	o.orders = append(o.orders, c)
	o.send(c, pick(w, w.of(controlRole)).address)
	return c
}

// newOrder makes a valid change on top of a base; it is not sent yet.
func (o *operators) newOrder(base uint64) *order {
	c := &order{no: len(o.orders), base: base, version: base + 1, sent: o.world.now, pause: operatorPause}
	c.body = bodyOf(c.version, c.no)
	o.orders = append(o.orders, c)
	return c
}

// changeAt begins a valid change that is sent to one node alone.
func (o *operators) changeAt(address string) *order {
	c := o.newOrder(o.version)
	c.pinned = address
	o.send(c, address)
	return c
}

// send sends an order to a node, and to others until there is a clear answer.
func (o *operators) send(c *order, address string) {
	w := o.world
	if c.status != 0 || w.now-c.sent > orderLife {
		return
	}
	c.tries++
	command := controlstate.Command{Kind: controlstate.ReplaceConfiguration, Base: c.base, HasBase: true, Body: c.body}
	heard := false
	lost := !o.calm && c.pinned == "" && w.one(lostAnswers)
	callFromOutside(w, address, func(l *life, reply func(int)) {
		if l.replica == nil {
			return
		}
		l.replica.propose(command, func(result controlstate.Result, open bool) {
			if open {
				reply(503)
				return
			}
			reply(result.Status)
		})
	}, func(status int) {
		if heard || lost {
			return
		}
		heard = true
		if status == 503 {
			o.again(c)
			return
		}
		o.answered(c, status)
	})
	w.after(operatorSilence, func() {
		if !heard {
			heard = true
			o.again(c)
		}
	})
}

// again sends it once more after a pause, to any node.
func (o *operators) again(c *order) {
	w := o.world
	if c.status != 0 {
		return
	}
	w.after(c.pause, func() {
		address := c.pinned
		if address == "" {
			address = pick(w, w.of(controlRole)).address
		}
		o.send(c, address)
	})
	c.pause = min(2*c.pause, operatorMost)
}

func (o *operators) answered(c *order, status int) {
	if c.status != 0 {
		return
	}
	c.status, c.ended = status, o.world.now
	if status == controlstate.StatusOK {
		o.version = max(o.version, c.version)
	}
	o.world.judge.ordered(c)
	if c.done != nil {
		c.done()
	}
}

// repeat sends an acknowledged change once more to another node.
func (o *operators) repeat(c *order) {
	w := o.world
	command := controlstate.Command{Kind: controlstate.ReplaceConfiguration, Base: c.base, HasBase: true, Body: c.body}
	sent := w.now
	callFromOutside(w, pick(w, w.of(controlRole)).address, func(l *life, reply func(int)) {
		if l.replica == nil {
			return
		}
		l.replica.propose(command, func(result controlstate.Result, open bool) {
			if !open {
				reply(result.Status)
			}
		})
	}, func(status int) { w.judge.repeated(c, sent, status) })
}

// read reads the configuration at any node.
func (o *operators) read(done func(*readCall)) {
	o.readFrom(pick(o.world, o.world.of(controlRole)).address, done)
}

// readAt reads it at one node.
func (o *operators) readAt(address string) { o.readFrom(address, nil) }

func (o *operators) readFrom(address string, done func(*readCall)) {
	w := o.world
	c := &readCall{sent: w.now, floor: w.judge.acked}
	type answer struct {
		version uint64
		body    string
	}
	callFromOutside(w, address, func(l *life, reply func(answer)) {
		if l.replica == nil {
			return
		}
		l.replica.read(func(state *controlstate.State, open bool) {
			if open {
				return
			}
			version, body := state.Configuration()
			reply(answer{version, string(body)})
		})
	}, func(a answer) {
		if c.clear {
			return
		}
		c.clear, c.ended, c.version, c.body = true, w.now, a.version, a.body
		o.reads = append(o.reads, c)
		o.version = max(o.version, a.version)
		w.judge.read(c)
		if done != nil {
			done(c)
		}
	})
}

// run has operators act at random for a time.
func (o *operators) run(until time.Duration) {
	w := o.world
	if w.now >= until {
		return
	}
	switch w.random.IntN(8) {
	case 0, 1:
		o.read(nil)
	case 2:
		if acked := o.ackedOrders(); len(acked) > 0 {
			newest := 3
			if w.one(3) {
				newest = len(acked)
			}
			o.repeat(acked[max(0, len(acked)-1-w.random.IntN(newest))])
		}
	case 3: // a race of two on the same base
		o.change(o.version)
		o.change(o.version)
	case 4: // on top of what is old, or not there yet
		if o.version > 2 {
			o.change(o.version - uint64(w.random.IntN(3)) + uint64(w.random.IntN(2)))
		}
	default:
		o.change(o.version)
	}
	w.after(w.between(20*time.Millisecond, 900*time.Millisecond), func() { o.run(until) })
}

func (o *operators) ackedOrders() []*order {
	return slices.DeleteFunc(slices.Clone(o.orders), func(c *order) bool { return c.status != controlstate.StatusOK })
}
