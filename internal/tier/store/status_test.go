package store_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/store"
)

var _ = Describe("the status of a store", func() {
	It("reports the view, completeness and contents", func() {
		c := newCluster(0, "a")
		n := c.nodes[0]
		empty, err := n.store.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(empty).To(And(HaveField("Complete", true), HaveField("Member", true), HaveField("Epoch", int64(1)),
			HaveField("Members", 1), HaveField("Turns", 0), HaveField("TurnBytes", int64(0)), HaveField("Retiring", false)))
		commitConversation(c, n)
		full, err := n.store.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(full).To(And(HaveField("Turns", 3), HaveField("Programs", 1), HaveField("Entries", 2)))
		Expect(full.TurnBytes).To(BeNumerically(">", 3*len("inout")))
		Expect(full.RingBytes).To(Equal(int64(16 << 20)))
		Expect(full.FreeBytes).To(Equal(int64(15 << 20)))
	})

	It("reports that a fresh disk is incomplete, and that a store is retiring", func() {
		c := newCluster(0, "a", "b")
		c.retire("store-1")
		c.publishView()
		retiring, err := c.nodes[1].store.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(retiring.Retiring).To(BeTrue())
		fresh := c.add("store-2", "c")
		fresh.start(false)
		status, err := fresh.store.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(And(HaveField("Complete", false), HaveField("Member", false), HaveField("Epoch", int64(0))))
	})

	It("returns an error once the context has ended or the store is closed", func() {
		n := newCluster(0, "a").nodes[0]
		ended, end := context.WithCancel(ctx)
		end()
		Expect(n.store.Close()).To(Succeed())
		_, err := n.store.Status(ended)
		Expect(err).To(HaveOccurred())
		_, err = n.store.Status(ctx)
		Expect(err).To(MatchError(store.ErrClosed))
	})
})
