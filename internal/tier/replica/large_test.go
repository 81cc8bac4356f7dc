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

// controlMember is a replica of the real control state, on a disk of the size that small machines have.
type controlMember struct {
	process
	told atomic.Uint64 // the newest configuration that it knows to be committed
}

// smallDisk is the journal's part of a disk of 64 MB.
const smallDisk = 64 << 20 * 6 / 10

func (m *controlMember) start(bootstrap bool) {
	GinkgoHelper()
	m.open(replica.Options{
		Bootstrap: bootstrap, JournalBytes: smallDisk,
		NewStateMachine: func() chain.StateMachine { return controlstate.New() },
		OnCommit: func(_, _ uint64, snapshot []byte) {
			state := controlstate.New()
			if state.Restore(snapshot) == nil {
				version, _ := state.Configuration()
				m.told.Store(version)
			}
		},
	})
}

func controlMembers(count int) []*controlMember {
	var members []*controlMember
	for _, p := range processes(count) {
		m := &controlMember{process: p}
		members = append(members, m)
		m.start(true)
		DeferCleanup(m.kill)
	}
	return members
}

// configuration is one of a version and a size in bytes.
func configuration(version uint64, size int) []byte {
	body := fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}],"routes":[]}`, version)
	return []byte(body + strings.Repeat(" ", size-len(body)))
}

// change has a member replace the configuration of the version before, until it is acknowledged.
func change(ctx context.Context, m *controlMember, version uint64, size int) {
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

// A member that was out while the journals of the others were lapped comes back from its disk, with what a loss of power
// left of it, or without one. It is caught up, and was not head before.
var _ = Describe("a member that missed hundreds of changes", func() {
	DescribeTable("catches up", func(ctx SpecContext, size, changes int, lose func(*memfs.Mem) *memfs.Mem) {
		members := controlMembers(3)
		out, others := members[0], members[1:] // the head
		version := uint64(0)
		for range 3 {
			version++
			change(ctx, members[1], version, size)
		}
		out.kill()
		for range changes {
			version++
			change(ctx, others[version%2], version, size)
		}
		out.disk = lose(out.disk)
		out.told.Store(0)
		out.start(false)
		Eventually(ctx, out.told.Load).Should(Equal(version))
		Eventually(ctx, func() int { return out.replica.View().ChainPosition(out.replica.Status().Self.ID) }).Should(BeNumerically(">", 0), "in the chain, behind")
		for range 5 {
			version++
			change(ctx, out, version, size)
		}
		// And they can do without another one now.
		others[0].kill()
		version++
		change(ctx, out, version, size)
	},
		Entry("300 small ones, from its disk", NodeTimeout(time.Minute), 400, 300, asItWas),
		Entry("5,000 small ones, from its disk", NodeTimeout(3*time.Minute), 200, 5000, asItWas),
		Entry("300 small ones, with a torn end", NodeTimeout(time.Minute), 400, 300, torn),
		Entry("300 small ones, with an empty disk", NodeTimeout(time.Minute), 400, 300, emptied),
		Entry("of 4 MiB, the ring lapped, from its disk", NodeTimeout(time.Minute), controlstate.MaxConfigurationBytes, 25, asItWas),
		Entry("of 4 MiB, the ring lapped, with an empty disk", NodeTimeout(time.Minute), controlstate.MaxConfigurationBytes, 25, emptied),
	)
})

func asItWas(disk *memfs.Mem) *memfs.Mem { return disk.After(memfs.Process, nil) }

func torn(disk *memfs.Mem) *memfs.Mem { return disk.After(memfs.Power, rand.New(rand.NewPCG(5, 6))) }

func emptied(*memfs.Mem) *memfs.Mem { return memfs.New() }
