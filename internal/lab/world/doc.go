// Package world models the environment of a sender: receivers with their limits, queues and outages, the receiver list,
// the clients, and the restarts of the senders themselves. It is pure: callers pass the time elapsed since the day began,
// there is no I/O and no goroutine, and all randomness comes from the seed. Usage:
//
//	w := world.Default()                  // or world.Read(raw), from a file
//	day, err := w.Draw(seed)              // arrivals, receivers, incidents: all that is drawn in advance
//	for _, t := range day.Texts { ... }   // what clients hand in, ordered by time
//	r := day.Receivers[i]
//	endAt, ends := r.Begin(now, call)     // the last byte of a call has arrived
//	answer := r.End(endAt, call)          // what to write, if anything
//
// internal/lab/standin runs a day on sockets, internal/lab/fleet on a virtual clock. The same seed gives the same day
// (arrivals, incidents, service times), whatever the senders do: a value drawn during the day depends only on the seed and
// on the text, receiver and submit that it is for, not on earlier draws.
package world

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// newRand returns an independent random source for one draw, identified by its purpose and parts.
func newRand(seed uint64, purpose string, parts ...uint64) *rand.Rand {
	hash := xxhash.NewWithSeed(seed)
	hash.WriteString(purpose)
	var buf [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(buf[:], p)
		hash.Write(buf[:])
	}
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// drawBetween draws from a range of two bounds; a single bound is the value itself, and none gives 0.
func drawBetween(rnd *rand.Rand, bounds []float64) float64 {
	switch len(bounds) {
	case 0:
		return 0
	case 1:
		return bounds[0]
	}
	return bounds[0] + (bounds[1]-bounds[0])*rnd.Float64()
}

// lognormal draws a factor with mean 1 and the coefficient of variation cv.
func lognormal(rnd *rand.Rand, cv float64) float64 {
	sigma2 := math.Log(1 + cv*cv)
	return math.Exp(rnd.NormFloat64()*math.Sqrt(sigma2) - sigma2/2)
}

// seconds converts seconds to a time.Duration, capped at a year because a draw may exceed what a Duration holds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 365*24*3600) * float64(time.Second))
}

func millis(ms float64) time.Duration { return seconds(ms / 1000) }
