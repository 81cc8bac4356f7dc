package store_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs/memfs"
)

// Guards against a store that takes nothing any more, not even a view, because a restart finds its ring full: segments that
// were reclaimed are in use again then, as in the replica's journal (review/6).
var _ = DescribeTable("a store whose ring is full, and that is restarted at any time, takes records again once the old ones expire",
	func(seed uint64) {
		c := newCluster(0, "a")
		n, random := c.nodes[0], rand.New(rand.NewPCG(seed, 8))
		header := func() storewire.Header { return storewire.Header{Epoch: int64(c.view.Epoch), StoreID: n.store.ID()} }
		sequence := 0
		commit := func(bytes int) storewire.Status {
			sequence++
			id := fmt.Sprint("turn-", sequence)
			turn := storewire.Turn{ID: id, Root: id, RetentionMillis: 20_000, Input: []byte(strings.Repeat("x", bytes))}
			answer, err := n.store.Commit(ctx, storewire.CommitRequest{Header: header(), Turn: turn})
			Expect(err).NotTo(HaveOccurred())
			return answer.Reply.Status
		}
		reserve := func() storewire.Status {
			sequence++
			answer, err := n.store.Reserve(ctx, storewire.ReserveRequest{Header: header(), Program: fmt.Sprint("program-", random.IntN(40)),
				Turn: fmt.Sprint("turn-", sequence), BudgetTokens: 1 << 40, MaxTokens: 5})
			Expect(err).NotTo(HaveOccurred())
			return answer.Reply.Status
		}
		for round := range 5 {
			for commit(20<<10+random.IntN(400<<10)) == storewire.Served {
				if random.IntN(3) == 0 {
					reserve()
				}
			}
			for range random.IntN(2000) { // the segment that is being written fills up with other records
				reserve()
			}
			mode := memfs.ProcessCrash
			if random.IntN(2) == 0 {
				mode = memfs.PowerLoss
			}
			for range 1 + random.IntN(3) {
				n.restart(mode, random)
				c.view.Epoch++
				n.store.SetView(c.view)
				Expect(commit(0)).NotTo(Equal(storewire.StaleView), "the store knows the view")
			}
			status, err := n.store.Status(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Epoch).To(BeEquivalentTo(c.view.Epoch), "the view of round %d is stored", round)
			c.advanceClock(time.Minute)
			for i := range 3 {
				n.store.RepairRound(i)
			}
			Expect(commit(1<<10)).To(Equal(storewire.Served), "round %d", round)
		}
	},
	Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)),
)
