package proxy

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

var _ = Describe("The status of a proxy", func() {
	statusOf := func(p *testProxy) Status {
		GinkgoHelper()
		status, err := p.Status(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return status
	}

	It("has the configuration, readiness and the requests in flight", func() {
		requested, release := make(chan struct{}), make(chan struct{})
		releaseOnce := sync.OnceFunc(func() { close(release) })
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			close(requested)
			<-release
			r.respond(200, "done")
		})
		DeferCleanup(releaseOnce) // runs before the cleanup of the receivers, which waits for their responses
		p.SetReady(true)
		c := p.dial()
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		<-requested
		Expect(statusOf(p)).To(Equal(Status{Configuration: 1, Ready: true, InFlight: 1, Arrived: 1,
			Admission: AdmissionCounters{Attempts: 1}, Dispatch: dispatch.Stats{InFlight: 1, Receivers: 1}})) // one request is sent until the first response
		releaseOnce()
		Expect(c.result().status).To(Equal(200))
		Eventually(func() int { return statusOf(p).InFlight }).Should(BeZero())
	})

	It("counts the requests submitted to admission, also without a receiver", func() {
		p := startProxy(nil)
		Expect(statusOf(p)).To(Equal(Status{}))
		p.SetConfiguration(newConfiguration(3, defaultLimits))
		Expect(p.do("GET /quick/x", "").status).To(Equal(503)) // there is no receiver
		status := statusOf(p)
		Expect(status.Arrived).To(Equal(uint64(1)))
		Expect(status.Configuration).To(Equal(uint64(3)))
	})

	It("counts each refusal once", func() {
		d := &scriptedDispatcher{}
		a := newAdmission(d)
		go a.run()
		DeferCleanup(a.stop)
		for range 3 {
			t := a.submit(dispatch.Request{})
			a.attemptEnded((<-t.decisions).send, dispatch.Outcome{Kind: dispatch.Full})
			<-t.decisions
		}
		state, err := a.state(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(state.counts).To(Equal(AdmissionCounters{Attempts: 3, Refused: [dispatch.ReasonCount]uint64{dispatch.Unrepeatable: 3}}))
	})

	It("is not available once the context has ended or the proxy has stopped", func() {
		a := newAdmission(&scriptedDispatcher{})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := a.state(ctx)
		Expect(err).To(MatchError(context.Canceled))
		a.stop()
		_, err = a.state(context.Background())
		Expect(err).To(MatchError(ErrStopped))
	})
})
