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

var testStart = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return testStart.Add(after) }

func nodeOf(i int) Node {
	return Node{Name: fmt.Sprintf("n%d", i), Role: Proxy, Address: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: 10}
}

var _ = Describe("the ring", func() {
	It("assigns each node three monitors on other machines that find it among their predecessors", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for _, size := range []int{1, 2, 3, 4, 5, 20, 200} {
			var nodes []Node
			for i := range size {
				n := nodeOf(i)
				nodes = append(nodes, n)
				if random.IntN(2) == 0 {
					n.Role = Control // a second process on the machine
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

// newMembership returns a Membership of n0 that knows some other nodes and has just heard from them.
func newMembership(others int) *Membership {
	m := New(testStart, nodeOf(0), 1)
	for i := 1; i <= others; i++ {
		m.ApplyRecord(testStart, nodeOf(i))
	}
	m.Tick(testStart)
	m.Take()
	return m
}

// runTicks calls Tick at intervals up to a time, with a message from each of the heard nodes before each call.
func runTicks(m *Membership, from, to time.Duration, heard ...int) Effects {
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

var _ = Describe("applying a record", func() {
	type record struct {
		incarnation uint64
		state       State
	}
	DescribeTable("accepts only newer records",
		func(known, applied record, want record) {
			m := New(testStart, nodeOf(0), 1)
			n := nodeOf(1)
			n.Incarnation, n.State = known.incarnation, known.state
			m.ApplyRecord(testStart, n)
			n.Incarnation, n.State = applied.incarnation, applied.state
			m.ApplyRecord(testStart, n)
			got, _ := m.Node(n.ID())
			Expect(record{got.Incarnation, got.State}).To(Equal(want))
		},
		Entry("down after alive", record{5, Alive}, record{5, Down}, record{5, Down}),
		Entry("alive does not supersede down", record{5, Down}, record{5, Alive}, record{5, Down}),
		Entry("a higher incarnation does supersede down", record{5, Down}, record{6, Alive}, record{6, Alive}),
		Entry("down of an older incarnation is ignored", record{6, Alive}, record{5, Down}, record{6, Alive}),
		Entry("left after down", record{5, Down}, record{5, Left}, record{5, Left}),
		Entry("down does not supersede left", record{5, Left}, record{5, Down}, record{5, Left}),
	)

	DescribeTable("of the node itself refutes it if it is wrong",
		func(incarnation uint64, state State, want uint64) {
			m := New(testStart, nodeOf(0), 1)
			n := nodeOf(0)
			n.Incarnation, n.State = incarnation, state
			m.ApplyRecord(testStart, n)
			Expect(m.Self().Incarnation).To(Equal(want))
			Expect(m.Self().State).To(Equal(Alive))
			Expect(len(m.Take().Declared) > 0).To(Equal(want != 10))
		},
		Entry("its own record", uint64(10), Alive, uint64(10)),
		Entry("an older incarnation", uint64(9), Down, uint64(10)),
		Entry("a declaration that it is down", uint64(10), Down, uint64(11)),
		Entry("a declaration that it has left", uint64(10), Left, uint64(11)),
		Entry("an earlier start with a higher incarnation", uint64(20), Alive, uint64(21)),
		Entry("the shutdown of an earlier start with a higher incarnation", uint64(20), Left, uint64(21)),
	)

	It("of the node itself refutes nothing once it leaves", func() {
		m := newMembership(3)
		m.Leave()
		Expect(m.Take().Declared).To(HaveLen(1))
		down := nodeOf(0)
		down.State = Down
		m.ApplyRecord(testStart, down)
		left := nodeOf(0)
		left.State = Left
		m.ApplyRecord(testStart, left)
		Expect(m.Take().Declared).To(BeEmpty())
		Expect(runTicks(m, 0, 2*time.Second).Heartbeats).To(BeEmpty())
	})

	It("lists all nodes including this one in order", func() {
		m := newMembership(12)
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
		m := newMembership(12)
		e := runTicks(m, HeartbeatInterval, 2*HeartbeatInterval)
		Expect(e.Heartbeats).To(HaveLen(2 * MonitorCount))
	})

	It("suspects a silent node, probes it directly and through others, and then declares it down", func() {
		m := newMembership(3)
		e := runTicks(m, 0, SuspectTimeout, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Alive))
		e = runTicks(m, SuspectTimeout+HeartbeatInterval/2, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
		Expect(e.Messages).To(ConsistOf(
			Outgoing{To: nodeOf(1).ID(), Message: Message{Ping: &Ping{}}},
			Outgoing{To: nodeOf(2).ID(), Message: Message{Probe: &Probe{Target: nodeOf(1).ID()}}},
			Outgoing{To: nodeOf(3).ID(), Message: Message{Probe: &Probe{Target: nodeOf(1).ID()}}},
		))
		Expect(e.Declared).To(BeEmpty())
		e = runTicks(m, SuspectTimeout+HeartbeatInterval, SuspectTimeout+ProbeTimeout+HeartbeatInterval, 2, 3)
		Expect(e.Declared).To(HaveLen(1))
		Expect(e.Declared[0].State).To(Equal(Down))
		Expect(e.Declared[0].Incarnation).To(BeEquivalentTo(10))
		Expect(stateOf(m, 1)).To(Equal(Down))
	})

	DescribeTable("withdraws a suspicion",
		func(contact func(m *Membership, now time.Time)) {
			m := newMembership(3)
			runTicks(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
			Expect(stateOf(m, 1)).To(Equal(Suspect))
			contact(m, at(SuspectTimeout+HeartbeatInterval))
			Expect(stateOf(m, 1)).To(Equal(Alive))
		},
		Entry("on any message", func(m *Membership, now time.Time) { m.RecordContact(now, nodeOf(1).ID(), 10) }),
		Entry("on an answer", func(m *Membership, now time.Time) {
			m.Receive(now, nodeOf(1).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 10}})
		}),
		Entry("on an answer through another node", func(m *Membership, now time.Time) {
			m.Receive(now, nodeOf(2).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 10, Requester: nodeOf(0).ID()}})
		}),
	)

	It("does not withdraw a suspicion on a message of an earlier incarnation", func() {
		m := newMembership(3)
		runTicks(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		m.RecordContact(at(SuspectTimeout+HeartbeatInterval), nodeOf(1).ID(), 9)
		m.Receive(at(SuspectTimeout+HeartbeatInterval), nodeOf(2).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 9}})
		Expect(stateOf(m, 1)).To(Equal(Suspect))
	})

	It("doubles the timeout of a node that only others hear", func() {
		m := newMembership(3)
		runTicks(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		m.Receive(at(SuspectTimeout+HeartbeatInterval), nodeOf(2).ID(), Message{Ack: &Ack{Subject: nodeOf(1).ID(), Incarnation: 10, Requester: nodeOf(0).ID()}})
		heard := SuspectTimeout + HeartbeatInterval
		runTicks(m, heard, heard+2*SuspectTimeout-HeartbeatInterval, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Alive))
		runTicks(m, heard+2*SuspectTimeout-HeartbeatInterval, heard+2*SuspectTimeout+HeartbeatInterval, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
	})

	It("that hears from no other machine never declares a node down", func() {
		m := newMembership(3)
		e := runTicks(m, 0, time.Minute)
		Expect(e.Declared).To(BeEmpty())
		Expect(m.HasRecentContact(at(time.Minute))).To(BeFalse())
	})

	It("that knows only one other machine declares it down", func() {
		m := newMembership(1)
		Expect(runTicks(m, 0, 10*time.Second).Declared).To(HaveLen(1))
	})

	It("does not count contact with another process on its own machine", func() {
		m := newMembership(3)
		otherProcess := nodeOf(0)
		otherProcess.Role = Control
		m.ApplyRecord(testStart, otherProcess)
		for t := time.Duration(0); t < 10*time.Second; t += HeartbeatInterval {
			m.RecordContact(at(t), otherProcess.ID(), 10)
			m.Tick(at(t))
		}
		Expect(m.Take().Declared).To(BeEmpty())
	})

	It("whose process was paused restarts its timeouts", func() {
		m := newMembership(3)
		runTicks(m, 0, time.Second, 1, 2, 3)
		resumed := time.Minute
		m.RecordContact(at(resumed), nodeOf(2).ID(), 10)
		e := runTicks(m, resumed, resumed+SuspectTimeout, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Alive))
		Expect(e.Declared).To(BeEmpty())
		runTicks(m, resumed+SuspectTimeout, resumed+SuspectTimeout+HeartbeatInterval, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
	})

	It("whose process was paused during a suspicion withdraws it", func() {
		m := newMembership(3)
		runTicks(m, 0, SuspectTimeout+HeartbeatInterval/2, 2, 3)
		Expect(stateOf(m, 1)).To(Equal(Suspect))
		m.RecordContact(at(time.Minute), nodeOf(2).ID(), 10)
		m.Tick(at(time.Minute))
		Expect(stateOf(m, 1)).To(Equal(Alive))
		Expect(m.Take().Declared).To(BeEmpty())
	})

	It("removes nodes that are down, and no others", func() {
		m := newMembership(3)
		m.Remove(nodeOf(1).ID())
		Expect(m.Nodes()).To(HaveLen(4))
		m.MarkReplaced(nodeOf(1).ID())
		Expect(m.Take().Declared).To(HaveLen(1))
		m.Remove(nodeOf(1).ID())
		Expect(m.Nodes()).To(HaveLen(3))
	})
})

var _ = Describe("a node that receives requests", func() {
	It("answers a ping, pings the target of a probe, and forwards the answer", func() {
		m := newMembership(3)
		m.Receive(testStart, nodeOf(1).ID(), Message{Ping: &Ping{Requester: nodeOf(2).ID()}})
		Expect(m.Take().Messages).To(Equal([]Outgoing{{
			To: nodeOf(1).ID(), Message: Message{Ack: &Ack{Subject: nodeOf(0).ID(), Incarnation: 10, Requester: nodeOf(2).ID()}},
		}}))
		m.Receive(testStart, nodeOf(1).ID(), Message{Probe: &Probe{Target: nodeOf(3).ID()}})
		Expect(m.Take().Messages).To(Equal([]Outgoing{{
			To: nodeOf(3).ID(), Message: Message{Ping: &Ping{Requester: nodeOf(1).ID()}},
		}}))
		ack := Ack{Subject: nodeOf(3).ID(), Incarnation: 10, Requester: nodeOf(1).ID()}
		m.Receive(testStart, nodeOf(3).ID(), Message{Ack: &ack})
		Expect(m.Take().Messages).To(Equal([]Outgoing{{To: nodeOf(1).ID(), Message: Message{Ack: &ack}}}))
	})
})
