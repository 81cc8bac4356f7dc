package store

import (
	"testing"
	"time"

	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/vfs/memfs"
)

// FuzzReplay checks that replaying arbitrary records does not panic and leaves a table that can be used.
func FuzzReplay(f *testing.F) {
	turn, err := storewire.EncodeTurn(storewire.Turn{ID: "b", Root: "a", Previous: "a", RetentionMillis: 60000, Input: []byte("in")})
	if err != nil {
		f.Fatal(err)
	}
	program, err := programCodec.Encode(storewire.Program{Name: "p", Entries: []byte{0, 0, 0, 0, 0, 0, 0, 1, 4}})
	if err != nil {
		f.Fatal(err)
	}
	meta, err := metaCodec.Encode(metaRecord{ID: "x", Fence: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte{turnKind}, turn...), append([]byte{metaKind}, meta...))
	f.Add(append([]byte{programKind}, program...), []byte{programKind})
	f.Add([]byte{metaKind}, []byte{turnKind, 2, 2})
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		t := newTable(Options{Files: memfs.New(), Dir: "data", Now: func() time.Duration { return 0 }}, minSegmentBytes)
		for i, record := range [][]byte{first, second, first} {
			if len(record) == 0 {
				continue // the journal holds no empty records
			}
			_ = t.replay(journal.Position{Segment: 1, Offset: uint32(i), Length: uint32(len(record))}, record)
		}
		t.recomputePlacement()
		for _, x := range t.turns {
			_ = t.placesOf(x)
		}
	})
}
