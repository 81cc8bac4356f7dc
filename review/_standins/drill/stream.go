package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// serveTurn answers a request of a streaming route with a stream of events, as PROTOCOL.md describes it. It reports whether
// the connection may be used again.
func (r *receiver) serveTurn(conn io.Writer, request *http.Request, body []byte) bool {
	id := request.Header.Get("Emberquay-Request-Id")
	echo := map[string]string{"Emberquay-Request-Id": id, "Emberquay-Instance-Id": r.id}
	if expected := request.Header.Get("Emberquay-Expect-Instance"); expected != "" && expected != r.id {
		echo["Emberquay-Not-Executed"] = "1"
		_, err := conn.Write(encode(421, echo, nil))
		return err == nil
	}
	deadline := time.Now().Add(time.Hour)
	if milliseconds, err := strconv.Atoi(request.Header.Get("Emberquay-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	}
	if !r.takeSlot(deadline) {
		echo["Emberquay-Not-Executed"] = "1"
		echo["Retry-After"] = "0.1"
		_, err := conn.Write(encode(503, echo, nil))
		return err == nil
	}
	defer r.giveSlot()
	r.record.ran(id, r.id, r.service, request.Method, request.URL.RequestURI(), body)
	writer := bufio.NewWriter(conn)
	fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEmberquay-Request-Id: %s\r\nEmberquay-Instance-Id: %s\r\n"+
		"Emberquay-Server-Stamp: stamp.%s.%s\r\nKeep-Alive: timeout=8\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, r.id, id)
	for i := 1; i <= eventsPerTurn; i++ {
		time.Sleep(time.Duration(r.workMS()) * time.Millisecond)
		var event bytes.Buffer
		fmt.Fprintf(&event, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		fmt.Fprintf(writer, "%x\r\n%s\r\n", event.Len(), event.Bytes())
		if writer.Flush() != nil {
			return false
		}
	}
	fmt.Fprint(writer, "0\r\n\r\n")
	return writer.Flush() == nil
}

const eventsPerTurn = 4
