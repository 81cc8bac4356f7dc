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
	// Bytes of a header and of the part before a record, as the files have them.
	headerLength = 40
	frameLength  = 12
	// A record of the tables: 6 in a segment of 1,024 bytes.
	recordLength = 150
	frameStep    = frameLength + recordLength
	// oneBehind is said of the first record of the newest segment.
	oneBehind = "1 whole ones stand behind it, from 202 on"
)

// ringOf writes so many records of the same length, synced one by one, and closes the journal.
func ringOf(records uint64) *memfs.Mem {
	files := memfs.New()
	j, _ := mustOpen(files)
	for n := range records {
		mustAppend(j, n, recordLength-8)
		Expect(j.Sync()).To(Succeed())
	}
	Expect(j.Close()).To(Succeed())
	return files
}

// reopened starts a new generation of the ring.
func reopened(files *memfs.Mem, first, last uint64) {
	j, _ := mustOpen(files)
	for n := first; n <= last; n++ {
		mustAppend(j, n, recordLength-8)
		Expect(j.Sync()).To(Succeed())
	}
	Expect(j.Close()).To(Succeed())
}

// inspect fails where anything but reading is done.
func inspect(files *memfs.Mem) (*journal.Inspection, []uint64) {
	files.Hook = func(c memfs.Call) memfs.Verdict {
		Expect(c.Op).To(BeElementOf("list", "open", "read", "size", "close"))
		return memfs.Verdict{}
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

func ringFile(at int) string {
	return filepath.Join(dir, []string{"ring-0000", "ring-0001", "ring-0002", "ring-0003"}[at])
}

// offsetOf is where the n-th frame of a file begins.
func offsetOf(n int) int64 { return headerLength + int64(n)*frameStep }

// flip spoils a byte.
func flip(files *memfs.Mem, file int, offset int64) { files.Data(ringFile(file))[offset] ^= 0x20 }

// damaged is what the tables expect of a ring that was spoilt.
type damaged struct {
	records int    // given
	count   int    // of findings
	file    string // of the first
	offset  int64
	problem string
	lost    bool
}

var _ = Describe("the inspection of a ring", func() {
	It("gives what Open gives, on rings of any length", func() {
		for records := range uint64(23) {
			files := ringOf(records + 1)
			i, found := inspect(files)
			Expect(i.Findings.Count).To(BeZero(), "%d records: %+v", records+1, i.Findings)
			Expect(i.Lost).To(BeFalse())
			_, opened := mustOpen(files)
			Expect(found).To(Equal(opened))
		}
	})

	It("says where each segment ends, and why", func() {
		i, _ := inspect(ringOf(8))
		Expect(i.Files).To(Equal(2))
		Expect(i.Segments).To(Equal([]journal.SegmentSummary{
			{File: "ring-0000", Sequence: 1, FileBytes: segmentBytes, Records: 6, RecordBytes: 6 * recordLength,
				End: offsetOf(6), Stop: journal.StopUnwritten},
			{File: "ring-0001", Sequence: 2, FileBytes: segmentBytes, Records: 2, RecordBytes: 2 * recordLength,
				End: offsetOf(2), Stop: journal.StopUnwritten},
		}))
	})

	DescribeTable("finds what Open can and what it cannot know",
		func(spoil func(*memfs.Mem), expected damaged) {
			files := ringOf(20) // 6, 6, 6 and 2
			spoil(files)
			i, found := inspect(files)
			Expect(found).To(HaveLen(expected.records))
			Expect(i.Findings.Count).To(Equal(expected.count), "%+v", i.Findings)
			Expect(i.Lost).To(Equal(expected.lost))
			j, opened := mustOpen(files)
			Expect(j.Damaged()).To(Equal(expected.lost))
			Expect(found).To(Equal(opened))
			if expected.count == 0 {
				return
			}
			first := i.Findings.Listed[0]
			Expect(first.File).To(Equal(expected.file))
			Expect(first.Offset).To(Equal(expected.offset))
			Expect(first.Problem).To(ContainSubstring(expected.problem))
		},
		Entry("nothing spoilt", func(*memfs.Mem) {}, damaged{records: 20}),
		Entry("a byte of a record in a closed segment",
			func(m *memfs.Mem) { flip(m, 1, offsetOf(2)+frameLength+50) },
			damaged{records: 16, count: 1, file: "ring-0001", offset: offsetOf(2), problem: "segment 2", lost: true}),
		Entry("the length of a record in a closed segment", func(m *memfs.Mem) { flip(m, 0, offsetOf(0)) },
			damaged{records: 14, count: 1, file: "ring-0000", offset: offsetOf(0),
				problem: "it went on to 1012", lost: true}),
		Entry("the checksum of a record in a closed segment", func(m *memfs.Mem) { flip(m, 2, offsetOf(5)+8) },
			damaged{records: 19, count: 1, file: "ring-0002", offset: offsetOf(5), problem: "segment 3", lost: true}),
		Entry("two closed segments", func(m *memfs.Mem) { flip(m, 0, offsetOf(5)+20); flip(m, 1, offsetOf(5)+20) },
			damaged{records: 18, count: 2, file: "ring-0000", offset: offsetOf(5), problem: "segment 1", lost: true}),
		Entry("a byte of the newest segment, with records behind it",
			func(m *memfs.Mem) { flip(m, 3, offsetOf(0)+frameLength+9) },
			damaged{records: 18, count: 1, file: "ring-0003", offset: offsetOf(0), problem: oneBehind}),
		Entry("a length in the newest segment, with records behind it",
			func(m *memfs.Mem) { flip(m, 3, offsetOf(0)) },
			damaged{records: 18, count: 1, file: "ring-0003", offset: offsetOf(0), problem: oneBehind}),
		Entry("a generation in the newest segment, with records behind it",
			func(m *memfs.Mem) { flip(m, 3, offsetOf(0)+4) },
			damaged{records: 18, count: 1, file: "ring-0003", offset: offsetOf(0), problem: oneBehind}),
		Entry("zeros over a record of the newest segment", func(m *memfs.Mem) {
			clear(m.Data(ringFile(3))[offsetOf(0):offsetOf(1)])
		}, damaged{records: 18, count: 1, file: "ring-0003", offset: offsetOf(0),
			problem: "1 whole ones stand behind it"}),
		Entry("the header of the oldest segment, which may be missing", func(m *memfs.Mem) { flip(m, 0, 3) },
			damaged{records: 14, count: 1, file: "ring-0000", offset: 0, problem: "6 whole records of segment 1"}),
		Entry("the header of a segment between others", func(m *memfs.Mem) { flip(m, 1, 9) },
			damaged{records: 14, count: 1, file: "ring-0001", offset: 0,
				problem: "6 whole records of segment 2", lost: true}),
		Entry("the header of the newest segment", func(m *memfs.Mem) { flip(m, 3, 30) },
			damaged{records: 18, count: 1, file: "ring-0003", offset: 0, problem: "2 whole records of segment 4"}),
		Entry("the file of a segment between others gone",
			func(m *memfs.Mem) { Expect(m.Remove(ringFile(2))).To(Succeed()) },
			damaged{records: 14, count: 1, file: "ring-*", problem: "segment 3 is in no file", lost: true}),
		Entry("the file of the oldest segment gone, as if about to be written over", func(m *memfs.Mem) {
			Expect(m.Remove(ringFile(0))).To(Succeed())
		}, damaged{records: 14}),
		Entry("a torn tail: the last record written in part", func(m *memfs.Mem) {
			clear(m.Data(ringFile(3))[offsetOf(1)+60 : offsetOf(2)])
		}, damaged{records: 19}),
		Entry("the file of the newest segment cut within a record", func(m *memfs.Mem) {
			m.Put(ringFile(3), slices.Clone(m.Data(ringFile(3))[:offsetOf(1)+60]))
		}, damaged{records: 19, count: 1, file: "ring-0003", offset: offsetOf(1), problem: "the file ends at 262"}),
		Entry("the file of a closed segment cut", func(m *memfs.Mem) {
			m.Put(ringFile(1), slices.Clone(m.Data(ringFile(1))[:offsetOf(3)]))
		}, damaged{records: 17, count: 1, file: "ring-0001", offset: offsetOf(3),
			problem: "segment 2", lost: true}),
		Entry("the file of a closed segment cut to nothing", func(m *memfs.Mem) { m.Put(ringFile(1), nil) },
			damaged{records: 14, count: 1, file: "ring-*", problem: "segment 2 is in no file", lost: true}),
		Entry("all headers", func(m *memfs.Mem) {
			for at := range 4 {
				flip(m, at, 0)
			}
		}, damaged{count: 1, file: "ring-0000", offset: 0, problem: "6 whole records of segment 1"}),
	)

	It("finds a spoilt record of an earlier generation in the newest segment by the mark behind it", func() {
		files := ringOf(2)
		reopened(files, 2, 3)
		flip(files, 0, offsetOf(1)+frameLength+1)
		i, found := inspect(files)
		Expect(found).To(Equal(upTo(0, 0)))
		Expect(i.Findings.Listed).To(HaveLen(1))
		Expect(i.Findings.Listed[0].Offset).To(Equal(offsetOf(1)))
		Expect(i.Findings.Listed[0].Problem).To(ContainSubstring("3 whole ones stand behind it"))
	})

	It("tells what a loss of power left, and bytes of an earlier lap, from what was kept", func() {
		chance := rand.New(rand.NewPCG(3, 4))
		for seed := range uint64(200) {
			files := memfs.New()
			j, _ := mustOpen(files)
			for n := range 20 + seed {
				for j.FreeSegments() < 2 {
					Expect(j.Reclaim(j.OldestSegment())).To(Succeed())
				}
				mustAppend(j, n, 8+chance.IntN(180))
				if chance.IntN(3) > 0 {
					Expect(j.Sync()).To(Succeed())
				}
			}
			files.Hook = func(c memfs.Call) memfs.Verdict {
				if c.Op == "sync" {
					return memfs.Verdict{Err: syscall.EIO}
				}
				return memfs.Verdict{}
			}
			_ = j.Sync() // it writes what waits, and the machine loses power before that is on the disk
			files = files.After(memfs.Power, chance)
			i, found := inspect(files)
			Expect(i.Lost).To(BeFalse())
			for _, d := range i.Findings.Listed { // a write of several records of which a later one got through
				Expect(d.Problem).To(ContainSubstring("power lost within a write"), "seed %d", seed)
			}
			_, opened := mustOpen(files)
			Expect(found).To(Equal(opened))
		}
	})

	It("gives what Open gives, whatever the files hold", func() {
		chance := rand.New(rand.NewPCG(7, 8))
		for seed := range 300 {
			files := ringOf(1 + chance.Uint64N(22))
			names := files.Names()
			for range 1 + chance.IntN(4) {
				data := files.Data(names[chance.IntN(len(names))])
				at := chance.IntN(len(data))
				for n := range min(1+chance.IntN(30), len(data)-at) {
					data[at+n] = byte(chance.IntN(256))
				}
			}
			i, found := inspect(files)
			j, opened := mustOpen(files)
			Expect(found).To(Equal(opened), "seed %d", seed)
			Expect(i.Lost).To(Equal(j.Damaged()), "seed %d", seed)
			if i.Lost {
				Expect(i.Findings.Count).NotTo(BeZero(), "seed %d", seed)
			}
		}
	})

	It("takes nothing from before a restart of the ring for damage", func() {
		files := ringOf(20)
		j, _ := mustOpen(files)
		Expect(j.Reset()).To(Succeed())
		mustAppend(j, 20, 8)
		Expect(j.Sync()).To(Succeed())
		Expect(j.Close()).To(Succeed())
		i, found := inspect(files)
		Expect(found).To(Equal(upTo(20, 20)))
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

	It("refuses a folder without a ring", func() {
		_, err := journal.Inspect(memfs.New(), dir, func(string, journal.Position, []byte) {})
		Expect(err).To(MatchError(journal.ErrNoRing))
	})
})
