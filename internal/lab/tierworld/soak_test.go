package tierworld_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/tierworld"
)

var _ = Describe("Soak", func() {
	count := func(w *tierworld.World, what tierworld.TroubleKind, on string) int {
		n := 0
		for _, t := range w.Trouble {
			if t.Kind == what && t.Target == on {
				n++
			}
		}
		return n
	}

	It("draws the same world from the same seed and different worlds from different seeds", func() {
		Expect(tierworld.Soak(7, 20, tierworld.DefaultSoakTier())).To(Equal(tierworld.Soak(7, 20, tierworld.DefaultSoakTier())))
		Expect(tierworld.Soak(7, 20, tierworld.DefaultSoakTier())).NotTo(Equal(tierworld.Soak(8, 20, tierworld.DefaultSoakTier())))
	})

	It("draws series of restarts of all roles, reloads and configuration changes, each valid by itself", func() {
		for seed := range uint64(50) {
			w := tierworld.Soak(seed, 60, tierworld.DefaultSoakTier())
			Expect(count(w, tierworld.Restart, tierworld.Proxy)).To(BeNumerically(">=", 10))
			Expect(count(w, tierworld.Restart, tierworld.Store) + count(w, tierworld.Restart, tierworld.ControlPlane)).To(BeNumerically(">=", 6))
			Expect(count(w, tierworld.Reload, tierworld.Proxy)).To(BeNumerically(">=", 5))
			Expect(count(w, tierworld.ChangeIdle, "")).To(BeNumerically(">=", 3))
			Expect(count(w, tierworld.Drain, tierworld.Alfa) + count(w, tierworld.Drain, tierworld.Beta) + count(w, tierworld.Drain, tierworld.Model)).To(BeNumerically(">=", 5))
			for _, t := range w.Trouble { // each trouble alone is valid in a file
				one := *w
				one.Trouble = []tierworld.Trouble{t}
				Expect(one.Check()).To(Succeed())
			}
		}
	})

	It("also restarts machines, rewrites settings without a signal and changes timeouts", func() {
		for seed := range uint64(50) {
			w := tierworld.Soak(seed, 60, tierworld.DefaultSoakTier())
			Expect(count(w, tierworld.RestartMachine, tierworld.Proxy)).To(BeNumerically(">=", 1))
			Expect(count(w, tierworld.Rewrite, tierworld.Proxy) + count(w, tierworld.Rewrite, tierworld.Store) +
				count(w, tierworld.Rewrite, tierworld.ControlPlane)).To(BeNumerically(">=", 1))
			Expect(count(w, tierworld.ChangeTimeout, "")).To(BeNumerically(">=", 1))
		}
	})

	It("limits the processor share of proxies, retires a store and ends with kill_all on some seeds only", func() {
		for seed, wanted := range map[uint64]struct {
			share          float64
			finals, retire int
		}{1: {share: 0.35}, 2: {}, 4: {finals: 1}, 7: {retire: 1}, 6: {}, 16: {share: 0.35, finals: 1}} {
			w := tierworld.Soak(seed, 60, tierworld.DefaultSoakTier())
			Expect(w.Tier.ProcessorShare).To(Equal(wanted.share))
			Expect(count(w, tierworld.KillAll, "")).To(Equal(wanted.finals))
			Expect(count(w, tierworld.Retire, tierworld.Store)).To(Equal(wanted.retire))
		}
		short := tierworld.Soak(4, 20, tierworld.DefaultSoakTier())
		Expect(count(short, tierworld.KillAll, "")).To(BeZero(), "the day is too short to recover from kill_all")
	})

	It("adds unplanned trouble on some seeds only", func() {
		unplanned := func(seed uint64) int {
			w := tierworld.Soak(seed, 60, tierworld.DefaultSoakTier())
			return count(w, tierworld.Kill, tierworld.Proxy) + count(w, tierworld.Freeze, tierworld.Proxy)
		}
		Expect(unplanned(1)).To(BeZero())
		Expect(unplanned(2)).To(BeZero())
		Expect(unplanned(3)).To(BeNumerically(">", 0))
	})
})
