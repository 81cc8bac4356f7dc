package controlstate_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
)

// configurationBody returns a valid configuration with one route and the named service.
func configurationBody(version uint64, service string) string {
	return fmt.Sprintf(`{"version":%d,"services":[{"name":%q}],"routes":[`+
		`{"name":"r","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"service":%q}]}`, version, service, service)
}

func replace(base uint64, body string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.ReplaceConfiguration, Base: base, HasBase: true, Body: []byte(body)}
}

func modify(base uint64, body string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.ModifyConfiguration, Base: base, HasBase: true, Body: []byte(body)}
}

// expectAccepted applies a command and expects that it is accepted and changes the state.
func expectAccepted(state *controlstate.State, command controlstate.Command) {
	GinkgoHelper()
	result, changed := apply(state, command)
	Expect(result.Status).To(Equal(controlstate.StatusOK), result.Message)
	Expect(changed).To(BeTrue())
}

// stateAtVersion returns a state with a configuration of that version in force.
func stateAtVersion(version uint64) *controlstate.State {
	GinkgoHelper()
	state := controlstate.New()
	expectAccepted(state, replace(0, configurationBody(version, "s")))
	return state
}

func expectInForce(state *controlstate.State, version uint64, body string) {
	GinkgoHelper()
	inForce, got := state.Configuration()
	Expect(inForce).To(Equal(version))
	Expect(string(got)).To(Equal(body))
}

var _ = Describe("the configuration", func() {
	It("is absent at first", func() {
		expectInForce(controlstate.New(), 0, "")
	})

	It("is returned byte for byte as it was sent", func() {
		state := controlstate.New()
		body := "\n " + configurationBody(3, "s") + "\t"
		expectAccepted(state, replace(0, body))
		expectInForce(state, 3, body)
		expectInForce(restoreCopy(state), 3, body)
	})

	It("may skip versions", func() {
		state := stateAtVersion(3)
		expectAccepted(state, replace(3, configurationBody(4, "s")))
		expectAccepted(state, replace(4, configurationBody(90, "s")))
		expectInForce(state, 90, configurationBody(90, "s"))
	})

	It("can be changed by named items", func() {
		state := stateAtVersion(3)
		expectAccepted(state, modify(3, `{"version":5,"upsert":{"services":[{"name":"t"}]},"remove":{"routes":["r","gone"]}}`))
		expectInForce(state, 5, `{"version":5,"services":[{"name":"s"},{"name":"t"}],"routes":[]}`)
	})

	It("can be created by named items", func() {
		state := controlstate.New()
		expectAccepted(state, modify(0, `{"version":2,"upsert":{"services":[{"name":"t"}]}}`))
		expectInForce(state, 2, `{"version":2,"services":[{"name":"t"}]}`)
	})
})

var _ = DescribeTable("a refused change leaves the state unchanged",
	func(command controlstate.Command, status int, want string) {
		state := stateAtVersion(7)
		before := state.Snapshot()
		result, changed := apply(state, command)
		Expect(result.Status).To(Equal(status))
		Expect(result.Message).To(ContainSubstring(want))
		Expect(result.Version).To(BeEquivalentTo(7))
		Expect(changed).To(BeFalse())
		Expect(state.Snapshot()).To(Equal(before))
	},
	Entry("truncated", replace(7, configurationBody(9, "s")[:60]), 400, "no whole JSON"),
	Entry("truncated, by items", modify(7, `{"version":9,"upsert"`), 400, "no whole JSON"),
	Entry("an unknown service", replace(7, strings.Replace(configurationBody(9, "s"), `"service":"s"`, `"service":"t"`, 1)), 400, "there is no service"),
	Entry("an unknown service, by items", modify(7, `{"version":9,"remove":{"services":["s"]}}`), 400, "there is no service"),
	Entry("a second route with the same host and prefix", modify(7, `{"version":9,"upsert":{"routes":[{"name":"q","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"service":"s"}]}}`),
		400, "same host and prefix"),
	Entry("weights that add up to zero", modify(7, `{"version":9,"upsert":{"routes":[{"name":"r","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"weighted_targets":[{"service":"s","weight":0}]}]}}`),
		400, "the weights add up to 0"),
	Entry("no timeout", replace(7, strings.Replace(configurationBody(9, "s"), `"timeout_ms":900`, `"timeout_ms":0`, 1)), 400, "timeout_ms"),
	Entry("an old version", replace(7, configurationBody(6, "s")), 400, "6 is not above 7"),
	Entry("an old version, by items", modify(7, `{"version":6}`), 400, "6 is not above 7"),
	Entry("the same version", replace(7, configurationBody(7, "t")), 400, "7 is not above 7"),
	Entry("the same version, by items", modify(7, `{"version":7}`), 400, "7 is not above 7"),
	Entry("a stale base", replace(5, configurationBody(9, "s")), 412, "version 7 is in force, not 5"),
	Entry("a stale base, by items", modify(5, `{"version":9}`), 412, "version 7 is in force, not 5"),
	Entry("another first configuration", replace(0, configurationBody(9, "s")), 412, "version 7 is in force, not 0"),
	Entry("a stale base and an invalid body", replace(5, "{"), 412, "version 7 is in force"),
	Entry("a stale base and the same version", replace(5, configurationBody(7, "s")), 412, "version 7 is in force"),
	Entry("a duplicate key", replace(7, strings.Replace(configurationBody(9, "s"), `"version":9`, `"version":9,"version":10`, 1)), 400, "twice"),
	Entry("a duplicate item name", modify(7, `{"version":9,"upsert":{"routes":[{"name":"q"},{"name":"q"}]}}`), 400, "another item"),
	Entry("no base", controlstate.Command{Kind: controlstate.ReplaceConfiguration, Body: []byte(configurationBody(9, "s"))}, 400, "not named"),
	Entry("no body", replace(7, ""), 400, "no whole JSON"),
	Entry("an unknown kind", controlstate.Command{Kind: 99}, 400, "command 99 is not known"),
)

var _ = Describe("an accepted change", func() {
	It("is acknowledged again", func() {
		state := stateAtVersion(3)
		result, changed := apply(state, replace(0, configurationBody(3, "s")))
		Expect(result).To(Equal(controlstate.Result{Status: controlstate.StatusOK, Version: 3}))
		Expect(changed).To(BeFalse())
	})

	It("is acknowledged again after later changes and a restart", func() {
		state := stateAtVersion(3)
		patch := modify(3, `{"version":5,"upsert":{"services":[{"name":"t"}]}}`)
		expectAccepted(state, patch)
		expectAccepted(state, replace(5, configurationBody(8, "u")))
		state = restoreCopy(state)
		for version, command := range map[uint64]controlstate.Command{3: replace(0, configurationBody(3, "s")), 5: patch} {
			result, changed := apply(state, command)
			Expect(result).To(Equal(controlstate.Result{Status: controlstate.StatusOK, Version: version}))
			Expect(changed).To(BeFalse())
		}
		expectInForce(state, 8, configurationBody(8, "u"))
	})

	DescribeTable("is distinguished from one that differs slightly",
		func(command controlstate.Command) {
			state := stateAtVersion(3)
			expectAccepted(state, replace(3, configurationBody(5, "t")))
			result, _ := apply(state, command)
			Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
			expectInForce(state, 5, configurationBody(5, "t"))
		},
		Entry("in its base", replace(2, configurationBody(5, "t"))),
		Entry("in its body", replace(3, configurationBody(5, "t")+" ")),
		Entry("in its kind", modify(3, configurationBody(5, "t"))),
	)

	It("is acknowledged after 1, 300 and 5,000 later changes, and never refused after more", func() {
		state := stateAtVersion(1)
		first := replace(0, configurationBody(1, "s"))
		for version := uint64(2); version <= 8193; version++ {
			expectAccepted(state, modify(version-1, fmt.Sprintf(`{"version":%d}`, version)))
			switch version {
			case 2, 301, 5001, 8192:
				result, changed := apply(restoreCopy(state), first)
				Expect(result).To(Equal(controlstate.Result{Status: controlstate.StatusOK, Version: 1}))
				Expect(changed).To(BeFalse())
			}
		}
		state = restoreCopy(state)
		for _, c := range []controlstate.Command{first, replace(0, configurationBody(1, "other"))} {
			result, changed := apply(state, c)
			Expect(result.Status).To(Equal(controlstate.StatusUnknown))
			Expect(changed).To(BeFalse())
		}
		oldest, _ := apply(state, modify(1, `{"version":2}`))
		Expect(oldest.Status).To(Equal(controlstate.StatusOK))
		other, _ := apply(state, modify(2, `{"version":7}`))
		Expect(other.Status).To(Equal(controlstate.StatusPreconditionFailed), "another change is known to be accepted on its base")
	})
})

var _ = Describe("competing changes on one base", func() {
	It("accept the first one only, also if both have the same version", func() {
		for _, second := range []uint64{9, 11} {
			state := stateAtVersion(7)
			expectAccepted(state, replace(7, configurationBody(9, "one")))
			result, changed := apply(state, replace(7, configurationBody(second, "two")))
			Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
			Expect(changed).To(BeFalse())
			again, _ := apply(state, replace(7, configurationBody(9, "one")))
			Expect(again.Status).To(Equal(controlstate.StatusOK))
			expectInForce(state, 9, configurationBody(9, "one"))
		}
	})

	It("accept exactly one of them, in whatever order their repeats arrive", func() {
		commands := []controlstate.Command{
			replace(7, configurationBody(9, "one")), replace(7, configurationBody(9, "two")), modify(7, `{"version":8}`), modify(7, `{"version":9}`),
		}
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 0))
			state := stateAtVersion(7)
			accepted, refused := map[int]bool{}, map[int]bool{}
			for range 20 {
				index := random.IntN(len(commands))
				result, _ := apply(state, commands[index])
				accepted[index] = accepted[index] || result.Status == controlstate.StatusOK
				refused[index] = refused[index] || result.Status != controlstate.StatusOK
			}
			Expect(accepted).To(HaveLen(len(refused)))
			winners := 0
			for index, won := range accepted {
				Expect(won).NotTo(Equal(refused[index]))
				if won {
					winners++
				}
			}
			Expect(winners).To(Equal(1))
		}
	})
})

var _ = Describe("a change whose base version is not reached yet", func() {
	It("stays refused once it is reached", func() {
		state := stateAtVersion(7)
		early := replace(9, configurationBody(12, "early"))
		result, changed := apply(state, early)
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		Expect(changed).To(BeTrue(), "every replica has to record the refusal")
		result, changed = apply(state, early)
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		Expect(changed).To(BeFalse())
		expectAccepted(state, replace(7, configurationBody(9, "t")))
		state = restoreCopy(state)
		result, changed = apply(state, early)
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		Expect(changed).To(BeFalse())
		expectAccepted(state, replace(9, configurationBody(13, "later")))
	})

	It("is not refused if there is no room to record the refusal", func() {
		state := stateAtVersion(7)
		early := func(base uint64) controlstate.Command { return replace(base, configurationBody(base+5, "early")) }
		for base := uint64(100); base < 100+1024; base++ {
			result, _ := apply(state, early(base))
			Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		}
		result, changed := apply(state, early(5000))
		Expect(result.Status).To(Equal(controlstate.StatusUnknown))
		Expect(changed).To(BeFalse())
		Expect(len(state.Snapshot())).To(BeNumerically("<", 1024*24+1000))

		// No refused change comes into force, and those whose base has been passed are dropped.
		state = restoreCopy(state)
		expectAccepted(state, replace(7, configurationBody(100, "t")))
		result, _ = apply(state, early(100))
		Expect(result.Status).To(Equal(controlstate.StatusPreconditionFailed))
		expectAccepted(state, replace(100, configurationBody(1124, "t")))
		_, refused := state.ChangeCounts()
		Expect(refused).To(BeZero())
	})
})

var _ = Describe("the size of a configuration", func() {
	It("is refused above the maximum, and accepted at the maximum", func() {
		head := configurationBody(1, "s")
		state := controlstate.New()
		result, _ := apply(state, replace(0, head+strings.Repeat(" ", controlstate.MaxConfigurationBytes-len(head)+1)))
		Expect(result.Status).To(Equal(controlstate.StatusBadRequest))
		largest := head + strings.Repeat(" ", controlstate.MaxConfigurationBytes-len(head))
		expectAccepted(state, replace(0, largest))
		_, body := restoreCopy(state).Configuration()
		Expect(body).To(HaveLen(controlstate.MaxConfigurationBytes))
		// The limit applies to the body of a modify command and to the configuration that results from it.
		result, changed := apply(state, modify(1, `{"version":2,"upsert":{"services":[{"name":"`+strings.Repeat("t", 2000)+`"}]}}`))
		Expect(result.Status).To(Equal(controlstate.StatusOK), "the result does not contain the spaces of the previous one")
		Expect(changed).To(BeTrue())
		result, _ = apply(state, modify(2, `{"version":3}`+strings.Repeat(" ", controlstate.MaxConfigurationBytes)))
		Expect(result.Status).To(Equal(controlstate.StatusBadRequest))
	})
})
