package dispatch

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("receivers without a report", func() {
	const enginesPerHalf = 12

	// halfReporting returns engines of which half report about so many running requests.
	halfReporting := func(running int) *driver {
		var list []Receiver
		for i := range enginesPerHalf {
			list = append(list, engine(InstanceID(fmt.Sprint("reporting-", i))), engine(InstanceID(fmt.Sprint("other-", i))))
		}
		s := newDriver(list...)
		for _, e := range s.endpoints {
			e.probed = true
		}
		s.reportAll(running)
		return s
	}
	ginkgo.It("are assumed to be about as busy as the others, not idle", func() {
		s := halfReporting(8)
		toReporting := 0
		for i := range 80 {
			s.reportAll(8)
			id := RequestID(fmt.Sprint(i))
			s.submit(id, prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
			if strings.HasPrefix(string(s.lastSend(id).Instance), "reporting") {
				toReporting++
			}
			s.complete(id, 50*ms)
		}
		Expect(toReporting).To(BeNumerically(">", 10))
	})
	ginkgo.It("are as busy as this proxy's own calls make them if that is more", func() {
		s := halfReporting(2)
		for i := range 4 * enginesPerHalf {
			s.submit(RequestID(fmt.Sprint(i)), prompt(PrefixPart{ID: uint64(100 + i), Tokens: 2000}))
		}
		for _, e := range s.endpoints {
			Expect(len(e.inFlight)).To(BeNumerically("<=", 4))
		}
	})
	ginkgo.It("do not count as free capacity if those with reports are full", func() {
		s := halfReporting(25)
		Expect(s.service(pool).estimateWait(s.now).hasCapacity).To(BeFalse())
	})
	ginkgo.It("are not assumed to be busy because of a single busy report", func() {
		s := newDriver(engine("busy"), engine("a"), engine("b"))
		s.report("busy", Report{Running: 20})
		Expect(s.service(pool).assumedLoad(s.now)).To(BeZero())
	})
	ginkgo.It("are assumed to be idle if there are no reports at all", func() {
		s := newDriver(engine("a"), engine("b"))
		Expect(s.service(pool).assumedLoad(s.now)).To(BeZero())
		Expect(s.service(pool).estimateWait(s.now).hasCapacity).To(BeTrue())
	})
})

// reportAll has each receiver of the reporting half report about so many running requests.
func (s *driver) reportAll(running int) {
	for id := range s.endpoints {
		if strings.HasPrefix(string(id), "reporting") {
			s.report(id, Report{Running: running + int(id[len(id)-1]-'0')%3 - 1})
		}
	}
}
