package main

import (
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
)

const tierSettings = `node_name = "store-1"
machine_class = "store"
serves = ["store"]
ip = "10.1.0.41"
zone = "a"
internal_ports = [7380,7395]
seed_nodes = ["10.1.0.38:8144"]
data_dir = "/data/my-store"
heartbeat_ms = 1200
[limits]
memory_mb = 254
max_fds = 8200
[fault_tolerance]
machines = 1
`

var _ = Describe("settings check", func() {
	It("prints a summary of the settings", func() {
		expectOutput("store=10.1.0.41:7382 seeds=10.1.0.38:7381", "settings", "check", writeFile("boot.toml", tierSettings))
	})

	DescribeTable("fails with the file and the key",
		func(old, new, want string) {
			expectError(want, "settings", "check", writeFile("boot.toml", strings.Replace(tierSettings, old, new, 1)))
		},
		Entry("a wrong type", "memory_mb = 254", `memory_mb = "254"`, "boot.toml: limits.memory_mb: must be a number"),
		Entry("a missing key", `zone = "a"`, "", "boot.toml: zone: is missing"),
		Entry("invalid TOML", "[limits]", "[limits", "boot.toml: line 10"),
	)

	It("names a missing file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "none.toml")
		expectError(path, "settings", "check", path)
	})
})
