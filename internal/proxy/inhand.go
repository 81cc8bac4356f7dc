package proxy

import (
	"context"
	"sync"
)

// inHand counts the requests that have been read and not answered, for the shutdown to wait for.
type inHand struct {
	mu      sync.Mutex
	count   int
	stopped bool
	empty   chan struct{} // closed when the count is 0; nil while nobody waits
}

// enter counts a request.
func (h *inHand) enter() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
}

// present is how many there are now.
func (h *inHand) present() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

// isStopped says that the process ends, and that nothing may be passed on any more.
func (h *inHand) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

func (h *inHand) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count--
	if h.count == 0 && h.empty != nil {
		h.stopped = true
		close(h.empty)
		h.empty = nil
	}
}

// stop waits until no request is in hand, from where on none enters. It says how many are left when ctx ends first.
func (h *inHand) stop(ctx context.Context) int {
	h.mu.Lock()
	if h.count == 0 {
		h.stopped = true
		h.mu.Unlock()
		return 0
	}
	empty := make(chan struct{})
	h.empty = empty
	h.mu.Unlock()
	select {
	case <-empty:
		return 0
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	return h.count
}
