package replica_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/replica"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// loneReplica is the only member of a control state on a small disk, so that each change is one entry in its journal.
type loneReplica struct {
	controlReplica
	crashAfter atomic.Int64 // syncs of the disk until it takes no more, as at a kill; 0 or less: none is left
	journal    int64        // bytes
	version    uint64       // of the newest configuration that was acknowledged or read
}

func newLoneReplica(journalBytes int64) *loneReplica {
	m := &loneReplica{journal: journalBytes}
	m.process = newProcesses(1)[0]
	return m
}

const neverCrash = 1 << 40

var errKilled = errors.New("the process was killed")

func (m *loneReplica) startOn(bootstrap bool, syncs int64) {
	GinkgoHelper()
	m.crashAfter.Store(syncs)
	m.disk.Hook = func(c memfs.Call) memfs.Fault {
		if c.Op == "sync" && m.crashAfter.Add(-1) < 0 {
			return memfs.Fault{Err: errKilled}
		}
		return memfs.Fault{}
	}
	m.open(replica.Options{
		Bootstrap: bootstrap, JournalBytes: m.journal,
		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
	})
}

// tryChange replaces the configuration in force by one of a size, and reports whether the change was acknowledged in time.
// If not, it may be in force or come into force.
func (m *loneReplica) tryChange(ctx SpecContext, size int, timeout time.Duration) bool {
	GinkgoHelper()
	deadline, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	command := controlstate.Command{Kind: controlstate.ReplaceConfiguration, Base: m.version, HasBase: true,
		Body: configuration(m.version+1, size)}
	raw, err := m.replica.Propose(deadline, controlstate.EncodeCommand(command))
	if err != nil {
		return false
	}
	result, err := controlstate.DecodeResult(raw)
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Status).To(Equal(controlstate.StatusOK), result.Message)
	m.version = result.Version
	return true
}

// restart starts a replica that was killed, with its disk, and reads the version in force.
func (m *loneReplica) restart(ctx SpecContext) {
	GinkgoHelper()
	m.startOn(false, neverCrash)
	deadline, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	snapshot, err := m.replica.Read(deadline)
	Expect(err).NotTo(HaveOccurred(), "the configuration can be read")
	state := controlstate.New()
	Expect(state.Restore(snapshot)).To(Succeed())
	inForce, _ := state.Configuration()
	Expect(inForce).To(BeNumerically(">=", m.version), "what was acknowledged is in force")
	m.version = inForce
}

// Guards against replicas that stop for good because no segment of their journal is free: what a checkpoint had freed was in
// use again after a restart, and a record was taken before there was room for the next checkpoint (review/6).
var _ = Describe("a replica with configurations that are large for its journal", func() {
	DescribeTable("takes changes after restarts at any time", func(ctx SpecContext, size int) {
		m := newLoneReplica(smallDiskJournalBytes)
		m.startOn(true, neverCrash)
		defer m.kill()
		for range 2 {
			for changes := range 7 {
				Expect(m.tryChange(ctx, size, 10*time.Second)).To(BeTrue(), "change %d after a restart", changes)
				if changes%3 == 2 {
					m.kill()
					m.disk = afterKill(m.disk)
					m.restart(ctx)
				}
			}
		}
	},
		Entry("2.2 MB", NodeTimeout(time.Minute), 2200<<10),
		Entry("3.4 MB", NodeTimeout(time.Minute), 3400<<10),
		Entry("3.7 MB", NodeTimeout(time.Minute), 3700<<10),
		Entry("4 MiB", NodeTimeout(time.Minute), controlstate.MaxConfigurationBytes),
	)

	DescribeTable("goes on after it was killed, or lost power, at any write", func(ctx SpecContext, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 6))
		// Sizes of a sixteenth, so that a run is short: a state may take a sixth of the journal.
		m := newLoneReplica(smallDiskJournalBytes / 16)
		largest := controlstate.MaxConfigurationBytes / 16
		m.startOn(true, neverCrash)
		defer func() { m.kill() }()
		for range 10 {
			for range random.IntN(8) {
				size := largest/2 + random.IntN(largest/2)
				Expect(m.tryChange(ctx, size, 10*time.Second)).To(BeTrue())
			}
			m.crashAfter.Store(random.Int64N(12))
			m.tryChange(ctx, largest, 150*time.Millisecond)
			m.kill()
			if random.IntN(2) == 0 {
				m.disk = afterKill(m.disk)
			} else {
				m.disk = m.disk.AfterCrash(memfs.PowerLoss, random)
			}
			m.restart(ctx)
			Expect(m.tryChange(ctx, largest, 10*time.Second)).To(BeTrue(), "a change after the restart")
		}
	},
		Entry("seed 1", NodeTimeout(time.Minute), uint64(1)), Entry("seed 2", NodeTimeout(time.Minute), uint64(2)),
		Entry("seed 3", NodeTimeout(time.Minute), uint64(3)), Entry("seed 4", NodeTimeout(time.Minute), uint64(4)),
	)
})
