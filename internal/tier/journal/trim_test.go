package journal_test

import (
	"math/rand/v2"
	"syscall"

	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against room that is lost with each restart: by a tail that nobody needs, or by empty segments (review/6).
var _ = Describe("the newest segments", func() {
	It("can be dropped after a start, and their records are not replayed again", func() {
		disk := memfs.New()
		j, _ := mustOpen(disk)
		mustAppend(j, 1, 100)
		Expect(j.StartSegment()).To(Succeed())
		first := j.NewestSegment()
		mustAppend(j, 2, 900) // fills the segment
		mustAppend(j, 3, 900)
		Expect(j.Sync()).To(Succeed())
		Expect(j.Close()).To(Succeed())

		j, found := mustOpen(disk)
		Expect(found).To(Equal(numbersBetween(1, 3)))
		free := j.FreeSegments()
		Expect(j.DropNewest(first)).To(Succeed())
		Expect(j.FreeSegments()).To(Equal(free + 2))
		mustAppend(j, 4, 100)
		Expect(j.StartSegment()).To(Succeed()) // with the sequence number of a dropped one
		mustAppend(j, 5, 100)
		Expect(j.Sync()).To(Succeed())
		Expect(j.Close()).To(Succeed())

		j, found = mustOpen(disk)
		Expect(found).To(Equal([]uint64{1, 4, 5}))
		Expect(j.Damaged()).To(BeFalse())
	})

	It("leave no gap if dropping them is interrupted at any call", func() {
		for failing := range 6 {
			disk := memfs.New()
			j, _ := mustOpen(disk)
			mustAppend(j, 1, 100)
			Expect(j.StartSegment()).To(Succeed())
			first := j.NewestSegment()
			mustAppend(j, 2, 900)
			mustAppend(j, 3, 900)
			Expect(j.Sync()).To(Succeed())
			Expect(j.Close()).To(Succeed())
			j, _ = mustOpen(disk)
			calls := 0
			disk.Hook = func(memfs.Call) memfs.Fault {
				if calls++; calls > failing {
					return memfs.Fault{Err: syscall.EIO}
				}
				return memfs.Fault{}
			}
			_ = j.DropNewest(first)
			j, found := mustOpen(disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(uint64(failing), 1))))
			Expect(j.Damaged()).To(BeFalse())
			Expect(found[0]).To(BeEquivalentTo(1))
			Expect(found).To(Equal(numbersBetween(1, uint64(len(found)))))
		}
	})

	It("are not started anew while they are empty", func() {
		disk := memfs.New()
		for range 2 * segments {
			j, _ := mustOpen(disk)
			Expect(j.StartSegment()).To(Succeed())
			Expect(j.NewestIsEmpty()).To(BeTrue())
			Expect(j.FreeSegments()).To(Equal(segments - 1))
			Expect(j.Sync()).To(Succeed())
			Expect(j.Close()).To(Succeed())
		}
	})
})
