package journal_test

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"emberquay/internal/tier/journal"
	"emberquay/internal/vfs"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "journal")
}

const (
	dir          = "data"
	segmentBytes = 1024
	segments     = 4
)

func options(files vfs.FS) journal.Options {
	return journal.Options{Files: files, Dir: dir, SegmentBytes: segmentBytes, Segments: segments}
}

// record returns the n-th record: its number, then length bytes.
func record(n uint64, length int) []byte {
	b := binary.BigEndian.AppendUint64(nil, n)
	return append(b, bytes.Repeat([]byte{byte(n)}, length)...)
}

// openNumbered opens a journal and returns the numbers of the replayed records, each checked to be intact.
func openNumbered(files vfs.FS) (*journal.Journal, []uint64, error) {
	var found []uint64
	j, err := journal.Open(options(files), func(_ journal.Position, b []byte) error {
		n := binary.BigEndian.Uint64(b)
		Expect(b).To(Equal(record(n, len(b)-8)))
		found = append(found, n)
		return nil
	})
	return j, found, err
}

func mustOpen(files vfs.FS) (*journal.Journal, []uint64) {
	j, found, err := openNumbered(files)
	Expect(err).NotTo(HaveOccurred())
	return j, found
}

func mustAppend(j *journal.Journal, n uint64, length int) journal.Position {
	p, err := j.Append(record(n, length))
	Expect(err).NotTo(HaveOccurred())
	return p
}

func numbersBetween(first, last uint64) []uint64 {
	var all []uint64
	for n := first; n <= last; n++ {
		all = append(all, n)
	}
	return all
}

var _ = Describe("a journal", func() {
	It("reads records by position, before and after their sync, and after the next Open", func() {
		files := memfs.New()
		j, found := mustOpen(files)
		Expect(found).To(BeEmpty())
		var positions []journal.Position
		for n := range uint64(30) {
			positions = append(positions, mustAppend(j, n, 50))
			if n == 20 {
				Expect(j.Sync()).To(Succeed())
			}
		}
		read := func() {
			for n, p := range positions {
				Expect(j.Read(p, make([]byte, 10))).To(Equal(record(uint64(n), 50)))
			}
		}
		read()
		Expect(j.PendingBytes()).To(BeNumerically(">", 0))
		Expect(j.Sync()).To(Succeed())
		Expect(j.PendingBytes()).To(BeZero())
		read()
		Expect(j.Close()).To(Succeed())
		j, found = mustOpen(files)
		Expect(found).To(Equal(numbersBetween(0, 29)))
		read()
	})

	It("returns ErrNotFound for positions without a record", func() {
		j, _ := mustOpen(memfs.New())
		p := mustAppend(j, 1, 20)
		for _, wrong := range []journal.Position{
			{}, {Segment: 9, Offset: p.Offset, Length: p.Length}, {Segment: p.Segment, Offset: p.Offset + 1, Length: p.Length},
			{Segment: p.Segment, Offset: p.Offset, Length: p.Length - 1}, {Segment: p.Segment, Offset: p.Offset, Length: 1 << 31},
		} {
			_, err := j.Read(wrong, nil)
			Expect(err).To(MatchError(journal.ErrNotFound))
		}
	})

	DescribeTable("rejects records", func(length func(*journal.Journal) int) {
		j, _ := mustOpen(memfs.New())
		_, err := j.Append(make([]byte, length(j)))
		Expect(err).To(MatchError(journal.ErrRecordSize))
	},
		Entry("that are empty", func(*journal.Journal) int { return 0 }),
		Entry("that are too long", func(j *journal.Journal) int { return j.MaxRecordBytes() + 1 }),
	)

	It("accepts a record of maximum length in any segment", func() {
		files := memfs.New()
		j, _ := mustOpen(files)
		for n := range uint64(3) {
			mustAppend(j, n, j.MaxRecordBytes()-8)
		}
		Expect(j.Sync()).To(Succeed())
		_, found := mustOpen(files)
		Expect(found).To(Equal(numbersBetween(0, 2)))
	})

	It("is full until the oldest segment is reclaimed, and stays within its size", func() {
		files := memfs.New()
		j, _ := mustOpen(files)
		next, firstLive := uint64(0), uint64(0)
		for range 20 {
			for {
				_, err := j.Append(record(next, 90))
				if err != nil {
					Expect(err).To(MatchError(journal.ErrFull))
					break
				}
				next++
			}
			Expect(j.FreeSegments()).To(BeZero())
			oldest := j.OldestSegment()
			Expect(j.Reclaim(oldest + 1)).To(MatchError(journal.ErrNotOldest))
			Expect(j.Scan(oldest, func(p journal.Position, b []byte) error {
				Expect(binary.BigEndian.Uint64(b)).To(Equal(firstLive))
				Expect(p.Segment).To(Equal(oldest))
				firstLive++
				return nil
			})).To(Succeed())
			Expect(j.Reclaim(oldest)).To(Succeed())
			Expect(j.FreeSegments()).To(Equal(1))
			Expect(j.Scan(oldest, nil)).To(MatchError(journal.ErrNotFound))
		}
		Expect(j.Sync()).To(Succeed())
		Expect(files.UsedBytes()).To(BeNumerically("<=", segments*segmentBytes))
		j.Close()
		_, found := mustOpen(files)
		// The segment reclaimed last may be replayed once more, before the rest, if it is not overwritten yet.
		Expect(found).To(Equal(numbersBetween(found[0], next-1)))
		Expect(found[0]).To(BeNumerically("<=", firstLive))
	})

	It("does not reclaim the segment being written", func() {
		j, _ := mustOpen(memfs.New())
		mustAppend(j, 1, 1)
		Expect(j.Reclaim(j.OldestSegment())).To(MatchError(journal.ErrNotOldest))
	})

	It("retries in the next sync what a failed one did not write", func() {
		files := memfs.New()
		j, _ := mustOpen(files)
		mustAppend(j, 0, 10)
		Expect(j.Sync()).To(Succeed())
		for n, op := range []string{"write", "sync"} {
			mustAppend(j, uint64(n+1), 10)
			files.Hook = func(c memfs.Call) memfs.Fault {
				if c.Op == op {
					return memfs.Fault{Err: syscall.EIO, PartialBytes: 5}
				}
				return memfs.Fault{}
			}
			Expect(j.Sync()).To(MatchError(syscall.EIO))
			files.Hook = nil
			Expect(j.Sync()).To(Succeed())
		}
		_, found := mustOpen(files.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 1))))
		Expect(found).To(Equal(numbersBetween(0, 2)))
	})

	It("reports a full disk, and continues once it has space", func() {
		files := memfs.New()
		j, _ := mustOpen(files)
		files.CapacityBytes = segmentBytes
		for n := range uint64(20) {
			mustAppend(j, n, 90)
		}
		Expect(vfs.IsFull(j.Sync())).To(BeTrue())
		files.CapacityBytes = 0
		Expect(j.Sync()).To(Succeed())
		_, found := mustOpen(files.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 1))))
		Expect(found).To(Equal(numbersBetween(0, 19)))
	})

	It("detects damage in a closed segment, replays the remaining records, and is intact after Reset", func() {
		files := memfs.New()
		j, _ := mustOpen(files)
		for n := range uint64(25) {
			mustAppend(j, n, 90)
		}
		Expect(j.Sync()).To(Succeed())
		j.Close()
		files.Data("data/ring-0001")[500] ^= 1
		j, found := mustOpen(files)
		Expect(j.Damaged()).To(BeTrue())
		Expect(len(found)).To(BeNumerically("<", 25))
		Expect(found).To(ContainElement(uint64(24)))
		Expect(j.Reclaim(j.OldestSegment())).To(Succeed())
		Expect(j.Scan(j.OldestSegment(), func(journal.Position, []byte) error { return nil })).To(Succeed())
		Expect(j.Reset()).To(Succeed())
		Expect(j.Damaged()).To(BeFalse())
		mustAppend(j, 100, 5)
		Expect(j.Sync()).To(Succeed())
		j, found = mustOpen(files.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 1))))
		Expect(j.Damaged()).To(BeFalse())
		Expect(found).To(Equal([]uint64{100}))
	})

	It("resets with no segment free", func() {
		files := memfs.New()
		j, _ := mustOpen(files)
		for n := uint64(0); j.FreeSegments() > 0; n++ {
			mustAppend(j, n, 90)
		}
		Expect(j.Sync()).To(Succeed())
		Expect(j.Reset()).To(Succeed())
		mustAppend(j, 100, 5)
		Expect(j.Sync()).To(Succeed())
		Expect(j.FreeSegments()).To(Equal(segments - 1))
		_, found := mustOpen(files)
		Expect(found).To(Equal([]uint64{100}))
	})

	It("works on a real disk", func() {
		o := journal.Options{Files: vfs.OS{}, Dir: filepath.Join(GinkgoT().TempDir(), "made", dir), SegmentBytes: segmentBytes, Segments: segments}
		j, err := journal.Open(o, nil)
		Expect(err).NotTo(HaveOccurred())
		for n := range uint64(100) {
			for j.FreeSegments() < 2 {
				Expect(j.Reclaim(j.OldestSegment())).To(Succeed())
			}
			p := mustAppend(j, n, 90)
			Expect(j.Sync()).To(Succeed())
			Expect(j.Read(p, nil)).To(Equal(record(n, 90)))
		}
		Expect(j.Close()).To(Succeed())
		last := uint64(0)
		j, err = journal.Open(o, func(_ journal.Position, b []byte) error {
			last = binary.BigEndian.Uint64(b)
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(last).To(Equal(uint64(99)))
		Expect(j.Close()).To(Succeed())
	})

	It("does not take a record after a torn one for one of the next process", func() {
		files := memfs.New()
		j, _ := mustOpen(files)
		mustAppend(j, 0, 20)
		Expect(j.Sync()).To(Succeed())
		mustAppend(j, 1, 20)
		secondRecord := mustAppend(j, 2, 20)
		Expect(j.Sync()).To(Succeed())
		j.Close()
		data := files.Data("data/ring-0000")
		clear(data[secondRecord.Offset-32 : secondRecord.Offset-12]) // record 1 did not reach the disk, record 2 did
		j, found := mustOpen(files)
		Expect(found).To(Equal([]uint64{0}))
		for n := uint64(3); n < 6; n++ {
			mustAppend(j, n, 20)
			Expect(j.Sync()).To(Succeed())
			_, found = mustOpen(files)
			Expect(found).To(Equal(append([]uint64{0}, numbersBetween(3, n)...)))
		}
	})

	It("ignores other files in its folder", func() {
		files := memfs.New()
		files.Put("data/other", []byte("text"))
		j, _ := mustOpen(files)
		mustAppend(j, 1, 1)
		Expect(j.Sync()).To(Succeed())
		Expect(files.Data("data/other")).To(Equal([]byte("text")))
	})

	It("can be read and synced concurrently while records are appended", func() {
		j, _ := mustOpen(memfs.New())
		positions := make(chan journal.Position, 100)
		var others sync.WaitGroup
		others.Go(func() {
			defer GinkgoRecover()
			for p := range positions {
				_, err := j.Read(p, nil)
				Expect(err).To(Or(BeNil(), MatchError(journal.ErrNotFound)))
			}
		})
		others.Go(func() {
			defer GinkgoRecover()
			for range 200 {
				Expect(j.Sync()).To(Succeed())
			}
		})
		for n := range uint64(500) {
			for j.FreeSegments() < 2 {
				Expect(j.Reclaim(j.OldestSegment())).To(Succeed())
			}
			positions <- mustAppend(j, n, 40)
		}
		close(positions)
		others.Wait()
	})
})
