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

var errGone = errors.New("gone")

// fakeStore answers as a store does, from memory.
type fakeStore struct {
	hangs      bool // calls never end by themselves
	fails      bool
	incomplete bool
	standing   storewire.Status
	view       storewire.View // told in each reply

	turns   map[string]storewire.Turn
	ledger  budget.Ledger
	calls   int
	settles int
}

// fakeStores is all of them, by address. It implements storewire.Caller as far as a client uses it.
type fakeStores struct {
	storewire.Caller
	mutex  sync.Mutex
	stores map[string]*fakeStore
}

// newFake makes stores s0, s1 and so on in zones of the same names.
func newFake(count int) (*fakeStores, controlstate.StoreView) {
	f := &fakeStores{stores: map[string]*fakeStore{}}
	view := controlstate.StoreView{Epoch: 1, Tolerance: 1}
	for at := range count {
		name := "s" + string(rune('0'+at))
		f.stores[name] = &fakeStore{turns: map[string]storewire.Turn{}}
		view.Members = append(view.Members, controlstate.StoreMember{ID: name, Node: name, Zone: name, Address: name})
	}
	return f, view
}

func (f *fakeStores) client(zone string, view controlstate.StoreView, cacheBytes int) *storeclient.Client {
	c := storeclient.New(storeclient.Options{Caller: f, Zone: zone, CacheBytes: cacheBytes})
	c.SetView(view)
	return c
}

// with runs something on a store while no call does.
func (f *fakeStores) with(name string, run func(*fakeStore)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	run(f.stores[name])
}

// reach gives the store, or what becomes of a call to it.
func reach[A any](ctx context.Context, f *fakeStores, address string, run func(*fakeStore, storewire.Reply) A) (A, error) {
	var none A
	f.mutex.Lock()
	s := f.stores[address]
	s.calls++
	hangs := s.hangs
	f.mutex.Unlock()
	if hangs {
		<-ctx.Done()
		return none, ctx.Err()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s.fails {
		return none, errGone
	}
	return run(s, storewire.Reply{Status: s.standing, Complete: !s.incomplete, View: s.view}), nil
}

func (f *fakeStores) Commit(ctx context.Context, address string, q storewire.CommitRequest) (storewire.Acknowledgement, error) {
	return reach(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.Acknowledgement {
		if r.Status == storewire.Served {
			s.turns[q.Turn.ID] = q.Turn
		}
		return storewire.Acknowledgement{Reply: r}
	})
}

func (f *fakeStores) History(ctx context.Context, address string, q storewire.HistoryRequest) (storewire.HistoryAnswer, error) {
	return reach(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.HistoryAnswer {
		a := storewire.HistoryAnswer{Reply: r}
		for id := q.Turn; id != ""; {
			t, ok := s.turns[id]
			if !ok {
				break
			}
			a.Known = true
			if q.WithBodies {
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

func (f *fakeStores) Reserve(ctx context.Context, address string, q storewire.ReserveRequest) (storewire.ReserveAnswer, error) {
	return reach(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.ReserveAnswer {
		key := budget.TurnKeyOf(q.Turn)
		a := storewire.ReserveAnswer{Reply: r}
		if !q.Recheck && r.Status == storewire.Served {
			a.Stored = s.ledger.Reserve(key, q.MaxTokens) != budget.Closed
		}
		report := s.ledger.Report(key, q.Whole)
		a.TurnClosed, a.SettledTokens, a.Digest, a.Whole = report.TurnClosed, report.SettledTokens, int64(report.Digest), report.Whole
		a.Entries = budget.EncodeEntries(nil, report.Entries)
		return a
	})
}

func (f *fakeStores) Settle(ctx context.Context, address string, q storewire.SettleRequest) (storewire.Acknowledgement, error) {
	return reach(ctx, f, address, func(s *fakeStore, r storewire.Reply) storewire.Acknowledgement {
		s.settles++
		for _, settlement := range q.Settlements {
			s.ledger.Merge(budget.Entry{Turn: budget.TurnKey(settlement.TurnKey), Tokens: settlement.UsedTokens})
		}
		return storewire.Acknowledgement{Reply: r}
	})
}
