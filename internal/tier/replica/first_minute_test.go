package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/vfs/memfs"
)

const (
	// minute is how long the system's life is followed, and pace the step of its clock.
	minute = time.Minute
	pace   = 25 * time.Millisecond
	// journalBytes is small, so that a run costs little.
	journalBytes = 6 * 64 << 10
	// variants of what a loss of power leaves of what was not synced.
	powerVariants = 3
)

// seedAddresses are the three first members.
var seedAddresses = []string{"a", "b", "c"}

// machine is one replica on a disk that fails, without goroutines: the test is its clock and its network.
type machine struct {
	*Replica
	disk *memfs.Mem
}

// cluster is the three machines and what was asked of them.
type cluster struct {
	now      time.Duration
	machines map[string]*machine
	waiting  []chain.Envelope
	acked    map[int64]string // stores whose registration was acknowledged, by the call's number
	asked    map[int64]string
	calls    int // on all disks together
	crashAt  int // the call at which power goes; negative: never
	dark     bool
}

func newCluster(crashAt int) *cluster {
	return &cluster{machines: map[string]*machine{}, acked: map[int64]string{}, asked: map[int64]string{}, crashAt: crashAt}
}

// hook counts the calls on all disks, and lets power go within one of them.
func (c *cluster) hook(call memfs.Call) memfs.Verdict {
	if c.dark = c.dark || c.calls == c.crashAt; c.dark {
		return memfs.Verdict{Crash: true, Partly: call.Bytes / 2}
	}
	c.calls++
	return memfs.Verdict{}
}

// start opens a replica on a disk; false if power went meanwhile.
func (c *cluster) start(address string, disk *memfs.Mem, bootstrap bool) bool {
	disk.Hook = c.hook
	closing := make(chan struct{})
	close(closing) // a disk that fails is not tried again: power is gone
	r := &Replica{
		options: Options{Address: address, Voter: true, Files: disk, Dir: "d", JournalBytes: journalBytes},
		log:     &log.Logger{Handler: discard.New()}, closing: closing, waiting: map[int64]chan chain.Reply{},
	}
	durable, lost, err := r.openJournal()
	if c.dark {
		return false
	}
	Expect(err).NotTo(HaveOccurred())
	settings := chain.Settings{Name: address, Address: address, Voter: true, Bootstrap: bootstrap && !lost,
		Seeds: seedAddresses, Random: [2]uint64{uint64(c.now) + 1, uint64(address[0])}}
	node, out, err := chain.New(settings, durable, controlstate.New(), c.now)
	Expect(err).NotTo(HaveOccurred())
	r.node = node
	c.machines[address] = &machine{Replica: r, disk: disk}
	c.carryOut(c.machines[address], out)
	return !c.dark
}

// carryOut keeps the order of Replica.carryOut: what leaves is on the disk.
func (c *cluster) carryOut(m *machine, out chain.Output) {
	if c.dark || len(out.Persist) > 0 && !m.persist(out.Persist) {
		return
	}
	c.waiting = append(c.waiting, out.Send...)
	for _, reply := range out.Replies {
		if store, ours := c.asked[reply.Number]; ours && reply.Changed {
			c.acked[reply.Number] = store
		}
	}
}

// pass lets time go by, until power goes.
func (c *cluster) pass(d time.Duration) {
	for end := c.now + d; c.now < end && !c.dark; c.now += pace {
		for _, address := range seedAddresses {
			if m := c.machines[address]; m != nil && m.node.Deadline() <= c.now {
				c.carryOut(m, m.node.Tick(c.now))
			}
		}
		for len(c.waiting) > 0 && !c.dark {
			e := c.waiting[0]
			c.waiting = c.waiting[1:]
			if m := c.machines[e.To.Address]; m != nil {
				c.carryOut(m, m.node.Step(c.now, e))
			}
		}
	}
}

// register has a store registered by the first machine.
func (c *cluster) register(store string) {
	m := c.machines[seedAddresses[0]]
	if m == nil || c.dark {
		return
	}
	command := controlstate.Command{Kind: controlstate.RegisterStore, Bootstrap: true, Tolerance: 1,
		Store: controlstate.StoreMember{ID: store, Node: store, Zone: "z", Address: "10.0.0.1:1"}}
	number, out, ok := m.node.Propose(c.now, controlstate.EncodeCommand(command))
	Expect(ok).To(BeTrue())
	c.asked[number] = store
	c.carryOut(m, out)
}

// live is the first minute of a system: three changes, the rest at rest.
func (c *cluster) live() {
	for _, address := range seedAddresses {
		if !c.start(address, memfs.New(), true) {
			return
		}
		c.pass(2 * pace)
	}
	for at := range 3 {
		c.pass(2 * time.Second)
		c.register(fmt.Sprintf("s%d", at))
	}
	c.pass(minute - c.now)
}

// after are the disks as a loss of power leaves them.
func (c *cluster) after(variant int) map[string]*memfs.Mem {
	disks := map[string]*memfs.Mem{}
	for at, address := range seedAddresses {
		disks[address] = memfs.New()
		if m := c.machines[address]; m != nil {
			disks[address] = m.disk.After(memfs.Power, rand.New(rand.NewPCG(uint64(c.crashAt), uint64(3*variant+at))))
		}
	}
	return disks
}

// names says whether a disk holds the identity of a first member at least. The disk is used up by that.
func names(disk *memfs.Mem) bool {
	r := &Replica{options: Options{Voter: true, Files: disk, Dir: "d", JournalBytes: journalBytes},
		log: &log.Logger{Handler: discard.New()}}
	durable, _, err := r.openJournal()
	Expect(err).NotTo(HaveOccurred())
	return durable.Member.ID == chain.FirstMemberID(durable.Member.Address) && durable.Member.Address != ""
}

// again starts all machines on what power left, and says whether a change is taken; what was acknowledged must be there.
func again(disks map[string]*memfs.Mem, bootstrap bool, acked map[int64]string) bool {
	c := newCluster(-1)
	c.now = 2 * minute
	for _, address := range seedAddresses {
		c.start(address, disks[address], bootstrap)
	}
	c.pass(3 * time.Second)
	c.register("last")
	c.pass(3 * time.Second)
	if len(c.acked) == 0 {
		return false
	}
	_, out, ok := c.machines["b"].node.Read(c.now)
	Expect(ok).To(BeTrue())
	c.carryOut(c.machines["b"], out)
	c.pass(time.Second)
	state := controlstate.New()
	Expect(state.Restore(c.machines["b"].node.Checkpoint()[1].(chain.ViewRecord).State.Snapshot)).To(Succeed())
	var stores []string
	for _, m := range state.Stores().Members {
		stores = append(stores, m.ID)
	}
	for _, store := range acked {
		Expect(stores).To(ContainElement(store))
	}
	return true
}

var _ = Describe("the first minute of a system's life", func() {
	It("can lose power at each call on a disk: the system goes on by itself, with all that it had acknowledged", func() {
		whole := newCluster(-1)
		whole.live()
		Expect(whole.acked).To(HaveLen(3))
		blank := 0
		for at := range whole.calls {
			for variant := range powerVariants {
				c := newCluster(at)
				c.live()
				looked := c.after(variant)
				begun := slices.ContainsFunc(seedAddresses, func(address string) bool { return names(looked[address]) })
				if !begun {
					blank++
					Expect(c.acked).To(BeEmpty())
				}
				// Disks that hold nothing are those of a first start still to be made.
				Expect(again(c.after(variant), !begun, c.acked)).To(BeTrue(), "power lost at call %d, variant %d", at, variant)
			}
		}
		AddReportEntry("points", ReportEntryVisibilityAlways, fmt.Sprintf("%d calls, %d variants each; no disk held anything at %d", whole.calls, powerVariants, blank))
	})
	It("can begin with any mixture of first starts that were interrupted anywhere, unless no disk holds anything", func() {
		kinds := interruptedStarts()
		runs := 0
		for _, first := range kinds {
			for _, second := range kinds {
				for _, third := range kinds {
					disks := map[string]*memfs.Mem{"a": first("a"), "b": second("b"), "c": third("c")}
					begun := names(first("a")) || names(second("b")) || names(third("c"))
					Expect(again(disks, !begun, nil)).To(BeTrue())
					runs++
				}
			}
		}
		AddReportEntry("runs", ReportEntryVisibilityAlways, runs)
	})
})

// interruptedStarts makes the disks that a first member's start leaves which loses power at each of its calls.
func interruptedStarts() []func(address string) *memfs.Mem {
	whole := newCluster(-1)
	whole.start("a", memfs.New(), true)
	var all []func(string) *memfs.Mem
	for at := range whole.calls + 1 {
		all = append(all, func(address string) *memfs.Mem {
			c, disk := newCluster(at), memfs.New()
			c.start(address, disk, true)
			return disk.After(memfs.Power, rand.New(rand.NewPCG(uint64(at), uint64(address[0]))))
		})
	}
	return all
}
