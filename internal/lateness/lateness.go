// Package lateness measures the scheduling delay of the process. The time between the expiry of a timer and its handling
// shows the delay of any wake-up at that time, caused by other processes, a CPU quota or garbage collection. A timeout
// derived from measurements on an idle machine is too short once the machine is busy, so callers add this delay to it.
//
//	monitor := lateness.StartMonitor(stop) // until stop is closed
//	bound := calls * monitor.Max()
//
// One goroutine owns the windows; Max is safe for concurrent use.
package lateness

import (
	"sync/atomic"
	"time"
)

const (
	// SampleInterval is the time between two samples: 50 wake-ups a second use about 0.05% of a core.
	SampleInterval = 20 * time.Millisecond
	// Window is the shortest time for which a sample counts; the longest is twice as long.
	Window = 10 * time.Second
	// InitialMax is the lower bound of Max until the first window is complete, because a few samples show little. It
	// is a scheduling round of eight threads with the default time slice of Linux, 3 ms.
	InitialMax = 25 * time.Millisecond
)

// Monitor holds the maximum recent lateness. Its zero value has no samples.
type Monitor struct {
	windows windows
	worst   atomic.Int64 // maximum of windows, a time.Duration
}

// StartMonitor starts a monitor that samples until stop is closed.
func StartMonitor(stop <-chan struct{}) *Monitor {
	m := &Monitor{windows: windows{start: time.Now()}}
	m.worst.Store(int64(InitialMax))
	go m.run(stop)
	return m
}

// Max returns the maximum lateness within the last one to two windows; at least InitialMax until the first is complete.
func (m *Monitor) Max() time.Duration { return time.Duration(m.worst.Load()) }

func (m *Monitor) run(stop <-chan struct{}) {
	timer := time.NewTimer(SampleInterval)
	defer timer.Stop()
	for due := time.Now().Add(SampleInterval); ; {
		select {
		case <-stop:
			return
		case <-timer.C:
		}
		now := time.Now()
		m.worst.Store(int64(m.windows.observe(now, now.Sub(due))))
		due = now.Add(SampleInterval)
		timer.Reset(SampleInterval)
	}
}

// windows holds the maxima of the current and of the previous window.
type windows struct {
	start             time.Time // of the current window
	complete          bool      // at least one window has ended
	current, previous time.Duration
}

// observe adds a sample and returns the maximum of both windows.
func (w *windows) observe(now time.Time, late time.Duration) time.Duration {
	if now.Sub(w.start) >= Window {
		w.previous, w.current = w.current, 0
		w.start, w.complete = now, true
	}
	w.current = max(w.current, late)
	if !w.complete {
		return max(InitialMax, w.current)
	}
	return max(w.current, w.previous)
}
