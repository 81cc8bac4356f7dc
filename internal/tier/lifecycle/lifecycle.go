// Package lifecycle runs a plane from its start to the platform's word to stop.
//
//	return lifecycle.Run(node, logger, func() (lifecycle.Plane, error) { return store.Start(node, logger) })
//
// SIGTERM and SIGINT stop the plane within the platform's grace, which runs from the signal, whatever the process does at
// that moment. SIGHUP has the settings file read again; it may
// also change without a signal, so its time is looked at now and then. Of a changed file only the seeds count
// while a process runs; a faulty one is logged and changes nothing.
package lifecycle

import (
	"context"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"emberquay/internal/signals"
	"emberquay/internal/tier/settings"
)

const (
	// graceReserve is what is left of the platform's grace for the process to end, graceReserveShare the most of it where
	// the grace is short: with the last answers it stays within the sixth of the grace in which an answer may be cut.
	graceReserve      = 500 * time.Millisecond
	graceReserveShare = 1.0 / 12
	// fileInterval is the time between two looks at the settings file.
	fileInterval = 2 * time.Second
	// memoryShare is how much of the machine's memory the heap may take before it is collected more often: the
	// bytes that wait in sockets, stacks and the program itself count too.
	memoryShare = 0.6
	// collectPercent has the heap collected when it has grown by half: the planes hold a few megabytes that live,
	// and memory at its peak is dearer here than the processor time of collecting more often.
	collectPercent = 50
)

// Plane is what runs.
type Plane interface {
	// Shutdown serves what has been begun and ends the plane; it returns when ctx ends at the latest. The process was
	// told to stop at the instant signalled, which is past, and longer so where the signal came during the start.
	Shutdown(ctx context.Context, signalled time.Time)
	// SetSeeds tells the internal addresses of other machines' control planes. It may come from another goroutine than
	// Shutdown, and after it.
	SetSeeds(addresses []string)
}

// Run starts a plane and returns once it has been told to stop and has ended.
func Run(path string, node *settings.Node, logger log.Interface, start func() (Plane, error)) error {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(node.Limits.MemoryMB<<20)))
	return run(path, node, logger, start, signals.StopRequested(), signals.ReloadRequested())
}

// run is Run with what the signals tell.
func run(path string, node *settings.Node, logger log.Interface, start func() (Plane, error), stop <-chan time.Time, reload <-chan os.Signal) error {
	plane, err := start()
	if err != nil {
		return err
	}
	logger.Info("started")
	stopping := make(chan struct{})
	go followSettings(path, plane, logger, reload, stopping)
	at := <-stop
	close(stopping)
	logger.WithField("since_signal_ms", time.Since(at).Milliseconds()).Info("stopping")
	shutdown(plane, at, stopTime(node.Bounds.Grace))
	logger.Info("stopped")
	return nil
}

// stopTime is how long after the signal a plane may take to end.
func stopTime(grace time.Duration) time.Duration {
	return grace - min(graceReserve, time.Duration(graceReserveShare*float64(grace)))
}

func shutdown(plane Plane, signalled time.Time, allowed time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), signalled.Add(allowed))
	defer cancel()
	plane.Shutdown(ctx, signalled)
}

// followSettings reads the settings file again when it has changed, until the process is told to stop. It has a goroutine
// of its own: a disk may answer nothing for longer than a stop has time.
func followSettings(path string, plane Plane, logger log.Interface, reload <-chan os.Signal, stopping <-chan struct{}) {
	watch := newFileWatch(path)
	ticker := time.NewTicker(fileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopping:
			return
		case <-reload:
			watch.changed()
			readAgain(path, plane, logger)
		case <-ticker.C:
			if watch.changed() {
				readAgain(path, plane, logger)
			}
		}
	}
}

func readAgain(path string, plane Plane, logger log.Interface) {
	node, err := settings.LoadFile(path)
	if err != nil {
		logger.WithError(err).Error("the changed settings are not taken")
		return
	}
	plane.SetSeeds(node.SeedInternalAddresses())
	logger.Info("settings read again")
}

// fileWatch tells whether a file has another time or size than when it was last looked at.
type fileWatch struct {
	path string
	time time.Time
	size int64
}

func newFileWatch(path string) *fileWatch {
	w := &fileWatch{path: filepath.Clean(path)}
	w.changed()
	return w
}

func (w *fileWatch) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.time) && info.Size() == w.size {
		return false
	}
	w.time, w.size = info.ModTime(), info.Size()
	return true
}
