//go:build !linux

package processes

import "syscall"

// attributes: a child is in a group of its own.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
