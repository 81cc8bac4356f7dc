package sim

import (
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// toothSeeds is how many seeds a deliberate fault may take to be found.
const toothSeeds = 2000

// bite gives the first seed at which a fault breaks a rule, and how.
func bite(fault Fault, first, most int) *Breach {
	const block = 20
	for ; most > 0; first, most = first+block, most-block {
		total := runRange(uint64(first), min(block, most), setting("SIM_AT_ONCE", 0), fault, nil, nil)
		if len(total.Breaches) > 0 {
			return total.Breaches[0]
		}
	}
	return nil
}

// quickFaults were found within some 25 seeds, so the usual tests look for them; quickSeeds leaves room for the state machines'
// own draws to change. docs/notes/simulation.md lists all.
var quickFaults = []Fault{
	sealIgnored, voteAfterWipe, headAcknowledges, staleRead, repeatByVersion, repeatForgotten, baseIgnored, invalidTaken, versionMayFall,
	drainUnconfirmed, silenceIgnored, smallQuorum, tooFewCopies, missingTooSoon, brokenNotCounted,
	oneRound, repeatOfNewest, stalledStays, commitHoldsOn, reserveWaits,
	drainOfOne, entryForgotten, callsRenumbered, answersCrossed,
}

const quickSeeds = 100

var _ = Describe("Deliberate faults that show soon", func() {
	It("are found", func() {
		for _, fault := range quickFaults {
			Expect(bite(fault, 1, quickSeeds)).NotTo(BeNil(), string(fault))
		}
	})
})

// The whole search: SIM_TEETH=2000 go test ./internal/sim -ginkgo.focus 'searched'; SIM_TOOTH names a part of one fault.
var _ = Describe("Deliberate faults", func() {
	It("are searched for", func() {
		most := setting("SIM_TEETH", 0)
		if most == 0 {
			Skip("SIM_TEETH is not set")
		}
		for _, fault := range Faults {
			if !matches(fault, os.Getenv("SIM_TOOTH")) {
				continue
			}
			said := "NOT FOUND"
			if b := bite(fault, setting("SIM_FIRST", 1), min(most, toothSeeds)); b != nil {
				said = b.String()
			}
			fmt.Printf("TOOTH %-75s %.200s\n", fault, said)
		}
	})
})

// How many seeds find a fault: SIM_COUNT=300 go test ./internal/sim -ginkgo.focus 'counted'; SIM_TOOTH as above.
var _ = Describe("Deliberate faults by seeds", func() {
	It("are counted", func() {
		seeds := setting("SIM_COUNT", 0)
		if seeds == 0 {
			Skip("SIM_COUNT is not set")
		}
		for _, fault := range Faults {
			if !matches(fault, os.Getenv("SIM_TOOTH")) {
				continue
			}
			total := runRange(uint64(setting("SIM_FIRST", 1)), seeds, setting("SIM_AT_ONCE", 0), fault, nil, nil)
			fmt.Printf("COUNT %-75s %d of %d\n", fault, total.Broken, total.Seeds)
		}
	})
})

func matches(fault Fault, part string) bool {
	ok, err := ContainSubstring(part).Match(string(fault))
	return ok && err == nil
}
