package standin

import (
	"net"

	"golang.org/x/sys/unix"
)

// stillOpen reports whether the peer has not closed the connection yet. On loopback the kernel knows of the close at
// once; an answer written after it is never read, so it does not count as delivered.
func stillOpen(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == 1 // established
	})
	return open
}
