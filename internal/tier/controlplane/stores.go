package controlplane

import (
	"context"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
)

func (p *Plane) registerStoreHandlers(mux *transport.Mux) {
	storewire.HandleStoreNotifications(mux, storewire.RegisterStore, p.handleRegisterStore)
	storewire.HandleStoreNotifications(mux, storewire.StoreRetired, p.handleStoreRetired)
}

// handleRegisterStore proposes to add a store to the store view.
func (p *Plane) handleRegisterStore(ctx context.Context, notification storewire.StoreNotification) (storewire.StoreNotificationAnswer, error) {
	return p.proposeStoreCommand(ctx, controlstate.Command{
		Kind:      controlstate.RegisterStore,
		Store:     controlstate.StoreMember{ID: notification.ID, Node: notification.Node, Zone: notification.Zone, Address: notification.Address},
		Bootstrap: notification.Bootstrap,
		Tolerance: p.base.Settings.FaultTolerance.Machines,
	})
}

// handleStoreRetired proposes to complete the retirement of a store: all of its data is on other stores.
func (p *Plane) handleStoreRetired(ctx context.Context, notification storewire.StoreNotification) (storewire.StoreNotificationAnswer, error) {
	return p.proposeStoreCommand(ctx, controlstate.Command{Kind: controlstate.RetireCompleted, Node: notification.Node, StoreID: notification.ID})
}

func (p *Plane) proposeStoreCommand(ctx context.Context, command controlstate.Command) (storewire.StoreNotificationAnswer, error) {
	result, err := p.propose(ctx, command)
	if err != nil {
		return storewire.StoreNotificationAnswer{}, err
	}
	return storewire.StoreNotificationAnswer{Status: result.Status, Reason: result.Message}, nil
}

// propose submits a command to the chain and returns its result. After an error the outcome of the command is unknown.
func (p *Plane) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	reply, err := p.replica.Propose(ctx, controlstate.EncodeCommand(command))
	if err != nil {
		return controlstate.Result{}, eris.Wrap(err, "propose")
	}
	return controlstate.DecodeResult(reply)
}
