// Package signals holds the signals by which a process of ours is told to stop or to read its files again, from before
// other packages are initialised.
//
// Their default action ends a process. A start takes milliseconds, on a small machine tens of them, and a SIGHUP that
// says that a settings file has changed must not end the process in the midst of it. So they are held from the first;
// a command that serves takes them with Stop and Reload, and any other calls Release, so that they end it as usual. Where
// the program is linked against the C library, SIGHUP is ignored before the Go runtime begins: no settings have been read by
// then. One that comes while the dynamic linker still loads the program ends it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The signals that are held. One that comes again before it is taken counts once.
var (
	stop   = subscribe(syscall.SIGTERM, syscall.SIGINT)
	reload = subscribe(syscall.SIGHUP)
)

func subscribe(watched ...os.Signal) chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, watched...)
	return received
}

// ReloadRequested tells of each SIGHUP.
func ReloadRequested() <-chan os.Signal { return reload }

// StopRequested gives the instant at which the first SIGTERM or SIGINT came, whatever its reader does meanwhile. It is called once.
func StopRequested() <-chan time.Time { return firstArrival(stop) }

// firstArrival notes when the first signal comes.
func firstArrival(received <-chan os.Signal) <-chan time.Time {
	arrival := make(chan time.Time, 1)
	go func() {
		<-received
		arrival <- time.Now()
	}()
	return arrival
}

// RestoreDefaults gives the signals their usual action back; one that has come already takes it now.
func RestoreDefaults() {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	restoreEarly()
	select {
	case s := <-stop:
		sendToSelf(s)
	case s := <-reload:
		sendToSelf(s)
	default:
	}
}

func sendToSelf(s os.Signal) {
	if self, err := os.FindProcess(os.Getpid()); err == nil {
		_ = self.Signal(s) // it may be ignored, as under nohup
	}
}
