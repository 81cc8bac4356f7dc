package store_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs/memfs"
)

// crashing is one store that is killed and loses power at random, and what it has acknowledged.
type crashing struct {
	cluster *cluster
	node    *node
	chance  *rand.Rand
	turns   map[string]time.Duration // acknowledged turns -> until when they have to be there
	size    map[string]int
	open    map[string]int64 // acknowledged reservations that may be open
	used    map[string]int64 // settlements that were told: each may be lost, and then counts at its most
	count   int
}

func newCrashing(seed uint64) *crashing {
	c := newCluster(0, "a")
	return &crashing{cluster: c, node: c.nodes[0], chance: rand.New(rand.NewPCG(seed, 2)), turns: map[string]time.Duration{},
		size: map[string]int{}, open: map[string]int64{}, used: map[string]int64{}}
}

func (c *crashing) header() storewire.Header {
	return storewire.Header{Epoch: int64(c.cluster.view.Epoch), Store: c.node.store.ID()}
}

func (c *crashing) now() time.Duration { return time.Duration(c.cluster.clock.Load()) }

// keep commits a turn of some size, so that the ring is gone around many times.
func (c *crashing) keep() {
	c.count++
	t := storewire.Turn{ID: fmt.Sprint("turn-", c.count), RetentionMillis: 20_000,
		Input: []byte(strings.Repeat("x", c.chance.IntN(200<<10)))}
	t.Root = t.ID
	if c.chance.IntN(10) == 0 {
		t.RetentionMillis = 600_000
		t.Input = t.Input[:min(len(t.Input), 10<<10)]
	}
	answer, err := c.node.store.Commit(ctx, storewire.CommitRequest{Header: c.header(), Turn: t})
	Expect(err).NotTo(HaveOccurred())
	if answer.Reply.Standing == storewire.Served {
		c.turns[t.ID] = c.now() + time.Duration(t.RetentionMillis)*time.Millisecond
		c.size[t.ID] = len(t.Input)
	}
}

func (c *crashing) reserve() {
	c.count++
	turn := fmt.Sprint("turn-", c.count)
	answer, err := c.node.store.Reserve(ctx, storewire.ReserveRequest{Header: c.header(), Program: "p", Turn: turn, Budget: 1 << 40, Most: 5})
	Expect(err).NotTo(HaveOccurred())
	if answer.Kept {
		c.open[turn] = 5
	}
}

func (c *crashing) settle() {
	for turn := range c.open {
		if _, settled := c.used[turn]; settled {
			continue
		}
		_, err := c.node.store.Settle(ctx, storewire.SettleRequest{Header: c.header(),
			Settlements: []storewire.Settlement{{Program: "p", Turn: int64(budget.TurnKeyOf(turn)), Used: 2}}})
		Expect(err).NotTo(HaveOccurred())
		c.used[turn] = 2
		return
	}
}

// check: all that was acknowledged is there.
func (c *crashing) check() {
	for id, until := range c.turns {
		if until < c.now() {
			delete(c.turns, id)
			continue
		}
		answer, err := c.node.store.History(ctx, storewire.HistoryRequest{Header: c.header(), Turn: id, Bodies: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Known).To(BeTrue(), id)
		t, err := storewire.DecodeTurn(answer.Turns[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Input).To(HaveLen(c.size[id]))
	}
	answer, err := c.node.store.Reserve(ctx, storewire.ReserveRequest{Header: c.header(), Program: "p", Turn: "look", Recheck: true, Whole: true})
	Expect(err).NotTo(HaveOccurred())
	entries, err := budget.DecodeEntries(answer.Entries)
	Expect(err).NotTo(HaveOccurred())
	known := map[budget.TurnKey]budget.Entry{}
	for _, e := range entries {
		known[e.Turn] = e
	}
	for turn, most := range c.open {
		e, ok := known[budget.TurnKeyOf(turn)]
		Expect(ok).To(BeTrue(), turn)
		used, settled := c.used[turn]
		if e.Open {
			Expect(e.Tokens).To(Equal(most))
		} else {
			Expect(settled).To(BeTrue())
			Expect(e.Tokens).To(Equal(used))
		}
	}
}

func (c *crashing) step() {
	switch x := c.chance.IntN(100); {
	case x == 0:
		c.node.restart(memfs.Power, c.chance)
		c.check()
	case x == 1:
		c.node.restart(memfs.Process, nil)
		c.check()
	case x < 15:
		c.cluster.pass(time.Duration(c.chance.IntN(8000)) * time.Millisecond)
		c.node.store.RepairRound(0)
	case x < 30:
		c.reserve()
	case x < 40:
		c.settle()
	default:
		c.keep()
	}
}

var _ = DescribeTable("a store that is killed and loses power again and again keeps all that it acknowledged",
	func(seed uint64) {
		c := newCrashing(seed)
		for range 800 {
			c.step()
		}
		c.check()
		Expect(c.node.store.OldestSegment()).To(BeNumerically(">", 8), "half of the ring has been written over")
		Expect(c.node.disk.Used()).To(BeNumerically("<=", 16<<20))
	},
	Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
)
