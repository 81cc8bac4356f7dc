package tierworld_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/tierworld"
)

var _ = Describe("LossSoak", func() {
	const seconds, recovery = 30, 5

	It("draws the same world from the same seed and different worlds from different seeds", func() {
		draw := func(seed uint64) *tierworld.World {
			return tierworld.LossSoak(seed, seconds, recovery, tierworld.DefaultSoakTier())
		}
		Expect(draw(7)).To(Equal(draw(7)))
		Expect(draw(7)).NotTo(Equal(draw(8)))
	})

	It("draws every kind of loss, each valid by itself, and ends with one of all power", func() {
		drawn := map[tierworld.TroubleKind]int{}
		sizes := map[int]bool{}
		disks := map[string]bool{}
		for seed := range uint64(50) {
			w := tierworld.LossSoak(seed, seconds, recovery, tierworld.DefaultSoakTier())
			sizes[w.Tier.IdleRoutes] = true
			for _, t := range w.Trouble {
				drawn[t.Kind]++
				if t.Kind == tierworld.LosePower {
					disks[t.Target] = true
				}
				one := *w
				one.Trouble = []tierworld.Trouble{t}
				Expect(one.Check()).To(Succeed())
			}
			last := w.Trouble[len(w.Trouble)-1]
			Expect(last.Kind.LosesAllProcesses()).To(BeTrue())
			Expect(last.AtS + last.ForS).To(BeNumerically("<", seconds-recovery-3))
		}
		for _, kind := range []tierworld.TroubleKind{tierworld.LosePower, tierworld.LosePowerEarly, tierworld.LoseAcknowledger,
			tierworld.Kill, tierworld.Freeze, tierworld.Invalid, tierworld.Race} {
			Expect(drawn[kind]).To(BeNumerically(">", 4), string(kind))
		}
		Expect(sizes).To(HaveLen(3))
		Expect(disks).To(And(HaveKey(""), HaveKey(tierworld.ControlPlane), HaveKey(tierworld.Store)))
	})
})
