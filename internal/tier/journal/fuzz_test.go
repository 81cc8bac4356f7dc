package journal_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	"emberquay/internal/tier/journal"
	"emberquay/internal/vfs/memfs"
)

// FuzzOpen: a disk with some bytes spoilt opens, gives only whole records in their order, and takes new ones.
func FuzzOpen(f *testing.F) {
	f.Add(uint8(0), uint16(0), []byte{})
	f.Add(uint8(0), uint16(8), []byte{0xff, 0xff, 0xff, 0xff})
	f.Add(uint8(1), uint16(60), bytes.Repeat([]byte{0}, 200))
	f.Add(uint8(3), uint16(1000), bytes.Repeat([]byte{7}, 100))
	f.Fuzz(func(t *testing.T, ring uint8, at uint16, bytesThere []byte) {
		files := memfs.New()
		fill(t, files)
		names := files.Names()
		name := names[int(ring)%len(names)]
		data := bytes.Clone(files.Data(name))
		from := min(int(at), len(data))
		copy(data[from:], bytesThere)
		files.Put(name, data)
		var before uint64
		j, err := journal.Open(options(files), func(_ journal.Position, b []byte) error {
			n := binary.BigEndian.Uint64(b)
			if !bytes.Equal(b, record(n, 40)) || n <= before {
				t.Fatalf("record %d comes as %x after %d", n, b, before)
			}
			before = n
			return nil
		})
		if err != nil {
			return // refused as a whole: nothing wrong was given out
		}
		defer j.Close()
		if _, err := j.Append(record(99, 40)); err == nil {
			if err := j.Sync(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// fill writes some laps of records, all synced.
func fill(t *testing.T, files *memfs.Mem) {
	j, err := journal.Open(options(files), func(journal.Position, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 60; n++ {
		for j.FreeSegments() < 1 {
			if err := j.Reclaim(j.OldestSegment()); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := j.Append(record(n, 40)); err != nil {
			t.Fatal(err)
		}
		if err := j.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}
