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
	inspectAddress   = "127.0.0.1:1" // never called: the replica is the only member
	inspectDir       = "control"
	inspectDiskBytes = 6 << 20
	configuration    = `{"version":7,"services":[{"name":"s"}],"routes":[` +
		`{"name":"r","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"service":"s"}]}`
)

// writeControlDisk returns the disk of a control plane that executed commands and stopped.
func writeControlDisk(ctx SpecContext, commands ...controlstate.Command) *memfs.FS {
	GinkgoHelper()
	disk := memfs.New()
	client := transport.NewClient()
	defer client.Close()
	r, err := replica.Open(replica.Options{
		Name: "front-1", Address: inspectAddress, Zone: "a", Seeds: []string{inspectAddress}, Bootstrap: true, Voter: true,
		Files: disk, Dir: inspectDir, JournalBytes: inspectDiskBytes,
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
	replaceCommand = controlstate.Command{
		Kind: controlstate.ReplaceConfiguration, HasBase: true, Body: []byte(configuration),
	}
	registerCommand = controlstate.Command{
		Kind: controlstate.RegisterStore, Tolerance: 1, Bootstrap: true,
		Store: controlstate.StoreMember{ID: "s-1", Node: "store-1", Zone: "a", Address: "127.0.0.1:2"},
	}
)

var _ = Describe("the inspection of a control plane's directory", func() {
	It("reports what a start would read", func(ctx SpecContext) {
		disk := writeControlDisk(ctx, replaceCommand, registerCommand)
		saved := snapshot.File{FS: disk, Dir: inspectDir}
		Expect(saved.Save([]cluster.Entry{{Key: "receiver/i-1", Value: []byte("one")}})).To(Succeed())
		found, err := Inspect(disk, inspectDir)
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Findings.Count).To(BeZero(), "%+v", found.Findings)
		Expect(found.Member.Address).To(Equal(inspectAddress))
		Expect(found.View.Epoch).To(Equal(int64(1)))
		Expect(found.View.Chain).To(Equal([]int64{found.Member.ID}))
		Expect(found.LastSequence).To(Equal(int64(2)))
		Expect(found.SavedEntries).To(Equal(1))
		Expect(found.Vote.Sealed).To(BeFalse())
		Expect(found.State).To(Equal(StateSummary{ConfigurationVersion: 7, ConfigurationBytes: len(configuration),
			AcceptedChanges: 1, StoreEpoch: 1, Stores: 1}))
	}, NodeTimeout(time.Minute))

	DescribeTable("finds damaged files",
		func(ctx SpecContext, spoil func(*memfs.FS), file string, problem string) {
			disk := writeControlDisk(ctx, replaceCommand, registerCommand)
			Expect(snapshot.File{FS: disk, Dir: inspectDir}.Save(nil)).To(Succeed())
			spoil(disk)
			found, err := Inspect(disk, inspectDir)
			Expect(err).NotTo(HaveOccurred())
			Expect(found.Findings.Listed).NotTo(BeEmpty())
			first := found.Findings.Listed[0]
			Expect(first.File).To(Equal(file))
			Expect(first.Problem).To(ContainSubstring(problem))
		},
		Entry("a byte of a record", func(m *memfs.FS) { m.Data("control/ring-0000")[70] ^= 1 },
			"ring-0000", "unreadable record", NodeTimeout(time.Minute)),
		Entry("a header", func(m *memfs.FS) { m.Data("control/ring-0000")[9] ^= 1 },
			"ring-0000", "invalid header", NodeTimeout(time.Minute)),
		Entry("the saved entries", func(m *memfs.FS) { m.Data("control/known")[0] ^= 1 },
			"known", "not a whole list", NodeTimeout(time.Minute)),
		Entry("truncated saved entries", func(m *memfs.FS) { m.Put("control/known", []byte("abc")) },
			"known", "not a whole list", NodeTimeout(time.Minute)),
	)

	It("finds an entry that is not a command", func(ctx SpecContext) {
		disk := writeControlDisk(ctx, replaceCommand)
		options := journal.Options{Files: disk, Dir: inspectDir, SegmentBytes: inspectDiskBytes / 6, Segments: 6}
		j, err := journal.Open(options, func(journal.Position, []byte) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		_, err = j.Append([]byte("\x03\x02\x02\x04\x02\x02\x04ab")) // entry 2 of epoch 1
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Sync()).To(Succeed())
		found, err := Inspect(disk, inspectDir)
		Expect(err).NotTo(HaveOccurred())
		Expect(found.LastSequence).To(Equal(int64(2)))
		Expect(found.Findings.Listed).To(HaveLen(1))
		Expect(found.Findings.Listed[0].Problem).To(ContainSubstring("entry 2"))
	}, NodeTimeout(time.Minute))
})
