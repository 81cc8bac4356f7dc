package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/routing"
)

// startBenchReceiver starts a receiver that answers each request with the same bytes. It allocates next to nothing, so
// that the benchmark measures the proxy and two loopback connections.
func startBenchReceiver(b *testing.B, response []byte) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				buffer := make([]byte, 8<<10)
				for n := 0; ; {
					read, err := connection.Read(buffer[n:])
					if err != nil {
						return
					}
					if n += read; bytes.HasSuffix(buffer[:n], []byte("\r\n\r\nbody")) {
						connection.Write(response)
						n = 0
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func startBenchProxy(b *testing.B, response string) *Proxy {
	address := startBenchReceiver(b, []byte(response))
	body := fmt.Sprintf(`{"version":1,"routes":[
		{"name":"plain","authority":%q,"path_prefix":"/plain/","route_type":"unsafe","timeout_ms":5000,"target_latency_ms":500,"priority":0,"service":"s","max_attempts":1},
		{"name":"stream","authority":%q,"path_prefix":"/stream/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":500,"priority":0,"service":"s","max_attempts":1}],
		"services":[{"name":"s","max_connections":100}],"limits":{}}`, host, host)
	snapshot, err := routing.Parse([]byte(body))
	if err != nil {
		b.Fatal(err)
	}
	p, err := New(Options{ClientAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", Store: newFakeStore(), Logger: &log.Logger{Handler: discard.New()}})
	if err != nil {
		b.Fatal(err)
	}
	go p.Run()
	b.Cleanup(p.closeAll)
	p.SetConfiguration(snapshot)
	p.SetReceivers([]dispatch.Receiver{{ID: "i", Service: "s", Address: address, Slots: 50, MaxConnections: 100}})
	return p
}

// benchmarkForward sends requests sequentially on one connection.
func benchmarkForward(b *testing.B, path, response, end string) {
	p := startBenchProxy(b, response)
	connection, err := net.Dial("tcp", p.frontend.listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer connection.Close()
	request := []byte("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nEmberquay-Request-Id: 9c41d07be2a35f68\r\n" +
		"Emberquay-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody")
	reader := bufio.NewReader(connection)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := connection.Write(request); err != nil {
			b.Fatal(err)
		}
		for seen := []byte(nil); !bytes.HasSuffix(seen, []byte(end)); {
			line, err := reader.ReadSlice('\n')
			if err != nil && err != io.EOF {
				b.Fatal(err)
			}
			seen = line
		}
	}
}

const benchResponseHead = "HTTP/1.1 200 OK\r\nEmberquay-Request-Id: 9c41d07be2a35f68\r\n" +
	"Emberquay-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\n"

func BenchmarkForwardPlain(b *testing.B) {
	benchmarkForward(b, "/plain/2f", benchResponseHead+"Content-Length: 5\r\n\r\nbody\n", "body\n")
}

func BenchmarkForwardStream(b *testing.B) {
	stream := benchResponseHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := range 40 {
		event := event(i+1, "some words of a reply")
		stream += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	benchmarkForward(b, "/stream/2f", stream+"0\r\n\r\n", "0\r\n")
}
