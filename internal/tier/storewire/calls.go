package storewire

import (
	"context"

	"emberquay/internal/tier/transport"
)

const (
	reserveMethod  transport.Method = "store.reserve"
	settleMethod   transport.Method = "store.settle"
	commitMethod   transport.Method = "store.commit"
	historyMethod  transport.Method = "store.history"
	listMethod     transport.Method = "store.list"
	fetchMethod    transport.Method = "store.fetch"
	programsMethod transport.Method = "store.programs"
	compareMethod  transport.Method = "store.compare"
	offerMethod    transport.Method = "store.offer"
	pushMethod     transport.Method = "store.push"
)

// Server handles the calls to a store.
type Server interface {
	Reserve(context.Context, ReserveRequest) (ReserveAnswer, error)
	Settle(context.Context, SettleRequest) (Acknowledgement, error)
	Commit(context.Context, CommitRequest) (Acknowledgement, error)
	History(context.Context, HistoryRequest) (HistoryAnswer, error)
	List(context.Context, ListRequest) (ListAnswer, error)
	Fetch(context.Context, FetchRequest) (FetchAnswer, error)
	Programs(context.Context, ProgramsRequest) (ProgramsAnswer, error)
	Compare(context.Context, CompareRequest) (CompareAnswer, error)
	Offer(context.Context, OfferRequest) (OfferAnswer, error)
	Push(context.Context, PushRequest) (Acknowledgement, error)
}

// Caller calls the store at an address. After an error the call may or may not have been executed.
type Caller interface {
	Reserve(ctx context.Context, address string, request ReserveRequest) (ReserveAnswer, error)
	Settle(ctx context.Context, address string, request SettleRequest) (Acknowledgement, error)
	Commit(ctx context.Context, address string, request CommitRequest) (Acknowledgement, error)
	History(ctx context.Context, address string, request HistoryRequest) (HistoryAnswer, error)
	List(ctx context.Context, address string, request ListRequest) (ListAnswer, error)
	Fetch(ctx context.Context, address string, request FetchRequest) (FetchAnswer, error)
	Programs(ctx context.Context, address string, request ProgramsRequest) (ProgramsAnswer, error)
	Compare(ctx context.Context, address string, request CompareRequest) (CompareAnswer, error)
	Offer(ctx context.Context, address string, request OfferRequest) (OfferAnswer, error)
	Push(ctx context.Context, address string, request PushRequest) (Acknowledgement, error)
}

// Register registers the server's methods with a mux.
func Register(mux *transport.Mux, server Server) {
	transport.Handle(mux, reserveMethod, reserveCodec, reserveAnswerCodec, server.Reserve)
	transport.Handle(mux, settleMethod, settleCodec, acknowledgementCodec, server.Settle)
	transport.Handle(mux, commitMethod, commitCodec, acknowledgementCodec, server.Commit)
	transport.Handle(mux, historyMethod, historyCodec, historyAnswerCodec, server.History)
	transport.Handle(mux, listMethod, listCodec, listAnswerCodec, server.List)
	transport.Handle(mux, fetchMethod, fetchCodec, fetchAnswerCodec, server.Fetch)
	transport.Handle(mux, programsMethod, programsCodec, programsAnswerCodec, server.Programs)
	transport.Handle(mux, compareMethod, compareCodec, compareAnswerCodec, server.Compare)
	transport.Handle(mux, offerMethod, offerCodec, offerAnswerCodec, server.Offer)
	transport.Handle(mux, pushMethod, pushCodec, acknowledgementCodec, server.Push)
}

// NewCaller returns a Caller that uses a transport client.
func NewCaller(client *transport.Client) Caller { return caller{client: client} }

type caller struct{ client *transport.Client }

func (c caller) Reserve(ctx context.Context, address string, request ReserveRequest) (ReserveAnswer, error) {
	return transport.Call(ctx, c.client, address, reserveMethod, reserveCodec, reserveAnswerCodec, request)
}

func (c caller) Settle(ctx context.Context, address string, request SettleRequest) (Acknowledgement, error) {
	return transport.Call(ctx, c.client, address, settleMethod, settleCodec, acknowledgementCodec, request)
}

func (c caller) Commit(ctx context.Context, address string, request CommitRequest) (Acknowledgement, error) {
	return transport.Call(ctx, c.client, address, commitMethod, commitCodec, acknowledgementCodec, request)
}

func (c caller) History(ctx context.Context, address string, request HistoryRequest) (HistoryAnswer, error) {
	return transport.Call(ctx, c.client, address, historyMethod, historyCodec, historyAnswerCodec, request)
}

func (c caller) List(ctx context.Context, address string, request ListRequest) (ListAnswer, error) {
	return transport.Call(ctx, c.client, address, listMethod, listCodec, listAnswerCodec, request)
}

func (c caller) Fetch(ctx context.Context, address string, request FetchRequest) (FetchAnswer, error) {
	return transport.Call(ctx, c.client, address, fetchMethod, fetchCodec, fetchAnswerCodec, request)
}

func (c caller) Programs(ctx context.Context, address string, request ProgramsRequest) (ProgramsAnswer, error) {
	return transport.Call(ctx, c.client, address, programsMethod, programsCodec, programsAnswerCodec, request)
}

func (c caller) Compare(ctx context.Context, address string, request CompareRequest) (CompareAnswer, error) {
	return transport.Call(ctx, c.client, address, compareMethod, compareCodec, compareAnswerCodec, request)
}

func (c caller) Offer(ctx context.Context, address string, request OfferRequest) (OfferAnswer, error) {
	return transport.Call(ctx, c.client, address, offerMethod, offerCodec, offerAnswerCodec, request)
}

func (c caller) Push(ctx context.Context, address string, request PushRequest) (Acknowledgement, error) {
	return transport.Call(ctx, c.client, address, pushMethod, pushCodec, acknowledgementCodec, request)
}
