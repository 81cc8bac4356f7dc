package standin

import (
	"net"

	"golang.org/x/sys/unix"
)

// stillOpen says whether the other end had not closed the connection by now. On loopback its close is known to the
// kernel at once; an answer written after it is never read, and what it says was not told.
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
