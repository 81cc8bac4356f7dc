package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"emberquay/control"
	"emberquay/internal/delivery/ledger/layout"
	"emberquay/internal/rapidseed"
	"emberquay/internal/vfs"
	"emberquay/internal/vfs/memfs"
)

func TestMain(m *testing.M) {
	rapidseed.SetSeed()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

const dir = "state"

// testMaxBytes is the size of the ledgers here: small enough that cleaning happens all the time.
const testMaxBytes = 48 << 10

type testingT interface {
	Helper()
	Fatalf(string, ...any)
}

func openLedger(t testingT, m vfs.FS, powerLossSafe bool) *Ledger {
	t.Helper()
	l, err := Open(m, dir, Options{MaxBytes: testMaxBytes, PowerLossSafe: powerLossSafe})
	if err != nil {
		t.Fatalf("%v", err)
	}
	return l
}

// expectation is the state of a text or notice that a start after a crash must find.
type expectation struct {
	held       bool // a text is held; else a notice is owed
	ended      bool // neither
	body       []byte
	attempts   int
	firstRunAt control.Time
	tentative  bool // firstRunAt is that of the attempt in flight
}

func (p expectation) String() string {
	return fmt.Sprintf("held=%v ended=%v body=%d attempts=%d firstRunAt=%d", p.held, p.ended, len(p.body), p.attempts, p.firstRunAt)
}

// workload runs calls on a ledger and tracks the state that is guaranteed, and the possible states from calls not yet
// acknowledged: any of them may be found.
type workload struct {
	powerLossSafe bool
	guaranteed    map[string]expectation // after the last Sync, or at once if only the process ends
	unsynced      map[string]expectation // of calls that returned, not synced
	possible      map[string][]expectation
}

func newWorkload(powerLossSafe bool) *workload {
	return &workload{powerLossSafe: powerLossSafe, guaranteed: map[string]expectation{}, unsynced: map[string]expectation{}, possible: map[string][]expectation{}}
}

func (s *workload) current(id string) (expectation, bool) {
	if p, ok := s.unsynced[id]; ok {
		return p, ok
	}
	p, ok := s.guaranteed[id]
	return p, ok
}

// call makes one call on the ledger; next is the state of the text once it returns.
func (s *workload) call(id string, next expectation, do func() error) error {
	s.possible[id] = append(s.possible[id], next)
	err := do()
	if err == nil {
		s.unsynced[id] = next
	}
	if !s.powerLossSafe && err == nil {
		s.guaranteed[id] = next
		delete(s.possible, id)
	}
	return err
}

func (s *workload) sync(l *Ledger) error {
	err := l.Sync()
	if err == nil {
		for id, p := range s.unsynced {
			s.guaranteed[id] = p
			delete(s.possible, id)
		}
		clear(s.unsynced)
	}
	return err
}

// check compares what a start finds with the allowed states.
func (s *workload) check(t testingT, l *Ledger, what string) {
	t.Helper()
	texts, notices := l.Unfinished()
	found := map[string]expectation{}
	for _, x := range texts {
		found[x.ID] = expectation{held: true, body: x.Body, attempts: x.Attempts, firstRunAt: x.FirstRunAt}
	}
	for _, n := range notices {
		if _, both := found[n.ID]; both {
			t.Fatalf("%s: %s is held and a notice of it is owed", what, n.ID)
		}
		found[n.ID] = expectation{}
	}
	ids := map[string]bool{}
	for id := range found {
		ids[id] = true
	}
	for id := range s.guaranteed {
		ids[id] = true
	}
	for id := range ids {
		allowed := slices.Clone(s.possible[id])
		if p, ok := s.guaranteed[id]; ok {
			allowed = append(allowed, p)
		} else {
			allowed = append(allowed, expectation{ended: true}) // nothing was acknowledged
		}
		got, present := found[id]
		got.ended = !present
		if !slices.ContainsFunc(allowed, func(p expectation) bool {
			return p.held == got.held && p.ended == got.ended && (!p.held || bytes.Equal(p.body, got.body) && p.attempts == got.attempts && p.firstRunAt == got.firstRunAt)
		}) {
			t.Fatalf("%s: found %s as %+v, allowed are %+v", what, id, got, allowed)
		}
	}
}

// run runs the scripted workload: texts of all sizes that are attempted, answered and ended, with and without notice; some
// are held throughout, and several times the space is written, so that all records are moved and removed.
func (s *workload) run(l *Ledger, steps int) error {
	rng := rand.New(rand.NewPCG(3, 3))
	var held []string
	unexpected := func(err error) bool { return err != nil && !errors.Is(err, ErrFull) }
	for i := range steps {
		id := fmt.Sprint("t", i)
		body := bytes.Repeat([]byte{byte(i)}, []int{20, 200, 900, 3000}[rng.IntN(4)])
		p := expectation{held: true, body: body}
		if err := s.call(id, p, func() error { return l.RecordAccepted(&Text{ID: id, Body: body, ValidUntil: 5}) }); err == nil {
			held = append(held, id)
		} else if unexpected(err) {
			return err
		}
		if len(held) == 0 {
			continue
		}
		k := rng.IntN(len(held))
		id = held[k]
		p, _ = s.current(id)
		p.attempts++
		if p.firstRunAt == 0 {
			p.firstRunAt, p.tentative = control.Time(1000+i), true
		}
		if err := s.call(id, p, func() error { return l.RecordAttempt(id, control.Time(1000+i), "z") }); unexpected(err) {
			return err
		}
		if p.tentative && rng.IntN(2) == 0 {
			p.firstRunAt, p.tentative = 0, false
			if err := s.call(id, p, func() error { return l.RecordResult(id, false) }); unexpected(err) {
				return err
			}
		} else {
			p.tentative = false
			if err := s.call(id, p, func() error { return l.RecordResult(id, true) }); unexpected(err) {
				return err
			}
		}
		if len(held) > 4 {
			held = slices.Delete(held, k, k+1)
			if rng.IntN(3) == 0 {
				if err := s.call(id, expectation{}, func() error { return l.RecordEndOwingNotice(&Notice{ID: id, Nack: true, RetryAfter: 7}) }); err != nil {
					return err
				}
			}
			if rng.IntN(4) > 0 {
				if err := s.call(id, expectation{ended: true}, func() error { return l.RecordEnd(id) }); err != nil {
					return err
				}
			}
		}
		if rng.IntN(3) == 0 {
			if err := s.sync(l); err != nil {
				return err
			}
		}
	}
	return s.sync(l)
}

// workloadSteps is the length of the scripted workload.
const workloadSteps = 100

// TestCrashAnywhere ends the process, or cuts the power, at every call on the file system and at several bytes within each
// write: a start must find each text in an allowed state, never lost and never twice.
func TestCrashAnywhere(t *testing.T) {
	for part := range 4 {
		powerLossSafe := part >= 2
		t.Run(fmt.Sprintf("power=%v/%d", powerLossSafe, part%2), func(t *testing.T) {
			t.Parallel()
			var calls []memfs.Call
			m := memfs.New()
			m.Hook = func(c memfs.Call) memfs.Fault { calls = append(calls, c); return memfs.Fault{} }
			l := openLedger(t, m, powerLossSafe)
			if err := newWorkload(powerLossSafe).run(l, workloadSteps); err != nil {
				t.Fatal(err)
			}
			if s := l.Stats(); s.MovedBytes == 0 || l.lastSegment < 10 {
				t.Fatalf("the workload did not cause cleaning: %+v", s)
			}
			points := 0
			for _, c := range calls {
				if c.Index%2 != part%2 {
					continue
				}
				cuts := []int{0}
				if c.Op == "write" {
					cuts = []int{0, 1, frameHeaderBytes, c.Bytes / 2, c.Bytes - 1, c.Bytes}
				}
				for _, cut := range cuts {
					points++
					crashAt(t, c.Index, cut, powerLossSafe)
				}
			}
			t.Logf("%d crash points in %d calls", points, len(calls))
			if points < 1000 {
				t.Errorf("only %d crash points", points)
			}
		})
	}
}

func crashAt(t *testing.T, call, cut int, powerLossSafe bool) {
	t.Helper()
	m := memfs.New()
	m.Hook = func(c memfs.Call) memfs.Fault { return memfs.Fault{Crash: c.Index == call, PartialBytes: cut} }
	s := newWorkload(powerLossSafe)
	l, err := Open(m, dir, Options{MaxBytes: testMaxBytes, PowerLossSafe: powerLossSafe})
	if err == nil {
		s.run(l, workloadSteps)
	}
	mode := memfs.ProcessCrash
	if powerLossSafe {
		mode = memfs.PowerLoss
	}
	what := fmt.Sprintf("crash at call %d, byte %d", call, cut)
	after := m.AfterCrash(mode, rand.New(rand.NewPCG(uint64(call), uint64(cut))))
	l = openLedger(t, after, powerLossSafe)
	s.check(t, l, what)
	if used := after.UsedBytes(); used > testMaxBytes {
		t.Fatalf("%s: %d bytes in the folder, limit %d", what, used, testMaxBytes)
	}
	// What was found is kept from now on: a second start finds the same.
	texts, notices := l.Unfinished()
	l.Close()
	l = openLedger(t, after.AfterCrash(memfs.ProcessCrash, nil), powerLossSafe)
	texts2, notices2 := l.Unfinished()
	if fmt.Sprint(ids(texts)) != fmt.Sprint(ids(texts2)) || len(notices) != len(notices2) {
		t.Fatalf("%s: second start finds %v, first %v", what, ids(texts2), ids(texts))
	}
}

func ids(texts []*Text) (all []string) {
	for _, t := range texts {
		all = append(all, t.ID)
	}
	return all
}

// Random runs of texts, ends, file system errors and restarts must find an allowed state.
func TestRandomRunsFindAnAllowedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		powerLossSafe := rapid.Bool().Draw(t, "power")
		m := memfs.New()
		s := newWorkload(powerLossSafe)
		l := openLedger(t, m, powerLossSafe)
		var held []string
		fault := syscall.Errno(0)
		hook := func(c memfs.Call) memfs.Fault {
			if fault != 0 && (c.Op == "write" || c.Op == "create" || c.Op == "sync") {
				return memfs.Fault{Err: fault, PartialBytes: c.Bytes / 3}
			}
			return memfs.Fault{}
		}
		m.Hook = hook
		restart := func(mode memfs.CrashMode) {
			fault = 0
			m = m.AfterCrash(mode, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			m.Hook = hook
			l = openLedger(t, m, powerLossSafe)
			s.check(t, l, "start")
			s.unsynced, s.possible = map[string]expectation{}, map[string][]expectation{}
			s.guaranteed = map[string]expectation{}
			held = nil
			texts, notices := l.Unfinished()
			for _, x := range texts {
				s.guaranteed[x.ID] = expectation{held: true, body: x.Body, attempts: x.Attempts, firstRunAt: x.FirstRunAt}
				held = append(held, x.ID)
			}
			for _, n := range notices {
				s.guaranteed[n.ID] = expectation{}
			}
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := "none"
			if len(held) > 0 {
				id = held[rapid.IntRange(0, len(held)-1).Draw(t, "id")]
			}
			p, ok := s.current(id)
			ok = ok && p.held
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprint("t", i)
				body := bytes.Repeat([]byte{byte(i), '\n', 0}, rapid.IntRange(0, 1500).Draw(t, "body"))
				if s.call(id, expectation{held: true, body: body}, func() error { return l.RecordAccepted(&Text{ID: id, Body: body}) }) == nil {
					held = append(held, id)
				} else if fault != 0 && powerLossSafe {
					s.possible[id] = append(s.possible[id], expectation{held: true, body: body})
				}
			case 3:
				if ok && !p.tentative {
					p.attempts++
					if p.firstRunAt == 0 {
						p.firstRunAt, p.tentative = control.Time(1000+i), true
					}
					s.call(id, p, func() error { return l.RecordAttempt(id, control.Time(1000+i), "z") })
				}
			case 4:
				if ok && p.tentative {
					p.firstRunAt, p.tentative = 0, false
					s.call(id, p, func() error { return l.RecordResult(id, false) })
				}
			case 5:
				if ok { // a failed write is retried: either state may be found
					s.call(id, expectation{ended: true}, func() error { return l.RecordEnd(id) })
					held = slices.DeleteFunc(held, func(o string) bool { return o == id })
				}
			case 6:
				if ok {
					s.call(id, expectation{}, func() error { return l.RecordEndOwingNotice(&Notice{ID: id, Nack: true, RetryAfter: 7}) })
					held = slices.DeleteFunc(held, func(o string) bool { return o == id })
				}
			case 7:
				if powerLossSafe {
					s.sync(l)
				}
			case 8:
				fault = rapid.SampledFrom([]syscall.Errno{0, 0, syscall.ENOSPC, syscall.EIO, syscall.EROFS}).Draw(t, "error")
			case 9:
				mode := memfs.ProcessCrash
				if powerLossSafe && rapid.Bool().Draw(t, "power lost") {
					mode = memfs.PowerLoss
				}
				restart(mode)
			}
			if bad := l.layout.CheckInvariants(); bad != "" {
				t.Fatalf("%s", bad)
			}
			if used := m.UsedBytes(); used > testMaxBytes {
				t.Fatalf("%d bytes in the folder, limit %d", used, testMaxBytes)
			}
		}
		restart(memfs.ProcessCrash)
	})
}

// The disk becomes full just as a final answer is recorded: the end finds space, new texts are refused, held ones
// continue, and once there is space again everything works as before.
func TestDiskFullFromOtherPrograms(t *testing.T) {
	m := memfs.New()
	l, err := Open(m, dir, Options{MaxBytes: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		if err := l.RecordAccepted(&Text{ID: fmt.Sprint(i), Body: make([]byte, 100)}); err != nil {
			t.Fatal(err)
		}
	}
	used := int64(0)
	for _, n := range m.FileNames() {
		used += int64(len(m.Data(n)))
	}
	m.CapacityBytes = used // not one more byte
	if err := l.RecordAccepted(&Text{ID: "new"}); !vfs.IsFull(err) {
		t.Fatalf("a new text: %v", err)
	}
	if err := l.RecordAttempt("0", 9, ""); err != nil { // held texts continue
		t.Fatal(err)
	}
	if err := l.RecordEnd("0"); err != nil {
		t.Fatal(err)
	}
	if err := l.RecordEndOwingNotice(&Notice{ID: "1"}); err != nil {
		t.Fatal(err)
	}
	// Now nothing is left: the end is kept in memory until there is space.
	m.CapacityBytes = 1
	if err := l.RecordEnd("2"); !vfs.IsFull(err) {
		t.Fatalf("%v", err)
	}
	if err := l.RecordAccepted(&Text{ID: "new"}); !vfs.IsFull(err) {
		t.Fatalf("a new text: %v", err)
	}
	m.CapacityBytes = 0
	l.Sync()
	if err := l.RecordAccepted(&Text{ID: "new"}); err != nil {
		t.Fatal(err)
	}
	if l, err = Open(m.AfterCrash(memfs.ProcessCrash, nil), dir, Options{MaxBytes: 3e6}); err != nil {
		t.Fatal(err)
	}
	texts, notices := l.Unfinished()
	if fmt.Sprint(ids(texts)) != "[3 new]" || len(notices) != 1 || notices[0].ID != "1" {
		t.Errorf("%v %v", ids(texts), notices)
	}
}

// A folder becomes read-only and writable again: nothing is accepted meanwhile, and ends are written later.
func TestTemporarilyReadOnlyFolder(t *testing.T) {
	m := memfs.New()
	l := openLedger(t, m, true)
	l.RecordAccepted(&Text{ID: "a"})
	l.RecordAccepted(&Text{ID: "b"})
	l.Sync()
	m.Hook = func(c memfs.Call) memfs.Fault {
		if slices.Contains([]string{"write", "create", "remove", "sync"}, c.Op) {
			return memfs.Fault{Err: syscall.EROFS}
		}
		return memfs.Fault{}
	}
	if l.RecordAccepted(&Text{ID: "c"}) == nil || l.RecordAttempt("a", 1, "") == nil || l.RecordEnd("b") == nil {
		t.Error("a write succeeded")
	}
	m.Hook = nil
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	l = openLedger(t, m.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 1))), true)
	if texts, _ := l.Unfinished(); fmt.Sprint(ids(texts)) != "[a]" || texts[0].Attempts != 0 {
		t.Errorf("%+v", *texts[0])
	}
}

func TestSecondProcessIsRefused(t *testing.T) {
	m := memfs.New()
	openLedger(t, m, false)
	if _, err := Open(m, dir, Options{MaxBytes: testMaxBytes}); !errors.Is(err, vfs.ErrLocked) {
		t.Error(err)
	}
	// The real lock, whose error names the process that holds it.
	at := t.TempDir()
	l, err := Open(vfs.OS{}, at, Options{MaxBytes: testMaxBytes})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(vfs.OS{}, at, Options{MaxBytes: testMaxBytes}); !errors.Is(err, vfs.ErrLocked) || !strings.Contains(err.Error(), fmt.Sprint("process ", os.Getpid())) {
		t.Error(err)
	}
	l.Close()
	if l, err = Open(vfs.OS{}, at, Options{MaxBytes: testMaxBytes}); err != nil {
		t.Error(err)
	}
	l.Close()
}

// newSegmentedFolder creates a folder of several segments and returns the name of one in the middle.
func newSegmentedFolder(t *testing.T, powerLossSafe bool) (m *memfs.FS, middle string) {
	m = memfs.New()
	l := openLedger(t, m, powerLossSafe)
	for i := range 14 {
		if err := l.RecordAccepted(&Text{ID: fmt.Sprint("t", i), Body: make([]byte, 900), AcceptedAt: control.Time(i + 1)}); err != nil {
			t.Fatal(err)
		}
		l.Sync()
	}
	l.RecordEnd("t0")
	l.Sync()
	l.Close()
	var segments []string
	for _, n := range m.FileNames() {
		if _, ok := parseSegmentName(filepath.Base(n)); ok {
			segments = append(segments, n)
		}
	}
	if len(segments) < 4 {
		t.Fatal(segments)
	}
	return m, segments[1]
}

// A corrupt segment in the middle loses only its own records: it is set aside, and what they may have recorded counts
// as having happened.
func TestCorruptSegment(t *testing.T) {
	for _, powerLossSafe := range []bool{false, true} {
		m, middle := newSegmentedFolder(t, powerLossSafe)
		data := m.Data(middle)
		data[segmentHeaderBytes+40] ^= 4 // one bit in the first record
		l := openLedger(t, m.AfterCrash(memfs.ProcessCrash, nil), powerLossSafe)
		texts, _ := l.Unfinished()
		if len(texts) != 12 {
			t.Errorf("%d texts are left: %v", len(texts), ids(texts))
		}
		for _, x := range texts {
			before := x.ID == "t1" || x.ID == "t2" // in the previous segment
			if before != (x.FirstRunAt == x.AcceptedAt && x.Attempts == 1) {
				t.Errorf("%+v", x)
			}
		}
		m = l.files.(*memfs.FS)
		if !slices.Contains(m.FileNames(), "state/bad-"+filepath.Base(middle)) {
			t.Errorf("%v", m.FileNames())
		}
		l.Close()
		// Once it is set aside, the folder is intact, with the same texts.
		f, again, _, err := Inspect(m, dir)
		if err != nil || !f.Intact() || fmt.Sprint(ids(again)) != fmt.Sprint(ids(texts)) || again[0].Attempts != 1 {
			t.Errorf("%v %+v %v", err, f, ids(again))
		}
	}
}

// A segment is missing, or its header is corrupt.
func TestMissingSegment(t *testing.T) {
	m, middle := newSegmentedFolder(t, false)
	m.Remove(middle)
	l := openLedger(t, m, false)
	if texts, _ := l.Unfinished(); len(texts) == 0 || len(texts) > 12 || texts[0].FirstRunAt == 0 {
		t.Errorf("%+v", texts)
	}
	m, middle = newSegmentedFolder(t, false)
	copy(m.Data(middle), "nonsense")
	l = openLedger(t, m.AfterCrash(memfs.ProcessCrash, nil), false)
	if texts, _ := l.Unfinished(); len(texts) != 13 || texts[0].FirstRunAt != 0 {
		t.Errorf("with a corrupt header: %v", ids(texts))
	}
}

// A single-file ledger of the legacy format is migrated; until that is complete, it remains authoritative.
func TestMigratesTheLegacyFormat(t *testing.T) {
	legacy := func(kind byte, payload []byte) []byte {
		p := append([]byte{kind}, payload...)
		b := binary.LittleEndian.AppendUint32(nil, uint32(len(p)))
		return append(binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(p)), p...)
	}
	text := func(id, body string) []byte {
		return legacy(kindAccepted, (&Text{ID: id, Body: []byte(body)}).toRecord().payload)
	}
	raw := slices.Concat(text("a", "one\x00"), text("b", "two"), legacy(kindAttempt, mustMarshal(attemptRecord{"a", 0, 77, "z"})), text("c", "three"),
		legacy(kindEnded, mustMarshal(idRecord{"b"})), legacy(kindEndedOwingNotice, mustMarshal(Notice{ID: "c", Nack: true, RetryAfter: 5})), text("d", "four"), text("torn", "xx")[:30])
	for crash := range 60 {
		m := memfs.New()
		m.Put("state/ledger", raw)
		m.Hook = func(c memfs.Call) memfs.Fault { return memfs.Fault{Crash: c.Index == crash, PartialBytes: c.Bytes / 2} }
		Open(m, dir, Options{MaxBytes: testMaxBytes})
		m = m.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(uint64(crash), 2)))
		l := openLedger(t, m, false)
		texts, notices := l.Unfinished()
		if fmt.Sprint(ids(texts)) != "[a d]" || string(texts[0].Body) != "one\x00" || texts[0].Attempts != 1 || texts[0].FirstRunAt != 77 ||
			texts[0].FirstRunZone != "z" || len(notices) != 1 || notices[0].RetryAfter != 5 {
			t.Fatalf("crash at call %d: %+v %+v", crash, texts, notices)
		}
		if slices.Contains(m.FileNames(), "state/ledger") {
			t.Fatalf("crash at call %d: %v", crash, m.FileNames())
		}
	}
}

// A start with ten thousand held texts finds all of them in order of acceptance.
func TestTenThousandHeldTexts(t *testing.T) {
	m := memfs.New()
	options := Options{MaxBytes: 20e6}
	l, err := Open(m, dir, options)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10000 {
		if err := l.RecordAccepted(&Text{ID: fmt.Sprint(i), Body: make([]byte, 200)}); err != nil {
			t.Fatal(err)
		}
	}
	if l, err = Open(m.AfterCrash(memfs.ProcessCrash, nil), dir, options); err != nil {
		t.Fatal(err)
	}
	texts, _ := l.Unfinished()
	for i, x := range texts {
		if x.ID != fmt.Sprint(i) {
			t.Fatalf("%s is at position %d", x.ID, i)
		}
	}
	if len(texts) != 10000 {
		t.Error(len(texts))
	}
}

// Compact must not change the live state.
func TestCompactKeepsTheState(t *testing.T) {
	m := memfs.New()
	l := openLedger(t, m, true)
	if err := newWorkload(true).run(l, 100); err != nil {
		t.Fatal(err)
	}
	texts, notices := l.Unfinished()
	before := len(m.FileNames())
	if err := l.Compact(); err != nil {
		t.Fatal(err)
	}
	l.Close()
	f, texts2, notices2, err := Inspect(m, dir)
	if err != nil || !f.Intact() || len(m.FileNames()) >= before {
		t.Errorf("%v %+v %v", err, f, m.FileNames())
	}
	for i, x := range texts {
		y := texts2[i]
		if x.ID != y.ID || !bytes.Equal(x.Body, y.Body) || x.Attempts != y.Attempts || x.FirstRunAt != y.FirstRunAt || x.Seq != y.Seq {
			t.Errorf("%+v is %+v", x, y)
		}
	}
	if len(texts) != len(texts2) || fmt.Sprint(len(notices)) != fmt.Sprint(len(notices2)) {
		t.Error(len(texts), len(texts2))
	}
}

// Reading a segment with arbitrary contents terminates, in limited memory, and finds the complete records.
func FuzzSegment(f *testing.F) {
	r := (&Text{ID: "a", Body: []byte("body")}).toRecord()
	whole := appendFrame(encodeSegmentHeader(3, 7, false, 0), r, 7)
	whole = appendFrame(whole, jsonRecord(kindAttempt, attemptRecord{"a", 1, 5, ""}), 8)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(append(encodeSegmentHeader(3, 7, false, 0), bytes.Repeat([]byte{frameMagic}, 9000)...))
	f.Add([]byte("emberseg"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := memfs.New()
		m.Put("state/"+segmentName(3), raw)
		found, texts, _, err := Inspect(m, dir)
		if err != nil || found.Records < len(texts) {
			t.Fatalf("%v %+v", err, found)
		}
		m.Put("state/ledger", raw)
		Inspect(m, dir)
		for _, size := range []int64{testMaxBytes, layout.BlockBytes} {
			if l, err := Open(m, dir, Options{MaxBytes: size}); err == nil {
				l.RecordAccepted(&Text{ID: "new"})
				l.Close()
			}
		}
	})
}
