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

// storeFolder is the folder of a store that has kept a conversation of two turns, one of another whose
// beginning it lacks, and a reservation.
func storeFolder() string {
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

// controlFolder is the folder of a control plane that is the only one and has taken a configuration.
func controlFolder() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	client := transport.NewClient()
	defer client.Close()
	const nobody = "127.0.0.1:1"
	r, err := replica.Open(replica.Options{
		Name: "front-1", Address: nobody, Zone: "a", Seeds: []string{nobody}, Bootstrap: true, Voter: true,
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

// ledgerFolder is the folder of a sender.
func ledgerFolder() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	l, err := ledger.Open(vfs.OS{}, dir, ledger.Options{MaxBytes: 3e6})
	Expect(err).NotTo(HaveOccurred())
	Expect(l.Close()).To(Succeed())
	return dir
}

func noFolder() string { return "/none/at/all" }

func emptyFolder() string { return GinkgoT().TempDir() }

// contents are the bytes of all files of a folder.
func contents(dir string) map[string]string {
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

// spoilt flips a byte of a file.
func spoilt(dir, name string, offset int64) string {
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

var _ = Describe("the commands on the tier's disks", func() {
	DescribeTable("read a folder and leave it as it is",
		func(folder func() string, want string, args ...string) {
			dir := folder()
			before := contents(dir)
			expectSays(want, append(args, dir)...)
			Expect(contents(dir)).To(Equal(before))
		},
		Entry("a store's", storeFolder, "turns=3 bytes=", "store", "inspect"),
		Entry("its conversations", storeFolder, "conversations=2 whole=2 partial=1 missing=1\n", "store", "inspect"),
		Entry("its programs", storeFolder, "program=\"p\" open=1 most=6 settled=0\n", "store", "inspect"),
		Entry("its view", storeFolder, "complete=true unsettled=false fence=3 view=3 members=1 tolerance=0 findings=0\n",
			"store", "inspect"),
		Entry("its ring", storeFolder, "files=1 segments=1 records=", "store", "inspect"),
		Entry("the turn that is elsewhere", storeFolder, `elsewhere turn="u-0" root="u-0" next="u-1" file=ring-0000`,
			"store", "verify"),
		Entry("all of it", storeFolder, "sound segments=1 records=6 turns=3 whole=2 partial=1 programs=1\n",
			"store", "verify"),
		Entry("as JSON", storeFolder, `"turns":{"count":3,`, "store", "inspect", "--json"),
		Entry("the verdict as JSON", storeFolder, `{"sound":true,"findings":{"count":0,`,
			"store", "verify", "--json"),
		Entry("a control plane's", controlFolder, "epoch=1 members=1 chain=", "control-plane", "inspect"),
		Entry("its state", controlFolder, "configuration=7 bytes=", "control-plane", "inspect"),
		Entry("its vote", controlFolder, "sealed=false promised=0/0 accepted=0/0 ", "control-plane", "inspect"),
		Entry("its records", controlFolder, "identities=1 adoptions=1 additions=1 ", "control-plane", "inspect"),
		Entry("all of it", controlFolder, "sound segments=1 records=3 epoch=1 sequence=1 configuration=7\n",
			"control-plane", "verify"),
		Entry("as JSON", controlFolder, `"configuration_version":7`, "control-plane", "inspect", "--json"),
		Entry("the verdict as JSON", controlFolder, `{"sound":true,`, "control-plane", "verify", "--json"),
	)

	It("are a whole JSON object", func() {
		said, status := asProgram("store", "inspect", "--json", storeFolder())
		Expect(status).To(BeZero())
		var found store.Inspection
		Expect(json.Unmarshal([]byte(said), &found)).To(Succeed())
		Expect(found.Turns.Missing).To(HaveLen(1))
		Expect(found.View.Members[0].Node).To(Equal("store-1"))
	})

	DescribeTable("end badly with the first place that cannot be read",
		func(folder func() string, want string, args ...string) {
			said, status := asProgram(append(args, spoilt(folder(), "ring-0000", 60))...)
			Expect(status).To(Equal(1))
			Expect(said).To(ContainSubstring("damaged file=ring-0000 offset=40 problem="))
			Expect(said).To(MatchRegexp(`\nemberquay: error: [^\n]*: not sound: findings: 1, ` + want + `[^\n]*\n$`))
		},
		Entry("a store's", storeFolder, "the first in ring-0000 at 40: unreadable record",
			"store", "verify"),
		Entry("a control plane's", controlFolder, "the first in ring-0000 at 40: unreadable record",
			"control-plane", "verify"),
	)

	It("inspect what is left of a damaged folder", func() {
		expectSays("findings=1\ndamaged file=ring-0000", "store", "inspect", spoilt(storeFolder(), "ring-0000", 60))
	})

	It("say in JSON as well that a folder is not sound", func() {
		said, status := asProgram("store", "verify", "--json", spoilt(storeFolder(), "ring-0000", 60))
		Expect(status).To(Equal(1))
		Expect(said).To(HavePrefix(`{"sound":false,"findings":{"count":1,"listed":[{"file":"ring-0000","offset":40,`))
	})

	DescribeTable("refuse what is no such folder, with one line",
		func(folder func() string, want string, args ...string) {
			expectRefused(want, append(args, folder())...)
		},
		Entry("a store's: not there", noFolder, "no such file", "store", "inspect"),
		Entry("a store's: empty", emptyFolder, "no ring of files is in it", "store", "verify"),
		Entry("a store's: a control plane's", controlFolder, "it belongs to a control plane", "store", "inspect"),
		Entry("a store's: a sender's", ledgerFolder, "it belongs to the delivery service", "store", "verify"),
		Entry("a control plane's: not there", noFolder, "no such file", "control-plane", "verify"),
		Entry("a control plane's: empty", emptyFolder, "no ring of files is in it",
			"control-plane", "inspect"),
		Entry("a control plane's: a store's", storeFolder, "it belongs to a store", "control-plane", "verify"),
		Entry("a control plane's: a sender's", ledgerFolder, "it belongs to the delivery service", "control-plane", "inspect"),
	)

	DescribeTable("still start the planes without a command's name",
		func(args ...string) { expectRefused("/none.toml", append(args, "--settings", "/none.toml")...) },
		Entry(nil, "store"), Entry(nil, "store", "run"), Entry(nil, "control-plane"), Entry(nil, "control-plane", "run"),
		Entry(nil, "proxy"),
	)
})
