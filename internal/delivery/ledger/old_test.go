package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"testing"

	"emberquay/internal/vfs/memfs"
)

// legacyRecord returns a record in the legacy format.
func legacyRecord(kind byte, payload []byte) []byte {
	p := append([]byte{kind}, payload...)
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(p)))
	return append(binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(p)), p...)
}

func legacyText(id string) []byte {
	return legacyRecord(kindAccepted, (&Text{ID: id, Body: []byte("body of " + id), AcceptedAt: 40}).toRecord().payload)
}

// randomBytes returns the same bytes on every run.
func randomBytes(size int) []byte {
	rng := rand.New(rand.NewPCG(4096, 7))
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// Damage in a legacy file is reported, and the texts before it are served as possibly run since.
func TestDamagedLegacyFile(t *testing.T) {
	a, b, c := legacyText("a"), legacyText("b"), legacyText("c")
	flipped := slices.Concat(a, b, c)
	flipped[len(a)+20] ^= 1
	longer := slices.Concat(a, b, c)
	longer[len(a)+1] ^= 0x40 // length of b, which now ends after the end of the file
	cases := []struct {
		name string
		raw  []byte
		want string // ids of the served texts
		bad  string
	}{
		{"noise", randomBytes(4096), "[]", "4096 bytes from byte 0 on are no records"},
		{"noise behind records", slices.Concat(a, b, randomBytes(4096)), "[a b]", fmt.Sprintf("4096 bytes from byte %d on are no records", len(a)+len(b))},
		{"a bit in the middle", flipped, "[a]", fmt.Sprintf("%d bytes from byte %d on are no records", len(b)+len(c), len(a))},
		{"a length in the middle", longer, "[a]", fmt.Sprintf("%d bytes from byte %d on are no records", len(b)+len(c), len(a))},
		{"a record that makes no sense", slices.Concat(a, legacyRecord('?', []byte("{}")), c), "[a]", fmt.Sprintf("%d bytes from byte %d on are no records", 11+len(c), len(a))},
		{"zeros and a record", slices.Concat(a, make([]byte, 600), c), "[a]", fmt.Sprintf("%d bytes from byte %d on are no records", 600+len(c), len(a))},
	}
	for _, x := range cases {
		m := memfs.New()
		m.Put("state/ledger", x.raw)
		found, texts, _, err := Inspect(m, dir)
		if err != nil || found.Intact() || found.OldBad != x.bad || fmt.Sprint(ids(texts)) != x.want {
			t.Errorf("%s: %v %+v %v", x.name, err, found, ids(texts))
		}
		l, err := Open(m, dir, Options{MaxBytes: testMaxBytes})
		if err != nil {
			t.Fatal(err)
		}
		served, _ := l.Unfinished()
		if l.LegacyDamage() != x.bad || fmt.Sprint(ids(served)) != x.want {
			t.Errorf("%s: %q %v", x.name, l.LegacyDamage(), ids(served))
		}
		for _, one := range served {
			if one.FirstRunAt == 0 {
				t.Errorf("%s: %s counts as not run", x.name, one.ID)
			}
		}
		l.Close()
		if kept := m.Data("state/bad-ledger"); !bytes.Equal(kept, x.raw) || slices.Contains(m.FileNames(), "state/ledger") {
			t.Errorf("%s: %d bytes set aside of %d, %v", x.name, len(kept), len(x.raw), m.FileNames())
		}
		if l, err = Open(m, dir, Options{MaxBytes: testMaxBytes}); err != nil || l.LegacyDamage() != "" {
			t.Errorf("%s: the next start %v %q", x.name, err, l.LegacyDamage())
		}
	}
}

// A last record truncated anywhere by the end of the process was never acknowledged.
func TestTruncatedLegacyFile(t *testing.T) {
	a, b := legacyText("a"), legacyText("b")
	for end := range len(b) {
		m := memfs.New()
		m.Put("state/ledger", slices.Concat(a, b[:end]))
		found, texts, _, err := Inspect(m, dir)
		if err != nil || !found.Intact() || found.Torn != int64(end) || fmt.Sprint(ids(texts)) != "[a]" || texts[0].FirstRunAt != 0 {
			t.Fatalf("%d of %d bytes: %v %+v %v", end, len(b), err, found, ids(texts))
		}
	}
	m := memfs.New()
	m.Put("state/ledger", slices.Concat(a, make([]byte, 3000)))
	if found, _, _, err := Inspect(m, dir); err != nil || !found.Intact() || found.Torn != 3000 {
		t.Errorf("zeros at the end: %v %+v", err, found)
	}
}

// If the power fails at any point while a damaged file is migrated, the readable texts are served and no byte of it is lost.
func TestCrashWhileMigratingADamagedLegacyFile(t *testing.T) {
	raw := slices.Concat(legacyText("a"), randomBytes(4096))
	for crash := range 60 {
		m := memfs.New()
		m.Put("state/ledger", raw)
		m.Hook = func(c memfs.Call) memfs.Fault { return memfs.Fault{Crash: c.Index == crash, PartialBytes: c.Bytes / 2} }
		Open(m, dir, Options{MaxBytes: testMaxBytes})
		m = m.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(uint64(crash), 2)))
		l := openLedger(t, m, false)
		if texts, _ := l.Unfinished(); fmt.Sprint(ids(texts)) != "[a]" || texts[0].FirstRunAt == 0 {
			t.Fatalf("crash at call %d: %+v", crash, texts)
		}
		if kept := m.Data("state/bad-ledger"); !bytes.Equal(kept, raw) || slices.Contains(m.FileNames(), "state/ledger") {
			t.Fatalf("crash at call %d: %d bytes set aside, %v", crash, len(kept), m.FileNames())
		}
	}
}
