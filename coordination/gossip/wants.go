package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// farWait is how long at most an offer from another zone waits for one from the own zone.
	farWait = 150 * time.Millisecond
	// lateWait is how long at least an offer that a comparison made waits for one by a push, and twice that at
	// most if it comes from another zone.
	lateWait = 400 * time.Millisecond
	// askTimeout is after what time another peer that offered the same is asked.
	askTimeout = 400 * time.Millisecond
	// maxWants bounds what is asked for at a time; more is left to the comparisons.
	maxWants = 4 << 10
)

// want is an entry that was offered and has not come yet.
type want struct {
	stamp Stamp
	asked bool
	from  string    // who is asked, or will be
	other string    // who else offered it
	at    time.Time // when it is asked for, or given up
}

// wants are the entries that were offered and have not come yet.
type wants struct {
	random *rand.Rand
	byKey  map[string]*want
}

// ask is a question for entries to a peer.
type ask struct {
	to   string
	keys []string
}

// offer says how an offer was made.
type offer struct {
	near bool // by a peer of the own zone
	late bool // by a comparison, not by a push
}

// wait is how long an offer waits for a better one.
func (w *wants) wait(o offer) time.Duration {
	switch {
	case o.late && o.near:
		return w.between(lateWait/2, lateWait)
	case o.late:
		return w.between(lateWait, 2*lateWait)
	case o.near:
		return 0
	}
	return w.between(farWait/4, farWait)
}

func (w *wants) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// add notes an offer and tells whether it is to be asked for at once.
func (w *wants) add(now time.Time, from string, v Version, o offer) bool {
	wait := w.wait(o)
	known := w.byKey[v.Key]
	same := known != nil && known.stamp.Compare(v.Stamp) >= 0
	switch {
	case same && (known.asked || !now.Add(wait).Before(known.at)):
		known.other = from
		return false
	case known == nil && len(w.byKey) >= maxWants:
		return false
	case wait > 0:
		w.byKey[v.Key] = &want{stamp: v.Stamp, from: from, at: now.Add(wait)}
		return false
	}
	w.byKey[v.Key] = &want{stamp: v.Stamp, asked: true, from: from, at: now.Add(askTimeout)}
	return true
}

// due is when expired wants to be called, or zero.
func (w *wants) due() time.Time {
	var due time.Time
	for _, one := range w.byKey {
		due = earlier(due, one.at)
	}
	return due
}

// expired gives the questions that are due, and gives up those that nobody else can answer.
func (w *wants) expired(now time.Time) []ask {
	var asks []ask
	for _, key := range slices.Sorted(maps.Keys(w.byKey)) {
		one := w.byKey[key]
		if now.Before(one.at) {
			continue
		}
		if one.asked {
			one.from, one.other = one.other, ""
		}
		if one.from == "" {
			delete(w.byKey, key)
			continue
		}
		one.asked = true
		one.at = now.Add(askTimeout)
		asks = appendAsk(asks, one.from, key)
	}
	return asks
}

func appendAsk(asks []ask, to, key string) []ask {
	for i := range asks {
		if asks[i].to == to {
			asks[i].keys = append(asks[i].keys, key)
			return asks
		}
	}
	return append(asks, ask{to: to, keys: []string{key}})
}
