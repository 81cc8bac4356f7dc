package transport

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is how long sent bytes may stay unacknowledged: a host that is partitioned or has lost power does not
// respond, and without this limit its connections would hang for minutes.
const tcpUserTimeout = 1500 * time.Millisecond

// setTCPOptions sets the socket options of an internal connection. Failures are ignored: the calls still have their
// deadlines.
func setTCPOptions(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2})
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}
