package store_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/store"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs/memfs"
)

// commitAt commits a turn to one store only.
func commitAt(c *cluster, n *node, id, root, previous string) {
	GinkgoHelper()
	answer, err := n.store.Commit(ctx, storewire.CommitRequest{
		Header: storewire.Header{Epoch: int64(c.view.Epoch), StoreID: n.store.ID()},
		Turn: storewire.Turn{ID: id, Root: root, Previous: previous, Program: "p", RetentionMillis: 60_000,
			Input: []byte("in"), Output: []byte("out")},
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Reply.Status).To(Equal(storewire.Served))
}

// diskAfter returns the disk and node of a store that was closed after the given function filled it.
func diskAfter(commit func(*cluster, *node)) (*memfs.FS, *node) {
	c := newCluster(0, "a")
	n := c.nodes[0]
	commit(c, n)
	Expect(n.store.Close()).To(Succeed())
	return n.disk, n
}

// appendRecord appends a record with arbitrary contents to the ring.
func appendRecord(disk *memfs.FS, record string) journal.Position {
	GinkgoHelper()
	j, err := journal.Open(journal.Options{Files: disk, Dir: "data", SegmentBytes: 1 << 20, Segments: 16},
		func(journal.Position, []byte) error { return nil })
	Expect(err).NotTo(HaveOccurred())
	p, err := j.Append([]byte(record))
	Expect(err).NotTo(HaveOccurred())
	Expect(j.Sync()).To(Succeed())
	Expect(j.Close()).To(Succeed())
	return p
}

func inspectDisk(disk *memfs.FS) *store.Inspection {
	GinkgoHelper()
	found, err := store.Inspect(disk, "data")
	Expect(err).NotTo(HaveOccurred())
	return found
}

// commitConversation commits three turns and makes two reservations, of which it settles one.
func commitConversation(c *cluster, n *node) {
	commitAt(c, n, "t-0", "t-0", "")
	commitAt(c, n, "t-1", "t-0", "t-0")
	commitAt(c, n, "t-2", "t-0", "t-1")
	reserveAt(c, n, "a", false)
	settleAt(c, n, "a", 4)
	reserveAt(c, n, "b", false) // its sync also covers the settlement before it
}

var _ = Describe("the inspection of a store's disk", func() {
	It("reports what a start would find", func() {
		disk, n := diskAfter(commitConversation)
		found := inspectDisk(disk)
		Expect(found.ID).To(Equal(n.store.ID()))
		Expect(found.Complete).To(BeTrue())
		Expect(found.View.Epoch).To(Equal(int64(1)))
		Expect(found.View.Members).To(HaveLen(1))
		Expect(found.Findings.Count).To(BeZero())
		Expect(found.Turns).To(And(HaveField("Count", 3), HaveField("Conversations", 1), HaveField("Whole", 3),
			HaveField("Partial", 0), HaveField("MissingCount", 0)))
		Expect(found.Turns.Oldest.ID).To(Equal("t-0"))
		Expect(found.Turns.Newest.ID).To(Equal("t-2"))
		Expect(found.Turns.Newest.File).To(Equal("ring-0000"))
		Expect(found.Programs.Count).To(Equal(1))
		Expect(found.Programs.Listed).To(Equal([]store.ProgramSummary{{Name: "p", OpenReservations: 1, ReservedTokens: 6, SettledTokens: 4}}))
		kinds := map[string]int{}
		for _, k := range found.Records {
			kinds[k.Kind] = k.Records
		}
		Expect(kinds).To(HaveKeyWithValue("turn", 3))
		Expect(kinds).To(HaveKeyWithValue("program", 3))
		Expect(kinds["meta"]).To(BeNumerically(">=", 2))
	})

	It("reports all acknowledged turns after a loss of power, with a ring that wrapped around many times", func() {
		c := newCrashTest(5)
		for range 400 {
			c.step()
		}
		disk := c.node.disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 1)))
		found := inspectDisk(disk)
		Expect(found.Findings.Count).To(BeZero(), "%+v", found.Findings)
		for id, until := range c.retainedUntil {
			if until < c.now() {
				delete(c.retainedUntil, id)
			}
		}
		Expect(found.Turns.Count).To(BeNumerically(">=", len(c.retainedUntil)))
		Expect(found.Ring.Segments[0].Sequence).To(BeNumerically(">", 1))
	})

	It("lists the turns that are held elsewhere without reporting damage", func() {
		disk, _ := diskAfter(func(c *cluster, n *node) {
			commitConversation(c, n)
			commitAt(c, n, "u-5", "u-0", "u-4")
			commitAt(c, n, "u-6", "u-0", "u-5")
			commitAt(c, n, "u-5-again", "u-0", "u-4")
		})
		found := inspectDisk(disk)
		Expect(found.Findings.Count).To(BeZero())
		Expect(found.Turns.Whole).To(Equal(3))
		Expect(found.Turns.Partial).To(Equal(3))
		Expect(found.Turns.MissingCount).To(Equal(1))
		Expect(found.Turns.Missing[0].ID).To(Equal("u-4"))
		Expect(found.Turns.Missing[0].Root).To(Equal("u-0"))
		Expect(found.Turns.Missing[0].Next.ID).To(Equal("u-5"))
	})

	DescribeTable("finds inconsistent conversations",
		func(commit func(*cluster, *node), problem string) {
			disk, _ := diskAfter(commit)
			found := inspectDisk(disk)
			Expect(found.Findings.Count).To(Equal(1), "%+v", found.Findings)
			Expect(found.Findings.Listed[0].Problem).To(ContainSubstring(problem))
			Expect(found.Findings.Listed[0].Offset).To(BeNumerically(">", 0))
		},
		Entry("turns that form a cycle", func(c *cluster, n *node) {
			commitAt(c, n, "a", "r", "b")
			commitAt(c, n, "b", "r", "a")
		}, "continues a, which continues it"),
		Entry("a predecessor of another conversation", func(c *cluster, n *node) {
			commitAt(c, n, "a", "a", "")
			commitAt(c, n, "b", "other", "a")
			commitAt(c, n, "c", "other", "b")
		}, "turn b of conversation other continues a of conversation a"),
	)

	DescribeTable("finds invalid records with intact checksums, and their positions",
		func(record string, problem string) {
			disk, _ := diskAfter(commitConversation)
			p := appendRecord(disk, record)
			found := inspectDisk(disk)
			Expect(found.Findings.Count).To(Equal(1), "%+v", found.Findings)
			Expect(found.Findings.Listed[0].File).To(Equal("ring-0000"))
			Expect(found.Findings.Listed[0].Offset).To(Equal(int64(p.Offset)))
			Expect(found.Findings.Listed[0].Problem).To(ContainSubstring(problem))
			Expect(found.Turns.Count).To(Equal(3))
		},
		Entry("an unknown kind", "X and more", "kind 88 is not known"),
		Entry("a turn that does not decode", "T\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "turn record"),
		Entry("a turn that is cut short", "T\x02a", "coded otherwise"),
		Entry("a turn with other contents under a known id", "T\x06t-1\x06t-0\x00\x06t-0\x02p\x00\x00\x00\x00", "other contents"),
		Entry("a program with malformed entries", "P\x02p\x00\x06abc", "malformed entries"),
		Entry("a program with trailing bytes", "P\x02p\x00\x00zzz", "coded otherwise"),
		Entry("a meta record that is cut short", "M\x02a\x01", "meta record"),
	)

	It("reports a torn tail as the position where reading stopped", func() {
		disk, _ := diskAfter(commitConversation)
		before := inspectDisk(disk)
		end := before.Ring.Segments[0].End
		copy(disk.Data("data/ring-0000")[end:], "half of a record")
		found := inspectDisk(disk)
		Expect(found.Findings.Count).To(BeZero())
		Expect(found.Ring.Segments[0].End).To(Equal(end))
		Expect(found.Ring.Segments[0].Stop).To(Equal(journal.StopNoRecord))
	})

	It("finds a flipped bit that destroys the first record", func() {
		disk, _ := diskAfter(commitConversation)
		disk.Data("data/ring-0000")[60] ^= 4 // in the first record, which holds the store's id
		found := inspectDisk(disk)
		Expect(found.ID).To(BeEmpty())
		Expect(found.Findings.Count).To(Equal(1), "%+v", found.Findings)
		Expect(found.Findings.Listed[0].Offset).To(Equal(int64(40)))
		Expect(found.Findings.Listed[0].Problem).To(ContainSubstring("valid records after it"))
	})

	It("rejects a folder that is not the disk of a store", func() {
		_, err := store.Inspect(memfs.New(), "data")
		Expect(err).To(MatchError(journal.ErrNoRing))

		empty := memfs.New()
		empty.Put("data/ring-0000", make([]byte, 1<<20))
		_, err = store.Inspect(empty, "data")
		Expect(err).To(MatchError(store.ErrNoRecords))

		other := memfs.New()
		appendRecord(other, "\x03a part of a replica's record")
		_, err = store.Inspect(other, "data")
		Expect(err).To(MatchError(store.ErrNotStore))
	})
})
