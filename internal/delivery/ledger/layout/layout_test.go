package layout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"emberquay/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// fatal is what a test and a random run have in common.
type fatal interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// disk plays a ledger over a layout: it writes nothing, but counts what would lie on the disk.
type disk struct {
	l    *Layout
	no   uint64
	most int64 // moved within one write
}

func (d *disk) write(t fatal, id string, n int64) {
	moved := int64(0)
	move := func() {
		if id, n := d.l.NextToMove(); id != "" {
			d.append(id, n, d.l.AddMoved)
			moved += n
		}
		if _, ok := d.l.RemovableSegment(); ok {
			d.l.DropOldestSegment()
		}
	}
	for tries := 0; d.l.MustCleanFirst(n); tries++ {
		d.l.CountForced()
		move()
		if tries > 100000 {
			t.Fatalf("cleaning does not end: %+v", d.l.Stats())
		}
	}
	d.append(id, n, d.l.AddWritten)
	for d.l.CleaningDue() {
		move()
	}
	d.most = max(d.most, moved)
	if s := d.l.Stats(); s.UsedBytes > s.MaxBytes {
		t.Fatalf("%d bytes on the disk, %d may be", s.UsedBytes, s.MaxBytes)
	}
	if bad := d.l.CheckInvariants(); bad != "" {
		t.Fatal(bad)
	}
}

func (d *disk) append(id string, n int64, grow func(int64)) {
	if d.l.NeedsNewSegment(n) {
		d.no++
		d.l.StartSegment(d.no, 46)
	}
	grow(n)
	if id != "" {
		d.l.Put(id, n)
	}
}

// Whatever comes: never over the room, what was admitted can end, and what is live stays where it is counted.
func TestNeverOverTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Int64Range(24<<10, 400<<10).Draw(t, "room")
		d := &disk{l: New(Limits{MaxBytes: room, MaxRecordBytes: 8 << 10, GrowthBytes: 300})}
		var held []string
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				k := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				d.write(t, "", 100) // a submit
				d.write(t, "", 60)  // it never ran
				d.l.Drop(held[k])
				d.write(t, "", 60) // the end
				held = append(held[:k], held[k+1:]...)
				continue
			}
			n := rapid.Int64Range(100, 7<<10).Draw(t, "size")
			if d.l.Admits(n) {
				id := fmt.Sprint(i)
				d.write(t, id, n)
				held = append(held, id)
			}
		}
	})
}

// Live bytes fill at least four fifths of three megabytes, with small texts and with the largest.
func TestFillsTheRoom(t *testing.T) {
	for _, size := range []int64{400, 66 << 10} {
		d := &disk{l: New(Limits{MaxBytes: 3e6, MaxRecordBytes: 84 << 10, GrowthBytes: 72})}
		for i := 0; d.l.Admits(size); i++ {
			d.write(t, fmt.Sprint(i), size)
		}
		if s := d.l.Stats(); float64(s.LiveBytes) < 0.8*3e6*float64(size)/float64(size+72) {
			t.Errorf("texts of %d bytes: %d bytes are live of %d", size, s.LiveBytes, s.MaxBytes)
		}
	}
}

// With four fifths of the room held for long, writing goes on with little moved at a time, and hardly ever all at once.
func TestCleaningGoesAlong(t *testing.T) {
	{
		d := &disk{l: New(Limits{MaxBytes: 3e6, MaxRecordBytes: 84 << 10, GrowthBytes: 72})}
		for i := range 2400 {
			d.write(t, fmt.Sprint("held", i), 1000)
		}
		d.most = 0
		for i := range 20000 {
			id := fmt.Sprint("t", i)
			d.write(t, id, 400)
			d.l.Drop(id)
			d.write(t, "", 60)
		}
		s := d.l.Stats()
		if d.most > 4*d.l.limits.MaxStepBytes || s.ForcedCleanings > 40000/500 {
			t.Errorf("%d bytes moved at once, step %d: %+v", d.most, d.l.limits.MaxStepBytes, s)
		}
		if amplified := float64(s.WrittenBytes) / float64(s.WrittenBytes-s.MovedBytes); amplified > 15 {
			t.Errorf("each byte is written %.1f times", amplified)
		}
	}
}

// With little live, little lies on the disk: a start reads what counts, not all that ever was.
func TestLittleLiveLittleOnTheDisk(t *testing.T) {
	{
		d := &disk{l: New(Limits{MaxBytes: 1 << 30, MaxRecordBytes: 84 << 10, SegmentBytes: 64 << 10, GrowthBytes: 72})}
		for i := range 20000 {
			id := fmt.Sprint(i)
			d.write(t, id, 400)
			d.l.Drop(id)
		}
		if s := d.l.Stats(); s.UsedBytes > 10*64<<10 {
			t.Errorf("%+v", s)
		}
	}
}
