//go:build !linux

package processes

import "syscall"

// attributes puts a child into a process group of its own.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
