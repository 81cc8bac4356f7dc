package dataplane

import (
	"sync"
	"time"
)

// minUpdateInterval is the minimum time between two updates of the proxy's receiver list. Each update takes time linear
// in the number of receivers: when hundreds change together, as when the fleet starts or a zone comes back, one update
// for each change would take quadratic time. It is far below the time within which a drain must take effect.
const minUpdateInterval = 50 * time.Millisecond

// throttledUpdate calls a function after changes: at once after the first, and once for all that follow within
// minUpdateInterval.
type throttledUpdate struct {
	update    func()
	pending   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	mutex     sync.Mutex // held during update: an older state must not overwrite a newer one
}

func newThrottledUpdate(update func()) *throttledUpdate {
	return &throttledUpdate{update: update, pending: make(chan struct{}, 1), closed: make(chan struct{})}
}

// trigger schedules an update. It does not wait for it.
func (f *throttledUpdate) trigger() {
	select {
	case f.pending <- struct{}{}:
	default:
	}
}

// updateNow runs an update at once and waits for it.
func (f *throttledUpdate) updateNow() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.update()
}

// run runs the scheduled updates until close is called.
func (f *throttledUpdate) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-f.closed:
			return
		}
		select {
		case <-f.pending:
			f.updateNow()
			timer.Reset(minUpdateInterval)
		case <-f.closed:
			return
		}
	}
}

func (f *throttledUpdate) close() { f.closeOnce.Do(func() { close(f.closed) }) }
