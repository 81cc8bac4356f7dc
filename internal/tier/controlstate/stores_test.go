package controlstate_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
)

// store returns the store with a number, on a machine of its own.
func store(number int) controlstate.StoreMember {
	return controlstate.StoreMember{
		ID:      fmt.Sprintf("id-%d", number),
		Node:    fmt.Sprintf("node-%d", number),
		Zone:    "a",
		Address: fmt.Sprintf("10.0.0.%d:7382", number),
	}
}

func register(member controlstate.StoreMember) controlstate.Command {
	return controlstate.Command{Kind: controlstate.RegisterStore, Store: member, Tolerance: 1, Bootstrap: true}
}

func retire(node string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.RetireStore, Node: node, DeadlineSeconds: 10}
}

func completed(node, id string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.RetireCompleted, Node: node, StoreID: id}
}

func remove(id string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.RemoveStore, StoreID: id}
}

func fail(id string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.FailStore, StoreID: id}
}

func restore(id string) controlstate.Command {
	return controlstate.Command{Kind: controlstate.RestoreStore, StoreID: id}
}

// stateWithStores returns a state with the stores 1 to count and a tolerance of one machine.
func stateWithStores(count int) *controlstate.State {
	GinkgoHelper()
	state := controlstate.New()
	for number := 1; number <= count; number++ {
		expectAccepted(state, register(store(number)))
	}
	return state
}

// expectUnchanged applies a command and expects a status and an unchanged state.
func expectUnchanged(state *controlstate.State, command controlstate.Command, status int) {
	GinkgoHelper()
	before := state.Snapshot()
	result, changed := apply(state, command)
	Expect(result.Status).To(Equal(status), result.Message)
	Expect(changed).To(BeFalse())
	Expect(state.Snapshot()).To(Equal(before))
	Expect(result.Version).To(Equal(state.Stores().Epoch))
}

func memberIDs(state *controlstate.State) []string {
	var ids []string
	for _, member := range state.Stores().Members {
		ids = append(ids, member.ID)
	}
	return ids
}

var _ = Describe("the store view", func() {
	It("is empty at first", func() {
		Expect(controlstate.New().Stores()).To(BeZero())
	})

	It("adds each store in an epoch of its own", func() {
		state := stateWithStores(2)
		first, second := store(1), store(2)
		first.Replaced, first.JoinEpoch = false, 1
		second.Replaced, second.JoinEpoch = false, 2
		Expect(state.Stores()).To(Equal(controlstate.StoreView{Epoch: 2, Tolerance: 1, Members: []controlstate.StoreMember{first, second}}))
		Expect(restoreCopy(state).Stores()).To(Equal(state.Stores()))
	})

	It("keeps the tolerance of the first registration", func() {
		state := stateWithStores(1)
		command := register(store(2))
		command.Tolerance = 2
		expectAccepted(state, command)
		Expect(state.Stores().Tolerance).To(Equal(1))
	})

	It("does not change if a store registers again", func() {
		expectUnchanged(stateWithStores(2), register(store(1)), controlstate.StatusOK)
	})

	It("updates the address and zone of a store, but not its join epoch", func() {
		state := stateWithStores(2)
		moved := store(1)
		moved.Address, moved.Zone = "10.0.0.9:7382", "b"
		command := register(moved)
		command.Bootstrap = false
		expectAccepted(state, command)
		moved.Replaced, moved.JoinEpoch = false, 1
		Expect(state.Stores().Members[0]).To(Equal(moved))
		Expect(state.Stores().Epoch).To(BeEquivalentTo(3))
	})

	It("replaces the store of a machine that lost its disk in place", func() {
		state := stateWithStores(2)
		fresh := store(1)
		fresh.ID = "id-fresh"
		command := register(fresh)
		command.Bootstrap = false
		expectAccepted(state, command)
		Expect(memberIDs(state)).To(Equal([]string{"id-fresh", "id-2"}))
		Expect(state.Stores().Members[0].Replaced).To(BeTrue())
		Expect(restoreCopy(state).Stores().Members[0].Replaced).To(BeTrue())
		Expect(state.Stores().Members[0].JoinEpoch).To(BeEquivalentTo(3))
	})

	It("is not affected by changes to a copy", func() {
		state := stateWithStores(2)
		state.Stores().Members[0].ID = "other"
		Expect(memberIDs(state)).To(Equal([]string{"id-1", "id-2"}))
	})

	It("adds a removed store again with a new join epoch", func() {
		state := stateWithStores(3)
		expectAccepted(state, fail("id-3"))
		expectAccepted(state, remove("id-3"))
		expectAccepted(state, register(store(3)))
		Expect(state.Stores().Members[2].JoinEpoch).To(BeEquivalentTo(6))
		Expect(state.Stores().Members[2].Retiring).To(BeFalse())
	})

	It("has a maximum size", func() {
		state := stateWithStores(1024)
		expectUnchanged(state, register(store(1025)), controlstate.StatusConflict)
		Expect(restoreCopy(state).Stores().Members).To(HaveLen(1024))
	})
})

var _ = DescribeTable("an invalid store is refused",
	func(alter func(*controlstate.Command), status int) {
		command := register(store(3))
		alter(&command)
		expectUnchanged(stateWithStores(2), command, status)
	},
	Entry("no ID", func(c *controlstate.Command) { c.Store.ID = "" }, 400),
	Entry("no node", func(c *controlstate.Command) { c.Store.Node = "" }, 400),
	Entry("no address", func(c *controlstate.Command) { c.Store.Address = "" }, 400),
	Entry("a negative tolerance", func(c *controlstate.Command) { c.Tolerance = -1 }, 400),
	Entry("the ID of a store on another machine", func(c *controlstate.Command) { c.Store.ID = "id-1" }, 409),
	Entry("the ID of another machine's store, on a machine that has one", func(c *controlstate.Command) {
		c.Store.ID, c.Store.Node = "id-1", "node-2"
	}, 409),
)

var _ = Describe("the retirement of a machine", func() {
	It("keeps its store in the view until completed", func() {
		state := stateWithStores(3)
		expectAccepted(state, retire("node-2"))
		Expect(state.Stores().Members[1].Retiring).To(BeTrue())
		Expect(state.Stores().Epoch).To(BeEquivalentTo(4))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementRunning))
		state = restoreCopy(state)
		Expect(state.Retirements()).To(Equal([]controlstate.Retirement{{Node: "node-2", StoreID: "id-2", DeadlineSeconds: 10}}))
		expectAccepted(state, completed("node-2", "id-2"))
		Expect(memberIDs(state)).To(Equal([]string{"id-1", "id-3"}))
		Expect(state.Stores().Epoch).To(BeEquivalentTo(5))
		Expect(restoreCopy(state).Retirement("node-2")).To(Equal(controlstate.RetirementCompleted))
	})

	It("reports its state as the operator API spells it", func() {
		state := stateWithStores(3)
		Expect(state.Retirement("node-2").String()).To(Equal("unknown"))
		expectAccepted(state, retire("node-2"))
		Expect(state.Retirement("node-2").String()).To(Equal("running"))
		expectAccepted(state, completed("node-2", "id-2"))
		Expect(state.Retirement("node-2").String()).To(Equal("completed"))
	})

	It("can be requested again while it runs and afterwards", func() {
		state := stateWithStores(3)
		expectAccepted(state, retire("node-2"))
		expectUnchanged(state, retire("node-2"), controlstate.StatusOK)
		expectAccepted(state, completed("node-2", "id-2"))
		expectUnchanged(state, retire("node-2"), controlstate.StatusOK)
		expectUnchanged(state, completed("node-2", "id-2"), controlstate.StatusOK)
	})

	It("requires a known machine", func() {
		expectUnchanged(stateWithStores(3), retire("node-9"), controlstate.StatusNotFound)
		expectUnchanged(controlstate.New(), retire("node-9"), controlstate.StatusNotFound)
	})

	It("is refused if too few stores would be left", func() {
		expectUnchanged(stateWithStores(2), retire("node-1"), controlstate.StatusConflict)
		state := stateWithStores(4)
		expectAccepted(state, retire("node-1"))
		expectAccepted(state, retire("node-2"))
		expectUnchanged(state, retire("node-3"), controlstate.StatusConflict)
	})

	It("is neither started nor refused by a duplicate that was received before the stores changed", func() {
		for name, c := range map[string]struct {
			state   *controlstate.State
			node    string
			refusal int
			change  func(*controlstate.State)
		}{
			"unknown, then registered": {stateWithStores(3), "node-4", controlstate.StatusNotFound, func(s *controlstate.State) { expectAccepted(s, register(store(4))) }},
			"too few, then more":       {stateWithStores(2), "node-1", controlstate.StatusConflict, func(s *controlstate.State) { expectAccepted(s, register(store(3))) }},
		} {
			order := retire(c.node)
			order.Base, order.HasBase = c.state.Stores().Epoch, true
			expectUnchanged(c.state, order, c.refusal)
			c.change(c.state)
			expectUnchanged(c.state, order, controlstate.StatusUnknown) // the duplicate
			order.Base = c.state.Stores().Epoch
			expectAccepted(c.state, order)
			expectUnchanged(c.state, order, controlstate.StatusOK) // repeated
			Expect(c.state.Retirement(c.node)).To(Equal(controlstate.RetirementRunning), name)
		}
	})

	It("is completed whichever view the report is based on", func() {
		state := stateWithStores(3)
		expectAccepted(state, retire("node-2"))
		report := completed("node-2", "id-2")
		report.Base, report.HasBase = state.Stores().Epoch-1, true
		expectAccepted(state, report)
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementCompleted))
	})

	It("refuses a registration of the emptied disk", func() {
		state := stateWithStores(3)
		expectAccepted(state, retire("node-2"))
		expectUnchanged(state, register(store(2)), controlstate.StatusOK)
		expectAccepted(state, completed("node-2", "id-2"))
		expectUnchanged(restoreCopy(state), register(store(2)), controlstate.StatusConflict)
	})

	It("can be repeated after the machine came back with another disk", func() {
		state := stateWithStores(3)
		expectAccepted(state, retire("node-2"))
		expectAccepted(state, completed("node-2", "id-2"))
		fresh := store(2)
		fresh.ID = "id-fresh"
		expectAccepted(state, register(fresh))
		Expect(state.Stores().Members[2].Retiring).To(BeFalse())
		expectAccepted(state, retire("node-2"))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementRunning))
		expectAccepted(state, completed("node-2", "id-fresh"))
		Expect(memberIDs(state)).To(Equal([]string{"id-1", "id-3"}))
	})

	It("continues with the new store if the machine loses its disk meanwhile", func() {
		state := stateWithStores(3)
		expectAccepted(state, retire("node-2"))
		fresh := store(2)
		fresh.ID = "id-fresh"
		expectAccepted(state, register(fresh))
		Expect(state.Stores().Members[1].Retiring).To(BeTrue())
		expectUnchanged(state, completed("node-2", "id-2"), controlstate.StatusConflict)
		expectAccepted(state, completed("node-2", "id-fresh"))
	})

	It("continues if the store is removed as dead meanwhile", func() {
		state := stateWithStores(3)
		expectAccepted(state, retire("node-2"))
		expectAccepted(state, remove("id-2"))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementRunning))
		expectUnchanged(state, register(store(2)), controlstate.StatusConflict)
		expectUnchanged(state, retire("node-2"), controlstate.StatusOK)
		expectAccepted(state, completed("node-2", "id-2"))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementCompleted))
	})

	It("cannot be completed before it was requested", func() {
		expectUnchanged(stateWithStores(3), completed("node-2", "id-2"), controlstate.StatusNotFound)
	})

	It("is kept up to a maximum number of retirements", func() {
		state := stateWithStores(3)
		for number := 4; number < 1100; number++ {
			expectAccepted(state, register(store(number)))
			expectAccepted(state, retire(store(number).Node))
			expectAccepted(state, completed(store(number).Node, store(number).ID))
		}
		Expect(state.Retirements()).To(HaveLen(1024))
		Expect(state.Retirement("node-4")).To(Equal(controlstate.RetirementUnknown))
		Expect(restoreCopy(state).Retirement("node-1099")).To(Equal(controlstate.RetirementCompleted))
	})
})

var _ = Describe("a store that is down", func() {
	It("is marked as failed, and then removed once", func() {
		state := stateWithStores(4)
		expectAccepted(state, fail("id-1"))
		Expect(state.Stores().Members[0].Retiring).To(BeTrue())
		Expect(state.FailedStores()).To(HaveLen(1))
		expectUnchanged(state, fail("id-1"), controlstate.StatusOK)
		expectAccepted(state, remove("id-1"))
		Expect(memberIDs(state)).To(Equal([]string{"id-2", "id-3", "id-4"}))
		expectUnchanged(state, remove("id-1"), controlstate.StatusOK)
		expectUnchanged(state, fail("id-1"), controlstate.StatusOK)
	})

	// Guards against a removal before the others hold what the store held: as many as may be lost could then hold the rest.
	It("is not removed while it is active", func() {
		expectUnchanged(stateWithStores(4), remove("id-1"), controlstate.StatusConflict)
	})

	// Guards against five stores that shrink to three because two are down at once, though one may be lost (review/5).
	It("is not marked while as many have failed as may be lost", func() {
		state := stateWithStores(6)
		expectAccepted(state, fail("id-1"))
		expectUnchanged(state, fail("id-2"), controlstate.StatusConflict)
		expectUnchanged(state, remove("id-2"), controlstate.StatusConflict)
		expectAccepted(state, remove("id-1"))
		expectAccepted(state, fail("id-2"))
	})

	It("is kept if too few stores would be left", func() {
		expectUnchanged(stateWithStores(2), fail("id-1"), controlstate.StatusConflict)
		state := stateWithStores(3)
		expectAccepted(state, retire("node-3"))
		expectUnchanged(state, fail("id-1"), controlstate.StatusConflict)
		expectUnchanged(state, remove("id-1"), controlstate.StatusConflict)
		expectAccepted(state, remove("id-3"))
	})

	It("is active again once it is back", func() {
		state := stateWithStores(4)
		expectUnchanged(state, restore("id-1"), controlstate.StatusOK)
		expectAccepted(state, fail("id-1"))
		Expect(restoreCopy(state).FailedStores()).To(Equal(state.FailedStores()))
		expectAccepted(state, restore("id-1"))
		Expect(state.Stores().Members[0].Retiring).To(BeFalse())
		Expect(state.FailedStores()).To(BeEmpty())
	})

	It("is active again if it lost its disk", func() {
		state := stateWithStores(4)
		expectAccepted(state, fail("id-1"))
		successor := store(1)
		successor.ID = "id-fresh"
		command := register(successor)
		command.Bootstrap = false
		expectAccepted(state, command)
		Expect(state.Stores().Members[0].Retiring).To(BeFalse())
		Expect(state.Stores().Members[0].Replaced).To(BeTrue())
	})

	It("stays retiring if an operator retires it as well", func() {
		state := stateWithStores(4)
		expectAccepted(state, fail("id-1"))
		expectAccepted(state, retire("node-1"))
		Expect(state.FailedStores()).To(BeEmpty())
		expectUnchanged(state, restore("id-1"), controlstate.StatusOK)
		expectAccepted(state, completed("node-1", "id-1"))
	})

	It("is neither marked nor removed on a view other than the one decided on", func() {
		state := stateWithStores(4)
		command := fail("id-1")
		command.Base, command.HasBase = state.Stores().Epoch-1, true
		expectUnchanged(state, command, controlstate.StatusUnknown)
		command.Base++
		expectAccepted(state, command)
		command.Kind = controlstate.RemoveStore
		expectUnchanged(state, command, controlstate.StatusUnknown)
		command.Base++
		expectAccepted(state, command)
	})
})
