package journal_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"emberquay/internal/tier/journal"
	"emberquay/internal/vfs"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashRuns is the number of random runs. In each, several processes in turn use one disk, and each crashes at a random
// byte of a random call.
const crashRuns = 1500

var _ = Describe("a journal whose process crashes at any call", func() {
	It("replays all synced records, in order, without a gap, and nothing else", func() {
		for seed := range uint64(crashRuns) {
			Expect(runCrashes(seed)).To(Succeed(), fmt.Sprintf("seed %d", seed))
		}
	})
})

// powerLossRuns is the number of random runs of the shortest sequence that could bring a lost record back: two records
// appended, the first lost by a power loss, and another one written in its place by the next process.
const powerLossRuns = 4000

var _ = Describe("a lost record", func() {
	It("is not replayed after a record of a later process", func() {
		for seed := range uint64(powerLossRuns) {
			random := rand.New(rand.NewPCG(seed, 6))
			files := memfs.New()
			j, _ := mustOpen(files)
			mustAppend(j, 0, 4)
			Expect(j.Sync()).To(Succeed())
			for n := uint64(1); n < 7; n += 3 {
				files = losePowerAndAppend(files, random, n)
			}
			_, found := mustOpen(files)
			for i := 1; i < len(found); i++ {
				if found[i]%3 == 2 { // it was appended right after the one before
					Expect(found[i-1]).To(Equal(found[i]-1), fmt.Sprintf("seed %d: %v", seed, found))
				}
			}
		}
	})
})

// losePowerAndAppend appends two records, loses power, reopens and appends one of random length.
func losePowerAndAppend(files *memfs.FS, random *rand.Rand, n uint64) *memfs.FS {
	j, _ := mustOpen(splitWrites{files, random})
	mustAppend(j, n, 16)
	mustAppend(j, n+1, 16)
	calls := random.IntN(16)
	files.Hook = func(memfs.Call) memfs.Fault {
		calls--
		return memfs.Fault{Crash: calls < 0}
	}
	if j.Sync() == nil {
		files.Hook = nil
	}
	files = files.AfterCrash(memfs.PowerLoss, random)
	j, _ = mustOpen(files)
	mustAppend(j, n+2, 4+pieceBytes*random.IntN(4))
	Expect(j.Sync()).To(Succeed())
	Expect(j.Close()).To(Succeed())
	return files
}

// model is the expected content: records from firstKept on, at least up to synced and at most up to next, each as last
// appended. The number of a lost record is reused for one with other bytes.
type model struct {
	firstKept, synced, next uint64
	process                 byte
	appended                map[uint64][]byte
	contentErr              error
}

// newRecord returns the next record, with bytes that identify this process.
func (m *model) newRecord(length int) []byte {
	b := binary.BigEndian.AppendUint64(nil, m.next)
	b = append(b, bytes.Repeat([]byte{m.process}, length)...)
	m.appended[m.next] = b
	return b
}

// open opens the journal and returns the numbers of the replayed records.
func (m *model) open(files vfs.FS) (*journal.Journal, []uint64, error) {
	var found []uint64
	j, err := journal.Open(options(files), func(_ journal.Position, b []byte) error {
		n := binary.BigEndian.Uint64(b)
		if !bytes.Equal(b, m.appended[n]) {
			m.contentErr = fmt.Errorf("record %d has the bytes of a lost record", n)
		}
		found = append(found, n)
		return nil
	})
	return j, found, err
}

func runCrashes(seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 5))
	files := memfs.New()
	m := &model{appended: map[uint64][]byte{}}
	for range 6 {
		calls := random.IntN(150)
		files.Hook = func(c memfs.Call) memfs.Fault {
			if calls--; calls < 0 {
				return memfs.Fault{Crash: true, PartialBytes: random.IntN(c.Bytes + 1)}
			}
			return memfs.Fault{}
		}
		j, found, err := m.open(splitWrites{files, random})
		if err == nil {
			if err := m.check(j, found); err != nil {
				return err
			}
			m.write(j, random)
		}
		mode := memfs.ProcessCrash
		if random.IntN(2) == 0 {
			mode = memfs.PowerLoss
		}
		files = files.AfterCrash(mode, random)
	}
	j, found, err := m.open(splitWrites{files, random})
	if err != nil {
		return err
	}
	return m.check(j, found)
}

// check compares the replayed records with the model and continues from there.
func (m *model) check(j *journal.Journal, found []uint64) error {
	m.process++
	if m.contentErr != nil {
		return m.contentErr
	}
	if j.Damaged() {
		return fmt.Errorf("damaged: found %v, synced up to %d", found, m.synced)
	}
	for i := 1; i < len(found); i++ {
		if found[i] != found[i-1]+1 {
			return fmt.Errorf("found %v", found)
		}
	}
	if len(found) == 0 {
		if m.synced > m.firstKept {
			return fmt.Errorf("found nothing, %d to %d were synced", m.firstKept, m.synced)
		}
		m.next = m.synced
		return nil
	}
	first, last := found[0], found[len(found)-1]
	if first > m.firstKept || last >= m.next || last+1 < m.synced {
		return fmt.Errorf("found %d to %d, model %+v", first, last, *m)
	}
	m.next, m.synced = last+1, last+1
	return nil
}

// write appends, syncs and reclaims until the process crashes.
func (m *model) write(j *journal.Journal, random *rand.Rand) {
	firstRecords := map[uint64]uint64{} // segment -> first record appended to it by this process
	for range 200 {
		for j.FreeSegments() < 2 && j.OldestSegment() < j.NewestSegment() {
			oldest := j.OldestSegment()
			first, known := firstRecords[oldest+1]
			if !known {
				first = m.firstKept
				if j.Scan(oldest, func(_ journal.Position, b []byte) error {
					first = max(first, binary.BigEndian.Uint64(b)+1)
					return nil
				}) != nil {
					return
				}
			}
			if m.synced < first {
				if j.Sync() != nil {
					return
				}
				m.synced = m.next
			}
			if j.Reclaim(oldest) != nil {
				return
			}
			m.firstKept = max(m.firstKept, first)
		}
		p, err := j.Append(m.newRecord(4 + pieceBytes*random.IntN(8)))
		if err != nil {
			return
		}
		if _, ok := firstRecords[p.Segment]; !ok {
			firstRecords[p.Segment] = m.next
		}
		m.next++
		if random.IntN(3) == 0 {
			if j.Sync() != nil {
				return
			}
			m.synced = m.next
		}
	}
}
