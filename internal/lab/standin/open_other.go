//go:build !linux

package standin

import "net"

// stillOpen cannot be known here: an answer counts as told unless the connection is reset with it unread.
func stillOpen(*net.TCPConn) bool { return true }
