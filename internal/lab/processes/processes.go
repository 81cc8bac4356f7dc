// Package processes starts child processes that don't outlive their parent, even if it is killed (on Linux).
//
//	launch := processes.NewLauncher()
//	defer launch.Close()
//	err := launch.Start(exec.Command("bin/emberquay", "proxy"))
//
// A Launcher starts all children from one OS thread that it keeps until Close: the kernel sends the parent-death signal
// when the thread that started the child ends.
package processes

import (
	"os/exec"
	"runtime"
)

// Launcher starts processes. It is safe for concurrent use.
type Launcher struct {
	commands    chan *exec.Cmd
	startErrors chan error
}

// NewLauncher starts the launcher's thread; Close ends it.
func NewLauncher() *Launcher {
	l := &Launcher{commands: make(chan *exec.Cmd), startErrors: make(chan error)}
	go func() {
		runtime.LockOSThread()
		for cmd := range l.commands {
			l.startErrors <- cmd.Start()
		}
	}()
	return l
}

// Start starts a command in a process group of its own, so that Ctrl-C interrupts only the parent.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = attributes()
	l.commands <- cmd
	return <-l.startErrors
}

// Close ends the thread and with it, on Linux, the processes that it started.
func (l *Launcher) Close() { close(l.commands) }
