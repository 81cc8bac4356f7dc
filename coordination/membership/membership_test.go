package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coordination/membership")
}

var begin = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return begin.Add(after) }

func nodeOf(i int) Node {
	return Node{Name: fmt.Sprintf("n%d", i), Role: Proxy, Address: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: 10}
}

var _ = Describe("the ring", func() {
	It("has each node watched by three other machines, and both sides agree on who", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for _, size := range []int{1, 2, 3, 4, 5, 20, 200} {
			var nodes []Node
			for i := range size {
				n := nodeOf(i)
				nodes = append(nodes, n)
				if random.IntN(2) == 0 {
					n.Role = Control // a second process of the machine
					nodes = append(nodes, n)
				}
			}
			var r ring
			for _, n := range nodes {
				r.add(n)
				r.add(n)
			}
			Expect(r).To(HaveLen(len(nodes)))
			for _, watched := range nodes {
				monitors := r.monitors(watched)
				Expect(monitors).To(HaveLen(min(MonitorCount, size-1)))
				for _, n := range nodes {
					isMonitor := slices.Contains(monitors, n.ID())
					if isMonitor {
						Expect(n.Name).NotTo(Equal(watched.Name))
						Expect(r.predecessors(n)).To(ContainElement(watched.ID()))
					}
				}
			}
			for _, n := range nodes {
				r.remove(n)
			}
			Expect(r).To(BeEmpty())
		}
	})
})

// view is a Membership of n0 that knows some others and has just heard from them.
func viewOf(others int) *Membership {
	m := New(begin, nodeOf(0), 1)
	for i := 1; i <= others; i++ {
		m.ApplyRecord(begin, nodeOf(i))
	}
	m.Tick(begin)
	m.Take()
	return m
}

// play ticks up to a time, with heartbeats of the nodes that are heard at each tick.
func play(m *Membership, from, to time.Duration, heard ...int) Effects {
	var all Effects
	for t := from; t <= to; t += HeartbeatInterval / 2 {
		for _, i := range heard {
			m.RecordContact(at(t), nodeOf(i).ID(), 10)
		}
		m.Tick(at(t))
		e := m.Take()
		all.Heartbeats = append(all.Heartbeats, e.Heartbeats...)
		all.Messages = append(all.Messages, e.Messages...)
		all.Declared = append(all.Declared, e.Declared...)
		all.Changed = append(all.Changed, e.Changed...)
	}
	return all
}

func stateOf(m *Membership, i int) State {
	n, known := m.Node(nodeOf(i).ID())
	Expect(known).To(BeTrue())
	return n.State
}

var _ = Describe("learning of a node", func() {
	type record struct {
		incarnation uint64
		state       State
	}
	DescribeTable("takes what is newer",
		func(known, learnt record, want record) {
			m := New(begin, nodeOf(0), 1)
			n := nodeOf(1)
			n.Incarnation, n.State = known.incarnation, known.state
			m.ApplyRecord(begin, n)
			n.Incarnation, n.State = learnt.incarnation, learnt.state
			m.ApplyRecord(begin, n)
			got, _ := m.Node(n.ID())
			Expect(record{got.Incarnation, got.State}).To(Equal(want))
		},
		Entry("down after alive", record{5, Alive}, record{5, Down}, record{5, Down}),
		Entry("alive does not undo down", record{5, Down}, record{5, Alive}, record{5, Down}),
		Entry("a higher incarnation does", record{5, Down}, record{6, Alive}, record{6, Alive}),
		Entry("down of an older incarnation says nothing", record{6, Alive}, record{5, Down}, record{6, Alive}),
		Entry("left after down", record{5, Down}, record{5, Left}, record{5, Left}),
		Entry("down does not undo left", record{5, Left}, record{5, Down}, record{5, Left}),
	)

	DescribeTable("of itself refutes",
		func(incarnation uint64, state State, want uint64) {
			m := New(begin, nodeOf(0), 1)
			n := nodeOf(0)
			n.Incarnation, n.State = incarnation, state
			m.ApplyRecord(begin, n)
			Expect(m.Self().Incarnation).To(Equal(want))
			Expect(m.Self().State).To(Equal(Alive))
			Expect(len(m.Take().Declared) > 0).To(Equal(want != 10))
		},
		Entry("its own record", uint64(10), Alive, uint64(10)),
		Entry("an older one", uint64(9), Down, uint64(10)),
		Entry("that it is down", uint64(10), Down, uint64(11)),
		Entry("that it has left", uint64(10), Left, uint64(11)),
		Entry("a start that seems later", uint64(20), Alive, uint64(21)),
		Entry("the end of a start that seems later", uint64(20), Left, uint64(21)),
	)

	It("of itself says nothing once it leaves", func() {
		m := viewOf(3)
		m.Leave()
		Expect(m.Take().Declared).To(HaveLen(1))
		down := nodeOf(0)
		down.State = Down
		m.ApplyRecord(begin, down)
		left := nodeOf(0)
		left.State = Left
		m.ApplyRecord(begin, left)
		Expect(m.Take().Declared).To(BeEmpty())
		Expect(play(m, 0, 2*time.Second).Heartbeats).To(BeEmpty())
	})

	It("gives the nodes in order, this one among them", func() {
		m := viewOf(12)
		nodes := m.Nodes()
		Expect(nodes).To(HaveLen(13))
		Expect(slices.IsSortedFunc(nodes, func(a, b Node) int {
			if a.ID() < b.ID() {
				return -1
			}
			return 1
		})).To(BeTrue())
		Expect(nodes).To(ContainElement(m.Self()))
	})
})

var _ = Describe("a monitor", func() {
	It("sends a heartbeat to its three monitors at each interval", func() {
		m := viewOf(12)
		e := play(m, HeartbeatInterval, 2*HeartbeatInterval)
		Expect(e.Heartbeats).To(HaveLen(2 * MonitorCount))
	})

	It("suspects a silent node, asks it and others, and then declares it down", func() {
		m := viewOf(3)
		e := play(m, 0, SuspectTimeout, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Alive))
		e = play(m, SuspectTimeout+HeartbeatInterval/2, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
		Expect(e.Messages).To(ConsistOf(
			Outgoing{To: nodeOf(1).ID(), Message: Message{Ping: &Ping{}}},
			Outgoing{To: nodeOf(2).ID(), Message: Message{Probe: &Probe{Target: nodeOf(1).ID()}}},
			Outgoing{To: nodeOf(3).ID(), Message: Message{Probe: &Probe{Target: nodeOf(1).ID()}}},
		))
		Expect(e.Declared).To(BeEmpty())
		e = play(m, SuspectTimeout+HeartbeatInterval, SuspectTimeout+ProbeTimeout+HeartbeatInterval, 2, 3)
		Expect(e.Declared).To(HaveLen(1))
		Expect(e.Declared[0].State).To(Equal(Down))
		Expect(e.Declared[0].Incarnation).To(BeEquivalentTo(10))
		Expect(stateOf(m, 1)).To(Equal(Down))
	})

	DescribeTable("takes back a suspicion",
		func(sign func(m *Membership, now time.Time)) {
			m := viewOf(3)
			play(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
			Expect(stateOf(m, 1)).To(Equal(Suspect))
			sign(m, at(SuspectTimeout+HeartbeatInterval))
			Expect(stateOf(m, 1)).To(Equal(Alive))
		},
		Entry("at any message", func(m *Membership, now time.Time) { m.RecordContact(now, nodeOf(1).ID(), 10) }),
		Entry("at an answer", func(m *Membership, now time.Time) {
			m.Receive(now, nodeOf(1).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 10}})
		}),
		Entry("at an answer through another", func(m *Membership, now time.Time) {
			m.Receive(now, nodeOf(2).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 10, Requester: nodeOf(0).ID()}})
		}),
	)

	It("does not take it back at a sign of an earlier start", func() {
		m := viewOf(3)
		play(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		m.RecordContact(at(SuspectTimeout+HeartbeatInterval), nodeOf(1).ID(), 9)
		m.Receive(at(SuspectTimeout+HeartbeatInterval), nodeOf(2).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 9}})
		Expect(stateOf(m, 1)).To(Equal(Suspect))
	})

	It("is more patient with a node that only others hear", func() {
		m := viewOf(3)
		play(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		m.Receive(at(SuspectTimeout+HeartbeatInterval), nodeOf(2).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 10, Requester: nodeOf(0).ID()}})
		heard := SuspectTimeout + HeartbeatInterval
		play(m, heard, heard+2*SuspectTimeout-HeartbeatInterval, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Alive))
		play(m, heard+2*SuspectTimeout-HeartbeatInterval, heard+2*SuspectTimeout+HeartbeatInterval, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
	})

	It("that hears from no other machine declares nobody down, however long", func() {
		m := viewOf(3)
		e := play(m, 0, time.Minute)
		Expect(e.Declared).To(BeEmpty())
		Expect(m.HasRecentContact(at(time.Minute))).To(BeFalse())
	})

	It("that knows one other machine only declares that one down", func() {
		m := viewOf(1)
		Expect(play(m, 0, 10*time.Second).Declared).To(HaveLen(1))
	})

	It("hears its own machine's other process without being in touch", func() {
		m := viewOf(3)
		mate := nodeOf(0)
		mate.Role = Control
		m.ApplyRecord(begin, mate)
		for t := time.Duration(0); t < 10*time.Second; t += HeartbeatInterval {
			m.RecordContact(at(t), mate.ID(), 10)
			m.Tick(at(t))
		}
		Expect(m.Take().Declared).To(BeEmpty())
	})

	It("that was stopped begins its patience anew", func() {
		m := viewOf(3)
		play(m, 0, time.Second, 1, 2, 3)
		woken := time.Minute
		m.RecordContact(at(woken), nodeOf(2).ID(), 10)
		e := play(m, woken, woken+SuspectTimeout, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Alive))
		Expect(e.Declared).To(BeEmpty())
		play(m, woken+SuspectTimeout, woken+SuspectTimeout+HeartbeatInterval, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
	})

	It("that was stopped amid a suspicion drops it", func() {
		m := viewOf(3)
		play(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
		m.RecordContact(at(time.Minute), nodeOf(2).ID(), 10)
		m.Tick(at(time.Minute))
		Expect(stateOf(m, 1)).To(Equal(Alive))
		Expect(m.Take().Declared).To(BeEmpty())
	})

	It("forgets those that are down, and no others", func() {
		m := viewOf(3)
		m.Remove(nodeOf(1).ID())
		Expect(m.Nodes()).To(HaveLen(4))
		m.MarkReplaced(nodeOf(1).ID())
		Expect(m.Take().Declared).To(HaveLen(1))
		m.Remove(nodeOf(1).ID())
		Expect(m.Nodes()).To(HaveLen(3))
	})
})

var _ = Describe("a node that is asked", func() {
	It("answers a ping, passes a probe on, and passes its answer back", func() {
		m := viewOf(3)
		m.Receive(begin, nodeOf(1).ID(), Message{Ping: &Ping{Requester: nodeOf(2).ID()}})
		Expect(m.Take().Messages).To(Equal([]Outgoing{{
			To: nodeOf(1).ID(), Message: Message{Ack: &Ack{Subject: nodeOf(0).ID(), Incarnation: 10, Requester: nodeOf(2).ID()}},
		}}))
		m.Receive(begin, nodeOf(1).ID(), Message{Probe: &Probe{Target: nodeOf(3).ID()}})
		Expect(m.Take().Messages).To(Equal([]Outgoing{{
			To: nodeOf(3).ID(), Message: Message{Ping: &Ping{Requester: nodeOf(1).ID()}},
		}}))
		ack := Ack{Subject: nodeOf(3).ID(), Incarnation: 10, Requester: nodeOf(1).ID()}
		m.Receive(begin, nodeOf(3).ID(), Message{Ack: &ack})
		Expect(m.Take().Messages).To(Equal([]Outgoing{{To: nodeOf(1).ID(), Message: Message{Ack: &ack}}}))
	})
})
