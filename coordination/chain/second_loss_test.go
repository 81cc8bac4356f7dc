package chain_test

import (
	"fmt"
	"slices"
	"time"

	"emberquay/coordination/chain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashPoint is where in the handling of a message a node is lost.
type crashPoint int

const (
	beforeMessage crashPoint = iota // it never hears the message
	beforeSync                      // it has handled it, and nothing of that is on its disk or has left
	afterSync                       // what it persisted is on its disk, and nothing has left
	afterSend                       // the answers are on their way
	crashPoints
)

func (m crashPoint) String() string {
	return []string{"before the message", "before the sync", "after the sync", "after the sending"}[m]
}

// asked is a call of a node, by its number there; proposal is the change that it asks for.
type (
	callKey struct {
		node   string
		number int64
	}
	proposedValue struct{ base, value uint64 }
)

// doubleLossRun is a few nodes that lose one, and another one in the middle of the repair.
type doubleLossRun struct {
	*testCluster
	lastValue uint64 // of the changes that were sent, from 1 on
	sent      map[callKey]proposedValue
	acked     map[uint64]uint64 // values by their bases

	victim            string
	messagesUntilLoss int // messages that the victim hears until it is lost
	lossPoint         crashPoint
	victimLost        bool
}

func newDoubleLossRun(names ...string) *doubleLossRun {
	r := &doubleLossRun{testCluster: newTestCluster(names...), sent: map[callKey]proposedValue{}, acked: map[uint64]uint64{}}
	for range 3 {
		r.proposeNext(names[0])
		r.advance(100 * time.Millisecond)
	}
	Expect(r.acked).To(HaveLen(3))
	return r
}

// proposeNext has a node propose the next value on top of all that it knows as acknowledged.
func (r *doubleLossRun) proposeNext(name string) {
	if r.nodes[name] == nil {
		return
	}
	r.lastValue++
	base := uint64(len(r.acked))
	number, out, ok := r.nodes[name].Propose(r.now, encodeCommand(base, r.lastValue))
	Expect(ok).To(BeTrue())
	r.sent[callKey{name, number}] = proposedValue{base: base, value: r.lastValue}
	r.handleOutput(name, out)
}

// advance lets time pass; messages are delivered one at a time, and the victim is lost at its moment.
func (r *doubleLossRun) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += 25 * time.Millisecond {
		for _, name := range sortedNames(r.nodes) {
			if node := r.nodes[name]; node.Deadline() <= r.now {
				r.handleOutput(name, node.Tick(r.now))
			}
		}
		for len(r.undelivered) > 0 {
			e := r.undelivered[0]
			r.undelivered = r.undelivered[1:]
			r.deliverOne(e)
		}
		r.collectReplies()
	}
}

func (r *doubleLossRun) deliverOne(e chain.Envelope) {
	node := r.nodes[e.To.Address]
	if node == nil || r.testCluster.dropMessage(e) {
		return
	}
	loseNow := false
	if e.To.Address == r.victim && !r.victimLost {
		r.messagesUntilLoss--
		loseNow = r.messagesUntilLoss < 0
	}
	if !loseNow {
		r.handleOutput(e.To.Address, node.Step(r.now, e))
		return
	}
	r.victimLost = true
	r.stop(r.victim)
	if r.lossPoint == beforeMessage {
		return
	}
	out := node.Step(r.now, e)
	if r.lossPoint >= afterSync {
		r.disks[r.victim] = append(r.disks[r.victim], out.Persist...)
	}
	if r.lossPoint == afterSend {
		r.undelivered = append(r.undelivered, out.Send...)
	}
}

// collectReplies takes the answers to changes; those to reads stay. At most one change is acknowledged on a base.
func (r *doubleLossRun) collectReplies() {
	for _, name := range sortedNames(r.nodes) {
		r.replies[name] = slices.DeleteFunc(r.replies[name], func(reply chain.Reply) bool {
			if reply.Result != nil && reply.Result[8] == 1 {
				c := r.sent[callKey{name, reply.Number}]
				Expect(c.value).NotTo(BeZero(), "an answer to a call that %s did not make", name)
				Expect(r.acked).NotTo(HaveKey(c.base))
				Expect(r.isCommitted(c)).To(BeTrue(), "value %d was acknowledged and nobody has committed it", c.value)
				r.acked[c.base] = c.value
			}
			return reply.Unknown || reply.Result != nil
		})
	}
}

// isCommitted says whether a running node has told a committed state with a change at its place.
func (r *doubleLossRun) isCommitted(p proposedValue) bool {
	for _, name := range sortedNames(r.nodes) {
		for _, c := range slices.Backward(r.commits[name]) {
			values, err := parseSnapshot(c.Snapshot)
			Expect(err).NotTo(HaveOccurred())
			if uint64(len(values)) > p.base {
				return values[p.base] == p.value
			}
		}
	}
	return false
}

// isFullChain says whether all nodes that run are in the chain of one view, caught up.
func (r *doubleLossRun) isFullChain() bool {
	v := r.newestView()
	if len(v.Chain) != len(r.nodes) || len(v.Members) != len(r.nodes) {
		return false
	}
	for _, node := range r.nodes {
		sequence, committed := node.Progress()
		if node.View().Epoch != v.Epoch || !node.IsMember() || sequence != committed {
			return false
		}
	}
	return true
}

// expectConsistent checks that all that was acknowledged is there, in one order, and that the nodes go on.
func (r *doubleLossRun) expectConsistent(why string) {
	GinkgoHelper()
	r.advance(4 * time.Second)
	Expect(r.isFullChain()).To(BeTrue(), "%s: %v of %v", why, chainAddresses(r.newestView()), sortedNames(r.nodes))
	before := len(r.acked)
	for _, name := range sortedNames(r.nodes) {
		r.replies[name] = nil
		r.read(name)
		r.advance(500 * time.Millisecond)
		Expect(r.replies[name]).NotTo(BeEmpty(), "%s: no read at %s", why, name)
		values, err := parseSnapshot(r.replies[name][len(r.replies[name])-1].Snapshot)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(values)).To(BeNumerically(">=", before), why)
		for base, value := range r.acked {
			Expect(values[base]).To(Equal(value), "%s: at %s, on %d", why, name, base)
		}
	}
}

// firstLosses are how the first node goes, and what takes its place.
var firstLosses = []struct {
	name string
	lose func(r *doubleLossRun, name string)
}{
	{"killed, back from its disk", func(r *doubleLossRun, name string) {
		r.stop(name)
		r.advance(900 * time.Millisecond)
		r.start(name, false)
	}},
	{"its disk lost", func(r *doubleLossRun, name string) {
		r.stop(name)
		r.disks[name] = nil
		r.start(name, false)
	}},
	{"gone for good, another in its place", func(r *doubleLossRun, name string) {
		r.stop(name)
		r.disks[name] = nil
		r.start("e", false)
	}},
	{"cut off for long and joined again", func(r *doubleLossRun, name string) {
		r.isolate(name)
		r.advance(2 * time.Second)
		r.heal()
	}},
	{"replaced as planned, the new one first", func(r *doubleLossRun, name string) {
		r.start("e", false)
		r.advance(time.Second)
		r.stop(name)
		r.disks[name] = nil
	}},
}

// stepIncrement leaves out most of the later messages: the repair is over after some twenty.
func stepIncrement(step int) int {
	if step < 24 {
		return 1
	}
	return 6
}

// A second node is lost, by a loss of power, at each message that it hears while the first loss is repaired, before and after
// each sync. Nothing acknowledged is lost, nothing is acknowledged twice on one base, and all goes on once it is back.
var _ = Describe("a second loss in the middle of a repair", func() {
	const most = 60 // messages of a repair; those that follow are heartbeats
	DescribeTable("loses nothing, and goes on once one is back", func(names []string, wiped string) {
		runs := 0
		for _, first := range firstLosses {
			for _, gone := range []string{names[0], names[len(names)-1]} {
				for _, victim := range names {
					if victim == gone || victim == wiped || gone == wiped {
						continue
					}
					for step := 0; step < most; step += stepIncrement(step) {
						for at := range crashPoints {
							r := newDoubleLossRun(names...)
							why := fmt.Sprintf("%s %s, %s lost at its message %d, %s", gone, first.name, victim, step, at)
							r.victim, r.messagesUntilLoss, r.lossPoint = victim, step, at
							if wiped != "" {
								r.stop(wiped)
								r.disks[wiped] = nil
								r.start(wiped, false)
							}
							first.lose(r, gone)
							for range 6 {
								r.proposeNext(names[1])
								r.proposeNext(names[2])
								r.advance(300 * time.Millisecond)
							}
							if !r.victimLost {
								continue
							}
							runs++
							r.start(victim, false)
							r.expectConsistent(why)
						}
					}
				}
			}
		}
		AddReportEntry("runs", runs)
		Expect(runs).To(BeNumerically(">", 1000))
	},
		Entry("of three", []string{"a", "b", "c"}, ""),
		Entry("of four", []string{"a", "b", "c", "d"}, ""),
		Entry("of five, where another has lost its disk with the first", []string{"a", "b", "c", "d", "f"}, "c"),
	)
})
