package controlplane

import (
	"context"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
)

func (p *Plane) registerStores(mux *transport.Mux) {
	storewire.HandleStoreNews(mux, storewire.RegisterStore, p.registerStore)
	storewire.HandleStoreNews(mux, storewire.StoreRetired, p.storeRetired)
}

// registerStore has a disk taken into the store view.
func (p *Plane) registerStore(ctx context.Context, n storewire.StoreNews) (storewire.StoreNewsAnswer, error) {
	return p.storeOrder(ctx, controlstate.Command{
		Kind:      controlstate.RegisterStore,
		Store:     controlstate.StoreMember{ID: n.ID, Node: n.Node, Zone: n.Zone, Address: n.Address},
		Bootstrap: n.Bootstrap,
		Tolerance: p.base.Settings.Tolerance.Machines,
	})
}

// storeRetired notes that nothing is left on a store's disk that is not elsewhere.
func (p *Plane) storeRetired(ctx context.Context, n storewire.StoreNews) (storewire.StoreNewsAnswer, error) {
	return p.storeOrder(ctx, controlstate.Command{Kind: controlstate.RetireCompleted, Node: n.Node, StoreID: n.ID})
}

func (p *Plane) storeOrder(ctx context.Context, c controlstate.Command) (storewire.StoreNewsAnswer, error) {
	result, err := p.propose(ctx, c)
	if err != nil {
		return storewire.StoreNewsAnswer{}, err
	}
	return storewire.StoreNewsAnswer{Status: result.Status, Reason: result.Message}, nil
}

// propose hands a command to the chain and reads its result. An error leaves its fate open.
func (p *Plane) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	reply, err := p.replica.Propose(ctx, controlstate.EncodeCommand(command))
	if err != nil {
		return controlstate.Result{}, eris.Wrap(err, "propose")
	}
	return controlstate.DecodeResult(reply)
}
