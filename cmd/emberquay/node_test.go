package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/internal/tier/controlplane"
	"emberquay/internal/tier/dataplane"
	"emberquay/internal/tier/lifecycle"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/storeplane"
	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The blocks 127.firstBlock to 127.firstBlock+blocks-1 may be taken for a machine; the laboratory has others.
const (
	firstBlock = 230
	blocks     = 20
	holdPort   = 7999
)

// machineSettings are those of a machine that is the whole tier: its address, the folder, role and what it serves.
const machineSettings = `node_name = "one"
role = %q
machine_class = "front"
serves = [%s]
ip = "%[3]s"
zone = "a"
region = "r"
internal_ports = [7380, 7395]
seed_nodes = ["%[3]s:8144"]
bootstrap = true
counts_for_quorum = true
heartbeat_ms = 500
data_dir = %[4]q
[zones]
a = "r"
[listen]
front = "%[3]s:8149"
readiness = "%[3]s:8141"
control = "%[3]s:8144"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 256
max_fds = 4096
link_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = 0
zones = 0
regions = 0
[bounds]
contact_ms = 2000
ack_ms = 4000
drain_ms = 1500
grace_s = 4
config_apply_ms = 1500
recovery_s = 5
rollback_slack_ms = 250
loss_slack_ms = 200
catch_up_s = 2
`

// machineAddress is a loopback address that nobody else has.
func machineAddress() string {
	GinkgoHelper()
	for i := range blocks {
		ip := fmt.Sprintf("127.%d.1.1", firstBlock+(os.Getpid()+i)%blocks)
		if hold, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, holdPort)); err == nil {
			DeferCleanup(hold.Close)
			return ip
		}
	}
	Fail("no block of loopback addresses is free")
	return ""
}

// settingsOf writes the settings file of a role on the machine.
func settingsOf(role, ip string, serves ...string) string {
	GinkgoHelper()
	for i := range serves {
		serves[i] = fmt.Sprintf("%q", serves[i])
	}
	dir := GinkgoT().TempDir()
	text := fmt.Sprintf(machineSettings, role, strings.Join(serves, ","), ip, filepath.Join(dir, "data"))
	path := filepath.Join(dir, "boot.toml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// run starts a plane by its settings and ends it with the test.
func run[P lifecycle.Plane](path string, start func(*settings.Node, log.Interface) (P, error)) {
	GinkgoHelper()
	node, err := settings.LoadFile(path)
	Expect(err).NotTo(HaveOccurred())
	plane, err := start(node, &log.Logger{Handler: discard.Default})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		ended, end := context.WithCancel(context.Background())
		end()
		plane.Shutdown(ended, time.Now())
	})
}

// statusByJSON asks once.
func statusByJSON(path string) nodestatus.Status {
	GinkgoHelper()
	said, code := asProgram("node", "status", "--json", "--timeout", "10s", "--settings", path)
	Expect(code).To(BeZero(), said)
	var status nodestatus.Status
	Expect(json.Unmarshal([]byte(said), &status)).To(Succeed())
	return status
}

var _ = Describe("node status", func() {
	It("asks the running planes of a machine", func(ctx SpecContext) {
		ip := machineAddress()
		control := settingsOf("control-plane", ip, "control")
		kept := settingsOf("store", ip, "store")
		proxy := settingsOf("proxy", ip, "front")
		run(control, controlplane.Start)
		run(kept, storeplane.Start)
		run(proxy, dataplane.Start)
		Eventually(ctx, func() bool {
			s := statusByJSON(kept).Store
			return s.Member && s.Complete
		}).Should(BeTrue())
		Eventually(ctx, func() int { return len(statusByJSON(proxy).Nodes) }).Should(Equal(3))
		c := statusByJSON(control)
		Expect(c.Role).To(Equal("control"))
		Expect(c.Control.Member).To(BeTrue())
		Expect(c.Control.Chain).To(Equal([]int64{c.Control.ID}))
		Expect(c.ConfigurationVersion).To(BeZero())
		expectSays("view           epoch 1, 1 members, member of it: yes\n", "node", "status", ip+":7381")
		expectSays("store view  ", "node", "status", "--settings", kept)
		expectSays("ready          no\n", "node", "status", "--role", "proxy", "--settings", control)
	}, NodeTimeout(time.Minute))

	It("prints what the process says", func() {
		mux := transport.NewMux()
		nodestatus.Register(mux, func(context.Context) (nodestatus.Status, error) {
			return nodestatus.Status{
				Name: "front-1", Role: "proxy", Zone: "a", Address: "127.0.0.1:7380", Incarnation: 5, UptimeMillis: 61_500,
				ConfigurationVersion: 14, Nodes: []nodestatus.NodeCounts{{Role: "proxy", Known: 3, Alive: 2}},
				Receivers: nodestatus.ReceiverCounts{Ready: 8, Gone: 2},
				Proxy:     &nodestatus.Proxy{Ready: true, InFlight: 3, Arrived: 450, Refused: 4},
			}, nil
		})
		server, err := transport.Listen("127.0.0.1:0", mux)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		said, code := asProgram("node", "status", server.Address())
		Expect(code).To(BeZero())
		Expect(said).To(Equal(strings.Join([]string{
			"node           front-1 (proxy) at 127.0.0.1:7380, zone a",
			"incarnation    5",
			"uptime         1m1.5s",
			"configuration  version 14",
			"proxy nodes    3 known, 2 alive",
			"receivers      8 ready, 0 draining, 0 silent, 2 gone",
			"ready          yes",
			"in hand        3",
			"to admission   450 since the start, 4 refused", "",
		}, "\n")))
	})

	It("says in one line that a process does not answer", func() {
		silent, err := net.Listen("tcp4", "127.0.0.1:0") // it takes connections and says nothing
		Expect(err).NotTo(HaveOccurred())
		address := silent.Addr().String()
		expectRefused(address+" does not answer: ", "node", "status", "--timeout", "50ms", address)
		Expect(silent.Close()).To(Succeed())
		expectRefused(address+" does not answer: connect to", "node", "status", address)
	})

	It("says in one line that a process does not know the question", func() {
		server, err := transport.Listen("127.0.0.1:0", transport.NewMux())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		expectRefused(server.Address()+" answers, but not for its status: unknown method node.status",
			"node", "status", server.Address())
	})

	DescribeTable("refuses what names no process",
		func(want string, args ...string) { expectRefused(want, append([]string{"node", "status"}, args...)...) },
		Entry("nothing", "either an address or --settings"),
		Entry("two", "either an address or --settings", "127.0.0.1:1", "--settings", "x"),
		Entry("no address", `"nowhere": address nowhere: missing port`, "nowhere"),
		Entry("a role of an address", "--role goes with --settings", "127.0.0.1:1", "--role", "store"),
		Entry("no role that there is", "--role must be one of", "--settings", "x", "--role", "head"),
		Entry("no time", "--timeout: has to be above 0", "127.0.0.1:1", "--timeout", "0s"),
		Entry("a file that is not there", "/none.toml", "--settings", "/none.toml"),
	)
})
