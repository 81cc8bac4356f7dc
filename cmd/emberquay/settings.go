package main

import (
	"fmt"
	"strings"

	"emberquay/internal/tier/settings"
)

// settingsCmd are the commands on a settings file of the tier.
type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Read a settings file and say what it comes to."`
}

type settingsCheckCmd struct {
	File string `arg:"" help:"The settings file (EMBERQUAY_NODE_FILE)." type:"path"`
}

// Run prints what the file says, or the first key that makes no sense.
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
