package replica

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/journal"
	"emberquay/internal/vfs"
)

// Errors of Inspect.
var (
	// ErrNoRecords: the ring holds no record, nor anything that is damaged.
	ErrNoRecords = eris.New("nothing is kept in it yet")
	// ErrNotReplica: the records are not those of a replica.
	ErrNotReplica = eris.New("its records are not those of a control plane")
)

// Inspection is what the disk of a replica holds, as Open would take it up.
type Inspection struct {
	Ring    *journal.Inspection
	Records RecordCounts
	Durable chain.DurableState // what the records add up to
	// Findings are those of the ring and of the records in it. After some of them, Open takes the disk for
	// empty, and the replica comes back as a new member.
	Findings journal.Findings
}

// LastSequence is that of the last entry taken, committed or not.
func (i *Inspection) LastSequence() int64 {
	return i.Durable.State.Sequence + int64(len(i.Durable.Entries))
}

// RecordCounts counts the records by kind, those included that newer ones replace.
type RecordCounts struct {
	Identities int   `json:"identities"`
	Views      int   `json:"adoptions"` // of views, and checkpoints
	Entries    int   `json:"additions"` // entries taken
	Votes      int   `json:"votes"`
	Incomplete int   `json:"unfinished"` // parts are missing: reclaimed, or never written
	Fragments  int   `json:"parts"`      // in the journal, of all records
	Bytes      int64 `json:"bytes"`      // of all parts
}

// Inspect reads the disk of a replica without writing anything. Errors: journal.ErrNoRing, ErrNoRecords,
// ErrNotReplica, or the disk's; all else that is wrong is in the findings.
func Inspect(files vfs.FS, dir string) (*Inspection, error) {
	r := &diskReader{}
	ring, err := journal.Inspect(files, dir, r.take)
	switch {
	case err != nil:
		return nil, err
	case r.found.Records.Fragments > 0 && r.foreign == r.found.Records.Fragments:
		return nil, ErrNotReplica
	case r.found.Records.Fragments == 0 && ring.Findings.Count == 0:
		return nil, ErrNoRecords
	}
	if r.parts.open {
		r.found.Records.Incomplete++
	}
	r.found.Ring = ring
	findings := journal.Findings{}
	findings.Merge(ring.Findings)
	findings.Merge(r.found.Findings)
	r.found.Findings = findings
	return &r.found, nil
}

// diskReader adds up the records of a disk.
type diskReader struct {
	found   Inspection
	parts   assembler
	first   journal.Finding // the place of the first part of the present record
	foreign int             // parts that no replica writes
	broken  bool            // a record could not follow those before it
}

// take takes the next part of a record.
func (r *diskReader) take(file string, p journal.Position, b []byte) {
	r.found.Records.Fragments++
	r.found.Records.Bytes += int64(len(b))
	place := journal.Finding{File: file, Offset: int64(p.Offset)}
	if b[0] > firstPart|lastPart {
		r.foreign++
		r.damage(place, eris.Errorf("a part of a record is marked %d", b[0]))
		return
	}
	r.unfinished(b[0])
	if b[0]&firstPart != 0 {
		r.first = place
	}
	record, whole := r.parts.add(b)
	if !whole {
		return
	}
	if err := r.apply(record); err != nil {
		r.damage(r.first, err)
	}
}

// unfinished counts the records that assembler drops, seen by the mark of the next part.
func (r *diskReader) unfinished(mark byte) {
	begins := mark&firstPart != 0
	if begins == r.parts.open { // another one begins before the end, or a part has no beginning
		if begins || mark&lastPart != 0 {
			r.found.Records.Incomplete++
		}
	}
}

// apply decodes a record and adds it to what the disk holds.
func (r *diskReader) apply(b []byte) error {
	record, err := decodeRecord(b)
	if err != nil {
		return err
	}
	// The library takes a record that ends too early for one whose last fields are empty.
	if again, err := encodeRecord(record); err != nil || !bytes.Equal(again, b) {
		return eris.New("the record is coded otherwise than a replica does")
	}
	switch record.(type) {
	case chain.IdentityRecord:
		r.found.Records.Identities++
	case chain.ViewRecord:
		r.found.Records.Views++
	case chain.EntryRecord:
		r.found.Records.Entries++
	case chain.VoteRecord:
		r.found.Records.Votes++
	}
	if r.broken {
		return nil // what follows cannot follow either
	}
	err = r.found.Durable.Apply(record)
	r.broken = err != nil
	return err
}

func (r *diskReader) damage(place journal.Finding, err error) {
	place.Problem = fmt.Sprint(err)
	r.found.Findings.Add(place)
}
