package tierlab

import (
	"sync"
	"time"

	"emberquay/internal/lab/referee/tierrules"
)

// recorder records the observed history with its times. One lock guards all of it.
type recorder struct {
	mu        sync.Mutex
	start     time.Time
	history   tierrules.History
	crashes   []string
	crashHook func() // called on a crash; may be nil
}

func newRecorder(bounds tierrules.Bounds) *recorder {
	return &recorder{start: time.Now(), history: tierrules.History{Bounds: bounds}}
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

// update calls do with the current time and the history, under the lock.
func (r *recorder) update(do func(now time.Duration, h *tierrules.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(r.now(), &r.history)
}

// recordCrash records a process that ended unexpectedly, or another failure of the lab.
func (r *recorder) recordCrash(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, what)
	if r.crashHook != nil {
		r.crashHook()
	}
}

// onCrash sets the function to call on a crash, calls it at once if there was one, and returns the crashes so far.
func (r *recorder) onCrash(alarm func()) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashHook = alarm
	if alarm != nil && len(r.crashes) > 0 {
		alarm()
	}
	return r.crashes
}
