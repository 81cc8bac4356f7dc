package outbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// receivedRequest is one request as a receiver got it.
type receivedRequest struct {
	connection int // counted from 1
	request    *http.Request
	body       string
}

// receiver is a listener that calls its script for each request.
type receiver struct {
	address string
	script  func(connection net.Conn, request receivedRequest)

	mu       sync.Mutex
	requests []receivedRequest
	accepted []net.Conn
}

func startReceiver(script func(net.Conn, receivedRequest)) *receiver {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &receiver{address: listener.Addr().String(), script: script}
	var serving sync.WaitGroup
	DeferCleanup(func() {
		listener.Close()
		r.mu.Lock()
		for _, connection := range r.accepted {
			connection.Close()
		}
		r.mu.Unlock()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.accepted = append(r.accepted, connection)
			number := len(r.accepted)
			r.mu.Unlock()
			serving.Go(func() { r.serve(connection, number) })
		}
	})
	return r
}

func (r *receiver) serve(connection net.Conn, number int) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		head, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(head.Body)
		if err != nil {
			return
		}
		request := receivedRequest{connection: number, request: head, body: string(body)}
		r.mu.Lock()
		r.requests = append(r.requests, request)
		r.mu.Unlock()
		r.script(connection, request)
	}
}

func (r *receiver) received() []receivedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]receivedRequest(nil), r.requests...)
}

func (r *receiver) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.accepted)
}

// respondWith returns a script that writes the text.
func respondWith(text string) func(net.Conn, receivedRequest) {
	return func(connection net.Conn, _ receivedRequest) { io.WriteString(connection, text) }
}

// responseTo returns a complete response with the id of its request.
func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nEmberquay-Request-Id: " + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
		itoa(len(body)) + "\r\n\r\n" + body
}
