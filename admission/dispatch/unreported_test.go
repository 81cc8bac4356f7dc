package dispatch

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("receivers that no report tells of", func() {
	const enginesPerHalf = 12

	// pools makes engines of which half are told to run so many requests.
	halfReporting := func(running int) *driver {
		var list []Receiver
		for i := range enginesPerHalf {
			list = append(list, engine(InstanceID(fmt.Sprint("told-", i))), engine(InstanceID(fmt.Sprint("untold-", i))))
		}
		s := newDriver(list...)
		for _, e := range s.endpoints {
			e.probed = true
		}
		s.reportAll(running)
		return s
	}
	ginkgo.It("are taken to be about as busy as the others, not idle", func() {
		s := halfReporting(8)
		toReporting := 0
		for i := range 80 {
			s.reportAll(8)
			id := RequestID(fmt.Sprint(i))
			s.submit(id, prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
			if strings.HasPrefix(string(s.lastSend(id).Instance), "told") {
				toReporting++
			}
			s.complete(id, 50*ms)
		}
		Expect(toReporting).To(BeNumerically(">", 10))
	})
	ginkgo.It("are as busy as this sender alone makes them where that is more", func() {
		s := halfReporting(2)
		for i := range 4 * enginesPerHalf {
			s.submit(RequestID(fmt.Sprint(i)), prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
		}
		for _, e := range s.endpoints {
			Expect(len(e.inFlight)).To(BeNumerically("<=", 4))
		}
	})
	ginkgo.It("leave no room where those that are told of are full", func() {
		s := halfReporting(25)
		Expect(s.service(pool).estimateWait(s.now).hasCapacity).To(BeFalse())
	})
	ginkgo.It("say nothing of each other: one that is told to be busy does not make the rest so", func() {
		s := newDriver(engine("busy"), engine("a"), engine("b"))
		s.report("busy", Report{Running: 20})
		Expect(s.service(pool).assumedLoad(s.now)).To(BeZero())
	})
	ginkgo.It("are idle where no receiver is told of", func() {
		s := newDriver(engine("a"), engine("b"))
		Expect(s.service(pool).assumedLoad(s.now)).To(BeZero())
		Expect(s.service(pool).estimateWait(s.now).hasCapacity).To(BeTrue())
	})
})

// reportAll has each receiver of which anything is told report about so many running requests.
func (s *driver) reportAll(running int) {
	for id := range s.endpoints {
		if strings.HasPrefix(string(id), "told") {
			s.report(id, Report{Running: running + int(id[len(id)-1]-'0')%3 - 1})
		}
	}
}
