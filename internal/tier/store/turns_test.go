package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/store"
	"emberquay/internal/tier/storeclient"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs/memfs"
)

var ctx = context.Background()

var _ = Describe("turns", func() {
	var c *cluster
	BeforeEach(func() { c = newCluster(1, "a", "b", "c") })

	It("are read whole by any client", func() {
		ids := commitChain(c.client("a"), "talk", 5)
		c.expectFound(ids)
		c.expectFound(ids[:3])
	})

	It("are on one more store than may be lost, one of them in the client's zone", func() {
		commitChain(c.client("b"), "talk", 4)
		Expect(c.nodes[1].store.TurnCount()).To(Equal(4))
		Expect(c.nodes[0].store.TurnCount() + c.nodes[2].store.TurnCount()).To(Equal(4))
	})

	It("may be continued by several turns", func() {
		client := c.client("a")
		ids := commitChain(client, "talk", 3)
		for _, fork := range []string{"x", "y"} {
			Expect(client.Commit(ctx, turnOf(fork, ids[0], ids[2]))).To(Succeed())
		}
		c.expectFound(append(append([]string(nil), ids...), "x"))
		c.expectFound(append(append([]string(nil), ids...), "y"))
	})

	It("are read from the cache by the client that committed them", func() {
		client := c.client("a")
		ids := commitChain(client, "talk", 3)
		before := c.callCount("history")
		history, verdict := client.History(ctx, ids[2])
		Expect(verdict).To(Equal(storeclient.Found))
		Expect(string(history.Body)).To(Equal(bodyOf(ids)))
		Expect(c.callCount("history")).To(Equal(before))
	})

	It("are read from the store in the client's zone if it has them", func() {
		ids := commitChain(c.client("a"), "talk", 3)
		before := c.callCount("history")
		c.expectFound(ids)
		Expect(c.callCount("history") - before).To(Equal(1))
	})

	It("may be committed again", func() {
		client := c.client("a")
		ids := commitChain(client, "talk", 1)
		Expect(client.Commit(ctx, turnOf(ids[0], "", ""))).To(Succeed())
		Expect(c.nodes[0].store.TurnCount()).To(Equal(1))
	})

	It("are merged from stores that hold parts of the conversation", func() {
		client := c.client("a")
		var ids []string
		previous := ""
		for i := range 9 {
			down := c.nodes[i%3]
			down.down.Store(true)
			id := fmt.Sprint("spread-", i)
			Expect(client.Commit(ctx, turnOf(id, "spread-0", previous))).To(Succeed())
			down.down.Store(false)
			ids = append(ids, id)
			previous = id
		}
		for _, n := range c.nodes {
			Expect(n.store.TurnCount()).To(BeNumerically("<", 9))
		}
		c.expectFound(ids)
	})

	It("are not acknowledged while too few stores answer", func() {
		c.nodes[1].down.Store(true)
		c.nodes[2].down.Store(true)
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(c.client("a").Commit(short, turnOf("x", "", ""))).NotTo(Succeed())
	})

	It("go to the next store in order if one fails", func() {
		client := c.client("a")
		c.setFault(func(method, address string) error {
			if method == "commit" && address == c.nodes[0].address {
				return context.DeadlineExceeded
			}
			return nil
		})
		ids := commitChain(client, "talk", 1)
		Expect(c.nodes[1].store.TurnCount() + c.nodes[2].store.TurnCount()).To(Equal(2))
		c.setFault(nil)
		c.expectFound(ids)
	})

	It("are rejected if their root is unknown", func() {
		Expect(c.client("a").Commit(ctx, turnOf("x", "", "unheard"))).To(MatchError(storeclient.ErrUnknownRoot))
	})
})

var _ = DescribeTable("a turn that is looked up",
	func(prepare func(*cluster), known bool, want storeclient.Verdict) {
		c := newCluster(1, "a", "b", "c")
		id := "unheard"
		if known {
			id = commitChain(c.client("a"), "talk", 2)[1]
		}
		prepare(c)
		Expect(c.lookUp(id)).To(Equal(want))
	},
	Entry("unknown to all", func(*cluster) {}, false, storeclient.Missing),
	Entry("unknown to all that are up, one is down", down(1), false, storeclient.Missing),
	Entry("unknown to the only one that is up", down(1, 2), false, storeclient.Unavailable),
	Entry("unknown, one is incomplete", lostDisk(1), false, storeclient.Missing),
	Entry("unknown, one is incomplete and one down", func(c *cluster) { lostDisk(1)(c); down(2)(c) }, false, storeclient.Unavailable),
	Entry("unknown, none is up", down(0, 1, 2), false, storeclient.Unavailable),
	Entry("known", func(*cluster) {}, true, storeclient.Found),
	Entry("known, the client's own store is down", down(0), true, storeclient.Found),
	Entry("known, the client's own store lost its disk", lostDisk(0), true, storeclient.Found),
	Entry("known, only one that may not hold it is up", func(c *cluster) {
		for i, n := range c.nodes {
			if n.store.TurnCount() > 0 {
				down(i)(c)
			}
		}
	}, true, storeclient.Unavailable),
)

// down returns a function that takes stores down.
func down(nodes ...int) func(*cluster) {
	return func(c *cluster) {
		for _, i := range nodes {
			c.nodes[i].down.Store(true)
		}
	}
}

// lostDisk returns a function that empties the disk of a store, which does not catch up.
func lostDisk(i int) func(*cluster) {
	return func(c *cluster) {
		c.nodes[i].wipe()
		c.publishView()
	}
}

var _ = Describe("a turn whose predecessor is missing", func() {
	It("is unsure, never missing", func() {
		c := newCluster(1, "a", "b", "c")
		Expect(c.client("a").Commit(ctx, turnOf("late", "talk-0", "gone"))).To(Succeed())
		Expect(c.lookUp("late")).To(Equal(storeclient.Unavailable))
		Expect(c.lookUp("gone")).To(Equal(storeclient.Missing))
	})
})

var _ = Describe("acknowledged data", func() {
	It("survives a restart of all stores", func() {
		c := newCluster(1, "a", "b", "c")
		ids := commitChain(c.client("a"), "talk", 5)
		for _, n := range c.nodes {
			id := n.store.ID()
			n.restart(memfs.ProcessCrash, nil)
			Expect(n.store.ID()).To(Equal(id))
			Expect(n.store.Complete()).To(BeTrue())
		}
		c.expectFound(ids)
	})

	It("survives a loss of power", func() {
		for seed := range uint64(12) {
			rng := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(1, "a", "b", "c")
			client := c.client("a")
			var all [][]string
			for round := range 4 {
				all = append(all, commitChain(client, fmt.Sprint("talk", round), 3))
				Expect(client.Reserve(ctx, storeclient.Reservation{Program: "p", Turn: fmt.Sprint("t", round), BudgetTokens: 100, MaxTokens: 30})).
					To(Equal(storeclient.Granted))
				for _, n := range c.nodes {
					n.restart(memfs.PowerLoss, rng)
				}
			}
			for _, ids := range all {
				c.expectFound(ids)
			}
			verdict := client.Reserve(ctx, storeclient.Reservation{Program: "p", Turn: "last", BudgetTokens: 100, MaxTokens: 30})
			Expect(verdict).To(Equal(storeclient.Undecided), "four reservations of 30 are open")
		}
	})

	It("is readable after its record was moved to a newer segment", func() {
		c := newCluster(0, "a")
		client := c.client("a")
		keep := turnOf("keep", "", "")
		keep.Retention = time.Hour
		Expect(client.Commit(ctx, keep)).To(Succeed())
		big := strings.Repeat("x", 100<<10)
		for i := range 400 {
			t := turnOf(fmt.Sprint("big", i), "", "")
			t.Input = []byte(big)
			Expect(client.Commit(ctx, t)).To(Succeed())
			c.advanceClock(time.Second)
			c.nodes[0].store.RepairRound(0)
		}
		Expect(c.nodes[0].disk.UsedBytes()).To(BeNumerically("<=", 16<<20))
		c.expectFound([]string{"keep"})
		c.nodes[0].restart(memfs.PowerLoss, rand.New(rand.NewPCG(1, 1)))
		c.expectFound([]string{"keep"})
		Expect(c.lookUp("big399")).To(Equal(storeclient.Found))
	})
})

var _ = Describe("a full disk", func() {
	It("refuses turns, which go to other stores, and still accepts reservations", func() {
		c := newCluster(1, "a", "b", "c")
		small := c.nodes[0]
		for _, n := range c.nodes[1:] {
			n.diskBytes = 64 << 20
			n.wipe()
		}
		c.publishView()
		c.repairRounds(2)
		client := c.client("a")
		var ids []string
		for i := range 300 {
			t := turnOf(fmt.Sprint("big", i), "", "")
			t.Input = []byte(strings.Repeat("x", 100<<10))
			Expect(client.Commit(ctx, t)).To(Succeed())
			ids = append(ids, t.ID)
		}
		Expect(small.store.TurnCount()).To(BeNumerically("<", 150))
		Expect(c.nodes[1].store.TurnCount() + c.nodes[2].store.TurnCount()).To(BeNumerically(">", 450))
		answer, err := small.store.Reserve(ctx, storewire.ReserveRequest{
			Header: storewire.Header{Epoch: int64(c.view.Epoch), StoreID: small.store.ID()}, Program: "q", Turn: "t", BudgetTokens: 5, MaxTokens: 5})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Stored).To(BeTrue())
		Expect(c.lookUp(ids[299])).To(Equal(storeclient.Found))
	})
})

var _ = Describe("a disk that stalls", func() {
	It("does not block reads, and makes the store refuse writes", func() {
		c := newCluster(1, "a", "b", "c")
		client := c.client("a")
		ids := commitChain(client, "talk", 2)
		n := c.nodes[0]
		entered := make(chan struct{}, 1)
		release := make(chan struct{})
		n.disk.Hook = func(call memfs.Call) memfs.Fault {
			if call.Op == "sync" {
				select {
				case entered <- struct{}{}:
				default:
				}
				<-release
			}
			return memfs.Fault{}
		}
		header := storewire.Header{Epoch: int64(c.view.Epoch), StoreID: n.store.ID()}
		stalled := make(chan storewire.Acknowledgement, 1)
		go func() {
			answer, _ := n.store.Commit(ctx, storewire.CommitRequest{Header: header, Turn: storewire.Turn{ID: "x", Root: "x"}})
			stalled <- answer
		}()
		<-entered
		answer, err := n.store.History(ctx, storewire.HistoryRequest{Header: header, Turn: ids[1]})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Known).To(BeTrue())
		Expect(reserveAt(c, n, "t", true).Reply.Status).To(Equal(storewire.Served)) // a recheck needs no sync
		settleAt(c, n, "t", 1)
		c.advanceClock(time.Second)
		refused, err := n.store.Commit(ctx, storewire.CommitRequest{Header: header, Turn: storewire.Turn{ID: "y", Root: "y"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Reply.Status).To(Equal(storewire.Busy))
		Expect(client.Commit(ctx, turnOf("next", ids[0], ids[1]))).To(Succeed())
		close(release)
		Expect((<-stalled).Reply.Status).To(Equal(storewire.Served))
	})
})

var _ = Describe("retention", func() {
	It("keeps a turn slightly longer than its retention, and a chain as long as its last turn", func() {
		c := newCluster(1, "a", "b", "c")
		client := c.client("a")
		ids := commitChain(client, "talk", 2)
		other := commitChain(client, "other", 1)
		c.advanceClock(65 * time.Second)
		c.repairRounds(2)
		c.expectFound(other)
		Expect(client.Commit(ctx, turnOf("talk-2", ids[0], ids[1]))).To(Succeed())
		c.advanceClock(64 * time.Second)
		c.repairRounds(2)
		c.expectFound([]string{"talk-0", "talk-1", "talk-2"})
		Expect(c.lookUp(other[0])).To(Equal(storeclient.Missing))
		c.advanceClock(64 * time.Second)
		c.repairRounds(2)
		Expect(c.lookUp("talk-2")).To(Equal(storeclient.Missing))
		for _, n := range c.nodes {
			Expect(n.store.TurnCount()).To(BeZero())
		}
	})

	It("starts over after a restart, and does not restore turns that expired on other stores", func() {
		c := newCluster(1, "a", "b", "c")
		commitChain(c.client("a"), "talk", 2)
		c.advanceClock(60 * time.Second)
		c.nodes[0].restart(memfs.ProcessCrash, nil)
		c.advanceClock(60 * time.Second)
		c.repairRounds(4)
		Expect(c.nodes[0].store.TurnCount()).To(Equal(2))
		Expect(c.nodes[1].store.TurnCount() + c.nodes[2].store.TurnCount()).To(BeZero())
	})
})

var _ = Describe("stores over the network", func() {
	It("store turns and budgets", func() {
		calls := transport.NewClient()
		defer calls.Close()
		view := controlstate.StoreView{Epoch: 1, Tolerance: 1}
		var stores []*store.Store
		for i := range 3 {
			s, err := store.Start(store.Options{Files: memfs.New(), Dir: "data", Bootstrap: true, Caller: storewire.NewCaller(calls)})
			Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			mux := transport.NewMux()
			storewire.Register(mux, s)
			server, err := transport.Listen("127.0.0.1:0", mux)
			Expect(err).NotTo(HaveOccurred())
			defer server.Close()
			name := fmt.Sprint("store-", i)
			view.Members = append(view.Members, controlstate.StoreMember{ID: s.ID(), Node: name, Zone: name, Address: server.Address()})
			stores = append(stores, s)
		}
		for _, s := range stores {
			s.SetView(view)
		}
		client := storeclient.New(storeclient.Options{Caller: storewire.NewCaller(calls), Zone: "store-0"})
		defer client.Close()
		client.SetView(view)
		ids := commitChain(client, "talk", 3)
		Expect(client.Reserve(ctx, storeclient.Reservation{Program: "p", Turn: "t", BudgetTokens: 5, MaxTokens: 5})).To(Equal(storeclient.Granted))
		other := storeclient.New(storeclient.Options{Caller: storewire.NewCaller(calls), Zone: "store-1"})
		defer other.Close()
		other.SetView(view)
		history, verdict := other.History(ctx, ids[2])
		Expect(verdict).To(Equal(storeclient.Found))
		Expect(string(history.Body)).To(Equal(bodyOf(ids)))
		_, verdict = other.History(ctx, "unheard")
		Expect(verdict).To(Equal(storeclient.Missing))
		Expect(other.Reserve(ctx, storeclient.Reservation{Program: "p", Turn: "u", BudgetTokens: 5, MaxTokens: 5})).To(Equal(storeclient.Undecided))
		client.Settle("p", "t", 5)
		tries := 0
		Eventually(func() storeclient.Verdict {
			tries++
			return other.Reserve(ctx, storeclient.Reservation{Program: "p", Turn: fmt.Sprint("v", tries), BudgetTokens: 5, MaxTokens: 5})
		}, eventuallyTimeout).Should(Equal(storeclient.Exhausted))
	})
})
