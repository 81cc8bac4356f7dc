package cluster_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/transport"
)

func TestCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
}

// process is one node with its listener on a loopback port.
type process struct {
	identity cluster.Identity
	cluster  *cluster.Cluster
	server   *transport.Server
	client   *transport.Client
}

func (p *process) stop() {
	p.cluster.Close()
	p.client.Close()
	_ = p.server.Close() // a test may have closed it
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func start(identity cluster.Identity, seeds ...string) *process {
	p := &process{identity: identity, client: transport.NewClient()}
	mux := transport.NewMux()
	var err error
	p.cluster, err = cluster.Start(cluster.Options{Self: identity, Seeds: seeds, Client: p.client, Mux: mux})
	Expect(err).NotTo(HaveOccurred())
	p.server, err = transport.Listen(identity.Address, mux)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.stop)
	return p
}

// specTimeout bounds each spec. Only a failing run reaches it.
const specTimeout = 30 * time.Second

var _ = Describe("a cluster on loopback", func() {
	identities := func() []cluster.Identity {
		roles := []cluster.Role{cluster.Control, cluster.Proxy, cluster.Proxy, cluster.Store}
		var all []cluster.Identity
		for i, role := range roles {
			all = append(all, cluster.Identity{
				Name: fmt.Sprintf("machine-%d", i), Role: role, Zone: fmt.Sprintf("zone-%d", i%2), Address: freeAddress(),
			})
		}
		return all
	}

	It("discovers all nodes through one seed, and spreads and confirms entries", func(ctx SpecContext) {
		all := identities()
		seed := all[0].Address
		var processes []*process
		for _, identity := range all {
			processes = append(processes, start(identity, seed))
		}
		for _, p := range processes {
			Eventually(p.cluster.Ready()).WithContext(ctx).Should(BeClosed())
			Eventually(func() []cluster.Node { return p.cluster.Nodes() }).WithContext(ctx).Should(HaveLen(len(all)))
		}

		processes[1].cluster.Publish(cluster.Entry{Key: "receiver/a", Value: []byte("x")})
		for _, p := range processes {
			Eventually(func() []cluster.Entry { return p.cluster.List(cluster.ReceiverPrefix) }).WithContext(ctx).Should(HaveLen(1))
		}

		for _, size := range []int{10, 100_000} {
			seen := make(chan int, 64)
			processes[3].cluster.Watch(cluster.ConfigurationKey, func(e cluster.Entry) { seen <- len(e.Value) })
			confirmed, err := processes[0].cluster.PublishConfirmed(ctx, cluster.Entry{Key: cluster.ConfigurationKey, Value: make([]byte, size)})
			Expect(err).NotTo(HaveOccurred())
			Expect(confirmed).To(HaveLen(len(all) - 1))
			for _, p := range processes {
				entry, known := p.cluster.Get(cluster.ConfigurationKey)
				Expect(known).To(BeTrue())
				Expect(entry.Value).To(HaveLen(size))
			}
			Eventually(seen).WithContext(ctx).Should(Receive(Equal(size)))
		}

		confirmed, err := processes[3].cluster.PublishConfirmed(ctx, cluster.Entry{Key: "receiver/b", Value: []byte("y")}, cluster.Proxy)
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed).To(HaveLen(2))
	}, SpecTimeout(specTimeout))

	It("reports that a node has left and that another is down", func(ctx SpecContext) {
		all := identities()
		seed := all[0].Address
		var processes []*process
		for _, identity := range all {
			processes = append(processes, start(identity, seed))
		}
		stateOf := func(p *process, of cluster.Identity) func() cluster.State {
			return func() cluster.State {
				for _, n := range p.cluster.Nodes() {
					if n.Name == of.Name {
						return n.State
					}
				}
				return cluster.Suspect
			}
		}
		for _, p := range processes {
			Eventually(func() []cluster.Node { return p.cluster.Nodes() }).WithContext(ctx).Should(HaveLen(len(all)))
		}
		Expect(processes[1].cluster.Leave(ctx)).To(Succeed())
		Eventually(stateOf(processes[0], all[1])).WithContext(ctx).Should(Equal(cluster.Left))
		Eventually(stateOf(processes[2], all[1])).WithContext(ctx).Should(Equal(cluster.Left))

		processes[3].cluster.Close()
		Expect(processes[3].server.Close()).To(Succeed())
		Eventually(stateOf(processes[0], all[3])).WithContext(ctx).Should(Equal(cluster.Down))
		Eventually(stateOf(processes[2], all[3])).WithContext(ctx).Should(Equal(cluster.Down))
	}, SpecTimeout(specTimeout))

	It("stops waiting for confirmations when the context ends, and returns those that arrived", func(ctx SpecContext) {
		all := identities()
		first := start(all[0], all[0].Address)
		second := start(all[1], all[0].Address)
		Eventually(func() []cluster.Node { return first.cluster.Nodes() }).WithContext(ctx).Should(HaveLen(2))
		second.client.Close()
		Expect(second.server.Close()).To(Succeed())
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		confirmed, err := first.cluster.PublishConfirmed(cancelled, cluster.Entry{Key: "receiver/a", Value: []byte("x")})
		Expect(err).To(MatchError(context.Canceled))
		Expect(confirmed).To(BeEmpty())
	}, SpecTimeout(specTimeout))

	It("confirms an entry only after it is persisted, if a persist function is set", func(ctx SpecContext) {
		all := identities()
		first := start(all[0], all[0].Address)
		second := start(all[1], all[0].Address)
		Eventually(func() []cluster.Node { return first.cluster.Nodes() }).WithContext(ctx).Should(HaveLen(2))
		var persistCalls atomic.Int32
		second.cluster.SetPersistFunc(func(_ context.Context, key string, stamp cluster.Stamp) error {
			entry, known := second.cluster.Get(key)
			if !known || stamp.After(entry.Stamp) {
				return errors.New("persist called before the entry was in the table")
			}
			if persistCalls.Add(1) < 3 {
				return errors.New("the disk is busy")
			}
			return nil
		})
		confirmed, err := first.cluster.PublishConfirmed(ctx, cluster.Entry{Key: "receiver/a", Value: []byte("x")})
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed).To(HaveLen(1))
		Expect(persistCalls.Load()).To(BeEquivalentTo(3))
	}, SpecTimeout(specTimeout))
})
