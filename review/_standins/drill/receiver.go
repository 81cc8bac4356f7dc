package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// receiver is a plain service's receiver as PROTOCOL.md describes it: it runs slots requests at once, queues a few more and
// turns the rest away, says so with Emberquay-Not-Executed, echoes the request's id, and serves one request at a time on a
// connection.
type receiver struct {
	id, service, zone, address string
	slots, queue               int
	maxConnections             int
	streams                    bool       // it answers with streams of events
	workMS                     func() int // of an answer, or of each event
	record                     *record
	// surplusShare returns the share of its answers that it now sends once more, late: on the same connection, where the next
	// answer is due. nil: none. It is a bound: at no time has it chosen more than that share of the answers it gave meanwhile.
	surplusShare func() float64

	mutex       sync.Mutex
	running     int
	queued      int
	connections int
	slotFree    chan struct{}
	listener    net.Listener
	garbled     struct{ answers, chosen int } // answers while surplusShare was above 0, and those to be sent once more
}

func (r *receiver) start() error {
	var err error
	if r.listener, err = net.Listen("tcp4", r.address); err != nil {
		return err
	}
	r.slotFree = make(chan struct{}, r.slots)
	for range r.slots {
		r.slotFree <- struct{}{}
	}
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return nil
}

func (r *receiver) serve(conn net.Conn) {
	defer conn.Close()
	r.mutex.Lock()
	if r.connections >= r.maxConnections {
		r.mutex.Unlock()
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	r.connections++
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		r.connections--
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var surplus []byte // an answer to be sent once more where the next one is due
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if surplus != nil {
			if _, err := conn.Write(surplus); err != nil {
				return
			}
			r.record.add("receiver %s sends its earlier answer to %s once more", r.id, answerID(surplus))
			surplus = nil
		}
		if r.streams && request.Header.Get("Emberquay-Request-Id") != "" {
			if !r.serveTurn(conn, request, body) {
				return
			}
			continue
		}
		answer, counted := r.answer(request, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if counted && r.choosesSurplus() {
			surplus = answer
		}
	}
}

// choosesSurplus draws whether the answer just given is sent once more, within surplusShare.
func (r *receiver) choosesSurplus() bool {
	if r.surplusShare == nil {
		return false
	}
	share := r.surplusShare()
	if share == 0 {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.garbled.answers++
	if rand.Float64() >= 2*share || float64(r.garbled.chosen+1) > share*float64(r.garbled.answers) {
		return false
	}
	r.garbled.chosen++
	return true
}

// answer handles a request. counted is false for the tier's own requests, which carry no id.
func (r *receiver) answer(request *http.Request, body []byte) (answer []byte, counted bool) {
	id := request.Header.Get("Emberquay-Request-Id")
	switch {
	case request.URL.Path == "/api/report":
		r.mutex.Lock()
		report := fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"sequence":0,"queued":%d,"running":%d,"kv_used":0,"kv_total":0,"handles":0}`, r.queued, r.running)
		r.mutex.Unlock()
		return encode(200, map[string]string{"Content-Type": "application/json"}, []byte(report)), false
	case request.URL.Path == "/health" && id == "":
		return encode(200, map[string]string{"Emberquay-Instance-Id": r.id}, nil), false
	case id == "":
		return encode(400, map[string]string{"Emberquay-Not-Executed": "1"}, nil), false
	}
	echo := map[string]string{"Emberquay-Request-Id": id, "Emberquay-Instance-Id": r.id}
	if expected := request.Header.Get("Emberquay-Expect-Instance"); expected != "" && expected != r.id {
		echo["Emberquay-Not-Executed"] = "1"
		return encode(421, echo, nil), true
	}
	deadline := time.Now().Add(time.Hour)
	if text := request.Header.Get("Emberquay-Deadline-Ms"); text != "" {
		if milliseconds, err := strconv.ParseFloat(text, 64); err == nil {
			deadline = time.Now().Add(time.Duration(milliseconds * float64(time.Millisecond)))
		}
	}
	if !r.takeSlot(deadline) {
		r.record.add("receiver %s turns %s away", r.id, id)
		echo["Emberquay-Not-Executed"] = "1"
		echo["Retry-After"] = "0.1"
		return encode(503, echo, nil), true
	}
	r.record.ran(id, r.id, r.service, request.Method, request.URL.RequestURI(), body)
	time.Sleep(time.Duration(r.workMS()) * time.Millisecond)
	r.giveSlot()
	echo["Emberquay-Server-Stamp"] = "stamp." + r.id + "." + id
	return encode(200, echo, []byte("done "+id)), true
}

// takeSlot waits in the queue for a slot. It returns false if the queue is full or the deadline passes in it.
func (r *receiver) takeSlot(deadline time.Time) bool {
	r.mutex.Lock()
	select {
	case <-r.slotFree:
		r.running++
		r.mutex.Unlock()
		return true
	default:
	}
	if r.queued >= r.queue {
		r.mutex.Unlock()
		return false
	}
	r.queued++
	r.mutex.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	taken := false
	select {
	case <-r.slotFree:
		taken = true
	case <-timer.C:
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queued--
	if taken {
		r.running++
	}
	return taken
}

func (r *receiver) giveSlot() {
	r.mutex.Lock()
	r.running--
	r.mutex.Unlock()
	r.slotFree <- struct{}{}
}

func encode(status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=8\r\nContent-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func answerID(answer []byte) string {
	_, rest, _ := strings.Cut(string(answer), "Emberquay-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	_, status, _ := strings.Cut(string(answer), " ")
	status, _, _ = strings.Cut(status, " ")
	return id + " (" + status + ")"
}

// register sends a heartbeat at each interval until stop is closed, to the next sender where one is not acknowledged.
func (r *receiver) register(t *tier, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	sequence := 0
	next := rand.IntN(len(t.fronts))
	target := ""
	for {
		for range 2 * len(t.fronts) {
			sequence++
			beat, _ := json.Marshal(map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1",
				"slots": r.slots, "state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": []any{}, "sequence": sequence})
			address := target
			if address == "" {
				address = t.controlAddress(next)
				next++
			}
			response, err := client.Post("http://"+address+"/api/Instances.Heartbeat/"+r.id, "application/json", bytes.NewReader(beat))
			if err != nil {
				target = ""
				continue
			}
			var answer struct {
				Target string `json:"heartbeat_target"`
			}
			_ = json.NewDecoder(response.Body).Decode(&answer)
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				target = answer.Target
				break
			}
			target = ""
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
