package standin

import "syscall"

// childAttr: a child is in a group of its own, so that Ctrl-C is for us alone, and ends when we do.
func childAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
