// Package storeview carries the list of stores from the control state to those who work by it: the control
// planes spread it as an entry of the cluster's table, proxies and stores read it from there.
package storeview

import (
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
)

// Entry gives the entry that spreads a view. All who make it of the same view make the same.
func Entry(stores controlstate.StoreView) (cluster.Entry, error) {
	value, err := storewire.EncodeView(storewire.ViewOf(stores))
	stamp := cluster.Stamp{Epoch: stores.Epoch, Sequence: 1}
	return cluster.Entry{Key: cluster.StoresKey, Value: value, Stamp: stamp}, err
}

// Read gives the view that an entry spreads; its Joined is not told.
func Read(entry cluster.Entry) (controlstate.StoreView, error) {
	view, err := storewire.DecodeView(entry.Value)
	if err != nil {
		return controlstate.StoreView{}, err
	}
	return view.State(), nil
}
