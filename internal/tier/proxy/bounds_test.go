package proxy

import (
	"context"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

// remainingMillis is the time that a receiver was handed, in milliseconds.
func remainingMillis(r receivedRequest) int {
	GinkgoHelper()
	remaining, err := strconv.Atoi(r.request.Header.Get(headerDeadline))
	Expect(err).NotTo(HaveOccurred())
	return remaining
}

var _ = Describe("A receiver is handed no more time than is left", func() {
	DescribeTable("by the client's word or the route's", func(line, body string, client string, most int) {
		p, f := startService("plain", 1, func(_ int, r receivedRequest) { r.respond(200, "good") })
		fields := []string{}
		if client != "" {
			fields = append(fields, "Emberquay-Deadline-Ms: "+client)
		}
		Expect(p.do(line, body, fields...).status).To(Equal(200))
		Expect(remainingMillis(f.received()[0])).To(BeNumerically("~", most-50, 50))
	},
		Entry("the client's, safe", "GET /safe/x", "", "5000", 5000),
		Entry("the client's, unsafe", "POST /unsafe/x", "body", "15000", 15000),
		Entry("the route's, where the client names none", "POST /unsafe/x", "body", "", 20000),
		Entry("the route's, where it is sooner", "POST /quick/x", "body", "5000", 300),
	)

	It("on each further attempt as well", func() {
		p, f := startService("plain", 1, func(number int, r receivedRequest) {
			if number == 1 {
				r.refuse(503, "Retry-After: 0.2") // so the next attempt comes that much later
				return
			}
			r.respond(200, "good")
		})
		Expect(p.do("GET /safe/x", "", "Emberquay-Deadline-Ms: 15000").status).To(Equal(200))
		seen := f.received()
		Expect(remainingMillis(seen[1])).To(BeNumerically("<=", remainingMillis(seen[0])-190))
	})
})

var _ = Describe("A request that waits for a receiver", func() {
	It("reaches none once its client has gone", func() {
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
		<-requested // until the first answer one is out, so the second is held
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

var _ = Describe("A receiver that leaves without draining first", func() {
	It("serves what it has, and gets nothing new", func() {
		requested, release := make(chan struct{}), make(chan struct{})
		p, f := startService("plain", 1, func(_ int, r receivedRequest) {
			close(requested)
			<-release
			r.respond(200, "good")
		})
		c := p.dial()
		c.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 1")
		<-requested
		p.SetReceivers([]dispatch.Receiver{}) // as after its word of leaving
		got := p.do("POST /quick/x", "body")
		Expect(got.status).To(Equal(503))
		close(release)
		result := c.result()
		Expect(result.status).To(Equal(200))
		Expect(result.body).To(Equal("good"))
		Expect(f.received()).To(HaveLen(1))
	})
})
