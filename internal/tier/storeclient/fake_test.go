package storeclient_test

import (
	"context"
	"errors"
	"sync"

	"emberquay/coordination/budget"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storeclient"
	"emberquay/internal/tier/storewire"
)

var errUnreachable = errors.New("store unreachable")

// fakeStore is an in-memory store.
type fakeStore struct {
	hangs      bool // calls block until their context ends
	fails      bool
	incomplete bool
	status     storewire.Status
	view       storewire.View // included in each reply

	turns       map[string]storewire.Turn
	ledger      budget.Ledger
	calls       int
	settleCalls int
}

// fakeStores implements the methods of storewire.Caller that a client uses.
type fakeStores struct {
	storewire.Caller
	mutex  sync.Mutex
	stores map[string]*fakeStore // by address
}

// newFakeStores returns stores s0, s1 and so on, each in a zone of the same name.
func newFakeStores(count int) (*fakeStores, controlstate.StoreView) {
	f := &fakeStores{stores: map[string]*fakeStore{}}
	view := controlstate.StoreView{Epoch: 1, Tolerance: 1}
	for i := range count {
		name := "s" + string(rune('0'+i))
		f.stores[name] = &fakeStore{turns: map[string]storewire.Turn{}}
		view.Members = append(view.Members, controlstate.StoreMember{ID: name, Node: name, Zone: name, Address: name})
	}
	return f, view
}

func (f *fakeStores) newClient(zone string, view controlstate.StoreView, cacheBytes int) *storeclient.Client {
	c := storeclient.New(storeclient.Options{Caller: f, Zone: zone, CacheBytes: cacheBytes})
	c.SetView(view)
	return c
}

// withStore runs a function on a store while no call accesses it.
func (f *fakeStores) withStore(name string, run func(*fakeStore)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	run(f.stores[name])
}

// callStore runs a call on a store, or fails it as the store is configured to.
func callStore[A any](ctx context.Context, f *fakeStores, address string, run func(*fakeStore, storewire.Reply) A) (A, error) {
	var zero A
	f.mutex.Lock()
	s := f.stores[address]
	s.calls++
	hangs := s.hangs
	f.mutex.Unlock()
	if hangs {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s.fails {
		return zero, errUnreachable
	}
	return run(s, storewire.Reply{Status: s.status, Complete: !s.incomplete, View: s.view}), nil
}

func (f *fakeStores) Commit(ctx context.Context, address string, request storewire.CommitRequest) (storewire.Acknowledgement, error) {
	return callStore(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.Acknowledgement {
		if r.Status == storewire.Served {
			s.turns[request.Turn.ID] = request.Turn
		}
		return storewire.Acknowledgement{Reply: r}
	})
}

func (f *fakeStores) History(ctx context.Context, address string, request storewire.HistoryRequest) (storewire.HistoryAnswer, error) {
	return callStore(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.HistoryAnswer {
		a := storewire.HistoryAnswer{Reply: r}
		for id := request.Turn; id != ""; {
			t, ok := s.turns[id]
			if !ok {
				break
			}
			a.Known = true
			if request.WithBodies {
				record, err := storewire.EncodeTurn(t)
				if err != nil {
					panic(err)
				}
				a.Turns = append(a.Turns, record)
			}
			id = t.Previous
		}
		return a
	})
}

func (f *fakeStores) Reserve(ctx context.Context, address string, request storewire.ReserveRequest) (storewire.ReserveAnswer, error) {
	return callStore(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.ReserveAnswer {
		key := budget.TurnKeyOf(request.Turn)
		a := storewire.ReserveAnswer{Reply: r}
		if !request.Recheck && r.Status == storewire.Served {
			a.Stored = s.ledger.Reserve(key, request.MaxTokens) != budget.Closed
		}
		report := s.ledger.Report(key, request.Whole)
		a.TurnClosed, a.SettledTokens, a.Digest, a.Whole = report.TurnClosed, report.SettledTokens, int64(report.Digest), report.Whole
		a.Entries = budget.EncodeEntries(nil, report.Entries)
		return a
	})
}

func (f *fakeStores) Settle(ctx context.Context, address string, request storewire.SettleRequest) (storewire.Acknowledgement, error) {
	return callStore(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.Acknowledgement {
		s.settleCalls++
		for _, settlement := range request.Settlements {
			s.ledger.Merge(budget.Entry{Turn: budget.TurnKey(settlement.TurnKey), Tokens: settlement.UsedTokens})
		}
		return storewire.Acknowledgement{Reply: r}
	})
}
