package protocol

import (
	"net"
	"syscall"
)

// Peek checks without reading whether a connection has unread data and whether the other side has closed it.
// One that cannot be examined counts as open without data.
func Peek(c net.Conn) (unread, ended bool) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread, ended || err != nil
}
