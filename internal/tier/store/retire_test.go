package store_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/storeclient"
)

var _ = Describe("a store that retires", func() {
	var c *cluster
	BeforeEach(func() { c = newCluster(1, "a", "b", "c", "d") })

	// retireFirst retires the first store.
	retireFirst := func() *node {
		n := c.nodes[0]
		c.retire(n.name)
		c.publishView()
		return n
	}

	It("copies all its data to others before it reports its retirement", func() {
		client := c.client("a")
		ids := commitChain(client, "talk", 10)
		Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		n := retireFirst()
		Expect(n.store.RepairRound(0)).To(BeFalse())
		Expect(n.retiredCalls.Load()).To(Equal(int32(1)))
		c.remove(n.name)
		n.down.Store(true)
		c.publishView()
		for _, other := range c.nodes[1:] {
			other.wipe()
			c.publishView()
			Expect(other.store.RepairRound(0)).To(BeFalse())
			history, verdict := c.client("b").History(ctx, ids[9])
			Expect(verdict).To(Equal(storeclient.Found))
			Expect(string(history.Body)).To(Equal(bodyOf(ids)))
			Expect(reserveAt(c, other, "other", true).Entries).NotTo(BeEmpty())
		}
	})

	DescribeTable("does not report its retirement while its data is not on other stores",
		func(prepare func(method, address string) error) {
			client := c.client("a")
			commitChain(client, "talk", 10)
			Expect(client.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
			n := retireFirst()
			c.setFault(prepare)
			Expect(n.store.RepairRound(0)).To(BeTrue())
			Expect(n.retiredCalls.Load()).To(BeZero())
			c.setFault(nil)
			Expect(n.store.RepairRound(1)).To(BeFalse())
			Expect(n.retiredCalls.Load()).To(Equal(int32(1)))
		},
		Entry("a store is unreachable", func(method, address string) error {
			if address == "store-2:1" {
				return errUnreachable
			}
			return nil
		}),
		Entry("no push succeeds", func(method, _ string) error {
			if method == "push" {
				return errUnreachable
			}
			return nil
		}),
		Entry("no offer succeeds", func(method, _ string) error {
			if method == "offer" {
				return errUnreachable
			}
			return nil
		}),
	)

	It("does not report its retirement while another store lacks a reservation", func() {
		n := c.nodes[0]
		Expect(reserveAt(c, n, "1", false).Stored).To(BeTrue())
		retireFirst()
		c.setFault(func(method, address string) error {
			if method == "push" && address == "store-3:1" {
				return errUnreachable
			}
			return nil
		})
		Expect(n.store.RepairRound(0)).To(BeTrue())
		Expect(n.retiredCalls.Load()).To(BeZero())
		c.setFault(nil)
		Expect(n.store.RepairRound(1)).To(BeFalse())
		Expect(n.retiredCalls.Load()).To(Equal(int32(1)))
		for _, other := range c.nodes[1:] {
			Expect(reserveAt(c, other, "other", true).Entries).NotTo(BeEmpty())
		}
	})

	It("accepts no new turns, and still serves reads", func() {
		ids := commitChain(c.client("a"), "talk", 3)
		n := retireFirst()
		for _, other := range c.nodes[1:] {
			if other.store.TurnCount() > 0 {
				other.down.Store(true)
			}
		}
		c.expectFound(ids)
		before := n.store.TurnCount()
		commitChain(c.client("a"), "later", 3)
		Expect(n.store.TurnCount()).To(Equal(before))
	})

	It("does not report its retirement while it is incomplete", func() {
		commitChain(c.client("a"), "talk", 3)
		n := retireFirst()
		n.wipe()
		c.retire(n.name)
		c.publishView()
		c.nodes[1].down.Store(true)
		n.store.RepairRound(0)
		Expect(n.retiredCalls.Load()).To(BeZero())
		c.nodes[1].down.Store(false)
		n.store.RepairRound(1)
		n.store.RepairRound(2)
		Expect(n.retiredCalls.Load()).To(Equal(int32(1)))
	})
})
