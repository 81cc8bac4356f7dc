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
	// runDuration is the simulated time of a run, tickInterval the step of its clock.
	runDuration  = time.Minute
	tickInterval = 25 * time.Millisecond
	// journalBytes is small, so that a run costs little.
	journalBytes = 6 * 64 << 10
	// powerLossVariants is the number of random outcomes of unsynced writes that are tried per power loss.
	powerLossVariants = 3
)

// seedAddresses are the addresses of the three initial members.
var seedAddresses = []string{"a", "b", "c"}

// steppedReplica is a replica on a failing disk, without goroutines: the test provides its clock and network.
type steppedReplica struct {
	*Replica
	disk *memfs.FS
}

// steppedCluster is the three replicas, their messages and the registrations proposed to them.
type steppedCluster struct {
	now          time.Duration
	replicas     map[string]*steppedReplica
	inFlight     []chain.Envelope
	acknowledged map[int64]string // stores whose registration was acknowledged, by the call's number
	proposed     map[int64]string
	diskCalls    int // on all disks
	crashAtCall  int // the disk call at which power is lost; negative: never
	powerLost    bool
}

func newSteppedCluster(crashAtCall int) *steppedCluster {
	return &steppedCluster{replicas: map[string]*steppedReplica{}, acknowledged: map[int64]string{}, proposed: map[int64]string{}, crashAtCall: crashAtCall}
}

// hook counts the calls on all disks and cuts the power within one of them.
func (c *steppedCluster) hook(call memfs.Call) memfs.Fault {
	if c.powerLost = c.powerLost || c.diskCalls == c.crashAtCall; c.powerLost {
		return memfs.Fault{Crash: true, PartialBytes: call.Bytes / 2}
	}
	c.diskCalls++
	return memfs.Fault{}
}

// startReplica starts a replica on a disk; it returns false if power was lost meanwhile.
func (c *steppedCluster) startReplica(address string, disk *memfs.FS, bootstrap bool) bool {
	disk.Hook = c.hook
	closing := make(chan struct{})
	close(closing) // no retries after a disk failure: power is lost
	r := &Replica{
		options: Options{Address: address, Voter: true, Files: disk, Dir: "d", JournalBytes: journalBytes},
		log:     &log.Logger{Handler: discard.New()}, closing: closing, pendingCalls: map[int64]chan chain.Reply{},
	}
	durable, dataLost, err := r.openJournal()
	if c.powerLost {
		return false
	}
	Expect(err).NotTo(HaveOccurred())
	settings := chain.Settings{Name: address, Address: address, Voter: true, Bootstrap: bootstrap && !dataLost,
		Seeds: seedAddresses, Random: [2]uint64{uint64(c.now) + 1, uint64(address[0])}}
	node, out, err := chain.New(settings, durable, controlstate.New(), c.now)
	Expect(err).NotTo(HaveOccurred())
	r.node = node
	c.replicas[address] = &steppedReplica{Replica: r, disk: disk}
	c.handleOutput(c.replicas[address], out)
	return !c.powerLost
}

// handleOutput keeps the order of Replica.handleOutput: records are synced before anything is sent.
func (c *steppedCluster) handleOutput(m *steppedReplica, out chain.Output) {
	if c.powerLost || len(out.Persist) > 0 && !m.persist(out.Persist) {
		return
	}
	c.inFlight = append(c.inFlight, out.Send...)
	for _, reply := range out.Replies {
		if store, known := c.proposed[reply.Number]; known && reply.Changed {
			c.acknowledged[reply.Number] = store
		}
	}
}

// advance runs the clock and delivers messages until the time is over or power is lost.
func (c *steppedCluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end && !c.powerLost; c.now += tickInterval {
		for _, address := range seedAddresses {
			if m := c.replicas[address]; m != nil && m.node.Deadline() <= c.now {
				c.handleOutput(m, m.node.Tick(c.now))
			}
		}
		for len(c.inFlight) > 0 && !c.powerLost {
			e := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			if m := c.replicas[e.To.Address]; m != nil {
				c.handleOutput(m, m.node.Step(c.now, e))
			}
		}
	}
}

// register proposes the registration of a store at the first replica.
func (c *steppedCluster) register(store string) {
	m := c.replicas[seedAddresses[0]]
	if m == nil || c.powerLost {
		return
	}
	command := controlstate.Command{Kind: controlstate.RegisterStore, Bootstrap: true, Tolerance: 1,
		Store: controlstate.StoreMember{ID: store, Node: store, Zone: "z", Address: "10.0.0.1:1"}}
	number, out, ok := m.node.Propose(c.now, controlstate.EncodeCommand(command))
	Expect(ok).To(BeTrue())
	c.proposed[number] = store
	c.handleOutput(m, out)
}

// runFirstMinute runs the first minute of a system: three changes, then no load.
func (c *steppedCluster) runFirstMinute() {
	for _, address := range seedAddresses {
		if !c.startReplica(address, memfs.New(), true) {
			return
		}
		c.advance(2 * tickInterval)
	}
	for i := range 3 {
		c.advance(2 * time.Second)
		c.register(fmt.Sprintf("s%d", i))
	}
	c.advance(runDuration - c.now)
}

// disksAfterPowerLoss returns the disks as the power loss leaves them.
func (c *steppedCluster) disksAfterPowerLoss(variant int) map[string]*memfs.FS {
	disks := map[string]*memfs.FS{}
	for i, address := range seedAddresses {
		disks[address] = memfs.New()
		if m := c.replicas[address]; m != nil {
			disks[address] = m.disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(uint64(c.crashAtCall), uint64(3*variant+i))))
		}
	}
	return disks
}

// hasFirstMember reports whether a disk holds the identity of an initial member. The disk cannot be used afterwards.
func hasFirstMember(disk *memfs.FS) bool {
	r := &Replica{options: Options{Voter: true, Files: disk, Dir: "d", JournalBytes: journalBytes},
		log: &log.Logger{Handler: discard.New()}}
	durable, _, err := r.openJournal()
	Expect(err).NotTo(HaveOccurred())
	return durable.Member.ID == chain.FirstMemberID(durable.Member.Address) && durable.Member.Address != ""
}

// restartAndPropose restarts all replicas on the disks and reports whether a new change is committed. All acknowledged
// changes must be in the state.
func restartAndPropose(disks map[string]*memfs.FS, bootstrap bool, acknowledged map[int64]string) bool {
	c := newSteppedCluster(-1)
	c.now = 2 * runDuration
	for _, address := range seedAddresses {
		c.startReplica(address, disks[address], bootstrap)
	}
	c.advance(3 * time.Second)
	c.register("last")
	c.advance(3 * time.Second)
	if len(c.acknowledged) == 0 {
		return false
	}
	_, out, ok := c.replicas["b"].node.Read(c.now)
	Expect(ok).To(BeTrue())
	c.handleOutput(c.replicas["b"], out)
	c.advance(time.Second)
	state := controlstate.New()
	Expect(state.Restore(c.replicas["b"].node.Checkpoint()[1].(chain.ViewRecord).State.Snapshot)).To(Succeed())
	var stores []string
	for _, m := range state.Stores().Members {
		stores = append(stores, m.ID)
	}
	for _, store := range acknowledged {
		Expect(stores).To(ContainElement(store))
	}
	return true
}

var _ = Describe("the first minute of a system", func() {
	It("can lose power at each disk call: the system recovers on its own, with all acknowledged changes", func() {
		uninterrupted := newSteppedCluster(-1)
		uninterrupted.runFirstMinute()
		Expect(uninterrupted.acknowledged).To(HaveLen(3))
		emptyRuns := 0
		for call := range uninterrupted.diskCalls {
			for variant := range powerLossVariants {
				c := newSteppedCluster(call)
				c.runFirstMinute()
				disks := c.disksAfterPowerLoss(variant)
				started := slices.ContainsFunc(seedAddresses, func(address string) bool { return hasFirstMember(disks[address]) })
				if !started {
					emptyRuns++
					Expect(c.acknowledged).To(BeEmpty())
				}
				// If no disk holds a member, the first start has not happened yet and is repeated.
				Expect(restartAndPropose(c.disksAfterPowerLoss(variant), !started, c.acknowledged)).To(BeTrue(), "power lost at call %d, variant %d", call, variant)
			}
		}
		AddReportEntry("points", ReportEntryVisibilityAlways, fmt.Sprintf("%d calls, %d variants each; all disks empty in %d", uninterrupted.diskCalls, powerLossVariants, emptyRuns))
	})
	It("can start from any combination of interrupted first starts; it bootstraps again only if no disk holds a member", func() {
		starts := interruptedStarts()
		runs := 0
		for _, first := range starts {
			for _, second := range starts {
				for _, third := range starts {
					disks := map[string]*memfs.FS{"a": first("a"), "b": second("b"), "c": third("c")}
					started := hasFirstMember(first("a")) || hasFirstMember(second("b")) || hasFirstMember(third("c"))
					Expect(restartAndPropose(disks, !started, nil)).To(BeTrue())
					runs++
				}
			}
		}
		AddReportEntry("runs", ReportEntryVisibilityAlways, runs)
	})
})

// interruptedStarts returns functions that make the disk of an initial member whose first start lost power, one function
// for each disk call of a start.
func interruptedStarts() []func(address string) *memfs.FS {
	uninterrupted := newSteppedCluster(-1)
	uninterrupted.startReplica("a", memfs.New(), true)
	var starts []func(string) *memfs.FS
	for call := range uninterrupted.diskCalls + 1 {
		starts = append(starts, func(address string) *memfs.FS {
			c, disk := newSteppedCluster(call), memfs.New()
			c.startReplica(address, disk, true)
			return disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(uint64(call), uint64(address[0]))))
		})
	}
	return starts
}
