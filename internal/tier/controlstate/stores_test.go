package controlstate_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
)

// store gives the store of that number; each is on a machine of its own.
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

// withStores gives a state with stores 1 to count, and a tolerance of one machine.
func withStores(count int) *controlstate.State {
	GinkgoHelper()
	state := controlstate.New()
	for number := 1; number <= count; number++ {
		taken(state, register(store(number)))
	}
	return state
}

// unchanged applies a command that must leave the state as it is.
func unchanged(state *controlstate.State, command controlstate.Command, status int) {
	GinkgoHelper()
	before := state.Snapshot()
	result, changed := apply(state, command)
	Expect(result.Status).To(Equal(status), result.Message)
	Expect(changed).To(BeFalse())
	Expect(state.Snapshot()).To(Equal(before))
	Expect(result.Version).To(Equal(state.Stores().Epoch))
}

func ids(state *controlstate.State) []string {
	var names []string
	for _, member := range state.Stores().Members {
		names = append(names, member.ID)
	}
	return names
}

var _ = Describe("the view of the stores", func() {
	It("is empty at first", func() {
		Expect(controlstate.New().Stores()).To(BeZero())
	})

	It("takes stores in, each in an epoch of its own", func() {
		state := withStores(2)
		one, two := store(1), store(2)
		one.Replaced, one.JoinEpoch = false, 1
		two.Replaced, two.JoinEpoch = false, 2
		Expect(state.Stores()).To(Equal(controlstate.StoreView{Epoch: 2, Tolerance: 1, Members: []controlstate.StoreMember{one, two}}))
		Expect(restored(state).Stores()).To(Equal(state.Stores()))
	})

	It("keeps the tolerance that it was told first", func() {
		state := withStores(1)
		command := register(store(2))
		command.Tolerance = 2
		taken(state, command)
		Expect(state.Stores().Tolerance).To(Equal(1))
	})

	It("stays what it is where a store registers again", func() {
		unchanged(withStores(2), register(store(1)), controlstate.StatusOK)
	})

	It("changes with the address or zone of a store, but not when it joined", func() {
		state := withStores(2)
		moved := store(1)
		moved.Address, moved.Zone = "10.0.0.9:7382", "b"
		command := register(moved)
		command.Bootstrap = false
		taken(state, command)
		moved.Replaced, moved.JoinEpoch = false, 1
		Expect(state.Stores().Members[0]).To(Equal(moved))
		Expect(state.Stores().Epoch).To(BeEquivalentTo(3))
	})

	It("replaces the store of a machine that lost its disk, in its place", func() {
		state := withStores(2)
		fresh := store(1)
		fresh.ID = "id-fresh"
		command := register(fresh)
		command.Bootstrap = false
		taken(state, command)
		Expect(ids(state)).To(Equal([]string{"id-fresh", "id-2"}))
		Expect(state.Stores().Members[0].Replaced).To(BeTrue())
		Expect(restored(state).Stores().Members[0].Replaced).To(BeTrue())
		Expect(state.Stores().Members[0].JoinEpoch).To(BeEquivalentTo(3))
	})

	It("is not touched by those who hold a copy", func() {
		state := withStores(2)
		state.Stores().Members[0].ID = "other"
		Expect(ids(state)).To(Equal([]string{"id-1", "id-2"}))
	})

	It("takes a removed store back, as one that joined anew", func() {
		state := withStores(3)
		taken(state, remove("id-3"))
		taken(state, register(store(3)))
		Expect(state.Stores().Members[2].JoinEpoch).To(BeEquivalentTo(5))
	})

	It("is bounded", func() {
		state := withStores(1024)
		unchanged(state, register(store(1025)), controlstate.StatusConflict)
		Expect(restored(state).Stores().Members).To(HaveLen(1024))
	})
})

var _ = DescribeTable("a store that makes no sense is refused",
	func(alter func(*controlstate.Command), status int) {
		command := register(store(3))
		alter(&command)
		unchanged(withStores(2), command, status)
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

var _ = Describe("a machine that is to be emptied", func() {
	It("stays in the view until it is empty", func() {
		state := withStores(3)
		taken(state, retire("node-2"))
		Expect(state.Stores().Members[1].Retiring).To(BeTrue())
		Expect(state.Stores().Epoch).To(BeEquivalentTo(4))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementRunning))
		state = restored(state)
		Expect(state.Retirements()).To(Equal([]controlstate.Retirement{{Node: "node-2", StoreID: "id-2", DeadlineSeconds: 10}}))
		taken(state, completed("node-2", "id-2"))
		Expect(ids(state)).To(Equal([]string{"id-1", "id-3"}))
		Expect(state.Stores().Epoch).To(BeEquivalentTo(5))
		Expect(restored(state).Retirement("node-2")).To(Equal(controlstate.RetirementCompleted))
	})

	It("is told its state in the operator's words", func() {
		state := withStores(3)
		Expect(state.Retirement("node-2").String()).To(Equal("unknown"))
		taken(state, retire("node-2"))
		Expect(state.Retirement("node-2").String()).To(Equal("running"))
		taken(state, completed("node-2", "id-2"))
		Expect(state.Retirement("node-2").String()).To(Equal("completed"))
	})

	It("may be asked for again, while it runs and after", func() {
		state := withStores(3)
		taken(state, retire("node-2"))
		unchanged(state, retire("node-2"), controlstate.StatusOK)
		taken(state, completed("node-2", "id-2"))
		unchanged(state, retire("node-2"), controlstate.StatusOK)
		unchanged(state, completed("node-2", "id-2"), controlstate.StatusOK)
	})

	It("has to be known", func() {
		unchanged(withStores(3), retire("node-9"), controlstate.StatusNotFound)
		unchanged(controlstate.New(), retire("node-9"), controlstate.StatusNotFound)
	})

	It("is kept where too few would be left", func() {
		unchanged(withStores(2), retire("node-1"), controlstate.StatusConflict)
		state := withStores(4)
		taken(state, retire("node-1"))
		taken(state, retire("node-2"))
		unchanged(state, retire("node-3"), controlstate.StatusConflict)
	})

	It("is neither begun nor refused by a copy that came in before the stores changed", func() {
		for name, c := range map[string]struct {
			state   *controlstate.State
			node    string
			refusal int
			change  func(*controlstate.State)
		}{
			"unknown, then there": {withStores(3), "node-4", controlstate.StatusNotFound, func(s *controlstate.State) { taken(s, register(store(4))) }},
			"too few, then more":  {withStores(2), "node-1", controlstate.StatusConflict, func(s *controlstate.State) { taken(s, register(store(3))) }},
		} {
			order := retire(c.node)
			order.Base, order.HasBase = c.state.Stores().Epoch, true
			unchanged(c.state, order, c.refusal)
			c.change(c.state)
			unchanged(c.state, order, controlstate.StatusUnknown) // the copy
			order.Base = c.state.Stores().Epoch
			taken(c.state, order)
			unchanged(c.state, order, controlstate.StatusOK) // it comes again
			Expect(c.state.Retirement(c.node)).To(Equal(controlstate.RetirementRunning), name)
		}
	})

	It("is completed whatever the view was when that was told", func() {
		state := withStores(3)
		taken(state, retire("node-2"))
		told := completed("node-2", "id-2")
		told.Base, told.HasBase = state.Stores().Epoch-1, true
		taken(state, told)
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementCompleted))
	})

	It("does not come back with the disk that was emptied", func() {
		state := withStores(3)
		taken(state, retire("node-2"))
		unchanged(state, register(store(2)), controlstate.StatusOK)
		taken(state, completed("node-2", "id-2"))
		unchanged(restored(state), register(store(2)), controlstate.StatusConflict)
	})

	It("may come back with another disk, and be emptied anew", func() {
		state := withStores(3)
		taken(state, retire("node-2"))
		taken(state, completed("node-2", "id-2"))
		fresh := store(2)
		fresh.ID = "id-fresh"
		taken(state, register(fresh))
		Expect(state.Stores().Members[2].Retiring).To(BeFalse())
		taken(state, retire("node-2"))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementRunning))
		taken(state, completed("node-2", "id-fresh"))
		Expect(ids(state)).To(Equal([]string{"id-1", "id-3"}))
	})

	It("goes on being emptied where it loses its disk meanwhile", func() {
		state := withStores(3)
		taken(state, retire("node-2"))
		fresh := store(2)
		fresh.ID = "id-fresh"
		taken(state, register(fresh))
		Expect(state.Stores().Members[1].Retiring).To(BeTrue())
		unchanged(state, completed("node-2", "id-2"), controlstate.StatusConflict)
		taken(state, completed("node-2", "id-fresh"))
	})

	It("goes on being emptied where it is removed as dead meanwhile", func() {
		state := withStores(3)
		taken(state, retire("node-2"))
		taken(state, remove("id-2"))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementRunning))
		unchanged(state, register(store(2)), controlstate.StatusConflict)
		unchanged(state, retire("node-2"), controlstate.StatusOK)
		taken(state, completed("node-2", "id-2"))
		Expect(state.Retirement("node-2")).To(Equal(controlstate.RetirementCompleted))
	})

	It("is not done before it was asked for", func() {
		unchanged(withStores(3), completed("node-2", "id-2"), controlstate.StatusNotFound)
	})

	It("is known for long, but not for ever", func() {
		state := withStores(3)
		for number := 4; number < 1100; number++ {
			taken(state, register(store(number)))
			taken(state, retire(store(number).Node))
			taken(state, completed(store(number).Node, store(number).ID))
		}
		Expect(state.Retirements()).To(HaveLen(1024))
		Expect(state.Retirement("node-4")).To(Equal(controlstate.RetirementUnknown))
		Expect(restored(state).Retirement("node-1099")).To(Equal(controlstate.RetirementCompleted))
	})
})

var _ = Describe("a store that is lost for good", func() {
	It("is taken out, once", func() {
		state := withStores(3)
		taken(state, remove("id-1"))
		Expect(ids(state)).To(Equal([]string{"id-2", "id-3"}))
		unchanged(state, remove("id-1"), controlstate.StatusOK)
	})

	It("stays where too few would be left", func() {
		unchanged(withStores(2), remove("id-1"), controlstate.StatusConflict)
		state := withStores(3)
		taken(state, retire("node-3"))
		unchanged(state, remove("id-1"), controlstate.StatusConflict)
		taken(state, remove("id-3"))
	})
})
