package controlplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/registration/snapshot"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// entryTable is a list of cluster entries to save.
type entryTable struct {
	mutex   sync.Mutex
	entries []cluster.Entry
}

func (t *entryTable) add(sequence uint64, keys ...string) cluster.Stamp {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stamp := cluster.Stamp{Epoch: 1, Sequence: sequence, Origin: "front-1"}
	for _, key := range keys {
		t.entries = append(t.entries, cluster.Entry{Key: key, Value: []byte{byte(sequence)}, Stamp: stamp})
	}
	return stamp
}

func (t *entryTable) list() []cluster.Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]cluster.Entry(nil), t.entries...)
}

var _ = Describe("an entry saver", func() {
	var (
		disk       *memfs.FS
		table      *entryTable
		saver      *entrySaver
		diskErrors []error
		stop       context.CancelFunc
	)
	BeforeEach(func() {
		disk, table, diskErrors = memfs.New(), &entryTable{}, nil
		Expect(disk.MkdirAll("/data")).To(Succeed())
		saver = newEntrySaver(snapshot.File{FS: disk, Dir: "/data"}, table.list)
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		go saver.run(ctx, func(err error) { diskErrors = append(diskErrors, err) })
		DeferCleanup(func() {
			stop()
			<-saver.done
		})
	})
	// loadAfterPowerLoss returns the saved entries that survive a loss of power.
	loadAfterPowerLoss := func() []cluster.Entry {
		GinkgoHelper()
		entries, err := snapshot.File{FS: disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(1, 2))), Dir: "/data"}.Load()
		Expect(err).NotTo(HaveOccurred())
		return entries
	}

	It("has entries survive a loss of power once waitSaved has returned", func(ctx SpecContext) {
		for n := range uint64(5) {
			stamp := table.add(n+1, "receiver/a")
			Expect(saver.waitSaved(ctx, "receiver/a", stamp)).To(Succeed())
		}
		Expect(loadAfterPowerLoss()).To(HaveLen(5))
	})
	It("does not save entries again that the file has", func(ctx SpecContext) {
		stamp := table.add(1, "receiver/a", "receiver/b")
		Expect(saver.waitSaved(ctx, "receiver/a", stamp)).To(Succeed())
		calls := disk.CallCount()
		Expect(saver.waitSaved(ctx, "receiver/b", stamp)).To(Succeed())
		Expect(saver.waitSaved(ctx, "receiver/a", cluster.Stamp{Epoch: 1})).To(Succeed())
		Expect(disk.CallCount()).To(Equal(calls))
	})
	It("saves changes without a waiting caller", func(ctx SpecContext) {
		table.add(1, "receiver/a")
		saver.markChanged()
		Eventually(ctx, func() []string { return disk.FileNames() }).Should(ContainElement("/data/" + snapshot.FileName))
	})
	It("returns and reports the error of the disk", func(ctx SpecContext) {
		full := errors.New("no room")
		disk.Hook = func(c memfs.Call) memfs.Fault { return memfs.Fault{Err: full} }
		Expect(saver.waitSaved(ctx, "receiver/a", table.add(1, "receiver/a"))).To(MatchError(full))
		stop()
		<-saver.done
		Expect(diskErrors).To(HaveLen(1))
	})
	It("stops waiting when the context or the saver ends", func(ctx SpecContext) {
		stall := make(chan struct{})
		disk.Hook = func(c memfs.Call) memfs.Fault {
			if c.Op == "sync" {
				return memfs.Fault{StallUntil: stall}
			}
			return memfs.Fault{}
		}
		waitCtx, cancel := context.WithCancel(ctx)
		result := make(chan error, 1)
		stamp := table.add(1, "receiver/a")
		go func() { result <- saver.waitSaved(waitCtx, "receiver/a", stamp) }()
		cancel()
		Eventually(ctx, result).Should(Receive(MatchError(context.Canceled)))
		close(stall)
		stop()
		<-saver.done
		Expect(saver.waitSaved(ctx, "receiver/a", stamp)).To(MatchError(errNotSaved))
	})
})
