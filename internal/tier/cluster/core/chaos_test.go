package core_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/cluster/records"
)

// chaos draws troubles for a world.
type chaos struct {
	*world
	size  int
	zones int
	fresh int // machines that came later
}

// trouble does one thing at random; what ends by itself ends within some seconds.
func (c *chaos) trouble() {
	switch c.random.IntN(10) {
	case 0:
		c.kill(c.someone(), time.Duration(c.random.Int64N(int64(8*time.Second))), false)
	case 1:
		c.kill(c.someone(), time.Duration(c.random.Int64N(int64(2*time.Second))), true)
	case 2:
		if p := c.someone(); p != nil && !p.frozen {
			c.freeze(p, time.Duration(c.random.Int64N(int64(12*time.Second))))
		}
	case 3:
		c.cutInTwo()
	case 4:
		c.cutOneWay()
	case 5:
		c.cut = func(_, _ *process) bool { return false }
	case 6:
		c.loss, c.repeat = c.random.Float64()*0.3, c.random.Float64()*0.2
		c.delay = time.Duration(1 + c.random.Int64N(int64(300*time.Millisecond)))
	case 7:
		c.replace()
	default:
		c.publish()
	}
}

func (c *chaos) someone() *process {
	up := c.running()
	if len(up) == 0 {
		return nil
	}
	return up[c.random.IntN(len(up))]
}

// kill ends a process and starts it again some time later, perhaps with its clock set back.
func (c *chaos) kill(p *process, pause time.Duration, back bool) {
	if p == nil {
		return
	}
	skew := time.Duration(0)
	if back {
		skew = -5 * time.Second
	}
	c.stop(p)
	c.after(pause, func() {
		if c.at[p.node.Address] == nil {
			c.start(p.node, skew)
		}
	})
}

// cutInTwo parts the machines into two sides.
func (c *chaos) cutInTwo() {
	sides := c.sides()
	c.cut = func(from, to *process) bool { return sides[from.node.Name] != sides[to.node.Name] }
}

// cutOneWay lets one side hear nothing of the other.
func (c *chaos) cutOneWay() {
	sides := c.sides()
	c.cut = func(from, to *process) bool { return sides[from.node.Name] && !sides[to.node.Name] }
}

func (c *chaos) sides() map[string]bool {
	share := c.random.Float64() * 0.6
	sides := map[string]bool{}
	for _, p := range c.running() {
		sides[p.node.Name] = c.random.Float64() < share
	}
	return sides
}

// replace ends a process for good. Another machine takes its address, or the same one comes back elsewhere.
func (c *chaos) replace() {
	p := c.someone()
	if p == nil || p.node.Role == membership.Control {
		return
	}
	c.stop(p)
	c.fresh++
	n := p.node
	if c.random.IntN(2) == 0 {
		n.Name = fmt.Sprintf("new-%d", c.fresh)
	} else {
		n.Address = addressOf(10_000 + c.fresh)
	}
	c.after(time.Duration(c.random.Int64N(int64(4*time.Second))), func() {
		if c.at[n.Address] == nil {
			c.start(n, 0)
		}
	})
}

// publish has some node publish something: a receiver's state, or a large value.
func (c *chaos) publish() {
	p := c.someone()
	if p == nil || p.frozen {
		return
	}
	key := fmt.Sprintf("%s%d", core.ReceiverPrefix, c.random.IntN(30))
	value := make([]byte, c.random.IntN(3000))
	if c.random.IntN(2) == 0 {
		state := records.ReceiverState(c.random.IntN(4))
		var err error
		value, err = records.ReceiverCodec.Encode(records.ReceiverRecord{ID: key, State: state, Owner: p.node.Name})
		Expect(err).NotTo(HaveOccurred())
	}
	p.core.Publish(c.now, gossip.Entry{Key: key, Value: value})
	p.carryOut()
}

// heal ends all troubles.
func (c *chaos) heal() {
	c.cut = func(_, _ *process) bool { return false }
	c.loss, c.repeat, c.delay = 0, 0, 2*time.Millisecond
}

var _ = Describe("A fleet in trouble", func() {
	const runs = 40
	for seed := range uint64(runs) {
		It(fmt.Sprintf("agrees once all are in touch again, seed %d", seed), func() {
			w := newWorld(seed)
			c := &chaos{world: w, size: 5 + w.random.IntN(56), zones: 1 + w.random.IntN(4)}
			w.fleet(c.size, c.zones)
			w.run(5 * time.Second)
			for range 20 + w.random.IntN(60) {
				c.trouble()
				w.run(time.Duration(w.random.Int64N(int64(2 * time.Second))))
			}
			c.heal()
			w.run(12 * time.Second) // the last pauses and restarts end
			took := w.runUntil(20*time.Second, 100*time.Millisecond, func() bool { return w.allAgree() == "" })
			Expect(w.allAgree()).To(BeEmpty(), "after %v", took)
			w.run(5 * time.Second)
			Expect(w.allAgree()).To(BeEmpty())
			for _, p := range w.running() {
				Expect(p.core.Ready()).To(BeTrue(), "%s is not ready", p.node.ID())
			}
		})
	}
})
