package replica

import (
	"github.com/rotisserie/eris"

	"emberquay/coordination/chain"
)

var records = variants[chain.Record]{
	as[chain.Record](record[chain.IdentityRecord]("Identity", "Member", member, "Known", texts)),
	as[chain.Record](record[chain.ViewRecord]("Adoption", "View", aView, "State", state, "Committed", long, "Last", entries)),
	as[chain.Record](record[chain.EntryRecord]("Addition", "Epoch", long, "Entry", entry)),
	as[chain.Record](record[chain.VoteRecord]("Vote", "Epoch", long, "Acceptor", acceptor)),
}

// encodeRecord puts the kind before the record's bytes.
func encodeRecord(r chain.Record) ([]byte, error) {
	kind, body, err := records.encode(r)
	return append([]byte{byte(kind)}, body...), err
}

func decodeRecord(b []byte) (chain.Record, error) {
	if len(b) == 0 {
		return nil, eris.New("replica: empty record")
	}
	return records.decode(int(b[0]), b[1:])
}

// A part of a record begins with a byte that says where it belongs.
const (
	firstPart byte = 1 << iota
	lastPart
)

func part(b []byte, first, last bool) []byte {
	mark := byte(0)
	if first {
		mark |= firstPart
	}
	if last {
		mark |= lastPart
	}
	return append([]byte{mark}, b...)
}

// assembler joins parts. What has no beginning (its segment was reclaimed) or no end (the process ended) is dropped.
type assembler struct {
	open bool
	b    []byte
}

// add takes the next part; the record is whole if it was the last one. It is valid until the next call.
func (a *assembler) add(p []byte) (record []byte, whole bool) {
	if len(p) == 0 {
		return nil, false
	}
	if p[0]&firstPart != 0 {
		a.open, a.b = true, a.b[:0]
	}
	if !a.open {
		return nil, false
	}
	a.b = append(a.b, p[1:]...)
	if p[0]&lastPart == 0 {
		return nil, false
	}
	a.open = false
	return a.b, true
}
