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
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 4 << 20
	// maxIdleTime is how long an idle connection may be reused: four fifths of the configured idle timeout.
	maxIdleTime = idleTimeout * 4 / 5
)

// connection is a client's connection to the front of a machine.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

// dial opens a connection.
func dial(ctx context.Context, address string) (*connection, error) {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// usable reports whether an idle connection may be reused: it has not been idle for too long, the peer has not closed it,
// and no bytes are pending, as they would belong to no request.
func (c *connection) usable() bool {
	return c.reader.Buffered() == 0 && time.Since(c.idleSince) < maxIdleTime && c.nothingPending()
}

// nothingPending reports whether neither bytes nor the end of the stream are waiting to be read.
func (c *connection) nothingPending() bool {
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

// receive reads the answer into the request. It reports whether the connection may be reused, and whether it was closed
// before the first byte of an answer.
func (c *connection) receive(rec *recorder, r *tierrules.Request) (reusable, noAnswer bool) {
	if _, err := c.reader.Peek(1); err != nil {
		return false, !isTimeout(err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		if !isConnectionError(err) {
			rec.update(func(time.Duration, *tierrules.History) { r.StrayBytes = true })
		}
		return false, false
	}
	answer := &tierrules.Answer{Status: resp.StatusCode, Stamp: resp.Header.Get("Emberquay-Server-Stamp"), RequestID: resp.Header.Get("Emberquay-Request-Id")}
	rec.update(func(time.Duration, *tierrules.History) { r.Answer = answer })
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(rec, answer, resp.Body)
	} else {
		answer.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	}
	stray := c.reader.Buffered() > 0
	rec.update(func(time.Duration, *tierrules.History) {
		answer.Complete = err == nil
		r.StrayBytes = r.StrayBytes || stray && err == nil
	})
	c.idleSince = time.Now()
	return err == nil && !resp.Close && !stray, false
}

// readEvents reads an event stream to its end; an event is recorded at its terminating blank line.
func readEvents(rec *recorder, answer *tierrules.Answer, body io.Reader) error {
	lines := bufio.NewReader(body)
	var event tierrules.Event
	started := false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && line == "" && !started {
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
		case line == "" && started:
			rec.update(func(now time.Duration, _ *tierrules.History) {
				event.At = now
				answer.Events = append(answer.Events, event)
			})
			event, started = tierrules.Event{}, false
		case name == "id":
			event.ID, _ = strconv.ParseUint(value, 10, 64)
			started = true
		case name == "data":
			event.Data += value
			started = true
		}
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isConnectionError distinguishes a broken connection from bytes that are not a valid answer.
func isConnectionError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}
