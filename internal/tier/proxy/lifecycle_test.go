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

// readinessStatus returns the status of a readiness check on a new connection.
func readinessStatus(p *testProxy, path string) int {
	connection, err := net.Dial("tcp", p.Proxy.readinessListener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path)
	response, err := io.ReadAll(connection)
	Expect(err).NotTo(HaveOccurred())
	var status int
	_, err = fmt.Sscanf(string(response), "HTTP/1.1 %d", &status)
	Expect(err).NotTo(HaveOccurred())
	return status
}

var _ = Describe("Readiness", func() {
	It("is as set by SetReady", func() {
		p := startProxy(nil)
		Expect(readinessStatus(p, "/api/readiness")).To(Equal(503))
		p.SetReady(true)
		Expect(readinessStatus(p, "/api/readiness")).To(Equal(200))
		Expect(readinessStatus(p, "/other")).To(Equal(404))
		p.SetReady(false)
		Expect(readinessStatus(p, "/api/readiness")).To(Equal(503))
	})
})

// dialError returns the error of a client's connection attempt.
func (p *testProxy) dialError() error {
	connection, err := net.Dial("tcp", p.Proxy.frontend.listener.Addr().String())
	if err == nil {
		connection.Close()
	}
	return err
}

// generousTimeout bounds waits for events that are due at once.
const generousTimeout = 10 * time.Second

const lateRequest = "POST /stream/late HTTP/1.1\r\nHost: " + host + "\r\nEmberquay-Request-Id: 3\r\nContent-Length: 0\r\n\r\n"

// sendLateRequest sends a request on a connection that may already be closed.
func sendLateRequest(c *client) { io.WriteString(c, lateRequest) }

var _ = Describe("Shutdown", func() {
	It("completes requests already read and serves new ones during the delay, then ends", func() {
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
		// New connections are still accepted, and their responses carry Connection: close.
		c := p.dial()
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 3")
		response := c.readHead()
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Close).To(BeTrue())

		close(endDelay)
		Eventually(p.dialError).Should(HaveOccurred())
		// An idle connection is closed while the request in flight is still served.
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

	It("closes a connection at the end of a response that was started before", func() {
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

	// Regression test: a request was accepted 6.7 s after SIGTERM. While another request is in flight, a connection opened
	// before the signal sends a new one, and the end of the grace period aborts it.
	DescribeTable("forwards no request after the delay that its end would abort",
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

			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second) // less than a route's timeout
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
				Expect(<-answered).NotTo(HaveOccurred(), "forwarded and aborted")
			case <-answered: // refused, or closed without being forwarded
			}
		},
		Entry("on a connection idle since before the signal", func(_ *testProxy, c *client) {
			c.send("GET /safe/x", "", "Emberquay-Request-Id: 2")
			Expect(c.result().status).To(Equal(200))
		}, sendLateRequest),
		Entry("on a new connection without a request so far", func(p *testProxy, _ *client) {
			Eventually(func() int { return p.clients.count().idle }).Should(Equal(2))
		}, sendLateRequest),
		Entry("of which the first bytes were read before the signal", func(p *testProxy, c *client) {
			io.WriteString(c, lateRequest[:20])
			Eventually(p.clients.inFlightRequests).Should(Equal(1))
		}, func(c *client) { io.WriteString(c, lateRequest[20:]) }),
	)

	// Shutdown may be called late: after a slow start, or on a machine without CPU time.
	It("counts the delay from the signal, however late it is called", func() {
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

	It("refuses requests that cannot finish once the delay is over, and serves the others", func() {
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
		// Their first bytes are read before the idle connections are closed.
		io.WriteString(long, "POST ")
		io.WriteString(short, "POST ")
		Eventually(p.clients.inFlightRequests).Should(Equal(3))
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second) // less than a route's timeout
		defer cancel()
		go p.Shutdown(ctx, time.Now())
		Eventually(func() bool {
			schedule := p.schedule.Load()
			return schedule != nil && !time.Now().Before(schedule.delayEnd)
		}).Should(BeTrue())
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

	// Requests canceled by the end of a shutdown are answered where possible: a closed connection does not say whether the
	// request has run, and a client whose request has not run would not retry.
	It("ends with its context and answers the requests in flight", func() {
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
		streamResponse := stream.readHead()
		sent.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 2")
		<-requested
		queued.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 3")
		Eventually(func() uint64 { return p.admission.requestCount.Load() }).Should(Equal(uint64(3)))

		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(ctx, time.Now())
		Expect(<-p.runErr).NotTo(HaveOccurred())
		_, err := io.ReadAll(streamResponse.Body)
		Expect(err).To(HaveOccurred(), "an aborted stream must not look complete")
		Expect(sent.result().status).To(Equal(504), "it may have run")
		refused := queued.result()
		Expect(refused.status).To(Equal(503), "it has not run")
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.received()).To(HaveLen(2))
		Expect(p.logs.Entries).NotTo(BeEmpty())
	})

	It("may be called twice", func() {
		p := startProxy(nil)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(ctx, time.Now())
		p.Shutdown(ctx, time.Now())
		Expect(<-p.runErr).NotTo(HaveOccurred())
	})
})

var _ = Describe("A client's connection", func() {
	It("beyond the limit is closed without being read", func() {
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

	It("of HTTP/1.0 is not served: an aborted response would look complete", func() {
		p, _ := startService("plain", 1, unexpectedRequest)
		c := p.dial()
		fmt.Fprintf(c, "GET /safe/x HTTP/1.0\r\nHost: %s\r\nEmberquay-Request-Id: 1\r\n\r\n", host)
		Expect(c.result().status).To(Equal(505))
	})

	It("serves pipelined requests", func() {
		p, _ := startService("plain", 1, echo)
		c := p.dial()
		c.send("POST /unsafe/x", "one", "Emberquay-Request-Id: 1")
		c.send("POST /unsafe/x", "two", "Emberquay-Request-Id: 2")
		Expect(c.result().body).To(Equal("one"))
		Expect(c.result().body).To(Equal("two"))
	})
})

var _ = Describe("Requests in flight", func() {
	connect := func(s *connectionTracker) (*clientConnection, net.Conn) {
		near, far := net.Pipe()
		DeferCleanup(func() { near.Close(); far.Close() })
		c, ok := s.add(near, 9)
		Expect(ok).To(BeTrue())
		return c, far
	}

	It("are waited for, and none may be forwarded afterwards", func() {
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

	It("are counted apart from idle connections, with their ages", func() {
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
		Expect(c.lateRequests).To(BeZero(), "read before draining")
		s.stateChanged(idle, http.StateActive)
		Expect(s.count().lateRequests).To(Equal(1))
		s.stateChanged(idle, http.StateClosed)
		Expect(s.count().idle).To(BeZero())
	})

	It("keep a draining connection open from their first byte to the end of their response", func() {
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
		Expect(c.SetReadDeadline(time.Now().Add(time.Hour))).To(Succeed()) // as net/http does for its idle timeout
		_, err = c.Read(buffer)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("that were read as draining began are served", func() {
		var s connectionTracker
		c, far := connect(&s)
		hour := time.Now().Add(time.Hour)
		Expect(c.SetReadDeadline(hour)).To(Succeed())
		s.drain() // the bytes have been read, but bytesRead is called late
		s.bytesRead(c)
		go io.WriteString(far, "GET")
		_, err := io.ReadFull(c, make([]byte, 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.readDeadline).To(Equal(hour))
	})

	It("are not awaited on a connection that is idle when draining begins", func() {
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
