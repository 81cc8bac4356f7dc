// Package processes starts programs that are not left behind: they end with the process that started them, even if that
// is killed.
//
//	launch := processes.NewLauncher()
//	defer launch.Close()
//	err := launch.Start(exec.Command("bin/emberquay", "proxy"))
//
// A Launcher starts all of them from one thread that lives as long as they do, since the kernel ties a child's end to
// the thread that started it.
package processes

import (
	"os/exec"
	"runtime"
)

// Launcher starts processes. It is safe for concurrent use.
type Launcher struct {
	ask  chan *exec.Cmd
	tell chan error
}

// NewLauncher makes one; Close ends it.
func NewLauncher() *Launcher {
	l := &Launcher{ask: make(chan *exec.Cmd), tell: make(chan error)}
	go func() {
		runtime.LockOSThread()
		for cmd := range l.ask {
			l.tell <- cmd.Start()
		}
	}()
	return l
}

// Start starts a command in a group of its own, so that Ctrl-C is for the starter alone.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = attributes()
	l.ask <- cmd
	return <-l.tell
}

// Close ends the thread, and with it, where the system has such a tie, what it started.
func (l *Launcher) Close() { close(l.ask) }
