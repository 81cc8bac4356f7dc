package sim

import (
	"fmt"
	"os"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// toothSeeds is how many seeds a deliberate fault may take to be found.
const toothSeeds = 2000

// bite gives the first seed at which a fault breaks a rule, and how.
func bite(fault Fault, first, most int) *Breach {
	for seed := first; seed < first+most; seed++ {
		if r := Run(Options{Seed: uint64(seed), fault: fault}); r.Breach != nil {
			return r.Breach
		}
	}
	return nil
}

// The whole search: SIM_TEETH=2000 go test ./internal/sim -ginkgo.focus 'searched'; SIM_TOOTH names a part of one fault.
var _ = Describe("Deliberate faults", func() {
	It("are searched for", func() {
		most := setting("SIM_TEETH", 0)
		if most == 0 {
			Skip("SIM_TEETH is not set")
		}
		var all sync.WaitGroup
		slots := make(chan struct{}, setting("SIM_AT_ONCE", 4))
		for _, fault := range Faults {
			if !matches(fault, os.Getenv("SIM_TOOTH")) {
				continue
			}
			slots <- struct{}{}
			all.Go(func() {
				defer func() { <-slots }()
				said := "NOT FOUND"
				if b := bite(fault, setting("SIM_FIRST", 1), min(most, toothSeeds)); b != nil {
					said = b.String()
				}
				fmt.Printf("TOOTH %-75s %.200s\n", fault, said)
			})
		}
		all.Wait()
	})
})

func matches(fault Fault, part string) bool {
	ok, err := ContainSubstring(part).Match(string(fault))
	return ok && err == nil
}
