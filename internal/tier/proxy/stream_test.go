package proxy

import (
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

var _ = Describe("A stream", func() {
	It("passes each event on as it arrives", func() {
		read := make(chan struct{})
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk(event(1, "a"))
			<-read
			r.chunk(event(2, "b"))
			<-read
			r.chunk("versions: 3\n" + event(3, "c") + event(4, "d"))
			r.endStream()
		})
		c := p.dial()
		c.send("POST /stream/x", "in", "Emberquay-Request-Id: 1")
		response := c.readHead()
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Header.Get(headerStamp)).To(Equal("stamp-plain-1"))
		Expect(response.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		for number, data := range []string{"a", "b"} {
			wanted := event(number+1, data)
			got := make([]byte, len(wanted))
			_, err := io.ReadFull(response.Body, got)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal(wanted))
			read <- struct{}{}
		}
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("versions: 3\n" + event(3, "c") + event(4, "d")))
	})

	It("ends as a cut where its receiver cuts it, with whole events only", func() {
		p, f := startService("plain", 2, func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk(event(1, "a") + event(2, "b") + "id: 3\nda")
			r.connection.Close()
		})
		got := p.do("POST /stream/x", "in")
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal(event(1, "a") + event(2, "b")))
		Expect(got.err).To(HaveOccurred())
		Expect(f.received()).To(HaveLen(1))
	})

	It("that breaks before its first event is a failure, not a cut", func() {
		p, f := startService("plain", 2, func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk("id: 1\nda")
			r.connection.Close()
		})
		Expect(p.do("POST /stream/x", "in").status).To(Equal(502))
		Expect(f.received()).To(HaveLen(1))
	})

	It("without events ends whole", func() {
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			r.startStream()
			r.endStream()
		})
		got := p.do("POST /stream/x", "in")
		Expect(got.status).To(Equal(200))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(BeEmpty())
	})

	It("that falls silent is cut at the route's time-out, and not before its first event", func() {
		release := make(chan struct{})
		p, _ := startService("plain", 1, func(number int, r receivedRequest) {
			r.startStream()
			if number == 1 {
				r.chunk(event(1, "a"))
			}
			<-release
		})
		got := p.do("POST /short/x", "in")
		Expect(got.body).To(Equal(event(1, "a")))
		Expect(got.err).To(HaveOccurred())
		Expect(p.do("POST /short/x", "in").status).To(Equal(504))
		close(release)
	})

	It("of a receiver's failure is a plain answer", func() {
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) { r.respond(500, "own") })
		got := p.do("POST /stream/x", "in")
		Expect(got.status).To(Equal(500))
		Expect(got.body).To(Equal("own"))
	})
})

var _ = Describe("A stream that may be resumed", func() {
	It("goes on at another receiver behind the last event, under the first one's head", func() {
		p, f := startService("plain", 2, func(number int, r receivedRequest) {
			r.startStream()
			if number == 1 {
				r.chunk(event(5, "a") + event(6, "b") + "id: 7\ndata: lo")
				r.connection.Close()
				return
			}
			// Some begin with what they were told is known.
			r.chunk(event(6, "b") + event(7, "c"))
			r.chunk(event(8, "d"))
			r.endStream()
		})
		got := p.do("POST /resume/x", "in", "Last-Event-Id: 4")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(event(5, "a") + event(6, "b") + event(7, "c") + event(8, "d")))
		seen := f.received()
		Expect(seen).To(HaveLen(2))
		Expect(seen[0].request.Header.Get(headerLastEvent)).To(Equal("4"))
		Expect(seen[1].request.Header.Get(headerLastEvent)).To(Equal("6"))
		Expect(seen[1].body).To(Equal("in"))
		Expect(seen[0].instance).NotTo(Equal(seen[1].instance))
		Expect(got.header.Get(headerStamp)).To(Equal("stamp-" + seen[0].instance))
	})

	It("begins anew where no event had gone out, under the new receiver's head", func() {
		p, f := startService("plain", 2, func(number int, r receivedRequest) {
			if number == 1 {
				r.startStream()
				r.chunk("id: 1\nda")
				r.connection.Close()
				return
			}
			r.startStream()
			r.chunk(event(1, "a"))
			r.endStream()
		})
		got := p.do("POST /resume/x", "in")
		Expect(got.body).To(Equal(event(1, "a")))
		seen := f.received()
		Expect(got.header.Get(headerStamp)).To(Equal("stamp-" + seen[1].instance))
		Expect(seen[1].request.Header).NotTo(HaveKey(headerLastEvent))
	})

	DescribeTable("is cut where it cannot go on",
		func(second func(receivedRequest), attempts int) {
			p, f := startService("plain", 2, func(number int, r receivedRequest) {
				if number == 1 {
					r.startStream()
					r.chunk(event(1, "a"))
					r.connection.Close()
					return
				}
				second(r)
			})
			got := p.do("POST /resume/x", "in")
			Expect(got.status).To(Equal(200))
			Expect(got.body).To(Equal(event(1, "a")))
			Expect(got.err).To(HaveOccurred())
			Expect(len(f.received())).To(Equal(attempts))
		},
		Entry("the next receiver fails", func(r receivedRequest) { r.respond(500, "own") }, 2),
		Entry("the next receiver tells a wait beyond the deadline", func(r receivedRequest) { r.refuse(503, "Retry-After: 50") }, 2),
	)

	It("is cut where events went out that have no id", func() {
		p, f := startService("plain", 2, func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk(event(1, "a") + "data: b\n\n")
			r.connection.Close()
		})
		got := p.do("POST /resume/x", "in")
		Expect(got.err).To(HaveOccurred())
		Expect(f.received()).To(HaveLen(1))
	})
})

// shortAttemptDispatcher bounds each attempt more tightly than the request: as a dispatcher does that takes calls of a kind that it has
// not seen yet for as short as others.
type shortAttemptDispatcher struct{ dispatcher }

const attemptTimeout = 50 * time.Millisecond

func (d shortAttemptDispatcher) Arrive(now dispatch.Instant, r dispatch.Request) dispatch.Effects {
	effects := d.dispatcher.Arrive(now, r)
	for i := range effects.Sends {
		effects.Sends[i].Timeout = attemptTimeout
	}
	return effects
}

// useShortAttempts puts it in, from the goroutine that owns the dispatcher.
type useShortAttempts struct{}

func (useShortAttempts) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	a.dispatcher = shortAttemptDispatcher{a.dispatcher}
	return a.dispatcher.Tick(now)
}

// The soak's finding: a proxy that had just started broke off streams that came event by event, as its bound for an attempt
// was 15 times the mean of shorter calls.
var _ = Describe("An answer that has begun", func() {
	It("has the whole time of its request, not that of an attempt", func() {
		release := make(chan struct{})
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk(event(1, "a"))
			<-release
			r.chunk(event(2, "b"))
			r.endStream()
		})
		releaseOnce := sync.OnceFunc(func() { close(release) })
		DeferCleanup(releaseOnce)
		p.admission.enqueue(useShortAttempts{})
		c := p.dial()
		c.send("POST /resume/x", "body", "Emberquay-Request-Id: 1")
		response := c.readHead()
		pastTimeout := time.Now().Add(2 * attemptTimeout)
		Eventually(func() bool { return time.Now().After(pastTimeout) }).Should(BeTrue())
		releaseOnce()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(event(1, "a") + event(2, "b")))
	})
})
