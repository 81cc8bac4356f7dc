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

// segmentBytes is the segment size of the journals of these replicas.
const segmentBytes = 8 << 10

// singleReplicaDisk returns the disk of a single-member system after the given number of commands.
func singleReplicaDisk(ctx context.Context, commands uint64) *memfs.FS {
	GinkgoHelper()
	m := startCounterReplicas(1)[0]
	for i := range commands {
		mustIncrement(ctx, m, i)
	}
	m.kill()
	return m.disk
}

// appendFragment appends an intact journal record with any bytes as its fragment.
func appendFragment(disk *memfs.FS, fragment string) journal.Position {
	GinkgoHelper()
	options := journal.Options{Files: disk, Dir: "control", SegmentBytes: segmentBytes, Segments: 6}
	j, err := journal.Open(options, func(journal.Position, []byte) error { return nil })
	Expect(err).NotTo(HaveOccurred())
	p, err := j.Append([]byte(fragment))
	Expect(err).NotTo(HaveOccurred())
	Expect(j.Sync()).To(Succeed())
	Expect(j.Close()).To(Succeed())
	return p
}

func mustInspect(disk *memfs.FS) *replica.Inspection {
	GinkgoHelper()
	found, err := replica.Inspect(disk, "control")
	Expect(err).NotTo(HaveOccurred())
	return found
}

var _ = Describe("inspecting a replica's disk", func() {
	It("recovers member, view and state", func(ctx SpecContext) {
		found := mustInspect(singleReplicaDisk(ctx, 3))
		Expect(found.Findings.Count).To(BeZero(), "%+v", found.Findings)
		Expect(found.Durable.View.Epoch).To(Equal(int64(1)))
		Expect(found.Durable.View.Members).To(HaveLen(1))
		Expect(found.Durable.Member.ID).To(Equal(found.Durable.View.Chain[0]))
		Expect(found.LastSequence()).To(Equal(int64(3)))
		Expect(found.Records).To(And(HaveField("Identities", 1), HaveField("Views", 1), HaveField("Entries", 3),
			HaveField("Incomplete", 0), HaveField("Fragments", 5)))
	}, NodeTimeout(time.Minute))

	It("finds all acknowledged commands after a power loss, over several laps of the journal", func(ctx SpecContext) {
		disk := singleReplicaDisk(ctx, 1500).AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 2)))
		found := mustInspect(disk)
		Expect(found.Findings.Count).To(BeZero(), "%+v", found.Findings)
		Expect(found.Ring.Segments[0].Sequence).To(BeNumerically(">", 1))
		Expect(found.LastSequence()).To(Equal(int64(1500)))
		state := found.Durable.State
		Expect(binary.BigEndian.Uint64(state.Snapshot)).To(Equal(uint64(state.Sequence)))
	}, NodeTimeout(time.Minute))

	DescribeTable("reports invalid fragments and records with their offset",
		func(ctx SpecContext, fragment string, problem string) {
			disk := singleReplicaDisk(ctx, 2)
			p := appendFragment(disk, fragment)
			found := mustInspect(disk)
			Expect(found.Findings.Count).To(Equal(1), "%+v", found.Findings)
			Expect(found.Findings.Listed[0].Offset).To(Equal(int64(p.Offset)))
			Expect(found.Findings.Listed[0].Problem).To(ContainSubstring(problem))
			Expect(found.LastSequence()).To(Equal(int64(2)))
		},
		Entry("a fragment with unknown flags", "Xyz", "a fragment of a record has unknown flags 88", NodeTimeout(time.Minute)),
		Entry("a record of an unknown kind", "\x03\x09", "unknown kind 9", NodeTimeout(time.Minute)),
		Entry("an empty record", "\x03", "empty record", NodeTimeout(time.Minute)),
		Entry("a truncated entry", "\x03\x02\x02", "not in the canonical encoding", NodeTimeout(time.Minute)),
		Entry("an entry after a gap", "\x03\x02\x02\x12\x02\x02\x00", "entry 9 of epoch 1 after 2 of 1",
			NodeTimeout(time.Minute)),
		Entry("an entry of an epoch whose view is not installed", "\x03\x02\x06\x06\x02\x02\x00", "entry 3 of epoch 3 after 2 of 1",
			NodeTimeout(time.Minute)),
	)

	It("counts records without an end or a beginning, which are no damage", func(ctx SpecContext) {
		disk := singleReplicaDisk(ctx, 2)
		appendFragment(disk, "\x02the last fragment of a record")
		appendFragment(disk, "\x01the first fragment of a record")
		found := mustInspect(disk)
		Expect(found.Findings.Count).To(BeZero())
		Expect(found.Records.Incomplete).To(Equal(2))
	}, NodeTimeout(time.Minute))

	It("finds a flipped bit", func(ctx SpecContext) {
		disk := singleReplicaDisk(ctx, 3)
		disk.Data("control/ring-0000")[60] ^= 1
		found := mustInspect(disk)
		Expect(found.Findings.Listed).To(HaveLen(1))
		Expect(found.Findings.Listed[0]).To(And(HaveField("File", "ring-0000"), HaveField("Offset", int64(40))))
		Expect(found.Durable.View.Epoch).To(BeZero())
	}, NodeTimeout(time.Minute))

	It("rejects a disk that is not a replica's", func() {
		_, err := replica.Inspect(memfs.New(), "control")
		Expect(err).To(MatchError(journal.ErrNoRing))

		empty := memfs.New()
		empty.Put("control/ring-0000", make([]byte, segmentBytes))
		_, err = replica.Inspect(empty, "control")
		Expect(err).To(MatchError(replica.ErrNoRecords))

		other := memfs.New()
		appendFragment(other, "Ta turn of a store")
		_, err = replica.Inspect(other, "control")
		Expect(err).To(MatchError(replica.ErrNotReplica))
	})
})
