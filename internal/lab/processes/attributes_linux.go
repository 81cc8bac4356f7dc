package processes

import "syscall"

// attributes: a child is in a group of its own and ends when its starter does.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
