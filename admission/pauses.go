package admission

const (
	// Smoothing is the weight of the newest of a series in its mean: about the last ten count.
	Smoothing = 0.2
	// FirstWindow is how many calls go out at once where nothing else bounds them, until experience does.
	FirstWindow = 8.0
)

// Window is how many calls out at once have been found bearable: halved at a refusal as full, one more for
// each windowful that is answered (additive increase, multiplicative decrease).
type Window float64

// Refused takes a refusal that came while so many calls were out.
func (w *Window) Refused(out int) {
	*w = min(*w, Window(out))
	w.Halve()
}

// Halve bears half as many, one at least.
func (w *Window) Halve() { *w = max(1, *w/2) }

// Answered takes a success.
func (w *Window) Answered() { *w += 1 / *w }

// Doubled is a pause that doubles with each time, up to so many doublings.
func Doubled[T ~int64](pause T, times, most int) T { return pause << min(times, most) }

// Jittered is a pause times a random factor between 1-spread and 1+spread, so that not all who were told the
// same come back at once; chance is drawn from [0, 1).
func Jittered[T ~int64](pause T, spread, chance float64) T {
	return T((1 - spread + 2*spread*chance) * float64(pause))
}
