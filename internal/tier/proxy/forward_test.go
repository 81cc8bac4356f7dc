package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

func echo(_ int, r receivedRequest) { r.respond(200, r.body) }

var _ = Describe("A request", func() {
	It("reaches the receiver as the client sent it, without hop-by-hop fields", func() {
		p, f := startService("plain", 1, echo)
		got := p.do("PUT /unsafe/a//b/../%7e%2F?x=%20&y=+", "body",
			"Emberquay-Deadline-Ms: 5000", "X-Own: 1", "X-Own: 2", "Connection: X-Hop, keep-alive", "X-Hop: 1", "Keep-Alive: timeout=1",
			"TE: trailers", "Proxy-Authorization: x", "Upgrade: h2c", "Emberquay-Expect-Instance: other")
		Expect(got.status).To(Equal(200))
		Expect(got.body).To(Equal("body"))
		seen := f.received()
		Expect(seen).To(HaveLen(1))
		head := seen[0].request
		Expect(head.Method).To(Equal("PUT"))
		Expect(head.RequestURI).To(Equal("/unsafe/a//b/../%7e%2F?x=%20&y=+"))
		Expect(head.Host).To(Equal(host))
		remaining := head.Header.Get(headerDeadline)
		head.Header.Del(headerDeadline)
		Expect(head.Header).To(Equal(http.Header{
			"Emberquay-Request-Id": {"9c41"}, "X-Own": {"1", "2"}, "Emberquay-Expect-Instance": {"plain-1"}, "Content-Length": {"4"},
		}))
		Expect(remaining).To(MatchRegexp(`^(4\d\d\d|5000)$`))
	})

	// Guards against a late second copy of a refusal that is taken for the answer to the next attempt, so that the request runs
	// once more (review/2). The copy has the request's id and comes in the place of that answer.
	DescribeTable("runs once, though a receiver sends its refusal of the first attempt again later",
		func(path string, refusal int, fields ...string) {
			executed := 0
			var first net.Conn
			p, f := startService("plain", 1, func(number int, r receivedRequest) {
				if number == 1 {
					first = r.connection
					r.refuse(refusal, append(fields, "Retry-After: 0.02")...)
					return
				}
				if r.connection == first {
					r.refuse(refusal, append(fields, "Retry-After: 0.02")...)
				}
				executed++
				r.respond(200, "done")
			})
			got := p.do("POST "+path, "body", "Emberquay-Deadline-Ms: 15000")
			Expect(got.status).To(Equal(200))
			Expect(got.body).To(Equal("done"))
			Expect(f.received()).To(HaveLen(2))
			Expect(executed).To(Equal(1))
		},
		Entry("full, 503", "/unsafe/x", 503),
		Entry("full, 429", "/unsafe/x", 429),
		Entry("other weights, 421", "/unsafe/x", 421, "Emberquay-Instance-Id: plain-1"),
	)

	It("gets the receiver's response unchanged", func() {
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			r.respond(203, "what", "X-Own: 1", "Connection: X-Hop", "X-Hop: 1", "Content-Encoding: odd")
		})
		got := p.do("GET /safe/x", "")
		Expect(got).To(Equal(result{status: 203, body: "what", header: http.Header{
			"Emberquay-Request-Id": {"9c41"}, "Emberquay-Server-Stamp": {"stamp-plain-1"}, "X-Own": {"1"},
			"Content-Encoding": {"odd"}, "Content-Length": {"4"},
		}}))
	})

	DescribeTable("is forwarded with its complete body",
		func(length int, chunked bool) {
			p, f := startService("plain", 1, func(_ int, r receivedRequest) { r.respond(200, "") })
			body := strings.Repeat("0123456789abcdef", length/16)
			c := p.dial()
			if chunked {
				c.send("POST /unsafe/x", "", "Emberquay-Request-Id: 1", "Transfer-Encoding: chunked")
				for rest := body; rest != ""; {
					n := min(len(rest), 7777)
					fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				io.WriteString(c, "0\r\n\r\n")
			} else {
				c.send("POST /unsafe/x", body, "Emberquay-Request-Id: 1")
			}
			Expect(c.result().status).To(Equal(200))
			Expect(f.received()[0].body == body).To(BeTrue())
			Expect(f.received()[0].request.ContentLength).To(Equal(int64(len(body))))
			Expect(p.bodyMemory.usedBytes.Load()).To(BeZero())
		},
		Entry("small", 64, false),
		Entry("small, chunked", 64, true),
		Entry("empty, chunked", 0, true),
		Entry("4 MiB", 4<<20, false),
		Entry("4 MiB, chunked", 4<<20, true),
	)

	DescribeTable("is answered by the proxy itself",
		func(line string, fields []string, body string, status int) {
			p, _ := startService("plain", 1, unexpectedRequest)
			c := p.dial()
			c.send(line, body, fields...)
			got := c.result()
			Expect(got.status).To(Equal(status))
			Expect(got.header).NotTo(HaveKey(headerStamp))
		},
		Entry("without a route", "GET /nowhere/x", []string{"Emberquay-Request-Id: 1"}, "", 404),
		Entry("on a prefix without its trailing slash", "GET /safe", []string{"Emberquay-Request-Id: 1"}, "", 404),
		Entry("without an id", "GET /safe/x", nil, "", 400),
		Entry("with two ids", "GET /safe/x", []string{"Emberquay-Request-Id: 1", "Emberquay-Request-Id: 2"}, "", 400),
		Entry("with a body over the limit", "POST /unsafe/x", []string{"Emberquay-Request-Id: 1", "Content-Length: 4194305"}, "", 413),
		Entry("with two Content-Length fields", "POST /unsafe/x", []string{"Emberquay-Request-Id: 1", "Content-Length: 3"}, "body", 400),
		Entry("without time left", "GET /safe/x", []string{"Emberquay-Request-Id: 1", "Emberquay-Deadline-Ms: 0"}, "", 503),
	)

	It("with Expect: 100-continue gets 100 Continue, and the field is not forwarded", func() {
		p, f := startService("plain", 1, echo)
		c := p.dial()
		c.send("POST /unsafe/x", "", "Emberquay-Request-Id: 1", "Expect: 100-continue", "Content-Length: 4")
		line, err := c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
		_, err = c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		io.WriteString(c, "body")
		Expect(c.result().body).To(Equal("body"))
		Expect(f.received()[0].request.Header).NotTo(HaveKey("Expect"))
	})

	It("may have a target in absolute form", func() {
		p, _ := startService("plain", 1, echo)
		Expect(p.do("GET http://"+host+"/safe/x?y", "").status).To(Equal(200))
	})

	DescribeTable("whose body is not complete reaches no receiver",
		func(body string, answered bool) {
			p, f := startService("plain", 1, unexpectedRequest)
			c := p.dial()
			c.send("POST /unsafe/x", "", "Emberquay-Request-Id: 1", "Transfer-Encoding: chunked")
			io.WriteString(c, body)
			c.Conn.(*net.TCPConn).CloseWrite()
			response, err := http.ReadResponse(c.reader, nil)
			if answered {
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(400))
				Expect(response.Close).To(BeTrue())
			} else {
				Expect(err).To(HaveOccurred())
			}
			Expect(f.received()).To(BeEmpty())
			Expect(p.bodyMemory.usedBytes.Load()).To(BeZero())
		},
		Entry("the client closes its connection", "4\r\nbo", false),
		Entry("a chunk is malformed", "zz\r\n", true),
	)

	It("is refused before the first configuration", func() {
		p := startProxy(nil)
		got := p.do("GET /safe/x", "")
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("waits a short time for the first configuration", func() {
		f := startFleet("plain", 1, echo)
		p := startProxy(func(o *Options) { o.configurationWait = time.Minute })
		c := p.dial()
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		Eventually(p.clients.inFlightRequests).Should(Equal(1))
		p.SetReceivers(f.receivers)
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		Expect(c.result().status).To(Equal(200))
	})

	It("is refused while the memory limit for bodies is reached", func() {
		p := startProxy(func(o *Options) { o.MaxBodyMemoryBytes = 10 })
		p.SetConfiguration(newConfiguration(1, defaultLimits))
		Expect(p.do("POST /unsafe/x", "more than ten").status).To(Equal(503))
		Expect(p.bodyMemory.usedBytes.Load()).To(BeZero())
	})

	It("uses the newest configuration that was set", func() {
		p, _ := startService("plain", 1, echo)
		p.SetConfiguration(newConfiguration(5, defaultLimits))
		p.SetConfiguration(newConfiguration(4, `{"max_body_bytes":1}`))
		Expect(p.do("POST /unsafe/x", "body").status).To(Equal(200))
	})

	It("gets Connection: close on connections with outdated limits", func() {
		p, _ := startService("plain", 1, echo)
		c := p.dial()
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		Expect(c.result().header).NotTo(HaveKey("Connection"))
		p.SetConfiguration(newConfiguration(2, strings.Replace(defaultLimits, "15000", "14000", 1)))
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 2")
		response := c.readHead()
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Close).To(BeTrue())
		Expect(p.do("GET /safe/x", "").header).NotTo(HaveKey("Connection"))
	})
})

var _ = Describe("An attempt", func() {
	// firstAttempt runs the script for the first request and answers the others.
	firstAttempt := func(script func(receivedRequest)) func(int, receivedRequest) {
		return func(number int, r receivedRequest) {
			if number == 1 {
				script(r)
				return
			}
			r.respond(200, "good")
		}
	}
	withoutStamp := func(r receivedRequest) {
		r.write("HTTP/1.1 200 OK\r\nEmberquay-Request-Id: " + r.id() + "\r\nContent-Length: 3\r\n\r\nbad")
	}
	truncatedBody := func(r receivedRequest) {
		r.write(r.responseHead(200) + "Content-Length: 100\r\n\r\npart")
		r.connection.Close()
	}
	closed := func(r receivedRequest) { r.connection.Close() }
	otherRequestID := func(r receivedRequest) {
		r.write("HTTP/1.1 200 OK\r\nEmberquay-Request-Id: other\r\nEmberquay-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nbad")
		r.connection.Close()
	}
	unconfirmedRefusal := func(r receivedRequest) { r.respond(503, "bad") }

	DescribeTable("that may have run is retried for a safe request only",
		func(script func(receivedRequest)) {
			p, f := startService("plain", 2, firstAttempt(script))
			got := p.do("GET /safe/x", "")
			Expect(got.status).To(Equal(200))
			Expect(got.body).To(Equal("good"))
			seen := f.received()
			Expect(seen).To(HaveLen(2))
			Expect(seen[0].instance).NotTo(Equal(seen[1].instance))

			p, f = startService("plain", 2, firstAttempt(script))
			got = p.do("POST /unsafe/x", "body")
			Expect(got.status).To(Equal(502))
			Expect(got.header).NotTo(HaveKey(headerStamp))
			Expect(f.received()).To(HaveLen(1))
		},
		Entry("a success response without the server stamp", withoutStamp),
		Entry("a truncated body", truncatedBody),
		Entry("a closed connection", closed),
		Entry("a response to another request", otherRequestID),
		Entry("a 503 without Emberquay-Not-Executed", unconfirmedRefusal),
	)

	DescribeTable("that has not run is retried at another receiver",
		func(script func(receivedRequest)) {
			p, f := startService("plain", 2, firstAttempt(script))
			got := p.do("POST /unsafe/x", "body")
			Expect(got.status).To(Equal(200))
			Expect(got.body).To(Equal("good"))
			seen := f.received()
			Expect(seen).To(HaveLen(2))
			Expect(seen[1].body).To(Equal("body"))
			Expect(seen[1].request.Header.Get(headerExpectInstance)).To(Equal(seen[1].instance))
		},
		Entry("the receiver is full", func(r receivedRequest) { r.refuse(503) }),
		Entry("the receiver limits the rate", func(r receivedRequest) { r.refuse(429, "Retry-After: 30") }),
		Entry("another instance has the address", func(r receivedRequest) {
			r.write("HTTP/1.1 421 Misdirected Request\r\nEmberquay-Instance-Id: i-other\r\nContent-Length: 0\r\n\r\n")
		}),
	)

	It("refused with a Retry-After beyond the deadline is refused to the client, with Retry-After", func() {
		p, f := startService("plain", 1, func(_ int, r receivedRequest) { r.refuse(503, "Retry-After: 40") })
		got := p.do("POST /unsafe/x", "body")
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(got.header).NotTo(HaveKey(headerStamp))
		Expect(f.received()).To(HaveLen(1))
	})

	It("answered with a receiver's own error ends the request", func() {
		p, f := startService("plain", 2, func(_ int, r receivedRequest) { r.respond(500, "own") })
		got := p.do("GET /safe/x", "")
		Expect(got.status).To(Equal(500))
		Expect(got.body).To(Equal("own"))
		Expect(got.header.Get(headerStamp)).To(HavePrefix("stamp-"))
		Expect(f.received()).To(HaveLen(1))
	})

	It("without a response ends with 504 at the route's timeout", func() {
		release := make(chan struct{})
		p, f := startService("plain", 1, func(int, receivedRequest) { <-release })
		got := p.do("POST /quick/x", "body")
		close(release)
		Expect(got.status).To(Equal(504))
		Expect(f.received()).To(HaveLen(1))
	})

	It("that cannot connect ends with a refusal", func() {
		p, f := startService("plain", 1, unexpectedRequest)
		unreachable := f.receivers[0]
		unreachable.Address = strings.Replace(unreachable.Address, "127.0.0.1", "127.0.0.77", 1)
		p.SetReceivers([]dispatch.Receiver{unreachable})
		got := p.do("POST /quick/x", "body")
		Expect(got.status).To(Equal(503))
	})

	It("is canceled when the client closes its connection", func() {
		requested, readErr := make(chan struct{}), make(chan error, 1)
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) {
			close(requested)
			_, err := r.connection.Read(make([]byte, 1))
			readErr <- err
		})
		c := p.dial()
		c.send("GET /safe/x", "", "Emberquay-Request-Id: 1")
		<-requested
		c.Close()
		Expect(<-readErr).To(HaveOccurred())
	})

	It("forwards a long response, and a truncated one as truncated", func() {
		longBody := strings.Repeat("0123456789abcdef", maxBufferedResponseBytes/8)
		p, f := startService("plain", 1, func(number int, r receivedRequest) {
			switch number {
			case 1:
				r.respond(200, longBody)
			case 2:
				r.write(r.responseHead(200) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(longBody)+1, longBody))
				r.connection.Close()
			default:
				r.startStream()
				r.chunk(longBody)
				r.connection.Close()
			}
		})
		got := p.do("GET /safe/x", "")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body == longBody).To(BeTrue())
		for range 2 {
			got = p.do("GET /safe/x", "")
			Expect(got.status).To(Equal(200))
			Expect(got.err).To(HaveOccurred())
		}
		Expect(f.received()).To(HaveLen(3))
	})

	It("of a HEAD request forwards Content-Length without a body", func() {
		p, _ := startService("plain", 1, func(_ int, r receivedRequest) { r.write(r.responseHead(200) + "Content-Length: 77\r\n\r\n") })
		c := p.dial()
		c.send("HEAD /safe/x", "", "Emberquay-Request-Id: 1")
		response, err := http.ReadResponse(c.reader, &http.Request{Method: "HEAD"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.ContentLength).To(Equal(int64(77)))
	})
})
