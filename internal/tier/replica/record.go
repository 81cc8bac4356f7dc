package replica

import (
	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
)

var recordCodecs = typeCodecs[chain.Record]{
	codecOf[chain.Record](newCodec[chain.IdentityRecord]("Identity", "Member", memberType, "Known", stringArrayType)),
	codecOf[chain.Record](newCodec[chain.ViewRecord]("Adoption", "View", viewType, "State", stateType, "Committed", longType, "Last", entryArrayType)),
	codecOf[chain.Record](newCodec[chain.EntryRecord]("Addition", "Epoch", longType, "Entry", entryType)),
	codecOf[chain.Record](newCodec[chain.VoteRecord]("Vote", "Epoch", longType, "Acceptor", acceptorType)),
}

// encodeRecord encodes a record as a byte for its kind, followed by its Avro encoding.
func encodeRecord(r chain.Record) ([]byte, error) {
	kind, body, err := recordCodecs.encode(r)
	return append([]byte{byte(kind)}, body...), err
}

func decodeRecord(b []byte) (chain.Record, error) {
	if len(b) == 0 {
		return nil, eris.New("replica: empty record")
	}
	return recordCodecs.decode(int(b[0]), b[1:])
}

// fragmentFlagsBytes is the length of the flags before the part of a record in a fragment.
const fragmentFlagsBytes = 1

// Flags in the first byte of a fragment: whether the fragment begins or ends its record.
const (
	firstFragment byte = 1 << iota
	lastFragment
)

func encodeFragment(b []byte, first, last bool) []byte {
	flags := byte(0)
	if first {
		flags |= firstFragment
	}
	if last {
		flags |= lastFragment
	}
	return append([]byte{flags}, b...)
}

// fragmentAssembler joins fragments into records. It drops records without a beginning (their segment was reclaimed) and
// without an end (the process ended before writing it).
type fragmentAssembler struct {
	inRecord bool
	buffer   []byte
}

// add takes the next fragment and returns the record if the fragment completes it. The record is valid until the next call.
func (a *fragmentAssembler) add(fragment []byte) (record []byte, complete bool) {
	if len(fragment) == 0 {
		return nil, false
	}
	if fragment[0]&firstFragment != 0 {
		a.inRecord, a.buffer = true, a.buffer[:0]
	}
	if !a.inRecord {
		return nil, false
	}
	a.buffer = append(a.buffer, fragment[1:]...)
	if fragment[0]&lastFragment == 0 {
		return nil, false
	}
	a.inRecord = false
	return a.buffer, true
}
