package dataplane

import (
	"sync"
	"time"
)

// minUpdateInterval is the least time between two hand-overs of the receivers' list. Each costs the proxy a step for
// every receiver: where hundreds change together, as when the fleet starts or a zone comes back, one hand-over
// for each would cost the square of their number. It is far below the time within which a drain has to be heeded.
const minUpdateInterval = 50 * time.Millisecond

// throttledUpdate hands something over after each change: the first at once, those that follow soon after it together.
type throttledUpdate struct {
	update    func()
	pending   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	mutex     sync.Mutex // held while it is handed over: an older state must not come after a newer one
}

func newThrottledUpdate(update func()) *throttledUpdate {
	return &throttledUpdate{update: update, pending: make(chan struct{}, 1), closed: make(chan struct{})}
}

// trigger has the present state handed over soon. It doesn't wait.
func (f *throttledUpdate) trigger() {
	select {
	case f.pending <- struct{}{}:
	default:
	}
}

// updateNow hands the present state over at once.
func (f *throttledUpdate) updateNow() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.update()
}

// run works until close.
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
