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
			world := tierworld.LossSoak(seed, lossSoakSeconds, Bounds().Recovery.Seconds(), tier)
			result, err := Run(ctx, Options{Program: volatileBinary, Scenario: ScenarioFor(world)})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Crashes).To(BeEmpty())
			Expect(result.Verdict.Breaches).To(BeEmpty())
			Expect(result.Verdict.Checked[tierrules.Config]).To(BeNumerically(">", 0))
		}, SpecTimeout(2*time.Minute))
	}
})

// Guards against a change that is acknowledged before the disks that must hold it have it: the first member of the chain
// loses its disk right after the acknowledgement, while all others lose power.
var _ = Describe("A change that is acknowledged right before the head loses its disk and all others their power", func() {
	It("is read back and in force afterwards", func(ctx SpecContext) {
		world := tierworld.Default()
		world.Seconds = 13
		world.Tier = tierworld.DefaultSoakTier()
		world.Tier.Forwarders = 3
		world.Traffic.PlainPerS, world.Traffic.TextsPerS, world.Programs.PerS = 10, 0, 0
		// The members of the first view are ordered by address, and the first one is the head.
		world.Trouble = []tierworld.Trouble{{Kind: tierworld.LosePower, Target: tierworld.ControlPlane, Index: 0, AtS: 2.5, ForS: 0.5}}
		result, err := Run(ctx, Options{Program: volatileBinary, Scenario: ScenarioFor(world)})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Crashes).To(BeEmpty())
		Expect(result.Notes).NotTo(ContainElement(ContainSubstring("not acknowledged")))
		Expect(result.Verdict.Breaches).To(BeEmpty())
	}, SpecTimeout(time.Minute))
})
