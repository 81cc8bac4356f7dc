package chain_test

import (
	"fmt"
	"slices"
	"time"

	"emberquay/coordination/chain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashPoint is the point in the handling of a message at which a node fails.
type crashPoint int

const (
	beforeMessage crashPoint = iota // the message is not handled
	beforeSync                      // handled, but nothing is persisted or sent
	afterSync                       // persisted, but nothing is sent
	afterSend                       // the responses are sent
	crashPoints
)

func (p crashPoint) String() string {
	return []string{"before the message", "before the sync", "after the sync", "after sending"}[p]
}

// callKey identifies a call by its node and its number there; proposedValue is the change that the call proposes.
type (
	callKey struct {
		node   string
		number int64
	}
	proposedValue struct{ base, value uint64 }
)

// doubleLossRun is a cluster that loses one node, and a second one, the victim, during the repair.
type doubleLossRun struct {
	*testCluster
	lastValue uint64 // of the changes proposed, counted from 1
	sent      map[callKey]proposedValue
	acked     map[uint64]uint64 // acknowledged values by their bases

	victim            string
	messagesUntilLoss int // messages that the victim receives before it fails
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

// proposeNext has a node propose the next value on top of all acknowledged ones.
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

// advance runs the cluster for a duration, delivering one message at a time; the victim fails at its crash point.
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

// collectReplies consumes the replies to changes and keeps those to reads. At most one change is acknowledged per base.
func (r *doubleLossRun) collectReplies() {
	for _, name := range sortedNames(r.nodes) {
		r.replies[name] = slices.DeleteFunc(r.replies[name], func(reply chain.Reply) bool {
			if reply.Result != nil && reply.Result[8] == 1 {
				c := r.sent[callKey{name, reply.Number}]
				Expect(c.value).NotTo(BeZero(), "a reply to a call that %s did not make", name)
				Expect(r.acked).NotTo(HaveKey(c.base))
				Expect(r.isCommitted(c)).To(BeTrue(), "value %d was acknowledged, but no node has committed it", c.value)
				r.acked[c.base] = c.value
			}
			return reply.Unknown || reply.Result != nil
		})
	}
}

// isCommitted reports whether a running node has emitted a committed state that contains a change.
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

// isFullChain reports whether all running nodes are in the chain of one view and up to date.
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

// expectConsistent checks that every node returns all acknowledged values in the same order, and that all nodes serve calls.
func (r *doubleLossRun) expectConsistent(why string) {
	GinkgoHelper()
	r.advance(4 * time.Second)
	Expect(r.isFullChain()).To(BeTrue(), "%s: %v of %v", why, chainAddresses(r.newestView()), sortedNames(r.nodes))
	before := len(r.acked)
	for _, name := range sortedNames(r.nodes) {
		r.replies[name] = nil
		r.read(name)
		r.advance(500 * time.Millisecond)
		Expect(r.replies[name]).NotTo(BeEmpty(), "%s: no reply to a read at %s", why, name)
		values, err := parseSnapshot(r.replies[name][len(r.replies[name])-1].Snapshot)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(values)).To(BeNumerically(">=", before), why)
		for base, value := range r.acked {
			Expect(values[base]).To(Equal(value), "%s: at %s, base %d", why, name, base)
		}
	}
}

// firstLosses are the ways in which the first node is lost and replaced.
var firstLosses = []struct {
	name string
	lose func(r *doubleLossRun, name string)
}{
	{"killed, restarted from its disk", func(r *doubleLossRun, name string) {
		r.stop(name)
		r.advance(900 * time.Millisecond)
		r.start(name, false)
	}},
	{"restarted with an empty disk", func(r *doubleLossRun, name string) {
		r.stop(name)
		r.disks[name] = nil
		r.start(name, false)
	}},
	{"removed, replaced by another node", func(r *doubleLossRun, name string) {
		r.stop(name)
		r.disks[name] = nil
		r.start("e", false)
	}},
	{"partitioned for long, reconnected", func(r *doubleLossRun, name string) {
		r.isolate(name)
		r.advance(2 * time.Second)
		r.heal()
	}},
	{"removed after its replacement has joined", func(r *doubleLossRun, name string) {
		r.start("e", false)
		r.advance(time.Second)
		r.stop(name)
		r.disks[name] = nil
	}},
}

// stepIncrement skips most of the later messages, as the repair is complete after some twenty.
func stepIncrement(step int) int {
	if step < 24 {
		return 1
	}
	return 6
}

// A second node loses power at each message that it receives while the first loss is repaired, before and after each sync.
// No acknowledged change may be lost, no two changes acknowledged on one base, and all nodes must work once it is back.
var _ = Describe("a second loss during a repair", func() {
	const maxMessages = 60 // messages of a repair; later ones are heartbeats
	DescribeTable("loses nothing, and all nodes work once the second one is back", func(names []string, wiped string) {
		runs := 0
		for _, loss := range firstLosses {
			for _, firstLost := range []string{names[0], names[len(names)-1]} {
				for _, victim := range names {
					if victim == firstLost || victim == wiped || firstLost == wiped {
						continue
					}
					for step := 0; step < maxMessages; step += stepIncrement(step) {
						for point := range crashPoints {
							r := newDoubleLossRun(names...)
							why := fmt.Sprintf("%s %s, %s failed at its message %d, %s", firstLost, loss.name, victim, step, point)
							r.victim, r.messagesUntilLoss, r.lossPoint = victim, step, point
							if wiped != "" {
								r.stop(wiped)
								r.disks[wiped] = nil
								r.start(wiped, false)
							}
							loss.lose(r, firstLost)
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
		Entry("of five, one of which lost its disk together with the first", []string{"a", "b", "c", "d", "f"}, "c"),
	)
})
