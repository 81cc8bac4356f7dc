package storewire

import (
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
)

// EncodeViewEntry gives the entry of the cluster's table by which control planes spread a view to proxies and stores. All who make it of the same view make the same.
func EncodeViewEntry(stores controlstate.StoreView) (cluster.Entry, error) {
	value, err := EncodeView(ViewOf(stores))
	stamp := cluster.Stamp{Epoch: stores.Epoch, Sequence: 1}
	return cluster.Entry{Key: cluster.StoresKey, Value: value, Stamp: stamp}, err
}

// DecodeViewEntry gives the view that an entry spreads; its Joined is not told.
func DecodeViewEntry(entry cluster.Entry) (controlstate.StoreView, error) {
	view, err := DecodeView(entry.Value)
	if err != nil {
		return controlstate.StoreView{}, err
	}
	return view.StoreView(), nil
}
