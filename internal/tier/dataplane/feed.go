package dataplane

import (
	"sync"
	"time"
)

// feedInterval is the least time between two hand-overs of the receivers' list. Each costs the proxy a step for
// every receiver: where hundreds change together, as when the fleet starts or a zone comes back, one hand-over
// for each would cost the square of their number. It is far below the time within which a drain has to be heeded.
const feedInterval = 50 * time.Millisecond

// feed hands something over after each change: the first at once, those that follow soon after it together.
type feed struct {
	handOver func()
	stale    chan struct{}
	end      chan struct{}
	once     sync.Once
	mutex    sync.Mutex // held while it is handed over: an older state must not come after a newer one
}

func newFeed(handOver func()) *feed {
	return &feed{handOver: handOver, stale: make(chan struct{}, 1), end: make(chan struct{})}
}

// changed has the present state handed over soon. It doesn't wait.
func (f *feed) changed() {
	select {
	case f.stale <- struct{}{}:
	default:
	}
}

// now hands the present state over at once.
func (f *feed) now() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.handOver()
}

// run works until close.
func (f *feed) run() {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-pause.C:
		case <-f.end:
			return
		}
		select {
		case <-f.stale:
			f.now()
			pause.Reset(feedInterval)
		case <-f.end:
			return
		}
	}
}

func (f *feed) close() { f.once.Do(func() { close(f.end) }) }
