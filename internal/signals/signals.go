// Package signals captures SIGTERM, SIGINT and SIGHUP from the initialization of this package on.
//
// Their default action terminates the process. A start takes milliseconds, on a small machine tens of milliseconds, and a
// SIGHUP for a changed settings file must not terminate the process meanwhile. Commands that serve receive the captured
// signals from StopRequested and ReloadRequested; all others call RestoreDefaults, so that the signals terminate them as
// usual. In a program linked against the C library, SIGHUP is also ignored before the Go runtime starts, as no settings have
// been read by then. A SIGHUP that arrives while the dynamic linker still loads the program terminates it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The captured signals. A signal that is repeated before it is received counts once.
var (
	stop   = subscribe(syscall.SIGTERM, syscall.SIGINT)
	reload = subscribe(syscall.SIGHUP)
)

func subscribe(watched ...os.Signal) chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, watched...)
	return received
}

// ReloadRequested returns a channel that receives each SIGHUP.
func ReloadRequested() <-chan os.Signal { return reload }

// StopRequested returns a channel that receives the arrival time of the first SIGTERM or SIGINT, even if it is read later.
// It must be called only once.
func StopRequested() <-chan time.Time { return firstArrival(stop) }

// firstArrival records the arrival time of the first signal.
func firstArrival(received <-chan os.Signal) <-chan time.Time {
	arrival := make(chan time.Time, 1)
	go func() {
		<-received
		arrival <- time.Now()
	}()
	return arrival
}

// RestoreDefaults restores the original actions of the signals and raises again one that has already arrived.
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
		_ = self.Signal(s) // the signal may be ignored, as under nohup
	}
}
