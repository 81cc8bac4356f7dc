package dispatch

import (
	"cmp"
	"math/bits"
	"time"

	"emberquay/admission"
)

const (
	// mostUsual bounds the kinds of calls whose usual time is kept; past it the least recently used goes.
	mostUsual = 1024
	// outputWeight: a token that is generated takes about as long as so many that are read.
	outputWeight = 10
	// firstGuess is what a usual call takes until the first answer where the route tells no objective.
	firstGuess = 100 * time.Millisecond
)

// usualKey names a kind of call: those of a route, by doubling size.
type usualKey struct {
	service, route string
	size           int
}

// usual is what a call of a kind takes as a rule.
type usual struct {
	key   usualKey
	took  float64 // nanoseconds to the end; 0: none has ended
	first float64 // to the first byte
	used  uint64
}

// whole is the time to the end of the answer.
func (u *usual) whole() time.Duration { return time.Duration(u.took) }

// start is the time to the first byte, which a stream's objective bounds.
func (u *usual) start() time.Duration { return time.Duration(cmp.Or(u.first, u.took)) }

// usual finds what a call for the request takes as a rule; until the first answer that of the service, or a
// guess: half of the objective.
func (d *Dispatcher) usual(s *service, q *request) *usual {
	if u := d.usuals[q.usualKey]; u != nil {
		return u
	}
	guess := cmp.Or(s.took, float64(q.TargetLatency/2), float64(firstGuess))
	d.guess = usual{took: guess, first: guess}
	return &d.guess
}

// learnUsual takes the times of a call that was answered.
func (d *Dispatcher) learnUsual(s *service, q *request, o Outcome) {
	u := d.usuals[q.usualKey]
	if u == nil {
		d.forgetUsual()
		u = &usual{key: q.usualKey}
		d.usuals[u.key] = u
	}
	u.used = d.arrivals
	admission.Smooth(&u.took, float64(o.Duration))
	if o.TimeToFirstByte > 0 {
		admission.Smooth(&u.first, float64(o.TimeToFirstByte))
	}
	admission.Smooth(&s.took, float64(o.Duration))
}

func (d *Dispatcher) forgetUsual() {
	if len(d.usuals) < mostUsual {
		return
	}
	var oldest *usual
	for _, u := range d.usuals {
		if oldest == nil || u.used < oldest.used || u.used == oldest.used && u.key.less(oldest.key) {
			oldest = u
		}
	}
	delete(d.usuals, oldest.key)
}

// less orders keys, so that what is forgotten does not hang on the order of a map.
func (k usualKey) less(o usualKey) bool {
	return cmp.Or(cmp.Compare(k.service, o.service), cmp.Compare(k.route, o.route), k.size-o.size) < 0
}

func keyOf(r *Request) usualKey {
	return usualKey{r.Service, r.Route, bits.Len(uint(max(0, r.InputTokens+outputWeight*r.MaxOutputTokens)))}
}
