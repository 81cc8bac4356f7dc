// Package lateness measures how late the process gets its processor: a timer that should have fired at an instant and
// is seen later shows what every wake-up of the process may lose at that time, to other processes, to a quota, to a
// collection of garbage. A time-out learnt from an idle moment says nothing on a machine that is busy a moment later;
// who sets one adds what is measured here.
//
//	monitor := lateness.Watch(stop)   // until stop is closed
//	bound := calls * monitor.Worst()
//
// One goroutine owns the windows; Worst may be called from any.
package lateness

import (
	"sync/atomic"
	"time"
)

const (
	// SampleInterval is how often the monitor looks: 50 wake-ups a second, some 0.05% of a core.
	SampleInterval = 20 * time.Millisecond
	// Window is how long an observation counts: at least this, at most twice this.
	Window = 10 * time.Second
	// InitialMax is what counts as the worst until the first window is full, as a few looks show little: a scheduler's
	// round of eight threads at 3 ms each, the default slice of Linux.
	InitialMax = 25 * time.Millisecond
)

// Monitor keeps the worst lateness of late. Its zero value has observed nothing.
type Monitor struct {
	windows windows
	worst   atomic.Int64 // of windows, as a time.Duration
}

// StartMonitor starts a monitor, which observes until stop is closed.
func StartMonitor(stop <-chan struct{}) *Monitor {
	m := &Monitor{windows: windows{start: time.Now()}}
	m.worst.Store(int64(InitialMax))
	go m.run(stop)
	return m
}

// Max is the worst lateness observed within the last one to two windows; Unobserved or more until the first is full.
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

// windows keeps the worst observation of the window under way and of the one before it.
type windows struct {
	start             time.Time // of the window under way
	complete          bool      // one window has passed
	current, previous time.Duration
}

// observe takes one observation and gives the worst that counts.
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
