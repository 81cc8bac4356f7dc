package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/coordination/chain"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/replica"
	"emberquay/internal/tier/store"
	"emberquay/internal/tier/storewire"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newStoreDir creates the directory of a store with a conversation of two turns, a turn of another conversation whose
// first turn is missing, and a reservation.
func newStoreDir() string {
	GinkgoHelper()
	ctx := context.Background()
	dir := GinkgoT().TempDir()
	s, err := store.Start(store.Options{
		Files: vfs.OS{}, Dir: dir, DiskBytes: 1, Bootstrap: true, RepairInterval: -1,
	})
	Expect(err).NotTo(HaveOccurred())
	view := controlstate.StoreView{Epoch: 3, Members: []controlstate.StoreMember{
		{ID: s.ID(), Node: "store-1", Zone: "a", Address: "127.0.0.1:1"}}}
	s.SetView(view)
	header := storewire.Header{Epoch: 3, StoreID: s.ID()}
	for _, turn := range []storewire.Turn{
		{ID: "t-0", Root: "t-0", Input: []byte("a question")},
		{ID: "t-1", Root: "t-0", Previous: "t-0"},
		{ID: "u-1", Root: "u-0", Previous: "u-0"},
	} {
		answer, err := s.Commit(ctx, storewire.CommitRequest{Header: header, Turn: turn})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Reply.Status).To(Equal(storewire.Served))
	}
	reserved, err := s.Reserve(ctx, storewire.ReserveRequest{
		Header: header, Program: "p", Turn: "t-2", BudgetTokens: 10, MaxTokens: 6,
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(reserved.Stored).To(BeTrue())
	Expect(s.Close()).To(Succeed())
	return dir
}

// newControlDir creates the directory of a single control plane that has accepted a configuration.
func newControlDir() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	client := transport.NewClient()
	defer client.Close()
	const unreachable = "127.0.0.1:1"
	r, err := replica.Open(replica.Options{
		Name: "front-1", Address: unreachable, Zone: "a", Seeds: []string{unreachable}, Bootstrap: true, Voter: true,
		Files: vfs.OS{}, Dir: dir, JournalBytes: 1 << 20,
		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
		Client:          client, Mux: transport.NewMux(), Log: &log.Logger{Handler: discard.Default},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err = r.Propose(ctx, controlstate.EncodeCommand(controlstate.Command{
		Kind: controlstate.ReplaceConfiguration, HasBase: true, Body: []byte(tierConfiguration)}))
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Close()).To(Succeed())
	return dir
}

// newLedgerDir creates the ledger directory of a sender.
func newLedgerDir() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	l, err := ledger.Open(vfs.OS{}, dir, ledger.Options{MaxBytes: 3e6})
	Expect(err).NotTo(HaveOccurred())
	Expect(l.Close()).To(Succeed())
	return dir
}

func missingDir() string { return "/none/at/all" }

func emptyDir() string { return GinkgoT().TempDir() }

// readFiles returns the contents of all files of a directory by path.
func readFiles(dir string) map[string]string {
	GinkgoHelper()
	files := map[string]string{}
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		raw, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		files[name] = string(raw)
	}
	return files
}

// flipBit flips one bit of a file and returns dir.
func flipBit(dir, name string, offset int64) string {
	GinkgoHelper()
	file, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR, 0)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	var b [1]byte
	_, err = file.ReadAt(b[:], offset)
	Expect(err).NotTo(HaveOccurred())
	_, err = file.WriteAt([]byte{b[0] ^ 1}, offset)
	Expect(err).NotTo(HaveOccurred())
	return dir
}

var _ = Describe("the commands on the directories of the serving tier", func() {
	DescribeTable("read a directory without changing it",
		func(newDir func() string, want string, args ...string) {
			dir := newDir()
			before := readFiles(dir)
			expectOutput(want, append(args, dir)...)
			Expect(readFiles(dir)).To(Equal(before))
		},
		Entry("turns of a store", newStoreDir, "turns=3 bytes=", "store", "inspect"),
		Entry("conversations of a store", newStoreDir, "conversations=2 whole=2 partial=1 missing=1\n", "store", "inspect"),
		Entry("programs of a store", newStoreDir, "program=\"p\" open=1 most=6 settled=0\n", "store", "inspect"),
		Entry("view of a store", newStoreDir, "complete=true unsettled=false fence=3 view=3 members=1 tolerance=0 findings=0\n",
			"store", "inspect"),
		Entry("ring of a store", newStoreDir, "files=1 segments=1 records=", "store", "inspect"),
		Entry("missing turn of a store", newStoreDir, `elsewhere turn="u-0" root="u-0" next="u-1" file=ring-0000`,
			"store", "verify"),
		Entry("verification of a store", newStoreDir, "sound segments=1 records=6 turns=3 whole=2 partial=1 programs=1\n",
			"store", "verify"),
		Entry("a store as JSON", newStoreDir, `"turns":{"count":3,`, "store", "inspect", "--json"),
		Entry("verification of a store as JSON", newStoreDir, `{"sound":true,"findings":{"count":0,`,
			"store", "verify", "--json"),
		Entry("view of a control plane", newControlDir, "epoch=1 members=1 chain=", "control-plane", "inspect"),
		Entry("state of a control plane", newControlDir, "configuration=7 bytes=", "control-plane", "inspect"),
		Entry("vote of a control plane", newControlDir, "sealed=false promised=0/0 accepted=0/0 ", "control-plane", "inspect"),
		Entry("records of a control plane", newControlDir, "identities=1 adoptions=1 additions=1 ", "control-plane", "inspect"),
		Entry("verification of a control plane", newControlDir, "sound segments=1 records=3 epoch=1 sequence=1 configuration=7\n",
			"control-plane", "verify"),
		Entry("a control plane as JSON", newControlDir, `"configuration_version":7`, "control-plane", "inspect", "--json"),
		Entry("verification of a control plane as JSON", newControlDir, `{"sound":true,`, "control-plane", "verify", "--json"),
	)

	It("print one complete JSON object", func() {
		output, status := runProgram("store", "inspect", "--json", newStoreDir())
		Expect(status).To(BeZero())
		var found store.Inspection
		Expect(json.Unmarshal([]byte(output), &found)).To(Succeed())
		Expect(found.Turns.Missing).To(HaveLen(1))
		Expect(found.View.Members[0].Node).To(Equal("store-1"))
	})

	DescribeTable("fail with the first unreadable location",
		func(newDir func() string, want string, args ...string) {
			output, status := runProgram(append(args, flipBit(newDir(), "ring-0000", 60))...)
			Expect(status).To(Equal(1))
			Expect(output).To(ContainSubstring("damaged file=ring-0000 offset=40 problem="))
			Expect(output).To(MatchRegexp(`\nemberquay: error: [^\n]*: not sound: findings: 1, ` + want + `[^\n]*\n$`))
		},
		Entry("a store", newStoreDir, "the first in ring-0000 at 40: unreadable record",
			"store", "verify"),
		Entry("a control plane", newControlDir, "the first in ring-0000 at 40: unreadable record",
			"control-plane", "verify"),
	)

	It("inspect the readable part of a damaged directory", func() {
		expectOutput("findings=1\ndamaged file=ring-0000", "store", "inspect", flipBit(newStoreDir(), "ring-0000", 60))
	})

	It("report a damaged directory in JSON as well", func() {
		output, status := runProgram("store", "verify", "--json", flipBit(newStoreDir(), "ring-0000", 60))
		Expect(status).To(Equal(1))
		Expect(output).To(HavePrefix(`{"sound":false,"findings":{"count":1,"listed":[{"file":"ring-0000","offset":40,`))
	})

	DescribeTable("reject any other directory with one line",
		func(newDir func() string, want string, args ...string) {
			expectError(want, append(args, newDir())...)
		},
		Entry("store: missing directory", missingDir, "no such file", "store", "inspect"),
		Entry("store: empty directory", emptyDir, "no ring of files is in it", "store", "verify"),
		Entry("store: directory of a control plane", newControlDir, "the directory belongs to a control plane", "store", "inspect"),
		Entry("store: directory of a sender", newLedgerDir, "the directory belongs to the delivery service", "store", "verify"),
		Entry("control plane: missing directory", missingDir, "no such file", "control-plane", "verify"),
		Entry("control plane: empty directory", emptyDir, "no ring of files is in it",
			"control-plane", "inspect"),
		Entry("control plane: directory of a store", newStoreDir, "the directory belongs to a store", "control-plane", "verify"),
		Entry("control plane: directory of a sender", newLedgerDir, "the directory belongs to the delivery service", "control-plane", "inspect"),
	)

	DescribeTable("start a plane with or without the subcommand run",
		func(args ...string) { expectError("/none.toml", append(args, "--settings", "/none.toml")...) },
		Entry(nil, "store"), Entry(nil, "store", "run"), Entry(nil, "control-plane"), Entry(nil, "control-plane", "run"),
		Entry(nil, "proxy"),
	)
})
