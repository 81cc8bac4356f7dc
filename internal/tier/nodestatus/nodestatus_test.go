package nodestatus_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNodeStatus(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node status")
}

// serve starts a server with a mux and returns its address.
func serve(mux *transport.Mux) string {
	GinkgoHelper()
	server, err := transport.Listen("127.0.0.1:0", mux)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server.Address()
}

func newClient() *transport.Client {
	client := transport.NewClient()
	DeferCleanup(client.Close)
	return client
}

// commonStatus returns a status with all fields set that are common to the roles.
func commonStatus() nodestatus.Status {
	return nodestatus.Status{
		Name: "front-1", Role: "proxy", Zone: "a", Address: "127.0.0.1:7380", Incarnation: 1 << 60, UptimeMillis: 5,
		ConfigurationVersion: 1 << 40, Nodes: []nodestatus.NodeCounts{{Role: "proxy", Known: 3, Alive: 2}},
		Receivers: nodestatus.ReceiverCounts{Ready: 1, Draining: 2, Silent: 3, Gone: 4},
	}
}

var _ = Describe("the status of a process", func() {
	DescribeTable("arrives as it was collected",
		func(ctx SpecContext, setRole func(*nodestatus.Status)) {
			status := commonStatus()
			setRole(&status)
			mux := transport.NewMux()
			nodestatus.Register(mux, func(context.Context) (nodestatus.Status, error) { return status, nil })
			Expect(nodestatus.Fetch(ctx, newClient(), serve(mux))).To(Equal(status))
		},
		Entry("a proxy's", func(s *nodestatus.Status) {
			s.Proxy = &nodestatus.Proxy{Ready: true, InFlight: 7, Arrived: 900, Refused: 3}
		}, NodeTimeout(time.Minute)),
		Entry("a control plane's", func(s *nodestatus.Status) {
			s.Control = &nodestatus.Control{ID: 1 << 62, Member: true, Epoch: 4, Chain: []int64{1 << 62, 5}, StoreEpoch: 6,
				Members: []nodestatus.Member{{ID: 5, Name: "front-2", Address: "127.0.0.2:7381", Zone: "b"}}}
		}, NodeTimeout(time.Minute)),
		Entry("a store's", func(s *nodestatus.Status) {
			s.Store = &nodestatus.Store{ID: "s", Complete: true, Retiring: true, Member: true, Epoch: 2, Members: 3,
				Turns: 4, TurnBytes: 5, Programs: 6, Reservations: 7, RingBytes: 8, FreeBytes: 9}
		}, NodeTimeout(time.Minute)),
	)

	It("fails with a RemoteError if the process cannot collect it, or is of an older build", func(ctx SpecContext) {
		mux := transport.NewMux()
		nodestatus.Register(mux, func(context.Context) (nodestatus.Status, error) {
			return nodestatus.Status{}, errors.New("shutting down")
		})
		var remote *transport.RemoteError
		_, err := nodestatus.Fetch(ctx, newClient(), serve(mux))
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Reason).To(Equal("shutting down"))
		_, err = nodestatus.Fetch(ctx, newClient(), serve(transport.NewMux()))
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Reason).To(ContainSubstring("unknown method"))
	}, NodeTimeout(time.Minute))

	It("is waited for until the caller's context ends", func(ctx SpecContext) {
		collecting := make(chan struct{})
		mux := transport.NewMux()
		nodestatus.Register(mux, func(ctx context.Context) (nodestatus.Status, error) {
			close(collecting)
			<-ctx.Done()
			return nodestatus.Status{}, ctx.Err()
		})
		fetchCtx, cancel := context.WithCancel(ctx)
		go func() {
			<-collecting
			cancel()
		}()
		_, err := nodestatus.Fetch(fetchCtx, newClient(), serve(mux))
		Expect(err).To(MatchError(context.Canceled))
	}, NodeTimeout(time.Minute))

	It("counts the nodes and receivers of the cluster", func(ctx SpecContext) {
		mux := transport.NewMux()
		c, err := cluster.Start(cluster.Options{
			Self:   cluster.Identity{Name: "front-1", Role: cluster.Proxy, Zone: "a", Address: "127.0.0.1:1"},
			Client: newClient(), Mux: mux, Log: &log.Logger{Handler: discard.Default},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		for id, state := range map[string]records.ReceiverState{
			"i-1": records.ReceiverReady, "i-2": records.ReceiverReady, "i-3": records.ReceiverDraining,
			"i-4": records.ReceiverSilent, "i-5": records.ReceiverGone,
		} {
			value, err := records.ReceiverCodec.Encode(records.ReceiverRecord{ID: id, State: state})
			Expect(err).NotTo(HaveOccurred())
			c.Publish(cluster.Entry{Key: cluster.ReceiverPrefix + id, Value: value})
		}
		c.Publish(cluster.Entry{Key: cluster.ReceiverPrefix + "i-6", Value: []byte("no record")})
		c.Publish(cluster.Entry{Key: cluster.ConfigurationKey, Value: []byte("any"), Stamp: cluster.Stamp{Epoch: 14}})
		Eventually(ctx, func() int64 { return nodestatus.CommonStatus(c, time.Now()).ConfigurationVersion }).Should(Equal(int64(14)))
		status := nodestatus.CommonStatus(c, time.Now().Add(-time.Minute))
		Expect(status.Name).To(Equal("front-1"))
		Expect(status.Role).To(Equal("proxy"))
		Expect(status.Incarnation).To(Equal(int64(c.Self().Incarnation)))
		Expect(status.UptimeMillis).To(BeNumerically(">=", time.Minute.Milliseconds()))
		Expect(status.Receivers).To(Equal(nodestatus.ReceiverCounts{Ready: 2, Draining: 1, Silent: 1, Gone: 1}))
		Expect(status.Nodes).To(Equal([]nodestatus.NodeCounts{{Role: "proxy", Known: 1, Alive: 1}, {Role: "control"}, {Role: "store"}}))
	}, NodeTimeout(time.Minute))
})
