package chain_test

import (
	"fmt"
	"slices"
	"time"

	"emberquay/coordination/chain"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// moment is where in the handling of a message a node is lost.
type moment int

const (
	beforeMessage moment = iota // it never hears the message
	beforeSync                  // it has handled it, and nothing of that is on its disk or has left
	afterSync                   // what it persisted is on its disk, and nothing has left
	afterSend                   // the answers are on their way
	moments
)

func (m moment) String() string {
	return []string{"before the message", "before the sync", "after the sync", "after the sending"}[m]
}

// asked is a call of a node, by its number there; proposal is the change that it asks for.
type (
	asked struct {
		name   string
		number int64
	}
	proposal struct{ base, value uint64 }
)

// repairRun is a few nodes that lose one, and another one in the middle of the repair.
type repairRun struct {
	*trio
	values uint64 // of the changes that were sent, from 1 on
	sent   map[asked]proposal
	acked  map[uint64]uint64 // values by their bases

	victim string
	step   int // messages that the victim hears until it is lost
	at     moment
	lost   bool
}

func newRepairRun(names ...string) *repairRun {
	r := &repairRun{trio: newTrio(names...), sent: map[asked]proposal{}, acked: map[uint64]uint64{}}
	for range 3 {
		r.change(names[0])
		r.advance(100 * time.Millisecond)
	}
	Expect(r.acked).To(HaveLen(3))
	return r
}

// change has a node propose the next value on top of all that it knows as acknowledged.
func (r *repairRun) change(name string) {
	if r.nodes[name] == nil {
		return
	}
	r.values++
	base := uint64(len(r.acked))
	number, out, ok := r.nodes[name].Propose(r.now, command(base, r.values))
	Expect(ok).To(BeTrue())
	r.sent[asked{name, number}] = proposal{base: base, value: r.values}
	r.take(name, out)
}

// advance lets time pass; messages are delivered one at a time, and the victim is lost at its moment.
func (r *repairRun) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += 25 * time.Millisecond {
		for _, name := range sortedNames(r.nodes) {
			if node := r.nodes[name]; node.Deadline() <= r.now {
				r.take(name, node.Tick(r.now))
			}
		}
		for len(r.waiting) > 0 {
			e := r.waiting[0]
			r.waiting = r.waiting[1:]
			r.deliverOne(e)
		}
		r.collect()
	}
}

func (r *repairRun) deliverOne(e chain.Envelope) {
	node := r.nodes[e.To.Address]
	if node == nil || r.trio.lost(e) {
		return
	}
	due := false
	if e.To.Address == r.victim && !r.lost {
		r.step--
		due = r.step < 0
	}
	if !due {
		r.take(e.To.Address, node.Step(r.now, e))
		return
	}
	r.lost = true
	r.stop(r.victim)
	if r.at == beforeMessage {
		return
	}
	out := node.Step(r.now, e)
	if r.at >= afterSync {
		r.disks[r.victim] = append(r.disks[r.victim], out.Persist...)
	}
	if r.at == afterSend {
		r.waiting = append(r.waiting, out.Send...)
	}
}

// collect takes the answers to changes; those to reads stay. At most one change is acknowledged on a base.
func (r *repairRun) collect() {
	for _, name := range sortedNames(r.nodes) {
		r.replies[name] = slices.DeleteFunc(r.replies[name], func(reply chain.Reply) bool {
			if reply.Result != nil && reply.Result[8] == 1 {
				c := r.sent[asked{name, reply.Number}]
				Expect(c.value).NotTo(BeZero(), "an answer to a call that %s did not make", name)
				Expect(r.acked).NotTo(HaveKey(c.base))
				Expect(r.committed(c)).To(BeTrue(), "value %d was acknowledged and nobody has committed it", c.value)
				r.acked[c.base] = c.value
			}
			return reply.Unknown || reply.Result != nil
		})
	}
}

// committed says whether a running node has told a committed state with a change at its place.
func (r *repairRun) committed(p proposal) bool {
	for _, name := range sortedNames(r.nodes) {
		for _, c := range slices.Backward(r.commits[name]) {
			values, err := parse(c.Snapshot)
			Expect(err).NotTo(HaveOccurred())
			if uint64(len(values)) > p.base {
				return values[p.base] == p.value
			}
		}
	}
	return false
}

// full says whether all nodes that run are in the chain of one view, caught up.
func (r *repairRun) full() bool {
	v := r.view()
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

// expectWhole checks that all that was acknowledged is there, in one order, and that the nodes go on.
func (r *repairRun) expectWhole(why string) {
	GinkgoHelper()
	r.advance(4 * time.Second)
	Expect(r.full()).To(BeTrue(), "%s: %v of %v", why, addresses(r.view()), sortedNames(r.nodes))
	before := len(r.acked)
	for _, name := range sortedNames(r.nodes) {
		r.replies[name] = nil
		r.read(name)
		r.advance(500 * time.Millisecond)
		Expect(r.replies[name]).NotTo(BeEmpty(), "%s: no read at %s", why, name)
		values, err := parse(r.replies[name][len(r.replies[name])-1].Snapshot)
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
	lose func(r *repairRun, name string)
}{
	{"killed, back from its disk", func(r *repairRun, name string) {
		r.stop(name)
		r.advance(900 * time.Millisecond)
		r.start(name, false)
	}},
	{"its disk lost", func(r *repairRun, name string) {
		r.stop(name)
		r.disks[name] = nil
		r.start(name, false)
	}},
	{"gone for good, another in its place", func(r *repairRun, name string) {
		r.stop(name)
		r.disks[name] = nil
		r.start("e", false)
	}},
	{"cut off for long and joined again", func(r *repairRun, name string) {
		r.cutOff(name)
		r.advance(2 * time.Second)
		r.heal()
	}},
	{"replaced as planned, the new one first", func(r *repairRun, name string) {
		r.start("e", false)
		r.advance(time.Second)
		r.stop(name)
		r.disks[name] = nil
	}},
}

// stride leaves out most of the later messages: the repair is over after some twenty.
func stride(step int) int {
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
					for step := 0; step < most; step += stride(step) {
						for at := range moments {
							r := newRepairRun(names...)
							why := fmt.Sprintf("%s %s, %s lost at its message %d, %s", gone, first.name, victim, step, at)
							r.victim, r.step, r.at = victim, step, at
							if wiped != "" {
								r.stop(wiped)
								r.disks[wiped] = nil
								r.start(wiped, false)
							}
							first.lose(r, gone)
							for range 6 {
								r.change(names[1])
								r.change(names[2])
								r.advance(300 * time.Millisecond)
							}
							if !r.lost {
								continue
							}
							runs++
							r.start(victim, false)
							r.expectWhole(why)
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
