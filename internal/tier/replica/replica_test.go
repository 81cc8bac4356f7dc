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

// counter has a version; a command names the version it builds on.
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

func on(version uint64) []byte { return binary.BigEndian.AppendUint64(nil, version) }

// process is one replica with its server and its disk.
type process struct {
	address string
	seeds   []string
	voter   bool
	disk    *memfs.Mem
	replica *replica.Replica
	server  *transport.Server
	client  *transport.Client
}

// open starts the replica and its server. Of the options only those that differ between tests are given.
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

// kill ends it; what its disk holds stays.
func (p *process) kill() {
	if p.replica == nil {
		return
	}
	Expect(p.replica.Close()).To(Succeed())
	Expect(p.server.Close()).To(Succeed())
	p.client.Close()
	p.replica = nil
}

// processes are so many that are the seeds of each other.
func processes(count int) []process {
	all := make([]process, count)
	var seeds []string
	for at := range all {
		all[at] = process{address: freeAddress(), disk: memfs.New(), voter: true}
		seeds = append(seeds, all[at].address)
	}
	for at := range all {
		all[at].seeds = seeds
	}
	return all
}

// machine is a replica of a counter.
type machine struct {
	process

	broken    atomic.Bool // the disk takes nothing
	mutex     sync.Mutex
	committed []uint64 // versions told; guarded by mutex
}

func (m *machine) start(bootstrap bool) {
	if m.disk == nil {
		m.disk = memfs.New()
	}
	m.disk.Hook = func(c memfs.Call) memfs.Verdict {
		if c.Op == "sync" && m.broken.Load() {
			return memfs.Verdict{Err: syscall.EIO}
		}
		return memfs.Verdict{}
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

func (m *machine) newest() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.committed) == 0 {
		return 0
	}
	return m.committed[len(m.committed)-1]
}

// freeAddress is one on which nobody listens.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func cluster(size int) []*machine {
	var machines []*machine
	for _, p := range processes(size) {
		m := &machine{process: p}
		machines = append(machines, m)
		m.start(true)
		DeferCleanup(m.kill)
	}
	return machines
}

// version reads the counter at a replica.
func version(ctx context.Context, m *machine) uint64 {
	snapshot, err := m.replica.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	return binary.BigEndian.Uint64(snapshot)
}

// advance brings the counter on by one.
func advance(ctx context.Context, m *machine, from uint64) {
	result, err := m.replica.Propose(ctx, on(from))
	Expect(err).NotTo(HaveOccurred())
	Expect(binary.BigEndian.Uint64(result)).To(Equal(from + 1))
}

var _ = Describe("three replicas", func() {
	It("agree, go on without one, and take it back", func(ctx SpecContext) {
		machines := cluster(3)
		for i := range uint64(9) {
			advance(ctx, machines[i%3], i)
		}
		for _, m := range machines {
			Expect(version(ctx, m)).To(Equal(uint64(9)))
		}
		result, err := machines[1].replica.Propose(ctx, on(3))
		Expect(err).NotTo(HaveOccurred())
		Expect(binary.BigEndian.Uint64(result)).To(Equal(uint64(9)), "refused")

		head, _ := machines[0].replica.View().Head()
		var dead *machine
		var alive []*machine
		for _, m := range machines {
			if m.address == head.Address {
				dead = m
			} else {
				alive = append(alive, m)
			}
		}
		dead.kill()
		advance(ctx, alive[0], 9)
		advance(ctx, alive[1], 10)
		Expect(version(ctx, alive[1])).To(Equal(uint64(11)))

		dead.disk = dead.disk.After(memfs.Process, nil)
		dead.start(false)
		Expect(version(ctx, dead)).To(Equal(uint64(11)))
		Eventually(ctx, func() int { return len(alive[0].replica.View().Chain) }).Should(Equal(3))
		advance(ctx, dead, 11)
		for _, m := range machines {
			Eventually(ctx, m.newest).Should(Equal(uint64(12)))
		}
	}, NodeTimeout(time.Minute))

	It("keep what was acknowledged when all lose power and one its disk", func(ctx SpecContext) {
		machines := cluster(3)
		for i := range uint64(400) { // several laps of the journal
			advance(ctx, machines[i%3], i)
		}
		chance := rand.New(rand.NewPCG(1, 2))
		for _, m := range machines {
			m.kill()
			m.disk = m.disk.After(memfs.Power, chance)
		}
		machines[1].disk = memfs.New()
		for _, m := range machines {
			m.start(false)
		}
		for _, m := range machines {
			Expect(version(ctx, m)).To(Equal(uint64(400)))
		}
		Eventually(ctx, func() []string {
			var chain []string
			v := machines[1].replica.View()
			for _, id := range v.Chain {
				member, _ := v.Member(id)
				chain = append(chain, member.Address)
			}
			return chain
		}).Should(ConsistOf(machines[0].address, machines[1].address, machines[2].address))
		advance(ctx, machines[1], 400)
	}, NodeTimeout(time.Minute))

	It("go on without one whose disk takes nothing, and take it back once it does", func(ctx SpecContext) {
		machines := cluster(3)
		advance(ctx, machines[0], 0)
		tail, _ := machines[0].replica.View().Tail()
		var sick *machine
		for _, m := range machines {
			if m.address == tail.Address {
				sick = m
			}
		}
		sick.broken.Store(true)
		var well []*machine
		for _, m := range machines {
			if m != sick {
				well = append(well, m)
			}
		}
		advance(ctx, well[0], 1)
		advance(ctx, well[1], 2)
		Expect(len(well[0].replica.View().Chain)).To(Equal(2))
		sick.broken.Store(false)
		Eventually(ctx, func() int { return len(sick.replica.View().Chain) }).Should(Equal(3))
		Eventually(ctx, func() int { return len(well[0].replica.View().Chain) }).Should(Equal(3))
		advance(ctx, sick, 3)
	}, NodeTimeout(time.Minute))

	It("come back when all are killed at once", func(ctx SpecContext) {
		machines := cluster(3)
		for i := range uint64(20) {
			advance(ctx, machines[i%3], i)
		}
		for _, m := range machines {
			m.kill()
			m.disk = m.disk.After(memfs.Process, nil)
		}
		for _, m := range machines {
			m.start(false)
			m.replica.SetSeeds(m.seeds)
		}
		Expect(version(ctx, machines[2])).To(Equal(uint64(20)))
		advance(ctx, machines[1], 20)
		for _, m := range machines {
			Expect(m.replica.Members()).To(HaveLen(3))
			Expect(m.replica.Status().IsMember).To(BeTrue())
		}
	}, NodeTimeout(time.Minute))

	It("end calls with their context, and with the replica", func(ctx SpecContext) {
		machines := cluster(3)
		advance(ctx, machines[0], 0)
		machines[1].kill()
		machines[2].kill()
		short, cancel := context.WithCancel(ctx)
		failed := make(chan error, 2)
		go func() {
			_, err := machines[0].replica.Propose(short, on(1))
			failed <- err
		}()
		cancel()
		Expect(<-failed).To(MatchError(context.Canceled))
		go func() {
			_, err := machines[0].replica.Read(ctx)
			failed <- err
		}()
		Expect(machines[0].replica.Close()).To(Succeed())
		Expect(<-failed).To(MatchError(replica.ErrClosed))
		Eventually(machines[0].replica.Stopped()).Should(BeClosed())
		_, err := machines[0].replica.Propose(ctx, on(1))
		Expect(err).To(MatchError(replica.ErrClosed))
	}, NodeTimeout(time.Minute))

	It("serve one that only forwards, and take in a fourth", func(ctx SpecContext) {
		machines := cluster(3)
		forwards := &machine{process: process{address: freeAddress(), seeds: machines[0].seeds}}
		forwards.start(false)
		DeferCleanup(forwards.kill)
		advance(ctx, forwards, 0)
		Expect(version(ctx, forwards)).To(Equal(uint64(1)))
		Expect(forwards.replica.Status().IsMember).To(BeFalse())

		fourth := &machine{process: process{address: freeAddress(), seeds: machines[0].seeds, voter: true, disk: memfs.New()}}
		fourth.start(false)
		DeferCleanup(fourth.kill)
		Eventually(ctx, func() int { return len(fourth.replica.View().Chain) }).Should(Equal(4))
		advance(ctx, fourth, 1)
		Expect(version(ctx, machines[0])).To(Equal(uint64(2)))
	}, NodeTimeout(time.Minute))
})
