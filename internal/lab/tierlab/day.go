package tierlab

import (
	"time"

	"emberquay/internal/lab/tierworld"
)

// Day is what is played.
type Day struct {
	Length   time.Duration // of the traffic
	Plain    float64       // calls a second
	Texts    float64       // streams a second that are no turns
	Programs float64       // that begin in a second
	Strikes  tierworld.Schedule

	// Shape has the numbers of processes and receivers and what single calls and programs are like; nil: the
	// default world's. Its length, rates and troubles are not looked at.
	Shape *tierworld.World
}

// DayOf is the day that a world describes.
func DayOf(w *tierworld.World) Day {
	return Day{Length: w.TrafficDuration(), Plain: w.Traffic.PlainPerS, Texts: w.Traffic.TextsPerS,
		Programs: w.Programs.PerS, Strikes: w.Schedule(), Shape: w}
}

// Full is the whole day of the default world: some 20 s of traffic.
func Full() Day { return DayOf(tierworld.Default()) }

// Short is a small one for tests.
func Short() Day { return DayOf(tierworld.Short()) }
