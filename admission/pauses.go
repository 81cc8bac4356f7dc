package admission

const (
	// EWMAWeight is the weight of the newest value in a mean: about the last ten values count.
	EWMAWeight = 0.2
	// InitialWindow is how many calls may be in flight where nothing else limits them, until results adjust it.
	InitialWindow = 8.0
)

// ConcurrencyWindow is the learned limit of calls in flight: halved at a refusal for overload, one more for
// each window of successful calls (additive increase, multiplicative decrease).
type ConcurrencyWindow float64

// OnRefusal cuts the window to the calls in flight at a refusal and halves it.
func (w *ConcurrencyWindow) OnRefusal(inFlight int) {
	*w = min(*w, ConcurrencyWindow(inFlight))
	w.Halve()
}

// Halve halves the window, to one at least.
func (w *ConcurrencyWindow) Halve() { *w = max(1, *w/2) }

// OnSuccess grows the window after a successful call.
func (w *ConcurrencyWindow) OnSuccess() { *w += 1 / *w }

// Backoff returns the base pause doubled n times, but at most maxDoublings times.
func Backoff[T ~int64](base T, n, maxDoublings int) T { return base << min(n, maxDoublings) }

// Jitter returns a pause times a factor between 1-spread and 1+spread, so that senders given the same pause do
// not all return at once; random is drawn from [0, 1).
func Jitter[T ~int64](pause T, spread, random float64) T {
	return T((1 - spread + 2*spread*random) * float64(pause))
}
