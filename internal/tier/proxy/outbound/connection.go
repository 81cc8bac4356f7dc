package outbound

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// readBuffer is enough for the heads and small bodies of receivers.
	readBuffer = 4 << 10
	// maxHead bounds an answer's head, as a receiver in trouble may send bytes without end.
	maxHead = 64 << 10
	// shortIdle is how long a connection may rest whose receiver names no time: it closes within a second.
	shortIdle = 400 * time.Millisecond
	// longestIdle bounds the rest of a connection whatever the receiver allows.
	longestIdle = 60 * time.Second
	// idleMargin is how much earlier than the receiver we stop using a connection: a close must not cross a request.
	idleMargin = 400 * time.Millisecond
)

// connection is one kept connection to a receiver. One exchange uses it at a time.
type connection struct {
	net.Conn
	home     *endpoint
	reader   *bufio.Reader
	served   int       // exchanges begun
	idleFrom time.Time // end of the last exchange
	idleFor  time.Duration
	headLeft int // bytes that the present head may still take; negative: not reading a head
	closed   atomic.Bool
}

func newConnection(raw net.Conn, home *endpoint) *connection {
	c := &connection{Conn: raw, home: home, headLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read bounds what is read for a head.
func (c *connection) Read(to []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(to)
	if c.headLeft > 0 {
		c.headLeft = max(0, c.headLeft-n)
	}
	return n, err
}

// close ends the connection and takes it out of the pool's count, once.
func (c *connection) close() {
	if c.closed.CompareAndSwap(false, true) {
		c.home.pool.ended(c)
		c.Conn.Close()
	}
}

// expired says whether the connection has rested too long to be used.
func (c *connection) expired(now time.Time) bool { return now.Sub(c.idleFrom) >= c.idleFor }

// stale says whether the receiver has ended the connection, or sent what nobody asked for. What is written to such a
// connection counts as a request that may have run.
func (c *connection) stale() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err != nil || !quiet
}

// idleTime is how long a connection may rest after an answer with such a head; 0: it is not kept.
func idleTime(header http.Header) time.Duration {
	keepAlive := header.Get("Keep-Alive")
	if keepAlive == "" {
		return shortIdle
	}
	allowed := shortIdle
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		number, err := strconv.Atoi(strings.Trim(value, `" `))
		if err != nil || number < 0 {
			continue
		}
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "timeout":
			allowed = min(time.Duration(min(number, 3600))*time.Second, longestIdle)
			allowed -= min(idleMargin, allowed/2)
		case "max":
			if number == 0 {
				return 0
			}
		}
	}
	return allowed
}
