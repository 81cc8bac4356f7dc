package store_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/store"
	"emberquay/internal/tier/storeclient"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs"
)

// BenchmarkCatchUp copies 40 MB of turns to a store that lost its disk.
func BenchmarkCatchUp(b *testing.B) {
	RegisterTestingT(b)
	calls := transport.NewClient()
	b.Cleanup(calls.Close)
	view := controlstate.StoreView{Epoch: 1, Tolerance: 1}
	startStore := func(bootstrap bool) (*store.Store, string) {
		s, err := store.Start(store.Options{Files: vfs.OS{}, Dir: b.TempDir(), DiskBytes: 128 << 20, Bootstrap: bootstrap,
			Caller: storewire.NewCaller(calls)})
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { s.Close() })
		mux := transport.NewMux()
		storewire.Register(mux, s)
		server, err := transport.Listen("127.0.0.1:0", mux)
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { server.Close() })
		return s, server.Address()
	}
	var stores []*store.Store
	for i := range 3 {
		s, address := startStore(true)
		name := fmt.Sprint("store-", i)
		view.Members = append(view.Members, controlstate.StoreMember{ID: s.ID(), Node: name, Zone: name, Address: address})
		stores = append(stores, s)
	}
	for _, s := range stores {
		s.SetView(view)
	}
	client := storeclient.New(storeclient.Options{Caller: storewire.NewCaller(calls), Zone: "store-0"})
	b.Cleanup(client.Close)
	client.SetView(view)
	for i := range 4000 {
		turn := storeclient.Turn{ID: fmt.Sprint("turn-", i), Input: make([]byte, 10<<10), Retention: time.Hour}
		Expect(client.Commit(ctx, turn)).To(Succeed())
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s, address := startStore(false)
		view.Epoch++
		view.Members = append([]controlstate.StoreMember(nil), view.Members...)
		view.Members[0] = controlstate.StoreMember{ID: s.ID(), Node: "store-0", Zone: "store-0", Address: address, Replaced: true}
		s.SetView(view)
		for !s.Complete() {
			time.Sleep(time.Millisecond)
		}
		if s.TurnCount() != 4000 {
			b.Fatal(s.TurnCount())
		}
	}
}
