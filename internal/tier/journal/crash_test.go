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

// lives is how many runs of several processes on one disk are drawn; each ends at a random call, at a random byte of it.
const lives = 1500

var _ = Describe("a journal whose process ends at any call", func() {
	It("has all that was synced, in order, without a gap, and nothing else", func() {
		for seed := range uint64(lives) {
			Expect(live(seed)).To(Succeed(), fmt.Sprintf("seed %d", seed))
		}
	})
})

// losses is how many losses of power are drawn for the shortest story that could bring a lost record back.
const losses = 4000

var _ = Describe("a record that was lost", func() {
	It("does not come back behind one of a later process", func() {
		for seed := range uint64(losses) {
			random := rand.New(rand.NewPCG(seed, 6))
			files := memfs.New()
			j, _ := mustOpen(files)
			mustAppend(j, 0, 4)
			Expect(j.Sync()).To(Succeed())
			for n := uint64(1); n < 7; n += 3 {
				files = loseBehind(files, random, n)
			}
			_, found := mustOpen(files)
			for at := 1; at < len(found); at++ {
				if found[at]%3 == 2 { // it was appended right behind the one before
					Expect(found[at-1]).To(Equal(found[at]-1), fmt.Sprintf("seed %d: %v", seed, found))
				}
			}
		}
	})
})

// loseBehind appends two records, loses power, and appends one of any length.
func loseBehind(files *memfs.Mem, random *rand.Rand, n uint64) *memfs.Mem {
	j, _ := mustOpen(chopping{files, random})
	mustAppend(j, n, 16)
	mustAppend(j, n+1, 16)
	calls := random.IntN(16)
	files.Hook = func(memfs.Call) memfs.Verdict {
		calls--
		return memfs.Verdict{Crash: calls < 0}
	}
	if j.Sync() == nil {
		files.Hook = nil
	}
	files = files.After(memfs.Power, random)
	j, _ = mustOpen(files)
	mustAppend(j, n+2, 4+pieceBytes*random.IntN(4))
	Expect(j.Sync()).To(Succeed())
	Expect(j.Close()).To(Succeed())
	return files
}

// model is what must be found: records from kept on, up to synced at least and appended at most, each as it was appended
// last. A record that was lost has its number given again, to one of other bytes.
type model struct {
	kept, synced, next uint64
	process            byte
	appended           map[uint64][]byte
	wrong              error
}

// numbered is a record of this process.
func (m *model) numbered(length int) []byte {
	b := binary.BigEndian.AppendUint64(nil, m.next)
	b = append(b, bytes.Repeat([]byte{m.process}, length)...)
	m.appended[m.next] = b
	return b
}

// open opens the journal and gives the numbers found.
func (m *model) open(files vfs.FS) (*journal.Journal, []uint64, error) {
	var found []uint64
	j, err := journal.Open(options(files), func(_ journal.Position, b []byte) error {
		n := binary.BigEndian.Uint64(b)
		if !bytes.Equal(b, m.appended[n]) {
			m.wrong = fmt.Errorf("record %d is one that was lost", n)
		}
		found = append(found, n)
		return nil
	})
	return j, found, err
}

func live(seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 5))
	files := memfs.New()
	m := &model{appended: map[uint64][]byte{}}
	for range 6 {
		calls := random.IntN(150)
		files.Hook = func(c memfs.Call) memfs.Verdict {
			if calls--; calls < 0 {
				return memfs.Verdict{Crash: true, Partly: random.IntN(c.Bytes + 1)}
			}
			return memfs.Verdict{}
		}
		j, found, err := m.open(chopping{files, random})
		if err == nil {
			if err := m.check(j, found); err != nil {
				return err
			}
			m.write(j, random)
		}
		mode := memfs.Process
		if random.IntN(2) == 0 {
			mode = memfs.Power
		}
		files = files.After(mode, random)
	}
	j, found, err := m.open(chopping{files, random})
	if err != nil {
		return err
	}
	return m.check(j, found)
}

// check holds what was found against the model and goes on from there.
func (m *model) check(j *journal.Journal, found []uint64) error {
	m.process++
	if m.wrong != nil {
		return m.wrong
	}
	if j.Damaged() {
		return fmt.Errorf("damaged: found %v, synced up to %d", found, m.synced)
	}
	for at := 1; at < len(found); at++ {
		if found[at] != found[at-1]+1 {
			return fmt.Errorf("found %v", found)
		}
	}
	if len(found) == 0 {
		if m.synced > m.kept {
			return fmt.Errorf("found nothing, %d to %d were synced", m.kept, m.synced)
		}
		m.next = m.synced
		return nil
	}
	first, last := found[0], found[len(found)-1]
	if first > m.kept || last >= m.next || last+1 < m.synced {
		return fmt.Errorf("found %d to %d, model %+v", first, last, *m)
	}
	m.next, m.synced = last+1, last+1
	return nil
}

// write appends, syncs and reclaims until the process ends.
func (m *model) write(j *journal.Journal, random *rand.Rand) {
	firsts := map[uint64]uint64{} // segment -> first record appended to it by this process
	for range 200 {
		for j.FreeSegments() < 2 && j.OldestSegment() < j.NewestSegment() {
			oldest := j.OldestSegment()
			first, known := firsts[oldest+1]
			if !known {
				first = m.kept
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
			m.kept = max(m.kept, first)
		}
		p, err := j.Append(m.numbered(4 + pieceBytes*random.IntN(8)))
		if err != nil {
			return
		}
		if _, ok := firsts[p.Segment]; !ok {
			firsts[p.Segment] = m.next
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
