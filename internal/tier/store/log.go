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

// Kinds of journal records, stored as their first byte; the values must not change.
const (
	metaKind    = 'M' // a metaRecord; the newest one is valid
	turnKind    = 'T' // a storewire.Turn
	programKind = 'P' // a storewire.Program: entries to merge
)

// Free segments that appending a record requires. The last free segment is for reclaiming only.
const (
	minFreeForTurn        = 3
	minFreeForReservation = 2
	minFreeForReclaim     = 1
)

// storeIDBytes is the length of a random store id: long enough that two stores never draw the same.
const storeIDBytes = 8

// meta is the store's own state, stored as one record.
type meta struct {
	ID           string
	Complete     bool  // it holds all data that it should
	Unsettled    bool  // an active member left since, and records that it held may be missing here
	Fence        int64 // newest epoch of a served request or an applied view; older requests are rejected
	View         storewire.View
	recordNumber uint64 // number of the record that holds this state
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

// ErrUnknownRecord reports a journal record of a kind that this version does not know.
var ErrUnknownRecord = eris.New("store: unknown record")

// openTable opens the journal and rebuilds the table from it.
func openTable(options Options) (*table, error) {
	segmentBytes := int64(float64(options.DiskBytes) * ringDiskShare / segmentCount)
	segmentBytes = min(max(segmentBytes, minSegmentBytes), maxSegmentBytes)
	t := newTable(options, segmentBytes)
	journalOptions := journal.Options{Files: options.Files, Dir: options.Dir, SegmentBytes: segmentBytes, Segments: segmentCount}
	j, err := journal.Open(journalOptions, t.replay)
	if err != nil {
		return nil, eris.Wrap(err, "store")
	}
	t.journal = j
	if j.Damaged() || t.meta.ID == "" {
		t, err = initializeTable(options, t)
	}
	if err != nil {
		j.Close()
		return nil, err
	}
	t.recomputePlacement()
	return t, nil
}

// initializeTable starts with no data and a new id, because the disk is empty or has lost acknowledged records.
func initializeTable(options Options, opened *table) (*table, error) {
	dataLost := opened.journal.Damaged()
	if dataLost {
		if err := opened.journal.Reset(); err != nil {
			return nil, eris.Wrap(err, "store")
		}
	}
	t := newTable(options, opened.segmentBytes)
	t.journal = opened.journal
	var id [storeIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return nil, eris.Wrap(err, "store")
	}
	if !t.appendMeta(meta{ID: hex.EncodeToString(id[:]), Complete: options.Bootstrap && !dataLost}) {
		return nil, eris.Wrap(journal.ErrFull, "store")
	}
	if err := t.journal.Sync(); err != nil {
		return nil, eris.Wrap(err, "store")
	}
	t.durableRecords = t.appendedRecords
	return t, nil
}

// replay applies one journal record at startup.
func (t *table) replay(position journal.Position, record []byte) error {
	switch body := record[1:]; record[0] {
	case metaKind:
		return t.replayMeta(body)
	case turnKind:
		head, err := storewire.DecodeTurnHead(body)
		if err != nil {
			return err
		}
		t.addTurn(head, position, initialTTL(head))
		return nil
	case programKind:
		return t.replayProgram(position, body)
	}
	return eris.Wrapf(ErrUnknownRecord, "kind %d", record[0])
}

func (t *table) replayMeta(body []byte) error {
	record, err := metaCodec.Decode(body)
	if err != nil {
		return err
	}
	view, err := storewire.DecodeView(record.View)
	if err != nil {
		return err
	}
	t.meta = meta{ID: record.ID, Complete: record.Complete, Unsettled: record.Unsettled, Fence: record.Fence, View: view}
	return nil
}

func (t *table) replayProgram(position journal.Position, body []byte) error {
	record, err := programCodec.Decode(body)
	if err != nil {
		return err
	}
	entries, err := budget.DecodeEntries(record.Entries)
	if err != nil {
		return err
	}
	program := t.findOrAddProgram(record.Name)
	if program.oldestSegment == 0 {
		program.oldestSegment = position.Segment
	}
	t.updateLedger(program, func(ledger *budget.Ledger) {
		for _, e := range entries {
			ledger.Merge(e)
		}
	})
	return nil
}

// append appends a record if at least minFree segments are free or can be reclaimed.
func (t *table) append(record []byte, minFree int) (journal.Position, bool) {
	for t.journal.FreeSegments() < minFree {
		if minFree <= minFreeForReclaim || !t.reclaim() {
			break
		}
	}
	if t.journal.FreeSegments() < minFree && minFree > minFreeForReclaim {
		return journal.Position{}, false
	}
	position, err := t.journal.Append(record)
	if err != nil {
		return journal.Position{}, false // the record is too long, or the journal is full
	}
	t.appendedRecords++
	return position, true
}

// appendMeta appends the store's own state and makes it current. It returns false if there is no room.
func (t *table) appendMeta(updated meta) bool {
	view, err := storewire.EncodeView(updated.View)
	if err != nil {
		panic(err) // the schema does not match the type
	}
	body, err := metaCodec.Encode(metaRecord{ID: updated.ID, Complete: updated.Complete, Unsettled: updated.Unsettled,
		Fence: updated.Fence, View: view})
	if err != nil {
		panic(err)
	}
	if _, ok := t.append(append([]byte{metaKind}, body...), minFreeForReclaim); !ok {
		return false
	}
	t.meta = updated
	t.meta.recordNumber = t.appendedRecords
	return true
}

// appendProgram appends budget entries of a program. It returns false if there is no room.
func (t *table) appendProgram(p *program, entries []budget.Entry, minFree int) bool {
	body, err := programCodec.Encode(storewire.Program{Name: p.name, Entries: budget.EncodeEntries(nil, entries)})
	if err != nil {
		panic(err)
	}
	position, ok := t.append(append([]byte{programKind}, body...), minFree)
	if ok && p.oldestSegment == 0 {
		p.oldestSegment = position.Segment
	}
	return ok
}

// reclaim frees the oldest segment after appending its live records anew. It returns false if that would free too
// little or fails.
func (t *table) reclaim() bool {
	oldest := t.journal.OldestSegment()
	if oldest == t.journal.NewestSegment() || t.liveTurnBytes[oldest] > t.segmentBytes*3/4 {
		return false
	}
	if !t.relocateTurns(oldest) || !t.relocatePrograms(oldest) || !t.appendMeta(t.meta) {
		return false
	}
	return t.journal.Reclaim(oldest) == nil
}

func (t *table) relocateTurns(segment uint64) bool {
	if t.liveTurnBytes[segment] == 0 {
		return true
	}
	var buffer []byte
	for _, turn := range t.turns {
		if turn.position.Segment != segment {
			continue
		}
		record, err := t.journal.Read(turn.position, buffer)
		if errors.Is(err, journal.ErrNotFound) {
			t.removeTurn(turn) // the disk has lost the record
			continue
		}
		if err != nil {
			return false
		}
		position, ok := t.append(record, minFreeForReclaim)
		if !ok {
			return false
		}
		t.setTurnPosition(turn, position)
		buffer = record[:0]
	}
	return true
}

func (t *table) relocatePrograms(segment uint64) bool {
	for _, p := range t.programs {
		if p.oldestSegment > segment || p.ledger.Len() == 0 {
			continue
		}
		previousOldest := p.oldestSegment
		p.oldestSegment = 0
		if !t.appendProgram(p, p.ledger.Entries(nil), minFreeForReclaim) {
			p.oldestSegment = previousOldest
			return false
		}
	}
	return true
}

// expireAndReclaim removes expired turns and programs and reclaims the segments that hold few live bytes.
func (t *table) expireAndReclaim() {
	t.expireTurns()
	t.expirePrograms()
	for t.journal.OldestSegment() != t.journal.NewestSegment() && t.liveTurnBytes[t.journal.OldestSegment()] <= t.segmentBytes/8 {
		if !t.reclaim() {
			return
		}
	}
}
