package replica

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/chain"
	"emberquay/coordination/view"
)

func sampleBallot() view.Ballot { return view.Ballot{Round: 3, Proposer: 1 << 62} }

func sampleView() view.View {
	return view.View{Epoch: 4, Initial: 3, Members: []view.Member{{ID: 1, Name: "n", Address: "a", Zone: "z"}}, Chain: []view.MemberID{1}}
}

func sampleState() chain.State {
	return chain.State{Epoch: 3, Sequence: 9, Full: true, Snapshot: []byte("state"),
		Recent: []chain.Outcome{{ID: chain.CommandID{Process: -5, Number: 2}, Sequence: 9, Result: []byte("r")}}}
}

var _ = Describe("encoding for the wire and the disk", func() {
	proposal := chain.Proposal{View: sampleView(), State: sampleState()}
	entry := chain.Entry{Sequence: 2, ID: chain.CommandID{Process: 7, Number: 8}, Command: []byte("c")}

	DescribeTable("round-trips a message", func(m chain.Message) {
		e := chain.Envelope{From: chain.Peer{ID: 1, Address: "a"}, To: chain.Peer{ID: 2, Address: "b"}, Body: m}
		w, err := encodeEnvelope(e)
		Expect(err).NotTo(HaveOccurred())
		b, err := envelopeCodec.Encode(w)
		Expect(err).NotTo(HaveOccurred())
		w, err = envelopeCodec.Decode(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.decode()).To(Equal(e))
	},
		Entry("Heartbeat", chain.Heartbeat{Epoch: 1, Committed: 2, Heard: []view.MemberID{3, 1 << 62}}),
		Entry("Hint", chain.ViewNotice{View: sampleView(), Committed: 4}),
		Entry("Ask", chain.ViewRequest{Epoch: 3}),
		Entry("Adopt", chain.InstallView{View: sampleView(), State: sampleState(), Committed: 9}),
		Entry("Join", chain.JoinRequest{Member: view.Member{ID: 9, Address: "x"}, Heard: []view.MemberID{1}}),
		Entry("Prepare", chain.Prepare{Epoch: 1, Ballot: sampleBallot(), Sequence: 8}),
		Entry("Promise", chain.Promise{Epoch: 1, Ballot: sampleBallot(), Accepted: sampleBallot(), Value: proposal, Sequence: 9, State: sampleState()}),
		Entry("Outbid", chain.BallotRejected{Epoch: 1, Ballot: sampleBallot(), Promised: sampleBallot()}),
		Entry("Accept", chain.Accept{Epoch: 1, Ballot: sampleBallot(), Value: proposal}),
		Entry("Accepted", chain.Accepted{Epoch: 1, Ballot: sampleBallot()}),
		Entry("Append", chain.Append{Epoch: 1, Entry: entry, Committed: 1}),
		Entry("Ack", chain.Ack{Epoch: 1, Sequence: 2}),
		Entry("Confirm", chain.ConfirmEpoch{Epoch: 1, Nonce: 1 << 61}),
		Entry("Confirmed", chain.EpochConfirmed{Epoch: 1, Nonce: 1 << 61}),
		Entry("Propose", chain.Propose{ID: entry.ID, After: 3, Command: []byte("c")}),
		Entry("Result", chain.ProposeResult{ID: entry.ID, Verdict: chain.ResultTooOld, Epoch: 1, Sequence: 2, Result: []byte("r")}),
		Entry("Read", chain.Read{ID: entry.ID, Have: -1}),
		Entry("ReadResult", chain.ReadResult{ID: entry.ID, Verdict: chain.ResultRetry, Epoch: 1, Sequence: 2, Full: true, Snapshot: []byte("s")}),
	)

	DescribeTable("round-trips a record", func(r chain.Record) {
		b, err := encodeRecord(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeRecord(b)).To(Equal(r))
	},
		Entry("Identity", chain.IdentityRecord{Member: view.Member{ID: 3, Name: "n", Address: "a", Zone: "z"}, Known: []string{"b", "c"}}),
		Entry("Adoption", chain.ViewRecord{View: sampleView(), State: sampleState(), Committed: 9, Last: []chain.Entry{entry}}),
		Entry("Addition", chain.EntryRecord{Epoch: 1, Entry: entry}),
		Entry("Vote", chain.VoteRecord{Epoch: 1, Acceptor: view.Acceptor[chain.Proposal]{Promised: sampleBallot(), Accepted: sampleBallot(), Value: proposal}}),
	)

	It("fails to decode invalid messages and records", func() {
		for _, w := range []wireEnvelope{{Kind: -1}, {Kind: 99}, {Kind: 3, Body: []byte{1, 2, 3}}} {
			_, err := w.decode()
			Expect(err).To(HaveOccurred())
		}
		_, err := decodeRecord(nil)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("fragments of a record", func() {
	It("are joined, and dropped if some are missing", func() {
		var a fragmentAssembler
		add := func(b string, first, last bool) string {
			record, complete := a.add(encodeFragment([]byte(b), first, last))
			if !complete {
				return "-"
			}
			return string(record)
		}
		Expect(add("x", false, true)).To(Equal("-"), "the beginning was reclaimed")
		Expect(add("one", true, true)).To(Equal("one"))
		Expect(add("a", true, false)).To(Equal("-"))
		Expect(add("b", false, false)).To(Equal("-"))
		Expect(add("c", false, true)).To(Equal("abc"))
		Expect(add("lost", true, false)).To(Equal("-"))
		Expect(add("two", true, true)).To(Equal("two"))
		_, complete := a.add(nil)
		Expect(complete).To(BeFalse())
	})
})

func FuzzOpen(f *testing.F) {
	f.Add(0, []byte{2, 4, 0})
	f.Fuzz(func(_ *testing.T, kind int, b []byte) {
		_, _ = wireEnvelope{Kind: kind, Body: b}.decode()
		_, _ = decodeRecord(b)
	})
}
