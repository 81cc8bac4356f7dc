package controlstate_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
)

// document is a valid configuration whose service is called after its text.
func document(version uint64, service string) string {
	return fmt.Sprintf(`{"version":%d,"services":[{"name":%q}],"routes":[`+
		`{"name":"r","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"service":%q}]}`, version, service, service)
}

func replace(base uint64, body string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.ReplaceConfiguration, Base: base, HasBase: true, Body: []byte(body)}
}

func modify(base uint64, body string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.ModifyConfiguration, Base: base, HasBase: true, Body: []byte(body)}
}

// taken applies a command that has to be taken anew.
func taken(state *controlstate.State, command controlstate.Command) {
	GinkgoHelper()
	result, changed := apply(state, command)
	Expect(result.Status).To(Equal(controlstate.StatusOK), result.Message)
	Expect(changed).To(BeTrue())
}

// at gives a state with a configuration in force.
func at(version uint64) *controlstate.State {
	GinkgoHelper()
	state := controlstate.New()
	taken(state, replace(0, document(version, "s")))
	return state
}

func expectInForce(state *controlstate.State, version uint64, body string) {
	GinkgoHelper()
	inForce, got := state.Configuration()
	Expect(inForce).To(Equal(version))
	Expect(string(got)).To(Equal(body))
}

var _ = Describe("the configuration", func() {
	It("is not there at first", func() {
		expectInForce(controlstate.New(), 0, "")
	})

	It("is given as it was sent, byte for byte", func() {
		state := controlstate.New()
		body := "\n " + document(3, "s") + "\t"
		taken(state, replace(0, body))
		expectInForce(state, 3, body)
		expectInForce(restored(state), 3, body)
	})

	It("rises in uneven steps", func() {
		state := at(3)
		taken(state, replace(3, document(4, "s")))
		taken(state, replace(4, document(90, "s")))
		expectInForce(state, 90, document(90, "s"))
	})

	It("changes by named items", func() {
		state := at(3)
		taken(state, modify(3, `{"version":5,"upsert":{"services":[{"name":"t"}]},"remove":{"routes":["r","gone"]}}`))
		expectInForce(state, 5, `{"version":5,"services":[{"name":"s"},{"name":"t"}],"routes":[]}`)
	})

	It("may begin by named items", func() {
		state := controlstate.New()
		taken(state, modify(0, `{"version":2,"upsert":{"services":[{"name":"t"}]}}`))
		expectInForce(state, 2, `{"version":2,"services":[{"name":"t"}]}`)
	})
})

var _ = DescribeTable("a change that has to be refused changes nothing",
	func(command controlstate.Command, status int, want string) {
		state := at(7)
		before := state.Snapshot()
		result, changed := apply(state, command)
		Expect(result.Status).To(Equal(status))
		Expect(result.Message).To(ContainSubstring(want))
		Expect(result.Version).To(BeEquivalentTo(7))
		Expect(changed).To(BeFalse())
		Expect(state.Snapshot()).To(Equal(before))
	},
	Entry("cut short", replace(7, document(9, "s")[:60]), 400, "no whole JSON"),
	Entry("cut short, by items", modify(7, `{"version":9,"upsert"`), 400, "no whole JSON"),
	Entry("an unknown service", replace(7, strings.Replace(document(9, "s"), `"service":"s"`, `"service":"t"`, 1)), 400, "there is no service"),
	Entry("an unknown service, by items", modify(7, `{"version":9,"remove":{"services":["s"]}}`), 400, "there is no service"),
	Entry("the same place", modify(7, `{"version":9,"upsert":{"routes":[{"name":"q","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"service":"s"}]}}`),
		400, "same host and prefix"),
	Entry("no weight", modify(7, `{"version":9,"upsert":{"routes":[{"name":"r","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"weighted_targets":[{"service":"s","weight":0}]}]}}`),
		400, "the weights add up to 0"),
	Entry("no time-out", replace(7, strings.Replace(document(9, "s"), `"timeout_ms":900`, `"timeout_ms":0`, 1)), 400, "timeout_ms"),
	Entry("an old version", replace(7, document(6, "s")), 400, "6 is not above 7"),
	Entry("an old version, by items", modify(7, `{"version":6}`), 400, "6 is not above 7"),
	Entry("the same version", replace(7, document(7, "t")), 400, "7 is not above 7"),
	Entry("the same version, by items", modify(7, `{"version":7}`), 400, "7 is not above 7"),
	Entry("a stale base", replace(5, document(9, "s")), 412, "version 7 is in force, not 5"),
	Entry("a stale base, by items", modify(5, `{"version":9}`), 412, "version 7 is in force, not 5"),
	Entry("the first once more, otherwise", replace(0, document(9, "s")), 412, "version 7 is in force, not 0"),
	Entry("a stale base and an invalid body", replace(5, "{"), 412, "version 7 is in force"),
	Entry("a stale base and the same version", replace(5, document(7, "s")), 412, "version 7 is in force"),
	Entry("a key shared by two", replace(7, strings.Replace(document(9, "s"), `"version":9`, `"version":9,"version":10`, 1)), 400, "twice"),
	Entry("a name shared by two", modify(7, `{"version":9,"upsert":{"routes":[{"name":"q"},{"name":"q"}]}}`), 400, "another item"),
	Entry("no base", controlstate.Command{Kind: controlstate.ReplaceConfiguration, Body: []byte(document(9, "s"))}, 400, "not named"),
	Entry("no body", replace(7, ""), 400, "no whole JSON"),
	Entry("a kind that is not known", controlstate.Command{Kind: 99}, 400, "command 99 is not known"),
)

var _ = Describe("a change that was taken", func() {
	It("is acknowledged again", func() {
		state := at(3)
		result, changed := apply(state, replace(0, document(3, "s")))
		Expect(result).To(Equal(controlstate.Result{Status: controlstate.StatusOK, Version: 3}))
		Expect(changed).To(BeFalse())
	})

	It("is acknowledged again after later changes and a restart", func() {
		state := at(3)
		patch := modify(3, `{"version":5,"upsert":{"services":[{"name":"t"}]}}`)
		taken(state, patch)
		taken(state, replace(5, document(8, "u")))
		state = restored(state)
		for version, command := range map[uint64]controlstate.Command{3: replace(0, document(3, "s")), 5: patch} {
			result, changed := apply(state, command)
			Expect(result).To(Equal(controlstate.Result{Status: controlstate.StatusOK, Version: version}))
			Expect(changed).To(BeFalse())
		}
		expectInForce(state, 8, document(8, "u"))
	})

	DescribeTable("is told apart from one that differs a little",
		func(command controlstate.Command) {
			state := at(3)
			taken(state, replace(3, document(5, "t")))
			result, _ := apply(state, command)
			Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
			expectInForce(state, 5, document(5, "t"))
		},
		Entry("in its base", replace(2, document(5, "t"))),
		Entry("in its body", replace(3, document(5, "t")+" ")),
		Entry("in its kind", modify(3, document(5, "t"))),
	)

	It("is acknowledged after 1, 300 and 5,000 later changes, and never refused after more", func() {
		state := at(1)
		first := replace(0, document(1, "s"))
		for version := uint64(2); version <= 8193; version++ {
			taken(state, modify(version-1, fmt.Sprintf(`{"version":%d}`, version)))
			switch version {
			case 2, 301, 5001, 8192:
				result, changed := apply(restored(state), first)
				Expect(result).To(Equal(controlstate.Result{Status: controlstate.StatusOK, Version: 1}))
				Expect(changed).To(BeFalse())
			}
		}
		state = restored(state)
		for _, c := range []controlstate.Command{first, replace(0, document(1, "other"))} {
			result, changed := apply(state, c)
			Expect(result.Status).To(Equal(controlstate.StatusUnknown))
			Expect(changed).To(BeFalse())
		}
		oldest, _ := apply(state, modify(1, `{"version":2}`))
		Expect(oldest.Status).To(Equal(controlstate.StatusOK))
		other, _ := apply(state, modify(2, `{"version":7}`))
		Expect(other.Status).To(Equal(controlstate.StatusPreconditionFailed), "another one was taken on its base, for certain")
	})
})

var _ = Describe("two changes on one base", func() {
	It("are won by the first, also with the same number", func() {
		for _, second := range []uint64{9, 11} {
			state := at(7)
			taken(state, replace(7, document(9, "one")))
			result, changed := apply(state, replace(7, document(second, "two")))
			Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
			Expect(changed).To(BeFalse())
			again, _ := apply(state, replace(7, document(9, "one")))
			Expect(again.Status).To(Equal(controlstate.StatusOK))
			expectInForce(state, 9, document(9, "one"))
		}
	})

	It("are won by one of them, in whatever order all of their repeats come", func() {
		commands := []controlstate.Command{
			replace(7, document(9, "one")), replace(7, document(9, "two")), modify(7, `{"version":8}`), modify(7, `{"version":9}`),
		}
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 0))
			state := at(7)
			accepted, refused := map[int]bool{}, map[int]bool{}
			for range 20 {
				one := random.IntN(len(commands))
				result, _ := apply(state, commands[one])
				accepted[one] = accepted[one] || result.Status == controlstate.StatusOK
				refused[one] = refused[one] || result.Status != controlstate.StatusOK
			}
			Expect(accepted).To(HaveLen(len(refused)))
			winners := 0
			for one, won := range accepted {
				Expect(won).NotTo(Equal(refused[one]))
				if won {
					winners++
				}
			}
			Expect(winners).To(Equal(1))
		}
	})
})

var _ = Describe("a change on a base that is not reached yet", func() {
	It("stays refused once it is reached", func() {
		state := at(7)
		early := replace(9, document(12, "early"))
		result, changed := apply(state, early)
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		Expect(changed).To(BeTrue(), "it has to be known on every replica")
		result, changed = apply(state, early)
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		Expect(changed).To(BeFalse())
		taken(state, replace(7, document(9, "t")))
		state = restored(state)
		result, changed = apply(state, early)
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		Expect(changed).To(BeFalse())
		taken(state, replace(9, document(13, "later")))
	})

	It("is not refused where there is no room to remember it", func() {
		state := at(7)
		early := func(base uint64) controlstate.Command { return replace(base, document(base+5, "early")) }
		for base := uint64(100); base < 100+1024; base++ {
			result, _ := apply(state, early(base))
			Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		}
		result, changed := apply(state, early(5000))
		Expect(result.Status).To(Equal(controlstate.StatusUnknown))
		Expect(changed).To(BeFalse())
		Expect(len(state.Snapshot())).To(BeNumerically("<", 1024*24+1000))

		// None of those that were refused comes into force, and those that can't any more make room.
		state = restored(state)
		taken(state, replace(7, document(100, "t")))
		result, _ = apply(state, early(100))
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		taken(state, replace(100, document(1124, "t")))
		_, refused := state.ChangeCounts()
		Expect(refused).To(BeZero())
	})
})

var _ = Describe("a configuration that is too large", func() {
	It("is refused, one that just fits is kept", func() {
		head := document(1, "s")
		state := controlstate.New()
		result, _ := apply(state, replace(0, head+strings.Repeat(" ", controlstate.MaxConfigurationBytes-len(head)+1)))
		Expect(result.Status).To(Equal(controlstate.StatusBadRequest))
		largest := head + strings.Repeat(" ", controlstate.MaxConfigurationBytes-len(head))
		taken(state, replace(0, largest))
		_, body := restored(state).Configuration()
		Expect(body).To(HaveLen(controlstate.MaxConfigurationBytes))
		// Nor can items make one that is too large, or be too large themselves.
		result, changed := apply(state, modify(1, `{"version":2,"upsert":{"services":[{"name":"`+strings.Repeat("t", 2000)+`"}]}}`))
		Expect(result.Status).To(Equal(controlstate.StatusOK), "the spaces of the one before are gone")
		Expect(changed).To(BeTrue())
		result, _ = apply(state, modify(2, `{"version":3}`+strings.Repeat(" ", controlstate.MaxConfigurationBytes)))
		Expect(result.Status).To(Equal(controlstate.StatusBadRequest))
	})
})
