package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// readinessOf asks as the platform does.
func readinessOf(p *plane, path string) int {
	connection, err := net.Dial("tcp", p.Proxy.readiness.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path)
	answer, err := io.ReadAll(connection)
	Expect(err).NotTo(HaveOccurred())
	var status int
	_, err = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	Expect(err).NotTo(HaveOccurred())
	return status
}

var _ = Describe("Readiness", func() {
	It("is what the plane was told", func() {
		p := startPlane(nil)
		Expect(readinessOf(p, "/api/readiness")).To(Equal(503))
		p.SetReady(true)
		Expect(readinessOf(p, "/api/readiness")).To(Equal(200))
		Expect(readinessOf(p, "/other")).To(Equal(404))
		p.SetReady(false)
		Expect(readinessOf(p, "/api/readiness")).To(Equal(503))
	})
})

// dialError says why a client cannot connect; nil: it can.
func (p *plane) dialError() error {
	connection, err := net.Dial("tcp", p.Proxy.front.listener.Addr().String())
	if err == nil {
		connection.Close()
	}
	return err
}

// ample is waited at most for what comes at once.
const ample = 10 * time.Second

const lateRequest = "POST /stream/late HTTP/1.1\r\nHost: " + host + "\r\nEmberquay-Request-Id: 3\r\nContent-Length: 0\r\n\r\n"

// bringLate sends a request on a connection that may be closed by now.
func bringLate(c *client) { io.WriteString(c, lateRequest) }

var _ = Describe("Shutdown", func() {
	It("serves what was read and what still comes, then ends", func() {
		asked, release := make(chan struct{}, 2), make(chan struct{})
		f := startFleet("plain", 1, func(_ int, r received) {
			if r.head.RequestURI == "/unsafe/slow" {
				asked <- struct{}{}
				<-release
			}
			r.answer(200, "done")
		})
		notice := make(chan struct{})
		p := startPlane(func(o *Options) { o.ShutdownDelay, o.notice = time.Hour, notice })
		finish := sync.OnceFunc(func() { close(release) })
		DeferCleanup(finish)
		p.SetConfiguration(configuration(1, usualLimits))
		p.SetReceivers(f.listed)
		p.SetReady(true)

		slow, idle := p.dial(), p.dial()
		idle.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		Expect(idle.result().status).To(Equal(200))
		slow.send("POST /unsafe/slow", "body", "Emberquay-Request-Id: 2")
		<-asked

		ended := make(chan struct{})
		go func() {
			p.Shutdown(context.Background(), time.Now())
			close(ended)
		}()
		Eventually(func() int { return readinessOf(p, "/api/readiness") }).Should(Equal(503))
		// The front still takes connections, and asks them to leave.
		c := p.dial()
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 3")
		response := c.head()
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Close).To(BeTrue())

		close(notice)
		Eventually(p.dialError).Should(HaveOccurred())
		// A connection at rest is closed, with what is in hand served on.
		idle.SetReadDeadline(time.Now().Add(ample))
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		Expect(ended).NotTo(BeClosed())

		finish()
		got := slow.result()
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("done"))
		Expect(got.err).NotTo(HaveOccurred())
		<-ended
		Expect(<-p.ended).NotTo(HaveOccurred())
		_, err = slow.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	It("closes a connection whose answer had begun before, when that has ended", func() {
		release := make(chan struct{})
		p, _ := startService("plain", 1, func(_ int, r received) {
			r.beginStream()
			r.chunk(event(1, "a"))
			<-release
			r.endStream()
		})
		finish := sync.OnceFunc(func() { close(release) })
		DeferCleanup(finish)
		c := p.dial()
		c.send("POST /stream/x", "body", "Emberquay-Request-Id: 1")
		response := c.head()
		Expect(response.Close).To(BeFalse())
		ended := make(chan struct{})
		go func() {
			p.Shutdown(context.Background(), time.Now())
			close(ended)
		}()
		Eventually(func() bool { p.clients.mu.Lock(); defer p.clients.mu.Unlock(); return p.clients.retiring }).Should(BeTrue())
		finish()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(event(1, "a")))
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		<-ended
	})

	// The incident of a request that was taken 6.7 s after SIGTERM: while something is in hand, a connection that was open
	// before brings one more, and the end of the grace cuts it.
	DescribeTable("passes nothing on after the notice that its end would cut",
		func(before func(*plane, *client), bring func(*client)) {
			held, late := make(chan struct{}, 1), make(chan struct{}, 1)
			release := make(chan struct{})
			f := startFleet("plain", 2, func(_ int, r received) {
				switch r.head.RequestURI {
				case "/unsafe/held":
					held <- struct{}{}
					<-release
				case "/stream/late":
					r.beginStream()
					r.chunk(event(1, "a"))
					late <- struct{}{}
					<-release
				}
				r.answer(200, "done")
			})
			DeferCleanup(func() { close(release) })
			notice := make(chan struct{})
			p := startPlane(func(o *Options) { o.ShutdownDelay, o.notice = time.Hour, notice })
			p.SetConfiguration(configuration(1, usualLimits))
			p.SetReceivers(f.listed)
			p.SetReady(true)
			c, holding := p.dial(), p.dial()
			before(p, c)
			holding.send("POST /unsafe/held", "body", "Emberquay-Request-Id: 1")
			<-held

			over, end := context.WithTimeout(context.Background(), 15*time.Second) // less than a route's time-out
			defer end()
			go p.Shutdown(over, time.Now())
			Eventually(func() int { return readinessOf(p, "/api/readiness") }).Should(Equal(503))
			close(notice)
			Eventually(p.dialError).Should(HaveOccurred())

			answered := make(chan error, 1)
			go func() {
				bring(c)
				response, err := http.ReadResponse(c.reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				answered <- err
			}()
			select {
			case <-late:
				end()
				Expect(<-answered).NotTo(HaveOccurred(), "passed on and cut")
			case <-answered: // refused, or closed with nothing passed on
			}
		},
		Entry("on a connection at rest since before the signal", func(_ *plane, c *client) {
			c.send("GET /safe/x", "", "Emberquay-Request-Id: 2")
			Expect(c.result().status).To(Equal(200))
		}, bringLate),
		Entry("on a connection that was opened and brought nothing yet", func(p *plane, _ *client) {
			Eventually(func() int { return p.clients.count().atRest }).Should(Equal(2))
		}, bringLate),
		Entry("of which the first bytes had come", func(p *plane, c *client) {
			io.WriteString(c, lateRequest[:20])
			Eventually(p.clients.requestsInHand).Should(Equal(1))
		}, func(c *client) { io.WriteString(c, lateRequest[20:]) }),
	)

	// A stop may be begun late: behind the start, or on a machine without processor time.
	It("counts its notice from the signal, whenever it is begun", func() {
		p := startPlane(func(o *Options) { o.ShutdownDelay = time.Hour })
		asked, release := make(chan struct{}), make(chan struct{})
		f := startFleet("plain", 1, func(_ int, r received) {
			close(asked)
			<-release
			r.answer(200, "done")
		})
		DeferCleanup(sync.OnceFunc(func() { close(release) }))
		p.SetConfiguration(configuration(1, usualLimits))
		p.SetReceivers(f.listed)
		holding := p.dial()
		holding.send("POST /unsafe/held", "body", "Emberquay-Request-Id: 1")
		<-asked
		over, end := context.WithTimeout(context.Background(), ample)
		defer end()
		go p.Shutdown(over, time.Now().Add(-2*time.Hour))
		Eventually(p.dialError).Should(HaveOccurred())
	})

	It("refuses what it has no time for once the notice is over, and serves what has time", func() {
		asked, release := make(chan struct{}, 1), make(chan struct{})
		f := startFleet("plain", 2, func(_ int, r received) {
			if r.head.RequestURI == "/unsafe/held" {
				asked <- struct{}{}
				<-release
			}
			r.answer(200, "done")
		})
		finish := sync.OnceFunc(func() { close(release) })
		DeferCleanup(finish)
		p := startPlane(nil)
		p.SetConfiguration(configuration(1, usualLimits))
		p.SetReceivers(f.listed)
		holding, long, short := p.dial(), p.dial(), p.dial()
		holding.send("POST /unsafe/held", "body", "Emberquay-Request-Id: 1")
		<-asked
		// Their first bytes have come before the connections at rest are closed.
		io.WriteString(long, "POST ")
		io.WriteString(short, "POST ")
		Eventually(p.clients.requestsInHand).Should(Equal(3))
		over, end := context.WithTimeout(context.Background(), 15*time.Second) // less than a route's time-out
		defer end()
		go p.Shutdown(over, time.Now())
		Eventually(func() bool { stop := p.stop.Load(); return stop != nil && !time.Now().Before(stop.noticeOver) }).Should(BeTrue())
		rest := "/unsafe/x HTTP/1.1\r\nHost: " + host + "\r\nEmberquay-Request-Id: %d\r\nEmberquay-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx"
		fmt.Fprintf(long, rest, 2, 20000)
		refused := long.result()
		Expect(refused.status).To(Equal(503))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		fmt.Fprintf(short, rest, 3, 9000)
		Expect(short.result().status).To(Equal(200))
		Expect(f.seen()).To(HaveLen(2))
		finish()
		Expect(holding.result().status).To(Equal(200))
	})

	// What a stop gives up gets an answer where one can still be given: a connection that is closed says nothing of whether
	// the request has run, and a client whose order has not run would not come again.
	It("ends with its time and answers what is in hand", func() {
		asked, release := make(chan struct{}, 2), make(chan struct{})
		f := startFleet("plain", 1, func(_ int, r received) {
			if r.head.RequestURI == "/stream/x" {
				r.beginStream()
				r.chunk(event(1, "a"))
			}
			asked <- struct{}{}
			<-release
		})
		DeferCleanup(func() { close(release) })
		p := startPlane(nil)
		p.SetConfiguration(configuration(1, usualLimits))
		f.listed[0].Slots = 2
		p.SetReceivers(f.listed)
		stream, out, held := p.dial(), p.dial(), p.dial()
		stream.send("POST /stream/x", "body", "Emberquay-Request-Id: 1")
		<-asked
		begun := stream.head()
		out.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 2")
		<-asked
		held.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 3")
		Eventually(func() uint64 { return p.admission.issued.Load() }).Should(Equal(uint64(3)))

		over, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(over, time.Now())
		Expect(<-p.ended).NotTo(HaveOccurred())
		_, err := io.ReadAll(begun.Body)
		Expect(err).To(HaveOccurred(), "a stream that is cut must not look complete")
		Expect(out.result().status).To(Equal(504), "it may have run")
		refused := held.result()
		Expect(refused.status).To(Equal(503), "it has not run")
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.seen()).To(HaveLen(2))
		Expect(p.logs.Entries).NotTo(BeEmpty())
	})

	It("may be asked for twice", func() {
		p := startPlane(nil)
		over, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(over, time.Now())
		p.Shutdown(over, time.Now())
		Expect(<-p.ended).NotTo(HaveOccurred())
	})
})

var _ = Describe("A client's connection", func() {
	It("past the cap is closed with nothing read", func() {
		f := startFleet("plain", 1, echo)
		p := startPlane(func(o *Options) { o.MaxClientConnections = 1 })
		p.SetConfiguration(configuration(1, usualLimits))
		p.SetReceivers(f.listed)
		first := p.dial()
		first.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		Expect(first.result().status).To(Equal(200))
		second := p.dial()
		_, err := second.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		first.send("GET /safe/x", "", "Emberquay-Request-Id: 2")
		Expect(first.result().status).To(Equal(200))
	})

	It("of HTTP/1.0 is not served: a cut answer would look complete", func() {
		p, _ := startService("plain", 1, unused)
		c := p.dial()
		fmt.Fprintf(c, "GET /safe/x HTTP/1.0\r\nHost: %s\r\nEmberquay-Request-Id: 1\r\n\r\n", host)
		Expect(c.result().status).To(Equal(505))
	})

	It("serves requests that were sent one behind the other", func() {
		p, _ := startService("plain", 1, echo)
		c := p.dial()
		c.send("POST /unsafe/x", "one", "Emberquay-Request-Id: 1")
		c.send("POST /unsafe/x", "two", "Emberquay-Request-Id: 2")
		Expect(c.result().body).To(Equal("one"))
		Expect(c.result().body).To(Equal("two"))
	})
})

var _ = Describe("Requests in hand", func() {
	connect := func(s *connections) (*clientConnection, net.Conn) {
		near, far := net.Pipe()
		DeferCleanup(func() { near.Close(); far.Close() })
		c, ok := s.add(near, 9)
		Expect(ok).To(BeTrue())
		return c, far
	}

	It("are waited for, and none enters after", func() {
		var s connections
		first, _ := connect(&s)
		second, _ := connect(&s)
		s.changed(first, http.StateActive)
		s.changed(second, http.StateActive)
		stopped := make(chan bool)
		go func() { stopped <- s.drained(context.Background()) }()
		s.changed(first, http.StateIdle)
		Expect(s.isStopped()).To(BeFalse())
		Eventually(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.empty != nil }).Should(BeTrue())
		s.changed(second, http.StateClosed)
		Expect(<-stopped).To(BeTrue())
		Expect(s.requestsInHand()).To(BeZero())
		Expect(s.isStopped()).To(BeTrue())
	})

	It("are told apart from connections at rest, with their ages", func() {
		var s connections
		idle, _ := connect(&s)
		busy, _ := connect(&s)
		_, ok := s.add(nil, 2)
		Expect(ok).To(BeFalse())
		s.changed(idle, http.StateActive)
		s.changed(idle, http.StateIdle)
		s.changed(busy, http.StateActive)
		s.retire()
		busy.since = busy.since.Add(-time.Second)
		c := s.count()
		Expect(c.inHand).To(Equal(1))
		Expect(c.atRest).To(Equal(1))
		Expect(c.oldest).To(BeNumerically(">=", time.Second))
		Expect(c.youngest).To(Equal(c.oldest))
		Expect(c.late).To(BeZero(), "it was read before")
		s.changed(idle, http.StateActive)
		Expect(s.count().late).To(Equal(1))
		s.changed(idle, http.StateClosed)
		Expect(s.count().atRest).To(BeZero())
	})

	It("keep a retired connection open from their first byte to the end of their answer", func() {
		var s connections
		c, far := connect(&s)
		go io.WriteString(far, "GET")
		some := make([]byte, 3)
		_, err := io.ReadFull(c, some)
		Expect(err).NotTo(HaveOccurred())
		s.retire()
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		go io.WriteString(far, " /x")
		_, err = io.ReadFull(c, some) // the rest of the request is read
		Expect(err).NotTo(HaveOccurred())
		s.changed(c, http.StateActive)
		s.changed(c, http.StateIdle)
		Expect(c.SetReadDeadline(time.Now().Add(time.Hour))).To(Succeed()) // as net/http does for its idle time-out
		_, err = c.Read(some)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("that were read as their connection was retired are served", func() {
		var s connections
		c, far := connect(&s)
		hour := time.Now().Add(time.Hour)
		Expect(c.SetReadDeadline(hour)).To(Succeed())
		s.retire() // the bytes had been read: the note of it comes late
		s.received(c)
		go io.WriteString(far, "GET")
		_, err := io.ReadFull(c, make([]byte, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.readDeadline).To(Equal(hour))
	})

	It("end a connection that is retired while it waits", func() {
		var s connections
		c, _ := connect(&s)
		ended := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			ended <- err
		}()
		s.retire()
		Expect(<-ended).To(MatchError(os.ErrDeadlineExceeded))
	})
})
