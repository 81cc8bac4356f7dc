package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
)

// receivedRequest is a request as received by a receiver.
type receivedRequest struct {
	instance   string
	connection net.Conn
	request    *http.Request
	body       string
}

func (r receivedRequest) id() string { return r.request.Header.Get(headerRequestID) }

// write sends raw bytes.
func (r receivedRequest) write(text string) { io.WriteString(r.connection, text) }

// respond writes a complete, valid response.
func (r receivedRequest) respond(status int, body string, fields ...string) {
	r.write(r.responseHead(status, fields...) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// responseHead returns the head of a response without the framing of its body.
func (r receivedRequest) responseHead(status int, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nEmberquay-Request-Id: %s\r\nEmberquay-Server-Stamp: stamp-%s\r\nKeep-Alive: timeout=5\r\n",
		status, http.StatusText(status), r.id(), r.instance)
	return head + strings.Join(append(fields, ""), "\r\n")
}

// refuse writes a response that states that the request was not executed.
func (r receivedRequest) refuse(status int, fields ...string) {
	r.write(fmt.Sprintf("HTTP/1.1 %d No\r\nEmberquay-Request-Id: %s\r\nEmberquay-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
		status, r.id(), strings.Join(append(fields, ""), "\r\n")))
}

// startStream writes the head of an event stream.
func (r receivedRequest) startStream() {
	r.write(r.responseHead(200, "Content-Type: text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n")
}

// chunk writes one chunk of a stream.
func (r receivedRequest) chunk(text string) { r.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// endStream writes the last chunk of a stream.
func (r receivedRequest) endStream() { r.write("0\r\n\r\n") }

// event returns an event with an id and data.
func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// fleet is a group of receivers of one service that respond by the same script.
type fleet struct {
	receivers []dispatch.Receiver

	mu          sync.Mutex
	requests    []receivedRequest
	connections []net.Conn
}

// startFleet starts n receivers. The script is called with the number of the request over all of them, from 1.
func startFleet(service string, n int, script func(number int, r receivedRequest)) *fleet {
	f := &fleet{}
	var serving sync.WaitGroup
	var listeners []net.Listener
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		instance := fmt.Sprintf("%s-%d", service, i+1)
		f.receivers = append(f.receivers, dispatch.Receiver{
			ID: dispatch.InstanceID(instance), Service: service, Address: listener.Addr().String(), Slots: 4, MaxConnections: 20,
		})
		serving.Go(func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				f.mu.Lock()
				f.connections = append(f.connections, connection)
				f.mu.Unlock()
				serving.Go(func() { f.serve(connection, instance, script) })
			}
		})
		listeners = append(listeners, listener)
	}
	DeferCleanup(func() {
		for _, listener := range listeners {
			listener.Close()
		}
		f.mu.Lock()
		for _, connection := range f.connections {
			connection.Close()
		}
		f.mu.Unlock()
		serving.Wait()
	})
	return f
}

func (f *fleet) serve(connection net.Conn, instance string, script func(int, receivedRequest)) {
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
		r := receivedRequest{instance: instance, connection: connection, request: head, body: string(body)}
		f.mu.Lock()
		f.requests = append(f.requests, r)
		number := len(f.requests)
		f.mu.Unlock()
		script(number, r)
	}
}

func (f *fleet) received() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.requests...)
}
