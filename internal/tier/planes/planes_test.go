package planes_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/planes"
	"emberquay/internal/tier/settings"
	"emberquay/internal/tier/transport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlanes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "planes")
}

// newNode returns settings whose internal port for the kind is free.
func newNode(kind settings.ProcessKind) *settings.Node {
	GinkgoHelper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	return &settings.Node{Name: "one", IP: "127.0.0.1", Zone: "a", InternalPorts: [2]int{port - int(kind), port + 2}}
}

func newBase(node *settings.Node, kind settings.ProcessKind) *planes.Base {
	base := planes.NewBase(node, kind, &log.Logger{Handler: discard.Default})
	DeferCleanup(base.Close)
	return base
}

func noStatus(context.Context, *nodestatus.Status) error { return nil }

var _ = Describe("the common part of a plane", func() {
	It("serves metrics at the address of the settings until it is closed, and fails if that is in use", func() {
		node := newNode(settings.Store)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		node.Metrics = settings.MetricsEndpoint{Address: l.Addr().String(), Path: "/metrics"}
		base := newBase(node, settings.Store)
		Expect(base.Join()).To(Succeed())
		Expect(base.Serve(noStatus)).To(MatchError(ContainSubstring("metrics: listen")))
		Expect(l.Close()).To(Succeed())
		node = newNode(settings.Store)
		node.Metrics = settings.MetricsEndpoint{Address: l.Addr().String(), Path: "/metrics"}
		base = newBase(node, settings.Store)
		Expect(base.Join()).To(Succeed())
		Expect(base.Serve(noStatus)).To(Succeed())
		response, err := http.Get("http://" + node.Metrics.Address + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		base.Close()
		_, err = http.Get("http://" + node.Metrics.Address + "/metrics")
		Expect(err).To(HaveOccurred())
	})

	DescribeTable("joins with its role, and serves calls until it is disconnected",
		func(ctx SpecContext, kind settings.ProcessKind, role string) {
			node := newNode(kind)
			base := newBase(node, kind)
			Expect(base.Address).To(Equal(node.InternalAddress(kind)))
			Expect(base.Join()).To(Succeed())
			Expect(base.Serve(func(_ context.Context, s *nodestatus.Status) error {
				s.ConfigurationVersion = 9
				return nil
			})).To(Succeed())
			client := transport.NewClient()
			DeferCleanup(client.Close)
			status, err := nodestatus.Fetch(ctx, client, base.Address)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(And(HaveField("Name", "one"), HaveField("Role", role), HaveField("ConfigurationVersion", int64(9)),
				HaveField("Address", base.Address)))
			base.Disconnect()
			_, err = nodestatus.Fetch(ctx, client, base.Address)
			Expect(err).To(HaveOccurred())
		},
		Entry("proxy", settings.Proxy, "proxy", NodeTimeout(time.Minute)),
		Entry("control plane", settings.ControlPlane, "control", NodeTimeout(time.Minute)),
		Entry("store", settings.Store, "store", NodeTimeout(time.Minute)),
	)

	It("returns the error of a role that has no status", func(ctx SpecContext) {
		base := newBase(newNode(settings.Store), settings.Store)
		Expect(base.Join()).To(Succeed())
		Expect(base.Serve(func(context.Context, *nodestatus.Status) error { return errors.New("the store is closed") })).To(Succeed())
		_, err := nodestatus.Fetch(ctx, base.Client, base.Address)
		Expect(err).To(MatchError(ContainSubstring("the store is closed")))
	}, NodeTimeout(time.Minute))

	It("cannot serve at an address in use, and can be closed at any point", func() {
		node := newNode(settings.Proxy)
		first := newBase(node, settings.Proxy)
		Expect(first.Join()).To(Succeed())
		Expect(first.Serve(noStatus)).To(Succeed())
		second := newBase(node, settings.Proxy)
		Expect(second.Join()).To(Succeed())
		Expect(second.Serve(noStatus)).To(MatchError(ContainSubstring(second.Address)))
		second.Close()
		newBase(node, settings.Proxy).Close()
	})

	It("leaves within the caller's context", func() {
		base := newBase(newNode(settings.Proxy), settings.Proxy)
		Expect(base.Join()).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		base.Leave(ctx)
		Expect(base.Uptime()).To(BeNumerically(">=", 0))
	})
})
