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

// A test may use the address blocks 127.firstBlock to 127.firstBlock+blocks-1 for its machine; the laboratory uses others.
const (
	firstBlock = 230
	blocks     = 20
	lockPort   = 7999
)

// machineSettings are the settings of a machine that forms the whole tier. Arguments: role, serves, address, data directory.
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

// machineAddress returns a loopback address that no other process of the tests uses; a listener reserves it.
func machineAddress() string {
	GinkgoHelper()
	for i := range blocks {
		ip := fmt.Sprintf("127.%d.1.1", firstBlock+(os.Getpid()+i)%blocks)
		if listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, lockPort)); err == nil {
			DeferCleanup(listener.Close)
			return ip
		}
	}
	Fail("no block of loopback addresses is free")
	return ""
}

// writeSettings writes the settings file of a role and returns its path.
func writeSettings(role, ip string, serves ...string) string {
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

// startPlane starts a plane with a settings file and shuts it down after the test.
func startPlane[P lifecycle.Plane](path string, start func(*settings.Node, log.Interface) (P, error)) {
	GinkgoHelper()
	node, err := settings.LoadFile(path)
	Expect(err).NotTo(HaveOccurred())
	plane, err := start(node, &log.Logger{Handler: discard.Default})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		plane.Shutdown(ctx, time.Now())
	})
}

// queryStatus runs `node status --json` once.
func queryStatus(path string) nodestatus.Status {
	GinkgoHelper()
	output, code := runProgram("node", "status", "--json", "--timeout", "10s", "--settings", path)
	Expect(code).To(BeZero(), output)
	var status nodestatus.Status
	Expect(json.Unmarshal([]byte(output), &status)).To(Succeed())
	return status
}

var _ = Describe("node status", func() {
	It("queries the running planes of a machine", func(ctx SpecContext) {
		ip := machineAddress()
		control := writeSettings("control-plane", ip, "control")
		kept := writeSettings("store", ip, "store")
		proxy := writeSettings("proxy", ip, "front")
		startPlane(control, controlplane.Start)
		startPlane(kept, storeplane.Start)
		startPlane(proxy, dataplane.Start)
		Eventually(ctx, func() bool {
			s := queryStatus(kept).Store
			return s.Member && s.Complete
		}).Should(BeTrue())
		Eventually(ctx, func() int { return len(queryStatus(proxy).Nodes) }).Should(Equal(3))
		c := queryStatus(control)
		Expect(c.Role).To(Equal("control"))
		Expect(c.Control.Member).To(BeTrue())
		Expect(c.Control.Chain).To(Equal([]int64{c.Control.ID}))
		Expect(c.ConfigurationVersion).To(BeZero())
		expectOutput("view           epoch 1, 1 members, member of it: yes\n", "node", "status", ip+":7381")
		expectOutput("store view  ", "node", "status", "--settings", kept)
		expectOutput("ready          no\n", "node", "status", "--role", "proxy", "--settings", control)
	}, NodeTimeout(time.Minute))

	It("prints the status of a process", func() {
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
		output, code := runProgram("node", "status", server.Address())
		Expect(code).To(BeZero())
		Expect(output).To(Equal(strings.Join([]string{
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

	It("reports a process that does not answer in one line", func() {
		silent, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and never answers
		Expect(err).NotTo(HaveOccurred())
		address := silent.Addr().String()
		expectError(address+" does not answer: ", "node", "status", "--timeout", "50ms", address)
		Expect(silent.Close()).To(Succeed())
		expectError(address+" does not answer: connect to", "node", "status", address)
	})

	It("reports a process that does not know the method in one line", func() {
		server, err := transport.Listen("127.0.0.1:0", transport.NewMux())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		expectError(server.Address()+" answers, but not for its status: unknown method node.status",
			"node", "status", server.Address())
	})

	DescribeTable("rejects invalid arguments",
		func(want string, args ...string) { expectError(want, append([]string{"node", "status"}, args...)...) },
		Entry("no process", "want either an address or --settings"),
		Entry("two ways to name a process", "want either an address or --settings", "127.0.0.1:1", "--settings", "x"),
		Entry("a malformed address", `"nowhere": address nowhere: missing port`, "nowhere"),
		Entry("a role with an address", "--role goes with --settings", "127.0.0.1:1", "--role", "store"),
		Entry("an unknown role", "--role must be one of", "--settings", "x", "--role", "head"),
		Entry("no timeout", "--timeout: must be above 0", "127.0.0.1:1", "--timeout", "0s"),
		Entry("a missing file", "/none.toml", "--settings", "/none.toml"),
	)
})
