package replica_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/coordination/chain"
	"emberquay/internal/tier/replica"
	"emberquay/internal/tier/transport"
	"emberquay/internal/vfs/memfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// counter is a state machine that counts; a command names the version that it increments.
type counter struct{ version uint64 }

func (c *counter) Apply(command []byte) ([]byte, bool) {
	if binary.BigEndian.Uint64(command) != c.version {
		return c.Snapshot(), false
	}
	c.version++
	return c.Snapshot(), true
}

func (c *counter) Snapshot() []byte { return binary.BigEndian.AppendUint64(nil, c.version) }

func (c *counter) Restore(snapshot []byte) error {
	c.version = binary.BigEndian.Uint64(snapshot)
	return nil
}

func increment(version uint64) []byte { return binary.BigEndian.AppendUint64(nil, version) }

// process is a replica with its server and disk.
type process struct {
	address string
	seeds   []string
	voter   bool
	disk    *memfs.FS
	replica *replica.Replica
	server  *transport.Server
	client  *transport.Client
}

// open starts the replica and its server. Callers set only the options that differ between tests.
func (p *process) open(options replica.Options) {
	GinkgoHelper()
	options.Name, options.Address, options.Zone = p.address, p.address, "a"
	options.Seeds, options.Voter = p.seeds, p.voter
	options.Files, options.Dir = p.disk, "control"
	options.Mux = transport.NewMux()
	options.Log = &log.Logger{Handler: discard.Default}
	p.client = transport.NewClient()
	options.Client = p.client
	var err error
	p.replica, err = replica.Open(options)
	Expect(err).NotTo(HaveOccurred())
	p.server, err = transport.Listen(p.address, options.Mux)
	Expect(err).NotTo(HaveOccurred())
}

// kill closes the replica and its server; the disk remains.
func (p *process) kill() {
	if p.replica == nil {
		return
	}
	Expect(p.replica.Close()).To(Succeed())
	Expect(p.server.Close()).To(Succeed())
	p.client.Close()
	p.replica = nil
}

// newProcesses returns count processes that are each other's seeds.
func newProcesses(count int) []process {
	all := make([]process, count)
	var seeds []string
	for i := range all {
		all[i] = process{address: freeAddress(), disk: memfs.New(), voter: true}
		seeds = append(seeds, all[i].address)
	}
	for i := range all {
		all[i].seeds = seeds
	}
	return all
}

// counterReplica is a replica of a counter.
type counterReplica struct {
	process

	diskFails atomic.Bool // every sync fails
	mutex     sync.Mutex
	committed []uint64 // versions passed to OnCommit; guarded by mutex
}

func (m *counterReplica) start(bootstrap bool) {
	if m.disk == nil {
		m.disk = memfs.New()
	}
	m.disk.Hook = func(c memfs.Call) memfs.Fault {
		if c.Op == "sync" && m.diskFails.Load() {
			return memfs.Fault{Err: syscall.EIO}
		}
		return memfs.Fault{}
	}
	m.open(replica.Options{
		Bootstrap: bootstrap, JournalBytes: 48 << 10,
		NewStateMachine: func() chain.StateMachine { return &counter{} },
		OnCommit: func(_, sequence uint64, snapshot []byte) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			Expect(binary.BigEndian.Uint64(snapshot)).To(Equal(sequence))
			m.committed = append(m.committed, sequence)
		},
	})
}

func (m *counterReplica) newestCommitted() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.committed) == 0 {
		return 0
	}
	return m.committed[len(m.committed)-1]
}

// freeAddress returns an address on which nobody listens.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func startCounterReplicas(size int) []*counterReplica {
	var replicas []*counterReplica
	for _, p := range newProcesses(size) {
		m := &counterReplica{process: p}
		replicas = append(replicas, m)
		m.start(true)
		DeferCleanup(m.kill)
	}
	return replicas
}

// readVersion reads the counter through a replica.
func readVersion(ctx context.Context, m *counterReplica) uint64 {
	snapshot, err := m.replica.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	return binary.BigEndian.Uint64(snapshot)
}

// mustIncrement increments the counter from a version.
func mustIncrement(ctx context.Context, m *counterReplica, from uint64) {
	result, err := m.replica.Propose(ctx, increment(from))
	Expect(err).NotTo(HaveOccurred())
	Expect(binary.BigEndian.Uint64(result)).To(Equal(from + 1))
}

var _ = Describe("three replicas", func() {
	It("agree, continue without one, and readmit it", func(ctx SpecContext) {
		replicas := startCounterReplicas(3)
		for i := range uint64(9) {
			mustIncrement(ctx, replicas[i%3], i)
		}
		for _, m := range replicas {
			Expect(readVersion(ctx, m)).To(Equal(uint64(9)))
		}
		result, err := replicas[1].replica.Propose(ctx, increment(3))
		Expect(err).NotTo(HaveOccurred())
		Expect(binary.BigEndian.Uint64(result)).To(Equal(uint64(9)), "rejected")

		head, _ := replicas[0].replica.View().Head()
		var killed *counterReplica
		var running []*counterReplica
		for _, m := range replicas {
			if m.address == head.Address {
				killed = m
			} else {
				running = append(running, m)
			}
		}
		killed.kill()
		mustIncrement(ctx, running[0], 9)
		mustIncrement(ctx, running[1], 10)
		Expect(readVersion(ctx, running[1])).To(Equal(uint64(11)))

		killed.disk = killed.disk.AfterCrash(memfs.ProcessCrash, nil)
		killed.start(false)
		Expect(readVersion(ctx, killed)).To(Equal(uint64(11)))
		Eventually(ctx, func() int { return len(running[0].replica.View().Chain) }).Should(Equal(3))
		mustIncrement(ctx, killed, 11)
		for _, m := range replicas {
			Eventually(ctx, m.newestCommitted).Should(Equal(uint64(12)))
		}
	}, NodeTimeout(time.Minute))

	It("keep all acknowledged commands when all lose power and one loses its disk", func(ctx SpecContext) {
		replicas := startCounterReplicas(3)
		for i := range uint64(400) { // several laps of the journal
			mustIncrement(ctx, replicas[i%3], i)
		}
		random := rand.New(rand.NewPCG(1, 2))
		for _, m := range replicas {
			m.kill()
			m.disk = m.disk.AfterCrash(memfs.PowerLoss, random)
		}
		replicas[1].disk = memfs.New()
		for _, m := range replicas {
			m.start(false)
		}
		for _, m := range replicas {
			Expect(readVersion(ctx, m)).To(Equal(uint64(400)))
		}
		Eventually(ctx, func() []string {
			var chain []string
			v := replicas[1].replica.View()
			for _, id := range v.Chain {
				member, _ := v.Member(id)
				chain = append(chain, member.Address)
			}
			return chain
		}).Should(ConsistOf(replicas[0].address, replicas[1].address, replicas[2].address))
		mustIncrement(ctx, replicas[1], 400)
	}, NodeTimeout(time.Minute))

	It("continue without one whose disk fails, and readmit it once the disk works", func(ctx SpecContext) {
		replicas := startCounterReplicas(3)
		mustIncrement(ctx, replicas[0], 0)
		tail, _ := replicas[0].replica.View().Tail()
		var failing *counterReplica
		for _, m := range replicas {
			if m.address == tail.Address {
				failing = m
			}
		}
		failing.diskFails.Store(true)
		var healthy []*counterReplica
		for _, m := range replicas {
			if m != failing {
				healthy = append(healthy, m)
			}
		}
		mustIncrement(ctx, healthy[0], 1)
		mustIncrement(ctx, healthy[1], 2)
		Expect(len(healthy[0].replica.View().Chain)).To(Equal(2))
		failing.diskFails.Store(false)
		Eventually(ctx, func() int { return len(failing.replica.View().Chain) }).Should(Equal(3))
		Eventually(ctx, func() int { return len(healthy[0].replica.View().Chain) }).Should(Equal(3))
		mustIncrement(ctx, failing, 3)
	}, NodeTimeout(time.Minute))

	It("recover when all are killed at once", func(ctx SpecContext) {
		replicas := startCounterReplicas(3)
		for i := range uint64(20) {
			mustIncrement(ctx, replicas[i%3], i)
		}
		for _, m := range replicas {
			m.kill()
			m.disk = m.disk.AfterCrash(memfs.ProcessCrash, nil)
		}
		for _, m := range replicas {
			m.start(false)
			m.replica.SetSeeds(m.seeds)
		}
		Expect(readVersion(ctx, replicas[2])).To(Equal(uint64(20)))
		mustIncrement(ctx, replicas[1], 20)
		for _, m := range replicas {
			Expect(m.replica.Members()).To(HaveLen(3))
			Expect(m.replica.Status().IsMember).To(BeTrue())
		}
	}, NodeTimeout(time.Minute))

	It("end calls with their context, and when the replica is closed", func(ctx SpecContext) {
		replicas := startCounterReplicas(3)
		mustIncrement(ctx, replicas[0], 0)
		replicas[1].kill()
		replicas[2].kill()
		canceled, cancel := context.WithCancel(ctx)
		failed := make(chan error, 2)
		go func() {
			_, err := replicas[0].replica.Propose(canceled, increment(1))
			failed <- err
		}()
		cancel()
		Expect(<-failed).To(MatchError(context.Canceled))
		go func() {
			_, err := replicas[0].replica.Read(ctx)
			failed <- err
		}()
		Expect(replicas[0].replica.Close()).To(Succeed())
		Expect(<-failed).To(MatchError(replica.ErrClosed))
		Eventually(replicas[0].replica.Stopped()).Should(BeClosed())
		_, err := replicas[0].replica.Propose(ctx, increment(1))
		Expect(err).To(MatchError(replica.ErrClosed))
	}, NodeTimeout(time.Minute))

	It("serve a forwarder, and admit a fourth member", func(ctx SpecContext) {
		replicas := startCounterReplicas(3)
		forwarder := &counterReplica{process: process{address: freeAddress(), seeds: replicas[0].seeds}}
		forwarder.start(false)
		DeferCleanup(forwarder.kill)
		mustIncrement(ctx, forwarder, 0)
		Expect(readVersion(ctx, forwarder)).To(Equal(uint64(1)))
		Expect(forwarder.replica.Status().IsMember).To(BeFalse())

		fourth := &counterReplica{process: process{address: freeAddress(), seeds: replicas[0].seeds, voter: true, disk: memfs.New()}}
		fourth.start(false)
		DeferCleanup(fourth.kill)
		Eventually(ctx, func() int { return len(fourth.replica.View().Chain) }).Should(Equal(4))
		mustIncrement(ctx, fourth, 1)
		Expect(readVersion(ctx, replicas[0])).To(Equal(uint64(2)))
	}, NodeTimeout(time.Minute))
})
