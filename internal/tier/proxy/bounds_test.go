package proxy

import (
	"context"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

// remainingMillis returns the time announced to the receiver in milliseconds.
func remainingMillis(r receivedRequest) int {
	GinkgoHelper()
	remaining, err := strconv.Atoi(r.request.Header.Get(headerDeadline))
	Expect(err).NotTo(HaveOccurred())
	return remaining
}

var _ = Describe("The deadline sent to a receiver", func() {
	DescribeTable("is the earlier of the client's and the route's", func(line, body string, clientDeadline string, maxMillis int) {
		p, f := startService("plain", 1, func(_ int, r receivedRequest) { r.respond(200, "good") })
		fields := []string{}
		if clientDeadline != "" {
			fields = append(fields, "Emberquay-Deadline-Ms: "+clientDeadline)
		}
		Expect(p.do(line, body, fields...).status).To(Equal(200))
		Expect(remainingMillis(f.received()[0])).To(BeNumerically("~", maxMillis-50, 50))
	},
		Entry("the client's, safe request", "GET /safe/x", "", "5000", 5000),
		Entry("the client's, unsafe request", "POST /unsafe/x", "body", "15000", 15000),
		Entry("the route's, without one from the client", "POST /unsafe/x", "body", "", 20000),
		Entry("the route's, where it is earlier", "POST /quick/x", "body", "5000", 300),
	)

	It("is the remaining time on each further attempt", func() {
		p, f := startService("plain", 1, func(number int, r receivedRequest) {
			if number == 1 {
				r.refuse(503, "Retry-After: 0.2") // delays the next attempt by this time
				return
			}
			r.respond(200, "good")
		})
		Expect(p.do("GET /safe/x", "", "Emberquay-Deadline-Ms: 15000").status).To(Equal(200))
		seen := f.received()
		Expect(remainingMillis(seen[1])).To(BeNumerically("<=", remainingMillis(seen[0])-190))
	})
})

var _ = Describe("A queued request", func() {
	It("is not sent once its client has gone", func() {
		requested, release := make(chan struct{}), make(chan struct{})
		f := startFleet("plain", 1, func(number int, r receivedRequest) {
			if number == 1 {
				close(requested)
				<-release
			}
			r.respond(200, "good")
		})
		p := startProxy(nil)
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		f.receivers[0].Slots = 1
		p.SetReceivers(f.receivers)
		first, second := p.dial(), p.dial()
		first.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		<-requested // one request is sent until the first response, so the second is queued
		second.send("GET /safe/y", "", "Emberquay-Request-Id: 2")
		inFlight := func() int {
			status, err := p.Status(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return status.InFlight
		}
		Eventually(inFlight).Should(Equal(2))
		second.Close()
		Eventually(inFlight).Should(Equal(1))
		close(release)
		Expect(first.result().status).To(Equal(200))
		Expect(p.do("GET /safe/z", "").status).To(Equal(200))
		Expect(f.received()).To(HaveLen(2))
	})
})

var _ = Describe("A receiver that is removed without draining first", func() {
	It("completes its requests and gets no new ones", func() {
		requested, release := make(chan struct{}), make(chan struct{})
		p, f := startService("plain", 1, func(_ int, r receivedRequest) {
			close(requested)
			<-release
			r.respond(200, "good")
		})
		c := p.dial()
		c.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 1")
		<-requested
		p.SetReceivers([]dispatch.Receiver{}) // as after its deregistration
		got := p.do("POST /quick/x", "body")
		Expect(got.status).To(Equal(503))
		close(release)
		result := c.result()
		Expect(result.status).To(Equal(200))
		Expect(result.body).To(Equal("good"))
		Expect(f.received()).To(HaveLen(1))
	})
})
