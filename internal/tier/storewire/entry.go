package storewire

import (
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
)

// EncodeViewEntry returns the cluster entry by which control planes distribute a view to proxies and stores. Equal
// views result in equal entries.
func EncodeViewEntry(stores controlstate.StoreView) (cluster.Entry, error) {
	value, err := EncodeView(ViewOf(stores))
	stamp := cluster.Stamp{Epoch: stores.Epoch, Sequence: 1}
	return cluster.Entry{Key: cluster.StoresKey, Value: value, Stamp: stamp}, err
}

// DecodeViewEntry returns the view in an entry. JoinEpoch of its members is not transmitted.
func DecodeViewEntry(entry cluster.Entry) (controlstate.StoreView, error) {
	view, err := DecodeView(entry.Value)
	if err != nil {
		return controlstate.StoreView{}, err
	}
	return view.StoreView(), nil
}
