package storewire_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/storewire"
)

func TestStorewire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storewire")
}

var _ = Describe("the record of a turn", func() {
	turn := storewire.Turn{ID: "b", Root: "a", HomeZone: "z", Previous: "a", Program: "p", Tokens: 3, RetentionMillis: 60000,
		Input: []byte("in"), Output: []byte("out\n")}

	It("is decoded unchanged", func() {
		data, err := storewire.EncodeTurn(turn)
		Expect(err).NotTo(HaveOccurred())
		Expect(storewire.DecodeTurn(data)).To(Equal(turn))
	})

	It("has a head that can be decoded separately", func() {
		data, err := storewire.EncodeTurn(turn)
		Expect(err).NotTo(HaveOccurred())
		Expect(storewire.DecodeTurnHead(data)).To(Equal(storewire.TurnHead{ID: "b", Root: "a", HomeZone: "z", Previous: "a",
			Program: "p", Tokens: 3, RetentionMillis: 60000}))
	})
})

var _ = DescribeTable("copies and quorums of a view",
	func(members, retiring, tolerance, copies, notFoundQuorum, quorum, catchUpQuorum int) {
		view := storewire.View{Tolerance: tolerance}
		for i := range members {
			view.Members = append(view.Members, storewire.Member{Retiring: i < retiring})
		}
		Expect(view.Copies()).To(Equal(copies))
		Expect(view.NotFoundQuorum()).To(Equal(notFoundQuorum))
		Expect(view.Quorum()).To(Equal(quorum))
		Expect(view.CatchUpQuorum()).To(Equal(catchUpQuorum))
	},
	Entry("three, one may be lost", 3, 0, 1, 2, 2, 2, 2),
	Entry("four, one may be lost", 4, 0, 1, 2, 3, 3, 3),
	Entry("four, one of them retiring", 4, 1, 1, 2, 3, 2, 3),
	Entry("five, two may be lost", 5, 0, 2, 3, 3, 3, 3),
	Entry("two, one may be lost", 2, 0, 1, 2, 1, 2, 1),
	Entry("three, none may be lost", 3, 0, 0, 1, 3, 3, 2),
	Entry("six, two may be lost", 6, 0, 2, 3, 4, 4, 4),
)

var _ = Describe("packed lists", func() {
	It("are decoded unchanged", func() {
		data := storewire.AppendListedTurn(nil, storewire.ListedTurn{Key: 7, PlacedAtSender: true})
		data = storewire.AppendListedTurn(data, storewire.ListedTurn{Key: 1 << 63})
		Expect(storewire.DecodeListedTurns(data)).To(Equal([]storewire.ListedTurn{{Key: 7, PlacedAtSender: true}, {Key: 1 << 63}}))
		Expect(storewire.DecodeKeys(storewire.AppendKey(nil, 9))).To(Equal([]uint64{9}))
	})

	It("are rejected when truncated", func() {
		_, err := storewire.DecodeListedTurns([]byte{1, 2, 3})
		Expect(err).To(MatchError(storewire.ErrMalformedList))
		_, err = storewire.DecodeKeys([]byte{1, 2, 3})
		Expect(err).To(MatchError(storewire.ErrMalformedList))
	})
})
