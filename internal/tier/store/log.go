package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"

	"github.com/rotisserie/eris"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
)

// Kinds of records in the journal, their first byte; they must not change.
const (
	metaKind    = 'M' // a metaRecord; the last one counts
	turnKind    = 'T' // a storewire.Turn
	programKind = 'P' // a storewire.Program: entries to merge
)

// Segments that have to be free for a record to be taken; the last one is for reclaiming.
const (
	turnRoom    = 3
	reserveRoom = 2
	reclaimRoom = 1
)

// idBytes of a store's id: drawn alike never.
const idBytes = 8

// meta is what the store knows of itself.
type meta struct {
	ID        string
	Complete  bool  // it lacks nothing that it should hold
	Unsettled bool  // a machine was removed since, and what it held may not be here
	Fence     int64 // epoch of the newest view by which a request was served
	View      storewire.View
	sequence  uint64 // of the record
}

type metaRecord struct {
	ID        string `avro:"id"`
	Complete  bool   `avro:"complete"`
	Unsettled bool   `avro:"unsettled"`
	Fence     int64  `avro:"fence"`
	View      []byte `avro:"view"`
}

var metaCodec = transport.MustCodec[metaRecord](`{"type":"record","name":"Meta","fields":[
	{"name":"id","type":"string"},{"name":"complete","type":"boolean"},{"name":"unsettled","type":"boolean"},
	{"name":"fence","type":"long"},{"name":"view","type":"bytes"}]}`)

var programCodec = transport.MustCodec[storewire.Program](`{"type":"record","name":"Program","fields":[
	{"name":"name","type":"string"},{"name":"idle_millis","type":"long"},{"name":"entries","type":"bytes"}]}`)

// ErrRecord: a record of the journal that this version does not understand.
var ErrRecord = eris.New("store: unknown record")

// openTable opens the journal and reads it.
func openTable(o Options) (*table, error) {
	segmentBytes := int64(float64(o.DiskBytes) * diskShare / segments)
	segmentBytes = min(max(segmentBytes, leastSegment), mostSegment)
	t := newTable(o, segmentBytes)
	options := journal.Options{Files: o.Files, Dir: o.Dir, SegmentBytes: segmentBytes, Segments: segments}
	log, err := journal.Open(options, t.replay)
	if err != nil {
		return nil, eris.Wrap(err, "store")
	}
	t.journal = log
	if log.Damaged() || t.meta.ID == "" {
		t, err = freshTable(o, t)
	}
	if err != nil {
		log.Close()
		return nil, err
	}
	t.useView()
	return t, nil
}

// freshTable begins anew under a new id: the disk is empty, or has lost what it had acknowledged.
func freshTable(o Options, opened *table) (*table, error) {
	lost := opened.journal.Damaged()
	if lost {
		if err := opened.journal.Reset(); err != nil {
			return nil, eris.Wrap(err, "store")
		}
	}
	t := newTable(o, opened.segmentBytes)
	t.journal = opened.journal
	var id [idBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, eris.Wrap(err, "store")
	}
	if !t.keepMeta(meta{ID: hex.EncodeToString(id[:]), Complete: o.Bootstrap && !lost}) {
		return nil, eris.Wrap(journal.ErrFull, "store")
	}
	if err := t.journal.Sync(); err != nil {
		return nil, eris.Wrap(err, "store")
	}
	t.durable = t.appended
	return t, nil
}

// replay takes in one record at the start.
func (t *table) replay(p journal.Position, record []byte) error {
	switch body := record[1:]; record[0] {
	case metaKind:
		return t.replayMeta(body)
	case turnKind:
		head, err := storewire.DecodeTurnHead(body)
		if err != nil {
			return err
		}
		t.addTurn(head, p, retentionOf(head))
		return nil
	case programKind:
		return t.replayProgram(p, body)
	}
	return eris.Wrapf(ErrRecord, "kind %d", record[0])
}

func (t *table) replayMeta(body []byte) error {
	r, err := metaCodec.Decode(body)
	if err != nil {
		return err
	}
	view, err := storewire.DecodeView(r.View)
	if err != nil {
		return err
	}
	t.meta = meta{ID: r.ID, Complete: r.Complete, Unsettled: r.Unsettled, Fence: r.Fence, View: view}
	return nil
}

func (t *table) replayProgram(p journal.Position, body []byte) error {
	w, err := programCodec.Decode(body)
	if err != nil {
		return err
	}
	entries, err := budget.DecodeEntries(w.Entries)
	if err != nil {
		return err
	}
	program := t.program(w.Name)
	if program.oldest == 0 {
		program.oldest = p.Segment
	}
	t.change(program, func(l *budget.Ledger) {
		for _, e := range entries {
			l.Merge(e)
		}
	})
	return nil
}

// append adds a record if so many segments are free, or can be made so.
func (t *table) append(record []byte, room int) (journal.Position, bool) {
	for t.journal.FreeSegments() < room {
		if room <= reclaimRoom || !t.reclaim() {
			break
		}
	}
	if t.journal.FreeSegments() < room && room > reclaimRoom {
		return journal.Position{}, false
	}
	position, err := t.journal.Append(record)
	if err != nil {
		return journal.Position{}, false // too long, or full
	}
	t.appended++
	return position, true
}

// keepMeta appends what the store knows of itself.
func (t *table) keepMeta(m meta) bool {
	view, err := storewire.EncodeView(m.View)
	if err != nil {
		panic(err) // the schema does not fit the type
	}
	body, err := metaCodec.Encode(metaRecord{ID: m.ID, Complete: m.Complete, Unsettled: m.Unsettled, Fence: m.Fence, View: view})
	if err != nil {
		panic(err)
	}
	if _, ok := t.append(append([]byte{metaKind}, body...), reclaimRoom); !ok {
		return false
	}
	t.meta = m
	t.meta.sequence = t.appended
	return true
}

// appendProgram appends entries of a program.
func (t *table) appendProgram(p *program, entries []budget.Entry, room int) bool {
	body, err := programCodec.Encode(storewire.Program{Name: p.name, Entries: budget.EncodeEntries(nil, entries)})
	if err != nil {
		panic(err)
	}
	position, ok := t.append(append([]byte{programKind}, body...), room)
	if ok && p.oldest == 0 {
		p.oldest = position.Segment
	}
	return ok
}

// reclaim frees the oldest segment: what of it is still needed is appended anew. It gives false where that would free
// too little, or fails.
func (t *table) reclaim() bool {
	oldest := t.journal.OldestSegment()
	if oldest == t.journal.NewestSegment() || t.live[oldest] > t.segmentBytes*3/4 {
		return false
	}
	if !t.moveTurns(oldest) || !t.movePrograms(oldest) || !t.keepMeta(t.meta) {
		return false
	}
	return t.journal.Reclaim(oldest) == nil
}

func (t *table) moveTurns(segment uint64) bool {
	if t.live[segment] == 0 {
		return true
	}
	var buffer []byte
	for _, x := range t.turns {
		if x.position.Segment != segment {
			continue
		}
		record, err := t.journal.Read(x.position, buffer)
		if errors.Is(err, journal.ErrNotFound) {
			t.removeTurn(x) // the disk has lost it
			continue
		}
		if err != nil {
			return false
		}
		position, ok := t.append(record, reclaimRoom)
		if !ok {
			return false
		}
		t.moveTurn(x, position)
		buffer = record[:0]
	}
	return true
}

func (t *table) movePrograms(segment uint64) bool {
	for _, p := range t.programs {
		if p.oldest > segment || p.ledger.Len() == 0 {
			continue
		}
		before := p.oldest
		p.oldest = 0
		if !t.appendProgram(p, p.ledger.Entries(nil), reclaimRoom) {
			p.oldest = before
			return false
		}
	}
	return true
}

// tidy drops what is over and frees the segments that hold next to nothing any more.
func (t *table) tidy() {
	t.expireTurns()
	t.dropPrograms()
	for t.journal.OldestSegment() != t.journal.NewestSegment() && t.live[t.journal.OldestSegment()] <= t.segmentBytes/8 {
		if !t.reclaim() {
			return
		}
	}
}
