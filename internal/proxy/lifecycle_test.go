package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
		p := startPlane(func(o *Options) { o.Notice, o.notice = time.Hour, notice })
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
			p.Shutdown(context.Background())
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
		Eventually(func() error {
			connection, err := net.Dial("tcp", p.Proxy.front.listener.Addr().String())
			if err == nil {
				connection.Close()
			}
			return err
		}).Should(HaveOccurred())
		// A kept connection is served as long as anything is in hand.
		idle.send("GET /safe/x", "", "Emberquay-Request-Id: 4")
		Expect(idle.result().status).To(Equal(200))
		Expect(ended).NotTo(BeClosed())

		finish()
		got := slow.result()
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("done"))
		Expect(got.err).NotTo(HaveOccurred())
		<-ended
		Expect(<-p.ended).NotTo(HaveOccurred())
		_, err := slow.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
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
			finish := sync.OnceFunc(func() { close(release) })
			DeferCleanup(finish)
			notice := make(chan struct{})
			p := startPlane(func(o *Options) { o.Notice, o.notice = time.Hour, notice })
			p.SetConfiguration(configuration(1, usualLimits))
			p.SetReceivers(f.listed)
			p.SetReady(true)
			c, holding := p.dial(), p.dial()
			before(p, c)
			holding.send("POST /unsafe/held", "body", "Emberquay-Request-Id: 1")
			<-held

			over, end := context.WithTimeout(context.Background(), 15*time.Second) // less than a route's time-out
			defer end()
			go p.Shutdown(over)
			Eventually(func() int { return readinessOf(p, "/api/readiness") }).Should(Equal(503))
			close(notice)
			Eventually(func() error {
				connection, err := net.Dial("tcp", p.Proxy.front.listener.Addr().String())
				if err == nil {
					connection.Close()
				}
				return err
			}).Should(HaveOccurred())

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
			Eventually(func() int { return p.clients.count().atRest }).Should(Equal(2))
		}, func(c *client) { io.WriteString(c, lateRequest[20:]) }),
	)

	It("ends with its time, whatever is in hand", func() {
		asked, release := make(chan struct{}), make(chan struct{})
		p, _ := startService("plain", 1, func(int, received) {
			close(asked)
			<-release
		})
		c := p.dial()
		c.send("POST /unsafe/x", "body", "Emberquay-Request-Id: 1")
		<-asked
		over, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(over)
		Expect(<-p.ended).NotTo(HaveOccurred())
		_, err := http.ReadResponse(c.reader, nil)
		Expect(err).To(HaveOccurred())
		close(release)
		Expect(p.logs.Entries).NotTo(BeEmpty())
	})

	It("may be asked for twice", func() {
		p := startPlane(nil)
		over, cancel := context.WithCancel(context.Background())
		cancel()
		p.Shutdown(over)
		p.Shutdown(over)
		Expect(<-p.ended).NotTo(HaveOccurred())
	})
})

var _ = Describe("A client's connection", func() {
	It("past the cap is closed with nothing read", func() {
		f := startFleet("plain", 1, echo)
		p := startPlane(func(o *Options) { o.MaxClients = 1 })
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
	It("are waited for, and none enters after", func() {
		var s connections
		first, second := &clientConnection{}, &clientConnection{}
		s.changed(first, http.StateActive)
		s.changed(second, http.StateActive)
		stopped := make(chan struct{})
		go func() {
			s.stop(context.Background())
			close(stopped)
		}()
		s.changed(first, http.StateIdle)
		Expect(s.isStopped()).To(BeFalse())
		Eventually(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.empty != nil }).Should(BeTrue())
		s.changed(second, http.StateClosed)
		<-stopped
		Expect(s.requestsInHand()).To(BeZero())
		Expect(s.isStopped()).To(BeTrue())
	})

	It("are told apart from connections at rest, with their ages", func() {
		var s connections
		idle, busy := &clientConnection{}, &clientConnection{}
		Expect(s.add(idle, 2)).To(BeTrue())
		Expect(s.add(busy, 2)).To(BeTrue())
		Expect(s.add(&clientConnection{}, 2)).To(BeFalse())
		s.changed(idle, http.StateActive)
		s.changed(idle, http.StateIdle)
		s.endNotice()
		s.changed(busy, http.StateActive)
		busy.since = busy.since.Add(-time.Second)
		c := s.count()
		Expect(c.inHand).To(Equal(1))
		Expect(c.atRest).To(Equal(1))
		Expect(c.late).To(Equal(1))
		Expect(c.oldest).To(BeNumerically(">=", time.Second))
		Expect(c.youngest).To(Equal(c.oldest))
		s.changed(idle, http.StateClosed)
		Expect(s.count().atRest).To(BeZero())
	})
})
