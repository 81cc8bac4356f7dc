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
	// readBufferBytes is enough for the heads and small bodies of responses.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, as a faulty receiver may send bytes without end.
	maxHeadBytes = 64 << 10
	// defaultIdleTimeout applies if the receiver sends no Keep-Alive timeout; such receivers close within a second.
	defaultIdleTimeout = 400 * time.Millisecond
	// maxIdleTimeout bounds the idle timeout whatever the receiver allows.
	maxIdleTimeout = 60 * time.Second
	// idleTimeoutMargin is subtracted from the receiver's timeout, so that its close does not cross a request on the way.
	idleTimeoutMargin = 400 * time.Millisecond
)

// connection is a pooled connection to a receiver. One exchange uses it at a time.
type connection struct {
	net.Conn
	endpoint      *endpoint
	number        uint64 // unique in its pool
	reader        *bufio.Reader
	exchanges     int       // number of exchanges started
	idleSince     time.Time // end of the last exchange
	idleTimeout   time.Duration
	headBytesLeft int // bytes left for the head being read; negative: not reading a head
	closed        atomic.Bool
}

func newConnection(raw net.Conn, e *endpoint) *connection {
	c := &connection{Conn: raw, endpoint: e, number: e.pool.dialed.Add(1), headBytesLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the connection, at most headBytesLeft bytes of a head; the last read may exceed that.
func (c *connection) Read(to []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(to)
	if c.headBytesLeft > 0 {
		c.headBytesLeft = max(0, c.headBytesLeft-n)
	}
	return n, err
}

// close closes the connection and removes it from the pool's counts, once.
func (c *connection) close() {
	if c.closed.CompareAndSwap(false, true) {
		c.endpoint.pool.release(c)
		c.Conn.Close()
	}
}

// expired reports whether the connection has been idle for too long to be reused.
func (c *connection) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleTimeout }

// stale reports whether the receiver has closed the idle connection or sent unexpected bytes. It is checked before a
// request is written, as a request written to such a connection counts as one that may have run.
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
	alive := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err != nil || !alive
}

// parseKeepAlive returns how long a connection may stay idle after a response with this header; 0: it is not reused.
func parseKeepAlive(header http.Header) time.Duration {
	keepAlive := header.Get("Keep-Alive")
	if keepAlive == "" {
		return defaultIdleTimeout
	}
	allowed := defaultIdleTimeout
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		number, err := strconv.Atoi(strings.Trim(value, `" `))
		if err != nil || number < 0 {
			continue
		}
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "timeout":
			allowed = min(time.Duration(min(number, 3600))*time.Second, maxIdleTimeout)
			allowed -= min(idleTimeoutMargin, allowed/2)
		case "max":
			if number == 0 {
				return 0
			}
		}
	}
	return allowed
}
