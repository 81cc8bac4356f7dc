package journal_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	"emberquay/internal/tier/journal"
	"emberquay/internal/vfs/memfs"
)

// FuzzOpen checks that a journal with corrupted bytes replays only intact records in order and accepts new ones.
func FuzzOpen(f *testing.F) {
	f.Add(uint8(0), uint16(0), []byte{})
	f.Add(uint8(0), uint16(8), []byte{0xff, 0xff, 0xff, 0xff})
	f.Add(uint8(1), uint16(60), bytes.Repeat([]byte{0}, 200))
	f.Add(uint8(3), uint16(1000), bytes.Repeat([]byte{7}, 100))
	f.Fuzz(func(t *testing.T, fileIndex uint8, offset uint16, replacement []byte) {
		files := memfs.New()
		writeRecords(t, files)
		names := files.FileNames()
		name := names[int(fileIndex)%len(names)]
		data := bytes.Clone(files.Data(name))
		start := min(int(offset), len(data))
		copy(data[start:], replacement)
		files.Put(name, data)
		var previous uint64
		j, err := journal.Open(options(files), func(_ journal.Position, b []byte) error {
			n := binary.BigEndian.Uint64(b)
			if !bytes.Equal(b, record(n, 40)) || n <= previous {
				t.Fatalf("record %d replayed as %x after record %d", n, b, previous)
			}
			previous = n
			return nil
		})
		if err != nil {
			return // Open failed: no corrupted record was replayed
		}
		defer j.Close()
		if _, err := j.Append(record(99, 40)); err == nil {
			if err := j.Sync(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// writeRecords fills the ring for several laps, syncing each record.
func writeRecords(t *testing.T, files *memfs.FS) {
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
