package ledger

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"

	"emberquay/control"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil { // the same verdict every time
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func open(t interface{ Fatal(...any) }, dir string, limit int64) *Ledger {
	l, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// onDisk counts a folder as the platform does, in whole blocks.
func onDisk(dir string) (sum int64) {
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, f := range files {
		if i, err := os.Stat(f); err == nil {
			sum += (i.Size() + block - 1) / block * block
		}
	}
	return sum
}

// A sender may die between any two records, and within one; what it owed must be there at the next start.
func TestLedgerKeepsWhatIsOwed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "ledger")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		const limit = 24 << 10
		l := open(t, dir, limit)
		type want struct {
			body    []byte
			submits int
			ran     control.Time
			out     bool // the submit that is out decides what ran is
		}
		texts, order, notices := map[string]*want{}, []string{}, map[string]bool{}
		pick := func() string { return rapid.SampledFrom(append([]string{"none"}, order...)).Draw(t, "id") }
		drop := func(id string) {
			delete(texts, id)
			for i, o := range order {
				if o == id {
					order = append(order[:i:i], order[i+1:]...)
				}
			}
		}
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for i := range steps {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				id := fmt.Sprint("t", i)
				body := bytes.Repeat([]byte{byte(i), '\n', 0}, rapid.IntRange(0, 400).Draw(t, "body"))
				if l.Taken(&Text{ID: id, Body: body, ValidUntil: control.Time(i)}) == nil {
					texts[id] = &want{body: body}
					order = append(order, id)
				}
			case 2:
				id := pick()
				w, at := texts[id], control.Time(1000+i)
				if w != nil && !w.out && l.Submitted(id, at, "z") == nil {
					w.submits++
					w.out = true
					if w.ran == 0 {
						w.ran = at
					} else {
						w.out = false
					}
				}
			case 3:
				id, ran := pick(), rapid.Bool().Draw(t, "ran")
				if w := texts[id]; w != nil && w.out && l.Answered(id, ran) == nil {
					w.out = false
					if !ran {
						w.ran = 0
					}
				}
			case 4:
				id := pick()
				if l.Ended(id) == nil {
					drop(id)
				}
			case 5:
				if id := pick(); texts[id] != nil && l.Untold(&Notice{ID: id, Nack: true, Delay: 7}) == nil {
					drop(id)
					notices[id] = true
				}
			case 6:
				l.Close()
				if rapid.Bool().Draw(t, "torn") { // a record whose writing was cut short
					r, _ := (&Text{ID: "torn", Body: make([]byte, 99)}).record()
					f, _ := os.OpenFile(filepath.Join(dir, fileName), os.O_APPEND|os.O_WRONLY, 0)
					f.Write(r[:rapid.IntRange(1, len(r)-1).Draw(t, "cut")])
					f.Close()
				}
				l = open(t, dir, limit)
				for _, w := range texts {
					w.out = false
				}
			}
			if n := onDisk(dir); n > limit {
				t.Fatalf("%d bytes on disk", n)
			}
		}
		l.Close()
		l = open(t, dir, limit)
		defer l.Close()
		owed, due := l.Owed()
		if len(owed) != len(order) || len(due) != len(notices) {
			t.Fatalf("%d texts and %d notices, want %d and %d", len(owed), len(due), len(order), len(notices))
		}
		for i, o := range owed {
			w := texts[o.ID]
			if o.ID != order[i] || !bytes.Equal(o.Body, w.body) || o.Submits != w.submits || o.RanSince != w.ran {
				t.Fatalf("%s: %+v, want %s: %+v", o.ID, o, order[i], w)
			}
		}
		for _, n := range due {
			if !notices[n.ID] || !n.Nack || n.Delay != 7 {
				t.Fatalf("notice %+v", n)
			}
		}
	})
}

// A full folder refuses texts, yet what is held can still be submitted and ended, and then there is room.
func TestFullLedger(t *testing.T) {
	l := open(t, t.TempDir(), 64<<10)
	n := 0
	for ; l.Taken(&Text{ID: fmt.Sprint(n), Body: make([]byte, 2000)}) == nil; n++ {
	}
	if n < 10 {
		t.Fatalf("%d texts fit", n)
	}
	for i := range n {
		id := fmt.Sprint(i)
		if err := l.Submitted(id, 5, ""); err != nil {
			t.Fatal(err)
		}
		if err := l.Ended(id); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Taken(&Text{ID: "again", Body: make([]byte, 2000)}); err != nil {
		t.Fatal(err)
	}
}

// The first start finds no folder at all.
func TestFolderIsMade(t *testing.T) {
	l := open(t, filepath.Join(t.TempDir(), "a", "b"), 64<<10)
	if err := l.Taken(&Text{ID: "a"}); err != nil {
		t.Error(err)
	}
}

// A write that fails must not take later records with it: they would stand behind a torn one.
func TestLedgerAfterFailedWrite(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, 64<<10)
	if err := l.Taken(&Text{ID: "a", Body: []byte("one")}); err != nil {
		t.Fatal(err)
	}
	l.file.Close()
	if l.Taken(&Text{ID: "b"}) == nil {
		t.Fatal("a text was taken that was not written")
	}
	if err := l.Taken(&Text{ID: "c"}); err != nil {
		t.Fatal(err)
	}
	l.Close()
	owed, _ := open(t, dir, 64<<10).Owed()
	if len(owed) != 2 || owed[0].ID != "a" || string(owed[0].Body) != "one" || owed[1].ID != "c" {
		t.Fatalf("%+v", owed)
	}
}

// A folder that cannot be read must not end the process, nor be written over: it may hold texts.
func TestUnreadableLedger(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, fileName), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, d := range []string{dir, filepath.Join(dir, "file")} {
		l, err := Open(d, 64<<10)
		if err == nil || l.Taken(&Text{ID: "a"}) == nil {
			t.Errorf("%s: a text was taken", d)
		}
	}
}
