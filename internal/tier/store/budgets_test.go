package store_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/store"
	"emberquay/internal/tier/storeclient"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs/memfs"
)

// reservation returns a reservation of at most 6 tokens of a budget of 10.
func reservation(turn string) storeclient.Reservation {
	return storeclient.Reservation{Program: "p", Turn: turn, BudgetTokens: 10, MaxTokens: 6}
}

// attempts reserves repeatedly, each time with a new turn id.
type attempts struct {
	client *storeclient.Client
	count  int
}

func (a *attempts) next() storeclient.Verdict {
	a.count++
	return a.client.Reserve(ctx, reservation(fmt.Sprint("attempt-", a.count)))
}

// reserveAt sends a reservation to one store.
func reserveAt(c *cluster, n *node, turn string, recheck bool) storewire.ReserveAnswer {
	GinkgoHelper()
	answer, err := n.store.Reserve(ctx, storewire.ReserveRequest{
		Header:  storewire.Header{Epoch: int64(c.view.Epoch), StoreID: n.store.ID()},
		Program: "p", Turn: turn, BudgetTokens: 10, MaxTokens: 6, Recheck: recheck,
	})
	Expect(err).NotTo(HaveOccurred())
	return answer
}

// settleAt sends a settlement to one store.
func settleAt(c *cluster, n *node, turn string, used int64) {
	GinkgoHelper()
	answer, err := n.store.Settle(ctx, storewire.SettleRequest{
		Header:      storewire.Header{Epoch: int64(c.view.Epoch), StoreID: n.store.ID()},
		Settlements: []storewire.Settlement{{Program: "p", TurnKey: int64(budget.TurnKeyOf(turn)), UsedTokens: used}},
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Reply.Status).To(Equal(storewire.Served))
}

var _ = Describe("budgets", func() {
	var c *cluster
	BeforeEach(func() { c = newCluster(1, "a", "b", "c") })

	It("grant turns until the open and used tokens reach the budget", func() {
		client := c.client("a")
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		Expect(client.Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted), "6 of 10 are open")
		Expect(client.Reserve(ctx, reservation("3"))).To(Equal(storeclient.Undecided), "12 of 10 are open")
		client.Settle("p", "1", 2)
		client.Settle("p", "2", 3)
		a := attempts{client: client}
		Eventually(a.next, eventuallyTimeout).Should(Equal(storeclient.Granted), "5 of 10 are used")
		client.Settle("p", fmt.Sprint("attempt-", a.count), 5)
		Eventually(a.next, eventuallyTimeout).Should(Equal(storeclient.Exhausted))
	})

	It("count the reservations of a proxy that died", func() {
		Expect(c.client("a").Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		Expect(c.client("a").Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted))
		Expect(c.client("b").Reserve(ctx, reservation("3"))).To(Equal(storeclient.Undecided))
	})

	It("are decided by two of three stores, not by one alone", func() {
		c.nodes[1].down.Store(true)
		Expect(c.client("a").Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		c.nodes[2].down.Store(true)
		Expect(c.client("a").Reserve(ctx, reservation("2"))).To(Equal(storeclient.Undecided))
	})

	It("never grant a turn that was settled or withdrawn before", func() {
		client := c.client("a")
		for _, n := range c.nodes {
			settleAt(c, n, "1", 0)
		}
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Undecided))
		answer := reserveAt(c, c.nodes[0], "1", false)
		Expect(answer.Stored).To(BeFalse())
		Expect(answer.TurnClosed).To(BeTrue())
	})

	It("keep no open reservation of a refused turn", func() {
		client := c.client("a")
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		Expect(client.Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted))
		Expect(client.Reserve(ctx, reservation("3"))).To(Equal(storeclient.Undecided))
		for _, n := range c.nodes {
			Eventually(func() bool { return reserveAt(c, n, "3", true).TurnClosed }, eventuallyTimeout).Should(BeTrue())
		}
	})

	It("send settlements to a store once it is reachable again", func() {
		client := c.client("a")
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		c.nodes[2].down.Store(true)
		client.Settle("p", "1", 4)
		Eventually(func() bool { return reserveAt(c, c.nodes[0], "1", true).TurnClosed }, eventuallyTimeout).Should(BeTrue())
		c.nodes[2].down.Store(false)
		Eventually(func() bool { return reserveAt(c, c.nodes[2], "1", true).TurnClosed }, eventuallyTimeout).Should(BeTrue())
	})

	It("survive a restart of all stores", func() {
		client := c.client("a")
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		Expect(client.Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted))
		for _, n := range c.nodes {
			n.restart(memfs.ProcessCrash, nil)
		}
		Expect(client.Reserve(ctx, reservation("3"))).To(Equal(storeclient.Undecided))
	})

	It("are exact if the stores' entry lists are long and differ", func() {
		const settledCount = 100
		for i := range settledCount {
			for _, n := range c.nodes {
				settleAt(c, n, fmt.Sprint("old", i), 1)
			}
		}
		for i := range 2 {
			settleAt(c, c.nodes[i], "x", 1)
			settleAt(c, c.nodes[i+1], "y", 1)
		}
		client := c.client("a")
		reserveOne := func(turn string, tokens int64) storeclient.Verdict {
			return client.Reserve(ctx, storeclient.Reservation{Program: "p", Turn: turn, BudgetTokens: tokens, MaxTokens: 1})
		}
		Expect(reserveOne("spent", settledCount+2)).To(Equal(storeclient.Exhausted))
		attempt := 0
		Eventually(func() storeclient.Verdict {
			attempt++
			return reserveOne(fmt.Sprint("one left", attempt), settledCount+3)
		}, eventuallyTimeout).Should(Equal(storeclient.Granted), "once the reservations refused before are withdrawn")
	})

	It("are removed long after the last activity of a program", func() {
		client := c.client("a")
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		c.advanceClock(100 * time.Second)
		c.repairRounds(2)
		Expect(c.nodes[0].store.ProgramCount()).To(Equal(1))
		c.advanceClock(21 * time.Second)
		c.repairRounds(2)
		for _, n := range c.nodes {
			Expect(n.store.ProgramCount()).To(BeZero())
		}
	})

	It("are not exceeded if many turns race through several proxies", func() {
		const budgetTokens, maxTokens, racers = 40, 7, 12
		granted := make(chan string, racers)
		var racing sync.WaitGroup
		for i := range racers {
			client := c.client(c.nodes[i%3].zone)
			racing.Add(1)
			go func() {
				defer racing.Done()
				turn := fmt.Sprint("racer-", i)
				r := storeclient.Reservation{Program: "race", Turn: turn, BudgetTokens: budgetTokens, MaxTokens: maxTokens}
				if client.Reserve(ctx, r) == storeclient.Granted {
					granted <- turn
				}
			}()
		}
		racing.Wait()
		Expect(len(granted) * maxTokens).To(BeNumerically("<", budgetTokens+maxTokens))
	})
})

var _ = Describe("a fence", func() {
	It("rejects a request of an older view and returns the newer view", func() {
		c := newCluster(1, "a", "b", "c")
		client := c.client("a")
		old := storewire.Header{Epoch: int64(c.view.Epoch), StoreID: c.nodes[0].store.ID()}
		c.nodes[2].wipe()
		c.publishView()
		answer, err := c.nodes[0].store.Reserve(ctx, storewire.ReserveRequest{Header: old, Program: "p", Turn: "1", BudgetTokens: 10, MaxTokens: 6})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Reply.Status).To(Equal(storewire.StaleView))
		Expect(answer.Reply.View.Epoch).To(Equal(int64(c.view.Epoch)))
		Expect(answer.Stored).To(BeFalse())
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted), "the client adopts the newer view")
	})

	It("survives a loss of power", func() {
		c := newCluster(1, "a", "b", "c")
		n := c.nodes[0]
		newer := storewire.Header{Epoch: int64(c.view.Epoch) + 5, StoreID: n.store.ID()}
		_, err := n.store.History(ctx, storewire.HistoryRequest{Header: newer, Turn: "x"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(n.newerEpoch.Load, eventuallyTimeout).Should(Equal(uint64(newer.Epoch)), "OnNewerView is called")
		n.restart(memfs.PowerLoss, rand.New(rand.NewPCG(3, 1)))
		older := storewire.Header{Epoch: newer.Epoch - 1, StoreID: n.store.ID()}
		answer, err := n.store.Commit(ctx, storewire.CommitRequest{Header: older, Turn: storewire.Turn{ID: "x", Root: "x"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Reply.Status).To(Equal(storewire.StaleView))
		same, err := n.store.Commit(ctx, storewire.CommitRequest{Header: newer, Turn: storewire.Turn{ID: "x", Root: "x"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(same.Reply.Status).To(Equal(storewire.Served))
	})

	It("rejects a request addressed to another disk", func() {
		c := newCluster(1, "a", "b", "c")
		old := storewire.Header{Epoch: int64(c.view.Epoch), StoreID: c.nodes[0].store.ID()}
		c.nodes[0].wipe()
		answer, err := c.nodes[0].store.History(ctx, storewire.HistoryRequest{Header: old, Turn: "x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Reply.Status).To(Equal(storewire.WrongStore))
	})
})

var _ = Describe("a disk that was used before", func() {
	It("keeps its id, while an empty one draws another", func() {
		disk := memfs.New()
		options := store.Options{Files: disk, Dir: "data", DiskBytes: 1, Bootstrap: true, RepairInterval: -1}
		first, err := store.Start(options)
		Expect(err).NotTo(HaveOccurred())
		id := first.ID()
		Expect(first.Complete()).To(BeTrue())
		Expect(first.Close()).To(Succeed())
		options.Files = disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(3, 1)))
		options.Bootstrap = false
		again, err := store.Start(options)
		Expect(err).NotTo(HaveOccurred())
		defer again.Close()
		Expect(again.ID()).To(Equal(id))
		Expect(again.Complete()).To(BeTrue())
		options.Files = memfs.New()
		other, err := store.Start(options)
		Expect(err).NotTo(HaveOccurred())
		defer other.Close()
		Expect(other.ID()).NotTo(Equal(id))
		Expect(other.Complete()).To(BeFalse())
	})

	It("ignores an older view", func() {
		c := newCluster(1, "a", "b", "c")
		old := c.view
		c.retire("store-2")
		c.publishView()
		c.nodes[0].store.SetView(old)
		c.nodes[0].store.SetView(controlstate.StoreView{})
		answer, err := c.nodes[0].store.History(ctx, storewire.HistoryRequest{
			Header: storewire.Header{Epoch: 1, StoreID: c.nodes[0].store.ID()}, Turn: "x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Reply.View.Epoch).To(Equal(int64(c.view.Epoch)))
	})
})
