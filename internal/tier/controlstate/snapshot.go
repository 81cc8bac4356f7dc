package controlstate

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/routing"
)

// A snapshot is a header, which consists of a format byte and the xxHash64 checksum of the record, and the record.
const (
	snapshotFormat      = 1
	snapshotHeaderBytes = 1 + 8
)

var snapshotSchema = avro.MustParse(`{"type":"record","name":"snapshot","fields":[
	{"name":"version","type":"long"},
	{"name":"body","type":"bytes"},
	{"name":"accepted","type":"bytes"},
	{"name":"refused","type":"bytes"},
	{"name":"epoch","type":"long"},
	{"name":"tolerance","type":"int"},
	{"name":"members","type":{"type":"array","items":{"type":"record","name":"member","fields":[
		{"name":"id","type":"string"},
		{"name":"node","type":"string"},
		{"name":"zone","type":"string"},
		{"name":"address","type":"string"},
		{"name":"retiring","type":"boolean"},
		{"name":"replaced","type":"boolean"},
		{"name":"joined","type":"long"}]}}},
	{"name":"retirements","type":{"type":"array","items":{"type":"record","name":"retirement","fields":[
		{"name":"node","type":"string"},
		{"name":"store_id","type":"string"},
		{"name":"deadline_seconds","type":"double"},
		{"name":"completed","type":"boolean"}]}}}]}`)

type snapshotRecord struct {
	Version     int64              `avro:"version"`
	Body        []byte             `avro:"body"`
	Accepted    []byte             `avro:"accepted"`
	Refused     []byte             `avro:"refused"`
	Epoch       int64              `avro:"epoch"`
	Tolerance   int32              `avro:"tolerance"`
	Members     []memberRecord     `avro:"members"`
	Retirements []retirementRecord `avro:"retirements"`
}

type memberRecord struct {
	ID       string `avro:"id"`
	Node     string `avro:"node"`
	Zone     string `avro:"zone"`
	Address  string `avro:"address"`
	Retiring bool   `avro:"retiring"`
	Replaced bool   `avro:"replaced"`
	Joined   int64  `avro:"joined"`
}

type retirementRecord struct {
	Node            string  `avro:"node"`
	StoreID         string  `avro:"store_id"`
	DeadlineSeconds float64 `avro:"deadline_seconds"`
	Completed       bool    `avro:"completed"`
}

// Snapshot encodes the whole state. Equal states give equal bytes.
func (s *State) Snapshot() []byte {
	record := snapshotRecord{
		Version:     int64(s.version),
		Body:        s.body,
		Accepted:    encodeChanges(s.accepted.changes),
		Refused:     encodeChanges(s.refused.changes),
		Epoch:       int64(s.stores.Epoch),
		Tolerance:   int32(s.stores.Tolerance),
		Members:     make([]memberRecord, 0, len(s.stores.Members)),
		Retirements: make([]retirementRecord, 0, len(s.retirements)),
	}
	for _, m := range s.stores.Members {
		record.Members = append(record.Members,
			memberRecord{m.ID, m.Node, m.Zone, m.Address, m.Retiring, m.Replaced, int64(m.JoinEpoch)})
	}
	for _, r := range s.retirements {
		record.Retirements = append(record.Retirements, retirementRecord(r))
	}
	return addHeader(mustMarshal(snapshotSchema, record))
}

// addHeader prepends the header to an encoded record.
func addHeader(record []byte) []byte {
	raw := make([]byte, 0, snapshotHeaderBytes+len(record))
	raw = append(raw, snapshotFormat)
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64(record))
	return append(raw, record...)
}

// verifyHeader checks the format and the checksum, and returns the encoded record.
func verifyHeader(raw []byte) ([]byte, error) {
	if len(raw) < snapshotHeaderBytes {
		return nil, eris.Errorf("header: %d bytes, need at least %d", len(raw), snapshotHeaderBytes)
	}
	if raw[0] != snapshotFormat {
		return nil, eris.Errorf("header: unknown format %d, want %d", raw[0], snapshotFormat)
	}
	record := raw[snapshotHeaderBytes:]
	if want, got := binary.BigEndian.Uint64(raw[1:]), xxhash.Sum64(record); want != got {
		return nil, eris.Errorf("header: checksum of the %d record bytes is %x, want %x", len(record), got, want)
	}
	return record, nil
}

// Restore replaces the state by one that Snapshot encoded. If the snapshot cannot be decoded or violates an invariant, the
// error names the place and the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	restored, err := decodeSnapshot(snapshot, s.parsed)
	if err != nil {
		return eris.Wrap(err, "snapshot of the control state")
	}
	*s = *restored
	return nil
}

// Read returns the state that Snapshot encoded, for reading. It checks the encoding and the checksum, but does not read the
// configuration again, as Restore does for a snapshot from a disk or from another process: use it for those of this
// process's own replica. Error: as of Restore.
func Read(snapshot []byte) (*State, error) {
	record, _, err := decodeRecord(snapshot)
	if err != nil {
		return nil, eris.Wrap(err, "snapshot of the control state")
	}
	state, err := record.toState()
	return state, eris.Wrap(err, "snapshot of the control state")
}

// decodeRecord verifies and decodes a snapshot. It returns the encoded record as well.
func decodeRecord(snapshot []byte) (record snapshotRecord, raw []byte, err error) {
	if raw, err = verifyHeader(snapshot); err == nil {
		err = unmarshal(snapshotSchema, raw, &record)
	}
	return record, raw, err
}

// decodeSnapshot decodes a snapshot and checks it whole. previous is a configuration read before, with which the snapshot's
// may have much in common; it may be nil.
func decodeSnapshot(snapshot []byte, previous *routing.Snapshot) (*State, error) {
	record, raw, err := decodeRecord(snapshot)
	if err != nil {
		return nil, err
	}
	// Encoding the record again detects encodings that this package never writes, such as a negative list count.
	if reencoded := mustMarshal(snapshotSchema, record); !bytes.Equal(reencoded, raw) {
		return nil, eris.Errorf("record of %d bytes is not in canonical encoding, which has %d bytes", len(raw), len(reencoded))
	}
	configuration, err := record.parseConfiguration(previous)
	if err != nil {
		return nil, err
	}
	state, err := record.toState()
	if err != nil {
		return nil, err
	}
	state.parsed = configuration
	return state, nil
}

// toState checks all invariants but those of the configuration's body, and returns the state.
func (r *snapshotRecord) toState() (*State, error) {
	s := &State{version: uint64(r.Version)}
	if r.Version > 0 {
		s.body = r.Body
	}
	var err error
	if s.accepted, err = decodeAccepted(r.Accepted, s.version); err != nil {
		return nil, eris.Wrap(err, "accepted")
	}
	if s.refused, err = decodeRefused(r.Refused); err != nil {
		return nil, eris.Wrap(err, "refused")
	}
	if err := r.restoreStores(s); err != nil {
		return nil, err
	}
	return s, r.restoreRetirements(s)
}

// parseConfiguration returns the configuration, or nil if there is none yet. previous is as of decodeSnapshot.
func (r *snapshotRecord) parseConfiguration(previous *routing.Snapshot) (*routing.Snapshot, error) {
	if r.Version == 0 && len(r.Body) == 0 {
		return nil, nil
	}
	configuration, err := routing.ParseAfter(previous, r.Body)
	if err != nil {
		return nil, eris.Wrap(err, "body")
	}
	if configuration.Version != uint64(r.Version) {
		return nil, eris.Errorf("body: version is %d, want %d", configuration.Version, r.Version)
	}
	return configuration, nil
}

func (r *snapshotRecord) restoreStores(s *State) error {
	if r.Epoch < 0 || r.Tolerance < 0 || len(r.Members) > maxMembers {
		return eris.Errorf("members: epoch %d, tolerance %d, %d members", r.Epoch, r.Tolerance, len(r.Members))
	}
	s.stores = StoreView{Epoch: uint64(r.Epoch), Tolerance: int(r.Tolerance)}
	for i, m := range r.Members {
		if m.ID == "" || m.Node == "" || m.Address == "" || m.Joined < 1 || m.Joined > r.Epoch {
			return eris.Errorf("members[%d]: %+v is invalid in epoch %d", i, m, r.Epoch)
		}
		if s.memberIndexByID(m.ID) >= 0 || s.memberIndexByNode(m.Node) >= 0 {
			return eris.Errorf("members[%d]: duplicate store %q or node %q", i, m.ID, m.Node)
		}
		s.stores.Members = append(s.stores.Members, StoreMember{ID: m.ID, Node: m.Node, Zone: m.Zone, Address: m.Address,
			Retiring: m.Retiring, Replaced: m.Replaced, JoinEpoch: uint64(m.Joined)})
	}
	return nil
}

func (r *snapshotRecord) restoreRetirements(s *State) error {
	if len(r.Retirements) > maxRetirements {
		return eris.Errorf("retirements: %d, %d at most", len(r.Retirements), maxRetirements)
	}
	for i, retirement := range r.Retirements {
		if retirement.Node == "" || s.retirementIndex(retirement.Node) >= 0 {
			return eris.Errorf("retirements[%d]: node %q is empty or a duplicate", i, retirement.Node)
		}
		s.retirements = append(s.retirements, Retirement(retirement))
	}
	return nil
}
