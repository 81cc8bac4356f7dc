package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Receiver is a stand-in for a server of a service. It answers POST and GET requests at once and sends heartbeats.
type Receiver struct {
	ID, Service, Address, Zone string
	Model                      bool // streams events

	record   *Record
	controls []string
	state    atomic.Value // "ready" or "draining"
	sequence atomic.Int64
	server   *http.Server
	closed   atomic.Bool

	mu  sync.Mutex
	ran map[string][]byte // request id -> body
}

// outputEvents is the number of events of a stream.
const outputEvents = 3

// NewReceiver starts a receiver.
func NewReceiver(id, service, ip, zone string, model bool, controls []string, record *Record) (*Receiver, error) {
	r := &Receiver{ID: id, Service: service, Address: fmt.Sprintf("%s:%d", ip, receiverPort), Zone: zone, Model: model,
		record: record, controls: controls, ran: map[string][]byte{}}
	r.state.Store("ready")
	listener, err := net.Listen("tcp4", r.Address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(listener)
	go r.beat()
	return r, nil
}

// Close ends the receiver.
func (r *Receiver) Close() {
	r.closed.Store(true)
	r.server.Close()
}

// beat sends heartbeats to one control address as long as it acknowledges them, then to the next one.
func (r *Receiver) beat() {
	client := &http.Client{Timeout: time.Second}
	current := rand.IntN(len(r.controls))
	target := ""
	for !r.closed.Load() {
		if target == "" {
			current++
			target = r.controls[current%len(r.controls)]
		}
		next, ok := r.heartbeat(client, target)
		if !ok {
			target = ""
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if next != "" {
			target = next
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (r *Receiver) heartbeat(client *http.Client, target string) (next string, ok bool) {
	body := map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": 24,
		"state": r.state.Load(), "cold_remaining_ms": 0, "sequence": r.sequence.Add(1)}
	if r.Model {
		body["stage"], body["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	raw, _ := json.Marshal(body)
	response, err := client.Post("http://"+target+"/api/Instances.Heartbeat/"+r.ID, "application/json", bytes.NewReader(raw))
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var answer struct {
		Target string `json:"heartbeat_target"`
	}
	_ = json.NewDecoder(io.LimitReader(response.Body, 4096)).Decode(&answer)
	return answer.Target, response.StatusCode/100 == 2
}

// Ran returns the body with which a request ran.
func (r *Receiver) Ran(id string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, ok := r.ran[id]
	return body, ok
}

func (r *Receiver) serve(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Emberquay-Instance-Id", r.ID)
		return
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":220394,"handles":0}`)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Emberquay-Request-Id")
	w.Header().Set("Emberquay-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=20")
	if expected := q.Header.Get("Emberquay-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("Emberquay-Not-Executed", "1")
		w.Header().Set("Emberquay-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.ran[id] = body
	r.mu.Unlock()
	w.Header().Set("Emberquay-Server-Stamp", r.ID+"."+id)
	if !r.Model {
		fmt.Fprintf(w, "done %s\n", id)
		return
	}
	w.Header().Set("Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= outputEvents; event++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventData(id, event))
		w.(http.Flusher).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}

// eventData is the data of an event of a request.
func eventData(id string, event int) string { return fmt.Sprintf("out-%s-%d", id, event) }

// outputOf is what a turn adds to the conversation: the data of each event with a line feed.
func outputOf(id string) string {
	var b strings.Builder
	for event := 1; event <= outputEvents; event++ {
		b.WriteString(eventData(id, event) + "\n")
	}
	return b.String()
}
