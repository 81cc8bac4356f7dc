// Package ledger keeps what a sender has taken on in the folder that outlasts its process. It only tells
// what was written; what follows from that is decided elsewhere.
//
// One file of records holds it: a text before it is taken on, a submit before its call, what became of
// it, the end and whether the notice of the end arrived. Each record has a length and a checksum, so that
// one cut short by the process's death is seen and dropped. Once the file has grown to half the room, what
// is still live goes to a new file in its place. A write is in the file before the call returns; it is not
// synced, since only the process is expected to die.
package ledger

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"emberquay/control"
)

// ErrFull says that a text finds no room.
var ErrFull = errors.New("the lasting folder is full")

var errUnread = errors.New("the lasting folder could not be read")

// Text is a text as it was taken on, and how far it has come.
type Text struct {
	ID          string       `json:"id"`
	Product     string       `json:"product"`
	Destination int64        `json:"dest"`
	Mark        string       `json:"mark,omitempty"` // by which a repeat is known, as it came
	Key         string       `json:"key,omitempty"`  // texts of one key go in order, where their product asks for it
	Retry       bool         `json:"retry,omitempty"`
	Returned    bool         `json:"returned,omitempty"`
	ValidUntil  control.Time `json:"until"`
	Body        []byte       `json:"-"`

	Submits  int          `json:"submits,omitempty"`
	RanSince control.Time `json:"ran,omitempty"` // when the first submit that may have run was sent
	RanZone  string       `json:"zone,omitempty"`

	tentative bool  // RanSince holds the submit that is out; it goes if that one never ran
	seq       int64 // order of arrival
	size      int64 // of its records, were they written anew
}

// Notice is the end of a text that the platform has yet to hear of.
type Notice struct {
	ID    string       `json:"id"`
	Nack  bool         `json:"nack,omitempty"`
	Delay control.Time `json:"delay,omitempty"` // advice with a nack

	seq  int64
	size int64
}

// The kinds of record.
const (
	taken     = 'T'
	submitted = 'S'
	neverRan  = 'N'
	ended     = 'E'
	untold    = 'U' // ended, and a notice is owed
)

type sent struct {
	ID   string       `json:"id"`
	At   control.Time `json:"at"`
	Zone string       `json:"zone,omitempty"`
}

type named struct {
	ID string `json:"id"`
}

const (
	fileName = "ledger"
	block    = 512
	head     = 8 // length and checksum
	most     = 1 << 20
)

// Ledger is the open file and what is live in it. It is used by one goroutine.
type Ledger struct {
	dir     string
	file    *os.File
	size    int64 // of what is whole in the file
	room    int64 // the file grows to this
	live    int64 // what a new file would hold
	seq     int64
	texts   map[string]*Text
	notices map[string]*Notice
	broken  bool // the last write failed; nothing may follow it before the file is made anew
}

// Open reads what the folder holds, which may be nothing, and keeps on from there. The folder never holds
// more than limit bytes, counted in whole blocks. After an error the ledger takes nothing, so that texts are
// refused while the folder cannot be read, and what it may hold is not written over.
func Open(dir string, limit int64) (*Ledger, error) {
	l := &Ledger{dir: dir, room: limit/block/2*block - block,
		texts: map[string]*Text{}, notices: map[string]*Notice{}}
	if err := l.open(); err != nil {
		l.file = nil
		return l, fmt.Errorf("the lasting folder: %w", err)
	}
	return l, nil
}

func (l *Ledger) open() error {
	if err := os.MkdirAll(l.dir, 0o700); err != nil {
		return err
	}
	// A new file that was not finished counts for nothing: the old one is whole.
	if err := os.Remove(l.path(".new")); err != nil && !errors.Is(err, os.ErrNotExist) {
		slog.Warn("leftover", "part", "ledger", "err", err)
	}
	f, err := os.OpenFile(l.path(""), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	l.file = f
	raw, err := io.ReadAll(f)
	if err != nil {
		return err
	}
	for {
		n := l.replay(raw[l.size:])
		if n == 0 {
			break
		}
		l.size += n
	}
	slog.Info("opened", "part", "ledger", "bytes", len(raw), "texts", len(l.texts), "notices", len(l.notices))
	for _, t := range l.texts { // what was out when the process ended may have run
		t.tentative = false
	}
	if torn := int64(len(raw)) - l.size; torn > 0 {
		slog.Warn("torn", "part", "ledger", "bytes", torn)
		if err := f.Truncate(l.size); err != nil {
			l.broken = true
		}
	}
	return nil
}

func (l *Ledger) path(suffix string) string { return filepath.Join(l.dir, fileName+suffix) }

// replay takes one record from the front and gives its length; 0 where none is whole.
func (l *Ledger) replay(raw []byte) int64 {
	if len(raw) < head {
		return 0
	}
	n, sum := binary.LittleEndian.Uint32(raw), binary.LittleEndian.Uint32(raw[4:])
	if n == 0 || n > most || int64(len(raw)) < head+int64(n) {
		return 0
	}
	payload := raw[head : head+n]
	if crc32.ChecksumIEEE(payload) != sum || !l.apply(payload) {
		return 0
	}
	return head + int64(n)
}

// apply does what a record says to what is live.
func (l *Ledger) apply(payload []byte) bool {
	rest := payload[1:]
	var id named
	switch payload[0] {
	case taken:
		k, n := binary.Uvarint(rest)
		if n <= 0 || k > uint64(len(rest)-n) {
			return false
		}
		t := &Text{Body: slices.Clone(rest[n+int(k):])}
		if json.Unmarshal(rest[n:n+int(k)], t) != nil {
			return false
		}
		l.add(t, int64(head+len(payload)))
		return true
	case submitted:
		var s sent
		if json.Unmarshal(rest, &s) != nil {
			return false
		}
		if t := l.texts[s.ID]; t != nil {
			t.out(s.At, s.Zone)
		}
		return true
	case untold:
		n := &Notice{}
		if json.Unmarshal(rest, n) != nil {
			return false
		}
		l.end(n.ID)
		l.owe(n, int64(head+len(payload)))
		return true
	case neverRan, ended:
		if json.Unmarshal(rest, &id) != nil {
			return false
		}
		if payload[0] == ended {
			l.end(id.ID)
		} else if t := l.texts[id.ID]; t != nil {
			t.back()
		}
		return true
	}
	return false
}

func (t *Text) out(at control.Time, zone string) {
	t.Submits++
	if t.RanSince == 0 {
		t.RanSince, t.RanZone, t.tentative = at, zone, true
	}
}

// back: the submit that was out never ran.
func (t *Text) back() {
	if t.tentative {
		t.RanSince, t.RanZone, t.tentative = 0, "", false
	}
}

// growth is about what a submit adds to the record of a text.
const growth = 96

func (l *Ledger) add(t *Text, size int64) {
	l.seq++
	t.seq, t.size = l.seq, size+growth
	l.texts[t.ID] = t
	l.live += t.size
}

func (l *Ledger) owe(n *Notice, size int64) {
	l.seq++
	n.seq, n.size = l.seq, size
	l.notices[n.ID] = n
	l.live += n.size
}

func (l *Ledger) end(id string) {
	if t := l.texts[id]; t != nil {
		l.live -= t.size
		delete(l.texts, id)
	}
	if n := l.notices[id]; n != nil {
		l.live -= n.size
		delete(l.notices, id)
	}
}

// Owed gives the texts that have no end yet, in the order they were taken, and the notices that are due.
func (l *Ledger) Owed() ([]*Text, []*Notice) {
	return slices.SortedFunc(maps.Values(l.texts), func(a, b *Text) int { return int(a.seq - b.seq) }),
		slices.SortedFunc(maps.Values(l.notices), func(a, b *Notice) int { return int(a.seq - b.seq) })
}

// Taken keeps a text. Once that fails the text must be refused.
func (l *Ledger) Taken(t *Text) error {
	r, err := t.record()
	if err != nil {
		return err
	}
	// A tenth is left to what those that are held still need written between two compactions.
	if l.live+int64(len(r))+growth > l.room/10*9 {
		return ErrFull
	}
	if err := l.write(r); err != nil {
		return err
	}
	l.add(t, int64(len(r)))
	return nil
}

func (t *Text) record() ([]byte, error) {
	meta, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	p := binary.AppendUvarint([]byte{taken}, uint64(len(meta)))
	return frame(append(append(p, meta...), t.Body...)), nil
}

// Submitted keeps that a submit goes out; without that it must not.
func (l *Ledger) Submitted(id string, at control.Time, zone string) error {
	t := l.texts[id]
	if t == nil {
		return fmt.Errorf("text %s is not held", id)
	}
	if err := l.note(submitted, sent{id, at, zone}); err != nil {
		return err
	}
	t.out(at, zone)
	return nil
}

// Answered keeps what became of the submit that was out.
func (l *Ledger) Answered(id string, ran bool) error {
	t := l.texts[id]
	if t == nil || !t.tentative {
		return nil
	}
	if ran {
		t.tentative = false // as the file says already
		return nil
	}
	t.back()
	return l.note(neverRan, named{id})
}

// Ended keeps that a text is over, or its notice has arrived, and that nothing more is owed.
func (l *Ledger) Ended(id string) error {
	if l.texts[id] == nil && l.notices[id] == nil {
		return nil // it was never kept
	}
	l.end(id)
	return l.note(ended, named{id})
}

// Untold keeps that a text is over and that the platform is owed a notice.
func (l *Ledger) Untold(n *Notice) error {
	l.end(n.ID)
	r, err := record(untold, n)
	if err != nil {
		return err
	}
	l.owe(n, int64(len(r)))
	return l.write(r)
}

func (l *Ledger) note(kind byte, what any) error {
	r, err := record(kind, what)
	if err != nil {
		return err
	}
	return l.write(r)
}

func record(kind byte, what any) ([]byte, error) {
	meta, err := json.Marshal(what)
	return frame(append([]byte{kind}, meta...)), err
}

func frame(payload []byte) []byte {
	r := binary.LittleEndian.AppendUint32(make([]byte, 0, head+len(payload)), uint32(len(payload)))
	r = binary.LittleEndian.AppendUint32(r, crc32.ChecksumIEEE(payload))
	return append(r, payload...)
}

// write appends a record whole or not at all.
func (l *Ledger) write(r []byte) error {
	if l.file == nil {
		return errUnread
	}
	if l.broken || l.size+int64(len(r)) > l.room {
		if err := l.compact(); err != nil {
			return err
		}
		if l.size+int64(len(r)) > l.room {
			return ErrFull
		}
	}
	if _, err := l.file.WriteAt(r, l.size); err != nil {
		l.broken = true // the tail may be torn; a new file leaves it behind
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.size += int64(len(r))
	return nil
}

// compact writes what is live to a new file that takes the old one's place at once.
func (l *Ledger) compact() error {
	f, err := os.OpenFile(l.path(".new"), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("the lasting folder: %w", err)
	}
	size, err := l.copyTo(f)
	if err == nil {
		err = os.Rename(l.path(".new"), l.path(""))
	}
	if err != nil {
		f.Close()
		os.Remove(l.path(".new"))
		return fmt.Errorf("the lasting folder: %w", err)
	}
	l.file.Close()
	l.file, l.size, l.broken = f, size, false
	return nil
}

func (l *Ledger) copyTo(f *os.File) (size int64, err error) {
	put := func(r []byte, err2 error) {
		if err = errors.Join(err, err2); err == nil {
			_, err = f.Write(r)
			size += int64(len(r))
		}
	}
	texts, notices := l.Owed()
	for _, t := range texts {
		if !t.tentative {
			put(t.record())
			continue
		}
		// The submit that is out stays apart, so that it can still turn out not to have run.
		before := *t
		before.Submits--
		before.back()
		put(before.record())
		put(record(submitted, sent{t.ID, t.RanSince, t.RanZone}))
	}
	for _, n := range notices {
		put(record(untold, n))
	}
	return size, err
}

// Close ends the use of the file.
func (l *Ledger) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
