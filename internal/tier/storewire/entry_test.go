package storewire_test

import (
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a store view", func() {
	It("is decoded from its entry unchanged, and the entry is stamped with its epoch", func() {
		view := controlstate.StoreView{Epoch: 7, Tolerance: 1, Members: []controlstate.StoreMember{
			{ID: "s1", Node: "store-a-1", Zone: "a", Address: "10.1.0.1:7382", Retiring: true}, {ID: "s2", Node: "store-b-1", Zone: "b", Address: "10.2.0.1:7382", Replaced: true},
		}}
		entry, err := storewire.EncodeViewEntry(view)
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Stamp.Epoch).To(BeEquivalentTo(7))
		Expect(storewire.DecodeViewEntry(entry)).To(Equal(view))
	})
})
