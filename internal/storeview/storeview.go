// Package storeview carries the list of stores from the control state to those who work by it: the control
// planes spread it as an entry of the cluster's table, proxies and stores read it from there.
package storeview

import (
	"emberquay/internal/cluster"
	"emberquay/internal/controlstate"
	"emberquay/internal/transport"
)

// view is controlstate.StoreView on the wire, without what only the control state needs.
type view struct {
	Epoch     int64    `avro:"epoch"`
	Tolerance int      `avro:"tolerance"`
	Members   []member `avro:"members"`
}

type member struct {
	ID       string `avro:"id"`
	Node     string `avro:"node"`
	Zone     string `avro:"zone"`
	Address  string `avro:"address"`
	Retiring bool   `avro:"retiring"`
	Replaced bool   `avro:"replaced"`
}

var views = transport.MustCodec[view](`{"type":"record","name":"View","fields":[
	{"name":"epoch","type":"long"},
	{"name":"tolerance","type":"int"},
	{"name":"members","type":{"type":"array","items":{"type":"record","name":"Member","fields":[
		{"name":"id","type":"string"},
		{"name":"node","type":"string"},
		{"name":"zone","type":"string"},
		{"name":"address","type":"string"},
		{"name":"retiring","type":"boolean"},
		{"name":"replaced","type":"boolean"}]}}}]}`)

// Entry gives the entry that spreads a view. All who make it of the same view make the same.
func Entry(stores controlstate.StoreView) (cluster.Entry, error) {
	wire := view{Epoch: int64(stores.Epoch), Tolerance: stores.Tolerance, Members: make([]member, 0, len(stores.Members))}
	for _, m := range stores.Members {
		wire.Members = append(wire.Members, member{ID: m.ID, Node: m.Node, Zone: m.Zone, Address: m.Address, Retiring: m.Retiring, Replaced: m.Replaced})
	}
	value, err := views.Encode(wire)
	stamp := cluster.Stamp{Epoch: stores.Epoch, Sequence: 1}
	return cluster.Entry{Key: cluster.StoresKey, Value: value, Stamp: stamp}, err
}

// Read gives the view that an entry spreads; its Joined is not told.
func Read(entry cluster.Entry) (controlstate.StoreView, error) {
	wire, err := views.Decode(entry.Value)
	if err != nil {
		return controlstate.StoreView{}, err
	}
	stores := controlstate.StoreView{Epoch: uint64(wire.Epoch), Tolerance: wire.Tolerance}
	for _, m := range wire.Members {
		stores.Members = append(stores.Members, controlstate.StoreMember{ID: m.ID, Node: m.Node, Zone: m.Zone, Address: m.Address, Retiring: m.Retiring, Replaced: m.Replaced})
	}
	return stores, nil
}
