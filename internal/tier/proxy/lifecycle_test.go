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

// readinessStatus asks as the platform does.
func readinessStatus(p *testProxy, path string) int {
	connection, err := net.Dial("tcp", p.Proxy.readinessListener.Addr().String())
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
		p := startProxy(nil)
		Expect(readinessStatus(p, "/api/readiness")).To(Equal(503))
		p.SetReady(true)
		Expect(readinessStatus(p, "/api/readiness")).To(Equal(200))
		Expect(readinessStatus(p, "/other")).To(Equal(404))
		p.SetReady(false)
		Expect(readinessStatus(p, "/api/readiness")).To(Equal(503))
	})
})

// dialError says why a client cannot connect; nil: it can.
func (p *testProxy) dialError() error {
	connection, err := net.Dial("tcp", p.Proxy.frontend.listener.Addr().String())
	if err == nil {
		connection.Close()
	}
	return err
}

// generousTimeout is waited at most for what comes at once.
const generousTimeout = 10 * time.Second

const lateRequest = "POST /stream/late HTTP/1.1\r\nHost: " + host + "\r\nEmberquay-Request-Id: 3\r\nContent-Length: 0\r\n\r\n"

// sendLateRequest sends a request on a connection that may be closed by now.
func sendLateRequest(c *client) { io.WriteString(c, lateRequest) }

var _ = Describe("Shutdown", func() {
	It("serves what was read and what still comes, then ends", func() {
		requested, release := make(chan struct{}, 2), make(chan struct{})
		f := startFleet("plain", 1, func(_ int, r receivedRequest) {
			if r.request.RequestURI == "/unsafe/slow" {
				requested <- struct{}{}
				<-release
			}
			r.respond(200, "done")
		})
		endDelay := make(chan struct{})
		p := startProxy(func(o *Options) { o.ShutdownDelay, o.endShutdownDelay = time.Hour, endDelay })
		releaseOnce := sync.OnceFunc(func() { close(release) })
		DeferCleanup(releaseOnce)
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		p.SetReceivers(f.receivers)
		p.SetReady(true)

		slow, idle := p.dial(), p.dial()
		idle.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		Expect(idle.result().status).To(Equal(200))
		slow.send("POST /unsafe/slow", "body", "Emberquay-Request-Id: 2")
		<-requested

		shutdownDone := make(chan struct{})
		go func() {
			p.Shutdown(context.Background(), time.Now())
			close(shutdownDone)
		}()
		Eventually(func() int { return readinessStatus(p, "/api/readiness") }).Should(Equal(503))
		// The front still takes connections, and asks them to leave.
		c := p.dial()
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 3")
		response := c.readHead()
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Close).To(BeTrue())

		close(endDelay)
		Eventually(p.dialError).Should(HaveOccurred())
		// A connection at rest is closed, with what is in hand served on.
		idle.SetReadDeadline(time.Now().Add(generousTimeout))
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		Expect(shutdownDone).NotTo(BeClosed())

		releaseOnce()
		got := slow.result()
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("done"))
		Expect(got.err).NotTo(HaveOccurred())
		<-shutdownDone
		Expect(<-p.runErr).NotTo(HaveOccurred())
		_, err = slow.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	It("closes a connection whose answer had begun before, when that has ended", func() {
		release := make(chan struct{})
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk(event(1, "a"))
			<-release
			r.endStream()
		})
		releaseOnce := sync.OnceFunc(func() { close(release) })
		DeferCleanup(releaseOnce)
		c := p.dial()
		c.send("POST /stream/x", "body", "Emberquay-Request-Id: 1")
		response := c.readHead()
		Expect(response.Close).To(BeFalse())
		shutdownDone := make(chan struct{})
		go func() {
			p.Shutdown(context.Background(), time.Now())
			close(shutdownDone)
		}()
		Eventually(func() bool { p.clients.mu.Lock(); defer p.clients.mu.Unlock(); return p.clients.draining }).Should(BeTrue())
		releaseOnce()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(event(1, "a")))
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		<-shutdownDone
	})

	// The incident of a request that was taken 6.7 s after SIGTERM: while something is in hand, a connection that was open
	// before brings one more, and the end of the grace cuts it.
	DescribeTable("passes nothing on after the notice that its end would cut",
		func(prepare func(*testProxy, *client), send func(*client)) {
			holdReceived, lateReceived := make(chan struct{}, 1), make(chan struct{}, 1)
			release := make(chan struct{})
			f := startFleet("plain", 2, func(_ int, r receivedRequest) {
				switch r.request.RequestURI {
				case "/unsafe/held":
					holdReceived <- struct{}{}
					<-release
				case "/stream/late":
					r.startStream()
					r.chunk(event(1, "a"))
					lateReceived <- struct{}{}
					<-release
				}
				r.respond(200, "done")
			})
			DeferCleanup(func() { close(release) })
			endDelay := make(chan struct{})
			p := startProxy(func(o *Options) { o.ShutdownDelay, o.endShutdownDelay = time.Hour, endDelay })
			p.SetConfiguration(newConfiguration(1, defaultLimits))
			p.SetReceivers(f.receivers)
			p.SetReady(true)
			c, holder := p.dial(), p.dial()
			prepare(p, c)
			holder.send("POST /unsafe/held", "body", "Emberquay-Request-Id: 1")
			<-holdReceived

			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second) // less than a route's time-out
			defer cancel()
			go p.Shutdown(ctx, time.Now())
			Eventually(func() int { return readinessStatus(p, "/api/readiness") }).Should(Equal(503))
			close(endDelay)
			Eventually(p.dialError).Should(HaveOccurred())

			answered := make(chan error, 1)
			go func() {
				send(c)
				response, err := http.ReadResponse(c.reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				answered <- err
			}()
			select {
			case <-lateReceived:
				cancel()
				Expect(<-answered).NotTo(HaveOccurred(), "passed on and cut")
			case <-answered: // refused, or closed with nothing passed on
			}
		},
		Entry("on a connection at rest since before the signal", func(_ *testProxy, c *client) {
			c.send("GET /safe/x", "", "Emberquay-Request-Id: 2")
			Expect(c.result().status).To(Equal(200))
		}, sendLateRequest),
		Entry("on a connection that was opened and brought nothing yet", func(p *testProxy, _ *client) {
			Eventually(func() int { return p.clients.count().idle }).Should(Equal(2))
		}, sendLateRequest),
		Entry("of which the first bytes had come", func(p *testProxy, c *client) {
			io.WriteString(c, lateRequest[:20])
			Eventually(p.clients.inFlightRequests).Should(Equal(1))
		}, func(c *client) { io.WriteString(c, lateRequest[20:]) }),
	)

	// A stop may be begun late: behind the start, or on a machine without processor time.
	It("counts its notice from the signal, whenever it is begun", func() {
		p := startProxy(func(o *Options) { o.ShutdownDelay = time.Hour })
		requested, release := make(chan struct{}), make(chan struct{})
		f := startFleet("plain", 1, func(_ int, r receivedRequest) {
			close(requested)
			<-release
			r.respond(200, "done")
		})
		DeferCleanup(sync.OnceFunc(func() { close(release) }))
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		p.SetReceivers(f.receivers)
		holder := p.dial()
		holder.send("POST /unsafe/held", "body", "Emberquay-Request-Id: 1")
		<-requested
		ctx, cancel := context.WithTimeout(context.Background(), generousTimeout)
		defer cancel()
		go p.Shutdown(ctx, time.Now().Add(-2*time.Hour))
		Eventually(p.dialError).Should(HaveOccurred())
	})

	It("refuses what it has no time for once the notice is over, and serves what has time", func() {
		requested, release := make(chan struct{}, 1), make(chan struct{})
		f := startFleet("plain", 2, func(_ int, r receivedRequest) {
			if r.request.RequestURI == "/unsafe/held" {
				requested <- struct{}{}
				<-release
			}
			r.respond(200, "done")
		})
		releaseOnce := sync.OnceFunc(func() { close(release) })
		DeferCleanup(releaseOnce)
		p := startProxy(nil)
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		p.SetReceivers(f.receivers)
		holder, long, short := p.dial(), p.dial(), p.dial()
		holder.send("POST /unsafe/held", "body", "Emberquay-Request-Id: 1")
		<-requested
		// Their first bytes have come before the connections at rest are closed.
		io.WriteString(long, "POST ")
		io.WriteString(short, "POST ")
		Eventually(p.clients.inFlightRequests).Should(Equal(3))
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second) // less than a route's time-out
		defer cancel()
		go p.Shutdown(ctx, time.Now())
		Eventually(func() bool { stop := p.schedule.Load(); return stop != nil && !time.Now().Before(stop.delayEnd) }).Should(BeTrue())
		rest := "/unsafe/x HTTP/1.1\r\nHost: " + host + "\r\nEmberquay-Request-Id: %d\r\nEmberquay-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx"
		fmt.Fprintf(long, rest, 2, 20000)
		refused := long.result()
		Expect(refused.status).To(Equal(503))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		fmt.Fprintf(short, rest, 3, 9000)
		Expect(short.result().status).To(Equal(200))
		Expect(f.received()).To(HaveLen(2))
		releaseOnce()
		Expect(holder.result().status).To(Equal(200))
	})

	// What a stop gives up gets an answer where one can still be given: a connection that is closed says nothing of whether
	// the request has run, and a client whose order has not run would not come again.
	It("ends with its time and answers what is in hand", func() {
		requested, release := make(chan struct{}, 2), make(chan struct{})
		f := startFleet("plain", 1, func(_ int, r receivedRequest) {
			if r.request.RequestURI == "/stream/x" {
				r.startStream()
				r.chunk(event(1, "a"))
			}
			requested <- struct{}{}
			<-release
		})
		DeferCleanup(func() { close(release) })
		p := startProxy(nil)
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		f.receivers[0].Slots = 2
		p.SetReceivers(f.receivers)
		stream, sent, queued := p.dial(), p.dial(), p.dial()
		stream.send("POST /stream/x", "body", "Emberquay-Request-Id: 1")
		<-requested
		begun := stream.readHead()
		sent.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 2")
		<-requested
		queued.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 3")
		Eventually(func() uint64 { return p.admission.requestCount.Load() }).Should(Equal(uint64(3)))

		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(ctx, time.Now())
		Expect(<-p.runErr).NotTo(HaveOccurred())
		_, err := io.ReadAll(begun.Body)
		Expect(err).To(HaveOccurred(), "a stream that is cut must not look complete")
		Expect(sent.result().status).To(Equal(504), "it may have run")
		refused := queued.result()
		Expect(refused.status).To(Equal(503), "it has not run")
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.received()).To(HaveLen(2))
		Expect(p.logs.Entries).NotTo(BeEmpty())
	})

	It("may be asked for twice", func() {
		p := startProxy(nil)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(ctx, time.Now())
		p.Shutdown(ctx, time.Now())
		Expect(<-p.runErr).NotTo(HaveOccurred())
	})
})

var _ = Describe("A client's connection", func() {
	It("past the cap is closed with nothing read", func() {
		f := startFleet("plain", 1, echo)
		p := startProxy(func(o *Options) { o.MaxClientConnections = 1 })
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		p.SetReceivers(f.receivers)
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
		p, _ := startService("plain", 1, unexpectedRequest)
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
	connect := func(s *connectionTracker) (*clientConnection, net.Conn) {
		near, far := net.Pipe()
		DeferCleanup(func() { near.Close(); far.Close() })
		c, ok := s.add(near, 9)
		Expect(ok).To(BeTrue())
		return c, far
	}

	It("are waited for, and none enters after", func() {
		var s connectionTracker
		first, _ := connect(&s)
		second, _ := connect(&s)
		s.stateChanged(first, http.StateActive)
		s.stateChanged(second, http.StateActive)
		stopped := make(chan bool)
		go func() { stopped <- s.waitDrained(context.Background()) }()
		s.stateChanged(first, http.StateIdle)
		Expect(s.isStopped()).To(BeFalse())
		Eventually(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.drained != nil }).Should(BeTrue())
		s.stateChanged(second, http.StateClosed)
		Expect(<-stopped).To(BeTrue())
		Expect(s.inFlightRequests()).To(BeZero())
		Expect(s.isStopped()).To(BeTrue())
	})

	It("are told apart from connections at rest, with their ages", func() {
		var s connectionTracker
		idle, _ := connect(&s)
		active, _ := connect(&s)
		_, ok := s.add(nil, 2)
		Expect(ok).To(BeFalse())
		s.stateChanged(idle, http.StateActive)
		s.stateChanged(idle, http.StateIdle)
		s.stateChanged(active, http.StateActive)
		s.drain()
		active.requestStart = active.requestStart.Add(-time.Second)
		c := s.count()
		Expect(c.inFlight).To(Equal(1))
		Expect(c.idle).To(Equal(1))
		Expect(c.oldestAge).To(BeNumerically(">=", time.Second))
		Expect(c.youngestAge).To(Equal(c.oldestAge))
		Expect(c.lateRequests).To(BeZero(), "it was read before")
		s.stateChanged(idle, http.StateActive)
		Expect(s.count().lateRequests).To(Equal(1))
		s.stateChanged(idle, http.StateClosed)
		Expect(s.count().idle).To(BeZero())
	})

	It("keep a retired connection open from their first byte to the end of their answer", func() {
		var s connectionTracker
		c, far := connect(&s)
		go io.WriteString(far, "GET")
		buffer := make([]byte, 3)
		_, err := io.ReadFull(c, buffer)
		Expect(err).NotTo(HaveOccurred())
		s.drain()
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		go io.WriteString(far, " /x")
		_, err = io.ReadFull(c, buffer) // the rest of the request is read
		Expect(err).NotTo(HaveOccurred())
		s.stateChanged(c, http.StateActive)
		s.stateChanged(c, http.StateIdle)
		Expect(c.SetReadDeadline(time.Now().Add(time.Hour))).To(Succeed()) // as net/http does for its idle time-out
		_, err = c.Read(buffer)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("that were read as their connection was retired are served", func() {
		var s connectionTracker
		c, far := connect(&s)
		hour := time.Now().Add(time.Hour)
		Expect(c.SetReadDeadline(hour)).To(Succeed())
		s.drain() // the bytes had been read: the note of it comes late
		s.bytesRead(c)
		go io.WriteString(far, "GET")
		_, err := io.ReadFull(c, make([]byte, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.readDeadline).To(Equal(hour))
	})

	It("end a connection that is retired while it waits", func() {
		var s connectionTracker
		c, _ := connect(&s)
		ended := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			ended <- err
		}()
		s.drain()
		Expect(<-ended).To(MatchError(os.ErrDeadlineExceeded))
	})
})
