package replica

import (
	"bytes"
	"fmt"

	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/journal"
	"emberquay/internal/vfs"
)

// Errors returned by Inspect.
var (
	// ErrNoRecords means that the journal holds neither records nor damage.
	ErrNoRecords = eris.New("nothing is kept in it yet")
	// ErrNotReplica means that the records were not written by a replica.
	ErrNotReplica = eris.New("its records are not those of a control plane")
)

// Inspection describes the contents of a replica's disk as Open would recover them.
type Inspection struct {
	Ring    *journal.Inspection
	Records RecordCounts
	Durable chain.DurableState // the state recovered from the records
	// Findings are those of the journal and of the records in it. With some of them Open treats the disk as empty, and
	// the replica rejoins as a new member.
	Findings journal.Findings
}

// LastSequence returns the sequence number of the last entry, committed or not.
func (i *Inspection) LastSequence() int64 {
	return i.Durable.State.Sequence + int64(len(i.Durable.Entries))
}

// RecordCounts counts the records by kind, including those replaced by newer ones.
type RecordCounts struct {
	Identities int   `json:"identities"`
	Views      int   `json:"adoptions"` // views installed, and checkpoints
	Entries    int   `json:"additions"` // log entries
	Votes      int   `json:"votes"`
	Incomplete int   `json:"unfinished"` // records with missing fragments: reclaimed, or never written
	Fragments  int   `json:"parts"`      // of all records
	Bytes      int64 `json:"bytes"`      // of all fragments
}

// Inspect reads the disk of a replica without writing anything. Errors: journal.ErrNoRing, ErrNoRecords,
// ErrNotReplica, or the disk's; all other problems are listed in the findings.
func Inspect(files vfs.FS, dir string) (*Inspection, error) {
	r := &recordReader{}
	ring, err := journal.Inspect(files, dir, r.readFragment)
	switch {
	case err != nil:
		return nil, err
	case r.result.Records.Fragments > 0 && r.foreignFragments == r.result.Records.Fragments:
		return nil, ErrNotReplica
	case r.result.Records.Fragments == 0 && ring.Findings.Count == 0:
		return nil, ErrNoRecords
	}
	if r.fragments.inRecord {
		r.result.Records.Incomplete++
	}
	r.result.Ring = ring
	findings := journal.Findings{}
	findings.Merge(ring.Findings)
	findings.Merge(r.result.Findings)
	r.result.Findings = findings
	return &r.result, nil
}

// recordReader reassembles the records of a disk and recovers the state from them.
type recordReader struct {
	result           Inspection
	fragments        fragmentAssembler
	recordStart      journal.Finding // location of the first fragment of the current record
	foreignFragments int             // fragments with flags that no replica writes
	applyFailed      bool            // a record did not follow from those before it
}

// readFragment processes the next fragment.
func (r *recordReader) readFragment(file string, p journal.Position, b []byte) {
	r.result.Records.Fragments++
	r.result.Records.Bytes += int64(len(b))
	location := journal.Finding{File: file, Offset: int64(p.Offset)}
	if b[0] > firstFragment|lastFragment {
		r.foreignFragments++
		r.addFinding(location, eris.Errorf("a fragment of a record has unknown flags %d", b[0]))
		return
	}
	r.countIncomplete(b[0])
	if b[0]&firstFragment != 0 {
		r.recordStart = location
	}
	record, complete := r.fragments.add(b)
	if !complete {
		return
	}
	if err := r.apply(record); err != nil {
		r.addFinding(r.recordStart, err)
	}
}

// countIncomplete counts the records that fragmentAssembler drops, recognized by the flags of the next fragment.
func (r *recordReader) countIncomplete(flags byte) {
	first := flags&firstFragment != 0
	if first == r.fragments.inRecord { // a record begins before the previous one ended, or a fragment has no beginning
		if first || flags&lastFragment != 0 {
			r.result.Records.Incomplete++
		}
	}
}

// apply decodes a record and applies it to the durable state.
func (r *recordReader) apply(b []byte) error {
	record, err := decodeRecord(b)
	if err != nil {
		return err
	}
	// The Avro library decodes a truncated record as one whose last fields are empty.
	if reencoded, err := encodeRecord(record); err != nil || !bytes.Equal(reencoded, b) {
		return eris.New("the record is not in the canonical encoding of a replica")
	}
	switch record.(type) {
	case chain.IdentityRecord:
		r.result.Records.Identities++
	case chain.ViewRecord:
		r.result.Records.Views++
	case chain.EntryRecord:
		r.result.Records.Entries++
	case chain.VoteRecord:
		r.result.Records.Votes++
	}
	if r.applyFailed {
		return nil // later records cannot be applied either
	}
	err = r.result.Durable.Apply(record)
	r.applyFailed = err != nil
	return err
}

func (r *recordReader) addFinding(location journal.Finding, err error) {
	location.Problem = fmt.Sprint(err)
	r.result.Findings.Add(location)
}
