package transport

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is how long sent bytes may stay unacknowledged: a host behind a cut or without power says
// nothing, and without this bound its connections would hang for minutes.
const tcpUserTimeout = 1500 * time.Millisecond

// setTCPOptions sets the options of an internal connection. Failures are ignored: the calls' own deadlines remain.
func setTCPOptions(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
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
