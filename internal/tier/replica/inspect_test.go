package replica_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/replica"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// partsBytes is the size of a segment of these replicas' journals.
const partsBytes = 8 << 10

// alone gives the disk of a replica that is the only one, after so many commands.
func alone(ctx context.Context, commands uint64) *memfs.Mem {
	GinkgoHelper()
	m := cluster(1)[0]
	for i := range commands {
		advance(ctx, m, i)
	}
	m.kill()
	return m.disk
}

// addedPart puts a part of a record into the ring, whole, whatever it says.
func addedPart(disk *memfs.Mem, part string) journal.Position {
	GinkgoHelper()
	options := journal.Options{Files: disk, Dir: "control", SegmentBytes: partsBytes, Segments: 6}
	j, err := journal.Open(options, func(journal.Position, []byte) error { return nil })
	Expect(err).NotTo(HaveOccurred())
	p, err := j.Append([]byte(part))
	Expect(err).NotTo(HaveOccurred())
	Expect(j.Sync()).To(Succeed())
	Expect(j.Close()).To(Succeed())
	return p
}

func inspected(disk *memfs.Mem) *replica.Inspection {
	GinkgoHelper()
	found, err := replica.Inspect(disk, "control")
	Expect(err).NotTo(HaveOccurred())
	return found
}

var _ = Describe("the inspection of a replica's disk", func() {
	It("gives member, view and state", func(ctx SpecContext) {
		found := inspected(alone(ctx, 3))
		Expect(found.Findings.Count).To(BeZero(), "%+v", found.Findings)
		Expect(found.Durable.View.Epoch).To(Equal(int64(1)))
		Expect(found.Durable.View.Members).To(HaveLen(1))
		Expect(found.Durable.Member.ID).To(Equal(found.Durable.View.Chain[0]))
		Expect(found.LastSequence()).To(Equal(int64(3)))
		Expect(found.Records).To(And(HaveField("Identities", 1), HaveField("Views", 1), HaveField("Entries", 3),
			HaveField("Incomplete", 0), HaveField("Fragments", 5)))
	}, NodeTimeout(time.Minute))

	It("holds what was acknowledged after a loss of power, over several laps of the journal", func(ctx SpecContext) {
		disk := alone(ctx, 1500).After(memfs.Power, rand.New(rand.NewPCG(1, 2)))
		found := inspected(disk)
		Expect(found.Findings.Count).To(BeZero(), "%+v", found.Findings)
		Expect(found.Ring.Segments[0].Sequence).To(BeNumerically(">", 1))
		Expect(found.LastSequence()).To(Equal(int64(1500)))
		state := found.Durable.State
		Expect(binary.BigEndian.Uint64(state.Snapshot)).To(Equal(uint64(state.Sequence)))
	}, NodeTimeout(time.Minute))

	DescribeTable("finds parts and records that make no sense, at their place",
		func(ctx SpecContext, part string, problem string) {
			disk := alone(ctx, 2)
			p := addedPart(disk, part)
			found := inspected(disk)
			Expect(found.Findings.Count).To(Equal(1), "%+v", found.Findings)
			Expect(found.Findings.Listed[0].Offset).To(Equal(int64(p.Offset)))
			Expect(found.Findings.Listed[0].Problem).To(ContainSubstring(problem))
			Expect(found.LastSequence()).To(Equal(int64(2)))
		},
		Entry("a part of something else", "Xyz", "a part of a record is marked 88", NodeTimeout(time.Minute)),
		Entry("a record of another kind", "\x03\x09", "kind 9 is not known", NodeTimeout(time.Minute)),
		Entry("no record at all", "\x03", "empty record", NodeTimeout(time.Minute)),
		Entry("an entry that ends too early", "\x03\x02\x02", "coded otherwise", NodeTimeout(time.Minute)),
		Entry("an entry that leaves others out", "\x03\x02\x02\x12\x02\x02\x00", "entry 9 of epoch 1 after 2 of 1",
			NodeTimeout(time.Minute)),
		Entry("an entry of an epoch that was not adopted", "\x03\x02\x06\x06\x02\x02\x00", "entry 3 of epoch 3 after 2 of 1",
			NodeTimeout(time.Minute)),
	)

	It("counts records that have no end or no beginning, which are no damage", func(ctx SpecContext) {
		disk := alone(ctx, 2)
		addedPart(disk, "\x02the last part of a record")
		addedPart(disk, "\x01the first part of a record")
		found := inspected(disk)
		Expect(found.Findings.Count).To(BeZero())
		Expect(found.Records.Incomplete).To(Equal(2))
	}, NodeTimeout(time.Minute))

	It("finds a flipped byte", func(ctx SpecContext) {
		disk := alone(ctx, 3)
		disk.Data("control/ring-0000")[60] ^= 1
		found := inspected(disk)
		Expect(found.Findings.Listed).To(HaveLen(1))
		Expect(found.Findings.Listed[0]).To(And(HaveField("File", "ring-0000"), HaveField("Offset", int64(40))))
		Expect(found.Durable.View.Epoch).To(BeZero())
	}, NodeTimeout(time.Minute))

	It("says what is no disk of a replica", func() {
		_, err := replica.Inspect(memfs.New(), "control")
		Expect(err).To(MatchError(journal.ErrNoRing))

		empty := memfs.New()
		empty.Put("control/ring-0000", make([]byte, partsBytes))
		_, err = replica.Inspect(empty, "control")
		Expect(err).To(MatchError(replica.ErrNoRecords))

		other := memfs.New()
		addedPart(other, "Ta turn of a store")
		_, err = replica.Inspect(other, "control")
		Expect(err).To(MatchError(replica.ErrNotReplica))
	})
})
