package admission

const (
	// EWMAWeight is the weight of the newest of a series in its mean: about the last ten count.
	EWMAWeight = 0.2
	// InitialWindow is how many calls go out at once where nothing else bounds them, until experience does.
	InitialWindow = 8.0
)

// ConcurrencyWindow is how many calls out at once have been found bearable: halved at a refusal as full, one more for
// each windowful that is answered (additive increase, multiplicative decrease).
type ConcurrencyWindow float64

// OnRefusal takes a refusal that came while so many calls were out.
func (w *ConcurrencyWindow) OnRefusal(inFlight int) {
	*w = min(*w, ConcurrencyWindow(inFlight))
	w.Halve()
}

// Halve bears half as many, one at least.
func (w *ConcurrencyWindow) Halve() { *w = max(1, *w/2) }

// OnSuccess takes a success.
func (w *ConcurrencyWindow) OnSuccess() { *w += 1 / *w }

// Backoff is a pause that doubles with each time, up to so many doublings.
func Backoff[T ~int64](pause T, doublings, maxDoublings int) T {
	return pause << min(doublings, maxDoublings)
}

// Jitter is a pause times a random factor between 1-spread and 1+spread, so that not all who were told the
// same come back at once; chance is drawn from [0, 1).
func Jitter[T ~int64](pause T, spread, random float64) T {
	return T((1 - spread + 2*spread*random) * float64(pause))
}
