package controlstate

import (
	"strconv"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"
)

// Kind says what a command asks for. The numbers stand in what replicas keep and must not change.
type Kind int32

// The kinds of command, and the fields that each of them reads.
const (
	ReplaceConfiguration Kind = 1 // Base, HasBase, Body
	ModifyConfiguration  Kind = 2 // Base, HasBase, Body
	RegisterStore        Kind = 3 // Store, Bootstrap, Tolerance
	RetireStore          Kind = 4 // Base, HasBase, Node, DeadlineSeconds
	RetireCompleted      Kind = 5 // Node, StoreID
	RemoveStore          Kind = 6 // StoreID
)

// String names a kind.
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
	}
	return "command " + strconv.Itoa(int(k))
}

// Command is one change that is asked for.
type Command struct {
	Kind Kind

	// Base is the version that a change of the configuration builds on, 0 for the first; of RetireStore the epoch of the
	// store view when the order came in.
	Base    uint64
	HasBase bool   // the caller named one
	Body    []byte // as the operator sent it

	Store     StoreMember // its Retiring, Replaced and Joined are not read
	Bootstrap bool        // the store starts with the whole system, so that nothing can have been kept before
	Tolerance int         // machines that may be lost at once; the first command that registers a store counts

	Node            string
	DeadlineSeconds float64
	StoreID         string
}

// The statuses of a Result: those of HTTP, since the caller hands them on.
const (
	StatusOK                 = 200
	StatusBadRequest         = 400
	StatusNotFound           = 404
	StatusConflict           = 409
	StatusPreconditionFailed = 412
	// StatusUnknown is no refusal: whether the command was carried out before is not known, or it can't be refused for good.
	StatusUnknown = 503
)

// Result is what became of a command.
type Result struct {
	Status  int    // one of the statuses above
	Message string // the reason of a refusal
	// Version is, of commands on the configuration that are accepted, the version that they brought; of those that are
	// refused, the one in force; of commands on stores, the epoch of the view after them.
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

// commandRecord is a command as it is coded. A command has either a store or a node and a store's ID.
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

// EncodeCommand codes a command for Apply.
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

// DecodeCommand reads what EncodeCommand wrote.
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

// DecodeResult reads what Apply gave.
func DecodeResult(raw []byte) (Result, error) {
	var record resultRecord
	if err := unmarshal(resultSchema, raw, &record); err != nil {
		return Result{}, eris.Wrap(err, "result")
	}
	return Result{Status: int(record.Status), Message: record.Message, Version: uint64(record.Version)}, nil
}
