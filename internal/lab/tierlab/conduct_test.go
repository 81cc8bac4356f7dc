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

// struckReceiver serves as one of a service does, from the traffic's first instant on, under a strike of an hour.
func struckReceiver(service string, strike tierworld.ScheduledTrouble) (*lab, *httptest.Server) {
	strike.To, strike.Target = time.Hour, service
	l := newLab(Options{Day: Day{Strikes: tierworld.Schedule{strike}}}, &network{})
	DeferCleanup(l.launch.Close)
	l.trafficFrom.Store(1)
	r := l.newReceiver(l.shape.Receivers.ReceiverIndex(service, 0), service)
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	if r.model != nil {
		go r.model.run(ctx)
	}
	server := httptest.NewServer(r)
	DeferCleanup(server.Close)
	return l, server
}

// ask sends a request of ten tokens, which plain services do not look at.
func ask(ctx context.Context, server *httptest.Server) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/x", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set("Emberquay-Request-Id", "r1")
	q.Header.Set("Emberquay-Token-Usage", "10,9")
	return http.DefaultClient.Do(q)
}

var _ = DescribeTable("A receiver that is struck",
	func(ctx SpecContext, service string, strike tierworld.ScheduledTrouble, check func(l *lab, resp *http.Response, body error)) {
		l, server := struckReceiver(service, strike)
		resp, err := ask(ctx, server)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		server.Close() // its handlers have ended
		check(l, resp, err)
	},
	Entry("fails a plain request", tierworld.Alfa, tierworld.ScheduledTrouble{Kind: tierworld.Errors, Share: 1}, failsWhole),
	Entry("fails a stream", tierworld.Model, tierworld.ScheduledTrouble{Kind: tierworld.Errors, Share: 1}, failsWhole),
	Entry("loses the answer of a plain request", tierworld.Alfa, tierworld.ScheduledTrouble{Kind: tierworld.LoseAnswers, Share: 1}, breaksOff),
	Entry("loses the rest of a stream", tierworld.Model, tierworld.ScheduledTrouble{Kind: tierworld.LoseAnswers, Share: 1}, breaksOff),
)

// failsWhole: a 500 with the run's stamp, and the referee is told so.
func failsWhole(l *lab, resp *http.Response, err error) {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
	Expect(l.record.history.Runs).To(HaveLen(1))
	run := l.record.history.Runs[0]
	Expect(resp.Header.Get("Emberquay-Server-Stamp")).To(Equal(run.Stamp))
	Expect(run.Status).To(Equal(http.StatusInternalServerError))
	Expect(run.Complete).To(BeTrue())
}

// breaksOff: the connection ends early, and the referee is told that the receiver ended it.
func breaksOff(l *lab, _ *http.Response, err error) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(l.record.history.Runs).To(HaveLen(1))
	Expect(l.record.history.Runs[0].Aborted).To(BeTrue())
	Expect(l.record.history.Runs[0].Complete).To(BeFalse())
}

var _ = DescribeTable("A receiver that hangs holds a run until its client goes",
	func(ctx SpecContext, service string) {
		l, server := struckReceiver(service, tierworld.ScheduledTrouble{Kind: tierworld.Hang, Share: 1})
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
