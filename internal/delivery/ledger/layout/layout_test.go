package layout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"emberquay/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// testingT is what testing.T and rapid.T have in common.
type testingT interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// fakeDisk simulates a ledger with a layout: it writes nothing but counts the disk usage.
type fakeDisk struct {
	layout   *Layout
	segments uint64
	maxMoved int64 // most bytes moved within one write
}

func (d *fakeDisk) write(t testingT, id string, n int64) {
	moved := int64(0)
	move := func() {
		if id, n := d.layout.NextToMove(); id != "" {
			d.append(id, n, d.layout.AddMoved)
			moved += n
		}
		if _, ok := d.layout.RemovableSegment(); ok {
			d.layout.DropOldestSegment()
		}
	}
	for tries := 0; d.layout.MustCleanFirst(n); tries++ {
		d.layout.CountForced()
		move()
		if tries > 100000 {
			t.Fatalf("cleaning does not end: %+v", d.layout.Stats())
		}
	}
	d.append(id, n, d.layout.AddWritten)
	for d.layout.CleaningDue() {
		move()
	}
	d.maxMoved = max(d.maxMoved, moved)
	if s := d.layout.Stats(); s.UsedBytes > s.MaxBytes {
		t.Fatalf("%d bytes on disk, limit %d", s.UsedBytes, s.MaxBytes)
	}
	if bad := d.layout.CheckInvariants(); bad != "" {
		t.Fatal(bad)
	}
}

func (d *fakeDisk) append(id string, n int64, account func(int64)) {
	if d.layout.NeedsNewSegment(n) {
		d.segments++
		d.layout.StartSegment(d.segments, 46)
	}
	account(n)
	if id != "" {
		d.layout.Put(id, n)
	}
}

// With random texts the space is never exceeded, every accepted text can end, and the sums of the layout agree.
func TestNeverExceedsTheSpace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.Int64Range(24<<10, 400<<10).Draw(t, "room")
		d := &fakeDisk{layout: New(Limits{MaxBytes: maxBytes, MaxRecordBytes: 8 << 10, GrowthBytes: 300})}
		var held []string
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				k := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				d.write(t, "", 100) // an attempt
				d.write(t, "", 60)  // it did not run
				d.layout.Drop(held[k])
				d.write(t, "", 60) // the end
				held = append(held[:k], held[k+1:]...)
				continue
			}
			n := rapid.Int64Range(100, 7<<10).Draw(t, "size")
			if d.layout.Admits(n) {
				id := fmt.Sprint(i)
				d.write(t, id, n)
				held = append(held, id)
			}
		}
	})
}

// Live bytes fill at least four fifths of three megabytes, with small texts and with the largest.
func TestUsesMostOfTheSpace(t *testing.T) {
	for _, size := range []int64{400, 66 << 10} {
		d := &fakeDisk{layout: New(Limits{MaxBytes: 3e6, MaxRecordBytes: 84 << 10, GrowthBytes: 72})}
		for i := 0; d.layout.Admits(size); i++ {
			d.write(t, fmt.Sprint(i), size)
		}
		if s := d.layout.Stats(); float64(s.LiveBytes) < 0.8*3e6*float64(size)/float64(size+72) {
			t.Errorf("texts of %d bytes: %d bytes are live of %d", size, s.LiveBytes, s.MaxBytes)
		}
	}
}

// With four fifths of the space live for long, writing continues with little moved at a time, and rarely all at once.
func TestCleaningIsSpreadOverWrites(t *testing.T) {
	{
		d := &fakeDisk{layout: New(Limits{MaxBytes: 3e6, MaxRecordBytes: 84 << 10, GrowthBytes: 72})}
		for i := range 2400 {
			d.write(t, fmt.Sprint("held", i), 1000)
		}
		d.maxMoved = 0
		for i := range 20000 {
			id := fmt.Sprint("t", i)
			d.write(t, id, 400)
			d.layout.Drop(id)
			d.write(t, "", 60)
		}
		s := d.layout.Stats()
		if d.maxMoved > 4*d.layout.limits.MaxStepBytes || s.ForcedCleanings > 40000/500 {
			t.Errorf("%d bytes moved at once, step %d: %+v", d.maxMoved, d.layout.limits.MaxStepBytes, s)
		}
		if amplified := float64(s.WrittenBytes) / float64(s.WrittenBytes-s.MovedBytes); amplified > 15 {
			t.Errorf("each byte is written %.1f times", amplified)
		}
	}
}

// With few live bytes the disk usage is small: a start reads the live records, not all that were ever written.
func TestDiskUsageFollowsLiveBytes(t *testing.T) {
	{
		d := &fakeDisk{layout: New(Limits{MaxBytes: 1 << 30, MaxRecordBytes: 84 << 10, SegmentBytes: 64 << 10, GrowthBytes: 72})}
		for i := range 20000 {
			id := fmt.Sprint(i)
			d.write(t, id, 400)
			d.layout.Drop(id)
		}
		if s := d.layout.Stats(); s.UsedBytes > 10*64<<10 {
			t.Errorf("%+v", s)
		}
	}
}
