package controlplane

import (
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/journal"
	"emberquay/internal/tier/registration/snapshot"
	"emberquay/internal/tier/replica"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	aloneAddress  = "127.0.0.1:1" // nobody calls it: the replica is the only one
	aloneFolder   = "control"
	aloneDisk     = 6 << 20
	configuration = `{"version":7,"services":[{"name":"s"}],"routes":[` +
		`{"name":"r","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"service":"s"}]}`
)

// diskOf is the disk of a control plane that has carried commands out, and ended.
func diskOf(ctx SpecContext, commands ...controlstate.Command) *memfs.Mem {
	GinkgoHelper()
	disk := memfs.New()
	client := transport.NewClient()
	defer client.Close()
	r, err := replica.Open(replica.Options{
		Name: "front-1", Address: aloneAddress, Zone: "a", Seeds: []string{aloneAddress}, Bootstrap: true, Voter: true,
		Files: disk, Dir: aloneFolder, JournalBytes: aloneDisk,
		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
		Client:          client, Mux: transport.NewMux(), Log: &log.Logger{Handler: discard.Default},
	})
	Expect(err).NotTo(HaveOccurred())
	for _, command := range commands {
		_, err := r.Propose(ctx, controlstate.EncodeCommand(command))
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(r.Close()).To(Succeed())
	return disk
}

var (
	aConfiguration = controlstate.Command{
		Kind: controlstate.ReplaceConfiguration, HasBase: true, Body: []byte(configuration),
	}
	aStore = controlstate.Command{
		Kind: controlstate.RegisterStore, Tolerance: 1, Bootstrap: true,
		Store: controlstate.StoreMember{ID: "s-1", Node: "store-1", Zone: "a", Address: "127.0.0.1:2"},
	}
)

var _ = Describe("the inspection of a control plane's folder", func() {
	It("says what a start would find", func(ctx SpecContext) {
		disk := diskOf(ctx, aConfiguration, aStore)
		kept := snapshot.File{Files: disk, Dir: aloneFolder}
		Expect(kept.Save([]cluster.Entry{{Key: "receiver/i-1", Value: []byte("one")}})).To(Succeed())
		found, err := Inspect(disk, aloneFolder)
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Findings.Count).To(BeZero(), "%+v", found.Findings)
		Expect(found.Member.Address).To(Equal(aloneAddress))
		Expect(found.View.Epoch).To(Equal(int64(1)))
		Expect(found.View.Chain).To(Equal([]int64{found.Member.ID}))
		Expect(found.LastSequence).To(Equal(int64(2)))
		Expect(found.SavedEntries).To(Equal(1))
		Expect(found.Vote.Sealed).To(BeFalse())
		Expect(found.State).To(Equal(StateSummary{ConfigurationVersion: 7, ConfigurationBytes: len(configuration),
			AcceptedChanges: 1, StoreEpoch: 1, Stores: 1}))
	}, NodeTimeout(time.Minute))

	DescribeTable("finds what is not as it was written",
		func(ctx SpecContext, spoil func(*memfs.Mem), file string, problem string) {
			disk := diskOf(ctx, aConfiguration, aStore)
			Expect(snapshot.File{Files: disk, Dir: aloneFolder}.Save(nil)).To(Succeed())
			spoil(disk)
			found, err := Inspect(disk, aloneFolder)
			Expect(err).NotTo(HaveOccurred())
			Expect(found.Findings.Listed).NotTo(BeEmpty())
			first := found.Findings.Listed[0]
			Expect(first.File).To(Equal(file))
			Expect(first.Problem).To(ContainSubstring(problem))
		},
		Entry("a byte of a record", func(m *memfs.Mem) { m.Data("control/ring-0000")[70] ^= 1 },
			"ring-0000", "no record can be read here", NodeTimeout(time.Minute)),
		Entry("a header", func(m *memfs.Mem) { m.Data("control/ring-0000")[9] ^= 1 },
			"ring-0000", "no whole header", NodeTimeout(time.Minute)),
		Entry("the kept entries", func(m *memfs.Mem) { m.Data("control/known")[0] ^= 1 },
			"known", "not a whole list", NodeTimeout(time.Minute)),
		Entry("the kept entries cut short", func(m *memfs.Mem) { m.Put("control/known", []byte("abc")) },
			"known", "not a whole list", NodeTimeout(time.Minute)),
	)

	It("finds an entry that is no command", func(ctx SpecContext) {
		disk := diskOf(ctx, aConfiguration)
		options := journal.Options{Files: disk, Dir: aloneFolder, SegmentBytes: aloneDisk / 6, Segments: 6}
		j, err := journal.Open(options, func(journal.Position, []byte) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		_, err = j.Append([]byte("\x03\x02\x02\x04\x02\x02\x04ab")) // entry 2 of epoch 1
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Sync()).To(Succeed())
		found, err := Inspect(disk, aloneFolder)
		Expect(err).NotTo(HaveOccurred())
		Expect(found.LastSequence).To(Equal(int64(2)))
		Expect(found.Findings.Listed).To(HaveLen(1))
		Expect(found.Findings.Listed[0].Problem).To(ContainSubstring("entry 2"))
	}, NodeTimeout(time.Minute))
})
