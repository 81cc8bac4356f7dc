package core_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/gossip"
	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/core"
	"emberquay/internal/tier/cluster/records"
)

// retiredEntryCount exceeds the limit of the kind of all other keys.
const retiredEntryCount = 5000

var _ = Describe("entries of a retired kind, which earlier versions publish", func() {
	It("are not kept or forwarded, and leave room for the configuration", func() {
		self := membership.Node{Name: "a", Role: membership.Proxy, Zone: "z", Address: "10.0.0.1:1", Incarnation: 1}
		c, err := core.New(testStart, core.Options{Self: self, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		c.Take()
		for i := range retiredEntryCount {
			key := fmt.Sprintf("report/i-%d", i)
			stamp := gossip.Stamp{Epoch: 1, Sequence: 1, Origin: "b/0"}
			c.ReceiveEntry(testStart, "b/0", gossip.Entry{Key: key, Value: []byte("x"), Stamp: stamp}, true)
			Expect(c.Has(key, stamp)).To(BeFalse())
		}
		Expect(c.Take().Changed).To(BeEmpty())

		body, err := records.ConfigurationCodec.Encode(records.ConfigurationRecord{Version: 1, Body: []byte("{}")})
		Expect(err).NotTo(HaveOccurred())
		stamp := gossip.Stamp{Epoch: 1, Sequence: 1, Origin: "b/0"}
		c.ReceiveEntry(testStart, "b/0", gossip.Entry{Key: core.ConfigurationKey, Value: body, Stamp: stamp}, true)
		Expect(c.Has(core.ConfigurationKey, stamp)).To(BeTrue())
	})
})
