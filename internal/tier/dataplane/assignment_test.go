package dataplane

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

func TestDataplane(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dataplane")
}

var _ = Describe("The assignment of receivers' reports", func() {
	It("depends on the present proxies and receivers only, not on the order of changes", func() {
		random := rand.New(rand.NewPCG(1, 1))
		zone := func() string { return fmt.Sprint("z", random.IntN(4)) }
		a := newAssignment("p3")
		proxies, receivers := map[string]string{}, map[string]string{}
		for range 4000 {
			name, id, z := fmt.Sprint("p", random.IntN(9)), fmt.Sprint("i-", random.IntN(30)), zone()
			switch random.IntN(4) {
			case 0:
				a.setProxy(name, z, true)
				proxies[name] = z
			case 1:
				a.setProxy(name, proxies[name], false)
				delete(proxies, name)
			case 2:
				a.setReceiver(id, z, false)
				receivers[id] = z
			case 3:
				a.setReceiver(id, z, true)
				delete(receivers, id)
			}
			rebuilt := newAssignment("p3")
			for name, z := range proxies {
				rebuilt.setProxy(name, z, true)
			}
			for id, z := range receivers {
				rebuilt.setReceiver(id, z, false)
			}
			Expect(a.receivers).To(Equal(rebuilt.receivers))
			Expect(a.liveCount()).To(Equal(len(proxies)))
		}
	})

	It("assigns each receiver to one proxy, of its zone if there is one", func() {
		names := []string{"p1", "p2", "p3"}
		zones := map[string]string{"p1": "a", "p2": "a", "p3": "b"}
		for receiver := range 50 {
			id := fmt.Sprint("i-", receiver)
			for zone, candidates := range map[string][]string{"a": {"p1", "p2"}, "b": {"p3"}, "c": names} {
				var assignees []string
				for _, self := range names {
					a := newAssignment(self)
					a.setReceiver(id, zone, false)
					for _, name := range names {
						a.setProxy(name, zones[name], true)
					}
					if a.assigned(dispatch.InstanceID(id)) {
						assignees = append(assignees, self)
					}
				}
				Expect(assignees).To(HaveLen(1))
				Expect(candidates).To(ContainElement(assignees[0]))
			}
		}
	})
})

// BenchmarkAssignment removes and adds one of 340 proxies, with 620 receivers.
func BenchmarkAssignment(b *testing.B) {
	a := newAssignment("p1")
	for i := range 340 {
		a.setProxy(fmt.Sprint("p", i), fmt.Sprint("z", i%5), true)
	}
	for i := range 620 {
		a.setReceiver(fmt.Sprint("i-", i), fmt.Sprint("z", i%5), false)
	}
	b.ReportAllocs()
	for b.Loop() {
		a.setProxy("p7", "z2", false)
		a.setProxy("p7", "z2", true)
	}
}
