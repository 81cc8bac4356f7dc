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
func NewLauncher() *Launcher { return NewLauncherOn(0) }

// NewLauncherOn is NewLauncher for processes that share some cores; 0: all that this process may use.
func NewLauncherOn(cores int) *Launcher {
	l := &Launcher{commands: make(chan *exec.Cmd), startErrors: make(chan error)}
	go l.run(cores)
	return l
}

// run starts the commands. Its thread stays locked when it returns, so that the thread ends with it.
func (l *Launcher) run(cores int) {
	runtime.LockOSThread()
	var err error
	if cores > 0 {
		err = pin(cores)
	}
	for cmd := range l.commands {
		if err != nil {
			l.startErrors <- err
			continue
		}
		l.startErrors <- cmd.Start()
	}
}

// Start starts a command in a process group of its own, so that Ctrl-C interrupts only the parent.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = attributes()
	l.commands <- cmd
	return <-l.startErrors
}

// Close ends the thread and with it, on Linux, the processes that it started.
func (l *Launcher) Close() { close(l.commands) }
