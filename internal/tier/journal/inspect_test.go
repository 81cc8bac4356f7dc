package journal_test

import (
	"encoding/binary"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"

	"emberquay/internal/tier/journal"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// Sizes of a segment header and of a frame header in the files.
	headerBytes      = 40
	frameHeaderBytes = 12
	// Size of the records of the tables: 6 fit in a segment of 1,024 bytes.
	recordBytes = 150
	frameBytes  = frameHeaderBytes + recordBytes
	// oneRecordAfter is the problem reported for the first of the two records of the newest segment.
	oneRecordAfter = "valid records after it: 1, the first at offset 202"
)

// newRing returns a journal with records of equal length, each synced on its own.
func newRing(records uint64) *memfs.FS {
	files := memfs.New()
	j, _ := mustOpen(files)
	for n := range records {
		mustAppend(j, n, recordBytes-8)
		Expect(j.Sync()).To(Succeed())
	}
	Expect(j.Close()).To(Succeed())
	return files
}

// reopenAndAppend appends records in a new generation of the ring.
func reopenAndAppend(files *memfs.FS, first, last uint64) {
	j, _ := mustOpen(files)
	for n := first; n <= last; n++ {
		mustAppend(j, n, recordBytes-8)
		Expect(j.Sync()).To(Succeed())
	}
	Expect(j.Close()).To(Succeed())
}

// mustInspect inspects the ring and fails the test on any call to the disk other than reading.
func mustInspect(files *memfs.FS) (*journal.Inspection, []uint64) {
	files.Hook = func(c memfs.Call) memfs.Fault {
		Expect(c.Op).To(BeElementOf("list", "open", "read", "size", "close"))
		return memfs.Fault{}
	}
	defer func() { files.Hook = nil }()
	var found []uint64
	i, err := journal.Inspect(files, dir, func(file string, p journal.Position, record []byte) {
		Expect(file).To(HavePrefix("ring-"))
		Expect(int(p.Length)).To(Equal(len(record)))
		found = append(found, binary.BigEndian.Uint64(record))
	})
	Expect(err).NotTo(HaveOccurred())
	return i, found
}

func ringFile(index int) string {
	return filepath.Join(dir, []string{"ring-0000", "ring-0001", "ring-0002", "ring-0003"}[index])
}

// frameOffset returns the offset of the n-th frame of a file.
func frameOffset(n int) int64 { return headerBytes + int64(n)*frameBytes }

// flipBit flips one bit of a byte.
func flipBit(files *memfs.FS, file int, offset int64) { files.Data(ringFile(file))[offset] ^= 0x20 }

// expectation is what the tables expect of the inspection of a corrupted ring.
type expectation struct {
	recordCount  int // visited
	findingCount int
	file         string // of the first finding
	offset       int64
	problem      string
	lost         bool
}

var _ = Describe("the inspection of a ring", func() {
	It("visits the records that Open replays, on rings of any length", func() {
		for records := range uint64(23) {
			files := newRing(records + 1)
			i, found := mustInspect(files)
			Expect(i.Findings.Count).To(BeZero(), "%d records: %+v", records+1, i.Findings)
			Expect(i.Lost).To(BeFalse())
			_, opened := mustOpen(files)
			Expect(found).To(Equal(opened))
		}
	})

	It("reports where each segment ends, and why", func() {
		i, _ := mustInspect(newRing(8))
		Expect(i.Files).To(Equal(2))
		Expect(i.Segments).To(Equal([]journal.SegmentSummary{
			{File: "ring-0000", Sequence: 1, FileBytes: segmentBytes, Records: 6, RecordBytes: 6 * recordBytes,
				End: frameOffset(6), Stop: journal.StopUnwritten},
			{File: "ring-0001", Sequence: 2, FileBytes: segmentBytes, Records: 2, RecordBytes: 2 * recordBytes,
				End: frameOffset(2), Stop: journal.StopUnwritten},
		}))
	})

	DescribeTable("finds damage that Open detects and damage that it cannot",
		func(corrupt func(*memfs.FS), expected expectation) {
			files := newRing(20) // 6, 6, 6 and 2
			corrupt(files)
			i, found := mustInspect(files)
			Expect(found).To(HaveLen(expected.recordCount))
			Expect(i.Findings.Count).To(Equal(expected.findingCount), "%+v", i.Findings)
			Expect(i.Lost).To(Equal(expected.lost))
			j, opened := mustOpen(files)
			Expect(j.Damaged()).To(Equal(expected.lost))
			Expect(found).To(Equal(opened))
			if expected.findingCount == 0 {
				return
			}
			first := i.Findings.Listed[0]
			Expect(first.File).To(Equal(expected.file))
			Expect(first.Offset).To(Equal(expected.offset))
			Expect(first.Problem).To(ContainSubstring(expected.problem))
		},
		Entry("no damage", func(*memfs.FS) {}, expectation{recordCount: 20}),
		Entry("a byte of a record in a closed segment",
			func(m *memfs.FS) { flipBit(m, 1, frameOffset(2)+frameHeaderBytes+50) },
			expectation{recordCount: 16, findingCount: 1, file: "ring-0001", offset: frameOffset(2), problem: "segment 2", lost: true}),
		Entry("the length of a record in a closed segment", func(m *memfs.FS) { flipBit(m, 0, frameOffset(0)) },
			expectation{recordCount: 14, findingCount: 1, file: "ring-0000", offset: frameOffset(0),
				problem: "it went on to 1012", lost: true}),
		Entry("the checksum of a record in a closed segment", func(m *memfs.FS) { flipBit(m, 2, frameOffset(5)+8) },
			expectation{recordCount: 19, findingCount: 1, file: "ring-0002", offset: frameOffset(5), problem: "segment 3", lost: true}),
		Entry("two closed segments", func(m *memfs.FS) { flipBit(m, 0, frameOffset(5)+20); flipBit(m, 1, frameOffset(5)+20) },
			expectation{recordCount: 18, findingCount: 2, file: "ring-0000", offset: frameOffset(5), problem: "segment 1", lost: true}),
		Entry("a byte of the newest segment, with records after it",
			func(m *memfs.FS) { flipBit(m, 3, frameOffset(0)+frameHeaderBytes+9) },
			expectation{recordCount: 18, findingCount: 1, file: "ring-0003", offset: frameOffset(0), problem: oneRecordAfter}),
		Entry("a length in the newest segment, with records after it",
			func(m *memfs.FS) { flipBit(m, 3, frameOffset(0)) },
			expectation{recordCount: 18, findingCount: 1, file: "ring-0003", offset: frameOffset(0), problem: oneRecordAfter}),
		Entry("a generation in the newest segment, with records after it",
			func(m *memfs.FS) { flipBit(m, 3, frameOffset(0)+4) },
			expectation{recordCount: 18, findingCount: 1, file: "ring-0003", offset: frameOffset(0), problem: oneRecordAfter}),
		Entry("zeros over a record of the newest segment", func(m *memfs.FS) {
			clear(m.Data(ringFile(3))[frameOffset(0):frameOffset(1)])
		}, expectation{recordCount: 18, findingCount: 1, file: "ring-0003", offset: frameOffset(0),
			problem: "valid records after it: 1,"}),
		Entry("the header of the oldest segment, which may be missing", func(m *memfs.FS) { flipBit(m, 0, 3) },
			expectation{recordCount: 14, findingCount: 1, file: "ring-0000", offset: 0, problem: "valid records after it: 6 of segment 1"}),
		Entry("the header of a segment between others", func(m *memfs.FS) { flipBit(m, 1, 9) },
			expectation{recordCount: 14, findingCount: 1, file: "ring-0001", offset: 0,
				problem: "valid records after it: 6 of segment 2", lost: true}),
		Entry("the header of the newest segment", func(m *memfs.FS) { flipBit(m, 3, 30) },
			expectation{recordCount: 18, findingCount: 1, file: "ring-0003", offset: 0, problem: "valid records after it: 2 of segment 4"}),
		Entry("the file of a segment between others missing",
			func(m *memfs.FS) { Expect(m.Remove(ringFile(2))).To(Succeed()) },
			expectation{recordCount: 14, findingCount: 1, file: "ring-*", problem: "segment 3 is in no file", lost: true}),
		Entry("the file of the oldest segment missing, as if about to be overwritten", func(m *memfs.FS) {
			Expect(m.Remove(ringFile(0))).To(Succeed())
		}, expectation{recordCount: 14}),
		Entry("a torn tail: the last record partly written", func(m *memfs.FS) {
			clear(m.Data(ringFile(3))[frameOffset(1)+60 : frameOffset(2)])
		}, expectation{recordCount: 19}),
		Entry("the file of the newest segment truncated within a record", func(m *memfs.FS) {
			m.Put(ringFile(3), slices.Clone(m.Data(ringFile(3))[:frameOffset(1)+60]))
		}, expectation{recordCount: 19, findingCount: 1, file: "ring-0003", offset: frameOffset(1), problem: "the file ends at 262"}),
		Entry("the file of a closed segment truncated", func(m *memfs.FS) {
			m.Put(ringFile(1), slices.Clone(m.Data(ringFile(1))[:frameOffset(3)]))
		}, expectation{recordCount: 17, findingCount: 1, file: "ring-0001", offset: frameOffset(3),
			problem: "segment 2", lost: true}),
		Entry("the file of a closed segment truncated to zero", func(m *memfs.FS) { m.Put(ringFile(1), nil) },
			expectation{recordCount: 14, findingCount: 1, file: "ring-*", problem: "segment 2 is in no file", lost: true}),
		Entry("all headers", func(m *memfs.FS) {
			for index := range 4 {
				flipBit(m, index, 0)
			}
		}, expectation{findingCount: 1, file: "ring-0000", offset: 0, problem: "valid records after it: 6 of segment 1"}),
	)

	It("finds a corrupted record of an earlier generation in the newest segment by the generation marker after it", func() {
		files := newRing(2)
		reopenAndAppend(files, 2, 3)
		flipBit(files, 0, frameOffset(1)+frameHeaderBytes+1)
		i, found := mustInspect(files)
		Expect(found).To(Equal(numbersBetween(0, 0)))
		Expect(i.Findings.Listed).To(HaveLen(1))
		Expect(i.Findings.Listed[0].Offset).To(Equal(frameOffset(1)))
		Expect(i.Findings.Listed[0].Problem).To(ContainSubstring("valid records after it: 3,"))
	})

	It("distinguishes leftovers of a power loss and of an earlier lap from kept records", func() {
		random := rand.New(rand.NewPCG(3, 4))
		for seed := range uint64(200) {
			files := memfs.New()
			j, _ := mustOpen(files)
			for n := range 20 + seed {
				for j.FreeSegments() < 2 {
					Expect(j.Reclaim(j.OldestSegment())).To(Succeed())
				}
				mustAppend(j, n, 8+random.IntN(180))
				if random.IntN(3) > 0 {
					Expect(j.Sync()).To(Succeed())
				}
			}
			files.Hook = func(c memfs.Call) memfs.Fault {
				if c.Op == "sync" {
					return memfs.Fault{Err: syscall.EIO}
				}
				return memfs.Fault{}
			}
			_ = j.Sync() // it writes the pending records, and the machine loses power before they are on the disk
			files = files.AfterCrash(memfs.PowerLoss, random)
			i, found := mustInspect(files)
			Expect(i.Lost).To(BeFalse())
			for _, d := range i.Findings.Listed { // a write of several records of which only a later one reached the disk
				Expect(d.Problem).To(ContainSubstring("power lost within a write"), "seed %d", seed)
			}
			_, opened := mustOpen(files)
			Expect(found).To(Equal(opened))
		}
	})

	It("visits the records that Open replays, whatever the files contain", func() {
		random := rand.New(rand.NewPCG(7, 8))
		for seed := range 300 {
			files := newRing(1 + random.Uint64N(22))
			names := files.FileNames()
			for range 1 + random.IntN(4) {
				data := files.Data(names[random.IntN(len(names))])
				offset := random.IntN(len(data))
				for n := range min(1+random.IntN(30), len(data)-offset) {
					data[offset+n] = byte(random.IntN(256))
				}
			}
			i, found := mustInspect(files)
			j, opened := mustOpen(files)
			Expect(found).To(Equal(opened), "seed %d", seed)
			Expect(i.Lost).To(Equal(j.Damaged()), "seed %d", seed)
			if i.Lost {
				Expect(i.Findings.Count).NotTo(BeZero(), "seed %d", seed)
			}
		}
	})

	It("does not report records from before a reset as damage", func() {
		files := newRing(20)
		j, _ := mustOpen(files)
		Expect(j.Reset()).To(Succeed())
		mustAppend(j, 20, 8)
		Expect(j.Sync()).To(Succeed())
		Expect(j.Close()).To(Succeed())
		i, found := mustInspect(files)
		Expect(found).To(Equal(numbersBetween(20, 20)))
		Expect(i.Findings.Count).To(BeZero(), "%+v", i.Findings)
	})

	It("counts all findings and lists the first ones", func() {
		var f journal.Findings
		for n := range journal.MaxListedFindings + 7 {
			f.Add(journal.Finding{Offset: int64(n)})
		}
		Expect(f.Count).To(Equal(journal.MaxListedFindings + 7))
		Expect(f.Listed).To(HaveLen(journal.MaxListedFindings))
		Expect(f.Listed[0].Offset).To(BeZero())
	})

	It("fails on a folder without segment files", func() {
		_, err := journal.Inspect(memfs.New(), dir, func(string, journal.Position, []byte) {})
		Expect(err).To(MatchError(journal.ErrNoRing))
	})
})
