package processes

import "syscall"

// attributes puts a child into a process group of its own and has it killed when the thread that started it ends.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
