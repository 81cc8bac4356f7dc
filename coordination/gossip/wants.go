package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// otherZoneOfferWait is the longest time that an offer from another zone waits for one from the own zone.
	otherZoneOfferWait = 150 * time.Millisecond
	// comparisonOfferWait is how long an offer made in a comparison waits for a push or a pushed offer: between half
	// of it and all of it if the peer is in the own zone, otherwise between once and twice as long.
	comparisonOfferWait = 400 * time.Millisecond
	// requestTimeout is the time after which an unanswered request is sent to another peer that offered the entry.
	requestTimeout = 400 * time.Millisecond
	// maxWantedEntries bounds the entries wanted at a time; further ones are left to the comparisons.
	maxWantedEntries = 4 << 10
)

// wantedEntry is an entry that was offered and has not arrived yet.
type wantedEntry struct {
	stamp      Stamp
	requested  bool
	source     string    // the peer that is or will be asked
	fallback   string    // another peer that offered it, or empty
	nextAction time.Time // when it is requested, requested again or given up
}

// wantedEntries holds the entries that were offered and have not arrived yet.
type wantedEntries struct {
	random *rand.Rand
	byKey  map[string]*wantedEntry
}

// request asks a peer for entries.
type request struct {
	to   string
	keys []string
}

// offerOrigin describes where an offer comes from.
type offerOrigin struct {
	sameZone       bool // made by a peer of the own zone
	fromComparison bool // made in a comparison, not by a push
}

// offerDelay returns how long to wait for a better source of the entry before requesting it.
func (w *wantedEntries) offerDelay(origin offerOrigin) time.Duration {
	switch {
	case origin.fromComparison && origin.sameZone:
		return w.randomBetween(comparisonOfferWait/2, comparisonOfferWait)
	case origin.fromComparison:
		return w.randomBetween(comparisonOfferWait, 2*comparisonOfferWait)
	case origin.sameZone:
		return 0
	}
	return w.randomBetween(otherZoneOfferWait/4, otherZoneOfferWait)
}

func (w *wantedEntries) randomBetween(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)))
}

// add records an offer and reports whether the entry is to be requested immediately.
func (w *wantedEntries) add(now time.Time, peer string, v Version, origin offerOrigin) bool {
	delay := w.offerDelay(origin)
	known := w.byKey[v.Key]
	isKnown := known != nil && known.stamp.Compare(v.Stamp) >= 0
	switch {
	case isKnown && (known.requested || !now.Add(delay).Before(known.nextAction)):
		known.fallback = peer
		return false
	case known == nil && len(w.byKey) >= maxWantedEntries:
		return false
	case delay > 0:
		w.byKey[v.Key] = &wantedEntry{stamp: v.Stamp, source: peer, nextAction: now.Add(delay)}
		return false
	}
	w.byKey[v.Key] = &wantedEntry{stamp: v.Stamp, requested: true, source: peer, nextAction: now.Add(requestTimeout)}
	return true
}

// nextDue returns when dueRequests must be called next, or the zero time.
func (w *wantedEntries) nextDue() time.Time {
	var due time.Time
	for _, entry := range w.byKey {
		due = earlier(due, entry.nextAction)
	}
	return due
}

// dueRequests returns the requests that are due, and gives up on entries that no other peer has offered.
func (w *wantedEntries) dueRequests(now time.Time) []request {
	var requests []request
	for _, key := range slices.Sorted(maps.Keys(w.byKey)) {
		entry := w.byKey[key]
		if now.Before(entry.nextAction) {
			continue
		}
		if entry.requested {
			entry.source, entry.fallback = entry.fallback, ""
		}
		if entry.source == "" {
			delete(w.byKey, key)
			continue
		}
		entry.requested = true
		entry.nextAction = now.Add(requestTimeout)
		requests = appendRequest(requests, entry.source, key)
	}
	return requests
}

func appendRequest(requests []request, to, key string) []request {
	for i := range requests {
		if requests[i].to == to {
			requests[i].keys = append(requests[i].keys, key)
			return requests
		}
	}
	return append(requests, request{to: to, keys: []string{key}})
}
