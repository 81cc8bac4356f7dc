package hollow_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"emberquay/internal/controlstate"
	"emberquay/internal/store"
	"emberquay/internal/storeclient"
	"emberquay/internal/storewire"
	"emberquay/internal/transport"
	"emberquay/internal/vfs"
)

// storeFleet are stores on loopback with files, and a client of them.
type storeFleet struct {
	view   controlstate.StoreView
	caller storewire.Caller
}

// ringBytes is a small disk: the ring of files is written whole at the start.
const ringBytes = 64 << 20

func startStores(b *testing.B, count int) *storeFleet {
	f := &storeFleet{view: controlstate.StoreView{Epoch: 1, Tolerance: 1}}
	client := transport.NewClient()
	b.Cleanup(client.Close)
	f.caller = storewire.NewCaller(client)
	var stores []*store.Store
	for i := range count {
		s, err := store.Start(store.Options{
			Files: vfs.OS{}, Dir: b.TempDir(), DiskBytes: ringBytes, Bootstrap: true, Caller: f.caller, RepairInterval: -1,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { s.Close() })
		mux := transport.NewMux()
		storewire.Register(mux, s)
		server, err := transport.Listen(net.JoinHostPort("127.0.0.1", "0"), mux)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = server.Close() })
		f.view.Members = append(f.view.Members, controlstate.StoreMember{
			ID: s.ID(), Node: fmt.Sprint("store-", i), Zone: fmt.Sprint("zone-", i%5), Address: server.Address(),
		})
		stores = append(stores, s)
	}
	for _, s := range stores {
		s.SetView(f.view)
	}
	return f
}

func (f *storeFleet) client(b *testing.B) *storeclient.Client {
	c := storeclient.New(storeclient.Options{Caller: f.caller, Zone: "zone-0"})
	b.Cleanup(c.Close)
	c.SetView(f.view)
	return c
}

// storesAtOnce is how many turns are under way at once: groups of them share a sync.
const storesAtOnce = 16

// measureStores runs a step many times at once and reports the processor's time of client and stores together.
func measureStores(b *testing.B, step func(n int64) error) {
	var number atomic.Int64
	before := processor()
	b.SetParallelism(storesAtOnce)
	b.ReportAllocs()
	b.RunParallel(func(run *testing.PB) {
		for run.Next() {
			if err := step(number.Add(1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((processor()-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

func processor() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var storeCounts = []int{2, 4, 8, 16}

// BenchmarkReserve reserves and settles a turn's part of its program's budget.
func BenchmarkReserve(b *testing.B) {
	for _, count := range storeCounts {
		b.Run(fmt.Sprint("stores=", count), func(b *testing.B) {
			c := startStores(b, count).client(b)
			var granted atomic.Int64
			measureStores(b, func(n int64) error {
				program, turn := fmt.Sprint("program-", n/10), fmt.Sprint("turn-", n)
				verdict := c.Reserve(context.Background(), storeclient.Reservation{Program: program, Turn: turn, Budget: 1 << 40, Most: 1000})
				if verdict == storeclient.Granted {
					granted.Add(1)
					c.Settle(program, turn, 500)
				}
				return nil
			})
			b.ReportMetric(float64(granted.Load())/float64(b.N), "granted/op")
		})
	}
}

// BenchmarkCommit keeps a turn of 6 KB on two stores.
func BenchmarkCommit(b *testing.B) {
	input, output := bytes.Repeat([]byte("a"), 5000), bytes.Repeat([]byte("b"), 1000)
	for _, count := range storeCounts {
		b.Run(fmt.Sprint("stores=", count), func(b *testing.B) {
			c := startStores(b, count).client(b)
			measureStores(b, func(n int64) error {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				return c.Commit(ctx, storeclient.Turn{
					ID: fmt.Sprint("turn-", n), Program: "program", Input: input, Output: output, Tokens: 1000, Retention: time.Second,
				})
			})
		})
	}
}

// BenchmarkHistory reads conversations of several lengths from the stores, as a proxy without them does.
func BenchmarkHistory(b *testing.B) {
	input, output := bytes.Repeat([]byte("a"), 5000), bytes.Repeat([]byte("b"), 1000)
	for _, turns := range []int{1, 5, 10, 25} {
		b.Run(fmt.Sprint("turns=", turns), func(b *testing.B) {
			fleet := startStores(b, 4)
			writer := fleet.client(b)
			previous := ""
			for i := range turns {
				turn := storeclient.Turn{ID: fmt.Sprint("turn-", i), Previous: previous, Input: input, Output: output, Retention: time.Hour}
				if err := writer.Commit(context.Background(), turn); err != nil {
					b.Fatal(err)
				}
				previous = turn.ID
			}
			b.SetBytes(int64(turns * (len(input) + len(output))))
			measureStores(b, func(int64) error {
				c := storeclient.New(storeclient.Options{Caller: fleet.caller, Zone: "zone-0"})
				defer c.Close()
				c.SetView(fleet.view)
				if _, verdict := c.History(context.Background(), previous); verdict != storeclient.Found {
					return fmt.Errorf("history: %v", verdict)
				}
				return nil
			})
		})
	}
}
