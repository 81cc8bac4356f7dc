package tierlab

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

// lossSoakSeconds is the length of the traffic of one short run; `quaylab tier soak --losses` runs more of them.
const lossSoakSeconds = 24

// Guards against acknowledged changes that are lost, shown in an older state or not in force after disks are lost while
// all other machines lose power, those without a disk included.
var _ = Describe("A soak test of losses of power and of disks", func() {
	for _, seed := range []uint64{1, 2} {
		It(fmt.Sprintf("with seed %d breaches no rule", seed), func(ctx SpecContext) {
			tier := tierworld.DefaultSoakTier()
			tier.Forwarders = 3
			world := tierworld.LossSoak(seed, lossSoakSeconds, tier)
			result, err := Run(ctx, Options{Program: volatileBinary, Scenario: ScenarioFor(world)})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Crashes).To(BeEmpty())
			Expect(result.Verdict.Breaches).To(BeEmpty())
			Expect(result.Verdict.Checked[tierrules.Config]).To(BeNumerically(">", 0))
		}, SpecTimeout(2*time.Minute))
	}
})
