package controlstate

import (
	"strconv"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"
)

// Kind identifies the operation of a command. Its values are stored by replicas and must not change.
type Kind int32

// The kinds of command, and the fields that each of them reads.
const (
	ReplaceConfiguration Kind = 1 // Base, HasBase, Body
	ModifyConfiguration  Kind = 2 // Base, HasBase, Body
	RegisterStore        Kind = 3 // Store, Bootstrap, Tolerance
	RetireStore          Kind = 4 // Base, HasBase, Node, DeadlineSeconds
	RetireCompleted      Kind = 5 // Node, StoreID
	RemoveStore          Kind = 6 // StoreID, Base, HasBase
	FailStore            Kind = 7 // StoreID, Base, HasBase
	RestoreStore         Kind = 8 // StoreID
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case ReplaceConfiguration:
		return "ReplaceConfiguration"
	case ModifyConfiguration:
		return "ModifyConfiguration"
	case RegisterStore:
		return "RegisterStore"
	case RetireStore:
		return "RetireStore"
	case RetireCompleted:
		return "RetireCompleted"
	case RemoveStore:
		return "RemoveStore"
	case FailStore:
		return "FailStore"
	case RestoreStore:
		return "RestoreStore"
	}
	return "command " + strconv.Itoa(int(k))
}

// Command is a request to change the control state.
type Command struct {
	Kind Kind

	// Base is the version that a change of the configuration builds on, 0 for the first one. For RetireStore, FailStore and
	// RemoveStore it is the epoch of the store view on which the request was decided.
	Base    uint64
	HasBase bool   // the caller specified a base
	Body    []byte // as the operator sent it

	Store     StoreMember // Retiring, Replaced and JoinEpoch are ignored
	Bootstrap bool        // the store is started with a new system, so no data can have been stored before
	Tolerance int         // machines that may be lost at once; set by the first command that registers a store

	Node            string
	DeadlineSeconds float64
	StoreID         string
}

// The statuses of a Result are HTTP status codes, since callers pass them on.
const (
	StatusOK                 = 200
	StatusBadRequest         = 400
	StatusNotFound           = 404
	StatusConflict           = 409
	StatusPreconditionFailed = 412
	// StatusUnknown is not a refusal: either it is not known whether the command was executed before, or a refusal could
	// not be recorded so that it lasts.
	StatusUnknown = 503
)

// Result is the outcome of a command.
type Result struct {
	Status  int    // one of the statuses above
	Message string // the reason for a refusal
	// Version is the new version for an accepted change of the configuration, the version in force for a refused one,
	// and the epoch of the store view after the command for commands on stores.
	Version uint64
}

var commandSchema = avro.MustParse(`{"type":"record","name":"command","fields":[
	{"name":"kind","type":"int"},
	{"name":"base","type":"long"},
	{"name":"has_base","type":"boolean"},
	{"name":"body","type":"bytes"},
	{"name":"store_id","type":"string"},
	{"name":"node","type":"string"},
	{"name":"zone","type":"string"},
	{"name":"address","type":"string"},
	{"name":"bootstrap","type":"boolean"},
	{"name":"tolerance","type":"int"},
	{"name":"deadline_seconds","type":"double"}]}`)

// commandRecord is the stored form of a Command. store_id and node hold either Store.ID and Store.Node (RegisterStore) or
// StoreID and Node (all others).
type commandRecord struct {
	Kind            int32   `avro:"kind"`
	Base            int64   `avro:"base"`
	HasBase         bool    `avro:"has_base"`
	Body            []byte  `avro:"body"`
	StoreID         string  `avro:"store_id"`
	Node            string  `avro:"node"`
	Zone            string  `avro:"zone"`
	Address         string  `avro:"address"`
	Bootstrap       bool    `avro:"bootstrap"`
	Tolerance       int32   `avro:"tolerance"`
	DeadlineSeconds float64 `avro:"deadline_seconds"`
}

var resultSchema = avro.MustParse(`{"type":"record","name":"result","fields":[
	{"name":"status","type":"int"},
	{"name":"message","type":"string"},
	{"name":"version","type":"long"}]}`)

type resultRecord struct {
	Status  int32  `avro:"status"`
	Message string `avro:"message"`
	Version int64  `avro:"version"`
}

// EncodeCommand encodes a command for Apply.
func EncodeCommand(c Command) []byte {
	record := commandRecord{
		Kind:            int32(c.Kind),
		Base:            int64(c.Base),
		HasBase:         c.HasBase,
		Body:            c.Body,
		StoreID:         c.StoreID,
		Node:            c.Node,
		Bootstrap:       c.Bootstrap,
		Tolerance:       int32(c.Tolerance),
		DeadlineSeconds: c.DeadlineSeconds,
	}
	if c.Kind == RegisterStore {
		record.StoreID = c.Store.ID
		record.Node = c.Store.Node
		record.Zone = c.Store.Zone
		record.Address = c.Store.Address
	}
	return mustMarshal(commandSchema, record)
}

// DecodeCommand decodes a command that EncodeCommand encoded.
func DecodeCommand(raw []byte) (Command, error) {
	var record commandRecord
	if err := unmarshal(commandSchema, raw, &record); err != nil {
		return Command{}, eris.Wrap(err, "command")
	}
	c := Command{
		Kind:            Kind(record.Kind),
		Base:            uint64(record.Base),
		HasBase:         record.HasBase,
		Body:            record.Body,
		Bootstrap:       record.Bootstrap,
		Tolerance:       int(record.Tolerance),
		DeadlineSeconds: record.DeadlineSeconds,
	}
	if c.Kind == RegisterStore {
		c.Store = StoreMember{ID: record.StoreID, Node: record.Node, Zone: record.Zone, Address: record.Address}
		return c, nil
	}
	c.Node = record.Node
	c.StoreID = record.StoreID
	return c, nil
}

func encodeResult(r Result) []byte {
	return mustMarshal(resultSchema, resultRecord{int32(r.Status), r.Message, int64(r.Version)})
}

// DecodeResult decodes a result that Apply returned.
func DecodeResult(raw []byte) (Result, error) {
	var record resultRecord
	if err := unmarshal(resultSchema, raw, &record); err != nil {
		return Result{}, eris.Wrap(err, "result")
	}
	return Result{Status: int(record.Status), Message: record.Message, Version: uint64(record.Version)}, nil
}
