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
	// shutdownReserve is what is left of the platform's grace for the process to end, graceReserveShare the most of it where
	// the grace is short: with the last answers it stays within the sixth of the grace in which an answer may be cut.
	shutdownReserve         = 500 * time.Millisecond
	maxShutdownReserveShare = 1.0 / 12
	// settingsPollInterval is the time between two looks at the settings file.
	settingsPollInterval = 2 * time.Second
	// heapMemoryShare is how much of the machine's memory the heap may take before it is collected more often: the
	// bytes that wait in sockets, stacks and the program itself count too.
	heapMemoryShare = 0.6
	// gcPercent has the heap collected when it has grown by half: the planes hold a few megabytes that live,
	// and memory at its peak is dearer here than the processor time of collecting more often.
	gcPercent = 50
)

// Plane is what runs.
type Plane interface {
	// Shutdown serves what has been begun and ends the plane; it returns when ctx ends at the latest. The process was
	// told to stop at the instant signalled, which is past, and longer so where the signal came during the start.
	Shutdown(ctx context.Context, signalledAt time.Time)
	// SetSeeds tells the internal addresses of other machines' control planes. It may come from another goroutine than
	// Shutdown, and after it.
	SetSeeds(addresses []string)
}

// Run starts a plane and returns once it has been told to stop and has ended.
func Run(path string, node *settings.Node, logger log.Interface, start func() (Plane, error)) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(node.Limits.MemoryMB<<20)))
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
	go watchSettings(path, plane, logger, reload, stopping)
	signalledAt := <-stop
	close(stopping)
	logger.WithField("since_signal_ms", time.Since(signalledAt).Milliseconds()).Info("stopping")
	shutdown(plane, signalledAt, shutdownTimeout(node.Bounds.Grace))
	logger.Info("stopped")
	return nil
}

// shutdownTimeout is how long after the signal a plane may take to end.
func shutdownTimeout(grace time.Duration) time.Duration {
	return grace - min(shutdownReserve, time.Duration(maxShutdownReserveShare*float64(grace)))
}

func shutdown(plane Plane, signalledAt time.Time, timeout time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), signalledAt.Add(timeout))
	defer cancel()
	plane.Shutdown(ctx, signalledAt)
}

// watchSettings reads the settings file again when it has changed, until the process is told to stop. It has a goroutine
// of its own: a disk may answer nothing for longer than a stop has time.
func watchSettings(path string, plane Plane, logger log.Interface, reload <-chan os.Signal, stopping <-chan struct{}) {
	watcher := newFileWatcher(path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopping:
			return
		case <-reload:
			watcher.changed()
			reloadSettings(path, plane, logger)
		case <-ticker.C:
			if watcher.changed() {
				reloadSettings(path, plane, logger)
			}
		}
	}
}

func reloadSettings(path string, plane Plane, logger log.Interface) {
	node, err := settings.LoadFile(path)
	if err != nil {
		logger.WithError(err).Error("the changed settings are not taken")
		return
	}
	plane.SetSeeds(node.SeedInternalAddresses())
	logger.Info("settings read again")
}

// fileWatcher tells whether a file has another time or size than when it was last looked at.
type fileWatcher struct {
	path    string
	modTime time.Time
	size    int64
}

func newFileWatcher(path string) *fileWatcher {
	w := &fileWatcher{path: filepath.Clean(path)}
	w.changed()
	return w
}

func (w *fileWatcher) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil || info.ModTime().Equal(w.modTime) && info.Size() == w.size {
		return false
	}
	w.modTime, w.size = info.ModTime(), info.Size()
	return true
}
