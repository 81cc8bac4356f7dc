package main

import (
	"fmt"
	"strings"

	"emberquay/internal/tier/settings"
)

// settingsCmd has the commands on a settings file of the serving tier.
type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file and print a summary."`
}

type settingsCheckCmd struct {
	File string `arg:"" help:"The settings file (EMBERQUAY_NODE_FILE)." type:"path"`
}

// Run prints a summary of the settings, or an error that names the first invalid key.
func (c *settingsCheckCmd) Run() error {
	node, err := settings.LoadFile(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("name=%s class=%s zone=%s ip=%s serves=%s disk=%q bootstrap=%v counts_for_quorum=%v\n", node.Name, node.MachineClass,
		node.Zone, node.IP, strings.Join(node.Serves, ","), node.DataDir, node.Bootstrap, node.CountsForQuorum)
	fmt.Printf("proxy=%s control_plane=%s store=%s seeds=%s\n", node.InternalAddress(settings.Proxy),
		node.InternalAddress(settings.ControlPlane), node.InternalAddress(settings.Store),
		strings.Join(node.SeedInternalAddresses(), ","))
	limits := node.Limits
	fmt.Printf("cpu_share=%g cores=%d memory_mb=%d max_fds=%d link_mbps=%g disk_mb=%d tolerance=%d heartbeat=%s\n", limits.CPUShare,
		limits.Cores, limits.MemoryMB, limits.MaxFDs, limits.LinkMbps, limits.DiskMB, node.FaultTolerance.Machines, node.HeartbeatInterval)
	return nil
}
