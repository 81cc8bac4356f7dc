package dispatch

import (
	"time"

	"emberquay/admission"
)

// Senders tell each other of receivers whose calls fail, as each would else lose calls of its own before it knows; what
// may have run must not be sent again. A suspicion makes a receiver dearer, never unusable: it may be the link of the
// sender that told of it which is broken.
const (
	// firstSuspicion is how long a suspicion lasts; it doubles with each that comes before the last was long over.
	firstSuspicion  = time.Second
	mostSuspicions  = 3                // doublings
	suspicionSpread = 0.5              // of its length, either way: the first who tries again tells the others
	suspicionMemory = 10 * time.Second // after which one counts as the first again
	acquittal       = time.Second      // an own answer so late speaks for a receiver
	suspicionCostMs = 500.0            // far more than any difference in load between plain receivers
)

// suspicion is what other senders' failures say of a receiver.
type suspicion struct {
	until Instant
	heard int // without a long pause
}

// Suspect takes another sender's word that calls to a receiver fail. An own answer of late counts for more.
func (d *Dispatcher) Suspect(now Instant, instance InstanceID) Effects {
	d.begin(now)
	if b := d.buckets[instance]; b != nil && !b.answeredOfLate(d.now) {
		b.suspect(d.now, d.chance.Unit())
	}
	return d.done()
}

func (b *bucket) answeredOfLate(now Instant) bool {
	return b.answered > 0 && now < b.answered.Add(acquittal)
}

func (b *bucket) suspect(now Instant, chance float64) {
	s := &b.suspicion
	if now > s.until.Add(suspicionMemory) {
		s.heard = 0
	}
	s.heard++
	span := admission.Jittered(admission.Doubled(firstSuspicion, s.heard, mostSuspicions), suspicionSpread, chance)
	s.until = max(s.until, now.Add(span))
}

// accuse tells the other senders that calls to a receiver fail, unless it has answered others of late or they know.
func (d *Dispatcher) accuse(b *bucket) {
	if b.answeredOfLate(d.now) || d.now < b.suspicion.until {
		return
	}
	b.suspect(d.now, d.chance.Unit())
	d.effects.Failing = append(d.effects.Failing, b.ID)
}

// suspicionCost is what a call there may be expected to cost more, in milliseconds.
func (b *bucket) suspicionCost(now Instant) float64 {
	if now < b.suspicion.until {
		return suspicionCostMs
	}
	return 0
}
