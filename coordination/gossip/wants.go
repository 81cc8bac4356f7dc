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

// add notes an offer and tells whether it is to be asked for at once.
func (w *wants) add(now time.Time, from string, v Version, near bool) bool {
	known := w.byKey[v.Key]
	if known != nil && known.stamp.Compare(v.Stamp) >= 0 {
		known.other = from
		if !near || known.asked {
			return false
		}
	} else if known == nil && len(w.byKey) >= maxWants {
		return false
	}
	if near {
		w.byKey[v.Key] = &want{stamp: v.Stamp, asked: true, from: from, at: now.Add(askTimeout)}
		return true
	}
	wait := farWait/4 + time.Duration(w.random.Int64N(int64(farWait*3/4)))
	w.byKey[v.Key] = &want{stamp: v.Stamp, from: from, at: now.Add(wait)}
	return false
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
