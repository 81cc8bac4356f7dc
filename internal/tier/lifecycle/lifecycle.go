// Package lifecycle runs a plane from its start until the platform stops it.
//
//	return lifecycle.Run(settingsPath, node, logger, func() (lifecycle.Plane, error) { return store.Start(node, logger) })
//
// SIGTERM and SIGINT stop the plane within the platform's grace period, which starts at the signal, whatever the process
// is doing then. SIGHUP reloads the settings file; the file may also change without a signal, so it is checked
// periodically. Only the seeds of a changed file take effect while the process runs; an invalid file is logged and
// changes nothing.
package lifecycle

import (
	"context"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"emberquay/internal/signals"
	"emberquay/internal/tier/settings"
)

const (
	// shutdownReserve is the part of the platform's grace period that is left for the process to exit, at most
	// maxShutdownReserveShare of a short one: together with the last responses it stays within the sixth of the grace
	// period in which a response may be aborted.
	shutdownReserve         = 500 * time.Millisecond
	maxShutdownReserveShare = 1.0 / 12
	// settingsPollInterval is the time between two checks of the settings file.
	settingsPollInterval = 2 * time.Second
	// heapMemoryShare is the share of the machine's memory for Go's memory limit, near which the heap is collected more
	// often: socket buffers, stacks and the program itself need memory too.
	heapMemoryShare = 0.6
	// gcPercent collects the heap when it has grown by half: the planes hold a few megabytes of live data, and peak
	// memory costs more here than the CPU time of more frequent collections.
	gcPercent = 50
)

// Plane is a running proxy, control plane or store.
type Plane interface {
	// Shutdown completes the work in progress and closes the plane; it returns at the latest when ctx ends. signalledAt is
	// when the process was told to stop: in the past, and further so if the signal came during the start.
	Shutdown(ctx context.Context, signalledAt time.Time)
	// Failed returns a channel that is closed if the plane cannot go on by itself; nil if it always can. After Shutdown it
	// has no meaning.
	Failed() <-chan struct{}
	// SetSeeds sets the internal addresses of other machines' control planes. It may be called from another goroutine than
	// Shutdown, and after it.
	SetSeeds(addresses []string)
}

// ErrPlaneFailed is the error of Run if the plane could not go on. Its log says why.
var ErrPlaneFailed = eris.New("lifecycle: the plane has failed")

// Run starts a plane and returns once the process has been told to stop and the plane has shut down. Errors: those of start,
// and ErrPlaneFailed, upon which the process ends so that the platform starts it again.
func Run(path string, node *settings.Node, logger log.Interface, start func() (Plane, error)) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(node.Limits.MemoryMB<<20)))
	return run(path, node, logger, start, signals.StopRequested(), signals.ReloadRequested())
}

// run is Run with the channels of the signals.
func run(path string, node *settings.Node, logger log.Interface, start func() (Plane, error), stop <-chan time.Time, reload <-chan os.Signal) error {
	plane, err := start()
	if err != nil {
		return err
	}
	logger.Info("started")
	stopping := make(chan struct{})
	go watchSettings(path, plane, logger, reload, stopping)
	var signalledAt time.Time
	select {
	case signalledAt = <-stop:
	case <-plane.Failed():
		err = ErrPlaneFailed
		signalledAt = time.Now()
	}
	close(stopping)
	logger.WithField("since_signal_ms", time.Since(signalledAt).Milliseconds()).Info("stopping")
	shutdown(plane, signalledAt, shutdownTimeout(node.Bounds.TerminationGrace))
	logger.Info("stopped")
	return err
}

// shutdownTimeout returns how long after the signal a plane's shutdown may take.
func shutdownTimeout(grace time.Duration) time.Duration {
	return grace - min(shutdownReserve, time.Duration(maxShutdownReserveShare*float64(grace)))
}

func shutdown(plane Plane, signalledAt time.Time, timeout time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), signalledAt.Add(timeout))
	defer cancel()
	plane.Shutdown(ctx, signalledAt)
}

// watchSettings reloads the settings file when it has changed, until the process is told to stop. It runs in its own
// goroutine: reading from a disk that does not respond may block for longer than a shutdown may take.
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
		logger.WithError(err).Error("cannot reload the settings; the previous ones remain in effect")
		return
	}
	plane.SetSeeds(node.SeedInternalAddresses())
	logger.Info("settings reloaded")
}

// fileWatcher detects whether a file's modification time or size has changed since the last check.
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
