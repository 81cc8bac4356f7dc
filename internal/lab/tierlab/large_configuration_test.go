package tierlab

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

// Guards against a configuration of megabytes that comes into force late where many processes share few cores: every
// process read the whole document again for a change of one route, most of them more than once.
func TestAChangeOfALargeConfigurationIsInForceInTimeOnOneCore(t *testing.T) {
	g := NewWithT(t)
	program := filepath.Join(t.TempDir(), "emberquay")
	out, err := exec.Command("go", "build", "-o", program, "emberquay/cmd/emberquay").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Minute)
	defer stop()
	bounds := SiteBounds()
	result, err := Run(ctx, Options{Program: program, Bounds: &bounds, Scenario: ScenarioFor(largeConfigurationWorld())})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Crashes).To(BeEmpty())
	g.Expect(result.Verdict.Breaches).To(BeEmpty())
	g.Expect(result.Verdict.Checked[tierrules.Config]).To(BeNumerically(">", 30), "probes reach the proxies")
}

// largeConfigurationWorld returns a calm day on which some routes of 10,800 change, first in quick succession.
func largeConfigurationWorld() *tierworld.World {
	w := tierworld.Default()
	w.Seconds = 18
	w.Tier = tierworld.Tier{ControlPlanes: 3, Forwarders: 3, Stores: 3, Proxies: 6, IdleRoutes: 10_800, Cores: 1}
	w.Traffic.PlainPerS, w.Traffic.TextsPerS, w.Programs.PerS = 5, 0, 0
	w.Trouble = []tierworld.Trouble{
		{Kind: tierworld.AddRoute, AtS: 3}, {Kind: tierworld.MoveRoute, AtS: 4.2}, {Kind: tierworld.ChangeTimeout, AtS: 5.4},
		{Kind: tierworld.RemoveRoute, AtS: 12},
	}
	return w
}
