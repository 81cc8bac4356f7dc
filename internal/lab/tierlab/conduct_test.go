package tierlab

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/tierworld"
)

// newFaultyReceiver serves as a receiver of a service under a fault that lasts an hour from the start of the traffic.
func newFaultyReceiver(service string, fault tierworld.ScheduledTrouble) (*lab, *httptest.Server) {
	fault.To, fault.Target = time.Hour, service
	l := newLab(Options{Scenario: Scenario{Faults: tierworld.Schedule{fault}}}, &network{})
	DeferCleanup(l.launcher.Close)
	l.trafficStart.Store(1)
	r := l.newReceiver(l.world.Receivers.ReceiverIndex(service, 0), service)
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	if r.model != nil {
		go r.model.run(ctx)
	}
	server := httptest.NewServer(r)
	DeferCleanup(server.Close)
	return l, server
}

// ask sends a request of ten tokens; plain services ignore the count.
func ask(ctx context.Context, server *httptest.Server) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/x", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Emberquay-Request-Id", "r1")
	req.Header.Set("Emberquay-Token-Usage", "10,9")
	return http.DefaultClient.Do(req)
}

var _ = DescribeTable("A receiver under a scheduled fault",
	func(ctx SpecContext, service string, strike tierworld.ScheduledTrouble, check func(l *lab, resp *http.Response, body error)) {
		l, server := newFaultyReceiver(service, strike)
		resp, err := ask(ctx, server)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		server.Close() // waits for its handlers
		check(l, resp, err)
	},
	Entry("fails a plain request", tierworld.Alfa, tierworld.ScheduledTrouble{Kind: tierworld.Errors, Share: 1}, expectCompleteFailure),
	Entry("fails a stream", tierworld.Model, tierworld.ScheduledTrouble{Kind: tierworld.Errors, Share: 1}, expectCompleteFailure),
	Entry("drops the answer of a plain request", tierworld.Alfa, tierworld.ScheduledTrouble{Kind: tierworld.LoseAnswers, Share: 1}, expectAbort),
	Entry("drops the rest of a stream", tierworld.Model, tierworld.ScheduledTrouble{Kind: tierworld.LoseAnswers, Share: 1}, expectAbort),
)

// expectCompleteFailure expects a complete 500 with the run's stamp, recorded as such for the referee.
func expectCompleteFailure(l *lab, resp *http.Response, err error) {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
	Expect(l.record.history.Runs).To(HaveLen(1))
	run := l.record.history.Runs[0]
	Expect(resp.Header.Get("Emberquay-Server-Stamp")).To(Equal(run.Stamp))
	Expect(run.Status).To(Equal(http.StatusInternalServerError))
	Expect(run.Complete).To(BeTrue())
}

// expectAbort expects that the connection ends early, recorded for the referee as aborted by the receiver.
func expectAbort(l *lab, _ *http.Response, err error) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(l.record.history.Runs).To(HaveLen(1))
	Expect(l.record.history.Runs[0].Aborted).To(BeTrue())
	Expect(l.record.history.Runs[0].Complete).To(BeFalse())
}

var _ = DescribeTable("A hanging receiver holds a run until its client disconnects",
	func(ctx SpecContext, service string) {
		l, server := newFaultyReceiver(service, tierworld.ScheduledTrouble{Kind: tierworld.Hang, Share: 1})
		client, leave := context.WithCancel(ctx)
		ended := make(chan error)
		go func() {
			resp, err := ask(client, server)
			if err == nil {
				resp.Body.Close()
			}
			ended <- err
		}()
		Eventually(func() int {
			l.record.mu.Lock()
			defer l.record.mu.Unlock()
			return len(l.record.history.Runs)
		}).WithContext(ctx).Should(Equal(1))
		leave()
		Expect(<-ended).To(MatchError(context.Canceled))
		server.Close()
		Expect(l.record.history.Runs[0].Complete).To(BeFalse())
	},
	Entry("a plain request", tierworld.Beta),
	Entry("a stream", tierworld.Model),
)
