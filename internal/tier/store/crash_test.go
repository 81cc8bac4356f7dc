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

// crashTest runs random operations on one store, kills it or cuts its power at random, and records what it
// acknowledged.
type crashTest struct {
	cluster        *cluster
	node           *node
	rng            *rand.Rand
	retainedUntil  map[string]time.Duration // acknowledged turn -> end of its retention
	inputBytes     map[string]int
	reservedTokens map[string]int64 // acknowledged reservation -> its most tokens
	settledTokens  map[string]int64 // settlements sent: each may be lost, and the reservation is open then
	sequence       int
}

func newCrashTest(seed uint64) *crashTest {
	c := newCluster(0, "a")
	return &crashTest{cluster: c, node: c.nodes[0], rng: rand.New(rand.NewPCG(seed, 2)), retainedUntil: map[string]time.Duration{},
		inputBytes: map[string]int{}, reservedTokens: map[string]int64{}, settledTokens: map[string]int64{}}
}

func (c *crashTest) header() storewire.Header {
	return storewire.Header{Epoch: int64(c.cluster.view.Epoch), StoreID: c.node.store.ID()}
}

func (c *crashTest) now() time.Duration { return time.Duration(c.cluster.clock.Load()) }

// commitTurn commits a turn of random size, so that the ring wraps around many times.
func (c *crashTest) commitTurn() {
	c.sequence++
	t := storewire.Turn{ID: fmt.Sprint("turn-", c.sequence), RetentionMillis: 20_000,
		Input: []byte(strings.Repeat("x", c.rng.IntN(200<<10)))}
	t.Root = t.ID
	if c.rng.IntN(10) == 0 {
		t.RetentionMillis = 600_000
		t.Input = t.Input[:min(len(t.Input), 10<<10)]
	}
	answer, err := c.node.store.Commit(ctx, storewire.CommitRequest{Header: c.header(), Turn: t})
	Expect(err).NotTo(HaveOccurred())
	if answer.Reply.Status == storewire.Served {
		c.retainedUntil[t.ID] = c.now() + time.Duration(t.RetentionMillis)*time.Millisecond
		c.inputBytes[t.ID] = len(t.Input)
	}
}

func (c *crashTest) reserve() {
	c.sequence++
	turn := fmt.Sprint("turn-", c.sequence)
	answer, err := c.node.store.Reserve(ctx, storewire.ReserveRequest{Header: c.header(), Program: "p", Turn: turn, BudgetTokens: 1 << 40, MaxTokens: 5})
	Expect(err).NotTo(HaveOccurred())
	if answer.Stored {
		c.reservedTokens[turn] = 5
	}
}

func (c *crashTest) settle() {
	for turn := range c.reservedTokens {
		if _, settled := c.settledTokens[turn]; settled {
			continue
		}
		_, err := c.node.store.Settle(ctx, storewire.SettleRequest{Header: c.header(),
			Settlements: []storewire.Settlement{{Program: "p", TurnKey: int64(budget.TurnKeyOf(turn)), UsedTokens: 2}}})
		Expect(err).NotTo(HaveOccurred())
		c.settledTokens[turn] = 2
		return
	}
}

// check verifies that all acknowledged data is there.
func (c *crashTest) check() {
	for id, until := range c.retainedUntil {
		if until < c.now() {
			delete(c.retainedUntil, id)
			continue
		}
		answer, err := c.node.store.History(ctx, storewire.HistoryRequest{Header: c.header(), Turn: id, WithBodies: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Known).To(BeTrue(), id)
		t, err := storewire.DecodeTurn(answer.Turns[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Input).To(HaveLen(c.inputBytes[id]))
	}
	answer, err := c.node.store.Reserve(ctx, storewire.ReserveRequest{Header: c.header(), Program: "p", Turn: "look", Recheck: true, Whole: true})
	Expect(err).NotTo(HaveOccurred())
	entries, err := budget.DecodeEntries(answer.Entries)
	Expect(err).NotTo(HaveOccurred())
	known := map[budget.TurnKey]budget.Entry{}
	for _, e := range entries {
		known[e.Turn] = e
	}
	for turn, most := range c.reservedTokens {
		e, ok := known[budget.TurnKeyOf(turn)]
		Expect(ok).To(BeTrue(), turn)
		used, settled := c.settledTokens[turn]
		if e.Open {
			Expect(e.Tokens).To(Equal(most))
		} else {
			Expect(settled).To(BeTrue())
			Expect(e.Tokens).To(Equal(used))
		}
	}
}

func (c *crashTest) step() {
	switch draw := c.rng.IntN(100); {
	case draw == 0:
		c.node.restart(memfs.PowerLoss, c.rng)
		c.check()
	case draw == 1:
		c.node.restart(memfs.ProcessCrash, nil)
		c.check()
	case draw < 15:
		c.cluster.advanceClock(time.Duration(c.rng.IntN(8000)) * time.Millisecond)
		c.node.store.RepairRound(0)
	case draw < 30:
		c.reserve()
	case draw < 40:
		c.settle()
	default:
		c.commitTurn()
	}
}

var _ = DescribeTable("a store that is killed and loses power repeatedly keeps all acknowledged data",
	func(seed uint64) {
		c := newCrashTest(seed)
		for range 800 {
			c.step()
		}
		c.check()
		Expect(c.node.store.OldestSegment()).To(BeNumerically(">", 8), "half of the ring has been overwritten")
		Expect(c.node.disk.UsedBytes()).To(BeNumerically("<=", 16<<20))
	},
	Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
)
