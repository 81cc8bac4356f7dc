package tierlab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"emberquay/internal/lab/referee/tierrules"
)

const (
	// connectWithin is what a client gives a new connection to come up.
	connectWithin = time.Second
	// mostAnswer bounds the body of an answer.
	mostAnswer = 4 << 20
	// idleAtMost is for how long a connection at rest is used again: four fifths of the configuration's idle timeout.
	idleAtMost = idleTimeout * 4 / 5
)

// connection is one of a client to the front of a machine.
type connection struct {
	net.Conn
	reader *bufio.Reader
	rested time.Time
}

// dial opens a connection.
func dial(ctx context.Context, address string) (*connection, error) {
	d := net.Dialer{Timeout: connectWithin}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// usable says whether a connection at rest may be used again: it is not at rest for too long, its other side has not closed
// it, and no bytes wait there, as they would belong to no request.
func (c *connection) usable() bool {
	return c.reader.Buffered() == 0 && time.Since(c.rested) < idleAtMost && c.silent()
}

// silent says whether nothing waits to be read, neither bytes nor the end.
func (c *connection) silent() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(descriptor uintptr) {
		_, _, failed := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(failed, unix.EAGAIN)
	})
	return err == nil && silent
}

// send writes a request.
func (c *connection) send(r *tierrules.Request, header http.Header) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Authority)
	if err := header.Write(&out); err != nil {
		return err
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.Body))
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	_, err := c.Write(out.Bytes())
	return err
}

// receive reads the answer into the request. It says whether the connection may be used again, and whether it ended before
// a byte of an answer came.
func (c *connection) receive(rec *record, r *tierrules.Request) (again, nothing bool) {
	if _, err := c.reader.Peek(1); err != nil {
		return false, !isTimeout(err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		if !endedEarly(err) {
			rec.see(func(time.Duration, *tierrules.History) { r.StrayBytes = true })
		}
		return false, false
	}
	answer := &tierrules.Answer{Status: resp.StatusCode, Stamp: resp.Header.Get("Emberquay-Server-Stamp"), RequestID: resp.Header.Get("Emberquay-Request-Id")}
	rec.see(func(time.Duration, *tierrules.History) { r.Answer = answer })
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(rec, answer, resp.Body)
	} else {
		answer.Body, err = io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	}
	stray := c.reader.Buffered() > 0
	rec.see(func(time.Duration, *tierrules.History) {
		answer.Complete = err == nil
		r.StrayBytes = r.StrayBytes || stray && err == nil
	})
	c.rested = time.Now()
	return err == nil && !resp.Close && !stray, false
}

// readEvents reads a stream to its end; an event counts once its blank line has come.
func readEvents(rec *record, answer *tierrules.Answer, body io.Reader) error {
	lines := bufio.NewReader(body)
	var event tierrules.Event
	some := false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && line == "" && !some {
				return nil
			}
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF // within an event
			}
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && some:
			rec.see(func(now time.Duration, _ *tierrules.History) {
				event.At = now
				answer.Events = append(answer.Events, event)
			})
			event, some = tierrules.Event{}, false
		case name == "id":
			event.ID, _ = strconv.ParseUint(value, 10, 64)
			some = true
		case name == "data":
			event.Data += value
			some = true
		}
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// endedEarly tells a connection that broke from bytes that are no answer.
func endedEarly(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}
