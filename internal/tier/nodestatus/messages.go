package nodestatus

import (
	"time"

	"emberquay/internal/tier/transport"
)

// Method requests the status of a process of any role.
const Method transport.Method = "node.status"

// Request is the message of a status request.
type Request struct{}

// Status is the state of a process and its knowledge of the cluster. One of Control, Store and Proxy is set.
type Status struct {
	Name                 string `avro:"name" json:"name"` // of the machine
	Role                 string `avro:"role" json:"role"`
	Zone                 string `avro:"zone" json:"zone"`
	Address              string `avro:"address" json:"address"` // internal, ip:port
	Incarnation          int64  `avro:"incarnation" json:"incarnation"`
	UptimeMillis         int64  `avro:"uptime_millis" json:"uptime_ms"`
	ConfigurationVersion int64  `avro:"configuration" json:"configuration"` // version in force in the process; 0: none yet

	Nodes     []NodeCounts   `avro:"nodes" json:"nodes"` // by role
	Receivers ReceiverCounts `avro:"receivers" json:"receivers"`

	Control *Control `avro:"control" json:"control,omitempty"`
	Store   *Store   `avro:"store" json:"store,omitempty"`
	Proxy   *Proxy   `avro:"proxy" json:"proxy,omitempty"`
}

// NodeCounts counts the known processes of a role, including this one.
type NodeCounts struct {
	Role  string `avro:"role" json:"role"`
	Known int    `avro:"known" json:"known"`
	Alive int    `avro:"alive" json:"alive"` // including suspected ones
}

// ReceiverCounts counts the known receivers by state. Receivers that are gone stay known for a minute.
type ReceiverCounts struct {
	Ready    int `avro:"ready" json:"ready"`
	Draining int `avro:"draining" json:"draining"`
	Silent   int `avro:"silent" json:"silent"`
	Gone     int `avro:"gone" json:"gone"`
}

// Control is the status of a control plane's replica.
type Control struct {
	ID      int64    `avro:"id" json:"id"`         // of the member as which it votes
	Member  bool     `avro:"member" json:"member"` // of the view below
	Epoch   int64    `avro:"epoch" json:"epoch"`   // of its own view, or of the newest view it has learned of
	Members []Member `avro:"members" json:"members"`
	Chain   []int64  `avro:"chain" json:"chain"` // ids, head first
	// StoreEpoch is the epoch of the store view known to the process; 0: none.
	StoreEpoch int64 `avro:"store_epoch" json:"store_epoch"`
	// StoreRedundancy is exposed as metrics only, as Proxy.Admission is. nil: no control state is known yet.
	StoreRedundancy *StoreRedundancy `avro:"-" json:"-"`
}

// StoreRedundancy is how many losses the records of the stores bear.
type StoreRedundancy struct {
	ToleratedLosses int           // stores that may be lost now: the setting, less those that have failed and are not removed yet
	DegradedTime    time.Duration // for which it has been less than the setting; 0: it isn't
}

// Member is a member that votes on the views of the control state.
type Member struct {
	ID      int64  `avro:"id" json:"id"`
	Name    string `avro:"name" json:"name"` // of the machine; empty for members of the first view
	Address string `avro:"address" json:"address"`
	Zone    string `avro:"zone" json:"zone"`
}

// Store is the status of a store.
type Store struct {
	ID           string `avro:"id" json:"id"` // of its disk
	Complete     bool   `avro:"complete" json:"complete"`
	Retiring     bool   `avro:"retiring" json:"retiring"`
	Member       bool   `avro:"member" json:"member"` // of the view in use
	Epoch        int64  `avro:"epoch" json:"epoch"`   // of that view; 0: none
	Members      int    `avro:"members" json:"members"`
	Turns        int    `avro:"turns" json:"turns"`
	TurnBytes    int64  `avro:"turn_bytes" json:"turn_bytes"` // on the disk
	Programs     int    `avro:"programs" json:"programs"`
	Reservations int    `avro:"entries" json:"entries"`       // of all programs, including settled ones
	RingBytes    int64  `avro:"ring_bytes" json:"ring_bytes"` // of all segments that the ring may have
	FreeBytes    int64  `avro:"free_bytes" json:"free_bytes"` // of the free segments
}

// Proxy is the status of a data plane's requests.
type Proxy struct {
	Ready    bool  `avro:"ready" json:"ready"`     // reported to the platform, which may then send clients
	InFlight int   `avro:"in_hand" json:"in_hand"` // requests read and not completely answered
	Arrived  int64 `avro:"arrived" json:"arrived"` // requests submitted to admission since the start
	Refused  int64 `avro:"refused" json:"refused"` // of these, the ones that admission refused
	// Admission is exposed as metrics only, so that the call's messages stay those of earlier builds.
	Admission *AdmissionStats `avro:"-" json:"-"`
}

// AdmissionStats are the counters and the present load of a data plane's admission.
type AdmissionStats struct {
	Refusals                    []RefusalCount // one for each reason
	Attempts                    int64
	Queued, InFlight, Allowance int
	ShutdownPhase               int // 0: serving, 1: told to stop and still accepting, 2: completing the requests already read
}

// RefusalCount is the number of refusals for one reason.
type RefusalCount struct {
	Reason string
	Count  int64
}

var requestCodec = transport.MustCodec[Request](`{"type":"record","name":"StatusRequest","fields":[]}`)

var statusCodec = transport.MustCodec[Status](`{"type":"record","name":"Status","fields":[
	{"name":"name","type":"string"},
	{"name":"role","type":"string"},
	{"name":"zone","type":"string"},
	{"name":"address","type":"string"},
	{"name":"incarnation","type":"long"},
	{"name":"uptime_millis","type":"long"},
	{"name":"configuration","type":"long"},
	{"name":"nodes","type":{"type":"array","items":{"type":"record","name":"Nodes","fields":[
		{"name":"role","type":"string"},
		{"name":"known","type":"int"},
		{"name":"alive","type":"int"}]}}},
	{"name":"receivers","type":{"type":"record","name":"Receivers","fields":[
		{"name":"ready","type":"int"},
		{"name":"draining","type":"int"},
		{"name":"silent","type":"int"},
		{"name":"gone","type":"int"}]}},
	{"name":"control","type":["null",{"type":"record","name":"Control","fields":[
		{"name":"id","type":"long"},
		{"name":"member","type":"boolean"},
		{"name":"epoch","type":"long"},
		{"name":"members","type":{"type":"array","items":{"type":"record","name":"Member","fields":[
			{"name":"id","type":"long"},
			{"name":"name","type":"string"},
			{"name":"address","type":"string"},
			{"name":"zone","type":"string"}]}}},
		{"name":"chain","type":{"type":"array","items":"long"}},
		{"name":"store_epoch","type":"long"}]}]},
	{"name":"store","type":["null",{"type":"record","name":"Store","fields":[
		{"name":"id","type":"string"},
		{"name":"complete","type":"boolean"},
		{"name":"retiring","type":"boolean"},
		{"name":"member","type":"boolean"},
		{"name":"epoch","type":"long"},
		{"name":"members","type":"int"},
		{"name":"turns","type":"int"},
		{"name":"turn_bytes","type":"long"},
		{"name":"programs","type":"int"},
		{"name":"entries","type":"int"},
		{"name":"ring_bytes","type":"long"},
		{"name":"free_bytes","type":"long"}]}]},
	{"name":"proxy","type":["null",{"type":"record","name":"Proxy","fields":[
		{"name":"ready","type":"boolean"},
		{"name":"in_hand","type":"int"},
		{"name":"arrived","type":"long"},
		{"name":"refused","type":"long"}]}]}]}`)
