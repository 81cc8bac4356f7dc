package controlstate

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"

	"emberquay/internal/tier/routing"
)

// A snapshot is a byte that tells its form, the xxHash64 of the record behind it, and the record.
const (
	snapshotForm = 1
	snapshotHead = 1 + 8
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

// Snapshot codes the whole state. Equal states give equal bytes.
func (s *State) Snapshot() []byte {
	record := snapshotRecord{
		Version:     int64(s.version),
		Body:        s.body,
		Accepted:    encodeChanges(s.accepted.order),
		Refused:     encodeChanges(s.refused.order),
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
	return seal(mustMarshal(snapshotSchema, record))
}

// seal puts the head before a coded record.
func seal(record []byte) []byte {
	raw := make([]byte, 0, snapshotHead+len(record))
	raw = append(raw, snapshotForm)
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64(record))
	return append(raw, record...)
}

// open checks the head and gives the coded record.
func open(raw []byte) ([]byte, error) {
	if len(raw) < snapshotHead {
		return nil, eris.Errorf("head: %d bytes, %d at least", len(raw), snapshotHead)
	}
	if raw[0] != snapshotForm {
		return nil, eris.Errorf("head: form %d is not known, %d is", raw[0], snapshotForm)
	}
	record := raw[snapshotHead:]
	if want, got := binary.BigEndian.Uint64(raw[1:]), xxhash.Sum64(record); want != got {
		return nil, eris.Errorf("head: the checksum of the %d bytes behind it is %x, not %x", len(record), got, want)
	}
	return record, nil
}

// Restore takes over a state that Snapshot coded. Where it cannot be read or breaks an invariant the error says where,
// and the state stays what it was.
func (s *State) Restore(snapshot []byte) error {
	restored, err := decodeSnapshot(snapshot)
	if err != nil {
		return eris.Wrap(err, "snapshot of the control state")
	}
	*s = *restored
	return nil
}

func decodeSnapshot(snapshot []byte) (*State, error) {
	raw, err := open(snapshot)
	if err != nil {
		return nil, err
	}
	var record snapshotRecord
	if err := unmarshal(snapshotSchema, raw, &record); err != nil {
		return nil, err
	}
	// Coding again finds forms that this package never writes, as a list whose count is negative.
	if again := mustMarshal(snapshotSchema, record); !bytes.Equal(again, raw) {
		return nil, eris.Errorf("the record of %d bytes is coded otherwise, in %d", len(raw), len(again))
	}
	return record.state()
}

// state checks the invariants and gives the state.
func (r *snapshotRecord) state() (*State, error) {
	s := &State{version: uint64(r.Version)}
	if err := r.checkConfiguration(); err != nil {
		return nil, err
	}
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

func (r *snapshotRecord) checkConfiguration() error {
	if r.Version == 0 && len(r.Body) == 0 {
		return nil
	}
	configuration, err := routing.Parse(r.Body)
	if err != nil {
		return eris.Wrap(err, "body")
	}
	if configuration.Version != uint64(r.Version) {
		return eris.Errorf("body: it has version %d, not %d", configuration.Version, r.Version)
	}
	return nil
}

func (r *snapshotRecord) restoreStores(s *State) error {
	if r.Epoch < 0 || r.Tolerance < 0 || len(r.Members) > maxMembers {
		return eris.Errorf("members: epoch %d, tolerance %d, %d members", r.Epoch, r.Tolerance, len(r.Members))
	}
	s.stores = StoreView{Epoch: uint64(r.Epoch), Tolerance: int(r.Tolerance)}
	for i, m := range r.Members {
		if m.ID == "" || m.Node == "" || m.Address == "" || m.Joined < 1 || m.Joined > r.Epoch {
			return eris.Errorf("members[%d]: %+v makes no sense in epoch %d", i, m, r.Epoch)
		}
		if s.memberOf(m.ID) >= 0 || s.memberAt(m.Node) >= 0 {
			return eris.Errorf("members[%d]: store %q on node %q stands there twice", i, m.ID, m.Node)
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
	for i, one := range r.Retirements {
		if one.Node == "" || s.retirementOf(one.Node) >= 0 {
			return eris.Errorf("retirements[%d]: node %q is empty or stands there twice", i, one.Node)
		}
		s.retirements = append(s.retirements, Retirement(one))
	}
	return nil
}
