package controlplane

import (
	"context"

	"github.com/rotisserie/eris"

	"emberquay/internal/controlstate"
	"emberquay/internal/transport"
)

// Methods that store machines call at any control node.
const (
	RegisterMethod transport.Method = "control.register-store"
	RetiredMethod  transport.Method = "control.store-retired"
)

// StoreNews is what a store tells of itself.
type StoreNews struct {
	ID        string `avro:"id"` // of its disk
	Node      string `avro:"node"`
	Zone      string `avro:"zone"`
	Address   string `avro:"address"` // internal, ip:port
	Bootstrap bool   `avro:"bootstrap"`
}

// StoreAnswer is how the control state took it: an HTTP status.
type StoreAnswer struct {
	Status int    `avro:"status"`
	Reason string `avro:"reason"`
}

// The codecs of the stores' calls.
var (
	StoreNewsCodec = transport.MustCodec[StoreNews](`{"type":"record","name":"StoreNews","fields":[
		{"name":"id","type":"string"},
		{"name":"node","type":"string"},
		{"name":"zone","type":"string"},
		{"name":"address","type":"string"},
		{"name":"bootstrap","type":"boolean"}]}`)
	StoreAnswerCodec = transport.MustCodec[StoreAnswer](`{"type":"record","name":"StoreAnswer","fields":[
		{"name":"status","type":"int"},
		{"name":"reason","type":"string"}]}`)
)

func (p *Plane) registerStores(mux *transport.Mux) {
	transport.Handle(mux, RegisterMethod, StoreNewsCodec, StoreAnswerCodec, func(ctx context.Context, news StoreNews) (StoreAnswer, error) {
		command := controlstate.Command{Kind: controlstate.RegisterStore, Store: news.member(), Bootstrap: news.Bootstrap, Tolerance: p.settings.Tolerance.Machines}
		return p.storeOrder(ctx, command)
	})
	transport.Handle(mux, RetiredMethod, StoreNewsCodec, StoreAnswerCodec, func(ctx context.Context, news StoreNews) (StoreAnswer, error) {
		return p.storeOrder(ctx, controlstate.Command{Kind: controlstate.RetireCompleted, Node: news.Node, StoreID: news.ID})
	})
}

func (n StoreNews) member() controlstate.StoreMember {
	return controlstate.StoreMember{ID: n.ID, Node: n.Node, Zone: n.Zone, Address: n.Address}
}

func (p *Plane) storeOrder(ctx context.Context, command controlstate.Command) (StoreAnswer, error) {
	result, err := p.propose(ctx, command)
	if err != nil {
		return StoreAnswer{}, err
	}
	return StoreAnswer{Status: result.Status, Reason: result.Message}, nil
}

// propose hands a command to the chain and reads its result. An error leaves its fate open.
func (p *Plane) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	reply, err := p.replica.Propose(ctx, controlstate.EncodeCommand(command))
	if err != nil {
		return controlstate.Result{}, eris.Wrap(err, "propose")
	}
	return controlstate.DecodeResult(reply)
}
