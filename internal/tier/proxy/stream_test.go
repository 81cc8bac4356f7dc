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
	It("forwards each event as it arrives", func() {
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

	It("is aborted where the receiver's stream breaks, with complete events only", func() {
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

	It("that breaks before its first event is answered with an error status", func() {
		p, f := startService("plain", 2, func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk("id: 1\nda")
			r.connection.Close()
		})
		Expect(p.do("POST /stream/x", "in").status).To(Equal(502))
		Expect(f.received()).To(HaveLen(1))
	})

	It("without events is completed", func() {
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			r.startStream()
			r.endStream()
		})
		got := p.do("POST /stream/x", "in")
		Expect(got.status).To(Equal(200))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(BeEmpty())
	})

	It("that stalls is aborted at the route's timeout, or answered with 504 before its first event", func() {
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

	It("request answered with an error gets a plain response", func() {
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) { r.respond(500, "own") })
		got := p.do("POST /stream/x", "in")
		Expect(got.status).To(Equal(500))
		Expect(got.body).To(Equal("own"))
	})
})

var _ = Describe("A resumable stream", func() {
	It("is resumed at another receiver after the last event, with the head of the first response", func() {
		p, f := startService("plain", 2, func(number int, r receivedRequest) {
			r.startStream()
			if number == 1 {
				r.chunk(event(5, "a") + event(6, "b") + "id: 7\ndata: lo")
				r.connection.Close()
				return
			}
			// Some receivers repeat the event named in Last-Event-Id.
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

	It("is started anew if no event was forwarded, with the head of the new response", func() {
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

	DescribeTable("is aborted if it cannot be resumed",
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
		Entry("the next receiver sends a Retry-After beyond the deadline", func(r receivedRequest) { r.refuse(503, "Retry-After: 50") }, 2),
	)

	It("is aborted if events without an id were forwarded", func() {
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

// shortAttemptDispatcher gives each attempt a shorter timeout than the request, as a dispatcher does that expects calls of
// an unknown kind to be as short as others.
type shortAttemptDispatcher struct{ dispatcher }

const attemptTimeout = 50 * time.Millisecond

func (d shortAttemptDispatcher) Submit(now dispatch.Instant, r dispatch.Request) dispatch.Effects {
	effects := d.dispatcher.Submit(now, r)
	for i := range effects.Sends {
		effects.Sends[i].Timeout = attemptTimeout
	}
	return effects
}

// useShortAttempts is a command that wraps the dispatcher in a shortAttemptDispatcher.
type useShortAttempts struct{}

func (useShortAttempts) apply(a *admission, now dispatch.Instant) dispatch.Effects {
	a.dispatcher = shortAttemptDispatcher{a.dispatcher}
	return a.dispatcher.Tick(now)
}

// Regression test from a soak: a proxy just started aborted streams that came event by event, as its attempt timeout was
// 15 times the mean of shorter calls.
var _ = Describe("A started response", func() {
	It("is bounded by the request's deadline, not by the attempt's timeout", func() {
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
