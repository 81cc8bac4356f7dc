package proxy

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// responseFault is a receiver's faulty response to the first request, after reading all of it.
type responseFault struct {
	name     string
	respond  func(receivedRequest)
	accepted bool // the client gets the response, for all kinds of request
}

const eventStreamType = "Content-Type: text/event-stream"

// writeGoodResponse writes the response that each request should get.
func writeGoodResponse(r receivedRequest) { r.respond(200, event(1, "good"), eventStreamType) }

// writeWrongResponse writes a response under the request id that no client may get.
func writeWrongResponse(r receivedRequest, id string) {
	r.write("HTTP/1.1 200 OK\r\nEmberquay-Request-Id: " + id + "\r\nEmberquay-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong")
}

// okHead returns the head of a stamped 200 response without the framing of its body.
func okHead(r receivedRequest) string { return r.responseHead(200, eventStreamType) }

func resetConnection(r receivedRequest) {
	r.connection.(*net.TCPConn).SetLinger(0)
	r.connection.Close()
}

var responseFaults = []responseFault{
	{"is reset before the response", resetConnection, false},
	{"is closed before the response", func(r receivedRequest) { r.connection.Close() }, false},
	{"is closed within the head", func(r receivedRequest) {
		r.write(okHead(r)[:40])
		r.connection.Close()
	}, false},
	{"is closed after the head", func(r receivedRequest) {
		r.write(okHead(r) + "Content-Length: 100\r\n\r\n")
		r.connection.Close()
	}, false},
	{"sends bytes that are not HTTP", func(r receivedRequest) {
		r.write("\x00\x01 no answer\r\n\r\n")
		r.connection.Close()
	}, false},
	{"sends only a response to another request", func(r receivedRequest) {
		writeWrongResponse(r, "77")
		r.connection.Close()
	}, false},
	{"sends a response without a request id", func(r receivedRequest) {
		r.write("HTTP/1.1 200 OK\r\nEmberquay-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong")
	}, false},
	{"sends a success response without the server stamp", func(r receivedRequest) {
		r.write("HTTP/1.1 200 OK\r\nEmberquay-Request-Id: " + r.id() + "\r\nContent-Length: 5\r\n\r\nwrong")
	}, false},
	{"sends the response to an earlier request first", func(r receivedRequest) {
		writeWrongResponse(r, "77")
		writeGoodResponse(r)
	}, true},
	{"sends a second response after its own", func(r receivedRequest) {
		writeGoodResponse(r)
		writeWrongResponse(r, "9c41")
	}, true},
	{"sends a response without a length, and is closed", func(r receivedRequest) {
		r.write(okHead(r) + "\r\n" + event(1, "good"))
		r.connection.Close()
	}, true},
}

// Each kind of request against each faulty response: which response the client gets, and how often the request is sent.
var _ = Describe("A connection to a receiver that", func() {
	kinds := []struct {
		line, body string
		repeats    bool
	}{
		{"GET /safe/x", "", true},
		{"POST /unsafe/x", "body", false},
		{"POST /unsafe/y", "", false},
		{"POST /stream/x", "body", false},
		{"POST /resume/x", "body", true},
	}
	for _, m := range responseFaults {
		for _, kind := range kinds {
			It(m.name+": "+kind.line, func() {
				p, f := startService("plain", 2, func(number int, r receivedRequest) {
					if number == 1 {
						m.respond(r)
						return
					}
					writeGoodResponse(r)
				})
				got := p.do(kind.line, kind.body)
				switch {
				case m.accepted:
					Expect(got.status).To(Equal(200))
					Expect(f.received()).To(HaveLen(1))
				case kind.repeats:
					Expect(got.status).To(Equal(200))
					Expect(f.received()).To(HaveLen(2))
				default:
					Expect(got.status).To(Equal(502))
					Expect(f.received()).To(HaveLen(1))
				}
				if got.status == 200 {
					Expect(got.err).NotTo(HaveOccurred())
					Expect(got.body).To(Equal(event(1, "good")))
				}
				// The next request gets its own response, whatever is left on the connections.
				c := p.dial()
				c.send("POST /unsafe/next", "b", "Emberquay-Request-Id: 9c42")
				next := c.result()
				Expect(next.status).To(Equal(200))
				Expect(next.header.Get(headerRequestID)).To(Equal("9c42"))
				Expect(next.body).To(Equal(event(1, "good")))
			})
		}
	}
})
