package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/replica"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// controlReplica is a replica of the real control state, on a disk of the size that small machines have.
type controlReplica struct {
	process
	committedVersion atomic.Uint64 // the newest configuration known to be committed
}

// smallDiskJournalBytes is the share of the journal in a disk of 64 MB.
const smallDiskJournalBytes = 64 << 20 * 6 / 10

func (m *controlReplica) start(bootstrap bool) {
	GinkgoHelper()
	m.open(replica.Options{
		Bootstrap: bootstrap, JournalBytes: smallDiskJournalBytes,
		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
		OnCommit: func(_, _ uint64, snapshot []byte) {
			state := controlstate.New()
			if state.Restore(snapshot) == nil {
				version, _ := state.Configuration()
				m.committedVersion.Store(version)
			}
		},
	})
}

func startControlReplicas(count int) []*controlReplica {
	var members []*controlReplica
	for _, p := range newProcesses(count) {
		m := &controlReplica{process: p}
		members = append(members, m)
		m.start(true)
		DeferCleanup(m.kill)
	}
	return members
}

// configuration returns a configuration of a version and a size in bytes.
func configuration(version uint64, size int) []byte {
	body := fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}],"routes":[]}`, version)
	return []byte(body + strings.Repeat(" ", size-len(body)))
}

// replaceConfiguration replaces the previous version through a member, retrying until the change is acknowledged.
func replaceConfiguration(ctx context.Context, m *controlReplica, version uint64, size int) {
	GinkgoHelper()
	command := controlstate.Command{Kind: controlstate.ReplaceConfiguration, Base: version - 1, HasBase: true, Body: configuration(version, size)}
	for {
		raw, err := m.replica.Propose(ctx, controlstate.EncodeCommand(command))
		if err == nil {
			result, err := controlstate.DecodeResult(raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Status).To(Equal(controlstate.StatusOK), result.Message)
			return
		}
		Expect(ctx.Err()).NotTo(HaveOccurred(), "version %d: %v", version, err)
	}
}

// A member is stopped until the journals of the others have wrapped around. It rejoins with its disk, with a disk after a
// power loss, or with an empty one. The others must bring it up to date, and it must not become head before that.
var _ = Describe("a member that missed hundreds of changes", func() {
	DescribeTable("catches up", func(ctx SpecContext, size, changes int, restartDisk func(*memfs.FS) *memfs.FS) {
		members := startControlReplicas(3)
		stopped, others := members[0], members[1:] // the head
		version := uint64(0)
		for range 3 {
			version++
			replaceConfiguration(ctx, members[1], version, size)
		}
		stopped.kill()
		for range changes {
			version++
			replaceConfiguration(ctx, others[version%2], version, size)
		}
		stopped.disk = restartDisk(stopped.disk)
		stopped.committedVersion.Store(0)
		stopped.start(false)
		Eventually(ctx, stopped.committedVersion.Load).Should(Equal(version))
		Eventually(ctx, func() int { return stopped.replica.View().ChainPosition(stopped.replica.Status().Self.ID) }).Should(BeNumerically(">", 0), "in the chain, not as head")
		for range 5 {
			version++
			replaceConfiguration(ctx, stopped, version, size)
		}
		// The chain works without another member now.
		others[0].kill()
		version++
		replaceConfiguration(ctx, stopped, version, size)
	},
		Entry("300 small ones, with its disk", NodeTimeout(time.Minute), 400, 300, afterKill),
		Entry("5,000 small ones, with its disk", NodeTimeout(3*time.Minute), 200, 5000, afterKill),
		Entry("300 small ones, with its disk after a power loss", NodeTimeout(time.Minute), 400, 300, afterPowerLoss),
		Entry("300 small ones, with an empty disk", NodeTimeout(time.Minute), 400, 300, replaced),
		Entry("of 4 MiB, the journal wrapped around, with its disk", NodeTimeout(time.Minute), controlstate.MaxConfigurationBytes, 25, afterKill),
		Entry("of 4 MiB, the journal wrapped around, with an empty disk", NodeTimeout(time.Minute), controlstate.MaxConfigurationBytes, 25, replaced),
	)
})

func afterKill(disk *memfs.FS) *memfs.FS { return disk.AfterCrash(memfs.ProcessCrash, nil) }

func afterPowerLoss(disk *memfs.FS) *memfs.FS {
	return disk.AfterCrash(memfs.PowerLoss, rand.New(rand.NewPCG(5, 6)))
}

func replaced(*memfs.FS) *memfs.FS { return memfs.New() }
