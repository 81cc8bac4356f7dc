package controlplane

import (
	"testing"
	"time"

	"emberquay/internal/tier/controlstate"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControlPlane(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control plane")
}

func newView(tolerance int, nodes ...string) controlstate.StoreView {
	view := controlstate.StoreView{Epoch: 1, Tolerance: tolerance}
	for _, node := range nodes {
		view.Members = append(view.Members, controlstate.StoreMember{ID: "disk-" + node, Node: node})
	}
	return view
}

func downOnly(dead string) func(string) bool { return func(node string) bool { return node == dead } }

var _ = Describe("a store that is down", func() {
	DescribeTable("is removed only if the others keep a majority after the tolerated losses",
		func(view controlstate.StoreView, leaves bool) {
			detector := &deadStoreDetector{}
			_, found := detector.find(0, view, downOnly("d"))
			Expect(found).To(BeFalse())
			_, found = detector.find(deadStoreTimeout-time.Millisecond, view, downOnly("d"))
			Expect(found).To(BeFalse())
			member, found := detector.find(deadStoreTimeout, view, downOnly("d"))
			Expect(found).To(Equal(leaves))
			if leaves {
				Expect(member.Node).To(Equal("d"))
			}
		},
		Entry("five, one may be lost", newView(1, "a", "b", "c", "d", "e"), true),
		Entry("four, one may be lost", newView(1, "a", "b", "c", "d"), true),
		Entry("three, one may be lost", newView(1, "a", "b", "d"), false),
		Entry("five, two may be lost", newView(2, "a", "b", "c", "d", "e"), false),
		Entry("six, two may be lost", newView(2, "a", "b", "c", "d", "e", "f"), true),
	)

	It("starts its timeout anew after it came back", func() {
		detector, view := &deadStoreDetector{}, newView(1, "a", "b", "c", "d")
		detector.find(0, view, downOnly("d"))
		detector.find(time.Second, view, downOnly("none"))
		detector.find(deadStoreTimeout, view, downOnly("d"))
		_, found := detector.find(deadStoreTimeout+time.Second, view, downOnly("d"))
		Expect(found).To(BeFalse())
	})

	It("is not removed while it is retiring: its data may not be on any other store", func() {
		detector, view := &deadStoreDetector{}, newView(1, "a", "b", "c", "d", "e")
		view.Members[3].Retiring = true
		detector.find(0, view, downOnly("d"))
		_, found := detector.find(time.Minute, view, downOnly("d"))
		Expect(found).To(BeFalse())
	})
})
