package sim

import (
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// toothSeeds is how many seeds a deliberate fault may take to be found.
const toothSeeds = 2000

// bite gives the first seed at which a fault breaks a rule, and how.
func bite(fault Fault, most int) *Breach {
	for seed := uint64(1); seed <= uint64(most); seed++ {
		if r := Run(Options{Seed: seed, fault: fault}); r.Breach != nil {
			return r.Breach
		}
	}
	return nil
}

// found are the faults with the seed at which each is known to be found first, and the rule that it breaks there.
var _ = Describe("Deliberate faults", func() {
	It("are found by the seeds on the page", func() {
		if os.Getenv("SIM_TEETH") == "" {
			Skip("SIM_TEETH is not set")
		}
		for _, fault := range Faults {
			began := time.Now()
			b := bite(fault, setting("SIM_TEETH", toothSeeds))
			said := "NOT FOUND"
			if b != nil {
				said = b.String()
			}
			fmt.Printf("TOOTH %-75s %6.1fs %s\n", fault, time.Since(began).Seconds(), said)
		}
		Expect(true).To(BeTrue())
	})
})
