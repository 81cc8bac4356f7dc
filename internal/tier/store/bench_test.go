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

// newBenchClient starts three stores on the machine's disk and returns a client that calls them over the loopback
// interface.
func newBenchClient(b *testing.B) *storeclient.Client {
	RegisterTestingT(b)
	calls := transport.NewClient()
	b.Cleanup(calls.Close)
	view := controlstate.StoreView{Epoch: 1, Tolerance: 1}
	var stores []*store.Store
	for i := range 3 {
		s, err := store.Start(store.Options{Files: vfs.OS{}, Dir: b.TempDir(), DiskBytes: 1 << 30, Bootstrap: true,
			Caller: storewire.NewCaller(calls)})
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { s.Close() })
		mux := transport.NewMux()
		storewire.Register(mux, s)
		server, err := transport.Listen("127.0.0.1:0", mux)
		Expect(err).NotTo(HaveOccurred())
		b.Cleanup(func() { server.Close() })
		name := fmt.Sprint("store-", i)
		view.Members = append(view.Members, controlstate.StoreMember{ID: s.ID(), Node: name, Zone: name, Address: server.Address()})
		stores = append(stores, s)
	}
	for _, s := range stores {
		s.SetView(view)
	}
	client := storeclient.New(storeclient.Options{Caller: storewire.NewCaller(calls), Zone: "store-0"})
	b.Cleanup(client.Close)
	client.SetView(view)
	return client
}

// BenchmarkCommit commits turns of 6 KB, one after the other.
func BenchmarkCommit(b *testing.B) {
	client := newBenchClient(b)
	turn := storeclient.Turn{Program: "p", Input: make([]byte, 5<<10), Output: make([]byte, 1<<10), Retention: time.Second}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		turn.ID = fmt.Sprint("turn-", i)
		if err := client.Commit(ctx, turn); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCommitMany commits turns concurrently, so that they share syncs.
func BenchmarkCommitMany(b *testing.B) {
	client := newBenchClient(b)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		turn := storeclient.Turn{Program: "p", Input: make([]byte, 5<<10), Output: make([]byte, 1<<10), Retention: time.Second}
		for i := 0; pb.Next(); i++ {
			turn.ID = fmt.Sprintf("turn-%p-%d", &turn, i)
			if err := client.Commit(ctx, turn); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkReserve reserves and settles turns of programs with 20 turns each.
func BenchmarkReserve(b *testing.B) {
	client := newBenchClient(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := storeclient.Reservation{Program: fmt.Sprint("program-", i/20), Turn: fmt.Sprint("turn-", i), BudgetTokens: 10000, MaxTokens: 100}
		if verdict := client.Reserve(ctx, r); verdict != storeclient.Granted {
			b.Fatal(verdict)
		}
		client.Settle(r.Program, r.Turn, 80)
	}
}
