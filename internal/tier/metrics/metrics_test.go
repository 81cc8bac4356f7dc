package metrics_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"

	"emberquay/internal/tier/metrics"
	"emberquay/internal/tier/nodestatus"
	"emberquay/internal/tier/settings"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

// freeAddress returns an address that nobody listens on.
func freeAddress() string {
	GinkgoHelper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func serve(config settings.MetricsEndpoint, status nodestatus.Status, collectErr error) error {
	server, err := metrics.Serve(config, func(context.Context) (nodestatus.Status, error) { return status, collectErr }, &log.Logger{Handler: discard.Default})
	DeferCleanup(server.Close)
	return err
}

// scrape serves a status and returns the text of its metrics.
func scrape(status nodestatus.Status, collectErr error) string {
	GinkgoHelper()
	config := settings.MetricsEndpoint{Address: freeAddress(), Path: "/figures"}
	Expect(serve(config, status, collectErr)).To(Succeed())
	response, err := http.Get("http://" + config.Address + config.Path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// allRoles returns a status with the parts of all roles; a process has only one of them.
func allRoles() nodestatus.Status {
	return nodestatus.Status{
		Name: "front-1", UptimeMillis: 2500, ConfigurationVersion: 14, Nodes: []nodestatus.NodeCounts{{Role: "proxy", Known: 5, Alive: 4}},
		Receivers: nodestatus.ReceiverCounts{Ready: 8, Draining: 1},
		Control: &nodestatus.Control{Member: true, Epoch: 3, Members: make([]nodestatus.Member, 4), Chain: []int64{1, 2, 3}, StoreEpoch: 2,
			StoreRedundancy: &nodestatus.StoreRedundancy{ToleratedLosses: 1, DegradedTime: 1500 * time.Millisecond}},
		Store: &nodestatus.Store{Complete: true, Turns: 7, TurnBytes: 900, RingBytes: 4000, FreeBytes: 3000},
		Proxy: &nodestatus.Proxy{Ready: true, InFlight: 3, Arrived: 450, Admission: &nodestatus.AdmissionStats{
			Refusals: []nodestatus.RefusalCount{{Reason: "too_late", Count: 6}}, Attempts: 470, Queued: 2, Allowance: 31, ShutdownPhase: 1,
		}},
	}
}

var _ = Describe("the metrics of a process", func() {
	It("are served at the address and path of the settings", func() {
		text := scrape(allRoles(), nil)
		for _, line := range []string{
			"emberquay_up 1", "emberquay_uptime_seconds 2.5", "emberquay_configuration_version 14", "emberquay_timer_lateness_seconds 0.025",
			`emberquay_nodes{role="proxy",state="alive"} 4`, `emberquay_nodes{role="proxy",state="gone"} 1`, `emberquay_receivers{state="ready"} 8`,
			"emberquay_control_view_members 4", "emberquay_control_chain_length 3", "emberquay_control_store_losses_tolerated 1", "emberquay_control_store_losses_degraded_seconds 1.5", "emberquay_store_turn_bytes 900", "emberquay_store_complete 1",
			"emberquay_proxy_requests_total 450", `emberquay_proxy_refusals_total{reason="too_late"} 6`, "emberquay_proxy_attempts_total 470",
			"emberquay_proxy_queue_length 2", "emberquay_proxy_allowance 31", "emberquay_proxy_stop_phase 1", "go_goroutines ",
		} {
			Expect(text).To(ContainSubstring("\n" + line))
		}
	})

	It("follow the naming rules of Prometheus", func() {
		problems, err := promlint.New(strings.NewReader(scrape(allRoles(), nil))).Lint()
		Expect(err).NotTo(HaveOccurred())
		Expect(problems).To(BeEmpty())
	})

	It("have labels of few values only", func() {
		names := map[string]bool{}
		for _, match := range regexp.MustCompile(`emberquay_\w+{([^}]*)}`).FindAllStringSubmatch(scrape(allRoles(), nil), -1) {
			for _, label := range strings.Split(match[1], ",") {
				name, _, _ := strings.Cut(label, "=")
				names[name] = true
			}
		}
		Expect(names).To(HaveLen(3))
		Expect(names).To(And(HaveKey("role"), HaveKey("state"), HaveKey("reason")))
	})

	It("show that the status could not be collected", func() {
		text := scrape(nodestatus.Status{}, errors.New("stopped"))
		Expect(text).To(ContainSubstring("\nemberquay_up 0"))
		Expect(text).NotTo(ContainSubstring("emberquay_uptime"))
	})

	It("are served at no other path, and not at all without an address in the settings", func() {
		Expect(serve(settings.MetricsEndpoint{}, allRoles(), nil)).To(Succeed())
		config := settings.MetricsEndpoint{Address: freeAddress(), Path: "/figures"}
		Expect(serve(config, allRoles(), nil)).To(Succeed())
		response, err := http.Get("http://" + config.Address + "/")
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("can be closed at once, also while the server starts", func() {
		for range 100 {
			config := settings.MetricsEndpoint{Address: freeAddress(), Path: "/"}
			server, err := metrics.Serve(config, func(context.Context) (nodestatus.Status, error) { return nodestatus.Status{}, nil }, &log.Logger{Handler: discard.Default})
			Expect(err).NotTo(HaveOccurred())
			server.Close()
			server.Close()
		}
	})

	It("need an address that is free", func() {
		config := settings.MetricsEndpoint{Address: freeAddress(), Path: "/"}
		Expect(serve(config, allRoles(), nil)).To(Succeed())
		Expect(serve(config, allRoles(), nil)).To(MatchError(ContainSubstring("metrics: listen")))
	})
})
